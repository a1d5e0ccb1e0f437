"""What a host of a large fleet tells others, on behalf of the store.

Answers two patterns that grow with the fleet: every host that watches the
store costs calls, and a host that sees a sliver of the traffic can't tell
which replica is busy. So hosts ask each other often, as
:mod:`papayaloom.process.relay_plan` lays out, say what they have running
where, and get changes and sums in return.
"""

import collections
import typing
import zlib

import msgspec

from papayaloom.ports import kv
from papayaloom.process import census, silence

_KEPT_EVENTS = 4000
# Age at which knowledge of the store is too old to be passed on.
_LIVE_S = 1.2
# A host asks about every 0.4 s; one that asks elsewhere must not count twice.
_SUM_EXPIRY_S = 1.0
# A route table is long and repeats itself; links of hosts may be thin.
_PLAIN_BYTES = 1024
_FASTEST = 1


class Report(msgspec.Struct, frozen=True):
    """What a host tells another one.

    :param after: revision up to which the host knows the store.
    :param requests: those of the host and its followers.
    :param is_root: the host is a root, which followers of others don't ask.
    :param heard: its followers, and theirs.
    :param silent: hosts that a root does not hear any more.
    """

    host: str
    after: int
    requests: census.Census
    is_root: bool = False
    heard: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()


class Change(msgspec.Struct, frozen=True):
    """A change of the store on its way between hosts.

    :param is_deflated: the value is compressed with zlib.
    """

    key: str
    revision: int
    value: bytes = b''
    is_deleted: bool = False
    is_deflated: bool = False


class Digest(msgspec.Struct, frozen=True):
    """What a host answers.

    :param events: changes after the asking host's revision that say
        something new.
    :param totals: requests of the whole fleet; None when they are not known.
    :param age_s: time since the store said so.
    :param is_lost: changes are missing; the asking host lists the store again.
    :param silent: hosts that the roots do not hear any more.
    """

    revision: int
    events: tuple[Change, ...]
    totals: census.Census | None
    age_s: float = 0
    is_lost: bool = False
    silent: tuple[str, ...] = ()


class _Sum(msgspec.Struct, frozen=True):
    at: float
    requests: census.Census
    is_root: bool = False
    heard: tuple[str, ...] = ()


class _Fleet(msgspec.Struct, frozen=True):
    at: float
    requests: census.Census
    silent: tuple[str, ...]


def pack(event: kv.Event) -> Change:
    """Return a change as it is sent."""
    if len(event.value) <= _PLAIN_BYTES:
        return Change(event.key, event.revision, event.value, event.deleted)
    deflated = zlib.compress(event.value, _FASTEST)
    return Change(
        event.key, event.revision, deflated, event.deleted, is_deflated=True
    )


def unpack(change: Change) -> kv.Event:
    """Return the event of a received change.

    :raises zlib.error: the value can't be read.
    """
    content = change.value
    if change.is_deflated:
        content = zlib.decompress(content)
    return kv.Event(change.key, change.revision, content, change.is_deleted)


class Relay:
    """Recent changes of the store, and the requests that hosts report.

    :param describe: returns what an entry says, without its counters; an
        entry that says the same as before is not passed on.
    """

    def __init__(self, describe: typing.Callable[[str, bytes], object]) -> None:
        """Start without changes."""
        self._describe = describe
        self._said: dict[str, object] = {}
        self._events: collections.deque[Change] = collections.deque()
        self._start: int | None = None
        self._revision = 0
        self._seen_at = float('-inf')
        self._sums: dict[str, _Sum] = {}
        self._fleet: _Fleet | None = None
        self._silence = silence.Silence()
        self._is_root = False
        self._listed: typing.Collection[str] = ()

    def lead(self, *, is_root: bool) -> None:
        """Take whether this host adds up the requests of the whole fleet."""
        self._is_root = is_root

    def publish(self, after: int, watched: kv.Watched, seen_at: float) -> None:
        """Take what a watch brought.

        :param seen_at: when the store said so.
        """
        if self._start is None or after > self._revision or watched.lost:
            # Changes may be missing in between.
            self._events.clear()
            self._start = after
        self._revision = watched.revision
        self._seen_at = float('-inf') if watched.lost else seen_at
        self._events.extend(
            pack(event) for event in watched.events if self._is_new(event)
        )
        while len(self._events) > _KEPT_EVENTS:
            self._start = self._events.popleft().revision

    def fail(self) -> None:
        """Note that the store does not answer: others must not rely on it."""
        self._seen_at = float('-inf')

    def is_live(self, now: float) -> bool:
        """Whether the store has answered a moment ago."""
        return self._start is not None and now - self._seen_at < _LIVE_S

    def answer(
        self, report: Report, own: census.Census, now: float
    ) -> Digest | None:
        """Take a report and return what is new; None when out of touch.

        :param own: requests of this host.
        """
        if not self.is_live(now):
            # It asks another host, and is counted there.
            return None
        self._take(report, now)
        totals = self.totals(own, now)
        is_lost = self._start is None or report.after < self._start
        news = tuple(
            event for event in self._events if event.revision > report.after
        )
        return Digest(
            report.after if is_lost else max(self._revision, report.after),
            () if is_lost else news,
            totals,
            now - self._seen_at,
            is_lost,
            self.silent(now),
        )

    def take_fleet(self, digest: Digest, now: float) -> None:
        """Take the state of the whole fleet from the host that was asked."""
        if digest.totals is not None:
            self._fleet = _Fleet(now, digest.totals, digest.silent)

    def take_listed(self, names: typing.Collection[str]) -> None:
        """Take the hosts that have an entry in the store."""
        self._listed = names

    def heard(self, now: float) -> tuple[str, ...]:
        """Return the hosts that report here, directly or through others."""
        self._drop_old(now)
        return tuple(
            name
            for host, one in self._sums.items()
            if not one.is_root
            for name in (host, *one.heard)
        )

    def own_silent(self, now: float) -> tuple[str, ...]:
        """Return the hosts of this root that have fallen silent."""
        return tuple(self._silence.own(self._listed, now))

    def silent(self, now: float) -> tuple[str, ...]:
        """Return the silent hosts of the whole fleet, as far as known."""
        if self._is_root:
            return tuple(self._silence.all(self._listed, now))
        fleet = self._fleet
        if fleet is not None and now - fleet.at < _SUM_EXPIRY_S:
            return fleet.silent
        return ()

    def subtotal(self, own: census.Census, now: float) -> census.Census:
        """Return the requests of this host and of its followers."""
        return self._add(own, now, with_roots=False)

    def totals(self, own: census.Census, now: float) -> census.Census | None:
        """Return the requests of the whole fleet; None when not known."""
        if self._is_root:
            return self._add(own, now, with_roots=True)
        fleet = self._fleet
        if fleet is not None and now - fleet.at < _SUM_EXPIRY_S:
            return fleet.requests
        return None

    def _add(
        self, own: census.Census, now: float, *, with_roots: bool
    ) -> census.Census:
        self._drop_old(now)
        others = (
            one.requests
            for one in self._sums.values()
            if with_roots or not one.is_root
        )
        return census.add((own, *others))

    def _take(self, report: Report, now: float) -> None:
        self._sums[report.host] = _Sum(
            now, report.requests, report.is_root, report.heard
        )
        if report.is_root:
            self._silence.told(report.host, report.heard, report.silent, now)
        self._silence.heard(
            (report.host,) if report.is_root else (report.host, *report.heard),
            now,
        )

    def _drop_old(self, now: float) -> None:
        self._sums = {
            host: one
            for host, one in self._sums.items()
            if now - one.at < _SUM_EXPIRY_S
        }

    def _is_new(self, event: kv.Event) -> bool:
        if event.deleted:
            self._said.pop(event.key, None)
            return True
        said = self._describe(event.key, event.value)
        known = self._said.get(event.key)
        self._said[event.key] = said
        return known is None or said != known
