"""Subtotals of running requests of other routers and their lower estimate."""

import math
import typing

import msgspec

from papayaloom import ids, messages


# Running requests times seconds that the learned rate looks back.
_RATE_EXPOSURE = 1000


# Seconds for which an estimate is kept; each counts as old as it may get.
_KEPT_S = 0.05


class Cfg(msgspec.Struct, frozen=True):
    """How reports of other routers are trusted.

    :param report_expiry_s: age in seconds at which a report counts as zero.
    :param period_s: seconds between two reports of a router.
    :param finish_rate: first guess of finished requests per running request
        and second.
    :param margin_deviations: standard deviations of completions subtracted.
    """

    report_expiry_s: float = 10
    period_s: float = 0.25
    finish_rate: float = 0.05
    margin_deviations: float = 3


class Subtotal(msgspec.Struct):
    """Newest count of one router.

    :param taken: when it was counted, in seconds of this router's clock.
    """

    load: messages.Load
    taken: float


class Estimate(msgspec.Struct, frozen=True):
    """Running requests of other routers.

    :param known: sum of the newest reports.
    :param lower: lower estimate.
    """

    known: int
    lower: int


class Loads:
    """Newest subtotal of each other router for one model.

    :param router: own identity; its own subtotal is never stored.
    """

    def __init__(
        self,
        cfg: Cfg,
        router: ids.RouterId,
        model: ids.ModelId,
    ) -> None:
        """Start without reports."""
        self._cfg = cfg
        self._router = router
        self._model = model
        self._subtotals: dict[ids.RouterId, Subtotal] = {}
        self._offsets: dict[ids.RouterId, float] = {}
        self.finish_rate = cfg.finish_rate
        self._observed: tuple[float, int] | None = None
        self._estimate = Estimate(0, 0)
        self._estimated = float('-inf')

    def configure(self, cfg: Cfg) -> None:
        """Take new limits."""
        self._cfg = cfg

    def observe(self, finished: int, running: int, now: float) -> None:
        """Learn the rate of completions from own requests, once a second.

        :param finished: own requests finished since the start.
        :param running: own running requests.
        """
        since, before = self._observed or (now, finished)
        if self._observed is None or now - since >= 1:
            self._observed = (now, finished)
            exposure = running * (now - since)
            if exposure > 0:
                part = min(1, exposure / _RATE_EXPOSURE)
                rate = (finished - before) / exposure
                self.finish_rate += part * (rate - self.finish_rate)

    def take(self, report: messages.LoadReport, now: float) -> None:
        """Keep those loads of a report that are newer than the known ones."""
        for load in report.loads:
            if load.router != self._router and load.model == self._model:
                self._take(load, now)

    def forget(self, members: typing.Container[ids.RouterId]) -> None:
        """Drop the subtotals of routers that are no members any more."""
        gone = [one for one in self._subtotals if one not in members]
        for router in gone:
            self._subtotals.pop(router)
            self._offsets.pop(router, None)

    def report(
        self,
        running: int,
        engines: int,
        now: float,
    ) -> messages.LoadReport:
        """Return own subtotal and the newest ones known of others."""
        own = messages.Load(
            self._router,
            self._model,
            running,
            engines,
            round(now * 1000),
            0,
        )
        others = [
            msgspec.structs.replace(
                known.load,
                age_ms=round((now - known.taken) * 1000),
            )
            for known in self._subtotals.values()
            if now - known.taken < self._cfg.report_expiry_s
        ]
        return messages.LoadReport((own, *others))

    def estimate(self, now: float) -> Estimate:
        """Return the lower estimate of what other routers have running.

        Completions since a report are independent of each other, so their
        variances add up over the routers, not their deviations.
        """
        if not 0 <= now - self._estimated < _KEPT_S:
            self._estimated = now
            self._estimate = self._sum(now + _KEPT_S)
        return self._estimate

    def _sum(self, now: float) -> Estimate:
        known = 0
        trusted: float = 0
        finished: float = 0
        for subtotal in self._subtotals.values():
            age = max(0, now - subtotal.taken)
            running = subtotal.load.running
            known += running
            trusted += running * self._trust(age)
            finished += running * min(1, age * self.finish_rate)
        margin = finished + self._cfg.margin_deviations * math.sqrt(finished)
        return Estimate(known, max(0, math.floor(trusted - margin)))

    def _trust(self, age: float) -> float:
        """Return 1 up to half of the expiry, then falling to 0 at it."""
        expiry = self._cfg.report_expiry_s
        return max(0, min(1, 2 * (1 - age / expiry)))

    def _take(self, load: messages.Load, now: float) -> None:
        known = self._subtotals.get(load.router)
        fresh = known is not None and (
            now - known.taken < self._cfg.report_expiry_s
        )
        if known and fresh and load.sequence <= known.load.sequence:
            return
        sent = load.sequence / 1000
        # The smallest difference seen between the two clocks shows how late
        # a message is; its own age does not count the time on the way.
        offset = now - load.age_ms / 1000 - sent
        earlier = self._offsets.get(load.router, offset)
        if known is not None and not fresh:
            earlier = offset
        self._offsets[load.router] = min(earlier, offset)
        taken = sent + self._offsets[load.router]
        self._subtotals[load.router] = Subtotal(load, taken)
