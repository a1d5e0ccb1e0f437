"""Request arrival rates as seen by one router.

The usual rate decays over seconds: a router that sees a small part of the
traffic needs that long to tell a rate from chance. When traffic jumps, it is
too slow, so the arrivals of the last moment correct it as far as they are
certain.
"""

import collections
import math
import typing

import msgspec

# Time constant of the decay: long enough for a router that sees a small part of
# the traffic, short enough to react to the start of a burst.
_DECAY_TIME_S = 3.0
# Window of the recent arrivals.
RECENT_S = 0.5
# Standard deviations by which recent arrivals may be off by chance.
_CERTAIN_DEVIATIONS = 2
_Key = typing.TypeVar('_Key', bound=str)


class _Rate(msgspec.Struct):
    updated_at: float
    per_s: float


class ArrivalRates(typing.Generic[_Key]):
    """Arrival rates by key; a rate decays while no requests arrive.

    :param decay_time_s: time constant of the decay.
    """

    def __init__(self, decay_time_s: float = _DECAY_TIME_S) -> None:
        """Initialise without arrivals."""
        self._decay_time_s = decay_time_s
        self._rates: dict[_Key, _Rate] = {}
        self._recent: collections.deque[tuple[float, _Key]] = (
            collections.deque()
        )

    def record(self, key: _Key, now: float) -> None:
        """Record one arrival."""
        self._rates[key] = _Rate(
            now, self.per_s(key, now) + 1 / self._decay_time_s
        )
        self._recent.append((now, key))
        self._expire_recent(now)

    def per_s(self, key: _Key, now: float) -> float:
        """Return the rate in arrivals per second."""
        rate = self._rates.get(key)
        if rate is None:
            return 0
        return rate.per_s * math.exp(
            (rate.updated_at - now) / self._decay_time_s
        )

    def counts(self, span_s: float, now: float) -> dict[str, int]:
        """Return the arrivals per ``span_s`` by key, rounded, without zeros."""
        counts = {key: self.count(key, span_s, now) for key in self._rates}
        return {key: count for key, count in counts.items() if count}

    def count(self, key: _Key, span_s: float, now: float) -> int:
        """Return the arrivals of one key per ``span_s``, rounded."""
        return round(self.per_s(key, now) * span_s)

    def recent_counts(self, now: float) -> dict[str, int]:
        """Return the arrivals of the last :data:`RECENT_S` by key."""
        self._expire_recent(now)
        return dict(collections.Counter[str](key for _, key in self._recent))

    def forget(self, key: _Key) -> None:
        """Drop the rate of a key."""
        self._rates.pop(key, None)

    def _expire_recent(self, now: float) -> None:
        while self._recent and now - self._recent[0][0] > RECENT_S:
            self._recent.popleft()


def raised(usual_per_s: float, recent: int) -> float:
    """Return a rate that is not below what the recent arrivals show.

    :param recent: arrivals within :data:`RECENT_S`.
    """
    return max(usual_per_s, (recent - math.sqrt(recent)) / RECENT_S)


def lowered(usual_per_s: float, recent: int) -> float:
    """Return a rate that is not above what the recent arrivals show.

    :param recent: arrivals within :data:`RECENT_S`.
    """
    most = recent + 2 * (math.sqrt(recent) + 1)
    return min(usual_per_s, most / RECENT_S)


def corrected(usual_per_s: float, recent: int) -> float:
    """Return a rate that the recent arrivals of all routers allow.

    :param recent: arrivals within :data:`RECENT_S`.
    """
    deviation = _CERTAIN_DEVIATIONS * math.sqrt(recent)
    least_per_s = (recent - deviation) / RECENT_S
    most_per_s = (recent + deviation) / RECENT_S
    return min(max(usual_per_s, least_per_s), most_per_s)


def certain_per_s(recent: int) -> float:
    """Return the rate that the recent arrivals of one router show at least.

    :param recent: arrivals within :data:`RECENT_S`.
    """
    least = recent - _CERTAIN_DEVIATIONS * math.sqrt(recent)
    return max(least, 0) / RECENT_S
