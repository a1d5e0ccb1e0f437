"""A host's local copy of the entries in the platform's store.

The route table, replicas, hosts and poison reports arrive through the change
feed, or from another host's snapshot while the store is unavailable.
"""

import functools
import threading
import time
import typing

import msgspec
import structlog

from papayaloom import decoding, errors
from papayaloom.ports import kv
from papayaloom.process import (
    cold_updates,
    dispatch_actor,
    evacuation_entries,
    feed,
    fleet_hosts,
    stored_entries,
)
from papayaloom.routing import dispatch, replicas
from papayaloom.routing.health import lapses
from papayaloom.routing.poison import poison_evidence
from papayaloom.request import header_dialect
from papayaloom.version import routes

_log = structlog.get_logger('view')
_ApplyListing = typing.Callable[[list[kv.Entry]], None]


class Keys(msgspec.Struct, frozen=True):
    """Keys and key prefixes in the platform's store.

    :param routes: key of the route table.
    :param replicas: key prefix of the replicas.
    :param hosts: key prefix of the hosts of this fleet.
    :param poison: key prefix of this fleet's reports of poison requests.
    :param evacuations: key prefix of the evacuated zones.
    """

    routes: str
    replicas: str
    hosts: str
    poison: str
    evacuations: str


class PlatformAdapter(msgspec.Struct, frozen=True):
    """Adapter for the formats and protocols of the platform.

    :param tables: decodes a route table; raises CodecError.
    :param replica: decodes a replica entry from its key and content; returns
        None if the entry does not describe a usable replica.
    :param directory_answer: builds the response to a directory request from
        the request target, the host addresses and the TTL in seconds; returns
        None if the target is not a directory request.
    :param is_readiness: whether a request target is the readiness check.
    """

    dialect: header_dialect.HeaderDialect
    keys: Keys
    tables: typing.Callable[[bytes], routes.Tables]
    replica: typing.Callable[[str, bytes], replicas.Replica | None]
    directory_answer: typing.Callable[[str, list[str], float], bytes | None]
    is_readiness: typing.Callable[[str], bool]


class StoreView:
    """Applies store entries to the route table, replicas and hosts.

    :param drop_idle: closes the idle connections to a replica.
    :param apply_limits: applies the caller limits of a new route table.
    """

    def __init__(
        self,
        me: fleet_hosts.Host,
        platform: PlatformAdapter,
        dispatch_client: dispatch_actor.DispatchClient,
        drop_idle: typing.Callable[[str], object],
        apply_limits: typing.Callable[[routes.CallerLimits], object],
    ) -> None:
        """Start without a route table and without entries."""
        self.table: routes.RouteTable | None = None
        self.hosts = fleet_hosts.FleetHosts(me)
        self._me = me.name
        self._platform = platform
        self._dispatch_client = dispatch_client
        self._drop_idle = drop_idle
        self._apply_limits = apply_limits
        # Held while a listing or a snapshot is applied.
        self._apply_lock = threading.Lock()
        self._is_listed = False
        self._is_next_listing_older = False
        self._answered_at = float('-inf')
        self._entries = stored_entries.StoredEntries()
        self.evacuations = evacuation_entries.EvacuationEntries(
            platform.keys.evacuations, dispatch_client, self._entries
        )

    @property
    def version(self) -> int:
        """Version of the route table, or 0 if there is none."""
        return self.table.version if self.table else 0

    def sources(self) -> tuple[feed.Source, ...]:
        """Return the key prefixes to follow, with their handlers."""
        return tuple(
            feed.Source(
                prefix,
                functools.partial(self._apply_listing, apply_entries),
                self._apply_change,
                self._apply_removal,
            )
            for prefix, apply_entries in self._listing_handlers().items()
        )

    def describe(self, key: str, content: bytes) -> object:
        """Return an entry's content without its heartbeat counters.

        None means that every change counts: an evacuation that is written again
        after a removal which the relay missed has the content that it had.
        """
        if key.startswith(self._platform.keys.replicas):
            return self._platform.replica(key, content)
        if key.startswith(self._platform.keys.evacuations):
            return None
        return content

    def age_s(self, now: float) -> float:
        """Return the time since an answer of the store, direct or relayed."""
        return now - self._answered_at

    def store_answered(self) -> None:
        """Record that the store answered."""
        self._answered_at = time.monotonic()
        self.hosts.lapses.store_answered(time.monotonic())
        self._dispatch_client.tell(
            lambda dispatcher, now: dispatcher.replicas.lapses.store_answered(
                now
            )
        )

    def store_failed(self, since: float = lapses.UNKNOWN_START) -> None:
        """Record that the store did not answer.

        :param since: monotonic time since which it may have been unavailable.
        """
        self.hosts.lapses.store_failed(since)
        self._dispatch_client.tell(
            lambda dispatcher, _: dispatcher.replicas.lapses.store_failed(since)
        )

    def store_restored(self) -> None:
        """Record that the store returned from an older copy of itself.

        What it lacks now may be written again, as after an outage, and what it
        has may have been removed.
        """
        self._is_next_listing_older = True
        self.store_failed()

    def tick(self) -> None:
        """Remove entries that were not restored after a store outage."""
        now = time.monotonic()
        self.hosts.tick(now)
        cold_updates.update_fleet(
            self._dispatch_client, self._me, self.hosts, self.age_s(now)
        )
        hosts = self.hosts.count()

        def step(dispatcher: dispatch.Dispatcher, now: float) -> None:
            dispatcher.set_fleet_size(hosts)
            removed = dispatcher.replicas.tick(now)
            dispatcher.forget(removed)
            dispatcher.poison.tick(now)
            self.evacuations.log_unknown(dispatcher)
            self._close_idle(removed)
            self._close_idle(
                dispatcher.evacuations.evacuated_replicas(
                    dispatcher.replicas.dump()
                )
            )

        self._dispatch_client.tell(step)

    def snapshot(self) -> bytes:
        """Return all entries, encoded; empty without a route table."""
        if self.table is None:
            return b''
        return self._entries.encode()

    def restore(self, content: bytes) -> bool:
        """Apply another host's snapshot, unless the store has been listed.

        :returns: whether the snapshot was applied.
        :raises papayaloom.errors.CodecError: the snapshot cannot be decoded.
        """
        entries = stored_entries.decode(content)
        with self._apply_lock:
            if self._is_listed:
                return False
            for prefix, apply_entries in self._listing_handlers().items():
                apply_entries(
                    [
                        kv.Entry(key, value, 0)
                        for key, value in entries.items()
                        if key.startswith(prefix)
                    ]
                )
        return True

    def _listing_handlers(self) -> dict[str, _ApplyListing]:
        """Return the function that applies the listing of each prefix."""
        keys = self._platform.keys
        return {
            keys.routes: self._apply_routes_listing,
            # Before the replicas, so that none is used in an evacuated zone.
            keys.evacuations: lambda entries: self.evacuations.replace(
                entries,
                is_older=self._is_next_listing_older,
                is_snapshot=not self._is_listed,
            ),
            keys.replicas: self._apply_replicas_listing,
            keys.hosts: self._apply_hosts_listing,
            keys.poison: self._apply_poison_listing,
        }

    def _apply_listing(
        self, apply_entries: _ApplyListing, entries: list[kv.Entry]
    ) -> None:
        with self._apply_lock:
            self._is_listed = True
            apply_entries(entries)

    def _apply_change(self, key: str, content: bytes) -> None:
        keys = self._platform.keys
        if key == keys.routes:
            self._apply_routes(content)
            return
        self._entries.put(key, content)
        if key.startswith(keys.replicas):
            self._apply_replica_change(key, content)
        elif key.startswith(keys.hosts):
            host = _decode_host(content)
            if host is not None:
                self.hosts.update(host)
        elif key.startswith(keys.poison):
            self._apply_poison(key, content)
        elif key.startswith(keys.evacuations):
            self.evacuations.update(key, content)

    def _apply_removal(self, key: str) -> None:
        keys = self._platform.keys
        self._entries.remove(key)
        if key.startswith(keys.replicas):
            self._apply_replica_removal(key)
        elif key.startswith(keys.hosts):
            name = key.removeprefix(keys.hosts)
            _log.info('view: host removed', host=name)
            self.hosts.remove(name, time.monotonic())
        elif key.startswith(keys.evacuations):
            self.evacuations.remove(key)

    def _apply_routes_listing(self, entries: list[kv.Entry]) -> None:
        key = self._platform.keys.routes
        for entry in entries:
            if entry.key == key:
                self._apply_routes(entry.value)

    def _apply_routes(self, content: bytes) -> None:
        try:
            tables = self._platform.tables(content)
        except errors.CodecError as exc:
            _log.error('view: cannot decode the route table', reason=str(exc))
            return
        before = self.version
        if tables.version <= before:
            return
        self._entries.put(self._platform.keys.routes, content)
        self._apply_limits(tables.limits)
        self.table = routes.RouteTable(tables)
        cold_updates.configure(self._dispatch_client, tables)
        _log.info(
            'view: route table applied',
            version=tables.version,
            before=before,
            routes=len(tables.routes),
        )

    def _apply_replicas_listing(self, entries: list[kv.Entry]) -> None:
        self._entries.replace(self._platform.keys.replicas, _by_key(entries))
        listed = [
            replica
            for entry in entries
            if (replica := self._platform.replica(entry.key, entry.value))
        ]
        is_older = self._is_next_listing_older
        self._is_next_listing_older = False

        def step(
            dispatcher: dispatch.Dispatcher, now: float
        ) -> list[replicas.ReplicaId]:
            removed = dispatcher.replicas.replace(
                listed, now, is_older=is_older
            )
            dispatcher.forget(removed)
            return removed

        self._close_idle(self._dispatch_client.ask(step))

    def _apply_replica_change(self, key: str, content: bytes) -> None:
        replica = self._platform.replica(key, content)
        if replica is None:
            # Other writers may use these keys; the previous entry for the
            # replica stays in effect.
            _log.info('view: cannot decode a replica entry', key=key)
            return

        def step(dispatcher: dispatch.Dispatcher, now: float) -> bool:
            before = dispatcher.replicas.find(replica.id)
            is_restarted = dispatcher.replicas.update(replica, now)
            _log_change(before, dispatcher.replicas.find(replica.id))
            if is_restarted:
                dispatcher.forget([replica.id])
            return is_restarted

        if self._dispatch_client.ask(step):
            self._close_idle([replica.id])

    def _apply_replica_removal(self, key: str) -> None:
        replica = replicas.ReplicaId(
            key.removeprefix(self._platform.keys.replicas)
        )

        def step(dispatcher: dispatch.Dispatcher, now: float) -> bool:
            is_removed = dispatcher.replicas.remove(replica, now)
            if is_removed:
                dispatcher.forget([replica])
            return is_removed

        if self._dispatch_client.ask(step):
            _log.info('view: replica removed', replica=replica)
            self._close_idle([replica])

    def _apply_hosts_listing(self, entries: list[kv.Entry]) -> None:
        self._entries.replace(self._platform.keys.hosts, _by_key(entries))
        decoded = [_decode_host(entry.value) for entry in entries]
        listed = [host for host in decoded if host]
        self.hosts.replace(listed, time.monotonic())

    def _apply_poison_listing(self, entries: list[kv.Entry]) -> None:
        self._entries.replace(self._platform.keys.poison, _by_key(entries))
        for entry in sorted(entries, key=lambda one: one.revision):
            self._apply_poison(entry.key, entry.value)

    def _apply_poison(self, key: str, content: bytes) -> None:
        try:
            report = poison_evidence.decode(content)
        except errors.CodecError as exc:
            _log.error(
                'view: cannot decode a poison report', key=key, reason=str(exc)
            )
            return
        self._dispatch_client.handle_poison_report(report)

    def _close_idle(self, removed: typing.Iterable[str]) -> None:
        for replica in removed:
            self._drop_idle(replica)


def _log_change(
    before: replicas.Replica | None, replica: replicas.Replica | None
) -> None:
    if replica is None:
        return
    if before is None or before.state is not replica.state:
        _log.info(
            'view: replica added or changed state',
            replica=replica.id,
            service=replica.service,
            state=replica.state.value,
            born=replica.born,
        )


def _decode_host(content: bytes) -> fleet_hosts.Host | None:
    try:
        return decoding.decode_json(content, fleet_hosts.Host)
    except msgspec.MsgspecError as exc:
        _log.error('view: cannot decode a host entry', reason=str(exc))
        return None


def _by_key(entries: list[kv.Entry]) -> dict[str, bytes]:
    return {one.key: one.value for one in entries}
