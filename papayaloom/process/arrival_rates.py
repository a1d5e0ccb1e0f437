"""How often requests arrive, as one router sees it."""

import math
import typing

import msgspec

# Long enough for a router that sees a sliver of the traffic, short enough for
# the begin of a burst.
_MEMORY_S = 3.0
_Name = typing.TypeVar('_Name', bound=str)


class _Rate(msgspec.Struct):
    at: float
    per_s: float


class ArrivalRates(typing.Generic[_Name]):
    """Rates of arrival by name, which fade when nothing comes."""

    def __init__(self) -> None:
        """Start without arrivals."""
        self._rates: dict[_Name, _Rate] = {}

    def note(self, name: _Name, now: float) -> None:
        """Count an arrival."""
        self._rates[name] = _Rate(now, self.per_s(name, now) + 1 / _MEMORY_S)

    def per_s(self, name: _Name, now: float) -> float:
        """Return the rate, in arrivals a second."""
        rate = self._rates.get(name)
        if rate is None:
            return 0
        return rate.per_s * math.exp((rate.at - now) / _MEMORY_S)

    def counts(self, span_s: float, now: float) -> dict[str, int]:
        """Return the arrivals in a span by name, as whole numbers."""
        counts = {name: self.count(name, span_s, now) for name in self._rates}
        return {name: count for name, count in counts.items() if count}

    def count(self, name: _Name, span_s: float, now: float) -> int:
        """Return the arrivals of one name in a span, as a whole number."""
        return round(self.per_s(name, now) * span_s)

    def forget(self, name: _Name) -> None:
        """Drop what was counted."""
        self._rates.pop(name, None)
