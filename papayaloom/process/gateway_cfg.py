"""Settings of a forwarding router process."""

import msgspec

from papayaloom.process import fleet_hosts, gateway_stop
from papayaloom.routing import dispatch


class Addresses(msgspec.Struct, frozen=True):
    """Listening addresses of a forwarding router, as host and port."""

    callers: tuple[str, int]
    readiness: tuple[str, int]
    directory: tuple[str, int]
    control: tuple[str, int]
    metrics: tuple[str, int]


class Cfg(msgspec.Struct, frozen=True):
    """Settings of the process.

    :param seeds: control addresses of other hosts, for use during an outage of
        the store.
    :param ttl_s: time for which callers may cache a directory response.
    :param lease_s: time without a renewal after which a host is no longer
        listed in the directory.
    :param evacuation_s: time within which nothing more is sent to an evacuated
        zone; None if that is not promised.
    """

    host: fleet_hosts.Host
    addresses: Addresses
    seeds: tuple[tuple[str, int], ...] = ()
    ttl_s: float = 1
    lease_s: float = 1.2
    evacuation_s: float | None = None
    stop: gateway_stop.Cfg = gateway_stop.Cfg()
    placing: dispatch.Cfg = dispatch.Cfg()
