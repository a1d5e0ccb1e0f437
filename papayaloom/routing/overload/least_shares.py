"""The share of an overloaded service that every organisation gets at least.

Answers the load pattern of organisations whose requests are all less urgent
than what others ask for: by rank alone, they would be served nothing for as long
as the overload lasts. An organisation that gets less than a quarter of the mean
share is admitted regardless of its ranks, up to that.
"""

from papayaloom import ids
from papayaloom.routing.load import arrival_rates

_LEAST_SHARE = 0.25
# Long enough to see that an organisation with little traffic gets its share.
_DECAY_TIME_S = 10.0
# An organisation with a lower rate has sent nothing for about half a minute.
_IDLE_PER_S = 0.005


class LeastShares:
    """Requests by organisation, and those that were admitted, of one router."""

    def __init__(self) -> None:
        """Initialise without requests."""
        self._offered: arrival_rates.ArrivalRates[str] = (
            arrival_rates.ArrivalRates(_DECAY_TIME_S)
        )
        self._admitted: arrival_rates.ArrivalRates[str] = (
            arrival_rates.ArrivalRates(_DECAY_TIME_S)
        )
        self._organisations: dict[ids.ServiceId, set[str]] = {}

    def record_offered(
        self, service: ids.ServiceId, organisation: str, now: float
    ) -> None:
        """Count a request that asks for a place."""
        self._organisations.setdefault(service, set()).add(organisation)
        self._offered.record(_key(service, organisation), now)

    def record_admitted(
        self, service: ids.ServiceId, organisation: str, now: float
    ) -> None:
        """Count an admitted request."""
        self._admitted.record(_key(service, organisation), now)

    def fraction(
        self,
        service: ids.ServiceId,
        organisation: str,
        limit_per_s: float,
        now: float,
    ) -> float:
        """Return the fraction of requests to admit regardless of their ranks.

        :param limit_per_s: requests a second that this router may admit.
        """
        active = len(self._active(service, now))
        if not organisation or active < 2:
            return 0
        key = _key(service, organisation)
        # What is admitted here counts as admitted, so that it settles at half.
        wanted_per_s = 2 * _LEAST_SHARE * limit_per_s / active
        missing_per_s = wanted_per_s - self._admitted.per_s(key, now)
        return max(missing_per_s, 0) / self._offered.per_s(key, now)

    def _active(self, service: ids.ServiceId, now: float) -> list[str]:
        """Return the organisations with recent requests; forget idle ones."""
        active = []
        for one in tuple(self._organisations.get(service, ())):
            per_s = self._offered.per_s(_key(service, one), now)
            if per_s > 1 / _DECAY_TIME_S:
                active.append(one)
            elif per_s < _IDLE_PER_S:
                self._organisations[service].discard(one)
                self._offered.forget(_key(service, one))
                self._admitted.forget(_key(service, one))
        return active


def _key(service: ids.ServiceId, organisation: str) -> str:
    return f'{service} {organisation}'
