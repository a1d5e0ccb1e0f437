"""Statsd metrics of a router."""

import statsd
import structlog

from papayaloom import errors
from papayaloom.process import bootstrap, core

_log = structlog.get_logger('metrics')
PERIOD_S = 10.0


class Metrics:
    """Sends gauges of the decision state; a no-op without a statsd server.

    :param address: ``host:port`` of the statsd server, or empty.
    :param prefix: prefix of every metric name, such as ``kelani.router-1``.
    """

    def __init__(self, address: str, prefix: str) -> None:
        """Resolve the server address and open the UDP socket."""
        self._client: statsd.StatsClient | None = None
        if not address:
            return
        host, port = bootstrap.parse_host_port(address, 'statsd')
        try:
            self._client = statsd.StatsClient(host, port, prefix=prefix)
        except OSError as exc:
            raise errors.SettingsError(
                f'statsd address {address} cannot be resolved: {exc}',
            ) from exc

    def send(self, state: core.Dump, open_requests: int) -> None:
        """Send all gauges as one batch."""
        if self._client is None:
            return
        gauges = {
            'requests.open': open_requests,
            'requests.searching': state.chats.searching,
            'requests.running': state.chats.running,
            'answers.late': state.chats.late_answers,
            'settings.version': state.settings.version,
            'members.alive': state.members.alive,
            'suspects': len(state.chats.suspects),
            'ledger.waiting': state.ledger.waiting,
            'ledger.writes': state.ledger.counts.writes,
            'ledger.reads': state.ledger.counts.reads,
        }
        with self._client.pipeline() as pipeline:
            for name, gauge_value in gauges.items():
                pipeline.gauge(name, gauge_value)
