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
the number of routers, stands for the count of the fleet.
"""

import collections
import random
import typing

import msgspec

from papayaloom import errors, ids
from papayaloom.process import (
    arrival_rates,
    load_estimates,
    moving_averages,
    replicas,
    retry_delays,
)


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
    :param has_begun: part of its response has reached the caller.
    """

    service: ids.ServiceId
    organisation: str
    objective_s: float
    left_s: float
    has_begun: bool = False


class Load(msgspec.Struct, frozen=True):
    """Load of the replicas that may get the request.

    :param estimates: load estimates by replica.
    :param service_time_s: mean time that a request spends at a replica.
    :param hosts: number of routers in the fleet.
    """

    candidates: typing.Sequence[replicas.Replica]
    estimates: dict[str, load_estimates.LoadEstimate]
    service_time_s: float
    hosts: int


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

        A response that has begun is never rejected.
        """
        self._offered.record(demand.service, now)
        # The same bound for all requests of a service: otherwise those with the
        # longest objective, often the least urgent ones, would crowd out others.
        self._objectives_s.add(demand.service, demand.objective_s)
        objective_s = self._objectives_s.get(demand.service, 0)
        max_wait_s = self._cfg.wait_share * objective_s
        rooms = {
            one.id: _room(one, load, max_wait_s) for one in load.candidates
        }
        open_replicas = [one for one in load.candidates if rooms[one.id] >= 1]
        if demand.has_begun:
            return open_replicas or list(load.candidates)
        if not open_replicas:
            return self._rejection(
                demand, 'no replica can begin the request in time', 503, now
            )
        free = sum(max(room, 0) for room in rooms.values())
        if self._exceeds_share(demand, free / load.hosts):
            return self._rejection(
                demand,
                'the organisation uses its share of the service',
                429,
                now,
            )
        return open_replicas

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

    def _exceeds_share(self, demand: Demand, free: float) -> bool:
        """Tell whether an organisation may not run a further request.

        :param free: free places of the service, per router.
        """
        if not demand.organisation:
            return False
        running = self._running[demand.service, demand.organisation]
        return running >= max(self._cfg.organisation_factor * free, 1)

    def _rejection(
        self, demand: Demand, title: str, status: int, now: float
    ) -> errors.Problem:
        self._rejected.record(demand.service, now)
        return errors.Problem(
            title,
            status,
            detail=f'service {demand.service}',
            retry_after_s=self._retry_s(demand, now),
        )

    def _retry_s(self, demand: Demand, now: float) -> float:
        """Return the retry delay of a rejected request."""
        rejected = self._rejected.per_s(demand.service, now)
        share = rejected / self._offered.per_s(demand.service, now)
        return retry_delays.overload_s(share, demand.left_s, self._rng)


def _room(replica: replicas.Replica, load: Load, max_wait_s: float) -> float:
    """Return how many more requests a replica could begin in time."""
    if replica.slots <= 0:
        return float('inf')
    waiting = replica.slots * max_wait_s / load.service_time_s
    limit = replica.slots + min(waiting, replica.slots)
    return limit - load.estimates[replica.id].total
