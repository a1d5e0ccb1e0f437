"""Slowdown of the replicas' machines, as the replicas report it.

Answers the load of replicas that share their machines with other work: a slot
yields less while the machine is busy. The slowdown changes several times a
second and every router sees it late, so a report counts less the older it is.
Otherwise all routers would send their requests to the replicas that were fast a
moment ago.
"""

import math

import msgspec

# Time constant with which a report loses weight.
_DECAY_TIME_S = 0.5
# A deviation that has decayed below this is ignored: where loads are equal, any
# difference would decide.
_MIN_DEVIATION = 0.1
# Weight of a new report against an earlier one that still counts in full.
_WEIGHT = 0.7
_USUAL = 1.0


class _Slowdown(msgspec.Struct, frozen=True):
    factor: float
    reported_at: float


class Slowdowns:
    """Newest slowdown of each replica; 1 is usual."""

    def __init__(self) -> None:
        """Initialise without reports."""
        self._known: dict[str, _Slowdown] = {}

    def record(self, replica: str, factor: float | None, now: float) -> None:
        """Record what a response said.

        :param factor: None if it did not state the slowdown, which leaves the
            earlier report in effect.
        """
        if factor is None:
            return
        before = self.factor(replica, now)
        smoothed = before + _WEIGHT * (factor - before)
        self._known[replica] = _Slowdown(smoothed, now)

    def factor(self, replica: str, now: float) -> float:
        """Return how long work is expected to take on the machine; 1 is usual."""
        known = self._known.get(replica)
        if known is None:
            return _USUAL
        weight = math.exp((known.reported_at - now) / _DECAY_TIME_S)
        deviation = weight * (known.factor - _USUAL)
        return _USUAL if abs(deviation) < _MIN_DEVIATION else _USUAL + deviation

    def forget(self, replica: str) -> None:
        """Drop the report of a replica that was removed or restarted."""
        self._known.pop(replica, None)
