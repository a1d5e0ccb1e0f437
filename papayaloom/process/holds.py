"""Active grants of an owner and their expiry."""

import collections
import typing

import msgspec

from papayaloom import ids, messages

Key = tuple[ids.RouterId, int]

# Longest time until the renewals from the home router include a new grant.
_RENEWAL_LAG_S = 1.0

# Number of hold times for which an expired grant still counts as running when
# its engine does not report.
_EXPIRED_HOLD_TIMES = 3

# Seconds of count history kept to compare with engine reports, which lag.
_HISTORY_S = 5.0


# Seconds around an engine's count in which a granted request may not have
# reached the engine yet.
_IN_FLIGHT_S = 0.05


class Grant(msgspec.Struct):
    """A running request.

    :param granted: time of the grant, in seconds of the owner's clock.
    :param expires: time of expiry, in seconds of the owner's clock.
    """

    engine: ids.EngineId
    granted: float
    organisation: ids.OrgId = ids.OrgId('')
    chat: ids.ChatId = ids.ChatId('')
    expires: float = 0


class Holds:
    """Grants of this router that are in use, by engine.

    :param hold_s: seconds until a grant that is not renewed expires.
    """

    def __init__(self, hold_s: float) -> None:
        """Create an empty set of grants."""
        self.hold_s = hold_s
        self.finished = 0
        self._grants: dict[ids.EngineId, dict[Key, Grant]] = {}
        self._count_history: dict[
            ids.EngineId,
            collections.deque[tuple[float, int]],
        ] = {}
        self._renewed_at: dict[ids.RouterId, float] = {}
        self._expired_at: dict[ids.EngineId, list[float]] = {}
        self._unexplained: dict[ids.EngineId, int] = {}

    def count(self, engine: ids.EngineId) -> int:
        """Return the number of active grants on an engine."""
        return len(self._grants.get(engine, ()))

    def count_newer_than(self, engine: ids.EngineId, after: float) -> int:
        """Return the number of active grants that are newer than a time."""
        grants = self._grants.get(engine, {})
        return sum(held.granted > after for held in grants.values())

    def exceeds_fair_share(
        self,
        engine: ids.EngineId,
        organisation: ids.OrgId,
        capacity: int,
    ) -> bool:
        """Return whether one more request would exceed the max-min fair share.

        :param capacity: number of requests on the engine that the
            organisations share.
        """
        counts = collections.Counter(
            held.organisation for held in self._grants.get(engine, {}).values()
        )
        counts[organisation] += 1
        remaining = capacity
        ascending = sorted(counts.values())
        for index, count in enumerate(ascending):
            share = remaining / (len(ascending) - index)
            if count > share:
                return counts[organisation] > share
            remaining -= count
        return False

    def extra(self, engine: ids.EngineId) -> int:
        """Return the number of running requests without an active grant.

        Counts those that only the engine's report shows and those whose grant
        has expired.
        """
        return self._unexplained.get(engine, 0) + len(
            self._expired_at.get(engine, ())
        )

    def engines(self) -> list[ids.EngineId]:
        """Return the engines with active grants."""
        return [engine for engine, grants in self._grants.items() if grants]

    def handover(self) -> messages.Handover:
        """Return the counts to hand over to the router next in rank."""
        counts = tuple(
            (engine, self.count(engine)) for engine in self.engines()
        )
        return messages.Handover((), counts)

    def add(self, key: Key, grant: Grant, now: float) -> None:
        """Add a grant."""
        grant.expires = now + self.hold_s
        self._grants.setdefault(grant.engine, {})[key] = grant
        self._record_count(grant.engine, now)

    def has(self, key: Key, engine: ids.EngineId) -> bool:
        """Return whether a grant is active."""
        return key in self._grants.get(engine, {})

    def remove(
        self,
        key: Key,
        engine: ids.EngineId,
        now: float,
    ) -> Grant | None:
        """Remove a grant; an unknown one is ignored."""
        grant = self._grants.get(engine, {}).pop(key, None)
        if grant is not None:
            self.finished += 1
            self._record_count(engine, now)
        return grant

    def renew(
        self,
        sender: ids.RouterId,
        engine: ids.EngineId,
        asks: typing.Collection[int],
        now: float,
    ) -> None:
        """Renew a sender's grants and adopt those of an earlier owner.

        A grant that the sender does not list has ended and its release was
        lost, unless the grant is too new for the sender to know of it.
        """
        self._renewed_at[sender] = now
        ended = [
            key
            for key, held in self._grants.get(engine, {}).items()
            if key[0] == sender
            and key[1] not in asks
            and now - held.granted > _RENEWAL_LAG_S
        ]
        for ended_key in ended:
            self.remove(ended_key, engine, now)
        for ask in asks:
            key = (sender, ask)
            if self.has(key, engine):
                self._grants[engine][key].expires = now + self.hold_s
            else:
                self.add(key, Grant(engine, now), now)

    def lower_bound(
        self,
        engines: typing.Container[ids.EngineId],
        finish_rate: float,
        now: float,
    ) -> int:
        """Return a lower bound of the running requests on some engines.

        While nothing is received from a home router, its releases are lost, so
        its grants count less the longer that lasts.

        :param finish_rate: finished requests per running request and second.
        """
        counts: collections.Counter[ids.RouterId] = collections.Counter()
        for engine, grants in self._grants.items():
            if engine in engines:
                counts.update(key[0] for key in grants)
        total = 0
        for home, count in counts.items():
            silent_s = now - self._renewed_at.get(home, now) - self.hold_s / 3
            running_share = max(0, 1 - max(0, silent_s) * finish_rate * 2)
            total += int(count * running_share)
        return total

    def expire(self, now: float) -> None:
        """Remove grants that were not renewed in time.

        Their requests may still run, so they count as extra until the next
        report of their engine, or for a few more hold times.
        """
        for engine, grants in self._grants.items():
            expired = [
                key for key, held in grants.items() if held.expires <= now
            ]
            for key in expired:
                grants.pop(key)
            expired_at = self._expired_at.get(engine, [])
            self._expired_at[engine] = [
                at
                for at in expired_at
                if now - at < _EXPIRED_HOLD_TIMES * self.hold_s
            ]
            if expired:
                self._record_count(engine, now)
                self._expired_at[engine].extend(now for _ in expired)

    def clear(self, engine: ids.EngineId) -> None:
        """Drop the state of a removed engine."""
        self._grants.pop(engine, None)
        self._count_history.pop(engine, None)
        self._unexplained.pop(engine, None)
        self._expired_at.pop(engine, None)

    def reconcile(
        self,
        engine: ids.EngineId,
        running: int,
        taken: float,
        now: float,
    ) -> None:
        """Compare the grants with the engine's own report.

        :param taken: when the engine was queried; the report lags, so it is
            compared with the counts of that time.
        """
        self._record_count(engine, now)
        counts = self._count_history[engine]
        before = [count for at, count in counts if at <= taken]
        around = [
            count for at, count in counts if abs(at - taken) <= _IN_FLIGHT_S
        ]
        explained = min((*before[-1:], *around), default=self.count(engine))
        self._unexplained[engine] = max(0, running - explained)
        expired_at = self._expired_at.get(engine, [])
        self._expired_at[engine] = [at for at in expired_at if at > taken]

    def _record_count(self, engine: ids.EngineId, now: float) -> None:
        history = self._count_history.setdefault(engine, collections.deque())
        history.append((now, self.count(engine)))
        while now - history[0][0] > _HISTORY_S and len(history) > 1:
            history.popleft()
