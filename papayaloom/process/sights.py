"""Loads of engines as a home last saw them."""

import typing

import msgspec

from papayaloom import ids, messages


class Seen(msgspec.Struct, frozen=True):
    """Newest known load of an engine.

    :param at: when it was counted, in seconds of this router's clock.
    """

    load: int
    at: float


class Sights:
    """Loads from the owners' answers and, in a small fleet, from reports.

    They only order the candidates; the owners decide.

    :param memory_s: seconds for which a load is taken into account.
    """

    def __init__(self, memory_s: float) -> None:
        """Start without loads."""
        self.memory_s = memory_s
        self._cap = 1
        self._seen: dict[ids.EngineId, Seen] = {}

    def answer(self, answer: messages.Answer, now: float) -> None:
        """Note the load of an engine in an answer."""
        if answer.cap:
            self._cap = answer.cap
            self._seen[answer.engine] = Seen(answer.load, now)

    def report(self, report: messages.LoadReport, now: float) -> None:
        """Note the loads of engines in a report."""
        for load in report.loads:
            at = now - load.age_ms / 1000
            for engine, running in load.counts:
                known = self._seen.get(engine)
                if known is None or known.at < at:
                    self._seen[engine] = Seen(running, at)

    def filled(self, engine: ids.EngineId, now: float) -> float:
        """Return load over cap, 1 when unknown."""
        seen = self._seen.get(engine)
        if seen is None or now - seen.at >= self.memory_s:
            return 1
        return min(1, seen.load / self._cap)

    def keep(self, engines: typing.Container[ids.EngineId]) -> None:
        """Forget all other engines."""
        self._seen = {
            engine: seen
            for engine, seen in self._seen.items()
            if engine in engines
        }
