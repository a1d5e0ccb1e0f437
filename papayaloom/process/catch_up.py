"""Asks other hosts for what the store says, while the store is away.

Answers a restart during an outage: a host that knows no route table refuses
every request, although its neighbours could tell it.
"""

import threading

import structlog
import urllib3

from papayaloom import errors
from papayaloom.process import store_view

PATH = '/snapshot'
_log = structlog.get_logger('catch-up')
_TIMEOUT_S = 0.4
_OK = 200


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
            any(self._ask(host, port) for host, port in self._addresses)
        finally:
            self._is_asking.release()

    def _ask(self, host: str, port: int) -> bool:
        url = f'http://{host}:{port}{PATH}'
        try:
            reply = self._pool.request('GET', url, redirect=False)
            if reply.status != _OK:
                return False
            is_taken = self._view.restore(reply.data)
        except (urllib3.exceptions.HTTPError, errors.CodecError) as exc:
            _log.info('catch-up: no snapshot', host=host, reason=str(exc))
            return False
        _log.info(
            'catch-up: snapshot taken'
            if is_taken
            else 'catch-up: the store was listed first',
            host=host,
            version=self._view.version,
        )
        return True
