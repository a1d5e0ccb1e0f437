"""Traffic of the whole fleet, as one router knows or extrapolates it.

Answers the load pattern of many routers that place requests concurrently: each
expects what the others send in the meantime. Routers of a large fleet exchange
their counts. Without counts, or when they are outdated, a router multiplies its
own traffic by the number of routers; this is also what a router does that has
just started.
"""

import math
import typing

from papayaloom import ids
from papayaloom.routing import replica_choice, replicas
from papayaloom.routing.load import (
    arrival_rates,
    load_estimates,
    offered_load,
    request_counts,
)

_MIN_SERVICE_TIME_S = 0.02
_DEFAULT_SERVICE_TIME_S = 1.0
_FLEET_COUNTS_EXPIRY_S = 3.0
# Standard deviations by which the arrivals seen may be too many.
_DEVIATIONS = 2


class FleetTraffic:
    """Arrivals at this router, and the counts of all routers.

    :param hosts: number of routers in the fleet.
    """

    def __init__(self, hosts: int) -> None:
        """Initialise without arrivals."""
        self.hosts = hosts
        self.offered = offered_load.OfferedLoad()
        self._totals = request_counts.RequestCounts()
        self._totals_at = float('-inf')
        self._by_service: arrival_rates.ArrivalRates[ids.ServiceId] = (
            arrival_rates.ArrivalRates()
        )
        self._by_preferred: arrival_rates.ArrivalRates[replicas.ReplicaId] = (
            arrival_rates.ArrivalRates()
        )
        self._demand: arrival_rates.ArrivalRates[replicas.ReplicaId] = (
            arrival_rates.ArrivalRates()
        )

    def record_arrival(
        self,
        service: ids.ServiceId,
        preferred: replicas.Replica | None,
        now: float,
    ) -> None:
        """Count a request that this router placed.

        :param preferred: the replica that ranks first for its prompt prefix.
        """
        self._by_service.record(service, now)
        if preferred is not None:
            self._by_preferred.record(preferred.id, now)

    def ranked_service(
        self, service: ids.ServiceId, now: float
    ) -> offered_load.RankedService | None:
        """Return the load of a service by rank.

        None if all requests of the deployment have one rank.
        """
        if not self.offered.has_ranks:
            return None
        totals = self._totals if self._has_totals(now) else None
        return offered_load.RankedService(
            self._newest_arrivals_per_s(service, now),
            self.offered.service_time_s(service, totals),
            lambda: self.service_load(service, now),
        )

    def record_demand(self, replica: replicas.ReplicaId, now: float) -> None:
        """Count a request for which a replica with a rate limit comes first."""
        self._demand.record(replica, now)

    def record_totals(
        self, totals: request_counts.RequestCounts, now: float
    ) -> None:
        """Record the request counts of the whole fleet."""
        self._totals = totals
        self._totals_at = now

    def forget(self, replica: replicas.ReplicaId) -> None:
        """Drop the arrivals of a replica that was removed or restarted."""
        self._by_preferred.forget(replica)
        self._demand.forget(replica)

    def own_counts(
        self, running: dict[str, int], now: float
    ) -> request_counts.RequestCounts:
        """Return the counts of this router, for the other routers.

        :param running: running requests of this router, by replica.
        """
        span_s = request_counts.ARRIVAL_WINDOW_S
        counts = request_counts.RequestCounts(
            running,
            self._by_preferred.counts(span_s, now),
            self._by_service.counts(span_s, now),
            self._by_preferred.recent_counts(now),
            self._by_service.recent_counts(now),
            self._demand.counts(span_s, now),
            self._demand.recent_counts(now),
        )
        return self.offered.complete(counts, now)

    def expected(
        self,
        service: ids.ServiceId,
        estimates: dict[str, load_estimates.LoadEstimate],
        serving: typing.Sequence[replicas.Replica],
        now: float,
    ) -> replica_choice.Traffic:
        """Return the expected traffic of the other routers.

        :param serving: replicas that share it.
        """
        arrivals = self._service_arrivals(service, now)
        running = sum(one.total for one in estimates.values())
        return replica_choice.Traffic(
            arrivals_per_s=self.others_per_s(service, now),
            least_arrivals_per_s=self._least_arrivals_per_s(service, now),
            preferred_per_s=lambda name: self._preferred_per_s(name, now),
            service_time_s=_service_time_s(
                running, arrivals / request_counts.ARRIVAL_WINDOW_S
            ),
            serving=serving,
            is_fleet_wide=self._has_totals(now),
        )

    def service_load(
        self, service: ids.ServiceId, now: float
    ) -> offered_load.ServiceLoad:
        """Return what all routers ask of a service, and what it completes."""
        if self._has_totals(now):
            return self.offered.of_fleet(service, self._totals, self.hosts, now)
        return self.offered.extrapolated(service, self.hosts, now)

    def all_per_s(self, service: ids.ServiceId, now: float) -> float:
        """Return the expected arrivals per second at all routers."""
        arrivals = self._service_arrivals(service, now)
        return arrivals / request_counts.ARRIVAL_WINDOW_S

    def demand_per_s(self, replica: replicas.ReplicaId, now: float) -> float:
        """Return the demand at all routers for a replica with a rate limit.

        Not below what recent requests show.
        """
        own_per_s = self._demand.per_s(replica, now)
        if self._has_totals(now):
            usual = self._totals.demand.get(replica, 0)
            all_per_s = arrival_rates.raised(
                usual / request_counts.ARRIVAL_WINDOW_S,
                self._totals.recent_demand.get(replica, 0),
            )
            return max(all_per_s, own_per_s)
        recent = self._demand.recent_counts(now).get(replica, 0)
        return arrival_rates.raised(own_per_s, recent) * self.hosts

    def others_per_s(self, service: ids.ServiceId, now: float) -> float:
        """Return the expected arrivals per second at the other routers."""
        return self._service_arrivals(service, now) * self._others_factor()

    def least_others_per_s(self, service: ids.ServiceId, now: float) -> float:
        """Return what the arrivals at the other routers are at least, likely.

        A few arrivals at this router say little of the others.
        """
        seen = self._by_service.count(
            service, request_counts.ARRIVAL_WINDOW_S, now
        )
        if not seen:
            return 0
        certain = max(seen - _DEVIATIONS * math.sqrt(seen), 0)
        return certain / seen * self.others_per_s(service, now)

    def _newest_arrivals_per_s(
        self, service: ids.ServiceId, now: float
    ) -> float:
        """Return the others' rate, corrected by what recent arrivals show."""
        usual_per_s = self.others_per_s(service, now)
        own_recent = self._by_service.recent_counts(now).get(service, 0)
        if self._has_totals(now):
            recent = self._totals.recent_arrived.get(service, 0)
            others_per_s = arrival_rates.corrected(
                usual_per_s, round(recent * self._others_share())
            )
            # The sums are old; a burst shows in the own requests first.
            certain_per_s = arrival_rates.certain_per_s(own_recent)
            return max(others_per_s, certain_per_s * (self.hosts - 1))
        own_per_s = arrival_rates.corrected(
            self._by_service.per_s(service, now), own_recent
        )
        return own_per_s * (self.hosts - 1)

    def _least_arrivals_per_s(
        self, service: ids.ServiceId, now: float
    ) -> float:
        """Return the others' rate, not above what recent arrivals show."""
        if self._has_totals(now):
            recent = self._totals.recent_arrived.get(service, 0)
            usual_per_s = self.others_per_s(service, now)
            return arrival_rates.lowered(
                usual_per_s, round(recent * self._others_share())
            )
        recent = self._by_service.recent_counts(now).get(service, 0)
        own_per_s = self._by_service.per_s(service, now)
        return arrival_rates.lowered(own_per_s, recent) * (self.hosts - 1)

    def _preferred_per_s(self, replica: str, now: float) -> float:
        """Return the others' rate, not below what recent arrivals show."""
        usual_per_s = (
            self._preferred_arrivals(replica, now) * self._others_factor()
        )
        if self._has_totals(now):
            recent = self._totals.recent_first.get(replica, 0)
            return arrival_rates.raised(
                usual_per_s, round(recent * self._others_share())
            )
        name = replicas.ReplicaId(replica)
        recent = self._by_preferred.recent_counts(now).get(name, 0)
        return max(
            usual_per_s, arrival_rates.raised(0, recent) * (self.hosts - 1)
        )

    def _others_share(self) -> float:
        return (self.hosts - 1) / self.hosts

    def _others_factor(self) -> float:
        """Return what turns arrivals at all routers into the others' rate."""
        return self._others_share() / request_counts.ARRIVAL_WINDOW_S

    def _has_totals(self, now: float) -> bool:
        return now - self._totals_at < _FLEET_COUNTS_EXPIRY_S

    def _service_arrivals(self, service: ids.ServiceId, now: float) -> int:
        """Return the fleet's arrivals in :data:`request_counts.ARRIVAL_WINDOW_S`."""
        if self._has_totals(now):
            return self._totals.arrived.get(service, 0)
        return self._by_service.count(service, self._fleet_span_s(), now)

    def _preferred_arrivals(self, replica: str, now: float) -> int:
        """Return the fleet's arrivals for which a replica ranks first."""
        if self._has_totals(now):
            return self._totals.first.get(replica, 0)
        name = replicas.ReplicaId(replica)
        return self._by_preferred.count(name, self._fleet_span_s(), now)

    def _fleet_span_s(self) -> float:
        """Return the time in which one router gets as many arrivals.

        That is, as many as the fleet gets in the arrival window.
        """
        return request_counts.ARRIVAL_WINDOW_S * self.hosts


def _service_time_s(running: float, arrivals_per_s: float) -> float:
    """Return the mean time of a request at a replica, by Little's law."""
    if not arrivals_per_s:
        return _DEFAULT_SERVICE_TIME_S
    return max(running / arrivals_per_s, _MIN_SERVICE_TIME_S)
