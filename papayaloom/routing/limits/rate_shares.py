"""What part of its traffic a router sends to replicas that named a rate limit.

All routers together may send a replica no more than its limit, and each decides
alone. A limited replica comes first in rank for as many prompt prefixes as its
limit allows. Of the requests for which it comes first, each router sends it the
part that the limit is of the demand at all routers. A router that saved up unused
permits instead could spend them at the same time as all others.
"""

import math
import random
import typing

import msgspec

from papayaloom.routing import replicas
from papayaloom.routing.limits import rate_limits

# Time over which the routers' requests together stay within a limit.
_WINDOW_S = 4.0
# Even a replica that takes nothing gets a request now and then; only its
# responses tell when it takes more.
_MIN_PER_S = 0.1
# Variance of the requests of a router that sends many of them in a window.
_MAX_ROUTER_VARIANCE = 0.25
_MIN_UTILISATION = 0.5
_MAX_REPLICAS = 4096


class Limited(msgspec.Struct, frozen=True):
    """A replica with a rate limit.

    :param per_s: requests per second that all routers may send it.
    :param share: its share in the prompt prefixes; 1 is the share of a replica
        without a limit.
    """

    per_s: float
    share: float


LimitedReplicas = dict[replicas.ReplicaId, Limited]


class RateShares:
    """Fractions of requests that one router owes to limited replicas."""

    def __init__(self, rng: random.Random) -> None:
        """Initialise without replicas."""
        self._rng = rng
        self._fractions: dict[replicas.ReplicaId, float] = {}

    def admits(
        self,
        replica: replicas.ReplicaId,
        limited: Limited,
        demand_per_s: float,
    ) -> bool:
        """Tell whether a limited replica gets a request, and count it.

        :param demand_per_s: requests per second at all routers for which the
            replica comes first.
        """
        part = min(limited.per_s / demand_per_s, 1)
        fraction = self._fractions.pop(replica, None)
        if fraction is None:
            fraction = self._rng.random()
        fraction += part
        is_admitted = fraction >= 1
        # The least recently used replica is dropped first.
        self._fractions[replica] = fraction - is_admitted
        if len(self._fractions) > _MAX_REPLICAS:
            self._fractions.pop(next(iter(self._fractions)))
        return is_admitted


def limited_replicas(
    ready: typing.Sequence[replicas.Replica],
    limits: rate_limits.RateLimits,
    arrivals_per_s: float,
    hosts: int,
    now: float,
) -> LimitedReplicas:
    """Return the replicas of a service that have a limit.

    :param arrivals_per_s: requests per second for the service at all routers.
    :param hosts: number of routers.
    """
    rates = {
        one.id: _fleet_rate_per_s(limits.per_s(one, now), hosts)
        for one in ready
        if limits.has_limit(one, now)
    }
    if not rates:
        return {}
    full_per_s = max(rates.values())
    unlimited = len(ready) - len(rates)
    if unlimited:
        left_per_s = arrivals_per_s - sum(rates.values())
        full_per_s = max(left_per_s / unlimited, arrivals_per_s / len(ready))
    return {
        name: Limited(rate, min(rate / full_per_s, 1) if full_per_s else 1)
        for name, rate in rates.items()
    }


def _fleet_rate_per_s(limit_per_s: float, hosts: int) -> float:
    """Return the requests per second that all routers send to a replica.

    This is one standard deviation below the limit, since the routers decide
    independently.
    """
    limit_per_s = max(limit_per_s, _MIN_PER_S)
    allowed = limit_per_s * _WINDOW_S
    deviation = math.sqrt(min(allowed, _MAX_ROUTER_VARIANCE * hosts))
    return limit_per_s * max(1 - deviation / allowed, _MIN_UTILISATION)
