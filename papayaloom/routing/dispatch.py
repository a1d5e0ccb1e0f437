"""Dispatch state of a forwarding router: replicas, loads, ejections, budgets.

Owned by one actor. Its methods take events and the current time and do no I/O.
"""

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
)
from papayaloom.routing.health import (
    ejection,
    failing_requests,
    replica_availability,
)
from papayaloom.routing.limits import limited_choice, rate_limits, rate_shares
from papayaloom.routing.load import (
    fleet_traffic,
    load_estimates,
    moving_averages,
    request_counts,
)
from papayaloom.routing.overload import budgets, load_shedding
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
        self.decisions = decision_counts.DecisionCounts()
        self._rate_shares = rate_shares.RateShares(rng)
        self._cfg = cfg
        self._rng = rng
        self._load_estimates = load_estimates.LoadEstimates()
        self._traffic = fleet_traffic.FleetTraffic(hosts)
        self._service_times_s: moving_averages.MovingAverages[ids.ServiceId] = (
            moving_averages.MovingAverages()
        )
        self._shedder = load_shedding.LoadShedder(cfg.shedding, rng)
        self._budgets = budgets.RetryBudgets(cfg.repeats.share(hosts))
        self._availability = replica_availability.ReplicaAvailability(
            cfg.ejecting, rng
        )
        self._failing = failing_requests.FailingRequests()

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
        ready = self.replicas.ready(request.service, now)
        if not ready:
            return result.Err(placement_problems.unavailable(request.service))
        self._availability.ejections(request.service).update_upstreams(
            one.id for one in ready
        )
        available = self._availability.candidates(
            request.service, ready, request.tried, now
        )
        candidates = self.poison.isolated(subject, available, now)
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
        chosen = self._choose(request, ready, proven or candidates, now)
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
        if attempt_result.duration_s is not None:
            self._service_times_s.add(
                attempt_result.service, attempt_result.duration_s
            )
        self.poison.record_attempt(
            dispatch_messages.ended_attempt(attempt_result, now), now
        )
        if attempt_result.is_unreachable:
            self._availability.record_unreachable(attempt_result.replica, now)
        return self._record_health(attempt_result, now)

    def record_load(
        self, replica: replicas.ReplicaId, load: header_dialect.Load, now: float
    ) -> None:
        """Record the load that a replica reported."""
        if load.slowdown is not None and load.slowdown >= _NOTABLE_SLOWDOWN:
            self.decisions.add(decision_counts.Decision.SLOW_REPORTED)
        self._load_estimates.record_load(replica, load, now)

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

    def forget(self, removed: typing.Iterable[replicas.ReplicaId]) -> None:
        """Drop the state of replicas that were removed or restarted."""
        for replica in removed:
            self._load_estimates.forget(replica)
            self._traffic.forget(replica)
            self._availability.forget(replica)

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
            'retries_left': self._budgets.dump(now),
            'running': self._shedder.dump(),
            'poison': self.poison.dump(),
            'decisions': self.decisions.dump(),
        }

    def _choose(
        self,
        request: dispatch_messages.PlacementRequest,
        ready: list[replicas.Replica],
        candidates: list[replicas.Replica],
        now: float,
    ) -> PlacementResult:
        """Choose one of the candidates, unless the request is rejected."""
        estimates = self._estimates(request.service, ready, now)
        traffic = self._traffic.expected(request.service, estimates, now)
        admitted = self._shedder.admit(
            _demand(request),
            load_shedding.Load(
                candidates,
                estimates,
                traffic.service_time_s,
                traffic.arrivals_per_s,
                self._traffic.hosts,
            ),
            now,
        )
        if isinstance(admitted, errors.Problem):
            return result.Err(admitted)
        refusal = self._retry_refusal(request, now)
        if refusal is not None:
            return result.Err(refusal)
        limited = rate_shares.limited_replicas(
            ready,
            self.rate_limits,
            self._traffic.all_per_s(request.service, now),
            self._traffic.hosts,
            now,
        )
        allowed = admitted
        if limited:
            allowed = self._within_limits(
                request, ready, admitted, limited, now
            )
        if not allowed:
            problem = placement_problems.rate_limited(request.service)
            return result.Err(
                self._shedder.reject(_demand(request), problem, now)
            )
        choice = replica_choice.choose(
            self._eligible(request, allowed, limited, now),
            estimates,
            traffic,
            request.prefix,
            self._cfg.spreading,
            self._rng,
        )
        return result.Ok(choice)

    def _within_limits(
        self,
        request: dispatch_messages.PlacementRequest,
        ready: list[replicas.Replica],
        admitted: list[replicas.Replica],
        limited: rate_shares.LimitedReplicas,
        now: float,
    ) -> list[replicas.Replica]:
        """Return the replicas whose rate limits allow a request."""
        first = limited_choice.first_in_rank(
            ready, limited, request.prefix, self._rng
        )
        limit = limited.get(first.id)
        if limit is not None:
            self._traffic.record_demand(first.id, now)
            demand_per_s = self._traffic.demand_per_s(first.id, now)
            if first in admitted and self._rate_shares.admits(
                first.id, limit, demand_per_s
            ):
                return [first]
        return [one for one in admitted if one.id not in limited]

    def _record_placement(
        self,
        request: dispatch_messages.PlacementRequest,
        choice: replica_choice.Choice,
        now: float,
    ) -> None:
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

    def _record_health(
        self, attempt_result: dispatch_messages.AttemptResult, now: float
    ) -> list[replicas.ReplicaId]:
        """Record what an attempt says about the health of replicas."""
        if attempt_result.is_failure is None:
            return []
        ejections = self._availability.ejections(attempt_result.service)
        chosen = attempt_result.replica
        if not attempt_result.is_failure:
            ejections.record_success(chosen, now, attempt_result.received_at)
            self._budgets.record_success(attempt_result.service, now)
            failed = self._failed_on_their_own(attempt_result, now)
        elif attempt_result.is_error_response and chosen not in (
            ejections.ejected()
        ):
            self._failing.record_error(attempt_result.fingerprint, chosen, now)
            failed = set()
        else:
            failed = {chosen}
        is_unbounded = attempt_result.is_unbounded
        if is_unbounded:
            self.decisions.add(decision_counts.Decision.UNBOUNDED)
        return [
            one
            for one in failed
            if ejections.record_failure(one, now, is_certain=is_unbounded)
        ]

    def _failed_on_their_own(
        self, attempt_result: dispatch_messages.AttemptResult, now: float
    ) -> set[replicas.ReplicaId]:
        """Return the replicas that failed a request that can be answered."""
        if not attempt_result.is_success:
            return set()
        return self._failing.record_success(attempt_result.fingerprint, now)

    def _retry_refusal(
        self, request: dispatch_messages.PlacementRequest, now: float
    ) -> errors.Problem | None:
        """Return why a retry is not sent; None if it or a first attempt is."""
        if not request.is_retry:
            return None
        if self._failing.fails_everywhere(request.fingerprint, now):
            return placement_problems.fails_everywhere()
        if self._budgets.spend(request.service, now):
            return None
        return placement_problems.budget_spent()

    def _estimates(
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
            [one.id for one in ready], now, others / len(ready)
        )

    def _eligible(
        self,
        request: dispatch_messages.PlacementRequest,
        candidates: list[replicas.Replica],
        limited: rate_shares.LimitedReplicas,
        now: float,
    ) -> replica_choice.Eligible:
        if not request.prefix:
            return replica_choice.Eligible(candidates)
        prefix_holders = [
            one
            for one in self.replicas.listed(request.service)
            if self._availability.is_reachable(one.id, now)
        ]
        recently_started = self.replicas.recently_started(request.service, now)
        return replica_choice.Eligible(
            candidates, prefix_holders, recently_started, limited
        )


def _demand(
    request: dispatch_messages.PlacementRequest,
) -> load_shedding.Demand:
    return load_shedding.Demand(
        request.service,
        request.organisation,
        request.objective_s,
        request.left_s,
        request.may_have_run,
    )
