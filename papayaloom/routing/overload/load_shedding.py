"""Load shedding: which requests a router still admits to an overloaded service.

Answers three load patterns:

- A service gets more requests than its replicas can run. A replica is closed
  once a further request would wait there longer than a share of the objective.
  If all replicas are closed, the request is rejected at once: a queue that
  grows beyond the objective would make every later request late, too.
- One organisation sends many times its usual traffic. It may run only a
  multiple of the places that are still free (dynamic thresholds, Choudhury and
  Hahne, 1998), so some places always remain for the others.
- Rejected callers would all return at the same moment. Their retry delays are
  spread, and grow with the share of requests that is rejected.

Each router decides alone. Its own count of an organisation's requests, times
the number of routers, stands for the count of the fleet. Where reports are old,
only the load that is likely at least is counted. A router that has just started
admits requests until the first responses report loads.
"""

import collections
import math
import random
import typing

import msgspec

from papayaloom import errors, ids
from papayaloom.routing import replicas
from papayaloom.routing.load import (
    arrival_rates,
    load_estimates,
    moving_averages,
)
from papayaloom.routing.overload import retry_delays

# Standard deviations by which estimated arrivals may be too many.
_DEVIATIONS = 2


class Cfg(msgspec.Struct, frozen=True):
    """Limits of the load shedding.

    :param wait_share: share of the mean objective of a service that a request
        may wait for a slot of a replica.
    :param organisation_factor: requests that an organisation may run at a
        service, as a multiple of the free places there.
    """

    wait_share: float = 0.25
    organisation_factor: float = 8


class Demand(msgspec.Struct, frozen=True):
    """The request to admit.

    :param objective_s: target time to its response or first event.
    :param left_s: time left until its deadline.
    :param may_have_run: an earlier attempt may have run.
    """

    service: ids.ServiceId
    organisation: str
    objective_s: float
    left_s: float
    may_have_run: bool = False


class Load(msgspec.Struct, frozen=True):
    """Load of the replicas that may get the request.

    :param estimates: load estimates by replica.
    :param service_time_s: mean time that a request spends at a replica.
    :param arrivals_per_s: arrivals at the service from the other routers.
    :param hosts: number of routers in the fleet.
    """

    candidates: typing.Sequence[replicas.Replica]
    estimates: dict[str, load_estimates.LoadEstimate]
    service_time_s: float
    arrivals_per_s: float
    hosts: int


class _Occupancy(msgspec.Struct, frozen=True):
    """Places of a service, in which requests can begin in time.

    :param places: number of places.
    :param free: free places by replica; negative if too many requests wait.
    :param age_s: age of the oldest load estimate.
    """

    places: float
    free: dict[replicas.ReplicaId, float]
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


class LoadShedder:
    """Running requests by organisation, and the recent rejections."""

    def __init__(self, cfg: Cfg, rng: random.Random) -> None:
        """Initialise without requests."""
        self._cfg = cfg
        self._rng = rng
        self._running: collections.Counter[tuple[ids.ServiceId, str]] = (
            collections.Counter()
        )
        self._objectives_s: moving_averages.MovingAverages[ids.ServiceId] = (
            moving_averages.MovingAverages()
        )
        self._offered: arrival_rates.ArrivalRates[ids.ServiceId] = (
            arrival_rates.ArrivalRates()
        )
        self._rejected: arrival_rates.ArrivalRates[ids.ServiceId] = (
            arrival_rates.ArrivalRates()
        )

    def admit(
        self, demand: Demand, load: Load, now: float
    ) -> list[replicas.Replica] | errors.Problem:
        """Return the replicas that may get a request, or why it is rejected.

        A request that may have run is never rejected, since its caller could not
        be told to come back; the retry budget bounds such requests.
        """
        self._offered.record(demand.service, now)
        # The same bound for all requests of a service: otherwise those with the
        # longest objective, often the least urgent ones, would crowd out others.
        self._objectives_s.add(demand.service, demand.objective_s)
        objective_s = self._objectives_s.get(demand.service, 0)
        occupancy = _occupancy(load, self._cfg.wait_share * objective_s)
        open_replicas = [
            one for one in load.candidates if occupancy.free[one.id] >= 1
        ]
        if demand.may_have_run:
            return open_replicas or list(load.candidates)
        if not open_replicas:
            return self._rejection(
                demand,
                occupancy,
                errors.Problem('no replica can begin the request in time', 503),
                now,
            )
        if self._exceeds_share(demand, occupancy, load.hosts):
            return self._rejection(
                demand,
                occupancy,
                errors.Problem(
                    'the organisation uses its share of the service', 429
                ),
                now,
            )
        return open_replicas

    def reject(
        self, demand: Demand, problem: errors.Problem, now: float
    ) -> errors.Problem:
        """Count a rejection and return its problem with a retry delay."""
        self._rejected.record(demand.service, now)
        return msgspec.structs.replace(
            problem, retry_after_s=self._retry_s(demand, now)
        )

    def record_start(self, service: ids.ServiceId, organisation: str) -> None:
        """Count an admitted request."""
        self._running[service, organisation] += 1

    def record_end(self, service: ids.ServiceId, organisation: str) -> None:
        """Count the end of an admitted request."""
        key = service, organisation
        self._running[key] -= 1
        if self._running[key] <= 0:
            self._running.pop(key)

    def dump(self) -> dict[str, int]:
        """Return the running requests by service and organisation."""
        return {
            f'{service} {organisation}': count
            for (service, organisation), count in self._running.items()
        }

    def _exceeds_share(
        self, demand: Demand, occupancy: _Occupancy, hosts: int
    ) -> bool:
        """Tell whether an organisation may not run a further request."""
        factor = self._cfg.organisation_factor
        free = occupancy.all_free
        # With more free places no organisation can exceed its share. A router
        # that sees a sliver of the traffic could only be misled.
        if not demand.organisation or free * (factor + 1) >= occupancy.places:
            return False
        running = self._running[demand.service, demand.organisation]
        return running >= max(factor * free / hosts, 1)

    def _rejection(
        self,
        demand: Demand,
        occupancy: _Occupancy,
        problem: errors.Problem,
        now: float,
    ) -> errors.Problem:
        """Count a rejection and complete its problem document."""
        detail = f'service {demand.service}: {occupancy.describe()}'
        return self.reject(
            demand, msgspec.structs.replace(problem, detail=detail), now
        )

    def _retry_s(self, demand: Demand, now: float) -> float:
        """Return the retry delay of a rejected request."""
        rejected = self._rejected.per_s(demand.service, now)
        share = rejected / self._offered.per_s(demand.service, now)
        return retry_delays.overload_s(share, demand.left_s, self._rng)


def _occupancy(load: Load, max_wait_s: float) -> _Occupancy:
    places = {one.id: _places(one, load, max_wait_s) for one in load.candidates}
    return _Occupancy(
        sum(places.values()),
        {
            one.id: places[one.id] - _certain_load(one, load)
            for one in load.candidates
        },
        max(load.estimates[one.id].age_s for one in load.candidates),
    )


def _places(replica: replicas.Replica, load: Load, max_wait_s: float) -> float:
    """Return how many requests a replica can begin in time."""
    if replica.slots <= 0:
        return float('inf')
    slots = replica.slots / load.estimates[replica.id].slowdown
    waiting = slots * max_wait_s / load.service_time_s
    return slots + min(waiting, slots)


def _certain_load(replica: replicas.Replica, load: Load) -> float:
    """Return the requests that a replica has, at the lower end of what is likely.

    What arrived since its report is only estimated, and the more so the older
    the report is. A router that rejected requests on such an estimate would
    leave slots idle; the queue of the replica takes up the difference.
    """
    estimate = load.estimates[replica.id]
    remaining_fraction = estimate.remaining_fraction(load.service_time_s)
    arrived = estimate.expected_arrivals(
        load.service_time_s, load.arrivals_per_s / len(load.candidates)
    )
    uncertainty = _DEVIATIONS * math.sqrt(arrived) * (1 - remaining_fraction)
    known = estimate.own + estimate.others * remaining_fraction
    return known + max(arrived - uncertainty, 0)
