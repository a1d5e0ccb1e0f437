"""Thread pool that adapts its size to the load.

Cheroot starts a fixed number of threads and leaves it to the application to add
more. Hosts of a large fleet are idle most of the time, and bursts are sudden.
Therefore a thread is started when a connection finds no free one, and ends
after it has not been needed for some time.
"""

import queue
import threading
import time
import typing

from cheroot.workers import threadpool

# Bursts recur, so threads are kept for the next one.
_TRIM_INTERVAL_S = 10.0
# Minimum number of free threads kept for the next connection.
_MIN_FREE_THREADS = 1


class WorkerPool(threadpool.ThreadPool):
    """Thread pool of a cheroot server with a size that follows the load.

    :param max_threads: maximum number of threads; further connections are
        queued.
    """

    # Members of cheroot's pool that are missing from its type stubs.
    _threads: list[threadpool.WorkerThread]
    _queue: queue.Queue[typing.Any]
    _spawn_worker: typing.Callable[[], threadpool.WorkerThread]
    _clear_dead_threads: typing.Callable[[], None]

    def __init__(self, server: typing.Any, max_threads: int) -> None:
        """Create the pool without threads."""
        super().__init__(server, min=1, max=max_threads)
        self.get = self._next_connection
        self._lock = threading.Lock()
        # Number of threads waiting for a connection minus number of connections
        # waiting for a thread.
        self._free = 0
        self._min_free = 0
        self._trimmed_at = time.monotonic()

    def __len__(self) -> int:
        """Return the number of threads."""
        return len(self._threads)

    def start(self) -> None:
        """Do nothing, because the first connection starts a thread."""

    def put(self, obj: typing.Any) -> None:
        """Queue a connection, and start a thread if no thread is free."""
        with self._lock:
            self._free -= 1
            self._min_free = min(self._min_free, self._free)
            if self._free < 0 and self._has_room():
                self._threads.append(self._spawn_worker())
        super().put(obj)

    def is_idle(self) -> bool:
        """Whether no connection is being served or queued."""
        with self._lock:
            self._clear_dead_threads()
            return self._free >= len(self._threads)

    def trim(self) -> None:
        """End threads that have been idle for some time."""
        now = time.monotonic()
        if now - self._trimmed_at < _TRIM_INTERVAL_S:
            return
        with self._lock:
            self._trimmed_at = now
            unneeded = max(self._min_free - _MIN_FREE_THREADS, 0)
            self._free -= unneeded
            self._min_free = self._free
            self.shrink(unneeded)

    def _next_connection(self) -> typing.Any:
        with self._lock:
            self._free += 1
        return self._queue.get()

    def _has_room(self) -> bool:
        if len(self._threads) >= self.max:
            self._clear_dead_threads()
        return len(self._threads) < self.max
