"""Request counts that hosts exchange to learn the load of the whole fleet.

Each host sees a small part of the traffic. Without the counts of the others, it
would send requests to replicas that are already busy.
"""

import collections
import typing

import msgspec

# Arrivals are counted over this window, so that rates are sent as integers.
ARRIVAL_WINDOW_S = 10
# Approximate age of the totals on arrival, after two intermediate hosts.
TRANSIT_S = 0.5


class RequestCounts(msgspec.Struct, frozen=True):
    """Request counts of one host, or the sum of several.

    :param running: running requests, by replica.
    :param first: arrivals within :data:`ARRIVAL_WINDOW_S` for which a replica
        ranks first, by replica.
    :param arrived: arrivals within :data:`ARRIVAL_WINDOW_S`, by service.
    :param recent_first: as ``first``, within
        :data:`papayaloom.routing.load.arrival_rates.RECENT_S`.
    :param recent_arrived: as ``arrived``, within the same time.
    :param demand: requests within :data:`ARRIVAL_WINDOW_S` for which a replica
        with a rate limit comes first, by replica; also those that it does not
        get.
    :param recent_demand: as ``demand``, within the same time as
        ``recent_first``.
    :param offered: requests within :data:`ARRIVAL_WINDOW_S` that asked for a
        place, by service and precedence; also those that are rejected.
    :param recent_offered: as ``offered``, within the same time as
        ``recent_first``.
    :param completed: requests that ended within :data:`ARRIVAL_WINDOW_S`, by
        service.
    :param worked_ms: time that these spent at a replica, by service.
    :param recent_completed: as ``completed``, within the same time as
        ``recent_first``.
    """

    running: dict[str, int] = {}
    first: dict[str, int] = {}
    arrived: dict[str, int] = {}
    recent_first: dict[str, int] = {}
    recent_arrived: dict[str, int] = {}
    demand: dict[str, int] = {}
    recent_demand: dict[str, int] = {}
    offered: dict[str, int] = {}
    recent_offered: dict[str, int] = {}
    completed: dict[str, int] = {}
    worked_ms: dict[str, int] = {}
    recent_completed: dict[str, int] = {}


def add(parts: typing.Iterable[RequestCounts]) -> RequestCounts:
    """Return the sum of the counts of several hosts."""
    sums: dict[str, collections.Counter[str]] = {
        name: collections.Counter() for name in RequestCounts.__struct_fields__
    }
    for part in parts:
        for name, counter in sums.items():
            counter.update(getattr(part, name))
    return RequestCounts(**sums)
