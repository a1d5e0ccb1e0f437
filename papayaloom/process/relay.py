"""Relays store changes and request counts between the hosts of a large fleet.

Two costs grow with the size of the fleet: every host that watches the store
makes calls to it, and a host that sees a small part of the traffic cannot tell
which replicas are busy. So hosts poll each other frequently, along the tree
defined in :mod:`papayaloom.process.relay_plan`. A poll reports the requests of
a host, and the reply contains store changes and the totals of the fleet.
"""

import collections
import typing
import zlib

import msgspec

from papayaloom import errors
from papayaloom.ports import kv
from papayaloom.process import silent_hosts
from papayaloom.routing.limits import rate_limits
from papayaloom.routing.load import request_counts

_MAX_EVENTS = 4000
# Maximum age of the last answer of the store for its changes to be relayed.
_MAX_AGE_S = 1.2
# Hosts report about every 0.4 s. A short expiry keeps a host that has moved to
# another relay from being counted twice.
_REPORT_TTL_S = 1.0
# Larger values are compressed: a route table is long and repetitive, and links
# between hosts may be slow.
_MAX_UNCOMPRESSED_BYTES = 1024
_FASTEST_LEVEL = 1
# Several times what the store takes as a value.
_MAX_VALUE_BYTES = 16_777_216


class Report(msgspec.Struct, frozen=True):
    """Report of a host to the host that it polls.

    :param after: revision up to which the host has the store's changes.
    :param requests: request counts of the host and its followers.
    :param is_root: whether the host is a root. Roots report to each other, and
        are not followers.
    :param heard: direct and indirect followers of the host.
    :param silent: hosts from which a root no longer receives reports.
    :param limits: rate limits of replicas that the host knows of.
    :param epoch: epoch of ``after``.
    """

    host: str
    after: int
    requests: request_counts.RequestCounts
    is_root: bool = False
    heard: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    limits: rate_limits.LimitReports = {}
    epoch: int | None = None


class Change(msgspec.Struct, frozen=True):
    """A change of the store, as encoded between hosts.

    :param is_deflated: the value is compressed with zlib.
    """

    key: str
    revision: int
    value: bytes = b''
    is_deleted: bool = False
    is_deflated: bool = False


class Reply(msgspec.Struct, frozen=True):
    """Reply to a report.

    :param events: changes after the reporting host's revision, without those
        that only update heartbeat counters.
    :param totals: request counts of the whole fleet; None if unknown.
    :param age_s: time since the store returned this state.
    :param is_lost: changes are missing; the reporting host must list the store
        again.
    :param silent: hosts from which the roots no longer receive reports.
    :param limits: rate limits of replicas that the answering host knows of.
    :param epoch: epoch of ``revision``.
    """

    revision: int
    events: tuple[Change, ...]
    totals: request_counts.RequestCounts | None
    age_s: float = 0
    is_lost: bool = False
    silent: tuple[str, ...] = ()
    limits: rate_limits.LimitReports = {}
    epoch: int | None = None


class _HostReport(msgspec.Struct, frozen=True):
    at: float
    requests: request_counts.RequestCounts
    is_root: bool = False
    heard: tuple[str, ...] = ()


class _FleetState(msgspec.Struct, frozen=True):
    at: float
    requests: request_counts.RequestCounts
    silent: tuple[str, ...]


def pack(event: kv.Event) -> Change:
    """Encode an event for another host, compressed if it is large."""
    if len(event.value) <= _MAX_UNCOMPRESSED_BYTES:
        return Change(event.key, event.revision, event.value, event.deleted)
    deflated = zlib.compress(event.value, _FASTEST_LEVEL)
    return Change(
        event.key, event.revision, deflated, event.deleted, is_deflated=True
    )


def unpack(change: Change) -> kv.Event:
    """Decode a change received from another host.

    :raises papayaloom.errors.CodecError: the value is malformed, cut off or
        too large.
    """
    content = change.value
    if change.is_deflated:
        content = _inflate(content)
    return kv.Event(change.key, change.revision, content, change.is_deleted)


def _inflate(content: bytes) -> bytes:
    stream = zlib.decompressobj()
    try:
        value = stream.decompress(content, _MAX_VALUE_BYTES)
    except zlib.error as exc:
        raise errors.CodecError(f'invalid change: {exc}') from exc
    if not stream.eof:
        raise errors.CodecError('invalid change: cut off or too large')
    return value


class Relay:
    """Recent changes of the store, and the request counts reported by hosts.

    :param describe: returns an entry's content without its heartbeat counters;
        changes that leave this unchanged are not relayed.
    """

    def __init__(self, describe: typing.Callable[[str, bytes], object]) -> None:
        """Start without changes."""
        self._describe = describe
        self._descriptions: dict[str, object] = {}
        self._events: collections.deque[Change] = collections.deque()
        self._first: kv.Position | None = None
        self._revision = 0
        self._store_answered_at = float('-inf')
        self._reports: dict[str, _HostReport] = {}
        self._fleet: _FleetState | None = None
        self._silent_hosts = silent_hosts.SilentHosts()
        self._is_root = False
        self._registered: typing.Collection[str] = ()

    def assign_role(self, *, is_root: bool) -> None:
        """Set whether this host is a root and computes the fleet totals."""
        self._is_root = is_root

    def publish(
        self, position: kv.Position, watched: kv.WatchResult, seen_at: float
    ) -> None:
        """Add the result of a watch.

        :param position: position that the watch continued from.
        :param seen_at: time at which the store returned it.
        """
        if watched.lost or not self._continues_at(position):
            # Changes before this position may be missing.
            self._events.clear()
            if self._first and not self._first.is_comparable(position.epoch):
                # Hosts learn from the next heartbeat of a replica that it lives.
                self._descriptions.clear()
            self._first = position
        self._revision = watched.revision
        self._store_answered_at = float('-inf') if watched.lost else seen_at
        self._events.extend(
            pack(event)
            for event in watched.events
            if self._has_new_content(event)
        )
        while len(self._events) > _MAX_EVENTS:
            dropped = self._events.popleft()
            self._first = kv.Position(dropped.revision, position.epoch)

    def record_store_failure(self) -> None:
        """Record that the store did not answer, which stops relaying."""
        self._store_answered_at = float('-inf')

    def is_live(self, now: float) -> bool:
        """Whether the last answer of the store is recent enough to relay."""
        return (
            self._first is not None
            and now - self._store_answered_at < _MAX_AGE_S
        )

    def answer(
        self, report: Report, own: request_counts.RequestCounts, now: float
    ) -> Reply | None:
        """Record a report and return the reply; None if the state is stale.

        :param own: request counts of this host.
        """
        first = self._first
        if first is None or not self.is_live(now) or _is_behind(first, report):
            # The reporting host will poll another host, which will count it.
            return None
        self._record(report, now)
        totals = self.totals(own, now)
        is_lost = (
            not first.is_comparable(report.epoch)
            or report.after < first.revision
        )
        changes = tuple(
            event for event in self._events if event.revision > report.after
        )
        return Reply(
            report.after if is_lost else max(self._revision, report.after),
            () if is_lost else changes,
            totals,
            now - self._store_answered_at,
            is_lost,
            self.silent_in_fleet(now),
            epoch=first.epoch,
        )

    def update_fleet_totals(self, reply: Reply, now: float) -> None:
        """Store the fleet totals received from the host that was polled."""
        if reply.totals is not None:
            self._fleet = _FleetState(now, reply.totals, reply.silent)

    def update_registered(self, names: typing.Collection[str]) -> None:
        """Set the hosts that have an entry in the store."""
        self._registered = names

    def reporting_hosts(self, now: float) -> tuple[str, ...]:
        """Return the hosts that report to this one, directly or indirectly."""
        self._expire_reports(now)
        return tuple(
            name
            for host, one in self._reports.items()
            if not one.is_root
            for name in (host, *one.heard)
        )

    def silent_followers(self, now: float) -> tuple[str, ...]:
        """Return the hosts that no longer report to this root."""
        return tuple(self._silent_hosts.silent_followers(self._registered, now))

    def silent_in_fleet(self, now: float) -> tuple[str, ...]:
        """Return the known silent hosts of the whole fleet."""
        if self._is_root:
            return tuple(
                self._silent_hosts.silent_in_fleet(self._registered, now)
            )
        fleet = self._fleet
        if fleet is not None and now - fleet.at < _REPORT_TTL_S:
            return fleet.silent
        return ()

    def subtotal(
        self, own: request_counts.RequestCounts, now: float
    ) -> request_counts.RequestCounts:
        """Return the request counts of this host and its followers."""
        return self._sum_reports(own, now, with_roots=False)

    def totals(
        self, own: request_counts.RequestCounts, now: float
    ) -> request_counts.RequestCounts | None:
        """Return the request counts of the whole fleet; None if unknown."""
        if self._is_root:
            return self._sum_reports(own, now, with_roots=True)
        fleet = self._fleet
        if fleet is not None and now - fleet.at < _REPORT_TTL_S:
            return fleet.requests
        return None

    def _continues_at(self, position: kv.Position) -> bool:
        """Whether no change is missing between the last watch and this one."""
        return (
            self._first is not None
            and self._first.is_comparable(position.epoch)
            and position.revision <= self._revision
        )

    def _sum_reports(
        self, own: request_counts.RequestCounts, now: float, *, with_roots: bool
    ) -> request_counts.RequestCounts:
        self._expire_reports(now)
        others = (
            one.requests
            for one in self._reports.values()
            if with_roots or not one.is_root
        )
        return request_counts.add((own, *others))

    def _record(self, report: Report, now: float) -> None:
        self._reports[report.host] = _HostReport(
            now, report.requests, report.is_root, report.heard
        )
        if report.is_root:
            self._silent_hosts.record_peer(
                report.host, report.heard, report.silent, now
            )
        self._silent_hosts.record_reports(
            (report.host,) if report.is_root else (report.host, *report.heard),
            now,
        )

    def _expire_reports(self, now: float) -> None:
        self._reports = {
            host: one
            for host, one in self._reports.items()
            if now - one.at < _REPORT_TTL_S
        }

    def _has_new_content(self, event: kv.Event) -> bool:
        if event.deleted:
            self._descriptions.pop(event.key, None)
            return True
        description = self._describe(event.key, event.value)
        previous = self._descriptions.get(event.key)
        self._descriptions[event.key] = description
        return previous is None or description != previous


def _is_behind(first: kv.Position, report: Report) -> bool:
    """Whether the reporting host has seen a later epoch of the store."""
    if first.epoch is None or report.epoch is None:
        return False
    return report.epoch > first.epoch
