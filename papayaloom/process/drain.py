"""States of a planned stop, which cuts off no request.

The router goes on serving until nobody holds an address answer that names
it any more and its streams have ended; then it hands over and stops.
"""

import enum

import msgspec


class State(enum.Enum):
    """State of this router."""

    SERVING = 'serving'
    ANNOUNCED = 'announced'
    DRAINING = 'draining'
    HANDING_OVER = 'handing over'
    STOPPED = 'stopped'


class Cfg(msgspec.Struct, frozen=True):
    """Settings of a stop.

    :param ttl_s: how long callers keep an address answer.
    :param spread_s: how long the leave mark takes to reach every locator.
    :param longest_s: longest stop; requests that still run then are cut off.
    :param hand_over_s: longest time for the hand-over.
    """

    ttl_s: float = 30
    spread_s: float = 10
    longest_s: float = 600
    hand_over_s: float = 5


class Step(msgspec.Struct, frozen=True):
    """What to do after a tick.

    :param announce: send the leave mark now.
    :param close_idle: close connections that carry no request, so that
        callers with long-lived connections ask for another address.
    :param hand_over: send the hand-over messages now.
    :param stop: say goodbye and end the process now.
    :param progress: one line to print, or empty.
    """

    announce: bool = False
    close_idle: bool = False
    hand_over: bool = False
    stop: bool = False
    progress: str = ''


class Dump(msgspec.Struct, frozen=True):
    """State of the stop for the dump."""

    state: str
    for_s: float
    running: int
    cut_off: int


class Drain:
    """Planned stop of one router.

    :param cfg: settings in force when the stop begins count for all of it,
        except for ``longest_s``.
    """

    def __init__(self, cfg: Cfg) -> None:
        """Start as a serving router."""
        self.state = State.SERVING
        self.cut_off = 0
        self._cfg = cfg
        self._since: float = 0
        self._entered: float = 0
        self._printed = float('-inf')
        self._running = 0

    def configure(self, cfg: Cfg) -> None:
        """Take new settings."""
        longest_s = cfg.longest_s
        if self.state is State.SERVING:
            self._cfg = cfg
        self._cfg = msgspec.structs.replace(self._cfg, longest_s=longest_s)

    def begin(self, now: float) -> Step:
        """Begin the stop; a second signal changes nothing.

        :returns: the leave mark to send, the first time.
        """
        if self.state is not State.SERVING:
            return Step(progress=self._line(now))
        self._since = now
        self._enter(State.ANNOUNCED, now)
        return Step(announce=True, progress=self._line(now))

    def tick(self, running: int, handed_over: bool, now: float) -> Step:
        """Go on with the stop; call it several times a second.

        :param running: requests in flight, queued ones included.
        :param handed_over: the hand-over messages have left the outbox.
        """
        self._running = running
        self._leave_announced(now)
        if self.state is State.DRAINING:
            return self._drain(now)
        if self.state is State.HANDING_OVER:
            waited = now - self._entered >= self._cfg.hand_over_s
            if handed_over or waited:
                self._enter(State.STOPPED, now)
                return Step(stop=True, progress=self._line(now))
        return Step(progress=self._progress(now))

    def takes_requests(self) -> bool:
        """Return whether a new request is served.

        Until the hand-over every request is: its caller may have got the
        address before the leave mark.
        """
        return self.state in {State.SERVING, State.ANNOUNCED, State.DRAINING}

    def dump(self, now: float) -> Dump:
        """Return the state for the dump."""
        for_s = 0 if self.state is State.SERVING else now - self._since
        return Dump(
            self.state.value, round(for_s, 1), self._running, self.cut_off
        )

    def _leave_announced(self, now: float) -> None:
        announced_s = self._cfg.ttl_s + self._cfg.spread_s
        wait_s = min(announced_s, self._cfg.longest_s)
        if self.state is State.ANNOUNCED and now - self._since >= wait_s:
            self._enter(State.DRAINING, now)

    def _drain(self, now: float) -> Step:
        is_late = now - self._since >= self._cfg.longest_s
        if self._running and not is_late:
            return Step(close_idle=True, progress=self._progress(now))
        self.cut_off = self._running
        self._enter(State.HANDING_OVER, now)
        return Step(hand_over=True, progress=self._line(now))

    def _enter(self, state: State, now: float) -> None:
        self.state = state
        self._entered = now

    def _progress(self, now: float) -> str:
        if self.state is State.SERVING or now - self._printed < 1:
            return ''
        return self._line(now)

    def _line(self, now: float) -> str:
        self._printed = now
        return 'stop: {0} for {1:.0f} s, {2} requests running'.format(
            self.state.value, now - self._since, self._running
        )
