"""Looks after open requests from one thread.

Worker threads block on reads from upstreams. This thread renews their grants,
and breaks a blocked read when the deadline has passed or the caller has gone.
"""

import enum
import queue
import select
import threading
import typing

from papayaloom import clock, ids
from papayaloom.ports import engine
from papayaloom.request import desk

PERIOD_S = 0.25
# Cancellations waiting for slow engines; more are dropped, and the engine
# notices the closed connection instead.
MAX_CANCELS = 1000
_GONE = select.POLLHUP | select.POLLERR | select.POLLRDHUP | select.POLLNVAL


class Stopped(enum.Enum):
    """Why an open request was stopped from outside."""

    NO = ''
    LATE = 'late'
    GONE = 'gone'


class Entry:
    """One open request.

    :param caller_fd: file descriptor of the caller's connection; -1 if none.
    """

    def __init__(self, deadline: float, caller_fd: int = -1) -> None:
        """Begin without an open stream."""
        self.deadline = deadline
        self.caller_fd = caller_fd
        self.stopped = Stopped.NO
        self.grant: desk.Grant | None = None
        self.stream: engine.Stream | None = None
        self.renew_at = float(0)

    def stop(self, why: Stopped) -> None:
        """Break the open stream."""
        self.stopped = why
        if self.stream is not None:
            self.stream.abort()


class Watch:
    """The open requests of a process."""

    def __init__(self, office: desk.Desk, source: clock.Clock) -> None:
        """Start empty; :meth:`start` runs the thread."""
        self.dropped_cancels = 0
        self._desk = office
        self._clock = source
        self._lock = threading.Lock()
        self._entries: set[Entry] = set()
        self._stopping = threading.Event()
        self._cancels: queue.Queue[typing.Callable[[], None]] = queue.Queue(
            MAX_CANCELS
        )

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._entries)

    def add(self, entry: Entry) -> None:
        """Look after a request."""
        with self._lock:
            self._entries.add(entry)

    def remove(self, entry: Entry) -> None:
        """Forget a request before its caller's connection is closed."""
        with self._lock:
            self._entries.discard(entry)

    def cancel(
        self, engines: engine.Engines, url: str, request: ids.RequestId
    ) -> None:
        """Cancel a request at an engine without waiting for the reply."""
        try:
            self._cancels.put_nowait(lambda: engines.cancel(url, request))
        except queue.Full:
            self.dropped_cancels += 1

    def start(self) -> None:
        """Run the threads until :meth:`stop`."""
        for target, name in ((self._run, 'watch'), (self._drain, 'cancel')):
            threading.Thread(target=target, name=name, daemon=True).start()

    def stop(self) -> None:
        """End the threads."""
        self._stopping.set()

    def check(self) -> None:
        """Look at every request once."""
        now = self._clock.monotonic()
        with self._lock:
            gone = self._callers_gone()
            for entry in self._entries:
                self._check(entry, now, entry.caller_fd in gone)

    def _check(self, entry: Entry, now: float, gone: bool) -> None:
        if entry.stopped is not Stopped.NO:
            return
        if gone:
            entry.stop(Stopped.GONE)
        elif now >= entry.deadline:
            entry.stop(Stopped.LATE)
        elif entry.grant is not None and now >= entry.renew_at:
            entry.renew_at = now + entry.grant.renew_s
            self._desk.renew(entry.grant)

    def _callers_gone(self) -> set[int]:
        poll = select.poll()
        for entry in self._entries:
            if entry.caller_fd >= 0:
                poll.register(entry.caller_fd, select.POLLRDHUP)
        return {fd for fd, event in poll.poll(0) if event & _GONE}

    def _run(self) -> None:
        while not self._stopping.wait(PERIOD_S):
            self.check()

    def _drain(self) -> None:
        while not self._stopping.is_set():
            cancel = self._cancels.get()
            try:
                cancel()
            except Exception:  # noqa: BLE001
                # The engine is gone or slow; it has stopped the request when
                # the connection was closed.
                self.dropped_cancels += 1
