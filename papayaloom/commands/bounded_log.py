"""Non-blocking log output with a bounded queue and a rate limit.

A background thread writes the queued lines. Lines that exceed the rate or
arrive while the queue is full are dropped; the thread logs how many.
"""

import queue
import threading
import time
import typing

MAX_QUEUED_LINES = 2000
MAX_LINES_PER_S = 300
_REPORT_INTERVAL_S = 5.0
_DROPPED_EVENT = '{{"event": "log: lines dropped", "sum": {0}}}\n'


class BoundedLog:
    """Thread-safe, file-like output for a logger.

    :param stream: destination of the lines.
    :param lines_per_s: lines accepted in one second.
    :param waiting: capacity of the queue, in lines.
    """

    def __init__(
        self,
        stream: typing.TextIO,
        lines_per_s: int = MAX_LINES_PER_S,
        waiting: int = MAX_QUEUED_LINES,
    ) -> None:
        """Start the writer thread."""
        self.dropped = 0
        self._stream = stream
        self._rate = lines_per_s
        self._lock = threading.Lock()
        self._current_second = 0
        self._lines_this_second = 0
        self._lines: queue.Queue[str] = queue.Queue(waiting)
        threading.Thread(target=self._run, name='log', daemon=True).start()

    def write(self, line: str) -> None:
        """Queue a line, or drop it when over the rate or the queue is full."""
        if not self._is_within_rate():
            return
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._count_dropped()

    def flush(self) -> None:
        """Do nothing; the writer thread flushes every line."""

    def drain(self, seconds: float) -> None:
        """Wait until the queue is empty or the time is up, before exit."""
        deadline = time.monotonic() + seconds
        while not self._lines.empty() and time.monotonic() < deadline:
            time.sleep(0.01)

    def _is_within_rate(self) -> bool:
        second = int(time.monotonic())
        with self._lock:
            if second != self._current_second:
                self._current_second = second
                self._lines_this_second = 0
            self._lines_this_second += 1
            if self._lines_this_second <= self._rate:
                return True
            self.dropped += 1
            return False

    def _count_dropped(self) -> None:
        with self._lock:
            self.dropped += 1

    def _run(self) -> None:
        reported = 0
        while True:
            try:
                line = self._lines.get(timeout=_REPORT_INTERVAL_S)
            except queue.Empty:
                line = ''
            if self.dropped > reported:
                reported = self.dropped
                self._write(_DROPPED_EVENT.format(reported))
            if line:
                self._write(line)

    def _write(self, line: str) -> None:
        try:
            self._stream.write(line)
            self._stream.flush()
        except OSError:
            # The reader of the output is gone; the process must keep serving.
            self._count_dropped()
