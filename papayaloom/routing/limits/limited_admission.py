"""Which replicas a request may go to when some named a rate limit."""

import random
import typing

from papayaloom import ids
from papayaloom.routing import dispatch_messages, replicas
from papayaloom.routing.limits import limited_choice, rate_limits, rate_shares
from papayaloom.routing.load import fleet_traffic


class LimitedAdmission:
    """Rate limits of the replicas, and this router's share of them."""

    def __init__(
        self,
        limits: rate_limits.RateLimits,
        traffic: fleet_traffic.FleetTraffic,
        rng: random.Random,
    ) -> None:
        """Initialise without shares."""
        self._limits = limits
        self._traffic = traffic
        self._rng = rng
        self._shares = rate_shares.RateShares(rng)

    def limited(
        self,
        service: ids.ServiceId,
        ready: typing.Sequence[replicas.Replica],
        now: float,
    ) -> rate_shares.LimitedReplicas:
        """Return the replicas of a service that have a limit."""
        return rate_shares.limited_replicas(
            ready,
            self._limits,
            self._traffic.all_per_s(service, now),
            self._traffic.hosts,
            now,
        )

    def allowed(
        self,
        request: dispatch_messages.PlacementRequest,
        ready: typing.Sequence[replicas.Replica],
        admitted: list[replicas.Replica],
        limited: rate_shares.LimitedReplicas,
        now: float,
    ) -> list[replicas.Replica]:
        """Return the admitted replicas whose limits allow a request.

        A hedge goes to replicas without a limit only, and takes no share.
        """
        if not limited or request.hedge_of:
            return admitted
        first = limited_choice.first_in_rank(
            ready, limited, request.prefix, self._rng
        )
        limit = limited.get(first.id)
        if limit is not None:
            self._traffic.record_demand(first.id, now)
            demand_per_s = self._traffic.demand_per_s(first.id, now)
            if first in admitted and self._shares.admits(
                first.id, limit, demand_per_s
            ):
                return [first]
        return [one for one in admitted if one.id not in limited]
