"""Timer service that parts subscribe to, on one thread of the process.

The virtual twin runs the same subscriptions on a virtual clock.
"""

import heapq
import itertools
import threading
import typing

import structlog

from papayaloom import clock

Callback = typing.Callable[[], object]
_log = structlog.get_logger('timers')


class Handle:
    """A subscription."""

    __slots__ = ('callback', 'period_s', 'is_cancelled')

    def __init__(self, callback: Callback, period_s: float | None) -> None:
        """Keep what to call and how often."""
        self.callback = callback
        self.period_s = period_s
        self.is_cancelled = False

    def cancel(self) -> None:
        """Stop calling; a call that runs now still ends."""
        self.is_cancelled = True


class Schedule:
    """Subscriptions in the order of their due times."""

    def __init__(self) -> None:
        """Start empty."""
        self._numbers = itertools.count()
        self._heap: list[tuple[float, int, Handle]] = []

    def add(self, due: float, handle: Handle) -> None:
        """Add a subscription."""
        heapq.heappush(self._heap, (due, next(self._numbers), handle))

    def next_due(self) -> float | None:
        """Return when the next subscription is due."""
        while self._heap and self._heap[0][2].is_cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop(self, now: float) -> Callback | None:
        """Return the next callback that is due, or nothing.

        A periodic subscription that is late by more than a period skips the
        missed calls instead of making them all at once.
        """
        due = self.next_due()
        if due is None or due > now:
            return None
        _, _, handle = heapq.heappop(self._heap)
        if handle.period_s is not None:
            following = due + handle.period_s
            if following <= now:
                following = now + handle.period_s
            self.add(following, handle)
        return handle.callback


class Timers:
    """Timer service on the system clock.

    Callbacks run one after the other on the service's thread and must not
    block; actors put a message into their own mailbox there. A callback that
    raises is logged and called again next time.
    """

    def __init__(self, ticks: clock.Clock) -> None:
        """Prepare the thread; :meth:`start` runs it."""
        self._clock = ticks
        self._schedule = Schedule()
        self._changed = threading.Condition()
        self._is_stopped = False
        self._thread = threading.Thread(
            target=self._run, name='timers', daemon=True
        )

    def start(self) -> None:
        """Begin to call back."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread, after a callback that runs now."""
        with self._changed:
            self._is_stopped = True
            self._changed.notify()
        if self._thread.is_alive() and (
            threading.current_thread() is not self._thread
        ):
            self._thread.join()

    def every(self, period_s: float, callback: Callback) -> Handle:
        """Call back once in every period, first after one period."""
        return self._add(period_s, Handle(callback, period_s))

    def after(self, delay_s: float, callback: Callback) -> Handle:
        """Call back once after a delay."""
        return self._add(delay_s, Handle(callback, None))

    def _add(self, delay_s: float, handle: Handle) -> Handle:
        with self._changed:
            self._schedule.add(self._clock.monotonic() + delay_s, handle)
            self._changed.notify()
        return handle

    def _run(self) -> None:
        while True:
            with self._changed:
                if self._is_stopped:
                    return
                callback = self._schedule.pop(self._clock.monotonic())
                if callback is None:
                    self._changed.wait(self._wait_s())
                    continue
            self._call(callback)

    def _wait_s(self) -> float | None:
        due = self._schedule.next_due()
        if due is None:
            return None
        return max(due - self._clock.monotonic(), 0)

    def _call(self, callback: Callback) -> None:
        try:
            callback()
        except Exception:
            _log.exception('timers: a callback failed')


class VirtualTimers:
    """Twin of :class:`Timers` that moves a virtual clock."""

    def __init__(self, ticks: clock.VirtualClock) -> None:
        """Start without subscriptions."""
        self._clock = ticks
        self._schedule = Schedule()

    def every(self, period_s: float, callback: Callback) -> Handle:
        """Call back once in every period, first after one period."""
        return self._add(period_s, Handle(callback, period_s))

    def after(self, delay_s: float, callback: Callback) -> Handle:
        """Call back once after a delay."""
        return self._add(delay_s, Handle(callback, None))

    def run_until(self, end: float) -> None:
        """Make all calls that are due until a time, in their order."""
        due = self._schedule.next_due()
        while due is not None and due <= end:
            self._clock.advance(due - self._clock.monotonic())
            callback = self._schedule.pop(self._clock.monotonic())
            if callback is not None:
                callback()
            due = self._schedule.next_due()
        self._clock.advance(end - self._clock.monotonic())

    def _add(self, delay_s: float, handle: Handle) -> Handle:
        self._schedule.add(self._clock.monotonic() + delay_s, handle)
        return handle
