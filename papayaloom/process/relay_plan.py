"""Polling tree for store changes in a large fleet.

The tree bounds the load of each relay: a host that answers a third of the
fleet falls behind during bursts of changes. So two roots watch the store, a
tenth of the hosts poll the roots, and all others poll that tenth.
"""

import enum
import typing

import msgspec

from papayaloom import hashing
from papayaloom.process import fleet_hosts

ROOT_COUNT = 2
_HOSTS_PER_RELAY = 10
# After more attempts than this, a host has no time left to call the store.
_MAX_SOURCES = 2


class Role(enum.Enum):
    """Role of a host in relaying the store's changes."""

    ALONE = 'alone'
    ROOT = 'root'
    RELAY = 'relay'
    LEAF = 'leaf'


class Plan(msgspec.Struct, frozen=True):
    """Role of a host and the hosts that it contacts.

    :param sources: hosts to poll, in this order, before the store.
    :param peers: other roots, to which a root reports the request counts of
        itself and its followers.
    """

    role: Role
    sources: tuple[fleet_hosts.Host, ...] = ()
    peers: tuple[fleet_hosts.Host, ...] = ()


def plan(
    me: str,
    hosts: typing.Sequence[fleet_hosts.Host],
    avoided: typing.Collection[str] = (),
) -> Plan:
    """Return the plan for one host.

    :param avoided: hosts that recently failed to answer.
    """
    if len(hosts) <= fleet_hosts.MAX_DIRECT_WATCHERS:
        return Plan(Role.ALONE)
    by_name = {host.name: host for host in hosts}
    relays = _relays(hosts)
    roots = relays[:ROOT_COUNT]
    usable = [name for name in relays if name not in avoided and name != me]
    peers = [name for name in usable if name in roots]
    if me in roots:
        return Plan(Role.ROOT, peers=tuple(by_name[name] for name in peers))
    if me in relays:
        names = hashing.rank(me, peers, _MAX_SOURCES)
        return Plan(Role.RELAY, tuple(by_name[name] for name in names))
    non_roots = [name for name in usable if name not in roots]
    names = hashing.rank(me, non_roots or peers, _MAX_SOURCES)
    return Plan(Role.LEAF, tuple(by_name[name] for name in names))


def _relays(hosts: typing.Sequence[fleet_hosts.Host]) -> list[str]:
    """Choose the relays, roots first, from the half with more capacity."""
    eligible = [host for host in hosts if host.control]
    eligible.sort(key=_by_capacity)
    candidates = [
        host.name for host in eligible[: max(ROOT_COUNT, len(eligible) // 2)]
    ]
    count = max(ROOT_COUNT, -(-len(hosts) // _HOSTS_PER_RELAY))
    return hashing.rank('relay', candidates, count)


def _by_capacity(host: fleet_hosts.Host) -> tuple[float, str]:
    return (-host.capacity, host.name)
