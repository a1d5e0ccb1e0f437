"""In-memory model engine on any clock.

A driver calls :meth:`Engine.advance` at :meth:`Engine.next_at` or later.
"""

import collections

import msgspec

from papayaloom import clock, errors, ids
from papayaloom.ports import engine as port
from papayaloom.standins import batch, completion, faults, prefix_cache


class Cfg(msgspec.Struct, frozen=True):
    """Properties of an engine.

    :param cache_blocks: blocks of 64 tokens that fit into the cache.
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
    role: str = 'serve'
    speed: batch.Cfg = batch.Cfg()
    cache_blocks: int = 4096
    max_waiting: int = 1000
    cache_token_bytes: int = 131_072
    event_delay_s: float = 0
    event_gap_every: int = 0
    load_lag_s: float = 0
    load_s: float = 30
    checks_fencing: bool = True
    crash_marker: str = ''


def _changes(order: port.Order, state: port.State) -> dict[str, object]:
    if order.action == 'load-model':
        model, _, version = order.argument.partition('/')
        return {'model': model, 'version': version, 'adapters': ()}
    if order.action == 'load-version':
        return {'version': order.argument, 'adapters': ()}
    if order.action == 'role':
        return {'role': order.argument}
    others = set(state.adapters) - {order.argument}
    if order.action == 'load-adapter':
        others.add(order.argument)
    return {'adapters': tuple(sorted(others))}


class _Loads:
    """History of the numbers of running and waiting requests."""

    def __init__(self) -> None:
        self._changes = collections.deque([(float('-inf'), (0, 0))])

    def note(self, now: float, load: tuple[int, int]) -> None:
        """Record the numbers from now on."""
        if self._changes[-1][1] != load:
            self._changes.append((now, load))

    def at(self, visible: float) -> tuple[int, int]:
        """Return the numbers at a time, and forget the ones before."""
        while len(self._changes) > 1 and self._changes[1][0] <= visible:
            self._changes.popleft()
        return self._changes[0][1]


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
        self.carried_out: list[port.Order] = []
        self._clock = ticks
        self._state = port.State(
            cfg.name, cfg.model, cfg.version, role=cfg.role, boot='0'
        )
        self._seen = self._state
        self._known_orders: set[str] = set()
        self._queue: list[port.Order] = []
        self._order_at: float | None = None
        self._log = prefix_cache.EventLog(ticks, cfg.event_gap_every)
        self.cache = prefix_cache.PrefixCache(cfg.cache_blocks, self._log.emit)
        self._batch = batch.Batch(cfg.speed, self.cache)
        self._loads = _Loads()

    @property
    def loading(self) -> bool:
        """Whether the engine carries out an order or waits to do so."""
        return bool(self._queue)

    def submit(self, req: completion.Request) -> None:
        """Take a request; one that already runs is attached to.

        :raises errors.RefusedError: the engine does not take it.
        :raises errors.UpstreamError: it was lost by a fault.
        """
        self.advance()
        self._strike()
        refusal = self._refusal(req)
        if refusal:
            raise errors.RefusedError(refusal)
        marker = self.cfg.crash_marker
        if marker and marker in completion.question(req):
            self.faults.crash = 1
            self._strike()
        self._batch.add(req, self._clock.monotonic())
        self._loads.note(self._clock.monotonic(), self._batch.load)
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
        self._loads.note(self._clock.monotonic(), self._batch.load)
        self._begin_order(self._clock.monotonic())
        return known

    def state(self) -> port.State:
        """Return the report; its load is as old as the configured lag."""
        self.advance()
        if self.faults.stale:
            return self._seen
        visible = self._clock.monotonic() - self.cfg.load_lag_s
        running, waiting = self._loads.at(visible)
        self._seen = msgspec.structs.replace(
            self._state,
            running=running,
            waiting=waiting,
            leaving=self.faults.leaving,
        )
        return self._seen

    def events(self, after: int) -> port.CacheEvents:
        """Return the visible cache events after a sequence number."""
        self.advance()
        visible = self._clock.monotonic() - self.cfg.event_delay_s
        return self._log.after(after, visible, self._state.boot)

    def order(self, order: port.Order) -> port.OrderReply:
        """Accept an order; a known order id is not carried out again.

        :raises errors.RefusedError: the fencing token is too old.
        :raises errors.UpstreamError: lost by a fault.
        """
        self.advance()
        self._strike()
        if self.cfg.checks_fencing and order.fencing < self._state.fencing:
            title = 'the fencing token is too old'
            raise errors.RefusedError(
                errors.Problem(title, 409, type=port.STALE_FENCING)
            )
        repeated = order.order in self._known_orders
        if not repeated:
            self._known_orders.add(order.order)
            highest = max(order.fencing, self._state.fencing)
            self._change(fencing=highest)
            self.carried_out.append(order)
            self._queue.append(order)
            self._begin_order(self._clock.monotonic())
            self.advance()
        self.faults.after()
        return port.OrderReply(self._state, repeated)

    def crash(self) -> None:
        """Lose all requests, the cache and unfinished orders, and restart."""
        self._queue.clear()
        self._order_at = None
        self._known_orders.clear()
        self._change(boot=str(int(self._state.boot) + 1), fencing=0)
        self._log.restart()
        self.cache.clear()
        self._log.restart()
        self._batch = batch.Batch(self.cfg.speed, self.cache)
        self._loads.note(self._clock.monotonic(), self._batch.load)

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
            self._loads.note(at, self._batch.load)
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

    def _refusal(self, req: completion.Request) -> errors.Problem | None:
        if self.faults.leaving:
            title = 'the engine is leaving'
            return errors.Problem(title, 409, type=port.LEAVING)
        if self.loading or req.model != self._state.model:
            title = f'the engine does not serve model {req.model!r}'
            return errors.Problem(title, 409, type=port.WRONG_MODEL)
        if self._batch.load[1] >= self.cfg.max_waiting:
            title = 'the queue of the engine is full'
            return errors.Problem(title, 429, retry_after_s=1)
        return None

    def _begin_order(self, now: float) -> None:
        busy = any(self._batch.load) or self._order_at is not None
        if self._queue and not busy:
            instant = self._queue[0].action == 'role'
            self._order_at = now if instant else now + self.cfg.load_s

    def _end_order(self, at: float) -> None:
        order = self._queue.pop(0)
        self._order_at = None
        self._change(**_changes(order, self._state))
        if order.action in {'load-model', 'load-version'}:
            self.cache.clear()
        self._begin_order(at)

    def _change(self, **changes: object) -> None:
        self._state = msgspec.structs.replace(self._state, **changes)
