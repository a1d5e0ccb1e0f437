"""Part of an engine's cap that a router may use, by rank and promise."""

import msgspec

from papayaloom import ids, messages
from papayaloom.process import holds, promises, ranks

MULTIPLE_SETTING = 'placement.load_multiple'
SETTLE_SETTING = 'placement.settle_s'
PROMISE_SETTING = 'placement.promise_s'


class Cfg(msgspec.Struct, frozen=True):
    """Timing of quotas.

    :param settle_s: seconds for which a router that has become first waits, so
        that the home routers can list their running requests to it.
    :param report_lag_s: largest age in seconds of an engine's own report.
    :param confirm_s: seconds after the end of a promise in which its holder
        still uses half of the cap; others take over only after that.
    """

    settle_s: float = 6
    report_lag_s: float = 3
    confirm_s: float = 30


class Quota(msgspec.Struct, frozen=True):
    """Part of an engine's cap that this router may use.

    :param limit: largest number of active grants of this router.
    :param foreign: active grants of the other router, which count as well.
    :param setting: path of the setting that determines the limit.
    """

    limit: int
    foreign: int = 0
    setting: str = MULTIPLE_SETTING


# Longest time from a grant until its request runs on the engine.
_TRANSIT_S = 0.5
_NO_QUOTA = Quota(0, 0, PROMISE_SETTING)
_SETTLING_QUOTA = Quota(0, 0, SETTLE_SETTING)


class Quotas:
    """Determines the quotas of one router by rank, promises and reports.

    :param router: id of this router.
    """

    def __init__(
        self,
        cfg: Cfg,
        router: ids.RouterId,
        ranked: ranks.Ranks,
        held: holds.Holds,
        agreed: promises.Promises,
    ) -> None:
        """Create quotas without engine reports."""
        self._cfg = cfg
        self._router = router
        self._ranks = ranked
        self._holds = held
        self._promises = agreed
        self._first_since: dict[ids.EngineId, float] = {}
        self._reports: dict[ids.EngineId, tuple[int, float]] = {}
        self._handed_over: dict[ids.EngineId, int] = {}
        self._last_tick = float('-inf')
        self._served: list[ids.EngineId] = []
        self._served_key: tuple[int, frozenset[ids.EngineId]] = (
            -1,
            frozenset(),
        )

    def configure(self, cfg: Cfg) -> None:
        """Apply new timing."""
        self._cfg = cfg

    def record_report(
        self,
        engine: ids.EngineId,
        running: int,
        taken: float,
    ) -> None:
        """Record an engine's own count of running requests."""
        newest = self._reports.get(engine, (0, float('-inf')))[1]
        if taken > newest:
            self._reports[engine] = (running, taken)

    def quota(self, engine: ids.EngineId, cap: int, now: float) -> Quota:
        """Return the quota for an engine.

        :param cap: current cap of the engine.
        """
        given = self._promises.given(engine)
        is_promised = given is not None and given.until > now
        was_paused = now - self._last_tick > self._cfg.settle_s
        if was_paused or is_promised or not self._ranks.quorate:
            return _NO_QUOTA
        order = self._ranks.order(engine)
        if order[0] == self._router:
            return self._first_quota(engine, order, cap, now)
        if given is None or given.first != order[0]:
            return self._former_first_quota(engine, cap, now)
        if order[1] == self._router:
            return self._headroom(engine, cap, now) or _NO_QUOTA
        return _NO_QUOTA

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.Message,
        now: float,
    ) -> list[messages.Send]:
        """Handle another router's message about promises or a handover."""
        match message:
            case messages.PromiseRequest():
                counts = {
                    engine: self._holds.count(engine)
                    for engine in message.engines
                    if self._ranks.precedes(sender, self._router, engine)
                }
                return [self._promises.give(sender, message, counts, now)]
            case messages.Promise():
                self._promises.record(sender, message)
            case messages.Handover():
                self._ranks.mark_left(sender)
                self._promises.release(sender)
                self._handed_over.update(message.engines)
        return []

    def tick(
        self,
        engines: frozenset[ids.EngineId],
        renew_s: float,
        now: float,
    ) -> list[messages.Send]:
        """Renew the promises for the engines that this router owns."""
        if now - self._last_tick > self._cfg.settle_s:
            # During a pause of the process, holds may have expired although
            # their requests still run. The home routers list them again, as
            # they do for a new first.
            self._first_since.clear()
            self._handed_over.clear()
        self._last_tick = now
        self._update_served(engines)
        wanted: dict[ids.RouterId, list[ids.EngineId]] = {}
        for engine in self._served:
            second = self._second_to_ask(engine, now)
            if second is not None and self._renewal_due(
                engine, second, renew_s, now
            ):
                wanted.setdefault(second, []).append(engine)
        return [
            self._promises.request(second, asked, now)
            for second, asked in wanted.items()
        ]

    def _renewal_due(
        self,
        engine: ids.EngineId,
        second: ids.RouterId,
        renew_s: float,
        now: float,
    ) -> bool:
        """Return whether to request a promise; repeats until it is answered."""
        held = self._promises.held(engine, second)
        return held is None or now - held.since >= renew_s

    def _update_served(self, engines: frozenset[ids.EngineId]) -> None:
        """Update the engines that this router owns or has owned.

        Iterates over all engines, so it runs only after a change of members or
        engines.
        """
        served_key = (self._ranks.version, engines)
        if served_key == self._served_key:
            return
        self._served_key = served_key
        self._served = [
            engine
            for engine in sorted(engines)
            if self._ranks.order(engine)[0] == self._router
            or self._promises.newest(engine)
        ]

    def _second_to_ask(
        self,
        engine: ids.EngineId,
        now: float,
    ) -> ids.RouterId | None:
        order = self._ranks.order(engine)
        if order[0] == self._router:
            since = self._first_since.setdefault(engine, now)
            # No promise is requested while settling, so that the former first
            # keeps admitting until then.
            may_request = (
                self._has_settled(engine, since, now) and len(order) > 1
            )
            return order[1] if may_request else None
        self._first_since.pop(engine, None)
        self._handed_over.pop(engine, None)
        held = self._promises.newest(engine)
        if held and held.until > now and not self._promises.given(engine):
            return held.second
        return None

    def _has_settled(
        self, engine: ids.EngineId, since: float, now: float
    ) -> bool:
        return now - since >= self._cfg.settle_s or engine in self._handed_over

    def _first_quota(
        self,
        engine: ids.EngineId,
        order: tuple[ids.RouterId, ...],
        cap: int,
        now: float,
    ) -> Quota:
        since = self._first_since.setdefault(engine, now)
        if not self._has_settled(engine, since, now):
            return self._headroom(engine, cap, now) or _SETTLING_QUOTA
        if not self._earlier_first_stopped(engine, now):
            return self._headroom(engine, cap, now) or _NO_QUOTA
        # Until the home routers have renewed their holds here, the running
        # requests of a router that handed over are known only by its counts.
        is_settling = now - since < self._cfg.settle_s
        handed_over = self._handed_over.get(engine, 0) if is_settling else 0
        if len(order) == 1:
            return Quota(cap, handed_over)
        held = self._promises.held(engine, order[1])
        if held and held.until > now:
            return Quota(cap, held.foreign + handed_over)
        report_quota = self._headroom(engine, cap, now)
        if (
            report_quota
            or held is None
            or held.until + self._cfg.confirm_s <= now
        ):
            return report_quota or _NO_QUOTA
        reserved = max(held.foreign, cap // 2)
        return Quota(cap - reserved, handed_over, PROMISE_SETTING)

    def _earlier_first_stopped(self, engine: ids.EngineId, now: float) -> bool:
        """Return whether an earlier first has certainly stopped admitting."""
        given = self._promises.given(engine)
        return (
            given is None
            or given.until + self._cfg.confirm_s <= now
            or self._ranks.has_left(given.first)
        )

    def _former_first_quota(
        self, engine: ids.EngineId, cap: int, now: float
    ) -> Quota:
        """Return the quota of a former first before the new one takes over."""
        held = self._promises.newest(engine)
        if held is None or held.until <= now:
            return _NO_QUOTA
        return Quota(cap, held.foreign)

    def _headroom(
        self,
        engine: ids.EngineId,
        cap: int,
        now: float,
    ) -> Quota | None:
        """Return a quota of half the headroom in the engine's own report.

        A first and a second that cannot reach each other both read the
        engine's count. Each may grant at most half of what this count leaves
        of the cap. The router that has made no promise gets the larger half,
        because both may consider themselves first in rank.
        """
        running, taken = self._reports.get(engine, (cap, float('-inf')))
        if now - taken > self._cfg.report_lag_s or not self._is_still_expected(
            engine, now
        ):
            return None
        unreported = self._holds.count_newer_than(engine, taken - _TRANSIT_S)
        headroom = max(0, cap - running)
        rounds_up = self._promises.given(engine) is None
        grantable = (headroom + rounds_up) // 2 - unreported
        limit = self._holds.count(engine) + max(0, grantable)
        return Quota(limit, 0, PROMISE_SETTING)

    def _is_still_expected(self, engine: ids.EngineId, now: float) -> bool:
        """Return whether the other of the two still counts on this router.

        The other one replaces it only once it is confirmed gone.
        """
        held = self._promises.newest(engine)
        given = self._promises.given(engine)
        ends = [one.until for one in (held, given) if one is not None]
        return max(ends, default=float('-inf')) + self._cfg.confirm_s > now
