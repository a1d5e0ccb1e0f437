"""State machine of a graceful shutdown, which interrupts no request.

The router keeps serving until every cached address answer that names it has
expired and its streams have ended; then it hands its state over and stops.
"""

import enum

import msgspec


class State(enum.Enum):
    """Shutdown state of this router."""

    SERVING = 'serving'
    ANNOUNCED = 'announced'
    DRAINING = 'draining'
    HANDING_OVER = 'handing over'
    STOPPED = 'stopped'


class Cfg(msgspec.Struct, frozen=True):
    """Settings of a graceful shutdown.

    :param ttl_s: how long callers cache an address answer.
    :param spread_s: time for the leave announcement to reach every locator.
    :param longest_s: maximum duration; requests still running then are
        interrupted.
    :param hand_over_s: timeout of the handover.
    """

    ttl_s: float = 30
    spread_s: float = 10
    longest_s: float = 600
    hand_over_s: float = 5


class Step(msgspec.Struct, frozen=True):
    """Actions to take after a tick.

    :param announce: announce to the other routers that this one is leaving.
    :param close_idle: close connections that carry no request, so that
        callers with long-lived connections look up another address.
    :param hand_over: send the handover messages.
    :param stop: announce that the router has stopped, and exit the process.
    :param progress: progress line to log, or empty.
    """

    announce: bool = False
    close_idle: bool = False
    hand_over: bool = False
    stop: bool = False
    progress: str = ''


class Dump(msgspec.Struct, frozen=True):
    """Shutdown state for the status dump."""

    state: str
    for_s: float
    running: int
    cut_off: int


class Drain:
    """Graceful shutdown of one router.

    :param cfg: fixed when the shutdown begins, except for ``longest_s``, which
        can still change while it runs.
    """

    def __init__(self, cfg: Cfg) -> None:
        """Start in the serving state."""
        self.state = State.SERVING
        self.cut_off = 0
        self._cfg = cfg
        self._began_at: float = 0
        self._state_entered_at: float = 0
        self._last_progress_at = float('-inf')
        self._in_flight = 0

    def configure(self, cfg: Cfg) -> None:
        """Apply new settings."""
        longest_s = cfg.longest_s
        if self.state is State.SERVING:
            self._cfg = cfg
        self._cfg = msgspec.structs.replace(self._cfg, longest_s=longest_s)

    def begin(self, now: float) -> Step:
        """Begin the shutdown; further calls have no effect.

        :returns: a step that announces the shutdown, on the first call only.
        """
        if self.state is not State.SERVING:
            return Step(progress=self._progress_line(now))
        self._began_at = now
        self._enter(State.ANNOUNCED, now)
        return Step(announce=True, progress=self._progress_line(now))

    def tick(self, running: int, handed_over: bool, now: float) -> Step:
        """Advance the shutdown; call it several times a second.

        :param running: requests in flight, including queued ones.
        :param handed_over: whether the handover messages have left the outbox.
        """
        self._in_flight = running
        self._end_announcement(now)
        if self.state is State.DRAINING:
            return self._drain(now)
        if self.state is State.HANDING_OVER:
            timed_out = now - self._state_entered_at >= self._cfg.hand_over_s
            if handed_over or timed_out:
                self._enter(State.STOPPED, now)
                return Step(stop=True, progress=self._progress_line(now))
        return Step(progress=self._throttled_progress(now))

    def accepts_requests(self) -> bool:
        """Return whether new requests are accepted.

        They are accepted until the handover, because a caller may have cached
        the address before the shutdown was announced.
        """
        return self.state in {State.SERVING, State.ANNOUNCED, State.DRAINING}

    def dump(self, now: float) -> Dump:
        """Return the state for the status dump."""
        for_s = 0 if self.state is State.SERVING else now - self._began_at
        return Dump(
            self.state.value, round(for_s, 1), self._in_flight, self.cut_off
        )

    def _end_announcement(self, now: float) -> None:
        announcement_s = self._cfg.ttl_s + self._cfg.spread_s
        wait_s = min(announcement_s, self._cfg.longest_s)
        if self.state is State.ANNOUNCED and now - self._began_at >= wait_s:
            self._enter(State.DRAINING, now)

    def _drain(self, now: float) -> Step:
        is_late = now - self._began_at >= self._cfg.longest_s
        if self._in_flight and not is_late:
            return Step(close_idle=True, progress=self._throttled_progress(now))
        self.cut_off = self._in_flight
        self._enter(State.HANDING_OVER, now)
        return Step(hand_over=True, progress=self._progress_line(now))

    def _enter(self, state: State, now: float) -> None:
        self.state = state
        self._state_entered_at = now

    def _throttled_progress(self, now: float) -> str:
        if self.state is State.SERVING or now - self._last_progress_at < 1:
            return ''
        return self._progress_line(now)

    def _progress_line(self, now: float) -> str:
        self._last_progress_at = now
        return 'stop: {0} for {1:.0f} s, {2} requests running'.format(
            self.state.value, now - self._began_at, self._in_flight
        )
