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
import types
import typing

import msgspec

from papayaloom import errors, ids
from papayaloom.routing import (
    decision_counts,
    dispatch_messages,
    replica_choice,
    replicas,
)
from papayaloom.routing.load import (
    arrival_rates,
    load_estimates,
    moving_averages,
    offered_load,
)
from papayaloom.routing.overload import (
    least_shares,
    occupancy,
    rank_admission,
    retry_delays,
)

# Requests that a more urgent one overtakes in the queue of a replica, as a
# multiple of its slots. Replicas order what waits by priority.
_OVERTAKEN = 0.25
_REJECTED = frozenset(
    (rank_admission.Standing.BEHIND, rank_admission.Standing.EXCLUDED)
)
# Under overload, requests are rejected rather than placed where their prefix is
# not cached, as processing it again takes capacity from others.
_SPREADS = types.MappingProxyType(
    {
        rank_admission.Standing.UNRANKED: replica_choice.Spread.LEAST_LOADED,
        rank_admission.Standing.AHEAD: replica_choice.Spread.BY_RANK,
        rank_admission.Standing.MARGINAL: replica_choice.Spread.NONE,
        rank_admission.Standing.BEHIND: replica_choice.Spread.NONE,
        rank_admission.Standing.EXCLUDED: replica_choice.Spread.NONE,
    }
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
    :param may_have_run: an earlier attempt may have run.
    :param rank: priority of its organisation, or else of its route, and
        priority of its route; 0 is the most urgent.
    :param is_late: it has waited longer than its objective, or is a retry.
    :param draw: 0 to 1, the same for its repetitions; None to draw at random.
    :param has_prefix: it shares a prompt prefix with others.
    """

    service: ids.ServiceId
    organisation: str
    objective_s: float
    left_s: float
    may_have_run: bool = False
    rank: tuple[int, int] = (0, 0)
    is_late: bool = False
    draw: float | None = None
    has_prefix: bool = False

    @property
    def precedence(self) -> offered_load.Precedence:
        """Order in which requests are admitted, the lowest first."""
        return (*self.rank, int(self.is_late))


def demand(request: dispatch_messages.PlacementRequest) -> Demand:
    """Return what a request asks of a service."""
    return Demand(
        request.service,
        request.organisation,
        request.objective_s,
        request.left_s,
        request.may_have_run,
        request.rank,
        request.is_retry or request.waited_s > request.objective_s,
        request.draw,
        bool(request.prefix),
    )


class Load(msgspec.Struct, frozen=True):
    """Load of the replicas that may get the request.

    :param estimates: load estimates by replica.
    :param service_time_s: mean time that a request spends at a replica.
    :param arrivals_per_s: arrivals at the service from the other routers.
    :param hosts: number of routers in the fleet.
    :param serving: replicas that share the arrivals; some of them may not get
        the request.
    :param ranked: load of the service by rank; None if all requests of the
        deployment have one rank.
    """

    candidates: typing.Sequence[replicas.Replica]
    estimates: dict[str, load_estimates.LoadEstimate]
    service_time_s: float
    arrivals_per_s: float
    hosts: int
    serving: typing.Sequence[replicas.Replica]
    ranked: offered_load.RankedService | None = None


class Admission(msgspec.Struct, frozen=True):
    """Replicas that may get an admitted request.

    :param crowding: how one of them is chosen.
    """

    replicas: list[replicas.Replica]
    crowding: replica_choice.Crowding = replica_choice.Crowding()


class LoadShedder:
    """Running requests by organisation, and the recent rejections."""

    def __init__(
        self,
        cfg: Cfg,
        rng: random.Random,
        decisions: decision_counts.DecisionCounts | None = None,
    ) -> None:
        """Initialise without requests."""
        self._decisions = decisions or decision_counts.DecisionCounts()
        self._cfg = cfg
        self._rng = rng
        self._running: collections.Counter[tuple[ids.ServiceId, str]] = (
            collections.Counter()
        )
        self._objectives_s: moving_averages.MovingAverages[ids.ServiceId] = (
            moving_averages.MovingAverages()
        )
        self.ranks = rank_admission.RankAdmission()
        self._least_shares = least_shares.LeastShares()
        self._offered: arrival_rates.ArrivalRates[ids.ServiceId] = (
            arrival_rates.ArrivalRates()
        )
        self._rejected: arrival_rates.ArrivalRates[ids.ServiceId] = (
            arrival_rates.ArrivalRates()
        )

    def admit(
        self, demand: Demand, load: Load, now: float
    ) -> Admission | errors.Problem:
        """Return the replicas that may get a request, or why it is rejected.

        A request that may have run is never rejected, since its caller could not
        be told to come back; the retry budget bounds such requests.
        """
        self._offered.record(demand.service, now)
        # The same bound for all requests of a service: otherwise those with the
        # longest objective, often the least urgent ones, would crowd out others.
        self._objectives_s.add(demand.service, demand.objective_s)
        objective_s = self._objectives_s.get(demand.service, 0)
        max_wait_s = self._cfg.wait_share * objective_s
        use = self._occupancy(demand.service, load, load.candidates, max_wait_s)
        # The ranks share the whole service, not what this request may get.
        whole_use = use
        if len(load.serving) > len(load.candidates):
            whole_use = self._occupancy(
                demand.service, load, load.serving, max_wait_s
            )
        standing = self._standing(demand, load, whole_use, now)
        open_replicas = _open_replicas(load, use, _extra_places(standing, use))
        if demand.may_have_run:
            return Admission(open_replicas or list(load.candidates))
        problem = self._problem(demand, load, use, open_replicas, standing)
        if problem is not None:
            return self._rejection(demand, use, problem, now)
        crowding = _crowding(standing, use)
        if demand.has_prefix and not math.isinf(crowding.places):
            # The choice by rank of the prefix thins out what full ones get.
            # Without them, all routers would send to the first open one.
            return Admission(list(load.candidates), crowding)
        return Admission(open_replicas, crowding)

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

    def _occupancy(
        self,
        service: ids.ServiceId,
        load: Load,
        measured: typing.Sequence[replicas.Replica],
        max_wait_s: float,
    ) -> occupancy.Occupancy:
        service_time_s, arrivals_per_s = (
            load.service_time_s,
            load.arrivals_per_s,
        )
        if load.ranked is not None:
            arrivals_per_s = load.ranked.arrivals_per_s
            service_time_s = min(
                load.ranked.service_time_s or service_time_s,
                self.ranks.run_time_s(service),
            )
        return occupancy.measure(
            measured,
            load.estimates,
            service_time_s,
            arrivals_per_s / len(load.serving),
            max_wait_s,
        )

    def _standing(
        self,
        demand: Demand,
        load: Load,
        use: occupancy.Occupancy,
        now: float,
    ) -> rank_admission.Standing:
        if load.ranked is None or math.isinf(use.places):
            return rank_admission.Standing.UNRANKED
        service, organisation = demand.service, demand.organisation
        draw = self._rng.random() if demand.draw is None else demand.draw
        self._least_shares.record_offered(service, organisation, now)
        standing = self.ranks.standing(
            service, demand.precedence, draw, use, load.ranked.load, now
        )
        if standing is rank_admission.Standing.EXCLUDED and not demand.is_late:
            limit_per_s = self.ranks.limit_per_s(service) / load.hosts
            least = self._least_shares.fraction(
                service, organisation, limit_per_s, now
            )
            if draw < least:
                standing = rank_admission.Standing.MARGINAL
        if standing not in _REJECTED:
            self._least_shares.record_admitted(service, organisation, now)
        return standing

    def _problem(
        self,
        demand: Demand,
        load: Load,
        use: occupancy.Occupancy,
        open_replicas: list[replicas.Replica],
        standing: rank_admission.Standing,
    ) -> errors.Problem | None:
        """Return why a request is rejected; None if it is admitted."""
        if standing in _REJECTED:
            self._decisions.add(decision_counts.Decision.REJECTED_BY_RANK)
            return errors.Problem(
                'requests that come first use the whole service', 503
            )
        if not open_replicas:
            return errors.Problem(
                'no replica can begin the request in time', 503
            )
        if self._exceeds_share(demand, use, load.hosts):
            return errors.Problem(
                'the organisation uses its share of the service', 429
            )
        return None

    def _exceeds_share(
        self, demand: Demand, use: occupancy.Occupancy, hosts: int
    ) -> bool:
        """Tell whether an organisation may not run a further request."""
        factor = self._cfg.organisation_factor
        free = use.all_free
        # With more free places no organisation can exceed its share. A router
        # that sees little of the traffic cannot judge a share.
        if not demand.organisation or free * (factor + 1) >= use.places:
            return False
        running = self._running[demand.service, demand.organisation]
        return running >= max(factor * free / hosts, 1)

    def _rejection(
        self,
        demand: Demand,
        use: occupancy.Occupancy,
        problem: errors.Problem,
        now: float,
    ) -> errors.Problem:
        """Count a rejection and complete its problem document."""
        detail = f'service {demand.service}: {use.describe()}'
        return self.reject(
            demand, msgspec.structs.replace(problem, detail=detail), now
        )

    def _retry_s(self, demand: Demand, now: float) -> float:
        """Return the retry delay of a rejected request."""
        rejected = self._rejected.per_s(demand.service, now)
        offered = self._offered.per_s(demand.service, now)
        # Requests for cold replicas are not counted as offered.
        share = min(rejected / offered, 1) if offered else 1
        if self.ranks.is_limited(demand.service):
            return retry_delays.ranked_s(share, demand.left_s, self._rng)
        return retry_delays.overload_s(share, demand.left_s, self._rng)


def _extra_places(
    standing: rank_admission.Standing, use: occupancy.Occupancy
) -> float:
    """Return the places beyond the usual ones, as a multiple of the slots.

    Negative where a request may not wait for a slot.
    """
    if standing is rank_admission.Standing.AHEAD:
        return _OVERTAKEN
    if standing is rank_admission.Standing.MARGINAL:
        return 1 - use.places / use.slots
    return 0


def _crowding(
    standing: rank_admission.Standing, use: occupancy.Occupancy
) -> replica_choice.Crowding:
    if standing is rank_admission.Standing.UNRANKED:
        return replica_choice.Crowding()
    places = use.places / use.slots + _extra_places(standing, use)
    return replica_choice.Crowding(_SPREADS[standing], places)


def _open_replicas(
    load: Load, use: occupancy.Occupancy, extra: float
) -> list[replicas.Replica]:
    """Return the replicas that have a free place.

    :param extra: places beyond the usual ones, as a multiple of the slots.
    """
    if not extra:
        return [one for one in load.candidates if use.free[one.id] >= 1]
    return [
        one
        for one in load.candidates
        if use.free[one.id] + extra * _present_slots(one, load) >= 1
    ]


def _present_slots(replica: replicas.Replica, load: Load) -> float:
    """Return the slots of a replica at the present speed of its machine."""
    return replica.slots / load.estimates[replica.id].slowdown
