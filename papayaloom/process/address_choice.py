"""Which hosts the directory names to callers.

Answers a fleet of unequal hosts that is larger than a directory answer. Callers
pick among the named hosts at random, so each gets the same share of them, and
the weakest one is the first to be late. A few strong hosts may carry as much as
many weak ones; they use their connections to replicas more often and know more
of what the replicas have to do.
"""

import typing

from papayaloom import hashing
from papayaloom.process import fleet_hosts

# Fewer hosts would lose too much with each that dies.
_LEAST = 12
# Part of the most that could be carried which is enough.
_ENOUGH = 0.8


def choose(
    hosts: typing.Sequence[fleet_hosts.Host], most: int
) -> list[fleet_hosts.Host]:
    """Return the hosts to name, the strongest ones and all their equals.

    :param hosts: at least one.
    :param most: hosts that an answer may name.
    """
    strongest = _strongest_first(hosts)[:most]
    weakest = strongest[_count(strongest) - 1]
    return [one for one in strongest if one.capacity >= weakest.capacity]


def _strongest_first(
    hosts: typing.Sequence[fleet_hosts.Host],
) -> list[fleet_hosts.Host]:
    """Return the hosts in an order that all hosts agree on."""
    names = hashing.rank('directory', [one.name for one in hosts], len(hosts))
    order = {name: place for place, name in enumerate(names)}
    return sorted(hosts, key=lambda one: (-one.capacity, order[one.name]))


def _count(strongest: typing.Sequence[fleet_hosts.Host]) -> int:
    """Return how many of the strongest hosts carry enough."""
    least = min(_LEAST, len(strongest))
    carried = {
        number: number * one.capacity
        for number, one in enumerate(strongest, 1)
        if number >= least
    }
    enough = _ENOUGH * max(carried.values())
    return min(number for number, load in carried.items() if load >= enough)
