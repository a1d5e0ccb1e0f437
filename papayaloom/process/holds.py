"""Grants of an owner and their hold times."""

import collections
import typing

import msgspec

from papayaloom import ids, messages

Key = tuple[ids.RouterId, int]

# Longest time until a grant stands in the renewals of its home.
_UNKNOWN_S = 1.0

# Hold times for which an expired hold counts when its engine does not report.
_LAPSE = 3

# Seconds of count history that a lagging engine report is compared with.
_HISTORY_S = 5.0


# Time around an engine's count in which grants are on their way.
_REPORT_SPREAD_S = 0.05


class Grant(msgspec.Struct):
    """A running request.

    :param granted: when it was granted, in seconds of the owner's clock.
    :param expires: end of its hold time, in seconds of the owner's clock.
    """

    engine: ids.EngineId
    granted: float
    organisation: ids.OrgId = ids.OrgId('')
    chat: ids.ChatId = ids.ChatId('')
    expires: float = 0


class Holds:
    """Running requests of each engine that this router has granted.

    :param hold_s: seconds for which a grant lives without a renewal.
    """

    def __init__(self, hold_s: float) -> None:
        """Start without grants."""
        self.hold_s = hold_s
        self.finished = 0
        self._grants: dict[ids.EngineId, dict[Key, Grant]] = {}
        self._peaks: dict[
            ids.EngineId,
            collections.deque[tuple[float, int]],
        ] = {}
        self._heard: dict[ids.RouterId, float] = {}
        self._lapsed: dict[ids.EngineId, list[float]] = {}
        self._extra: dict[ids.EngineId, int] = {}

    def count(self, engine: ids.EngineId) -> int:
        """Return how many grants are running on an engine."""
        return len(self._grants.get(engine, ()))

    def count_since(self, engine: ids.EngineId, moment: float) -> int:
        """Return how many running grants are newer than a moment."""
        grants = self._grants.get(engine, {})
        return sum(held.granted > moment for held in grants.values())

    def exceeds(
        self,
        engine: ids.EngineId,
        organisation: ids.OrgId,
        capacity: int,
    ) -> bool:
        """Tell whether one more request would exceed a max-min fair share.

        :param capacity: requests that the organisations share on the engine.
        """
        counts = collections.Counter(
            held.organisation for held in self._grants.get(engine, {}).values()
        )
        counts[organisation] += 1
        left = capacity
        waiting = sorted(counts.values())
        for index, count in enumerate(waiting):
            level = left / (len(waiting) - index)
            if count > level:
                return counts[organisation] > level
            left -= count
        return False

    def extra(self, engine: ids.EngineId) -> int:
        """Return running requests that only the engine's report shows."""
        return self._extra.get(engine, 0) + len(self._lapsed.get(engine, ()))

    def engines(self) -> list[ids.EngineId]:
        """Return the engines with running grants."""
        return [engine for engine, grants in self._grants.items() if grants]

    def handover(self) -> messages.Handover:
        """Return the counts for the next router in rank."""
        counts = tuple(
            (engine, self.count(engine)) for engine in self.engines()
        )
        return messages.Handover((), counts)

    def add(self, key: Key, grant: Grant, now: float) -> None:
        """Count a grant."""
        grant.expires = now + self.hold_s
        self._grants.setdefault(grant.engine, {})[key] = grant
        self._note(grant.engine, now)

    def has(self, key: Key, engine: ids.EngineId) -> bool:
        """Tell whether a grant is running."""
        return key in self._grants.get(engine, {})

    def remove(
        self,
        key: Key,
        engine: ids.EngineId,
        now: float,
    ) -> Grant | None:
        """Stop counting a grant; one that is unknown changes nothing."""
        grant = self._grants.get(engine, {}).pop(key, None)
        if grant is not None:
            self.finished += 1
            self._note(engine, now)
        return grant

    def renew(
        self,
        sender: ids.RouterId,
        engine: ids.EngineId,
        asks: typing.Collection[int],
        now: float,
    ) -> None:
        """Renew a sender's grants and adopt those of an earlier owner.

        A grant that the sender does not name has ended, and its release was
        lost, unless it is too new for the sender to know of it.
        """
        self._heard[sender] = now
        ended = [
            key
            for key, held in self._grants.get(engine, {}).items()
            if key[0] == sender
            and key[1] not in asks
            and now - held.granted > _UNKNOWN_S
        ]
        for gone in ended:
            self.remove(gone, engine, now)
        for ask in asks:
            named = (sender, ask)
            if self.has(named, engine):
                self._grants[engine][named].expires = now + self.hold_s
            else:
                self.add(named, Grant(engine, now), now)

    def lower(
        self,
        engines: typing.Container[ids.EngineId],
        finish_rate: float,
        now: float,
    ) -> int:
        """Return a lower estimate of the grants on some engines.

        Releases of a home that is silent are lost, so its grants count less
        the longer it is silent.

        :param finish_rate: finished requests per running request and second.
        """
        counts: collections.Counter[ids.RouterId] = collections.Counter()
        for engine, grants in self._grants.items():
            if engine in engines:
                counts.update(key[0] for key in grants)
        total = 0
        for home, count in counts.items():
            silent = now - self._heard.get(home, now) - self.hold_s / 3
            share = max(0, 1 - max(0, silent) * finish_rate * 2)
            total += int(count * share)
        return total

    def expire(self, now: float) -> None:
        """Drop grants whose hold time has passed.

        Their requests may still run, so they count as extra until the next
        report of their engine, or for some more hold times.
        """
        for engine, grants in self._grants.items():
            late = [key for key, held in grants.items() if held.expires <= now]
            for key in late:
                grants.pop(key)
            lapsed = self._lapsed.get(engine, [])
            self._lapsed[engine] = [
                at for at in lapsed if now - at < _LAPSE * self.hold_s
            ]
            if late:
                self._note(engine, now)
                self._lapsed[engine].extend(now for _ in late)

    def clear(self, engine: ids.EngineId) -> None:
        """Forget an engine that is gone."""
        self._grants.pop(engine, None)
        self._peaks.pop(engine, None)
        self._extra.pop(engine, None)
        self._lapsed.pop(engine, None)

    def correct(
        self,
        engine: ids.EngineId,
        running: int,
        taken: float,
        now: float,
    ) -> None:
        """Compare with the engine's own report.

        :param taken: when the engine was asked; the report lags, so it is
            compared with the counts of that time.
        """
        self._note(engine, now)
        counts = self._peaks[engine]
        before = [count for at, count in counts if at <= taken]
        during = [
            count for at, count in counts if abs(at - taken) <= _REPORT_SPREAD_S
        ]
        known = min((*before[-1:], *during), default=self.count(engine))
        self._extra[engine] = max(0, running - known)
        lapsed = self._lapsed.get(engine, [])
        self._lapsed[engine] = [at for at in lapsed if at > taken]

    def _note(self, engine: ids.EngineId, now: float) -> None:
        peaks = self._peaks.setdefault(engine, collections.deque())
        peaks.append((now, self.count(engine)))
        while now - peaks[0][0] > _HISTORY_S and len(peaks) > 1:
            peaks.popleft()
