"""Subtotals of running requests of other routers and their lower estimate."""

import math
import typing

import msgspec

from papayaloom import ids, messages


# Running requests times seconds that the learned rate looks back.
_RATE_EXPOSURE = 1000


# Part of the skew of a Poisson count in its upper quantile.
_POISSON_SKEW = 1 / 6

# Weight of one report among those that show losses.
_LEARNING = 0.05

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


class Cover(msgspec.Struct):
    """Newest count of one engine by the second in rank."""

    load: messages.Covered
    taken: float


class Estimate(msgspec.Struct, frozen=True):
    """Running requests of other routers.

    :param known: sum of the newest reports.
    :param lower: lower estimate.
    """

    known: int
    lower: int


class Clocks:
    """Differences between the clocks of other routers and the own one.

    The smallest difference that was seen shows how late a message is. Its own
    age does not count the time on the way.
    """

    def __init__(self) -> None:
        """Start without differences."""
        self._offsets: dict[ids.RouterId, float] = {}

    def taken(
        self,
        load: messages.Load | messages.Covered,
        now: float,
    ) -> float:
        """Return when a load was counted, in seconds of the own clock."""
        sent = load.sequence / 1000
        offset = now - load.age_ms / 1000 - sent
        earlier = self._offsets.get(load.router, offset)
        self._offsets[load.router] = min(earlier, offset)
        return sent + self._offsets[load.router]

    def forget(self, router: ids.RouterId) -> None:
        """Drop the difference to a router's clock."""
        self._offsets.pop(router, None)


class Losses:
    """How many ends of requests were not reported at once.

    A router that tells every end at once leaves nothing unseen but what is
    lost or late. That is learned from the counts of ended requests.
    """

    def __init__(self) -> None:
        """Start as if no end was reported at once."""
        self._missed: float = 1
        self._late_s: float = 1

    def learn(self, ended: int, late_s: float) -> None:
        """Note a report.

        :param ended: requests that have ended since the report before.
        :param late_s: age of the report when it came.
        """
        self._late_s = max(late_s, self._late_s * (1 - _LEARNING))
        if ended > 0:
            missed = (ended - 1) / ended
            self._missed += (missed - self._missed) * min(1, ended * _LEARNING)

    def unseen_s(self, age: float) -> float:
        """Return the seconds of a report's age whose ends are not known.

        After a second without any report, none of them is.
        """
        promised = min(age, 1)
        unseen = promised * self._missed + min(promised, self._late_s)
        return min(age, unseen + max(0, age - 1))


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
        self._covers: dict[ids.EngineId, Cover] = {}
        self._told = 0
        self._clocks = Clocks()
        self._losses = Losses()
        self.finish_rate = cfg.finish_rate
        self._observed: tuple[float, int] | None = None
        self._estimate = Estimate(0, 0)
        self._estimated = float('-inf')

    def configure(self, cfg: Cfg) -> None:
        """Take new limits."""
        self._cfg = cfg

    def cover(
        self,
        engine: ids.EngineId,
        owner: ids.RouterId,
        running: int,
        taken: float,
    ) -> None:
        """Note an engine's own count, to stand in for a silent owner.

        :param running: running requests without those granted here.
        """
        load = messages.Covered(
            self._router,
            owner,
            self._model,
            engine,
            running,
            round(taken * 1000),
            0,
        )
        self._covers[engine] = Cover(load, taken)

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
        for cover in report.covered:
            if cover.router != self._router and cover.model == self._model:
                self._take_cover(cover, now)

    def forget(self, members: typing.Container[ids.RouterId]) -> None:
        """Drop the subtotals of routers that are no members any more."""
        gone = [one for one in self._subtotals if one not in members]
        for router in gone:
            self._subtotals.pop(router)
            self._clocks.forget(router)
        self._covers = {
            engine: cover
            for engine, cover in self._covers.items()
            if cover.load.owner in members
        }

    def report(
        self,
        running: int,
        engines: int,
        finished: int,
        now: float,
        counts: tuple[tuple[ids.EngineId, int], ...] = (),
    ) -> messages.LoadReport:
        """Return own subtotal and the newest ones known of others.

        :param counts: running requests on each engine, in a small fleet.
        :param finished: own requests that have ended since the start.
        """
        self._told = finished
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
            for known in self._subtotals.values()
            if now - known.taken < self._cfg.report_expiry_s
        ]
        covered = [
            msgspec.structs.replace(
                cover.load,
                age_ms=round((now - cover.taken) * 1000),
            )
            for cover in self._covers.values()
            if self._silence(cover.load.owner, now) > 0
            and now - cover.taken < self._cfg.report_expiry_s
        ]
        return messages.LoadReport((own, *others), tuple(covered))

    def untold(self, finished: int) -> bool:
        """Tell whether requests have ended since the newest own report.

        A small fleet then sends a report to all members at once, so that a
        mean that falls is known everywhere within a message's time. The first
        load of a report is enough for that.
        """
        return finished != self._told

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
        for running, weight, age in self._counts(now):
            known += running
            trusted += running * weight
            unseen_s = self._losses.unseen_s(age)
            finished += running * weight * min(1, unseen_s * self.finish_rate)
        margin = _upper(finished, self._cfg.margin_deviations)
        return Estimate(known, max(0, math.floor(trusted - margin)))

    def _counts(
        self,
        now: float,
    ) -> typing.Iterator[tuple[int, float, float]]:
        """Yield running requests, their weight, and their age in seconds."""
        for subtotal in self._subtotals.values():
            age = max(0, now - subtotal.taken)
            yield subtotal.load.running, self._trust(age), age
        for cover in self._covers.values():
            silence = self._silence(cover.load.owner, now)
            age = max(0, now - cover.taken)
            if silence and cover.load.running > 0:
                weight = silence * self._trust(age)
                yield cover.load.running, weight, age

    def _silence(self, owner: ids.RouterId, now: float) -> float:
        """Return the share by which an owner's own subtotal is missing."""
        known = self._subtotals.get(owner)
        if owner == self._router:
            return 0
        return 1 - self._trust(now - known.taken) if known else 1

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
        if known is not None and load.sequence <= known.load.sequence:
            # The router has started again with another clock.
            self._clocks.forget(load.router)
        taken = self._clocks.taken(load, now)
        if known is not None and fresh:
            ended = load.finished - known.load.finished
            self._losses.learn(ended, now - taken)
        self._subtotals[load.router] = Subtotal(load, taken)

    def _take_cover(self, cover: messages.Covered, now: float) -> None:
        taken = self._clocks.taken(cover, now)
        known = self._covers.get(cover.engine)
        if known is None or known.taken < taken:
            self._covers[cover.engine] = Cover(cover, taken)


def _upper(mean: float, deviations: float) -> float:
    """Return an upper quantile of a Poisson count.

    The last term is the skew that a count with a small mean has.
    """
    skew = deviations**2 * _POISSON_SKEW * min(1, mean)
    return mean + deviations * math.sqrt(mean) + skew
