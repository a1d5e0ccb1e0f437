"""Hedging: when a slow request gets a second copy at another replica.

Answers the load pattern of a few responses that take much longer than the
others of their route, because a machine became slow after the placement. The
response times of the route tell when a response is late, and the copies are
bounded: by a share of the service's requests, by what retries leave of their
budget, and by the free slots. When a whole service is slow, its response times
rise and its slots fill, so that hedging ends by itself.

The state belongs to one host. A host that has just started has neither response
times nor a budget, and therefore does not hedge.
"""

import bisect
import collections
import math
import threading
import typing

import msgspec

from papayaloom import errors, ids
from papayaloom.routing import (
    decision_counts,
    dispatch_messages,
    placement_problems,
    replica_choice,
    replicas,
)
from papayaloom.routing.health import ejection, replica_availability
from papayaloom.routing.limits import rate_limits
from papayaloom.routing.load import load_estimates
from papayaloom.routing.overload import budgets, load_shedding
from papayaloom.routing.poison import poison_detector

MAX_EXTRA_PERCENT = 20
# Hedges that the requests of a quiet time can save up.
_MAX_SAVED = 2.0
# A lower percentile would spend the budget before the slowest responses.
_MIN_PERCENTILE = 90.0
# Free share of the slots below which an admitted request may soon wait. Replicas
# that do not report their load are busier at times than other requests show.
_MIN_FREE_SHARE = 0.5
# A copy on a machine this slow would hardly come first.
_MAX_SLOWDOWN = 1.25
# Cancelled copies in a row after which the replica may be hanging.
_MAX_LOSSES = 3

_Decision = decision_counts.Decision


class Cfg(msgspec.Struct, frozen=True):
    """Limits of the hedging.

    :param extra_percent: hedges in percent of the requests of a service; 0
        turns hedging off.
    :param min_delay_s: shortest time after which a response counts as late.
    :param min_samples: response times of a route that a percentile needs.
    :param max_samples: newest response times of a route that are kept.
    :param memory_s: age from which a response time is ignored.
    """

    extra_percent: float = 0
    min_delay_s: float = 0.02
    min_samples: int = 30
    max_samples: int = 200
    memory_s: float = 60


class _Samples:
    """Recent response times of one route, by age and by length."""

    def __init__(self) -> None:
        self._by_age: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._sorted_s: list[float] = []

    def __len__(self) -> int:
        """Return the number of response times."""
        return len(self._sorted_s)

    def add(self, seconds: float, now: float) -> None:
        """Add a response time."""
        self._by_age.append((now, seconds))
        bisect.insort(self._sorted_s, seconds)

    def trim(self, max_samples: int, oldest: float) -> None:
        """Drop the oldest response times."""
        while self._by_age and (
            len(self) > max_samples or self._by_age[0][0] < oldest
        ):
            _, seconds = self._by_age.popleft()
            self._sorted_s.pop(bisect.bisect_left(self._sorted_s, seconds))

    def percentile_s(self, percentile: float) -> float:
        """Return the response time below which a percentage of them lies."""
        rank = math.ceil(percentile / 100 * len(self))
        return self._sorted_s[max(rank, 1) - 1]


class HedgeDelays:
    """Response times of the routes, and the delay of hedges; thread-safe."""

    def __init__(self, cfg: Cfg) -> None:
        """Start without response times."""
        self._cfg = cfg
        self._lock = threading.Lock()
        self._samples: dict[str, _Samples] = {}

    def record(self, route: str, seconds: float, now: float) -> None:
        """Record the response time of a first copy.

        :param seconds: if the copy was cancelled, the time until then. That is
            beyond the percentile too, so hedges do not lower their own delay.
        """
        with self._lock:
            samples = self._samples.setdefault(route, _Samples())
            samples.add(seconds, now)
            samples.trim(self._cfg.max_samples, now - self._cfg.memory_s)

    def delay_s(self, route: str, left_s: float, now: float) -> float | None:
        """Return the time after which a response is late.

        :param left_s: time left until the deadline of the request.
        :returns: None if too little is known, or if a second copy could hardly
            be answered before the deadline.
        """
        percentile = max(100 - self._cfg.extra_percent, _MIN_PERCENTILE)
        with self._lock:
            samples = self._samples.get(route)
            if samples is None:
                return None
            samples.trim(self._cfg.max_samples, now - self._cfg.memory_s)
            if len(samples) < self._cfg.min_samples:
                return None
            late_s = samples.percentile_s(percentile)
            usual_s = samples.percentile_s(50)
        delay_s = max(late_s, self._cfg.min_delay_s)
        return delay_s if delay_s + usual_s < left_s else None


def delays(cfg: Cfg) -> HedgeDelays | None:
    """Return the delays of hedges, or None if hedging is off."""
    return HedgeDelays(cfg) if cfg.extra_percent else None


class Load(msgspec.Struct, frozen=True):
    """Load of the replicas of a service.

    :param estimates: load estimates by replica.
    :param traffic: expected traffic of the other routers.
    :param ready: number of replicas that share the traffic.
    """

    estimates: dict[str, load_estimates.LoadEstimate]
    traffic: replica_choice.Traffic
    ready: int


class Knowledge(msgspec.Struct, frozen=True):
    """Other parts of the dispatch state that restrict hedges."""

    availability: replica_availability.ReplicaAvailability
    limits: rate_limits.RateLimits
    poison: poison_detector.PoisonDetector
    retries: budgets.RetryBudgets


class Hedging:
    """Budget of the hedges, and the replicas that may get one."""

    def __init__(
        self,
        cfg: Cfg,
        decisions: decision_counts.DecisionCounts,
        known: Knowledge,
    ) -> None:
        """Start without a budget."""
        self._cfg = cfg
        self._decisions = decisions
        self._known = known
        self._saved: dict[ids.ServiceId, float] = {}
        self._losses: collections.Counter[replicas.ReplicaId] = (
            collections.Counter()
        )

    def admit(
        self,
        request: dispatch_messages.PlacementRequest,
        candidates: typing.Sequence[replicas.Replica],
        load: Load,
        now: float,
    ) -> load_shedding.Admission | errors.Problem:
        """Return the replicas that may get a hedge, and take its budget.

        :param candidates: replicas that have not had the request.
        """
        subject = dispatch_messages.subject(request)
        first = request.hedge_of
        is_hanging = first is None or self._losses[first] >= _MAX_LOSSES
        if is_hanging or self._known.poison.is_suspect(subject, now):
            return self._refuse(_Decision.HEDGE_UNSUITABLE)
        usable = [
            one
            for one in candidates
            if self._is_usable(request.service, one, load, now)
        ]
        free = [one for one in usable if _free_slots(one, load) >= 1]
        if not free or not _has_room(usable, load):
            return self._refuse(_Decision.HEDGE_WITHOUT_ROOM)
        saved = self._saved.get(request.service, 0)
        if saved < 1 or not self._known.retries.spend_hedge(request.service):
            return self._refuse(_Decision.HEDGE_OVER_BUDGET)
        self._saved[request.service] = saved - 1
        self._decisions.add(_Decision.HEDGE_SENT)
        return load_shedding.Admission(free)

    def record_start(self, request: dispatch_messages.PlacementRequest) -> None:
        """Record that a request was placed, which earns a part of a hedge."""
        if request.hedge_of or request.is_retry or not self._cfg.extra_percent:
            return
        saved = self._saved.get(request.service, 0)
        earned = self._cfg.extra_percent / 100
        self._saved[request.service] = min(saved + earned, _MAX_SAVED)

    def record_end(self, ended: dispatch_messages.AttemptResult) -> None:
        """Record the result of an attempt."""
        if ended.is_cancelled:
            self._decisions.add(_Decision.HEDGE_CANCELLED)
            if not ended.is_hedge:
                self._losses[ended.replica] += 1
        elif ended.is_failure is False:
            self._losses.pop(ended.replica, None)
            if ended.is_hedge:
                self._decisions.add(_Decision.HEDGE_WON)

    def forget(self, replica: replicas.ReplicaId) -> None:
        """Drop the state of a replica that was removed or restarted."""
        self._losses.pop(replica, None)

    def dump(self) -> dict[ids.ServiceId, float]:
        """Return the hedges that each service has saved."""
        return dict(self._saved)

    def _is_usable(
        self,
        service: ids.ServiceId,
        replica: replicas.Replica,
        load: Load,
        now: float,
    ) -> bool:
        availability = self._known.availability
        status = availability.ejections(service).status(replica.id, now)
        return (
            status is ejection.Status.SERVING
            and availability.is_reachable(replica.id, now)
            and not self._known.limits.has_limit(replica, now)
            and load.estimates[replica.id].slowdown < _MAX_SLOWDOWN
        )

    def _refuse(self, reason: _Decision) -> errors.Problem:
        self._decisions.add(reason)
        return placement_problems.not_hedged()


def _has_room(usable: list[replicas.Replica], load: Load) -> bool:
    """Tell whether enough slots are free for requests that come next."""
    free = sum(max(_free_slots(one, load), 0) for one in usable)
    return free >= _MIN_FREE_SHARE * sum(one.slots for one in usable)


def _free_slots(replica: replicas.Replica, load: Load) -> float:
    """Return the slots that are likely free at least; none if unknown."""
    estimate = load.estimates[replica.id]
    facts = (
        load.traffic.service_time_s,
        load.traffic.arrivals_per_s / load.ready,
    )
    expected = estimate.expected_total(*facts)
    return replica.slots - expected - math.sqrt(estimate.variance(*facts))
