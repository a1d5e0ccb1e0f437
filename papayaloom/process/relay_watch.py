"""Watches the store, itself or through a relay host."""

import threading
import time
import typing

import msgspec
import structlog
import urllib3

from papayaloom import errors, hashing
from papayaloom.ports import kv
from papayaloom.process import fleet_hosts, relay

PATH = '/exchange'
WATCH_WAIT_S = 1.0
_log = structlog.get_logger('relay')
_TIMEOUT_S = 0.5
_AVOID_S = 4.0
_OK = 200


class Loads(typing.Protocol):
    """Way to the loads of this host."""

    def own_loads(self) -> dict[str, int]:
        """Return the running requests of this host, by replica."""

    def share_loads(self, totals: dict[str, int]) -> None:
        """Take the running requests of the whole fleet."""


class RelayWatch:
    """Source of changes for the feed; thread-safe.

    :param me: name of this host.
    """

    def __init__(
        self,
        store: kv.Kv,
        me: str,
        hosts: fleet_hosts.FleetHosts,
        loads: Loads,
        describe: typing.Callable[[str, bytes], object],
    ) -> None:
        """Prepare; connects when asked."""
        self._store = store
        self._me = me
        self._hosts = hosts
        self._loads = loads
        self._relay = relay.Relay(describe)
        self._lock = threading.Lock()
        self._avoided: dict[str, float] = {}
        self._pool = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(_TIMEOUT_S)
        )

    def watch(self, after: int) -> kv.Watched:
        """Return the changes after a revision.

        :raises papayaloom.errors.StoreUnavailableError: neither a relay nor
            the store answers.
        """
        relays = self._relays()
        if self._me in {host.name for host in relays} or not relays:
            return self._watch_store(after, relays)
        for host in relays:
            digest = self._exchange(host, after, self._loads.own_loads())
            if digest is not None:
                self._loads.share_loads(digest.totals)
                return kv.Watched(
                    digest.events, digest.revision, digest.is_lost
                )
        return self._watch_store(after, ())

    def answer(self, content: bytes) -> bytes:
        """Answer another host; empty when this one can't help.

        :raises papayaloom.errors.CodecError: the report can't be read.
        """
        try:
            report = msgspec.msgpack.decode(content, type=relay.Report)
        except msgspec.MsgspecError as exc:
            raise errors.CodecError(f'report: {exc}') from exc
        own = self._loads.own_loads()
        with self._lock:
            digest = self._relay.answer(report, own, time.monotonic())
        return b'' if digest is None else msgspec.msgpack.encode(digest)

    def _watch_store(
        self, after: int, relays: typing.Sequence[fleet_hosts.Host]
    ) -> kv.Watched:
        try:
            watched = self._store.watch('', after, WATCH_WAIT_S)
        except errors.StoreUnavailableError:
            with self._lock:
                self._relay.fail()
            raise
        with self._lock:
            self._relay.publish(after, watched, time.monotonic())
        self._tell_relays(watched.revision, relays)
        return watched

    def _tell_relays(
        self, revision: int, relays: typing.Sequence[fleet_hosts.Host]
    ) -> None:
        if not relays:
            return
        own = self._loads.own_loads()
        with self._lock:
            subtotal = self._relay.subtotal(own, time.monotonic())
        for host in relays:
            if host.name != self._me:
                self._exchange(host, revision, subtotal, is_relay=True)
        with self._lock:
            totals = self._relay.totals(own, time.monotonic())
        self._loads.share_loads(totals)

    def _relays(self) -> list[fleet_hosts.Host]:
        """Return the relays in the order in which this host asks them."""
        hosts = self._hosts.all()
        if len(hosts) <= relay.MOST_WATCHING:
            return []
        by_name = {host.name: host for host in hosts if host.control}
        names = hashing.rank('relay', by_name, relay.RELAYS)
        if self._me in names:
            return [by_name[name] for name in names]
        now = time.monotonic()
        usable = [one for one in names if self._avoided.get(one, 0) <= now]
        order = hashing.rank(self._me, usable, len(usable))
        return [by_name[name] for name in order]

    def _exchange(
        self,
        host: fleet_hosts.Host,
        after: int,
        loads: dict[str, int],
        *,
        is_relay: bool = False,
    ) -> relay.Digest | None:
        report = relay.Report(self._me, after, loads, is_relay)
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
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as exc:
            reason = str(exc)
        self._avoided[host.name] = time.monotonic() + _AVOID_S
        _log.info('relay: no answer', host=host.name, reason=reason)
        return None
