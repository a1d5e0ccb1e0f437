"""Follows the store's changes, itself or through other hosts."""

import random
import threading
import time
import typing
import zlib

import msgspec
import structlog
import urllib3

from papayaloom import errors
from papayaloom.ports import kv
from papayaloom.process import (
    census,
    fleet_hosts,
    relay,
    relay_plan,
    store_pace,
)

PATH = '/exchange'
# In a large fleet others wait for what this host learns, and a call that
# hangs must be given up soon.
_ALONE_WAIT_S = 1.0
_FLEET_WAIT_S = 0.5
_TIMEOUT_S = 0.5
# A host that hangs costs each try a timeout; one that is out of touch says so.
_HANGING_AVOID_S = 4.0
_REFUSING_AVOID_S = 1.0
_OK = 200


_log = structlog.get_logger('relay')


class Requests(typing.Protocol):
    """Way to the requests of this host."""

    def own_census(self) -> census.Census:
        """Return the requests of this host."""

    def share_census(self, totals: census.Census) -> None:
        """Take the requests of the whole fleet."""


class RelayWatch:
    """Source of changes for the feed; thread-safe.

    :param me: name of this host.
    """

    def __init__(
        self,
        store: kv.Kv,
        me: str,
        hosts: fleet_hosts.FleetHosts,
        requests: Requests,
        describe: typing.Callable[[str, bytes], object],
        rng: random.Random,
    ) -> None:
        """Prepare; connects when asked."""
        self._store = store
        self._me = me
        self._hosts = hosts
        self._requests = requests
        self._relay = relay.Relay(describe)
        self._rng = rng
        # The store is not asked before this time.
        self._store_from = float('-inf')
        self._lock = threading.Lock()
        self._avoided: dict[str, float] = {}
        self._followed: fleet_hosts.Host | None = None
        self._pool = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(_TIMEOUT_S)
        )

    def watch(self, after: int) -> kv.Watched:
        """Return the changes after a revision.

        :raises papayaloom.errors.StoreUnavailableError: neither another host
            nor the store answers.
        """
        plan = relay_plan.plan(self._me, self._hosts.all(), self._avoid())
        is_root = plan.role is relay_plan.Role.ROOT
        with self._lock:
            self._relay.lead(is_root=is_root)
            self._relay.take_listed({one.name for one in self._hosts.all()})
        for host in plan.sources:
            watched = self._follow(host, after)
            if watched is not None:
                self._leave_unless(host, after)
                return watched
        self._leave_unless(None, after)
        if plan.sources and time.monotonic() < self._store_from:
            raise errors.StoreUnavailableError(
                'neither other hosts nor the store answered a moment ago'
            )
        is_alone = plan.role is relay_plan.Role.ALONE
        watched = self._watch_store(
            after, _ALONE_WAIT_S if is_alone else _FLEET_WAIT_S
        )
        if is_root:
            self._add_up(watched.revision, plan.peers)
        return watched

    def answer(self, content: bytes) -> bytes:
        """Answer another host; empty when this one can't help.

        :raises papayaloom.errors.CodecError: the report can't be read.
        """
        try:
            report = msgspec.msgpack.decode(content, type=relay.Report)
        except msgspec.MsgspecError as exc:
            raise errors.CodecError(f'report: {exc}') from exc
        own = self._requests.own_census()
        with self._lock:
            digest = self._relay.answer(report, own, time.monotonic())
        return b'' if digest is None else msgspec.msgpack.encode(digest)

    def _avoid(self) -> set[str]:
        now = time.monotonic()
        return {name for name, until in self._avoided.items() if until > now}

    def _watch_store(self, after: int, wait_s: float) -> kv.Watched:
        try:
            watched = self._store.watch('', after, wait_s)
        except errors.StoreUnavailableError:
            with self._lock:
                self._relay.fail()
            self._store_from = time.monotonic() + store_pace.retry_s(
                self._hosts.count(), 0, self._rng.random()
            )
            raise
        with self._lock:
            self._relay.publish(after, watched, time.monotonic())
        return watched

    def _follow(self, host: fleet_hosts.Host, after: int) -> kv.Watched | None:
        """Return what another host knows, and pass it on."""
        asked_at = time.monotonic()
        own = self._requests.own_census()
        with self._lock:
            report = relay.Report(
                self._me,
                after,
                self._relay.subtotal(own, asked_at),
                heard=self._relay.heard(asked_at),
            )
        digest = self._exchange(host, report)
        if digest is None:
            return None
        try:
            events = tuple(relay.unpack(one) for one in digest.events)
        except zlib.error as exc:
            self._avoid_for(host, _HANGING_AVOID_S, str(exc))
            return None
        watched = kv.Watched(events, digest.revision, digest.is_lost)
        with self._lock:
            self._relay.publish(after, watched, asked_at - digest.age_s)
            self._relay.take_fleet(digest, asked_at)
        self._hosts.take_silent(digest.silent, asked_at)
        if digest.totals is not None:
            self._requests.share_census(digest.totals)
        return watched

    def _leave_unless(self, host: fleet_hosts.Host | None, after: int) -> None:
        """Tell the host that was asked before not to count this one again."""
        before = self._followed
        self._followed = host
        if before is None or (host and host.name == before.name):
            return
        if before.name not in self._avoid():
            self._exchange(
                before, relay.Report(self._me, after, census.Census())
            )

    def _add_up(
        self, revision: int, peers: typing.Sequence[fleet_hosts.Host]
    ) -> None:
        """Tell the other roots this host's sums, and use those of the fleet."""
        own = self._requests.own_census()
        now = time.monotonic()
        with self._lock:
            report = relay.Report(
                self._me,
                revision,
                self._relay.subtotal(own, now),
                is_root=True,
                heard=self._relay.heard(now),
                silent=self._relay.own_silent(now),
            )
        for host in peers:
            self._exchange(host, report)
        now = time.monotonic()
        with self._lock:
            totals = self._relay.totals(own, now)
            silent = self._relay.silent(now)
        self._hosts.take_silent(silent, now)
        if totals is not None:
            self._requests.share_census(totals)

    def _exchange(
        self, host: fleet_hosts.Host, report: relay.Report
    ) -> relay.Digest | None:
        avoid_s = _HANGING_AVOID_S
        try:
            reply = self._pool.request(
                'POST',
                f'http://{host.control}{PATH}',
                body=msgspec.msgpack.encode(report),
                redirect=False,
            )
            if reply.status == _OK:
                return msgspec.msgpack.decode(reply.data, type=relay.Digest)
            reason = f'status {reply.status}'
            avoid_s = _REFUSING_AVOID_S
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as exc:
            reason = str(exc)
        self._avoid_for(host, avoid_s, reason)
        return None

    def _avoid_for(
        self, host: fleet_hosts.Host, seconds: float, reason: str
    ) -> None:
        self._avoided[host.name] = time.monotonic() + seconds
        _log.info('relay: no answer', host=host.name, reason=reason)
