"""What the platform's store says, as one host knows it.

Route table, replicas and hosts come from the store through the feed, or from
another host's snapshot while the store is away.
"""

import functools
import threading
import time
import typing

import msgspec
import structlog

from papayaloom import errors
from papayaloom.ports import kv
from papayaloom.process import (
    dispatch,
    dispatch_actor,
    feed,
    fleet_hosts,
    poison,
    replicas,
)
from papayaloom.request import onward
from papayaloom.version import routes

_log = structlog.get_logger('view')
_Taker = typing.Callable[[list[kv.Entry]], None]


class Keys(msgspec.Struct, frozen=True):
    """Keys in the platform's store.

    :param routes: key of the route table.
    :param replicas: prefix of the replicas.
    :param hosts: prefix of this fleet's own hosts.
    :param poison: prefix of this fleet's reports of poison requests.
    """

    routes: str
    replicas: str
    hosts: str
    poison: str


class Outside(msgspec.Struct, frozen=True):
    """What the platform speaks, translated.

    :param tables: reads a route table; raises CodecError.
    :param replica: reads a replica's entry by key and content; None for one
        that names no replica to use.
    :param directory_answer: answers a question for addresses, by its target,
        the addresses and the seconds for which callers keep them; None if the
        target is no such question.
    :param is_readiness: whether a target asks if this host is ready.
    """

    dialect: onward.Dialect
    keys: Keys
    tables: typing.Callable[[bytes], routes.Tables]
    replica: typing.Callable[[str, bytes], replicas.Replica | None]
    directory_answer: typing.Callable[[str, list[str], float], bytes | None]
    is_readiness: typing.Callable[[str], bool]


class StoreView:
    """Route table, replicas and hosts.

    :param drop: closes the idle connections to a replica.
    :param limit: takes the limits on callers of a new table.
    """

    def __init__(
        self,
        me: fleet_hosts.Host,
        outside: Outside,
        desk: dispatch_actor.Desk,
        drop: typing.Callable[[str], object],
        limit: typing.Callable[[routes.CallerLimits], object],
    ) -> None:
        """Start without knowledge."""
        self.table: routes.RouteTable | None = None
        self.hosts = fleet_hosts.FleetHosts(me)
        self._outside = outside
        self._desk = desk
        self._drop = drop
        self._limit = limit
        self._lock = threading.Lock()
        # Held while a listing or a snapshot is taken.
        self._taking = threading.Lock()
        self._is_listed = False
        self._heard_at = float('-inf')
        # Newest content of each key, for hosts that ask.
        self._entries: dict[str, bytes] = {}

    @property
    def version(self) -> int:
        """Version of the route table, 0 without one."""
        return self.table.version if self.table else 0

    def sources(self) -> tuple[feed.Source, ...]:
        """Return what the feed follows."""
        return tuple(
            feed.Source(
                prefix,
                functools.partial(self._listed, take),
                self._changed,
                self._removed,
            )
            for prefix, take in self._takers().items()
        )

    def describe(self, key: str, content: bytes) -> object:
        """Return what an entry says, without the counters of heartbeats."""
        if key.startswith(self._outside.keys.replicas):
            return self._outside.replica(key, content)
        return content

    def age_s(self, now: float) -> float:
        """Return the time since the store was heard, directly or not."""
        return now - self._heard_at

    def store_answered(self) -> None:
        """Note an answer of the store."""
        self._heard_at = time.monotonic()
        self.hosts.lapses.store_answered(time.monotonic())
        self._desk.tell(
            lambda decisions, now: decisions.replicas.lapses.store_answered(now)
        )

    def store_failed(self) -> None:
        """Note that the store does not answer."""
        self.hosts.lapses.store_failed()
        self._desk.tell(
            lambda decisions, _: decisions.replicas.lapses.store_failed()
        )

    def tick(self) -> None:
        """Drop entries that did not come back after an outage."""
        self.hosts.tick(time.monotonic())
        hosts = self.hosts.count()

        def step(decisions: dispatch.Dispatch, now: float) -> None:
            decisions.resize(hosts)
            gone = decisions.replicas.tick(now)
            decisions.forget(gone)
            decisions.poison.tick(now)
            self._close(gone)

        self._desk.tell(step)

    def snapshot(self) -> bytes:
        """Return what is known, for another host; empty without a table."""
        if self.table is None:
            return b''
        with self._lock:
            return msgspec.msgpack.encode(self._entries)

    def restore(self, content: bytes) -> bool:
        """Take another host's snapshot, unless the store was listed since.

        :returns: whether it was taken.
        :raises papayaloom.errors.CodecError: it can't be read.
        """
        try:
            entries = msgspec.msgpack.decode(content, type=dict[str, bytes])
        except msgspec.MsgspecError as exc:
            raise errors.CodecError(f'snapshot: {exc}') from exc
        with self._taking:
            if self._is_listed:
                return False
            for prefix, take in self._takers().items():
                take(
                    [
                        kv.Entry(key, value, 0)
                        for key, value in entries.items()
                        if key.startswith(prefix)
                    ]
                )
        return True

    def _takers(self) -> dict[str, _Taker]:
        """Return what takes the listing of each prefix."""
        keys = self._outside.keys
        return {
            keys.routes: self._routes_listed,
            keys.replicas: self._replicas_listed,
            keys.hosts: self._hosts_listed,
            keys.poison: self._poison_listed,
        }

    def _listed(self, take: _Taker, entries: list[kv.Entry]) -> None:
        with self._taking:
            self._is_listed = True
            take(entries)

    def _changed(self, key: str, content: bytes) -> None:
        keys = self._outside.keys
        with self._lock:
            self._entries[key] = content
        if key == keys.routes:
            self._take_routes(content)
        elif key.startswith(keys.replicas):
            self._replica_changed(key, content)
        elif key.startswith(keys.hosts):
            host = _host(content)
            if host is not None:
                self.hosts.update(host)
        elif key.startswith(keys.poison):
            self._take_poison(key, content)

    def _removed(self, key: str) -> None:
        keys = self._outside.keys
        with self._lock:
            self._entries.pop(key, None)
        if key.startswith(keys.replicas):
            self._replica_removed(key)
        elif key.startswith(keys.hosts):
            name = key.removeprefix(keys.hosts)
            _log.info('view: host gone', host=name)
            self.hosts.remove(name, time.monotonic())

    def _keep(self, prefix: str, entries: list[kv.Entry]) -> None:
        with self._lock:
            others = {
                key: content
                for key, content in self._entries.items()
                if not key.startswith(prefix)
            }
            listed = {one.key: one.value for one in entries}
            self._entries = {**others, **listed}

    def _routes_listed(self, entries: list[kv.Entry]) -> None:
        key = self._outside.keys.routes
        self._keep(key, entries)
        for entry in entries:
            if entry.key == key:
                self._take_routes(entry.value)

    def _take_routes(self, content: bytes) -> None:
        try:
            tables = self._outside.tables(content)
        except errors.CodecError as exc:
            _log.error('view: unreadable route table', reason=str(exc))
            return
        before = self.version
        if tables.version <= before:
            return
        self._limit(tables.limits)
        self.table = routes.RouteTable(tables)
        _log.info(
            'view: route table in force',
            version=tables.version,
            before=before,
            routes=len(tables.routes),
        )

    def _replicas_listed(self, entries: list[kv.Entry]) -> None:
        self._keep(self._outside.keys.replicas, entries)
        listed = [
            replica
            for entry in entries
            if (replica := self._outside.replica(entry.key, entry.value))
        ]

        def step(
            decisions: dispatch.Dispatch, now: float
        ) -> list[replicas.ReplicaId]:
            gone = decisions.replicas.replace(listed, now)
            decisions.forget(gone)
            return gone

        self._close(self._desk.ask(step))

    def _replica_changed(self, key: str, content: bytes) -> None:
        replica = self._outside.replica(key, content)
        if replica is None:
            # Written by somebody else; the entry before it still holds.
            _log.info('view: unreadable replica entry', key=key)
            return

        def step(decisions: dispatch.Dispatch, now: float) -> bool:
            before = decisions.replicas.find(replica.id)
            is_other = decisions.replicas.update(replica, now)
            _log_change(before, decisions.replicas.find(replica.id))
            if is_other:
                decisions.forget([replica.id])
            return is_other

        if self._desk.ask(step):
            self._close([replica.id])

    def _replica_removed(self, key: str) -> None:
        replica = replicas.ReplicaId(
            key.removeprefix(self._outside.keys.replicas)
        )

        def step(decisions: dispatch.Dispatch, now: float) -> bool:
            is_gone = decisions.replicas.remove(replica, now)
            if is_gone:
                decisions.forget([replica])
            return is_gone

        if self._desk.ask(step):
            _log.info('view: replica gone', replica=replica)
            self._close([replica])

    def _hosts_listed(self, entries: list[kv.Entry]) -> None:
        self._keep(self._outside.keys.hosts, entries)
        decoded = [_host(entry.value) for entry in entries]
        listed = [host for host in decoded if host]
        self.hosts.replace(listed, time.monotonic())

    def _poison_listed(self, entries: list[kv.Entry]) -> None:
        self._keep(self._outside.keys.poison, entries)
        for entry in sorted(entries, key=lambda one: one.revision):
            self._take_poison(entry.key, entry.value)

    def _take_poison(self, key: str, content: bytes) -> None:
        try:
            report = poison.decode(content)
        except errors.CodecError as exc:
            _log.error('view: unreadable report', key=key, reason=str(exc))
            return
        self._desk.heard_poison(report)

    def _close(self, gone: typing.Iterable[str]) -> None:
        for replica in gone:
            self._drop(replica)


def _log_change(
    before: replicas.Replica | None, replica: replicas.Replica | None
) -> None:
    if replica is None:
        return
    if before is None or before.state is not replica.state:
        _log.info(
            'view: replica listed',
            replica=replica.id,
            service=replica.service,
            state=replica.state.value,
            born=replica.born,
        )


def _host(content: bytes) -> fleet_hosts.Host | None:
    try:
        return msgspec.json.decode(content, type=fleet_hosts.Host)
    except msgspec.MsgspecError as exc:
        _log.error('view: unreadable host entry', reason=str(exc))
        return None
