"""Watches for changes of the store, directly or through relay hosts."""

import random
import threading
import time
import typing

import msgspec
import structlog
import urllib3

from papayaloom import decoding, errors
from papayaloom.connection import client_connection
from papayaloom.ports import kv
from papayaloom.process import fleet_hosts, relay, relay_plan, store_backoff
from papayaloom.routing.limits import rate_limits
from papayaloom.routing.load import request_counts

PATH = '/exchange'
# In a large fleet other hosts wait for the changes that this host receives, so
# a hanging call must time out early.
_DIRECT_WAIT_S = 1.0
_RELAY_WAIT_S = 0.5
# Wait of the watch after one that was cut: it only checks the store.
_CHECK_WAIT_S = 0.001
_TIMEOUT_S = 0.5
# Each attempt at a hanging host costs a timeout, so it is avoided for longer
# than a host that answers that it cannot help.
_UNRESPONSIVE_AVOID_S = 4.0
_REFUSING_AVOID_S = 1.0
_OK = 200


_log = structlog.get_logger('relay')


class RequestCounter(typing.Protocol):
    """Access to the request counts of this host."""

    def own_request_counts(self) -> request_counts.RequestCounts:
        """Return the request counts of this host."""

    def update_fleet_counts(self, totals: request_counts.RequestCounts) -> None:
        """Set the request counts of the whole fleet."""

    def rate_limit_reports(self) -> rate_limits.LimitReports:
        """Return the rate limits of replicas that this host knows of."""

    def apply_rate_limit_reports(
        self, reports: rate_limits.LimitReports, received_at: float
    ) -> None:
        """Apply the rate limits that another host knows of."""


class RelayWatch:
    """Source of store changes for the feed; thread-safe.

    :param me: name of this host.
    :param asks_peers: whether a host that watches the store itself asks others
        while the store does not answer it.
    """

    def __init__(
        self,
        store: kv.Kv,
        me: str,
        hosts: fleet_hosts.FleetHosts,
        requests: RequestCounter,
        describe: typing.Callable[[str, bytes], object],
        rng: random.Random,
        *,
        asks_peers: bool = False,
    ) -> None:
        """Prepare the client; no connection is opened yet."""
        self._store = store
        self._me = me
        self._hosts = hosts
        self._requests = requests
        self._relay = relay.Relay(describe)
        self._rng = rng
        self._asks_peers = asks_peers
        # Earliest time of the next call to the store.
        self._store_retry_at = float('-inf')
        # Whether the last watch of the store was cut while it waited.
        self._is_cut = False
        self._lock = threading.Lock()
        self._avoided_until: dict[str, float] = {}
        self._polled: fleet_hosts.Host | None = None
        self._pool = client_connection.pool_manager(
            timeout=urllib3.Timeout(_TIMEOUT_S)
        )

    def watch(self, position: kv.Position) -> kv.WatchResult:
        """Return the changes after a position.

        :raises papayaloom.errors.StoreUnavailableError: neither a relay host
            nor the store answered.
        :raises papayaloom.errors.WatchCutError: the store cut the watch, which
            is to be repeated at once.
        """
        plan = relay_plan.plan(
            self._me, self._hosts.all(), self._avoided_hosts()
        )
        is_root = plan.role is relay_plan.Role.ROOT
        with self._lock:
            self._relay.assign_role(is_root=is_root)
            self._relay.update_registered(
                {one.name for one in self._hosts.all()}
            )
        for host in plan.sources:
            watched = self._poll(host, position)
            if watched is not None:
                self._withdraw_unless(host, position)
                return watched
        self._withdraw_unless(None, position)
        if plan.sources and time.monotonic() < self._store_retry_at:
            raise errors.StoreUnavailableError(
                'no relay host answered, and the store is in retry backoff'
            )
        watched = self._watch_directly(plan, position)
        if is_root:
            reached = kv.Position(watched.revision, watched.epoch)
            self._exchange_totals(reached, plan.peers)
        return watched

    def answer(self, content: bytes) -> bytes:
        """Answer the report of another host; empty if the state is stale.

        :raises papayaloom.errors.CodecError: the report cannot be decoded.
        """
        try:
            report = decoding.decode_msgpack(content, relay.Report)
        except msgspec.MsgspecError as exc:
            raise errors.CodecError(f'invalid report: {exc}') from exc
        self._requests.apply_rate_limit_reports(report.limits, time.monotonic())
        own = self._requests.own_request_counts()
        with self._lock:
            answered = self._relay.answer(report, own, time.monotonic())
        if answered is None:
            return b''
        return msgspec.msgpack.encode(
            msgspec.structs.replace(
                answered, limits=self._requests.rate_limit_reports()
            )
        )

    def _avoided_hosts(self) -> set[str]:
        now = time.monotonic()
        return {
            name for name, until in self._avoided_until.items() if until > now
        }

    def _watch_directly(
        self, plan: relay_plan.Plan, position: kv.Position
    ) -> kv.WatchResult:
        """Watch the store, or ask another host while it does not answer."""
        is_in_backoff = time.monotonic() < self._store_retry_at
        answered = self._ask_peer(plan, position) if is_in_backoff else None
        if answered is not None:
            return answered
        is_direct = plan.role is relay_plan.Role.ALONE
        try:
            return self._watch_store(
                position, _DIRECT_WAIT_S if is_direct else _RELAY_WAIT_S
            )
        except errors.StoreUnavailableError:
            answered = self._ask_peer(plan, position)
            if answered is None:
                raise
            return answered

    def _watch_store(
        self, position: kv.Position, wait_s: float
    ) -> kv.WatchResult:
        try:
            watched = self._store.watch(
                '', position.revision, _CHECK_WAIT_S if self._is_cut else wait_s
            )
        except errors.StoreDisconnectedError as exc:
            if not self._is_cut:
                self._is_cut = True
                raise errors.WatchCutError(str(exc)) from exc
            self._record_store_failure()
            raise
        except errors.StoreUnavailableError:
            self._record_store_failure()
            raise
        self._is_cut = False
        if not position.is_comparable(watched.epoch):
            watched = kv.WatchResult(
                (), position.revision, lost=True, epoch=watched.epoch
            )
        with self._lock:
            self._relay.publish(position, watched, time.monotonic())
        return watched

    def _record_store_failure(self) -> None:
        with self._lock:
            self._relay.record_store_failure()
        self._store_retry_at = time.monotonic() + store_backoff.retry_s(
            self._hosts.count(), 0, self._rng.random()
        )

    def _ask_peer(
        self, plan: relay_plan.Plan, position: kv.Position
    ) -> kv.WatchResult | None:
        """Poll another host instead of the store; None without an answer."""
        if plan.sources or not self._asks_peers:
            return None
        avoided = {self._me, *self._avoided_hosts()}
        peers = plan.peers or [
            one
            for one in self._hosts.all()
            if one.control and one.name not in avoided
        ]
        if not peers:
            return None
        is_root = plan.role is relay_plan.Role.ROOT
        return self._poll(self._rng.choice(peers), position, is_root=is_root)

    def _poll(
        self,
        host: fleet_hosts.Host,
        position: kv.Position,
        *,
        is_root: bool = False,
    ) -> kv.WatchResult | None:
        """Poll a relay host, and keep its changes for followers of this one."""
        asked_at = time.monotonic()
        own = self._requests.own_request_counts()
        limits = self._requests.rate_limit_reports()
        with self._lock:
            report = relay.Report(
                self._me,
                position.revision,
                self._relay.subtotal(own, asked_at),
                is_root,
                heard=self._relay.reporting_hosts(asked_at),
                limits=limits,
                epoch=position.epoch,
            )
        answered = self._exchange(host, report)
        if answered is None:
            return None
        try:
            events = tuple(relay.unpack(one) for one in answered.events)
        except errors.CodecError as exc:
            self._avoid_host(host, _UNRESPONSIVE_AVOID_S, str(exc))
            return None
        watched = kv.WatchResult(
            events, answered.revision, answered.is_lost, answered.epoch
        )
        with self._lock:
            self._relay.publish(position, watched, asked_at - answered.age_s)
            self._relay.update_fleet_totals(answered, asked_at)
        self._hosts.mark_silent(answered.silent, asked_at)
        if answered.totals is not None:
            self._requests.update_fleet_counts(answered.totals)
        return watched

    def _withdraw_unless(
        self, host: fleet_hosts.Host | None, position: kv.Position
    ) -> None:
        """Withdraw this host's request counts from the relay polled before."""
        before = self._polled
        self._polled = host
        if before is None or (host and host.name == before.name):
            return
        if before.name not in self._avoided_hosts():
            self._exchange(
                before,
                relay.Report(
                    self._me,
                    position.revision,
                    request_counts.RequestCounts(),
                    epoch=position.epoch,
                ),
            )

    def _exchange_totals(
        self, position: kv.Position, peers: typing.Sequence[fleet_hosts.Host]
    ) -> None:
        """Exchange request counts with the other roots and apply the totals."""
        own = self._requests.own_request_counts()
        limits = self._requests.rate_limit_reports()
        now = time.monotonic()
        with self._lock:
            report = relay.Report(
                self._me,
                position.revision,
                self._relay.subtotal(own, now),
                is_root=True,
                heard=self._relay.reporting_hosts(now),
                silent=self._relay.silent_followers(now),
                limits=limits,
                epoch=position.epoch,
            )
        for host in peers:
            self._exchange(host, report)
        now = time.monotonic()
        with self._lock:
            totals = self._relay.totals(own, now)
            silent = self._relay.silent_in_fleet(now)
        self._hosts.mark_silent(silent, now)
        if totals is not None:
            self._requests.update_fleet_counts(totals)

    def _exchange(
        self, host: fleet_hosts.Host, report: relay.Report
    ) -> relay.Reply | None:
        avoid_s = _UNRESPONSIVE_AVOID_S
        asked_at = time.monotonic()
        try:
            reply = self._pool.request(
                'POST',
                f'http://{host.control}{PATH}',
                body=msgspec.msgpack.encode(report),
                redirect=False,
            )
            if reply.status == _OK:
                answered = decoding.decode_msgpack(reply.data, relay.Reply)
                self._requests.apply_rate_limit_reports(
                    answered.limits, asked_at
                )
                return answered
            reason = f'status {reply.status}'
            avoid_s = _REFUSING_AVOID_S
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as exc:
            reason = str(exc)
        self._avoid_host(host, avoid_s, reason)
        return None

    def _avoid_host(
        self, host: fleet_hosts.Host, seconds: float, reason: str
    ) -> None:
        self._avoided_until[host.name] = time.monotonic() + seconds
        _log.info(
            'relay: request to another host failed',
            host=host.name,
            reason=reason,
        )
