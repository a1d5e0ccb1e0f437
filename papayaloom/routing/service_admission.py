"""Whether a service admits a request, which may be a retry."""

import typing

import msgspec
import result

from papayaloom import errors, ids
from papayaloom.routing import (
    dispatch_messages,
    replica_choice,
    replicas,
)
from papayaloom.routing.health import attempt_health
from papayaloom.routing.limits import cold_choice
from papayaloom.routing.load import fleet_traffic, load_estimates
from papayaloom.routing.overload import load_shedding


class ServiceAdmission:
    """Admission by load and rank, and by the retry budget."""

    def __init__(
        self,
        shedder: load_shedding.LoadShedder,
        traffic: fleet_traffic.FleetTraffic,
        health: attempt_health.AttemptHealth,
    ) -> None:
        """Use the given parts of the dispatch state."""
        self._shedder = shedder
        self._traffic = traffic
        self._health = health
        self._counted: dispatch_messages.PlacementRequest | None = None

    def admit(
        self,
        request: dispatch_messages.PlacementRequest,
        candidates: list[replicas.Replica],
        estimates: dict[str, load_estimates.LoadEstimate],
        traffic: replica_choice.Traffic,
        is_cold: bool,
        now: float,
    ) -> load_shedding.Admission | errors.Problem:
        """Return the replicas that may get a request, or why none may.

        :param is_cold: the candidates are cold, and the warm replicas have
            rejected the request; it counts as demand only there.
        """
        demand = load_shedding.demand(request)
        load = load_shedding.Load(
            candidates,
            estimates,
            traffic.service_time_s,
            traffic.arrivals_per_s,
            self._traffic.hosts,
            traffic.serving,
        )
        if is_cold:
            admission = cold_choice.admit(demand, load)
        else:
            self._count(request, demand, now)
            ranked = self._traffic.ranked_service(request.service, now)
            load = msgspec.structs.replace(load, ranked=ranked)
            admission = self._shedder.admit(demand, load, now)
        if isinstance(admission, errors.Problem):
            return admission
        return self._health.retry_refusal(request, now) or admission

    def rejected(
        self,
        request: dispatch_messages.PlacementRequest,
        problem: typing.Callable[[ids.ServiceId], errors.Problem],
        now: float,
    ) -> result.Err[errors.Problem]:
        """Count a rejection, and return it with a retry delay."""
        found = problem(request.service)
        demand = load_shedding.demand(request)
        return result.Err(self._shedder.reject(demand, found, now))

    def _count(
        self,
        request: dispatch_messages.PlacementRequest,
        demand: load_shedding.Demand,
        now: float,
    ) -> None:
        """Count a request as demand, once if it is tried at several sets."""
        if request is not self._counted:
            self._counted = request
            self._traffic.offered.record_offered(
                request.service, demand.precedence, now
            )
