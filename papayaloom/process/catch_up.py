"""Asks other hosts for what the store says, while the store is away.

Answers a restart during an outage: a host that knows no route table refuses
every request, although its neighbours could tell it.
"""

import threading

import msgspec
import structlog
import urllib3

from papayaloom import errors
from papayaloom.process import store_view

PATH = '/snapshot'
_log = structlog.get_logger('catch-up')
_TIMEOUT_S = 0.4
_OK = 200
AGE = 'Age'
# A host that was in touch with the store until then has missed nothing.
_FRESH_S = 2.0


class _Snapshot(msgspec.Struct, frozen=True):
    """What a host knows.

    :param age_s: time since the store was heard there.
    """

    host: str
    age_s: float
    content: bytes


class Seeds:
    """Hosts that may be asked.

    :param addresses: where they answer other hosts; some may be gone.
    """

    def __init__(
        self,
        addresses: tuple[tuple[str, int], ...],
        view: store_view.StoreView,
    ) -> None:
        """Prepare; connects when asked."""
        self._addresses = addresses
        self._view = view
        self._pool = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(_TIMEOUT_S)
        )
        self._is_asking = threading.Lock()

    def begin(self) -> None:
        """Look for a host with a snapshot, on a thread of its own.

        Hosts without power keep it waiting, and the store may be back sooner.
        """
        if self._view.table is None and self._is_asking.acquire(blocking=False):
            threading.Thread(
                target=self._run, name='catch-up', daemon=True
            ).start()

    def _run(self) -> None:
        try:
            self._take_freshest()
        finally:
            self._is_asking.release()

    def _take_freshest(self) -> None:
        """Take the first fresh snapshot, else the one that is least old.

        A host that is cut off from the store alone may still name replicas
        that have left and keys that were withdrawn.
        """
        found: list[_Snapshot] = []
        for host, port in self._addresses:
            snapshot = self._ask(host, port)
            if snapshot is None:
                continue
            found.append(snapshot)
            if snapshot.age_s <= _FRESH_S:
                break
        for snapshot in sorted(found, key=lambda one: one.age_s):
            if self._take(snapshot):
                return

    def _ask(self, host: str, port: int) -> _Snapshot | None:
        url = f'http://{host}:{port}{PATH}'
        try:
            reply = self._pool.request('GET', url, redirect=False)
            age_s = float(reply.headers.get(AGE, 'inf'))
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            _log.info('catch-up: no snapshot', host=host, reason=str(exc))
            return None
        if reply.status != _OK:
            return None
        return _Snapshot(host, age_s, reply.data)

    def _take(self, snapshot: _Snapshot) -> bool:
        try:
            is_taken = self._view.restore(snapshot.content)
        except errors.CodecError as exc:
            _log.info(
                'catch-up: no snapshot', host=snapshot.host, reason=str(exc)
            )
            return False
        _log.info(
            'catch-up: snapshot taken'
            if is_taken
            else 'catch-up: the store was listed first',
            host=snapshot.host,
            age_s=snapshot.age_s,
            version=self._view.version,
        )
        return True
