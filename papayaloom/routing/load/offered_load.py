"""Demand for each service by precedence, and what its replicas complete.

Answers the load pattern of an overload of which each router sees a part: the
demand counts all requests that ask for a place, also those that are rejected.
Routers of a large fleet exchange their counts; otherwise a router multiplies
its own by the number of routers.
"""

import typing

import msgspec

from papayaloom import ids
from papayaloom.routing.load import (
    arrival_rates,
    moving_averages,
    request_counts,
)

# Order in which requests are admitted, the lowest first: priority of the
# organisation or else of the route, priority of the route, and 1 for a request
# that is late already, otherwise 0.
Precedence = tuple[int, int, int]
_MS_PER_S = 1000


class ServiceLoad(msgspec.Struct, frozen=True):
    """What a service is asked for and what it does, at all routers.

    :param demand_per_s: requests a second by precedence.
    :param completed_per_s: requests that end a second.
    :param recently_per_s: the same, of the last moment, as far as it is
        certain.
    :param service_time_s: mean time that a request spends at a replica; None
        before the first has ended.
    """

    demand_per_s: dict[Precedence, float]
    completed_per_s: float
    recently_per_s: float
    service_time_s: float | None


class RankedService(msgspec.Struct, frozen=True):
    """Load of a service in a deployment whose requests differ in rank.

    :param arrivals_per_s: requests a second that the other routers place,
        corrected by the newest counts.
    :param service_time_s: as in :class:`ServiceLoad`.
    :param load: returns the load; called when it is needed.
    """

    arrivals_per_s: float
    service_time_s: float | None
    load: typing.Callable[[], ServiceLoad]


class OfferedLoad:
    """Counts of one router, and the sums over all routers."""

    def __init__(self) -> None:
        """Initialise without requests."""
        self._offered: arrival_rates.ArrivalRates[str] = (
            arrival_rates.ArrivalRates()
        )
        self._completed: arrival_rates.ArrivalRates[ids.ServiceId] = (
            arrival_rates.ArrivalRates()
        )
        self._service_times_s: moving_averages.MovingAverages[ids.ServiceId] = (
            moving_averages.MovingAverages()
        )
        self._ranks: set[tuple[int, int]] = set()

    @property
    def has_ranks(self) -> bool:
        """Whether requests of more than one rank have been seen."""
        return len(self._ranks) > 1

    def record_offered(
        self, service: ids.ServiceId, precedence: Precedence, now: float
    ) -> None:
        """Count a request that asks for a place."""
        self._ranks.add(precedence[:2])
        self._offered.record(_key(service, precedence), now)

    def record_completed(
        self, service: ids.ServiceId, duration_s: float, now: float
    ) -> None:
        """Count a request that a replica has run."""
        self._completed.record(service, now)
        self._service_times_s.add(service, duration_s)

    def complete(
        self, counts: request_counts.RequestCounts, now: float
    ) -> request_counts.RequestCounts:
        """Return the counts of this router with those of this module."""
        span_s = request_counts.ARRIVAL_WINDOW_S
        completed = self._completed.counts(span_s, now)
        return msgspec.structs.replace(
            counts,
            offered=self._offered.counts(span_s, now),
            recent_offered=self._offered.recent_counts(now),
            completed=completed,
            worked_ms={
                service: round(count * self._service_time_ms(service))
                for service, count in completed.items()
            },
            recent_completed=self._completed.recent_counts(now),
        )

    def of_fleet(
        self,
        service: ids.ServiceId,
        totals: request_counts.RequestCounts,
        hosts: int,
        now: float,
    ) -> ServiceLoad:
        """Return the load of a service from the counts of all routers."""
        completed = totals.completed.get(service, 0)
        demand_per_s = _by_precedence(
            service,
            totals.offered,
            totals.recent_offered,
            request_counts.ARRIVAL_WINDOW_S,
        )
        return ServiceLoad(
            _raised(demand_per_s, self._certain_per_s(service, now) * hosts),
            completed / request_counts.ARRIVAL_WINDOW_S,
            arrival_rates.raised(0, totals.recent_completed.get(service, 0)),
            self.service_time_s(service, totals),
        )

    def extrapolated(
        self, service: ids.ServiceId, hosts: int, now: float
    ) -> ServiceLoad:
        """Return the load of a service as this router's, times the routers."""
        offered = self._offered.counts(request_counts.ARRIVAL_WINDOW_S, now)
        own = _by_precedence(
            service,
            offered,
            self._offered.recent_counts(now),
            request_counts.ARRIVAL_WINDOW_S,
        )
        return ServiceLoad(
            {one: per_s * hosts for one, per_s in own.items()},
            self._completed.per_s(service, now) * hosts,
            arrival_rates.raised(
                0, self._completed.recent_counts(now).get(service, 0)
            )
            * hosts,
            self.service_time_s(service),
        )

    def service_time_s(
        self,
        service: ids.ServiceId,
        totals: request_counts.RequestCounts | None = None,
    ) -> float | None:
        """Return the mean time that a request spends at a replica.

        :param totals: counts of all routers; None if there are none.
        """
        completed = totals.completed.get(service, 0) if totals else 0
        if not totals or not completed:
            return self._service_times_s.get(service, 0) or None
        return totals.worked_ms.get(service, 0) / completed / _MS_PER_S

    def _certain_per_s(self, service: ids.ServiceId, now: float) -> float:
        """Return the demand that the newest requests show at least."""
        recent = self._offered.recent_counts(now)
        return arrival_rates.certain_per_s(
            sum(
                count
                for key, count in recent.items()
                if key.rsplit(' ', 3)[0] == service
            )
        )

    def _service_time_ms(self, service: str) -> float:
        name = ids.ServiceId(service)
        return self._service_times_s.get(name, 0) * _MS_PER_S


def _key(service: str, precedence: Precedence) -> str:
    return ' '.join((service, *(str(one) for one in precedence)))


def _by_precedence(
    service: str,
    offered: typing.Mapping[str, int],
    recent: typing.Mapping[str, int],
    span_s: float,
) -> dict[Precedence, float]:
    """Return the rates of a service, corrected by the recent requests."""
    rates: dict[Precedence, float] = {}
    keys = {*offered, *recent}
    for key in keys:
        precedence = _precedence(key, service)
        if precedence is not None:
            rates[precedence] = arrival_rates.corrected(
                offered.get(key, 0) / span_s, recent.get(key, 0)
            )
    return rates


def _precedence(key: str, service: str) -> Precedence | None:
    """Return the precedence in a key; None if it is of another service.

    Other hosts may run a version that writes keys of another form.
    """
    name, *levels = key.rsplit(' ', 3)
    if name != service:
        return None
    try:
        first, second, third = (int(one) for one in levels)
    except ValueError:
        return None
    return first, second, third


def _raised(
    demand_per_s: dict[Precedence, float], certain_per_s: float
) -> dict[Precedence, float]:
    """Return a demand that is at least a rate, with the same proportions."""
    total_per_s = sum(demand_per_s.values())
    if not total_per_s or certain_per_s <= total_per_s:
        return demand_per_s
    factor = certain_per_s / total_per_s
    return {one: per_s * factor for one, per_s in demand_per_s.items()}
