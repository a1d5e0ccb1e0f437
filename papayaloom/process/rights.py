"""Which part of an engine's cap a router may use, by rank and promise."""

import msgspec

from papayaloom import ids, messages
from papayaloom.process import holds, promises, ranks

MULTIPLE = 'placement.load_multiple'
SETTLE = 'placement.settle_s'
PROMISE = 'placement.promise_s'


class Cfg(msgspec.Struct, frozen=True):
    """Times that bound a router's right to admit.

    :param settle_s: seconds that a router which has just become first waits,
        so that the homes can name their running requests to it.
    :param report_lag_s: seconds by which an engine's own report may lag.
    :param confirm_s: seconds after the end of its promise in which a first
        still uses its half; the others take over no earlier than that.
    """

    settle_s: float = 6
    report_lag_s: float = 3
    confirm_s: float = 30


class Right(msgspec.Struct, frozen=True):
    """How much of an engine's cap this router may use.

    :param limit: most running grants of this router.
    :param foreign: running grants of the other router, to be counted as well.
    :param setting: path of the setting that decides when the limit is reached.
    """

    limit: int
    foreign: int = 0
    setting: str = MULTIPLE


# Longest time from a grant until its request runs at the engine.
_TRANSIT_S = 0.5
_NOTHING = Right(0, 0, PROMISE)
_SETTLING = Right(0, 0, SETTLE)


class Rights:
    """Rights of one router to admit to engines.

    :param router: own identity.
    """

    def __init__(
        self,
        cfg: Cfg,
        router: ids.RouterId,
        ranked: ranks.Ranks,
        held: holds.Holds,
        agreed: promises.Promises,
    ) -> None:
        """Start without promises."""
        self._cfg = cfg
        self._router = router
        self._ranks = ranked
        self._holds = held
        self._promises = agreed
        self._first_since: dict[ids.EngineId, float] = {}
        self._reports: dict[ids.EngineId, tuple[int, float]] = {}
        self._handed: dict[ids.EngineId, int] = {}
        self._ticked = float('-inf')
        self._served: list[ids.EngineId] = []
        self._served_for: tuple[int, frozenset[ids.EngineId]] = (
            -1,
            frozenset(),
        )

    def configure(self, cfg: Cfg) -> None:
        """Take new times."""
        self._cfg = cfg

    def reported(
        self,
        engine: ids.EngineId,
        running: int,
        taken: float,
    ) -> None:
        """Note an engine's own count of running requests."""
        newest = self._reports.get(engine, (0, float('-inf')))[1]
        if taken > newest:
            self._reports[engine] = (running, taken)

    def right(self, engine: ids.EngineId, cap: int, now: float) -> Right:
        """Return the right to an engine.

        :param cap: the engine's cap at this moment.
        """
        given = self._promises.given(engine)
        promised = given is not None and given.until > now
        paused = now - self._ticked > self._cfg.settle_s
        if paused or promised or not self._ranks.quorate:
            return _NOTHING
        order = self._ranks.order(engine)
        if order[0] == self._router:
            return self._first(engine, order, cap, now)
        if given is None or given.first != order[0]:
            return self._former(engine, cap, now)
        if order[1] == self._router:
            return self._headroom(engine, cap, now) or _NOTHING
        return _NOTHING

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.Message,
        now: float,
    ) -> list[messages.Send]:
        """Take a message about promises from another router."""
        match message:
            case messages.PromiseRequest():
                counts = {
                    engine: self._holds.count(engine)
                    for engine in message.engines
                    if self._ranks.precedes(sender, self._router, engine)
                }
                return [self._promises.give(sender, message, counts, now)]
            case messages.Promise():
                self._promises.take(sender, message)
            case messages.Handover():
                self._ranks.leave(sender)
                self._promises.release(sender)
                self._handed.update(message.engines)
        return []

    def tick(
        self,
        engines: frozenset[ids.EngineId],
        renew_s: float,
        now: float,
    ) -> list[messages.Send]:
        """Renew the promises for the engines that this router serves."""
        if now - self._ticked > self._cfg.settle_s:
            # After a pause, holds may have expired without their requests
            # having ended: the homes name them again as to a new first.
            self._first_since.clear()
            self._handed.clear()
        self._ticked = now
        self._choose(engines)
        wanted: dict[ids.RouterId, list[ids.EngineId]] = {}
        for engine in self._served:
            second = self._second_to_ask(engine, now)
            if second is not None and self._due(engine, second, renew_s, now):
                wanted.setdefault(second, []).append(engine)
        return [
            self._promises.request(second, asked, now)
            for second, asked in wanted.items()
        ]

    def _due(
        self,
        engine: ids.EngineId,
        second: ids.RouterId,
        renew_s: float,
        now: float,
    ) -> bool:
        """Tell whether to ask again; without an answer that is at each tick."""
        held = self._promises.held(engine, second)
        return held is None or now - held.since >= renew_s

    def _choose(self, engines: frozenset[ids.EngineId]) -> None:
        """Choose the engines that this router serves, or served as a first.

        The choice costs a look at every engine, so it is made only when the
        members or the engines have changed.
        """
        chosen_for = (self._ranks.version, engines)
        if chosen_for == self._served_for:
            return
        self._served_for = chosen_for
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
            # The former first goes on admitting until it is asked.
            asks = self._settled(engine, since, now) and len(order) > 1
            return order[1] if asks else None
        self._first_since.pop(engine, None)
        self._handed.pop(engine, None)
        held = self._promises.newest(engine)
        if held and held.until > now and not self._promises.given(engine):
            return held.second
        return None

    def _settled(self, engine: ids.EngineId, since: float, now: float) -> bool:
        return now - since >= self._cfg.settle_s or engine in self._handed

    def _first(
        self,
        engine: ids.EngineId,
        order: tuple[ids.RouterId, ...],
        cap: int,
        now: float,
    ) -> Right:
        since = self._first_since.setdefault(engine, now)
        if not self._settled(engine, since, now):
            return self._headroom(engine, cap, now) or _SETTLING
        if not self._released(engine, now):
            return self._headroom(engine, cap, now) or _NOTHING
        # Until the homes have renewed their holds here, the running requests
        # of a router that handed over are known by its last counts only.
        young = now - since < self._cfg.settle_s
        handed = self._handed.get(engine, 0) if young else 0
        if len(order) == 1:
            return Right(cap, handed)
        held = self._promises.held(engine, order[1])
        if held and held.until > now:
            return Right(cap, held.foreign + handed)
        shared = self._headroom(engine, cap, now)
        if shared or held is None or held.until + self._cfg.confirm_s <= now:
            return shared or _NOTHING
        reserved = max(held.foreign, cap // 2)
        return Right(cap - reserved, handed, PROMISE)

    def _released(self, engine: ids.EngineId, now: float) -> bool:
        """Tell whether an earlier first has stopped admitting for sure."""
        given = self._promises.given(engine)
        return (
            given is None
            or given.until + self._cfg.confirm_s <= now
            or self._ranks.has_left(given.first)
        )

    def _former(self, engine: ids.EngineId, cap: int, now: float) -> Right:
        """Return the right of a first that a newer router has not asked yet."""
        held = self._promises.newest(engine)
        if held is None or held.until <= now:
            return _NOTHING
        return Right(cap, held.foreign)

    def _headroom(
        self,
        engine: ids.EngineId,
        cap: int,
        now: float,
    ) -> Right | None:
        """Return half of the headroom that the engine's own report shows.

        The first and the second that lost touch both read the engine's count.
        Each has at most half of what is left to the cap granted after it. The
        larger half is for the one that promised nothing: both may think that
        they rank first.
        """
        running, taken = self._reports.get(engine, (cap, float('-inf')))
        if now - taken > self._cfg.report_lag_s or not self._knew(engine, now):
            return None
        unreported = self._holds.count_since(engine, taken - _TRANSIT_S)
        left = max(0, cap - running)
        larger = self._promises.given(engine) is None
        allowed = (left + larger) // 2 - unreported
        limit = self._holds.count(engine) + max(0, allowed)
        return Right(limit, 0, PROMISE)

    def _knew(self, engine: ids.EngineId, now: float) -> bool:
        """Tell whether the other router of the two still counts on this one.

        It takes another second only when this one is confirmed gone.
        """
        held = self._promises.newest(engine)
        given = self._promises.given(engine)
        ends = [one.until for one in (held, given) if one is not None]
        return max(ends, default=float('-inf')) + self._cfg.confirm_s > now
