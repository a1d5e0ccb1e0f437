"""Grants of an owner and their hold times."""

import collections
import typing

import msgspec

from papayaloom import ids, messages

Key = tuple[ids.RouterId, int]

# Seconds of count history that a lagging engine report is compared with.
_HISTORY_S = 5.0


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
        self._extra: dict[ids.EngineId, int] = {}

    def count(self, engine: ids.EngineId) -> int:
        """Return how many grants are running on an engine."""
        return len(self._grants.get(engine, ()))

    def extra(self, engine: ids.EngineId) -> int:
        """Return running requests that only the engine's report shows."""
        return self._extra.get(engine, 0)

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
        asks: typing.Iterable[int],
        now: float,
    ) -> None:
        """Renew a sender's grants and adopt those of an earlier owner."""
        for ask in asks:
            key = (sender, ask)
            if self.has(key, engine):
                self._grants[engine][key].expires = now + self.hold_s
            else:
                self.add(key, Grant(engine, now), now)

    def expire(self, now: float) -> list[ids.EngineId]:
        """Drop grants whose hold time has passed.

        :returns: the engines that lost a grant.
        """
        freed = []
        for engine, grants in self._grants.items():
            late = [key for key, held in grants.items() if held.expires <= now]
            for key in late:
                grants.pop(key)
            if late:
                freed.append(engine)
                self._note(engine, now)
        return freed

    def clear(self, engine: ids.EngineId) -> None:
        """Forget an engine that is gone."""
        self._grants.pop(engine, None)
        self._peaks.pop(engine, None)
        self._extra.pop(engine, None)

    def correct(
        self,
        engine: ids.EngineId,
        running: int,
        now: float,
    ) -> None:
        """Compare with the engine's own report.

        The report lags, so only what exceeds every count of the last seconds
        is taken as running without a grant known here.
        """
        self._note(engine, now)
        peak = max(count for _, count in self._peaks[engine])
        self._extra[engine] = max(0, running - peak)

    def _note(self, engine: ids.EngineId, now: float) -> None:
        peaks = self._peaks.setdefault(engine, collections.deque())
        peaks.append((now, self.count(engine)))
        while now - peaks[0][0] > _HISTORY_S and len(peaks) > 1:
            peaks.popleft()
