"""Selection of the hosts whose addresses the directory returns to callers.

Needed where hosts differ in capacity and the fleet is larger than one directory
response. Callers pick a returned host at random, so all of them get equal
traffic, and the host with the least capacity is overloaded first. A few large
hosts may serve as much as many small ones; they also reuse their connections to
replicas more often and have more accurate load information.
"""

import typing

from papayaloom import hashing
from papayaloom.process import fleet_hosts

# With fewer hosts, the failure of one would lose too much capacity.
_MIN_HOSTS = 12
# Share of the largest reachable capacity that the selection must provide.
_MIN_CAPACITY_SHARE = 0.8


def choose(
    hosts: typing.Sequence[fleet_hosts.Host], max_hosts: int
) -> list[fleet_hosts.Host]:
    """Return the hosts of largest capacity, with all those of equal capacity.

    :param hosts: at least one.
    :param max_hosts: number of hosts that a response may contain.
    """
    largest = _by_capacity(hosts)[:max_hosts]
    smallest = largest[_sufficient_count(largest) - 1]
    return [one for one in largest if one.capacity >= smallest.capacity]


def _by_capacity(
    hosts: typing.Sequence[fleet_hosts.Host],
) -> list[fleet_hosts.Host]:
    """Sort by descending capacity, in an order that all hosts agree on."""
    names = hashing.rank('directory', [one.name for one in hosts], len(hosts))
    order = {name: position for position, name in enumerate(names)}
    return sorted(hosts, key=lambda one: (-one.capacity, order[one.name]))


def _sufficient_count(largest: typing.Sequence[fleet_hosts.Host]) -> int:
    """Return the smallest number of hosts with sufficient capacity.

    With equal traffic, ``count`` hosts serve ``count`` times the capacity of
    the smallest one.
    """
    min_count = min(_MIN_HOSTS, len(largest))
    usable_capacity = {
        count: count * one.capacity
        for count, one in enumerate(largest, 1)
        if count >= min_count
    }
    sufficient = _MIN_CAPACITY_SHARE * max(usable_capacity.values())
    return min(
        count
        for count, usable in usable_capacity.items()
        if usable >= sufficient
    )
