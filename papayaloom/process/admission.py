"""Admission control of the router that owns an engine.

An engine is owned by the router that ranks first for it. The owner grants
requests, queues them or denies them.
"""

import math
import typing

import msgspec

from papayaloom import ids, messages
from papayaloom.process import load_reports
from papayaloom.process import engines, holds, promises, queueing, quotas, ranks

_QUEUE_SETTING = 'placement.queue_length'
_MAX_RETRY_AFTER_S = 60


class Cfg(msgspec.Struct, frozen=True):
    """Admission limits of one model.

    :param load_multiple: highest load of an engine as a multiple of the mean.
    :param most_running: highest load of an engine, regardless of the mean.
    :param reserve: share of the highest load that is reserved for
        organisations below their fair share of an engine.
    :param small_fleet: largest number of members at which load reports list
        each engine.
    :param hold_s: seconds until a grant that is not renewed expires.
    :param refuse_factor: a request is denied at once when its estimated wait
        exceeds its longest wait by this factor.
    """

    load_multiple: float = 1.15
    most_running: int = 64
    reserve: float = 0.1
    small_fleet: int = 12
    hold_s: float = 10
    refuse_factor: float = 2
    rank: ranks.Cfg = ranks.Cfg()
    promise: promises.Cfg = promises.Cfg()
    quota: quotas.Cfg = quotas.Cfg()
    load: load_reports.Cfg = load_reports.Cfg()
    engine: engines.Cfg = engines.Cfg()
    waiting: queueing.Cfg = queueing.Cfg()


class EngineDump(msgspec.Struct, frozen=True):
    """State of one engine in the dump.

    :param granted: active grants of this router.
    :param extra: running requests that only the engine's own report shows.
    :param load: running requests, including those of other owners.
    """

    engine: ids.EngineId
    granted: int
    extra: int
    load: int
    cap: int
    free: bool
    waiting: int


class Dump(msgspec.Struct, frozen=True):
    """State of an owner in the dump."""

    total_lower: int
    live: int
    quorate: bool
    engines: tuple[EngineDump, ...]


def cap(multiple: float, total: int, live: int) -> int:
    """Return the highest load that an engine may have after an admission.

    Uses integer arithmetic, because a floating-point error could raise the
    result by one.

    :param multiple: load multiple, rounded to thousandths.
    :param total: running requests on all live engines before the admission.
    :param live: number of live engines.
    """
    thousandths = round(multiple * 1000) * (total + 1)
    return max(1, -(-thousandths // (1000 * max(live, 1))))


class Capacity(msgspec.Struct, frozen=True):
    """Whether an engine can run one more request.

    :param load: running requests, including those of other owners.
    :param setting: path of the setting that limits the engine.
    """

    available: bool
    load: int
    cap: int
    setting: str


class Owner:
    """Admits requests to the engines of one model.

    :param router: id of this router.
    :param cached: returns how many prompt tokens of an ask its engine has
        cached.
    """

    def __init__(
        self,
        cfg: Cfg,
        router: ids.RouterId,
        model: ids.ModelId,
        cached: typing.Callable[[messages.Ask], int] | None = None,
    ) -> None:
        """Create an owner without grants, engines or promises."""
        self._cfg = cfg
        self._cached = cached or (lambda ask: 0)
        self.ranks = ranks.Ranks(cfg.rank, router)
        self.engines = engines.Engines(cfg.engine)
        self.loads = load_reports.RouterLoads(cfg.load, router, model)
        self.holds = holds.Holds(cfg.hold_s)
        self.promises = promises.Promises(cfg.promise)
        self.quotas = quotas.Quotas(
            cfg.quota,
            router,
            self.ranks,
            self.holds,
            self.promises,
        )
        self.queues = queueing.Queues(cfg.waiting)

    def configure(self, cfg: Cfg) -> None:
        """Apply new limits; running and queued requests are kept."""
        self._cfg = cfg
        self.ranks.configure(cfg.rank)
        self.engines.configure(cfg.engine)
        self.loads.configure(cfg.load)
        self.promises.configure(cfg.promise)
        self.quotas.configure(cfg.quota)
        self.holds.hold_s = cfg.hold_s
        self.queues.configure(cfg.waiting)

    def update_engines(
        self,
        live: typing.Iterable[ids.EngineId],
        leaving: typing.Iterable[ids.EngineId],
        now: float,
    ) -> list[messages.Send]:
        """Replace the list of the model's engines.

        :returns: denials of the requests queued for engines that are not live.
        """
        for removed in self.engines.update(live, leaving, now):
            self.holds.clear(removed)
        return [
            self._reject_queued(entry, messages.GrantState.DENIED)
            for entry in self.queues.keep(self.engines.live)
        ]

    def update_members(
        self,
        members: typing.Iterable[messages.Member],
        listed: typing.Collection[ids.RouterId] | None,
        now: float,
    ) -> None:
        """Replace the membership of the region."""
        self.ranks.update(members, listed, now)
        self.loads.retain(self.ranks.ranked)

    def record_engine_report(
        self,
        engine: ids.EngineId,
        running: int,
        taken: float,
        now: float,
    ) -> None:
        """Record an engine's own count of running requests.

        :param taken: when the engine was queried, in seconds of this router's
            clock; the count is no older than that.
        """
        self.holds.reconcile(engine, running, taken, now)
        self.quotas.record_report(engine, running, taken)
        foreign = max(0, running - self.holds.count(engine))
        self.loads.record_fallback(
            engine, self.ranks.order(engine)[0], foreign, taken
        )

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.Message,
        now: float,
    ) -> list[messages.Send]:
        """Handle a message from any router, including this one."""
        match message:
            case messages.Ask():
                return [self._handle_ask(sender, message, now)]
            case messages.Hold():
                self.holds.renew(sender, message.engine, message.asks, now)
            case messages.Release():
                key = (sender, message.ask)
                self.holds.remove(key, message.engine, now)
                self.queues.remove(key)
                return self._serve_queue(message.engine, now)
            case messages.LoadReport():
                self.loads.record(message, now)
            case _:
                return self.quotas.handle(sender, message, now)
        return []

    def tick(self, now: float) -> list[messages.Send]:
        """Expire holds and queued requests, and renew promises."""
        self.holds.expire(now)
        sends = [
            self._reject_queued(entry, messages.GrantState.EXPIRED)
            for entry in self.queues.expire(now)
        ]
        for engine in self.queues.engines():
            sends.extend(self._serve_queue(engine, now))
        renew_s = self._cfg.promise.renew_s
        sends.extend(self.quotas.tick(self.engines.live, renew_s, now))
        self.loads.observe(self.holds.finished, self.running(now), now)
        return sends

    def report(self, now: float) -> messages.LoadReport:
        """Return the load report to gossip."""
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
        """Return a lower bound of this router's grants on live engines."""
        rate = self.loads.finish_rate
        return self.holds.lower_bound(self.engines.live, rate, now)

    def capacity(self, engine: ids.EngineId, now: float) -> Capacity:
        """Return whether an engine can run one more request."""
        engine_cap = 0
        multiple = self._cfg.load_multiple
        share = self.engines.warm_share(engine, multiple, now)
        if share:
            total = self.running(now) + self.loads.estimate(now).lower_bound
            mean_cap = cap(multiple, total, self.engines.mean_divisor(now))
            engine_cap = max(
                1, int(min(mean_cap, self._cfg.most_running) * share)
            )
        quota = self.quotas.quota(engine, engine_cap, now)
        granted = self.holds.count(engine)
        load = granted + max(quota.foreign, self.holds.extra(engine))
        available = granted < quota.limit and load < engine_cap
        return Capacity(available, load, engine_cap, quota.setting)

    def dump(self, now: float) -> Dump:
        """Return the state for the status dump."""
        engine_dumps = []
        for engine in sorted(self.engines.live):
            capacity = self.capacity(engine, now)
            engine_dumps.append(
                EngineDump(
                    engine,
                    self.holds.count(engine),
                    self.holds.extra(engine),
                    capacity.load,
                    capacity.cap,
                    capacity.available,
                    self.queues.waiting(engine),
                ),
            )
        return Dump(
            self.loads.estimate(now).lower_bound + self.running(now),
            len(self.engines.live),
            self.ranks.quorate,
            tuple(engine_dumps),
        )

    def _handle_ask(
        self,
        sender: ids.RouterId,
        ask: messages.Ask,
        now: float,
    ) -> messages.Send:
        key = (sender, ask.ask)
        capacity = self.capacity(ask.engine, now)
        if self.holds.has(key, ask.engine):
            return _answer(sender, ask, messages.GrantState.GRANTED, capacity)
        if key in self.queues:
            return _answer(sender, ask, messages.GrantState.QUEUED, capacity)
        queued = self.queues.waiting(ask.engine)
        within_share = _fair_share_check(
            self._cfg, self.holds, ask.engine, capacity
        )
        if capacity.available and not queued and within_share(ask.organisation):
            return self._grant_ask(sender, ask, capacity, now)
        if not capacity.cap or capacity.setting != quotas.MULTIPLE_SETTING:
            return _answer(sender, ask, messages.GrantState.DENIED, capacity)
        return self._enqueue(sender, ask, capacity, now)

    def _enqueue(
        self,
        sender: ids.RouterId,
        ask: messages.Ask,
        capacity: Capacity,
        now: float,
    ) -> messages.Send:
        """Queue an ask, or deny it if its estimated wait is too long."""
        wait_s = min(ask.wait_ms, ask.deadline_ms) / 1000
        entry = queueing.Entry((sender, ask.ask), ask, now, now + wait_s)
        rate = max(self.holds.count(ask.engine), 1) * self.loads.finish_rate
        expected_wait_s = self.queues.estimated_wait(entry, rate, now)
        if wait_s <= 0 or expected_wait_s > self._cfg.refuse_factor * wait_s:
            state = messages.GrantState.DENIED
            return _answer(sender, ask, state, capacity, expected_wait_s)
        dropped = self.queues.push(entry, now)
        if dropped is None:
            state = messages.GrantState.QUEUED
            return _answer(sender, ask, state, capacity)
        return self._reject_queued(dropped, messages.GrantState.DENIED)

    def _serve_queue(
        self,
        engine: ids.EngineId,
        now: float,
    ) -> list[messages.Send]:
        """Grant queued requests while the engine has capacity."""
        sends = []
        while self.queues.waiting(engine):
            capacity = self.capacity(engine, now)
            if not capacity.available:
                break
            entry = self.queues.pop(
                engine,
                now,
                _fair_share_check(self._cfg, self.holds, engine, capacity),
            )
            if entry is None:
                break
            sends.append(
                self._grant_ask(entry.key[0], entry.ask, capacity, now)
            )
        return sends

    def _grant_ask(
        self,
        sender: ids.RouterId,
        ask: messages.Ask,
        capacity: Capacity,
        now: float,
    ) -> messages.Send:
        grant = holds.Grant(ask.engine, now, ask.organisation, ask.chat)
        self.holds.add((sender, ask.ask), grant, now)
        loaded = msgspec.structs.replace(capacity, load=capacity.load + 1)
        state = messages.GrantState.GRANTED
        return _answer(sender, ask, state, loaded, cached=self._cached(ask))

    def _reject_queued(
        self,
        entry: queueing.Entry,
        state: messages.GrantState,
    ) -> messages.Send:
        """Answer a request that left the queue without a grant."""
        load = self.holds.count(entry.ask.engine)
        capacity = Capacity(
            available=False, load=load, cap=0, setting=_QUEUE_SETTING
        )
        return _answer(entry.key[0], entry.ask, state, capacity)


def _fair_share_check(
    cfg: Cfg,
    held: holds.Holds,
    engine: ids.EngineId,
    capacity: Capacity,
) -> queueing.Admits:
    """Return a check of whether an organisation may run one more request.

    The last slots of an engine are reserved for organisations below their fair
    share of it, so that a surge of one organisation does not make the others
    wait.
    """
    # At least one slot is unreserved, also on an engine that runs a single
    # request at a time.
    unreserved = max(
        1, cfg.most_running - math.ceil(cfg.most_running * cfg.reserve)
    )

    def admits(organisation: ids.OrgId) -> bool:
        only_reserved = capacity.load >= unreserved
        return not only_reserved or not held.exceeds_fair_share(
            engine, organisation, unreserved
        )

    return admits


def _answer(
    sender: ids.RouterId,
    ask: messages.Ask,
    state: messages.GrantState,
    capacity: Capacity,
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
        capacity.load,
        capacity.cap,
        cached,
        round(min(retry_s, _MAX_RETRY_AFTER_S) * 1000) if denied else 0,
        capacity.setting if denied else '',
    )
    return messages.Send(sender, answer, messages.Priority.ADMISSION)
