"""Running requests of other routers, estimated from their load reports."""

import math
import typing

import msgspec

from papayaloom import ids, messages


# Running requests times seconds over which the finish rate is averaged.
_RATE_WINDOW = 1000


# Factor of the skewness term in the Cornish-Fisher expansion of a Poisson
# quantile.
_SKEW_FACTOR = 1 / 6

# Weight of one report in the moving average of the losses.
_LEARNING_RATE = 0.05

# Seconds for which an estimate is cached. The age of each report is taken at
# the end of that time, so that the cached value is never too high.
_ESTIMATE_TTL_S = 0.05


class Cfg(msgspec.Struct, frozen=True):
    """How far reports of other routers are trusted.

    :param report_expiry_s: age in seconds at which a report no longer counts.
    :param period_s: seconds between two reports of a router.
    :param finish_rate: initial value of the finished requests per running
        request and second.
    :param margin_deviations: safety margin, in standard deviations of the
        number of completions.
    """

    report_expiry_s: float = 10
    period_s: float = 0.25
    finish_rate: float = 0.05
    margin_deviations: float = 2


class RouterLoad(msgspec.Struct):
    """Newest load reported by one router.

    :param taken: time of the count, in seconds of this router's clock.
    """

    load: messages.Load
    taken: float


class FallbackCount(msgspec.Struct):
    """Newest count of one engine by the router ranked second for it."""

    load: messages.FallbackLoad
    taken: float


class Estimate(msgspec.Struct, frozen=True):
    """Running requests of other routers.

    :param known: sum of the newest reports.
    :param lower_bound: weighted sum of the reports, less the expected completions and
        the safety margin.
    """

    known: int
    lower_bound: int


class ClockOffsets:
    """Offsets between the clocks of other routers and this router's clock.

    The age in a message does not include its time in transit. The smallest
    offset seen so far is used, so a message with a larger one counts as late.
    """

    def __init__(self) -> None:
        """Create an empty set of offsets."""
        self._offsets: dict[ids.RouterId, float] = {}

    def taken(
        self,
        load: messages.Load | messages.FallbackLoad,
        now: float,
    ) -> float:
        """Return when a load was counted, in seconds of this router's clock."""
        sent = load.sequence / 1000
        clock_offset = now - load.age_ms / 1000 - sent
        earlier = self._offsets.get(load.router, clock_offset)
        self._offsets[load.router] = min(earlier, clock_offset)
        return sent + self._offsets[load.router]

    def forget(self, router: ids.RouterId) -> None:
        """Drop the offset of a router's clock."""
        self._offsets.pop(router, None)


class ReportLoss:
    """Learns which share of finished requests was not reported at once.

    If a router reports each finished request at once, only lost or late reports
    leave completions unknown. The share is learned from the counts of finished
    requests in the reports.
    """

    def __init__(self) -> None:
        """Start with the assumption that no completion is reported at once."""
        self._missed_share: float = 1
        self._late_s: float = 1

    def learn(self, ended: int, late_s: float) -> None:
        """Record a report.

        :param ended: requests finished since the previous report.
        :param late_s: age of the report on arrival.
        """
        self._late_s = max(late_s, self._late_s * (1 - _LEARNING_RATE))
        if ended > 0:
            missed_share = (ended - 1) / ended
            self._missed_share += (missed_share - self._missed_share) * min(
                1, ended * _LEARNING_RATE
            )

    def unseen_s(self, age: float) -> float:
        """Return for how many seconds of its age a report misses completions.

        All time beyond the first second without a report counts in full.
        """
        recent_s = min(age, 1)
        unseen = recent_s * self._missed_share + min(recent_s, self._late_s)
        return min(age, unseen + max(0, age - 1))


class RouterLoads:
    """Newest load of each other router for one model.

    :param router: id of this router; its own load is never stored.
    """

    def __init__(
        self,
        cfg: Cfg,
        router: ids.RouterId,
        model: ids.ModelId,
    ) -> None:
        """Create an empty set of loads."""
        self._cfg = cfg
        self._router = router
        self._model = model
        self._router_loads: dict[ids.RouterId, RouterLoad] = {}
        self._fallbacks: dict[ids.EngineId, FallbackCount] = {}
        self._reported_finished = 0
        self._clock_offsets = ClockOffsets()
        self._report_loss = ReportLoss()
        self.finish_rate = cfg.finish_rate
        self._observation: tuple[float, int] | None = None
        self._estimate = Estimate(0, 0)
        self._estimated_at = float('-inf')

    def configure(self, cfg: Cfg) -> None:
        """Apply new limits."""
        self._cfg = cfg

    def record_fallback(
        self,
        engine: ids.EngineId,
        owner: ids.RouterId,
        running: int,
        taken: float,
    ) -> None:
        """Record an engine's own count, used if its owner does not report.

        :param running: running requests except those granted by this router.
        """
        load = messages.FallbackLoad(
            self._router,
            owner,
            self._model,
            engine,
            running,
            round(taken * 1000),
            0,
        )
        self._fallbacks[engine] = FallbackCount(load, taken)

    def observe(self, finished: int, running: int, now: float) -> None:
        """Update the finish rate from this router's requests, once a second.

        :param finished: requests finished since the router's start.
        :param running: running requests granted by this router.
        """
        since, finished_before = self._observation or (now, finished)
        if self._observation is None or now - since >= 1:
            self._observation = (now, finished)
            exposure = running * (now - since)
            if exposure > 0:
                weight = min(1, exposure / _RATE_WINDOW)
                rate = (finished - finished_before) / exposure
                self.finish_rate += weight * (rate - self.finish_rate)

    def record(self, report: messages.LoadReport, now: float) -> None:
        """Record the loads of a report that are newer than the stored ones."""
        for load in report.loads:
            if load.router != self._router and load.model == self._model:
                self._record_load(load, now)
        for fallback in report.covered:
            if (
                fallback.router != self._router
                and fallback.model == self._model
            ):
                self._record_fallback(fallback, now)

    def retain(self, members: typing.Container[ids.RouterId]) -> None:
        """Drop the loads of all routers that are not members."""
        departed = [one for one in self._router_loads if one not in members]
        for router in departed:
            self._router_loads.pop(router)
            self._clock_offsets.forget(router)
        self._fallbacks = {
            engine: fallback
            for engine, fallback in self._fallbacks.items()
            if fallback.load.owner in members
        }

    def report(
        self,
        running: int,
        engines: int,
        finished: int,
        now: float,
        counts: tuple[tuple[ids.EngineId, int], ...] = (),
    ) -> messages.LoadReport:
        """Return this router's load and the newest known ones of others.

        :param finished: requests finished since the router's start.
        :param counts: running requests on each engine, in a small fleet.
        """
        self._reported_finished = finished
        own = messages.Load(
            self._router,
            self._model,
            running,
            engines,
            round(now * 1000),
            0,
            finished,
            counts,
        )
        others = [
            msgspec.structs.replace(
                known.load,
                age_ms=round((now - known.taken) * 1000),
            )
            for known in self._router_loads.values()
            if now - known.taken < self._cfg.report_expiry_s
        ]
        covered = [
            msgspec.structs.replace(
                fallback.load,
                age_ms=round((now - fallback.taken) * 1000),
            )
            for fallback in self._fallbacks.values()
            if self._missing_share(fallback.load.owner, now) > 0
            and now - fallback.taken < self._cfg.report_expiry_s
        ]
        return messages.LoadReport((own, *others), tuple(covered))

    def has_unreported(self, finished: int) -> bool:
        """Return whether requests have finished since the latest own report.

        In a small fleet a report is then sent to all members at once, so that
        they learn of the lower mean within one message delay. The first load
        of a report is sufficient for that.
        """
        return finished != self._reported_finished

    def estimate(self, now: float) -> Estimate:
        """Return the estimate of the running requests of other routers.

        Completions since a report are independent of each other, so over all
        routers their variances add up, not their standard deviations.
        """
        if not 0 <= now - self._estimated_at < _ESTIMATE_TTL_S:
            self._estimated_at = now
            self._estimate = self._compute(now + _ESTIMATE_TTL_S)
        return self._estimate

    def _compute(self, now: float) -> Estimate:
        known = 0
        weighted: float = 0
        finished: float = 0
        for running, weight, age in self._counts(now):
            known += running
            weighted += running * weight
            unseen_s = self._report_loss.unseen_s(age)
            finished += running * weight * min(1, unseen_s * self.finish_rate)
        margin = _upper_quantile(finished, self._cfg.margin_deviations)
        return Estimate(known, max(0, math.floor(weighted - margin)))

    def _counts(
        self,
        now: float,
    ) -> typing.Iterator[tuple[int, float, float]]:
        """Yield each count of running requests with its weight and age (s)."""
        for router_load in self._router_loads.values():
            age = max(0, now - router_load.taken)
            yield router_load.load.running, self._age_weight(age), age
        for fallback in self._fallbacks.values():
            missing_share = self._missing_share(fallback.load.owner, now)
            age = max(0, now - fallback.taken)
            if missing_share and fallback.load.running > 0:
                weight = missing_share * self._age_weight(age)
                yield fallback.load.running, weight, age

    def _missing_share(self, owner: ids.RouterId, now: float) -> float:
        """Return how far an owner's own load is missing, 0 to 1."""
        known = self._router_loads.get(owner)
        if owner == self._router:
            return 0
        return 1 - self._age_weight(now - known.taken) if known else 1

    def _age_weight(self, age: float) -> float:
        """Return the weight of a report by its age.

        It is 1 up to half of the expiry and falls linearly to 0 at the expiry.
        """
        expiry = self._cfg.report_expiry_s
        return max(0, min(1, 2 * (1 - age / expiry)))

    def _record_load(self, load: messages.Load, now: float) -> None:
        known = self._router_loads.get(load.router)
        is_fresh = known is not None and (
            now - known.taken < self._cfg.report_expiry_s
        )
        if known and is_fresh and load.sequence <= known.load.sequence:
            return
        if known is not None and load.sequence <= known.load.sequence:
            # The router has restarted, and its clock with it.
            self._clock_offsets.forget(load.router)
        taken = self._clock_offsets.taken(load, now)
        if known is not None and is_fresh:
            ended = load.finished - known.load.finished
            self._report_loss.learn(ended, now - taken)
        self._router_loads[load.router] = RouterLoad(load, taken)

    def _record_fallback(
        self, fallback: messages.FallbackLoad, now: float
    ) -> None:
        taken = self._clock_offsets.taken(fallback, now)
        known = self._fallbacks.get(fallback.engine)
        if known is None or known.taken < taken:
            self._fallbacks[fallback.engine] = FallbackCount(fallback, taken)


def _upper_quantile(mean: float, deviations: float) -> float:
    """Return an upper quantile of a Poisson count.

    The last term corrects for skewness, which matters for small means.
    """
    skew = deviations**2 * _SKEW_FACTOR * min(1, mean)
    return mean + deviations * math.sqrt(mean) + skew
