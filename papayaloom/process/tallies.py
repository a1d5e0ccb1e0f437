"""Counters and latency histogram of a forwarding router, as text."""

import collections
import contextlib
import threading
import typing

from hdrh import histogram

_HIGHEST_MS = 120_000
_PERCENTILES = (50, 95, 99)


class Tallies:
    """Counts of requests; thread-safe."""

    def __init__(self) -> None:
        """Start at zero."""
        self.running = 0
        self._lock = threading.Lock()
        self._statuses: collections.Counter[int] = collections.Counter()
        self._latency = histogram.HdrHistogram(1, _HIGHEST_MS, 2)

    @contextlib.contextmanager
    def running_one(self) -> typing.Iterator[None]:
        """Count a request while it runs."""
        with self._lock:
            self.running += 1
        try:
            yield
        finally:
            with self._lock:
                self.running -= 1

    def ended(self, status: int, seconds: float) -> None:
        """Count the end of a request."""
        with self._lock:
            self._statuses[status] += 1
            self._latency.record_value(max(1, round(seconds * 1000)))

    def dump(self) -> dict[str, object]:
        """Return the counts."""
        with self._lock:
            return {
                'running': self.running,
                'statuses': {
                    str(status): count
                    for status, count in self._statuses.items()
                },
            }

    def text(self) -> bytes:
        """Return counters and histogram in the Prometheus text format."""
        with self._lock:
            lines = [f'papayaloom_running {self.running}']
            lines.extend(
                f'papayaloom_requests_total{{status="{status}"}} {count}'
                for status, count in sorted(self._statuses.items())
            )
            lines.extend(
                f'papayaloom_latency_ms{{quantile="{share / 100}"}} '
                f'{self._latency.get_value_at_percentile(share)}'
                for share in _PERCENTILES
            )
        return '\n'.join([*lines, '']).encode()
