"""Dispatch state of a forwarding router: replicas, loads, ejections, budgets.

Owned by one actor. Its methods take events and the current time and do no I/O.
"""

import copy
import random
import typing

import msgspec
import result

from papayaloom import errors, ids
from papayaloom.routing import (
    decision_counts,
    dispatch_messages,
    placement_problems,
    replica_choice,
    replicas,
    service_admission,
)
from papayaloom.routing.health import (
    attempt_health,
    ejection,
    evacuations,
    replica_availability,
)
from papayaloom.routing.limits import (
    cold_choice,
    limited_admission,
    rate_limits,
    rate_shares,
)
from papayaloom.routing.load import (
    fleet_traffic,
    load_estimates,
    moving_averages,
    request_counts,
)
from papayaloom.routing.overload import budgets, hedging, load_shedding
from papayaloom.routing.poison import poison, poison_detector
from papayaloom.request import header_dialect


# From this factor on, operators see a machine counted as slow.
_NOTABLE_SLOWDOWN = 1.25


class Cfg(msgspec.Struct, frozen=True):
    """Settings of the components."""

    lapses: replicas.Cfg = replicas.Cfg()
    spreading: replica_choice.Cfg = replica_choice.Cfg()
    ejecting: ejection.Cfg = ejection.Cfg(
        consecutive=4, window=16, base_s=2, longest_s=8
    )
    repeats: budgets.RetryBound = budgets.RetryBound()
    blaming: poison.Cfg = poison.Cfg()
    shedding: load_shedding.Cfg = load_shedding.Cfg()
    warming: cold_choice.Bound = None
    hedges: hedging.Cfg = hedging.Cfg()


PlacementResult = result.Result[replica_choice.Choice, errors.Problem]


class Dispatcher:
    """Places requests on the replicas of all services."""

    def __init__(self, cfg: Cfg, rng: random.Random, hosts: int = 1) -> None:
        """Initialise without replicas.

        :param hosts: number of routers in the fleet.
        """
        self.replicas = replicas.Replicas(cfg.lapses)
        self.poison = poison_detector.PoisonDetector(cfg.blaming)
        self.rate_limits = rate_limits.RateLimits()
        self.evacuations = evacuations.Evacuations()
        self.decisions = decision_counts.DecisionCounts()
        self.cold = cold_choice.ColdChoice(
            cfg.warming, rng, self.decisions, self.evacuations.returned_s
        )
        self.replicas.on_entry = self.cold.replicas.record_entry
        self._cfg = cfg
        self._rng = rng
        self._load_estimates = load_estimates.LoadEstimates()
        self._traffic = fleet_traffic.FleetTraffic(hosts)
        self._limited = limited_admission.LimitedAdmission(
            self.rate_limits, self._traffic, rng
        )
        self._service_times_s: moving_averages.MovingAverages[ids.ServiceId] = (
            moving_averages.MovingAverages()
        )
        self._shedder = load_shedding.LoadShedder(
            cfg.shedding, rng, self.decisions
        )
        self._budgets = budgets.RetryBudgets(cfg.repeats.share(hosts))
        self._availability = replica_availability.ReplicaAvailability(
            cfg.ejecting, rng
        )
        self._health = attempt_health.AttemptHealth(
            self._availability, self._budgets
        )
        self._admission = service_admission.ServiceAdmission(
            self._shedder, self._traffic, self._health
        )
        self._hedging = hedging.Hedging(
            cfg.hedges,
            self.decisions,
            hedging.Knowledge(
                self._availability, self.rate_limits, self.poison, self._budgets
            ),
        )

    def set_fleet_size(self, hosts: int) -> None:
        """Set the number of routers in the fleet."""
        if hosts != self._traffic.hosts:
            self._traffic.hosts = hosts
            self._budgets.configure(self._cfg.repeats.share(hosts))

    def place(
        self, request: dispatch_messages.PlacementRequest, now: float
    ) -> PlacementResult:
        """Choose the replica for an attempt and count the request there."""
        subject = dispatch_messages.subject(request)
        condemned = self.poison.condemned(subject, now)
        if condemned is not None:
            return result.Err(
                placement_problems.condemned(condemned, self.poison.retry_s())
            )
        listed = self.replicas.ready(request.service, now)
        ready = self.evacuations.in_service(listed)
        if listed and not ready:
            self.decisions.add(decision_counts.Decision.ALL_EVACUATED)
            return result.Err(placement_problems.evacuated(request.service))
        if not ready:
            return result.Err(placement_problems.unavailable(request.service))
        self._availability.ejections(request.service).update_upstreams(
            one.id for one in ready
        )
        available = self._availability.candidates(
            request.service, ready, request.tried, now
        )
        candidates = self.evacuations.ramped(
            self.poison.isolated(subject, available, now),
            request.prefix,
            now,
            self._rng,
        )
        if not candidates:
            return result.Err(
                placement_problems.unavailable(
                    request.service,
                    self._availability.pause_retry_s(ready, now),
                )
            )
        proven = self._availability.proven(
            request.service, candidates, request.proven_since
        )
        if not proven and self._load_estimates.runs_any(
            one.id for one in candidates
        ):
            return result.Err(placement_problems.unproven())
        chosen = self.cold.choose(
            request,
            proven or candidates,
            lambda among, cold: self._choose(
                request, ready, among, candidates, cold, now
            ),
            now,
        )
        if isinstance(chosen, result.Ok):
            self._record_placement(request, chosen.ok_value, now)
        return chosen

    def ended(
        self, attempt_result: dispatch_messages.AttemptResult, now: float
    ) -> list[replicas.ReplicaId]:
        """Record the result of an attempt.

        :returns: the replicas that are ejected because of it.
        """
        self._load_estimates.record_end(attempt_result.replica)
        self._shedder.record_end(
            attempt_result.service, attempt_result.organisation
        )
        is_whole = not attempt_result.is_cancelled
        if attempt_result.duration_s is not None and is_whole:
            self._service_times_s.add(
                attempt_result.service, attempt_result.duration_s
            )
            self._traffic.offered.record_completed(
                attempt_result.service, attempt_result.duration_s, now
            )
        if attempt_result.is_unbounded:
            self.decisions.add(decision_counts.Decision.UNBOUNDED)
        if attempt_result.is_refused:
            self.decisions.add(decision_counts.Decision.REFUSED_BY_REPLICA)
        self.poison.record_attempt(
            dispatch_messages.ended_attempt(attempt_result, now), now
        )
        self._hedging.record_end(attempt_result)
        if attempt_result.is_unreachable:
            self._availability.record_unreachable(attempt_result.replica, now)
        return self._health.record(attempt_result, now)

    def record_load(
        self, replica: replicas.ReplicaId, load: header_dialect.Load, now: float
    ) -> None:
        """Record the load that a replica reported."""
        if load.slowdown is not None and load.slowdown >= _NOTABLE_SLOWDOWN:
            self.decisions.add(decision_counts.Decision.SLOW_REPORTED)
        self._load_estimates.record_load(replica, load, now)
        self.cold.record_response(replica, now)

    def own_request_counts(self, now: float) -> request_counts.RequestCounts:
        """Return the running and arrived requests of this router."""
        return self._traffic.own_counts(
            self._load_estimates.own_requests(), now
        )

    def paused(
        self, replica: replicas.Replica, pause_s: float, now: float
    ) -> None:
        """Pause a replica that asked for it."""
        self._availability.pause(replica, pause_s, now)

    def update_fleet_counts(
        self, totals: request_counts.RequestCounts, now: float
    ) -> None:
        """Record the request counts of the whole fleet."""
        names = [one.id for one in self.replicas.dump()]
        self._load_estimates.record_fleet_totals(
            names, totals.running, now - request_counts.TRANSIT_S
        )
        self._traffic.record_totals(totals, now)

    def copy(self, rng: random.Random) -> 'Dispatcher':
        """Return an independent copy of the state, to try a placement on.

        :param rng: random source of the copy.
        """
        return copy.deepcopy(self, {id(self._rng): rng})

    def unavailability(
        self, replica: replicas.Replica, now: float
    ) -> replica_availability.Unavailability | None:
        """Return why a replica is out of use; None if it is not."""
        return self._availability.unavailability(replica, now)

    def forget(self, removed: typing.Iterable[replicas.ReplicaId]) -> None:
        """Drop the state of replicas that were removed or restarted."""
        for replica in removed:
            self._load_estimates.forget(replica)
            self._traffic.forget(replica)
            self._availability.forget(replica)
            self._hedging.forget(replica)

    def estimates(
        self,
        service: ids.ServiceId,
        ready: list[replicas.Replica],
        now: float,
    ) -> dict[str, load_estimates.LoadEstimate]:
        """Return the load estimates of the replicas of a service.

        If no replica reports its load, the requests of the other routers follow
        from their expected arrivals by Little's law.
        """
        others = self._traffic.least_others_per_s(
            service, now
        ) * self._service_times_s.get(service, 0)
        return self._load_estimates.estimates(
            [one.id for one in ready], now, others / max(len(ready), 1)
        )

    def dump(self, now: float) -> dict[str, object]:
        """Return the state for the operator's dump."""
        listed = self.replicas.dump()
        names = [one.id for one in listed]
        return {
            'replicas': listed,
            'loads': {
                name: one.total
                for name, one in self._load_estimates.estimates(
                    names, now
                ).items()
            },
            **self._availability.dump(now),
            'rate_limits': self.rate_limits.dump(now),
            'zones': self.evacuations.dump(now),
            'cold': self.cold.dump(now),
            'retries_left': self._budgets.dump(now),
            'running': self._shedder.dump(),
            'admitted_by_rank': self._shedder.ranks.dump(),
            'hedges_saved': self._hedging.dump(),
            'poison': self.poison.dump(),
            'decisions': self.decisions.dump(),
        }

    def _choose(
        self,
        request: dispatch_messages.PlacementRequest,
        ready: list[replicas.Replica],
        candidates: list[replicas.Replica],
        serving: list[replicas.Replica],
        is_cold: bool,
        now: float,
    ) -> PlacementResult:
        """Choose one of the candidates, unless the request is rejected.

        :param serving: replicas that share the traffic, among them the
            candidates.
        """
        estimates = self.estimates(request.service, ready, now)
        traffic = self._traffic.expected(
            request.service, estimates, serving, now
        )
        if request.hedge_of:
            load = hedging.Load(estimates, traffic, len(ready))
            admission = self._hedging.admit(request, candidates, load, now)
        else:
            admission = self._admission.admit(
                request, candidates, estimates, traffic, is_cold, now
            )
        if isinstance(admission, errors.Problem):
            return result.Err(admission)
        limited = self._limited.limited(request.service, ready, now)
        allowed = self._limited.allowed(
            request, ready, admission.replicas, limited, now
        )
        if not allowed:
            return self._admission.rejected(
                request, placement_problems.rate_limited, now
            )
        choice = replica_choice.choose(
            self._eligible(request, allowed, limited, admission.crowding, now),
            estimates,
            traffic,
            request.prefix,
            self._cfg.spreading,
            self._rng,
        )
        if choice is None:
            self.decisions.add(decision_counts.Decision.REJECTED_FOR_PREFIX)
            return self._admission.rejected(
                request, placement_problems.prefix_full, now
            )
        return result.Ok(choice)

    def _record_placement(
        self,
        request: dispatch_messages.PlacementRequest,
        choice: replica_choice.Choice,
        now: float,
    ) -> None:
        self._hedging.record_start(request)
        self._traffic.record_arrival(request.service, choice.preferred, now)
        self._shedder.record_start(request.service, request.organisation)
        if choice.estimate.slowdown >= _NOTABLE_SLOWDOWN:
            self.decisions.add(decision_counts.Decision.PLACED_ON_SLOW)
        chosen = choice.replica.id
        ejections = self._availability.ejections(request.service)
        if ejections.status(chosen, now) is ejection.Status.TRIAL:
            ejections.start_trial(chosen, now)
        self._load_estimates.record_start(chosen)
        self.poison.record_start(dispatch_messages.subject(request), chosen)

    def _eligible(
        self,
        request: dispatch_messages.PlacementRequest,
        candidates: list[replicas.Replica],
        limited: rate_shares.LimitedReplicas,
        crowding: replica_choice.Crowding,
        now: float,
    ) -> replica_choice.Eligible:
        if not request.prefix:
            return replica_choice.Eligible(candidates)
        prefix_holders = [
            one
            for one in self.evacuations.in_service(
                self.replicas.listed(request.service)
            )
            if self._availability.is_reachable(one.id, now)
        ]
        recently_started = self.replicas.recently_started(request.service, now)
        recently_started |= self.evacuations.uncached(prefix_holders, now)
        return replica_choice.Eligible(
            candidates, prefix_holders, recently_started, limited, crowding
        )
