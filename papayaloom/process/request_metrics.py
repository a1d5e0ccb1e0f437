"""Request counters and latency histogram of a forwarding router."""

import collections
import contextlib
import threading
import typing

import msgspec
from hdrh import histogram

from papayaloom.connection import buffer_budget

_MAX_LATENCY_MS = 120_000
_PERCENTILES = (50, 95, 99)


class RequestMetrics:
    """Counts running and finished requests; thread-safe."""

    def __init__(self) -> None:
        """Initialise all counters to zero."""
        self.running = 0
        self._lock = threading.Lock()
        self._status_counts: collections.Counter[int] = collections.Counter()
        self._latency_ms = histogram.HdrHistogram(1, _MAX_LATENCY_MS, 2)

    @contextlib.contextmanager
    def track_running(self) -> typing.Iterator[None]:
        """Count a request as running inside the ``with`` block."""
        with self._lock:
            self.running += 1
        try:
            yield
        finally:
            with self._lock:
                self.running -= 1

    def record_end(self, status: int, seconds: float) -> None:
        """Record the status and latency of a finished request."""
        with self._lock:
            self._status_counts[status] += 1
            self._latency_ms.record_value(max(1, round(seconds * 1000)))

    def dump(self) -> dict[str, object]:
        """Return the counts for the state dump."""
        with self._lock:
            return {
                'running': self.running,
                'statuses': {
                    str(status): count
                    for status, count in self._status_counts.items()
                },
            }

    def prometheus_text(
        self,
        decisions: dict[str, int],
        buffers: dict[str, buffer_budget.Usage],
    ) -> bytes:
        """Return the metrics in the Prometheus text exposition format.

        :param decisions: counts of routing decisions by name.
        :param buffers: buffered responses by replica.
        """
        with self._lock:
            lines = [f'papayaloom_running {self.running}']
            lines.extend(
                f'papayaloom_requests_total{{status="{status}"}} {count}'
                for status, count in sorted(self._status_counts.items())
            )
            lines.extend(
                f'papayaloom_latency_ms{{quantile="{percentile / 100}"}} '
                f'{self._latency_ms.get_value_at_percentile(percentile)}'
                for percentile in _PERCENTILES
            )
        lines.extend(
            f'papayaloom_decisions_total{{decision="{name}"}} {count}'
            for name, count in decisions.items()
        )
        for replica, usage in buffers.items():
            label = f'{{replica={msgspec.json.encode(replica).decode()}}}'
            lines.extend(
                (
                    f'papayaloom_buffered_bytes{label} {usage.held}',
                    f'papayaloom_buffered_peak_bytes{label} {usage.peak}',
                    f'papayaloom_buffer_refusals_total{label} {usage.refused}',
                )
            )
        return '\n'.join([*lines, '']).encode()
