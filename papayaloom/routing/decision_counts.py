"""Counts of the routing decisions, for the metrics of a host."""

import collections
import enum


class Decision(enum.Enum):
    """A decision that operators may want to see the number of."""

    # A response that states a slow machine, and a request placed on one.
    SLOW_REPORTED = 'slow_machine_reported'
    PLACED_ON_SLOW = 'placed_on_slow_machine'
    # A zone taken out of service or back, and a request without another zone.
    ZONE_EVACUATED = 'zone_evacuated'
    ZONE_RETURNED = 'zone_returned'
    ALL_EVACUATED = 'rejected_all_zones_evacuated'
    # A request placed on a cold replica, and one that no cold replica may get
    # when the warm ones have no room.
    PLACED_ON_COLD = 'placed_on_cold_replica'
    REFUSED_COLD = 'refused_cold_replica'
    # Hedges, copies cancelled because the other one answered, and hedges that
    # were not sent.
    HEDGE_SENT = 'hedge_sent'
    HEDGE_WON = 'hedge_won'
    HEDGE_CANCELLED = 'hedge_copy_cancelled'
    HEDGE_OVER_BUDGET = 'hedge_over_budget'
    HEDGE_WITHOUT_ROOM = 'hedge_without_room'
    HEDGE_UNSUITABLE = 'hedge_unsuitable'
    # Requests rejected because others are more urgent, or because the replicas
    # that have their prefix are full; and refusals by full replicas.
    REJECTED_BY_RANK = 'rejected_by_rank'
    REJECTED_FOR_PREFIX = 'rejected_for_prefix'
    REFUSED_BY_REPLICA = 'refused_by_replica'


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
