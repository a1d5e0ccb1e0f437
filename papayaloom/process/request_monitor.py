"""Monitors open requests from a single thread.

Worker threads block on reads from upstreams. This thread renews their grants,
and aborts a blocked read when the deadline has passed or the caller has
disconnected.
"""

import enum
import queue
import select
import threading
import typing

from papayaloom import clock, ids
from papayaloom.ports import engine
from papayaloom.request import core_api

PERIOD_S = 0.25
# Queued cancellations for slow engines; further ones are dropped, and the
# engine detects the closed connection instead.
MAX_CANCELS = 1000
_DISCONNECT_EVENTS = (
    select.POLLHUP | select.POLLERR | select.POLLRDHUP | select.POLLNVAL
)


class StopReason(enum.Enum):
    """Reason why the monitor stopped an open request."""

    NONE = ''
    DEADLINE_PASSED = 'late'
    CALLER_GONE = 'gone'


class OpenRequest:
    """State of one open request.

    :param caller_fd: file descriptor of the caller's connection, or -1.
    """

    def __init__(self, deadline: float, caller_fd: int = -1) -> None:
        """Start without a grant and without an open stream."""
        self.deadline = deadline
        self.caller_fd = caller_fd
        self.stop_reason = StopReason.NONE
        self.grant: core_api.Grant | None = None
        self.stream: engine.Stream | None = None
        self.renew_at = float(0)

    def stop(self, reason: StopReason) -> None:
        """Abort the open stream, if any, for the given reason."""
        self.stop_reason = reason
        if self.stream is not None:
            self.stream.abort()


class RequestMonitor:
    """Monitors all open requests of a process."""

    def __init__(
        self, core_client: core_api.CoreApi, source: clock.Clock
    ) -> None:
        """Start without requests; :meth:`start` runs the threads."""
        self.dropped_cancels = 0
        self._core_client = core_client
        self._clock = source
        self._lock = threading.Lock()
        self._open_requests: set[OpenRequest] = set()
        self._stopping = threading.Event()
        self._cancels: queue.Queue[typing.Callable[[], None]] = queue.Queue(
            MAX_CANCELS
        )

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._open_requests)

    def add(self, open_request: OpenRequest) -> None:
        """Start monitoring a request."""
        with self._lock:
            self._open_requests.add(open_request)

    def remove(self, open_request: OpenRequest) -> None:
        """Stop monitoring a request; call before its connection is closed."""
        with self._lock:
            self._open_requests.discard(open_request)

    def cancel(
        self, engines: engine.Engines, url: str, request: ids.RequestId
    ) -> None:
        """Queue the cancellation of a request at an engine."""
        try:
            self._cancels.put_nowait(lambda: engines.cancel(url, request))
        except queue.Full:
            self.dropped_cancels += 1

    def start(self) -> None:
        """Start the monitor thread and the cancellation thread."""
        for target, name in (
            (self._run_checks, 'watch'),
            (self._run_cancels, 'cancel'),
        ):
            threading.Thread(target=target, name=name, daemon=True).start()

    def stop(self) -> None:
        """Signal the threads to end."""
        self._stopping.set()

    def check(self) -> None:
        """Check every open request once."""
        now = self._clock.monotonic()
        with self._lock:
            disconnected = self._disconnected_fds()
            for open_request in self._open_requests:
                self._check(
                    open_request, now, open_request.caller_fd in disconnected
                )

    def _check(
        self, open_request: OpenRequest, now: float, caller_gone: bool
    ) -> None:
        if open_request.stop_reason is not StopReason.NONE:
            return
        if caller_gone:
            open_request.stop(StopReason.CALLER_GONE)
        elif now >= open_request.deadline:
            open_request.stop(StopReason.DEADLINE_PASSED)
        elif open_request.grant is not None and now >= open_request.renew_at:
            open_request.renew_at = now + open_request.grant.renew_s
            self._core_client.renew(open_request.grant)

    def _disconnected_fds(self) -> set[int]:
        poll = select.poll()
        for open_request in self._open_requests:
            if open_request.caller_fd >= 0:
                poll.register(open_request.caller_fd, select.POLLRDHUP)
        return {fd for fd, event in poll.poll(0) if event & _DISCONNECT_EVENTS}

    def _run_checks(self) -> None:
        while not self._stopping.wait(PERIOD_S):
            self.check()

    def _run_cancels(self) -> None:
        while not self._stopping.is_set():
            cancel = self._cancels.get()
            try:
                cancel()
            except Exception:  # noqa: BLE001
                # The engine is unreachable or slow; it stopped the request when
                # the connection was closed.
                self.dropped_cancels += 1
