"""Registers this host in the platform's store and renews its lease.

The lease term grows with the fleet, to limit the total rate of renewals. In a
large fleet, the relays detect a silent host before its lease ends
(:mod:`papayaloom.process.silent_hosts`).
"""

import random
import threading
import time
import typing

import structlog

from papayaloom import errors
from papayaloom.ports import kv
from papayaloom.process import fleet_hosts, store_backoff

_log = structlog.get_logger('presence')
# Renewals per lease term; a single lost renewal must not end the lease.
_RENEWALS_PER_TERM = 3.5
_RETRY_S = 0.25
_TICK_S = 1.0
# Renewals per second of all hosts of a large fleet together.
_FLEET_RENEWALS_PER_S = 20.0
# The first term is long, as hosts that start together do not yet know the
# size of the fleet.
_FIRST_TERM_S = 10.0
# The lease is replaced if its term is wrong by more than this factor.
_MAX_TERM_RATIO = 4.0
# Time for a new entry to appear in the host's own view of the store.
_VISIBILITY_S = 10.0


def term_s(hosts: int, least_s: float) -> float:
    """Return the term of a host's lease.

    :param hosts: number of hosts in the fleet.
    :param least_s: term in a small fleet.
    """
    if hosts <= fleet_hosts.MAX_DIRECT_WATCHERS:
        return least_s
    return max(least_s, _RENEWALS_PER_TERM * hosts / _FLEET_RENEWALS_PER_S)


class Fleet(typing.Protocol):
    """State of the fleet and the store, as needed by :class:`Presence`."""

    def has_routes(self) -> bool:
        """Whether this host has a route table."""

    def lease_s(self) -> float:
        """Return the desired term of this host's lease."""

    def is_registered(self) -> bool:
        """Whether this host's entry is in its own view of the store."""

    def is_store_unavailable(self) -> bool:
        """Whether neither the store nor a relay answered the last call."""

    def count(self) -> int:
        """Return the number of hosts in the fleet."""


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
        self._failed_at = float('-inf')
        self._retry_s = _RETRY_S
        self._term_s = _FIRST_TERM_S
        self._lease = ''
        self._is_lease_lost = False
        self._renewed_at = float('-inf')
        self._written_at = float('-inf')
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='presence', daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Revoke the lease, so that other hosts stop advertising this one."""
        self._stopping.set()

    def store_restored(self) -> None:
        """Register again: the store may have lost the lease and the entry."""
        self._is_lease_lost = True

    def step(self, now: float) -> None:
        """Renew the lease if due, or obtain a lease and write the entry.

        :raises papayaloom.errors.StoreUnavailableError: the store is
            unavailable.
        """
        if not self._fleet.has_routes() or self._is_backing_off(now):
            return
        if self._is_lease_lost:
            self._is_lease_lost = False
            self._lease = ''
        if self._lease and self._is_valid(now):
            if now - self._renewed_at < self._term_s / _RENEWALS_PER_TERM:
                return
            if self._store.renew_lease(self._lease):
                self._renewed_at = now
                return
        self._register(now)

    def record_failure(self, now: float) -> None:
        """Record that the store did not answer."""
        self._failed_at = now
        self._retry_s = store_backoff.retry_s(
            self._fleet.count(), _RETRY_S, self._rng.random()
        )

    def _is_backing_off(self, now: float) -> bool:
        """Whether to wait, because the store is or just was unavailable."""
        elapsed_s = now - self._failed_at
        if elapsed_s >= self._retry_s:
            return False
        return self._fleet.is_store_unavailable() or elapsed_s < _RETRY_S

    def _is_valid(self, now: float) -> bool:
        """Whether the lease term is still suitable and the entry present."""
        wanted_s = self._fleet.lease_s()
        if (
            not wanted_s / _MAX_TERM_RATIO
            <= self._term_s
            <= wanted_s * _MAX_TERM_RATIO
        ):
            return False
        # A delayed write of an earlier process may have bound the entry to a
        # lease that has ended since.
        is_settled = now - self._written_at > _VISIBILITY_S
        return self._fleet.is_registered() or not is_settled

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
            'presence: host registered', key=self._key, term_s=self._term_s
        )

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self.step(time.monotonic())
            except errors.StoreUnavailableError as exc:
                _log.debug('presence: cannot renew the lease', reason=str(exc))
                self.record_failure(time.monotonic())
            self._stopping.wait(self._pause_s())
        self._revoke()

    def _pause_s(self) -> float:
        failed_recently = time.monotonic() - self._failed_at < self._retry_s
        if failed_recently or self._is_lease_lost or not self._lease:
            return _RETRY_S
        return min(_TICK_S, self._term_s / _RENEWALS_PER_TERM)

    def _revoke(self) -> None:
        if not self._lease:
            return
        try:
            self._store.revoke_lease(self._lease)
        except errors.StoreUnavailableError as exc:
            # The entry is removed when the lease expires.
            _log.info('presence: cannot revoke the lease', reason=str(exc))
