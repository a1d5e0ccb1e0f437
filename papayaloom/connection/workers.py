"""Threads that serve connections, as many as the load needs.

Cheroot starts a fixed number of threads and leaves it to the program to add
more. Hosts of a large fleet are idle most of the time, and a burst comes
without notice: so a thread starts when a connection finds none free, and ends
when it was not needed for some time.
"""

import queue
import threading
import time
import typing

from cheroot.workers import threadpool

# Bursts come in waves; a thread stays for the next one.
_KEPT_S = 10.0
# Free threads that are never ended: the next connection needs one.
_KEPT_FREE = 1


class Workers(threadpool.ThreadPool):
    """Thread pool of a cheroot server that follows the load.

    :param most: threads at the most; further connections wait.
    """

    # Parts of cheroot's pool that its type stubs leave out.
    _threads: list[threadpool.WorkerThread]
    _queue: queue.Queue[typing.Any]
    _spawn_worker: typing.Callable[[], threadpool.WorkerThread]
    _clear_dead_threads: typing.Callable[[], None]

    def __init__(self, server: typing.Any, most: int) -> None:
        """Start without threads."""
        super().__init__(server, min=1, max=most)
        self.get = self._next_connection
        self._lock = threading.Lock()
        # Threads that wait for a connection, less connections that wait for
        # a thread.
        self._free = 0
        self._least_free = 0
        self._trimmed_at = time.monotonic()

    def __len__(self) -> int:
        """Return the number of threads."""
        return len(self._threads)

    def start(self) -> None:
        """Do nothing: the first connection starts a thread."""

    def put(self, obj: typing.Any) -> None:
        """Queue a connection, and start a thread if none is free for it."""
        with self._lock:
            self._free -= 1
            self._least_free = min(self._least_free, self._free)
            if self._free < 0 and self._has_room():
                self._threads.append(self._spawn_worker())
        super().put(obj)

    def is_idle(self) -> bool:
        """Whether no thread has a connection and none waits for a thread."""
        with self._lock:
            self._clear_dead_threads()
            return self._free >= len(self._threads)

    def trim(self) -> None:
        """End threads that nobody needed for some time."""
        now = time.monotonic()
        if now - self._trimmed_at < _KEPT_S:
            return
        with self._lock:
            self._trimmed_at = now
            unneeded = max(self._least_free - _KEPT_FREE, 0)
            self._free -= unneeded
            self._least_free = self._free
            self.shrink(unneeded)

    def _next_connection(self) -> typing.Any:
        with self._lock:
            self._free += 1
        return self._queue.get()

    def _has_room(self) -> bool:
        if len(self._threads) >= self.max:
            self._clear_dead_threads()
        return len(self._threads) < self.max
