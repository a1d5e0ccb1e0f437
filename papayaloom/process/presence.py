"""Keeps this host's entry in the platform's store alive under a lease.

Answers the load of many hosts that renew their leases: the larger the fleet,
the longer the lease. In a large fleet other hosts notice sooner than its lease
when a host falls silent (:mod:`papayaloom.process.silence`).
"""

import random
import threading
import time
import typing

import structlog

from papayaloom import errors
from papayaloom.ports import kv
from papayaloom.process import fleet_hosts, store_pace

_log = structlog.get_logger('presence')
# Renewals within one term, so that a lost one does not end it.
_RENEWALS = 3.5
_RETRY_S = 0.25
_TICK_S = 1.0
# Renewals of a whole large fleet in a second.
_FLEET_RENEWALS_PER_S = 20.0
# Hosts that start together do not know how many they are.
_FIRST_TERM_S = 10.0
# A term that is so many times too long or too short is replaced.
_MISFIT = 4.0
# Time in which a new entry shows up in the host's own view.
_SHOWS_UP_S = 10.0


def term_s(hosts: int, least_s: float) -> float:
    """Return the term of a host's lease.

    :param hosts: number of hosts of the fleet.
    :param least_s: term in a small fleet.
    """
    if hosts <= fleet_hosts.MOST_WATCHING:
        return least_s
    return max(least_s, _RENEWALS * hosts / _FLEET_RENEWALS_PER_S)


class Fleet(typing.Protocol):
    """What the thread asks of the fleet."""

    def is_known(self) -> bool:
        """Whether this host knows what to serve."""

    def lease_s(self) -> float:
        """Return the wanted term of this host's lease."""

    def is_listed(self) -> bool:
        """Whether this host's entry is in its own view of the store."""

    def is_store_away(self) -> bool:
        """Whether neither the store nor word of it is to be had."""

    def count(self) -> int:
        """Return the number of hosts of the fleet."""


class Presence:
    """Thread that holds a lease and a key under it."""

    def __init__(
        self,
        store: kv.Kv,
        key: str,
        content: bytes,
        fleet: Fleet,
        rng: random.Random,
    ) -> None:
        """Prepare the thread."""
        self._store = store
        self._key = key
        self._content = content
        self._fleet = fleet
        self._rng = rng
        self._missed_at = float('-inf')
        self._retry_s = _RETRY_S
        self._term_s = _FIRST_TERM_S
        self._lease = ''
        self._renewed_at = float('-inf')
        self._written_at = float('-inf')
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

    def step(self, now: float) -> None:
        """Renew the lease when it is time, or take one and write the key.

        :raises papayaloom.errors.StoreUnavailableError: the store is away.
        """
        if not self._fleet.is_known() or self._waits(now):
            return
        if self._lease and self._fits(now):
            if now - self._renewed_at < self._term_s / _RENEWALS:
                return
            if self._store.keep_lease(self._lease):
                self._renewed_at = now
                return
        self._register(now)

    def failed(self, now: float) -> None:
        """Note that the store did not answer."""
        self._missed_at = now
        self._retry_s = store_pace.retry_s(
            self._fleet.count(), _RETRY_S, self._rng.random()
        )

    def _waits(self, now: float) -> bool:
        """Tell whether the store is still away, or was so a moment ago."""
        for_s = now - self._missed_at
        if for_s >= self._retry_s:
            return False
        return self._fleet.is_store_away() or for_s < _RETRY_S

    def _fits(self, now: float) -> bool:
        """Tell whether the lease and the entry can stay as they are."""
        wanted_s = self._fleet.lease_s()
        if not wanted_s / _MISFIT <= self._term_s <= wanted_s * _MISFIT:
            return False
        # A write of an earlier process that was done late may have put the
        # entry under a lease that has ended since.
        shows_up = now - self._written_at > _SHOWS_UP_S
        return self._fleet.is_listed() or not shows_up

    def _register(self, now: float) -> None:
        is_first = self._written_at < 0
        self._lease = ''
        self._term_s = self._fleet.lease_s()
        if is_first:
            self._term_s = max(self._term_s, _FIRST_TERM_S)
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
        self._renewed_at = now
        self._written_at = now
        _log.info(
            'presence: this host is listed', key=self._key, term_s=self._term_s
        )

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self.step(time.monotonic())
            except errors.StoreUnavailableError as exc:
                _log.debug('presence: not renewed', reason=str(exc))
                self.failed(time.monotonic())
            self._stopping.wait(self._pause_s())
        self._end()

    def _pause_s(self) -> float:
        is_missed = time.monotonic() - self._missed_at < self._retry_s
        if is_missed or not self._lease:
            return _RETRY_S
        return min(_TICK_S, self._term_s / _RENEWALS)

    def _end(self) -> None:
        if not self._lease:
            return
        try:
            self._store.revoke_lease(self._lease)
        except errors.StoreUnavailableError as exc:
            # The entry vanishes with the lease's term.
            _log.info('presence: the lease was not ended', reason=str(exc))
