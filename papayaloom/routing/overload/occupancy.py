"""Use of the places of a service, in which requests can begin in time.

Answers the load pattern of many routers whose knowledge is old: where a
decision closes a replica, only the load that is likely at least is counted; the
expected load, which may be too high or too low, is for corrections only.
"""

import math
import typing

import msgspec

from papayaloom.routing import replicas
from papayaloom.routing.load import load_estimates

# Standard deviations by which estimated arrivals may be too many.
_DEVIATIONS = 2


class Occupancy(msgspec.Struct, frozen=True):
    """Places of a service, and the requests in them.

    :param places: number of places.
    :param slots: places in which requests run at once.
    :param free: free places by replica; negative if too many requests wait.
    :param expected: requests that the replicas are expected to have.
    :param age_s: age of the oldest load estimate.
    """

    places: float
    slots: float
    free: dict[replicas.ReplicaId, float]
    expected: float
    age_s: float

    @property
    def all_free(self) -> float:
        """Free places of all replicas."""
        return sum(max(count, 0) for count in self.free.values())

    def describe(self) -> str:
        """Return what a decision is based on, for logs."""
        return (
            f'{self.all_free:.1f} of {self.places:.0f} places free, '
            f'oldest report {self.age_s:.2f} s old'
        )


class _Totals(msgspec.Struct):
    slots: float = 0
    expected: float = 0
    age_s: float = 0


def measure(
    candidates: typing.Sequence[replicas.Replica],
    estimates: dict[str, load_estimates.LoadEstimate],
    service_time_s: float,
    arrivals_per_s: float,
    max_wait_s: float,
) -> Occupancy:
    """Return the occupancy of some replicas.

    A certain load is at the lower end of what is likely. What arrived since a
    report is only estimated, and the more so the older the report is. A router
    that rejected requests on such an estimate would leave slots idle; the queue
    of the replica takes up the difference.

    :param service_time_s: mean time that a request spends at a replica.
    :param arrivals_per_s: arrivals from the other routers at each replica.
    :param max_wait_s: time for which a request may wait for a slot.
    """
    waiting_share = min(max_wait_s / service_time_s, 1)
    totals = _Totals()
    free = {}
    for one in candidates:
        estimate = estimates[one.id]
        slots = one.slots / estimate.slowdown or math.inf
        known, arrived, certain = _loads(
            estimate, service_time_s, arrivals_per_s
        )
        free[one.id] = slots * (1 + waiting_share) - known - certain
        totals.slots += slots
        totals.expected += known + arrived
        totals.age_s = max(totals.age_s, estimate.age_s)
    return Occupancy(
        totals.slots * (1 + waiting_share),
        totals.slots,
        free,
        totals.expected,
        totals.age_s,
    )


def _loads(
    estimate: load_estimates.LoadEstimate,
    service_time_s: float,
    arrivals_per_s: float,
) -> tuple[float, float, float]:
    """Return the known requests, and the expected and the certain new ones."""
    remaining_fraction = estimate.remaining_fraction(service_time_s)
    gone_fraction = 1 - remaining_fraction
    arrived = gone_fraction * service_time_s * arrivals_per_s
    uncertainty = _DEVIATIONS * math.sqrt(arrived) * gone_fraction
    known = estimate.own + estimate.others * remaining_fraction
    return known, arrived, max(arrived - uncertainty, 0)
