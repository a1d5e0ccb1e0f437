"""What a few hosts of a large fleet tell the others, on behalf of the store.

Answers two patterns that grow with the fleet: every host that watches the
store costs calls, and a host that sees a sliver of the traffic can't tell
which replica is busy. So a few relay hosts watch; the others ask them often,
say what they have running where, and get changes and sums in return.
"""

import collections
import typing

import msgspec

from papayaloom.ports import kv

RELAYS = 3
# Up to this size every host watches the store itself.
MOST_WATCHING = 12
_KEPT_EVENTS = 4000
_LIVE_S = 1.2
_SUM_EXPIRY_S = 2.0


class Report(msgspec.Struct, frozen=True):
    """What a host tells a relay.

    :param after: revision up to which the host knows the store.
    :param loads: requests that it has running, by replica; of a relay, also
        those of the hosts that report to it.
    """

    host: str
    after: int
    loads: dict[str, int]
    is_relay: bool = False


class Digest(msgspec.Struct, frozen=True):
    """What a relay answers.

    :param events: changes after the host's revision that say something new.
    :param is_lost: changes are missing; the host lists the store again.
    :param totals: running requests of the whole fleet, by replica.
    """

    revision: int
    events: tuple[kv.Event, ...]
    totals: dict[str, int]
    is_lost: bool = False


class _Sum(msgspec.Struct, frozen=True):
    at: float
    loads: dict[str, int]
    is_relay: bool


class Relay:
    """Recent changes of the store, and the loads that hosts report.

    :param describe: returns what an entry says, without its counters; an
        entry that says the same as before is not passed on.
    """

    def __init__(self, describe: typing.Callable[[str, bytes], object]) -> None:
        """Start without changes."""
        self._describe = describe
        self._said: dict[str, object] = {}
        self._events: collections.deque[kv.Event] = collections.deque()
        self._start: int | None = None
        self._revision = 0
        self._live_at = float('-inf')
        self._sums: dict[str, _Sum] = {}

    def publish(self, after: int, watched: kv.Watched, now: float) -> None:
        """Take what a watch of the store brought."""
        if self._start is None or after > self._revision or watched.lost:
            # Changes may be missing in between.
            self._events.clear()
            self._start = after
        self._revision = watched.revision
        self._live_at = float('-inf') if watched.lost else now
        self._events.extend(
            event for event in watched.events if self._is_new(event)
        )
        while len(self._events) > _KEPT_EVENTS:
            self._start = self._events.popleft().revision

    def fail(self) -> None:
        """Note that the store does not answer: others must not rely on it."""
        self._live_at = float('-inf')

    def is_live(self, now: float) -> bool:
        """Whether the store has answered a moment ago."""
        return self._start is not None and now - self._live_at < _LIVE_S

    def answer(
        self, report: Report, own: dict[str, int], now: float
    ) -> Digest | None:
        """Take a report and return what is new; None when out of touch.

        :param own: running requests of this host.
        """
        self._sums[report.host] = _Sum(now, report.loads, report.is_relay)
        if not self.is_live(now):
            return None
        totals = self._add(own, now, with_relays=True)
        if self._start is None or report.after < self._start:
            return Digest(report.after, (), totals, is_lost=True)
        news = tuple(
            event for event in self._events if event.revision > report.after
        )
        return Digest(max(self._revision, report.after), news, totals)

    def subtotal(self, own: dict[str, int], now: float) -> dict[str, int]:
        """Return the loads of this host and of those that report to it."""
        return self._add(own, now, with_relays=False)

    def totals(self, own: dict[str, int], now: float) -> dict[str, int]:
        """Return the loads of the whole fleet."""
        return self._add(own, now, with_relays=True)

    def _add(
        self, own: dict[str, int], now: float, *, with_relays: bool
    ) -> dict[str, int]:
        self._sums = {
            host: one
            for host, one in self._sums.items()
            if now - one.at < _SUM_EXPIRY_S
        }
        added = collections.Counter(own)
        for one in self._sums.values():
            if with_relays or not one.is_relay:
                added.update(one.loads)
        return dict(added)

    def _is_new(self, event: kv.Event) -> bool:
        if event.deleted:
            self._said.pop(event.key, None)
            return True
        said = self._describe(event.key, event.value)
        known = self._said.get(event.key)
        self._said[event.key] = said
        return known is None or said != known
