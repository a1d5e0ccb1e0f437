"""Timer service that calls all subscribers from a single thread.

:class:`VirtualTimers` runs the same subscriptions on a virtual clock.
"""

import heapq
import itertools
import threading
import typing

import structlog

from papayaloom import clock

Callback = typing.Callable[[], object]
_log = structlog.get_logger('timers')


class Subscription:
    """Callback with an optional period, which can be cancelled."""

    __slots__ = ('callback', 'period_s', 'is_cancelled')

    def __init__(self, callback: Callback, period_s: float | None) -> None:
        """Create a subscription; it runs once if it has no period."""
        self.callback = callback
        self.period_s = period_s
        self.is_cancelled = False

    def cancel(self) -> None:
        """Prevent further calls; a call in progress still completes."""
        self.is_cancelled = True


class Schedule:
    """Priority queue of subscriptions by due time."""

    def __init__(self) -> None:
        """Start with no subscriptions."""
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, Subscription]] = []

    def add(self, due: float, subscription: Subscription) -> None:
        """Add a subscription with its next due time."""
        heapq.heappush(self._heap, (due, next(self._sequence), subscription))

    def next_due(self) -> float | None:
        """Return the next due time, or None without subscriptions."""
        while self._heap and self._heap[0][2].is_cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop(self, now: float) -> Callback | None:
        """Return the next callback that is due, or None.

        A periodic subscription that is late by more than one period skips the
        missed calls instead of running them in a burst.
        """
        due = self.next_due()
        if due is None or due > now:
            return None
        _, _, subscription = heapq.heappop(self._heap)
        if subscription.period_s is not None:
            next_due = due + subscription.period_s
            if next_due <= now:
                next_due = now + subscription.period_s
            self.add(next_due, subscription)
        return subscription.callback


class Timers:
    """Timer service on the system clock.

    Callbacks run sequentially on the timer thread and must not block; those of
    actors only put a message into the actor's mailbox. An exception of a
    callback is logged and does not end its subscription.
    """

    def __init__(self, time_source: clock.Clock) -> None:
        """Create the thread; :meth:`start` runs it."""
        self._clock = time_source
        self._schedule = Schedule()
        self._condition = threading.Condition()
        self._is_stopped = False
        self._thread = threading.Thread(
            target=self._run, name='timers', daemon=True
        )

    def start(self) -> None:
        """Start the timer thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after the callback in progress."""
        with self._condition:
            self._is_stopped = True
            self._condition.notify()
        if self._thread.is_alive() and (
            threading.current_thread() is not self._thread
        ):
            self._thread.join()

    def every(self, period_s: float, callback: Callback) -> Subscription:
        """Call back periodically, for the first time after one period."""
        return self._add(period_s, Subscription(callback, period_s))

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Call back once after a delay."""
        return self._add(delay_s, Subscription(callback, None))

    def _add(self, delay_s: float, subscription: Subscription) -> Subscription:
        with self._condition:
            self._schedule.add(self._clock.monotonic() + delay_s, subscription)
            self._condition.notify()
        return subscription

    def _run(self) -> None:
        while True:
            with self._condition:
                if self._is_stopped:
                    return
                callback = self._schedule.pop(self._clock.monotonic())
                if callback is None:
                    self._condition.wait(self._seconds_to_next_due())
                    continue
            self._call(callback)

    def _seconds_to_next_due(self) -> float | None:
        due = self._schedule.next_due()
        if due is None:
            return None
        return max(due - self._clock.monotonic(), 0)

    def _call(self, callback: Callback) -> None:
        try:
            callback()
        except Exception:
            _log.exception('timers: callback raised an exception')


class VirtualTimers:
    """Counterpart of :class:`Timers` that advances a virtual clock."""

    def __init__(self, time_source: clock.VirtualClock) -> None:
        """Start with no subscriptions."""
        self._clock = time_source
        self._schedule = Schedule()

    def every(self, period_s: float, callback: Callback) -> Subscription:
        """Call back periodically, for the first time after one period."""
        return self._add(period_s, Subscription(callback, period_s))

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Call back once after a delay."""
        return self._add(delay_s, Subscription(callback, None))

    def run_until(self, end: float) -> None:
        """Run all calls that are due until a time, in order of due time."""
        due = self._schedule.next_due()
        while due is not None and due <= end:
            self._clock.advance(due - self._clock.monotonic())
            callback = self._schedule.pop(self._clock.monotonic())
            if callback is not None:
                callback()
            due = self._schedule.next_due()
        self._clock.advance(end - self._clock.monotonic())

    def _add(self, delay_s: float, subscription: Subscription) -> Subscription:
        self._schedule.add(self._clock.monotonic() + delay_s, subscription)
        return subscription
