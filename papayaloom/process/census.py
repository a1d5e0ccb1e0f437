"""What hosts tell each other about the requests of the whole fleet.

Answers a load that no single host can see: each gets a sliver of the traffic,
and what it doesn't know it would fill up.
"""

import collections
import typing

import msgspec

# Rates travel as whole numbers.
RATE_SPAN_S = 10
# Sums are about that old when they arrive, over two hosts in between.
TRAVEL_S = 0.5


class Census(msgspec.Struct, frozen=True):
    """Requests of one host, or of several.

    :param running: requests that run, by replica.
    :param first: arrivals in :data:`RATE_SPAN_S` for which a replica is the
        first in rank, by replica.
    :param arrived: arrivals in :data:`RATE_SPAN_S`, by service.
    """

    running: dict[str, int] = {}
    first: dict[str, int] = {}
    arrived: dict[str, int] = {}


def add(parts: typing.Iterable[Census]) -> Census:
    """Return the sum of several hosts."""
    running: collections.Counter[str] = collections.Counter()
    first: collections.Counter[str] = collections.Counter()
    arrived: collections.Counter[str] = collections.Counter()
    for part in parts:
        running.update(part.running)
        first.update(part.first)
        arrived.update(part.arrived)
    return Census(dict(running), dict(first), dict(arrived))
