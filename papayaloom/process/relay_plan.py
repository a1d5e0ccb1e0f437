"""Who asks whom for the store's changes in a large fleet.

Answers the load that relay hosts carry themselves: one host that answers a
third of the fleet falls behind just when much changes. So two roots watch the
store, a tenth of the hosts ask the roots, and all others ask that tenth.
"""

import enum
import typing

import msgspec

from papayaloom import hashing
from papayaloom.process import fleet_hosts

ROOTS = 2
_HOSTS_PER_RELAY = 10
# A host that tries more of them has no time left to ask the store.
_MOST_SOURCES = 2


class Role(enum.Enum):
    """Part of a host in passing on the store's changes."""

    ALONE = 'alone'
    ROOT = 'root'
    RELAY = 'relay'
    LEAF = 'leaf'


class Plan(msgspec.Struct, frozen=True):
    """What one host does.

    :param sources: hosts that it asks, in this order, before the store.
    :param peers: roots that it tells what it and its followers have running.
    """

    role: Role
    sources: tuple[fleet_hosts.Host, ...] = ()
    peers: tuple[fleet_hosts.Host, ...] = ()


def plan(
    me: str,
    hosts: typing.Sequence[fleet_hosts.Host],
    avoided: typing.Collection[str] = (),
) -> Plan:
    """Return the part of a host.

    :param avoided: hosts that did not answer a moment ago.
    """
    if len(hosts) <= fleet_hosts.MOST_WATCHING:
        return Plan(Role.ALONE)
    by_name = {host.name: host for host in hosts}
    relays = _relays(hosts)
    roots = relays[:ROOTS]
    usable = [name for name in relays if name not in avoided and name != me]
    peers = [name for name in usable if name in roots]
    if me in roots:
        return Plan(Role.ROOT, peers=tuple(by_name[name] for name in peers))
    if me in relays:
        names = hashing.rank(me, peers, _MOST_SOURCES)
        return Plan(Role.RELAY, tuple(by_name[name] for name in names))
    between = [name for name in usable if name not in roots]
    names = hashing.rank(me, between or peers, _MOST_SOURCES)
    return Plan(Role.LEAF, tuple(by_name[name] for name in names))


def _relays(hosts: typing.Sequence[fleet_hosts.Host]) -> list[str]:
    """Return the relays, the roots first, out of the stronger half."""
    able = [host for host in hosts if host.control]
    able.sort(key=_weakest_last)
    strong = [host.name for host in able[: max(ROOTS, len(able) // 2)]]
    count = max(ROOTS, -(-len(hosts) // _HOSTS_PER_RELAY))
    return hashing.rank('relay', strong, count)


def _weakest_last(host: fleet_hosts.Host) -> tuple[float, str]:
    return (-host.capacity, host.name)
