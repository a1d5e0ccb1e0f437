"""Counts of the routing decisions, for the metrics of a host."""

import collections
import enum


class Decision(enum.Enum):
    """A decision that operators may want to see the number of."""

    # A response that states a slow machine, and a request placed on one.
    SLOW_REPORTED = 'slow_machine_reported'
    PLACED_ON_SLOW = 'placed_on_slow_machine'
    # A replica sent more than a response, or its part of the memory, allows.
    UNBOUNDED = 'unbounded_response'


class DecisionCounts:
    """Counters by decision, starting at zero."""

    def __init__(self) -> None:
        """Initialise all counters to zero."""
        self._counts: collections.Counter[Decision] = collections.Counter()

    def add(self, decision: Decision) -> None:
        """Count a decision."""
        self._counts[decision] += 1

    def dump(self) -> dict[str, int]:
        """Return the counters by name."""
        return {one.value: self._counts[one] for one in Decision}
