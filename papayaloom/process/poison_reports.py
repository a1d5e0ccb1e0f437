"""Sends reports of poison requests to the other hosts.

Reports are written to the platform's store under a lease that is not renewed.
The store passes them to all hosts, including those that start later. In a small
fleet, reports are also sent to each host directly, which is faster and works
while the store is unavailable; a large fleet relies on its relays.
"""

import random
import threading
import time
import typing

import msgspec
import structlog
import urllib3

from papayaloom import errors
from papayaloom.connection import client_connection
from papayaloom.ports import kv
from papayaloom.process import dispatch_actor, fleet_hosts, store_backoff
from papayaloom.routing import dispatch
from papayaloom.routing.poison import poison_evidence

PATH = '/poison'
_log = structlog.get_logger('poison')
# All requests on a terminated replica fail at once; the delay batches their
# suspicions into one report.
_BATCH_DELAY_S = 0.05
# Frequent terminations make many suspects, few of which are sent again.
_SUSPECT_TERM_S = 120
# The platform limits leases to ten minutes.
_CONDEMNED_TERM_S = 600
# Reports within this interval share a lease.
_LEASE_SHARING_S = 30
_RETRY_S = 0.25
_SEND_TIMEOUT_S = 0.2
_OK = 200


class Destination(msgspec.Struct, frozen=True):
    """Destination of the reports.

    :param prefix: key prefix of the reports in the store.
    :param is_store_unavailable: whether the last call to the store failed.
    """

    prefix: str
    host: str
    hosts: fleet_hosts.FleetHosts
    is_store_unavailable: typing.Callable[[], bool]


class _Lease(msgspec.Struct, frozen=True):
    id: str
    granted_at: float


class _StoredReport(msgspec.Struct, frozen=True):
    """A report for the store.

    :param expires_at: monotonic time until which other hosts need it.
    """

    content: bytes
    term_s: float
    expires_at: float


class Reporter:
    """Thread that sends reports; started by the first report."""

    def __init__(
        self,
        store: kv.Kv,
        destination: Destination,
        dispatch_client: dispatch_actor.DispatchClient,
        rng: random.Random,
    ) -> None:
        """Prepare the thread, which sends reports when woken."""
        self._store = store
        self._destination = destination
        self._dispatch_client = dispatch_client
        self._rng = rng
        self._woken = threading.Event()
        self._stopping = threading.Event()
        self._is_started = False
        self._leases: dict[float, _Lease] = {}
        self._unwritten: dict[str, _StoredReport] = {}
        self._written: dict[str, _StoredReport] = {}
        self._is_store_restored = False
        self._pool = client_connection.pool_manager(
            timeout=urllib3.Timeout(_SEND_TIMEOUT_S)
        )

    def wake(self) -> None:
        """Send pending reports soon; called by the dispatch actor."""
        self._woken.set()
        if not self._is_started:
            self._is_started = True
            threading.Thread(
                target=self._run, name='poison', daemon=True
            ).start()

    def store_restored(self) -> None:
        """Write the reports again that the store may have lost."""
        self._is_store_restored = True
        if self._is_started:
            self._woken.set()

    def stop(self) -> None:
        """Stop the thread after its current call."""
        self._stopping.set()
        self._woken.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._woken.wait(self._retry_s() if self._unwritten else None)
            self._woken.clear()
            self._stopping.wait(_BATCH_DELAY_S)
            try:
                self._send(self._dispatch_client.ask(_take_report))
            except Exception:
                # The thread must survive any error, to send later reports.
                _log.exception('poison: cannot send a report')

    def _send(self, report: poison_evidence.Report) -> None:
        """Send a report, and retry reports that are not in the store yet."""
        is_empty = report == poison_evidence.Report()
        content = msgspec.json.encode(report)
        if self._is_store_restored:
            self._is_store_restored = False
            self._take_back_written()
        if not is_empty:
            _log_report(report)
            term_s = _term_s(report)
            self._unwritten[self._new_key()] = _StoredReport(
                content, term_s, time.monotonic() + term_s
            )
            # The store may take long, or be silent.
            self._send_to_hosts(content)
        self._write()

    def _take_back_written(self) -> None:
        self._leases.clear()
        self._unwritten.update(self._written)
        self._written.clear()

    def _new_key(self) -> str:
        number = f'{self._rng.getrandbits(64):016x}'
        return f'{self._destination.prefix}{self._destination.host}-{number}'

    def _retry_s(self) -> float:
        return store_backoff.retry_s(
            self._destination.hosts.count(), _RETRY_S, self._rng.random()
        )

    def _write(self) -> None:
        if self._destination.is_store_unavailable():
            return
        try:
            for key in list(self._unwritten):
                self._put(key)
        except errors.StoreUnavailableError as exc:
            _log.info(
                'poison: cannot write reports to the store', reason=str(exc)
            )
            self._leases.clear()

    def _put(self, key: str) -> None:
        report = self._unwritten[key]
        lease = self._lease(report.term_s)
        # A conflict means that an earlier write succeeded, but its response was
        # lost.
        self._store.put(key, report.content, kv.ABSENT, lease)
        now = time.monotonic()
        self._written = {
            name: one
            for name, one in self._written.items()
            if one.expires_at > now
        }
        self._written[key] = self._unwritten.pop(key)

    def _lease(self, term_s: float) -> str:
        now = time.monotonic()
        lease = self._leases.get(term_s)
        if lease is None or now - lease.granted_at > _LEASE_SHARING_S:
            lease = _Lease(self._store.grant_lease(term_s).id, now)
            self._leases[term_s] = lease
        return lease.id

    def _send_to_hosts(self, content: bytes) -> None:
        hosts = self._destination.hosts.all()
        if len(hosts) > fleet_hosts.MAX_DIRECT_WATCHERS:
            return
        for host in hosts:
            if host.control and host.name != self._destination.host:
                self._send_to(host, content)

    def _send_to(self, host: fleet_hosts.Host, content: bytes) -> None:
        url = f'http://{host.control}{PATH}'
        try:
            reply = self._pool.request('POST', url, body=content)
        except urllib3.exceptions.HTTPError as exc:
            _log.info(
                'poison: report not delivered', host=host.name, reason=str(exc)
            )
            return
        if reply.status != _OK:
            _log.info(
                'poison: report not delivered',
                host=host.name,
                reason=reply.status,
            )


def _term_s(report: poison_evidence.Report) -> float:
    """Return how long the store keeps a report."""
    parts = report.parts or poison_evidence.Report()
    if report.condemned or parts.condemned or parts.released:
        return _CONDEMNED_TERM_S
    return _SUSPECT_TERM_S


def _log_report(report: poison_evidence.Report) -> None:
    parts = report.parts or poison_evidence.Report()
    _log.info(
        'poison: sending a report',
        suspicions=len(report.suspicions),
        condemned=report.condemned,
        cleared=report.cleared,
        suspect_parts=[one.fingerprint for one in parts.suspicions],
        condemned_parts=parts.condemned,
        cleared_parts=parts.cleared,
        released_parts=parts.released,
    )


def _take_report(
    dispatcher: dispatch.Dispatcher, _now: float
) -> poison_evidence.Report:
    return dispatcher.poison.take_report()
