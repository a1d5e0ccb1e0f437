"""Replicas that may be cold although this router has not heard of it.

Answers the load pattern of a replica that turns cold while the load jumps: until
its report has arrived, each router would send it its part of the jump. A response
reports it at once. So a router sends a replica from which it has not heard
for a moment one request, and waits for the response before the next. While its
load jumps, it turns to such replicas only if it is among the first in rank for
them, and rejects what the others cannot take.
"""

import math
import typing

from papayaloom import ids
from papayaloom.routing import replicas
from papayaloom.routing.load import arrival_rates

# What a response said holds for this long, likely.
_HEARD_S = 1.0
# Time after which a request without a response no longer stands in the way.
_ANSWER_S = 1.0
# Routers that turn to an unheard replica while the load jumps. With more, a
# replica exceeds its bound more often.
_MAX_PROBING_ROUTERS = 4
# Standard deviations above the usual from which recent arrivals are a jump. A
# lower number rejects requests under steady load.
_DEVIATIONS = 3
# Time after which a router knows its usual load.
_WARM_UP_S = 5.0
_MAX_REPLICAS = 4096


class UnheardReplicas:
    """Last requests to replicas and last responses, as one router knows them.

    :param rank: returns the rank of this router for a replica, from 0.
    """

    def __init__(
        self, rank: typing.Callable[[replicas.ReplicaId], int]
    ) -> None:
        """Initialise without requests."""
        self._rank = rank
        self._heard_at: dict[str, float] = {}
        self._sent_at: dict[str, float] = {}
        self._first_at: dict[ids.ServiceId, float] = {}
        self._arrivals: arrival_rates.ArrivalRates[ids.ServiceId] = (
            arrival_rates.ArrivalRates()
        )

    def record_request(self, replica: str, now: float) -> None:
        """Record a request that was placed on a replica."""
        _put_last(self._sent_at, replica, now)

    def record_response(self, replica: str, now: float) -> None:
        """Record a response of a replica."""
        _put_last(self._heard_at, replica, now)

    def record_arrival(self, service: ids.ServiceId, now: float) -> bool:
        """Record a request to place.

        :returns: whether the load jumps: more requests arrive than chance
            explains.
        """
        usual = self._arrivals.per_s(service, now) * arrival_rates.RECENT_S
        self._arrivals.record(service, now)
        since = self._first_at.setdefault(service, now)
        if now - since < _WARM_UP_S:
            return False
        recent = self._arrivals.recent_counts(now)[service]
        return recent > usual + _DEVIATIONS * math.sqrt(usual) + 2

    def usable(
        self,
        candidates: list[replicas.Replica],
        now: float,
        *,
        is_jump: bool,
    ) -> list[replicas.Replica]:
        """Return the replicas that may get a request.

        Without any, all of them unless the load jumps.
        """
        usable = [
            one for one in candidates if self._is_usable(one.id, is_jump, now)
        ]
        return usable if is_jump else usable or candidates

    def _is_usable(
        self, replica: replicas.ReplicaId, is_jump: bool, now: float
    ) -> bool:
        heard_at = self._heard_at.get(replica, -math.inf)
        if now - heard_at < _HEARD_S:
            return True
        sent_at = self._sent_at.get(replica, -math.inf)
        if sent_at > heard_at and now - sent_at < _ANSWER_S:
            return False
        return not is_jump or self._rank(replica) < _MAX_PROBING_ROUTERS


def _put_last(times: dict[str, float], replica: str, now: float) -> None:
    """Set a time, and drop the oldest one if there are too many."""
    times.pop(replica, None)
    times[replica] = now
    if len(times) > _MAX_REPLICAS:
        times.pop(next(iter(times)))
