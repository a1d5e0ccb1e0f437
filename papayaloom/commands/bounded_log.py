"""Log output that never blocks and stays bounded under load.

Lines wait in a bounded queue for a thread that writes them. Lines that don't
fit, and lines above the rate, are dropped and counted; the count is written.
"""

import queue
import threading
import time
import typing

MOST_WAITING = 2000
MOST_LINES_PER_S = 300
_REPORT_S = 5.0
_DROPPED = '{{"event": "log: lines dropped", "sum": {0}}}\n'


class BoundedLog:
    """File-like object for a logger; thread-safe.

    :param stream: where the lines go in the end.
    """

    def __init__(
        self,
        stream: typing.TextIO,
        lines_per_s: int = MOST_LINES_PER_S,
        waiting: int = MOST_WAITING,
    ) -> None:
        """Start the thread that writes."""
        self.dropped = 0
        self._stream = stream
        self._rate = lines_per_s
        self._lock = threading.Lock()
        self._second = 0
        self._in_second = 0
        self._lines: queue.Queue[str] = queue.Queue(waiting)
        threading.Thread(target=self._run, name='log', daemon=True).start()

    def write(self, line: str) -> None:
        """Take a line; drops it when there are too many."""
        if not self._admits():
            return
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._drop()

    def flush(self) -> None:
        """Do nothing: the thread flushes."""

    def drain(self, seconds: float) -> None:
        """Wait for the lines that are there, for a process that ends."""
        end = time.monotonic() + seconds
        while not self._lines.empty() and time.monotonic() < end:
            time.sleep(0.01)

    def _admits(self) -> bool:
        second = int(time.monotonic())
        with self._lock:
            if second != self._second:
                self._second = second
                self._in_second = 0
            self._in_second += 1
            if self._in_second <= self._rate:
                return True
            self.dropped += 1
            return False

    def _drop(self) -> None:
        with self._lock:
            self.dropped += 1

    def _run(self) -> None:
        reported = 0
        while True:
            try:
                line = self._lines.get(timeout=_REPORT_S)
            except queue.Empty:
                line = ''
            if self.dropped > reported:
                reported = self.dropped
                self._write(_DROPPED.format(reported))
            if line:
                self._write(line)

    def _write(self, line: str) -> None:
        try:
            self._stream.write(line)
            self._stream.flush()
        except OSError:
            # Nobody reads the output any more; serving goes on.
            self._drop()
