"""In-memory model engine on a real or virtual clock.

A driver calls :meth:`Engine.advance` at or after :meth:`Engine.next_at`.
"""

import collections

import msgspec

from papayaloom import clock, errors, ids
from papayaloom.ports import engine as port
from papayaloom.standins import batch, completion, faults, prefix_cache


class Cfg(msgspec.Struct, frozen=True):
    """Properties of an engine.

    :param cache_blocks: capacity of the cache in blocks of 64 tokens.
    :param cache_token_bytes: exported size of a cached token.
    :param event_delay_s: delay after which a cache event becomes visible.
    :param event_gap_every: every n-th cache event is lost; 0 for none.
    :param load_lag_s: age of the load in the state report.
    :param load_s: time to load a model, a version or an adapter.
    :param checks_fencing: refuse orders with a stale fencing token.
    :param crash_marker: a user message with this text crashes the engine.
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


def _state_changes(order: port.Order, state: port.State) -> dict[str, object]:
    if order.action == 'load-model':
        model, _, version = order.argument.partition('/')
        return {'model': model, 'version': version, 'adapters': ()}
    if order.action == 'load-version':
        return {'version': order.argument, 'adapters': ()}
    if order.action == 'role':
        return {'role': order.argument}
    adapters = set(state.adapters) - {order.argument}
    if order.action == 'load-adapter':
        adapters.add(order.argument)
    return {'adapters': tuple(sorted(adapters))}


class _LoadHistory:
    """History of the numbers of running and waiting requests."""

    def __init__(self) -> None:
        self._changes = collections.deque([(float('-inf'), (0, 0))])

    def note(self, now: float, load: tuple[int, int]) -> None:
        """Record the numbers that apply from a time."""
        if self._changes[-1][1] != load:
            self._changes.append((now, load))

    def at(self, visible_at: float) -> tuple[int, int]:
        """Return the numbers at a time and discard older ones."""
        while len(self._changes) > 1 and self._changes[1][0] <= visible_at:
            self._changes.popleft()
        return self._changes[0][1]


class Engine:
    """One model engine.

    The attribute ``cache`` exports and imports the cached blocks of a chat.

    :param cfg: properties of the engine.
    :param time_source: clock that drives it.
    """

    def __init__(self, cfg: Cfg, time_source: clock.Clock) -> None:
        """Start with an empty cache."""
        self.cfg = cfg
        self.faults = faults.Faults()
        self.executed_orders: list[port.Order] = []
        self._clock = time_source
        self._state = port.State(
            cfg.name, cfg.model, cfg.version, role=cfg.role, boot='0'
        )
        self._last_report = self._state
        self._known_order_ids: set[str] = set()
        self._order_queue: list[port.Order] = []
        self._order_done_at: float | None = None
        self._event_log = prefix_cache.EventLog(
            time_source, cfg.event_gap_every
        )
        self.cache = prefix_cache.PrefixCache(
            cfg.cache_blocks, self._event_log.emit
        )
        self._batch = batch.Batch(cfg.speed, self.cache)
        self._load_history = _LoadHistory()

    @property
    def loading(self) -> bool:
        """Whether an order is in progress or queued."""
        return bool(self._order_queue)

    def submit(self, req: completion.Request) -> None:
        """Submit a request; a request that is already known continues.

        :raises errors.RefusedError: the engine does not accept it.
        :raises errors.UpstreamError: an injected fault lost it.
        """
        self.advance()
        self._apply_faults_before()
        refusal = self._refusal(req)
        if refusal:
            raise errors.RefusedError(refusal)
        marker = self.cfg.crash_marker
        if marker and marker in completion.last_user_message(req):
            self.faults.crash = 1
            self._apply_faults_before()
        self._batch.add(req, self._clock.monotonic())
        self._load_history.note(self._clock.monotonic(), self._batch.load)
        self.faults.after()

    def poll(
        self,
        request: ids.RequestId,
        offset: int,
    ) -> list[completion.Token]:
        """Return the tokens of a request from an offset.

        :raises errors.UpstreamError: the request is unknown.
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
        """Stop a request; its computed tokens stay cached.

        :returns: whether the request was known.
        """
        self.advance()
        known = self._batch.cancel(request)
        self._load_history.note(self._clock.monotonic(), self._batch.load)
        self._start_order(self._clock.monotonic())
        return known

    def state(self) -> port.State:
        """Return the state report; its load lags by ``load_lag_s``."""
        self.advance()
        if self.faults.stale:
            return self._last_report
        visible_at = self._clock.monotonic() - self.cfg.load_lag_s
        running, waiting = self._load_history.at(visible_at)
        self._last_report = msgspec.structs.replace(
            self._state,
            running=running,
            waiting=waiting,
            leaving=self.faults.leaving,
        )
        return self._last_report

    def events(self, after: int) -> port.CacheEvents:
        """Return the visible cache events after a sequence number."""
        self.advance()
        visible_at = self._clock.monotonic() - self.cfg.event_delay_s
        return self._event_log.after(after, visible_at, self._state.boot)

    def order(self, order: port.Order) -> port.OrderReply:
        """Accept an order; a known order ID is not executed again.

        :raises errors.RefusedError: the fencing token is stale.
        :raises errors.UpstreamError: an injected fault lost it.
        """
        self.advance()
        self._apply_faults_before()
        if self.cfg.checks_fencing and order.fencing < self._state.fencing:
            title = 'the fencing token is too old'
            raise errors.RefusedError(
                errors.Problem(title, 409, type=port.STALE_FENCING)
            )
        repeated = order.order in self._known_order_ids
        if not repeated:
            self._known_order_ids.add(order.order)
            highest = max(order.fencing, self._state.fencing)
            self._update_state(fencing=highest)
            self.executed_orders.append(order)
            self._order_queue.append(order)
            self._start_order(self._clock.monotonic())
            self.advance()
        self.faults.after()
        return port.OrderReply(self._state, repeated)

    def crash(self) -> None:
        """Restart, losing all requests, the cache and unfinished orders."""
        self._order_queue.clear()
        self._order_done_at = None
        self._known_order_ids.clear()
        self._update_state(boot=str(int(self._state.boot) + 1), fencing=0)
        self._event_log.restart()
        self.cache.clear()
        self._event_log.restart()
        self._batch = batch.Batch(self.cfg.speed, self.cache)
        self._load_history.note(self._clock.monotonic(), self._batch.load)

    def next_at(self) -> float | None:
        """Return the time of the next step or order, or None when idle."""
        times = [self._batch.next_at, self._order_done_at]
        return min((at for at in times if at is not None), default=None)

    def advance(self) -> None:
        """Run all steps and orders that are due."""
        now = self._clock.monotonic()
        while self._batch.next_at is not None and self._batch.next_at <= now:
            at = self._batch.next_at
            self._batch.step()
            self._load_history.note(at, self._batch.load)
            self._start_order(at)
        while self._order_done_at is not None and self._order_done_at <= now:
            self._finish_order(self._order_done_at)

    def _apply_faults_before(self) -> None:
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

    def _start_order(self, now: float) -> None:
        busy = any(self._batch.load) or self._order_done_at is not None
        if self._order_queue and not busy:
            is_immediate = self._order_queue[0].action == 'role'
            self._order_done_at = now if is_immediate else now + self.cfg.load_s

    def _finish_order(self, at: float) -> None:
        order = self._order_queue.pop(0)
        self._order_done_at = None
        self._update_state(**_state_changes(order, self._state))
        if order.action in {'load-model', 'load-version'}:
            self.cache.clear()
        self._start_order(at)

    def _update_state(self, **changes: object) -> None:
        self._state = msgspec.structs.replace(self._state, **changes)
