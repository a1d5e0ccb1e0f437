"""Cache of the engines' loads that a home router last received."""

import typing

import msgspec

from papayaloom import ids, messages


class KnownLoad(msgspec.Struct, frozen=True):
    """Newest known load of an engine.

    :param at: time of the count, in seconds of this router's clock.
    """

    load: int
    at: float


class EngineLoads:
    """Loads from the owners' answers and, in a small fleet, from load reports.

    They only determine the order of the candidates; the owners decide on
    admission.

    :param memory_s: seconds for which a load is used.
    """

    def __init__(self, memory_s: float) -> None:
        """Create an empty cache."""
        self.memory_s = memory_s
        self._cap = 1
        self._loads: dict[ids.EngineId, KnownLoad] = {}

    def record_answer(self, answer: messages.Answer, now: float) -> None:
        """Record the load of the engine in an owner's answer."""
        if answer.cap:
            self._cap = answer.cap
            self._loads[answer.engine] = KnownLoad(answer.load, now)

    def record_report(self, report: messages.LoadReport, now: float) -> None:
        """Record the loads of the engines in a load report."""
        for load in report.loads:
            at = now - load.age_ms / 1000
            for engine, running in load.counts:
                known = self._loads.get(engine)
                if known is None or known.at < at:
                    self._loads[engine] = KnownLoad(running, at)

    def utilisation(self, engine: ids.EngineId, now: float) -> float:
        """Return the ratio of an engine's load to its cap, 1 when unknown."""
        known = self._loads.get(engine)
        if known is None or now - known.at >= self.memory_s:
            return 1
        return min(1, known.load / self._cap)

    def retain(self, engines: typing.Container[ids.EngineId]) -> None:
        """Drop the loads of all other engines."""
        self._loads = {
            engine: known
            for engine, known in self._loads.items()
            if engine in engines
        }
