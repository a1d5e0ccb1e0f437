"""In-memory model engine on any clock.

A driver calls :meth:`Engine.advance` at :meth:`Engine.next_at` or later.
"""

import collections

import msgspec

from papayaloom import clock, errors, ids
from papayaloom.standins import batch, completion, faults, prefix_cache

_KEPT_ORDERS = 1000


class Cfg(msgspec.Struct, frozen=True):
    """Properties of an engine.

    :param cache_blocks: blocks of 16 tokens that fit into the cache.
    :param cache_token_bytes: size of a cached token when it is exported.
    :param event_delay_s: age of a cache event when it becomes visible.
    :param event_gap_every: one cache event of this many is lost; 0 for none.
    :param load_lag_s: age of the load report.
    :param load_s: duration of loading a model, a version or an adapter.
    :param checks_fencing: refuses orders with an older fencing token.
    :param crash_marker: a question with this text crashes the engine.
    """

    name: ids.EngineId
    model: ids.ModelId
    version: ids.VersionId = ids.VersionId('1')
    role: str = 'mixed'
    speed: batch.Cfg = batch.Cfg()
    cache_blocks: int = 4096
    cache_token_bytes: int = 131_072
    event_delay_s: float = 0
    event_gap_every: int = 0
    load_lag_s: float = 0
    load_s: float = 30
    checks_fencing: bool = True
    crash_marker: str = ''


class Order(msgspec.Struct, frozen=True):
    """Order of the holder of the lease.

    :param action: ``load`` (argument ``model/version``), ``load_adapter``,
        ``unload_adapter`` or ``set_role``.
    """

    order: ids.OrderId
    fencing: int
    action: str
    argument: str


class State(msgspec.Struct, frozen=True):
    """Report of an engine.

    :param loading: the order that is being carried out, empty for none.
    :param orders: the latest orders that were accepted, newest last.
    :param fencing: highest fencing token of an accepted order.
    :param boot: changes when the engine restarts.
    """

    engine: ids.EngineId
    model: ids.ModelId
    version: ids.VersionId
    adapters: tuple[str, ...] = ()
    role: str = 'mixed'
    running: int = 0
    waiting: int = 0
    leaving: bool = False
    fencing: int = 0
    loading: str = ''
    orders: tuple[ids.OrderId, ...] = ()
    boot: int = 0


class Engine:
    """One model engine.

    :param cfg: its properties.
    :param ticks: its clock.

    The attribute ``cache`` exports and imports the cache of a chat.
    """

    def __init__(self, cfg: Cfg, ticks: clock.Clock) -> None:
        """Start with an empty cache."""
        self.cfg = cfg
        self.faults = faults.Faults()
        self.carried_out: list[Order] = []
        self._clock = ticks
        self._state = State(cfg.name, cfg.model, cfg.version, role=cfg.role)
        self._seen = self._state
        self._queue: list[Order] = []
        self._order_at: float | None = None
        self._log = prefix_cache.EventLog(ticks, cfg.event_gap_every)
        self.cache = prefix_cache.PrefixCache(cfg.cache_blocks, self._log.emit)
        self._batch = batch.Batch(cfg.speed, self.cache)
        self._loads = collections.deque([(ticks.monotonic(), (0, 0))])

    def submit(self, req: completion.Request) -> None:
        """Take a request; one that already runs is attached to.

        :raises errors.UpstreamError: it was refused, or lost by a fault.
        """
        self.advance()
        self._strike()
        reason = self._reason_to_refuse(req)
        if reason:
            raise errors.UpstreamError(reason, errors.Verdict.NOT_RUN)
        marker = self.cfg.crash_marker
        if marker and marker in completion.question(req):
            self.faults.crash = 1
            self._strike()
        self._batch.add(req, self._clock.monotonic())
        self._note_load(self._clock.monotonic())
        self.faults.after()

    def poll(
        self,
        request: ids.RequestId,
        offset: int,
    ) -> list[completion.Token]:
        """Return the tokens of a request from an offset on.

        :raises errors.UpstreamError: the request is not known here.
        """
        self.advance()
        run = self._batch.find(request)
        if run is None:
            raise errors.UpstreamError(
                f'request {request!r} is not known',
                errors.Verdict.MAY_HAVE_RUN,
            )
        return run.tokens_from(offset)

    def cancel(self, request: ids.RequestId) -> bool:
        """Stop a request; what was computed stays cached.

        :returns: whether the request was known.
        """
        self.advance()
        known = self._batch.cancel(request)
        self._note_load(self._clock.monotonic())
        self._begin_order(self._clock.monotonic())
        return known

    def state(self) -> State:
        """Return the report, as old as the configured lag."""
        self.advance()
        if self.faults.stale:
            return self._seen
        visible = self._clock.monotonic() - self.cfg.load_lag_s
        while len(self._loads) > 1 and self._loads[1][0] <= visible:
            self._loads.popleft()
        running, waiting = self._loads[0][1]
        self._seen = msgspec.structs.replace(
            self._state,
            running=running,
            waiting=waiting,
            leaving=self.faults.leaving,
        )
        return self._seen

    def events(self, after: int) -> list[prefix_cache.CacheEvent]:
        """Return the visible cache events after a sequence number."""
        self.advance()
        visible = self._clock.monotonic() - self.cfg.event_delay_s
        return self._log.after(after, visible)

    def order(self, order: Order) -> bool:
        """Accept an order; a known order id is not carried out again.

        :returns: false when the fencing token was refused.
        :raises errors.UpstreamError: lost by a fault.
        """
        self.advance()
        self._strike()
        if self.cfg.checks_fencing and order.fencing < self._state.fencing:
            return False
        if order.order not in self._state.orders:
            known = self._state.orders[1 - _KEPT_ORDERS :]
            self._change(
                fencing=max(order.fencing, self._state.fencing),
                orders=(*known, order.order),
                loading=order.order,
            )
            self.carried_out.append(order)
            self._queue.append(order)
            self._begin_order(self._clock.monotonic())
            self.advance()
        self.faults.after()
        return True

    def crash(self) -> None:
        """Lose all requests, the cache and unfinished orders, and restart."""
        self._queue.clear()
        self._order_at = None
        self._change(loading='', orders=(), boot=self._state.boot + 1)
        self.cache.clear()
        self._batch = batch.Batch(self.cfg.speed, self.cache)
        self._note_load(self._clock.monotonic())

    def next_at(self) -> float | None:
        """Return the time of the next step, or nothing when idle."""
        times = [self._batch.next_at, self._order_at]
        return min((at for at in times if at is not None), default=None)

    def advance(self) -> None:
        """Carry out all steps and orders that are due."""
        now = self._clock.monotonic()
        while self._batch.next_at is not None and self._batch.next_at <= now:
            at = self._batch.next_at
            self._batch.step()
            self._note_load(at)
            self._begin_order(at)
        while self._order_at is not None and self._order_at <= now:
            self._end_order(self._order_at)

    def _strike(self) -> None:
        try:
            self.faults.before()
        except errors.UpstreamError as exc:
            if exc.crashed:
                self.crash()
            raise

    def _reason_to_refuse(self, req: completion.Request) -> str:
        if self.faults.leaving:
            return 'the engine is leaving'
        if self._state.loading:
            return 'the engine is loading'
        if req.model != self._state.model:
            return f'the engine does not serve model {req.model!r}'
        return ''

    def _begin_order(self, now: float) -> None:
        busy = any(self._batch.load) or self._order_at is not None
        if self._queue and not busy:
            instant = self._queue[0].action == 'set_role'
            self._order_at = now if instant else now + self.cfg.load_s

    def _end_order(self, at: float) -> None:
        order = self._queue.pop(0)
        self._order_at = None
        if order.action == 'load':
            model, _, version = order.argument.partition('/')
            self._change(model=model, version=version, adapters=())
            self.cache.clear()
        elif order.action == 'set_role':
            self._change(role=order.argument)
        else:
            others = set(self._state.adapters) - {order.argument}
            if order.action == 'load_adapter':
                others.add(order.argument)
            self._change(adapters=tuple(sorted(others)))
        if not self._queue:
            self._change(loading='')
        self._begin_order(at)

    def _change(self, **changes: object) -> None:
        self._state = msgspec.structs.replace(self._state, **changes)

    def _note_load(self, now: float) -> None:
        if self._loads[-1][1] != self._batch.load:
            self._loads.append((now, self._batch.load))
