"""Exponentially weighted moving averages by key."""

import typing

# Weight of a new sample: the average covers about the last twenty.
_WEIGHT = 0.05
_Key = typing.TypeVar('_Key', bound=str)


class MovingAverages(typing.Generic[_Key]):
    """Averages of samples by key; the first sample is the first average."""

    def __init__(self) -> None:
        """Initialise without samples."""
        self._averages: dict[_Key, float] = {}

    def add(self, key: _Key, sample: float) -> None:
        """Add a sample."""
        average = self._averages.setdefault(key, sample)
        self._averages[key] = average + _WEIGHT * (sample - average)

    def get(self, key: _Key, default: float) -> float:
        """Return the average of a key, or the default without samples."""
        return self._averages.get(key, default)
