"""Rate limits that replicas named in their responses.

A replica in need names the requests per second that it takes from all routers
together, in each response for as long as the limit holds. What a router knows
is as old as the response that said so, its own or one that another router
received: the newest response counts, and its word expires.
"""

import math

import msgspec

from papayaloom.routing import replicas

# A replica without a response for this long is sent requests again, which
# shows whether its limit still holds.
_EXPIRY_S = 30.0
_MS_PER_S = 1000


class _RateLimit(msgspec.Struct, frozen=True):
    """What a response said of the limit.

    :param per_s: requests per second; infinite if it named no limit.
    :param heard_at: monotonic time of the response.
    """

    per_s: float
    heard_at: float


class LimitReport(msgspec.Struct, frozen=True):
    """What a response said of the limit of a replica, for other routers.

    :param per_s: requests per second; None if it named no limit.
    :param age_ms: time since the response.
    """

    per_s: float | None
    age_ms: int


LimitReports = dict[replicas.ReplicaStart, LimitReport]


class RateLimits:
    """Newest word on the rate limit of each replica start."""

    def __init__(self) -> None:
        """Initialise without limits."""
        self._known: dict[replicas.ReplicaStart, _RateLimit] = {}

    def record(
        self, replica: replicas.Replica, per_s: float | None, now: float
    ) -> bool:
        """Record what a response of a replica said.

        :param per_s: the limit that it named; None if it named none.
        :returns: whether the limit has changed.
        """
        before = self.per_s(replica, now)
        after = math.inf if per_s is None else per_s
        if min(before, after) < math.inf:
            self._expire(now)
            self._known[replicas.start_id(replica)] = _RateLimit(after, now)
        return before != after

    def per_s(self, replica: replicas.Replica, now: float) -> float:
        """Return the limit of a replica, infinite if none is known."""
        if not self._known:
            return math.inf
        known = self._known.get(replicas.start_id(replica))
        if known is None or _is_expired(known, now):
            return math.inf
        return known.per_s

    def has_limit(self, replica: replicas.Replica, now: float) -> bool:
        """Whether a replica is known to limit the rate of requests."""
        return self.per_s(replica, now) < math.inf

    def reports(self, now: float) -> LimitReports:
        """Return what is known, for other routers."""
        return {
            start: LimitReport(
                known.per_s if known.per_s < math.inf else None,
                round((now - known.heard_at) * _MS_PER_S),
            )
            for start, known in self._known.items()
            if not _is_expired(known, now)
        }

    def apply_reports(
        self, reports: LimitReports, received_at: float, now: float
    ) -> None:
        """Apply what another router knows.

        :param received_at: time up to which the ages of the reports count.
        """
        for start, report in reports.items():
            per_s = math.inf if report.per_s is None else report.per_s
            heard_at = received_at - report.age_ms / _MS_PER_S
            reported = _RateLimit(per_s, heard_at)
            known = self._known.get(start)
            is_newer = known is None or known.heard_at < heard_at
            if is_newer and not _is_expired(reported, now):
                self._known[start] = reported

    def dump(self, now: float) -> dict[str, float]:
        """Return the limits in force, by start of a replica."""
        return {
            start: known.per_s
            for start, known in self._known.items()
            if known.per_s < math.inf and not _is_expired(known, now)
        }

    def _expire(self, now: float) -> None:
        self._known = {
            start: known
            for start, known in self._known.items()
            if not _is_expired(known, now)
        }


def _is_expired(known: _RateLimit, now: float) -> bool:
    return now - known.heard_at >= _EXPIRY_S
