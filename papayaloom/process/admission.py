"""Owner side: admits requests to the engines for which this router ranks."""

import math
import typing

import msgspec

from papayaloom import ids, messages
from papayaloom.process import loads  # noqa: WPS347 (not json's function)
from papayaloom.process import (
    engines,
    holds,
    promises,
    queue,
    ranks,
    rights,
)

_QUEUE = 'placement.queue_length'
_LONGEST_RETRY_S = 60


class Cfg(msgspec.Struct, frozen=True):
    """Limits of an owner for one model.

    :param load_multiple: highest load of an engine over the mean load.
    :param most_running: highest load of an engine, whatever the mean.
    :param reserve: share of the highest load that is kept for organisations
        with less than their share of an engine.
    :param small_fleet: most members with which load reports name the engines.
    :param hold_s: seconds for which a grant lives without a renewal.
    :param refuse_factor: a request is refused at once when its estimated wait
        is longer than this many times the time that it can wait.
    """

    load_multiple: float = 1.15
    most_running: int = 64
    reserve: float = 0.1
    small_fleet: int = 12
    hold_s: float = 10
    refuse_factor: float = 2
    rank: ranks.Cfg = ranks.Cfg()
    promise: promises.Cfg = promises.Cfg()
    right: rights.Cfg = rights.Cfg()
    load: loads.Cfg = loads.Cfg()
    engine: engines.Cfg = engines.Cfg()
    waiting: queue.Cfg = queue.Cfg()


class EngineDump(msgspec.Struct, frozen=True):
    """One engine in the dump.

    :param granted: running grants of this router.
    :param extra: running requests that only the engine's own report shows.
    :param load: running requests, those of other owners included.
    """

    engine: ids.EngineId
    granted: int
    extra: int
    load: int
    cap: int
    free: bool
    waiting: int


class Dump(msgspec.Struct, frozen=True):
    """State of an owner."""

    total_lower: int
    live: int
    quorate: bool
    engines: tuple[EngineDump, ...]


def cap(multiple: float, total: int, live: int) -> int:
    """Return the highest load of an engine after an admission.

    Computed with integers, so that a rounding error never adds one.

    :param multiple: load multiple, kept to thousandths.
    :param total: running requests on all live engines before the admission.
    :param live: number of live engines.
    """
    thousandths = round(multiple * 1000) * (total + 1)
    return max(1, -(-thousandths // (1000 * max(live, 1))))


class Room(msgspec.Struct, frozen=True):
    """Whether an engine has room for one more request.

    :param load: running requests, those of other owners included.
    :param setting: path of the setting that leaves no room.
    """

    free: bool
    load: int
    cap: int
    setting: str


class Owner:
    """Admits requests to engines of one model.

    :param router: own identity.
    :param cached: returns the prompt tokens of an ask that its engine has
        cached.
    """

    def __init__(
        self,
        cfg: Cfg,
        router: ids.RouterId,
        model: ids.ModelId,
        cached: typing.Callable[[messages.Ask], int] | None = None,
    ) -> None:
        """Start without grants and without rights."""
        self._cfg = cfg
        self._cached = cached or (lambda ask: 0)
        self.ranks = ranks.Ranks(cfg.rank, router)
        self.engines = engines.Engines(cfg.engine)
        self.loads = loads.Loads(cfg.load, router, model)
        self.holds = holds.Holds(cfg.hold_s)
        self.promises = promises.Promises(cfg.promise)
        self.rights = rights.Rights(
            cfg.right,
            router,
            self.ranks,
            self.holds,
            self.promises,
        )
        self.queues = queue.Queues(cfg.waiting)

    def configure(self, cfg: Cfg) -> None:
        """Take new limits; running and waiting requests stay."""
        self._cfg = cfg
        self.ranks.configure(cfg.rank)
        self.engines.configure(cfg.engine)
        self.loads.configure(cfg.load)
        self.promises.configure(cfg.promise)
        self.rights.configure(cfg.right)
        self.holds.hold_s = cfg.hold_s
        self.queues.configure(cfg.waiting)

    def update_engines(
        self,
        live: typing.Iterable[ids.EngineId],
        leaving: typing.Iterable[ids.EngineId],
        now: float,
    ) -> list[messages.Send]:
        """Take the newest list of the model's engines.

        :returns: denials of requests that wait for an engine that is not live.
        """
        for gone in self.engines.update(live, leaving, now):
            self.holds.clear(gone)
        return [
            self._drop(entry, messages.GrantState.DENIED)
            for entry in self.queues.keep(self.engines.live)
        ]

    def update_members(
        self,
        members: typing.Iterable[messages.Member],
        listed: typing.Collection[ids.RouterId] | None,
        now: float,
    ) -> None:
        """Take the newest membership of the region."""
        self.ranks.update(members, listed, now)
        self.loads.forget(self.ranks.ranked)

    def engine_report(
        self,
        engine: ids.EngineId,
        running: int,
        taken: float,
        now: float,
    ) -> None:
        """Take an engine's own count of running requests.

        :param taken: when the engine was asked, in seconds of this router's
            clock; the count is not older.
        """
        self.holds.correct(engine, running, taken, now)
        self.rights.reported(engine, running, taken)
        foreign = max(0, running - self.holds.count(engine))
        self.loads.cover(engine, self.ranks.order(engine)[0], foreign, taken)

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.Message,
        now: float,
    ) -> list[messages.Send]:
        """Take a message from a router, this one included."""
        match message:
            case messages.Ask():
                return [self._ask(sender, message, now)]
            case messages.Hold():
                self.holds.renew(sender, message.engine, message.asks, now)
            case messages.Release():
                key = (sender, message.ask)
                self.holds.remove(key, message.engine, now)
                self.queues.remove(key)
                return self._serve(message.engine, now)
            case messages.LoadReport():
                self.loads.take(message, now)
            case _:
                return self.rights.handle(sender, message, now)
        return []

    def tick(self, now: float) -> list[messages.Send]:
        """Expire holds and waiting requests, and renew promises."""
        self.holds.expire(now)
        sends = [
            self._drop(entry, messages.GrantState.EXPIRED)
            for entry in self.queues.expire(now)
        ]
        for engine in self.queues.engines():
            sends.extend(self._serve(engine, now))
        renew_s = self._cfg.promise.renew_s
        sends.extend(self.rights.tick(self.engines.live, renew_s, now))
        self.loads.observe(self.holds.finished, self.running(now), now)
        return sends

    def report(self, now: float) -> messages.LoadReport:
        """Return the load report to be gossiped."""
        counts: tuple[tuple[ids.EngineId, int], ...] = ()
        if len(self.ranks.ranked) <= self._cfg.small_fleet:
            counts = self.holds.handover().engines
        return self.loads.report(
            self.running(now),
            len(self.engines.live),
            self.holds.finished,
            now,
            counts,
        )

    def running(self, now: float) -> int:
        """Return a lower estimate of own grants on live engines."""
        rate = self.loads.finish_rate
        return self.holds.lower(self.engines.live, rate, now)

    def room(self, engine: ids.EngineId, now: float) -> Room:
        """Tell whether an engine has room for one more request."""
        ceiling = 0
        multiple = self._cfg.load_multiple
        share = self.engines.warm_share(engine, multiple, now)
        if share:
            total = self.running(now) + self.loads.estimate(now).lower
            full = cap(multiple, total, self.engines.counted(now))
            ceiling = max(1, int(min(full, self._cfg.most_running) * share))
        right = self.rights.right(engine, ceiling, now)
        own = self.holds.count(engine)
        load = own + max(right.foreign, self.holds.extra(engine))
        free = own < right.limit and load < ceiling
        return Room(free, load, ceiling, right.setting)

    def dump(self, now: float) -> Dump:
        """Return the state for the status dump."""
        shown = []
        for engine in sorted(self.engines.live):
            room = self.room(engine, now)
            shown.append(
                EngineDump(
                    engine,
                    self.holds.count(engine),
                    self.holds.extra(engine),
                    room.load,
                    room.cap,
                    room.free,
                    self.queues.waiting(engine),
                ),
            )
        return Dump(
            self.loads.estimate(now).lower + self.running(now),
            len(self.engines.live),
            self.ranks.quorate,
            tuple(shown),
        )

    def _ask(
        self,
        sender: ids.RouterId,
        ask: messages.Ask,
        now: float,
    ) -> messages.Send:
        key = (sender, ask.ask)
        room = self.room(ask.engine, now)
        if self.holds.has(key, ask.engine):
            return _answer(sender, ask, messages.GrantState.GRANTED, room)
        if key in self.queues:
            return _answer(sender, ask, messages.GrantState.QUEUED, room)
        queued = self.queues.waiting(ask.engine)
        shares = _sharing(self._cfg, self.holds, ask.engine, room)
        if room.free and not queued and shares(ask.organisation):
            return self._grant(sender, ask, room, now)
        if not room.cap or room.setting != rights.MULTIPLE:
            return _answer(sender, ask, messages.GrantState.DENIED, room)
        return self._wait(sender, ask, room, now)

    def _wait(
        self,
        sender: ids.RouterId,
        ask: messages.Ask,
        room: Room,
        now: float,
    ) -> messages.Send:
        """Queue an ask, or refuse it when it would wait for too long."""
        waits = min(ask.wait_ms, ask.deadline_ms) / 1000
        entry = queue.Entry((sender, ask.ask), ask, now, now + waits)
        rate = max(self.holds.count(ask.engine), 1) * self.loads.finish_rate
        expected = self.queues.estimated_wait(entry, rate, now)
        if waits <= 0 or expected > self._cfg.refuse_factor * waits:
            state = messages.GrantState.DENIED
            return _answer(sender, ask, state, room, expected)
        dropped = self.queues.push(entry, now)
        if dropped is None:
            state = messages.GrantState.QUEUED
            return _answer(sender, ask, state, room)
        return self._drop(dropped, messages.GrantState.DENIED)

    def _serve(
        self,
        engine: ids.EngineId,
        now: float,
    ) -> list[messages.Send]:
        """Grant waiting requests as long as there is room."""
        sends = []
        while self.queues.waiting(engine):
            room = self.room(engine, now)
            if not room.free:
                break
            entry = self.queues.pop(
                engine, now, _sharing(self._cfg, self.holds, engine, room)
            )
            if entry is None:
                break
            sends.append(self._grant(entry.key[0], entry.ask, room, now))
        return sends

    def _grant(
        self,
        sender: ids.RouterId,
        ask: messages.Ask,
        room: Room,
        now: float,
    ) -> messages.Send:
        grant = holds.Grant(ask.engine, now, ask.organisation, ask.chat)
        self.holds.add((sender, ask.ask), grant, now)
        granted = msgspec.structs.replace(room, load=room.load + 1)
        state = messages.GrantState.GRANTED
        return _answer(sender, ask, state, granted, cached=self._cached(ask))

    def _drop(
        self,
        entry: queue.Entry,
        state: messages.GrantState,
    ) -> messages.Send:
        """Answer a request that leaves the queue without a grant."""
        load = self.holds.count(entry.ask.engine)
        room = Room(free=False, load=load, cap=0, setting=_QUEUE)
        return _answer(entry.key[0], entry.ask, state, room)


def _sharing(
    cfg: Cfg,
    held: holds.Holds,
    engine: ids.EngineId,
    room: Room,
) -> queue.Admits:
    """Return whether an organisation may have one more request.

    The last places of an engine are kept for the organisations that have less
    than their share of it, so that a surge of one of them does not let the
    others wait.
    """
    # An engine that runs one request at a time keeps no place free.
    shared = max(
        1, cfg.most_running - math.ceil(cfg.most_running * cfg.reserve)
    )

    def admits(organisation: ids.OrgId) -> bool:
        full = room.load >= shared
        return not full or not held.exceeds(engine, organisation, shared)

    return admits


def _answer(
    sender: ids.RouterId,
    ask: messages.Ask,
    state: messages.GrantState,
    room: Room,
    retry_s: float = 1,
    cached: int = 0,
) -> messages.Send:
    denied = state in {
        messages.GrantState.DENIED,
        messages.GrantState.EXPIRED,
    }
    answer = messages.Answer(
        ask.ask,
        ask.engine,
        state,
        room.load,
        room.cap,
        cached,
        round(min(retry_s, _LONGEST_RETRY_S) * 1000) if denied else 0,
        room.setting if denied else '',
    )
    return messages.Send(sender, answer, messages.Priority.ADMISSION)
