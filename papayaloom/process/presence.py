"""Keeps this host's entry in the platform's store alive under a lease."""

import threading
import typing

import structlog

from papayaloom import errors
from papayaloom.ports import kv

_log = structlog.get_logger('presence')
# Renewals within one term, so that a lost one does not end it.
_RENEWALS = 3.5
_RETRY_S = 0.25


class Presence:
    """Thread that holds a lease and a key under it.

    :param term_s: returns the time after the last renewal at which the key
        vanishes.
    """

    def __init__(
        self,
        store: kv.Kv,
        key: str,
        content: bytes,
        term_s: typing.Callable[[], float],
    ) -> None:
        """Prepare the thread."""
        self._store = store
        self._key = key
        self._content = content
        self._wanted_s = term_s
        self._term_s = term_s()
        self._lease = ''
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='presence', daemon=True
        )

    def start(self) -> None:
        """Run the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the lease: other hosts stop naming this one."""
        self._stopping.set()

    def step(self) -> None:
        """Renew the lease, or take one and write the key.

        :raises papayaloom.errors.StoreUnavailableError: the store is away.
        """
        is_wanted = self._term_s == self._wanted_s()
        if is_wanted and self._lease and self._store.keep_lease(self._lease):
            return
        self._lease = ''
        self._term_s = self._wanted_s()
        lease = self._store.grant_lease(self._term_s)
        expect = kv.ABSENT
        while True:
            written = self._store.put(
                self._key, self._content, expect, lease.id
            )
            if written.done:
                break
            expect = written.current.revision if written.current else kv.ABSENT
        self._lease = lease.id
        _log.info('presence: this host is listed', key=self._key)

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self.step()
            except errors.StoreUnavailableError as exc:
                _log.debug('presence: not renewed', reason=str(exc))
                self._stopping.wait(_RETRY_S)
                continue
            self._stopping.wait(self._term_s / _RENEWALS)
        self._end()

    def _end(self) -> None:
        if not self._lease:
            return
        try:
            self._store.revoke_lease(self._lease)
        except errors.StoreUnavailableError as exc:
            # The entry vanishes with the lease's term.
            _log.info('presence: the lease was not ended', reason=str(exc))
