"""Fetches a snapshot of the store from other hosts during a store outage.

A host that restarts during an outage has no route table and refuses every
request, although other hosts still have the table.
"""

import threading
import time
import typing

import msgspec
import structlog
import urllib3

from papayaloom import errors
from papayaloom.connection import client_connection
from papayaloom.process import store_view

PATH = '/snapshot'
_log = structlog.get_logger('catch-up')
_TIMEOUT_S = 0.4
_OK = 200
AGE_HEADER = 'Age'
# A host that heard from the store this recently has missed no changes, so its
# snapshot is used without asking further hosts.
_CURRENT_S = 2.0
# Time between fetches by a host that has lost the history of changes.
_REFRESH_S = 1.0


class _Snapshot(msgspec.Struct, frozen=True):
    """A snapshot from another host.

    :param age_s: time since the store last answered that host.
    """

    host: str
    age_s: float
    content: bytes


class SnapshotClient:
    """Fetches a snapshot from one of the seed hosts.

    :param addresses: control addresses of the hosts; some may be unreachable.
    :param refreshes: whether evacuated zones are fetched again as long as the
        store cannot be listed.
    """

    def __init__(
        self,
        addresses: tuple[tuple[str, int], ...],
        view: store_view.StoreView,
        *,
        refreshes: bool = False,
    ) -> None:
        """Prepare the client; no connection is opened yet."""
        self._addresses = addresses
        self._view = view
        self._pool = client_connection.pool_manager(
            timeout=urllib3.Timeout(_TIMEOUT_S)
        )
        self._fetch_lock = threading.Lock()
        self._refreshes = refreshes
        self._fetched_at = float('-inf')

    def start_fetch(self) -> None:
        """Start to fetch a snapshot on a separate thread.

        Unreachable hosts cost a timeout each, and the store may return sooner.
        """
        is_first = self._view.table is None
        is_due = time.monotonic() - self._fetched_at > _REFRESH_S
        if not is_first and not (self._refreshes and is_due):
            return
        if self._fetch_lock.acquire(blocking=False):
            self._fetched_at = time.monotonic()
            apply = self._apply_newest if is_first else self._refresh
            threading.Thread(
                target=self._run, args=(apply,), name='catch-up', daemon=True
            ).start()

    def _run(self, apply: typing.Callable[[], None]) -> None:
        try:
            apply()
        finally:
            self._fetch_lock.release()

    def _refresh(self) -> None:
        """Apply the evacuations that a host in touch with the store knows."""
        for host, port in self._addresses:
            snapshot = self._fetch(host, port)
            if snapshot is None or snapshot.age_s > _CURRENT_S:
                continue
            try:
                self._view.evacuations.restore(snapshot.content)
            except errors.CodecError as exc:
                _log.info(
                    'catch-up: cannot decode a snapshot',
                    host=host,
                    reason=str(exc),
                )
                continue
            return

    def _apply_newest(self) -> None:
        """Apply the first current snapshot, else the newest one.

        A host that has lost its connection to the store may still list
        replicas that have left and API keys that were revoked.
        """
        found: list[_Snapshot] = []
        for host, port in self._addresses:
            snapshot = self._fetch(host, port)
            if snapshot is None:
                continue
            found.append(snapshot)
            if snapshot.age_s <= _CURRENT_S:
                break
        for snapshot in sorted(found, key=lambda one: one.age_s):
            if self._apply(snapshot):
                return

    def _fetch(self, host: str, port: int) -> _Snapshot | None:
        url = f'http://{host}:{port}{PATH}'
        try:
            reply = self._pool.request('GET', url, redirect=False)
            age_s = float(reply.headers.get(AGE_HEADER, 'inf'))
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            _log.info(
                'catch-up: cannot fetch a snapshot', host=host, reason=str(exc)
            )
            return None
        if reply.status != _OK:
            return None
        return _Snapshot(host, age_s, reply.data)

    def _apply(self, snapshot: _Snapshot) -> bool:
        try:
            is_applied = self._view.restore(snapshot.content)
        except errors.CodecError as exc:
            _log.info(
                'catch-up: cannot decode a snapshot',
                host=snapshot.host,
                reason=str(exc),
            )
            return False
        _log.info(
            'catch-up: snapshot applied'
            if is_applied
            else 'catch-up: snapshot ignored, the store was already listed',
            host=snapshot.host,
            age_s=snapshot.age_s,
            version=self._view.version,
        )
        return True
