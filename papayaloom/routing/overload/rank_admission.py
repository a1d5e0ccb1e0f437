"""Which ranks an overloaded service still admits.

Answers the load pattern of callers of different urgency that together ask for
several times what the replicas can run. Replicas that are simply filled serve
whoever comes first, so the most urgent requests would be rejected as often as
the least urgent ones. Here, demand is taken in the order of precedence until
the capacity is used up. Requests of the precedence at which that happens are
admitted in part.

Callers that repeat a rejected request gain nothing: the draw that decides is the
same for all repetitions within some seconds, at all routers.
"""

import enum
import math
import typing

import msgspec

from papayaloom import hashing, ids
from papayaloom.routing.load import offered_load
from papayaloom.routing.overload import occupancy

# Time for which a decision about the ranks holds.
_UPDATE_S = 0.05
# Sums are up to this old, so a faster correction by the occupancy oscillates.
_MIN_HORIZON_S = 1.5
# Share of the slots that can be busy without long waits.
_UTILISATION = 0.85
# Time constant with which the highest rate of completions is forgotten.
_PEAK_DECAY_S = 60.0
# From this service time on, occupancy and completions tell what can begin.
_SLOW_SERVICE_S = 1.0
# Share of the capacity for requests that are late already. Otherwise, urgent
# callers that return after a burst would keep out what comes after it.
_LATE_SHARE = 0.25
# Share of the capacity that is admitted at least, however many requests wait.
_MIN_SHARE = 0.5
# With fewer places in use nothing is rejected.
_BUSY_SHARE = 0.5
# Repetitions of a request have the same draw for this time.
_DRAW_S = 4
_DRAWS = 2**64


class Standing(enum.Enum):
    """How a request stands among those that ask for a place."""

    # No overload: ranks don't matter.
    UNRANKED = 'unranked'
    # All requests of this precedence are admitted.
    AHEAD = 'ahead'
    # Admitted, but not all of its precedence are.
    MARGINAL = 'marginal'
    # Rejected, but others of its precedence are admitted.
    BEHIND = 'behind'
    # No request of this precedence is admitted.
    EXCLUDED = 'excluded'


class _Decision(msgspec.Struct, frozen=True):
    """Which part of each precedence is admitted.

    :param peak_per_s: highest rate of completions lately.
    :param run_time_s: time that a request runs at a busy replica, by Little's
        law.
    :param limit_per_s: requests a second that all routers may admit.
    :param fractions: admitted fraction by precedence, in ascending order; empty
        if all requests are admitted.
    """

    decided_at: float
    peak_per_s: float
    run_time_s: float
    limit_per_s: float = math.inf
    fractions: dict[offered_load.Precedence, float] = {}

    def fraction(self, precedence: offered_load.Precedence) -> float:
        """Return the admitted fraction, also of a precedence without demand."""
        known = self.fractions.get(precedence)
        if known is None:
            less_urgent = [
                fraction
                for other, fraction in self.fractions.items()
                if other > precedence
            ]
            return less_urgent[0] if less_urgent else 0
        return known


class RankAdmission:
    """The newest decision about the ranks of each service."""

    def __init__(self) -> None:
        """Initialise without decisions."""
        self._decisions: dict[ids.ServiceId, _Decision] = {}

    def standing(
        self,
        service: ids.ServiceId,
        precedence: offered_load.Precedence,
        draw: float,
        use: occupancy.Occupancy,
        service_load: typing.Callable[[], offered_load.ServiceLoad],
        now: float,
    ) -> Standing:
        """Return how a request stands.

        :param draw: 0 to 1; the same for all repetitions of a request.
        :param service_load: called when a new decision is needed.
        """
        decision = self._decisions.get(service)
        if use.expected <= _BUSY_SHARE * use.places and not _is_quick(decision):
            self._end_limit(service, decision)
            return Standing.UNRANKED
        if decision is None or now - decision.decided_at >= _UPDATE_S:
            decision = _decide(use, service_load(), decision, now)
            self._decisions[service] = decision
        if not decision.fractions:
            return Standing.UNRANKED
        fraction = decision.fraction(precedence)
        if fraction >= 1:
            return Standing.AHEAD
        if not fraction:
            return Standing.EXCLUDED
        return Standing.MARGINAL if draw < fraction else Standing.BEHIND

    def run_time_s(self, service: ids.ServiceId) -> float:
        """Return the time that a request runs, without waiting, at most."""
        decision = self._decisions.get(service)
        return math.inf if decision is None else decision.run_time_s

    def is_limited(self, service: ids.ServiceId) -> bool:
        """Whether a service does not admit requests of all ranks."""
        decision = self._decisions.get(service)
        return decision is not None and bool(decision.fractions)

    def limit_per_s(self, service: ids.ServiceId) -> float:
        """Return the requests a second that all routers may admit."""
        decision = self._decisions.get(service)
        return math.inf if decision is None else decision.limit_per_s

    def dump(self) -> dict[str, object]:
        """Return the admitted fractions of services that reject requests."""
        return {
            service: {
                ' '.join(str(one) for one in precedence): round(fraction, 3)
                for precedence, fraction in decision.fractions.items()
            }
            for service, decision in self._decisions.items()
            if decision.fractions
        }

    def _end_limit(
        self, service: ids.ServiceId, decision: _Decision | None
    ) -> None:
        """Drop the fractions of a service that is no longer overloaded."""
        if decision is not None and decision.fractions:
            self._decisions[service] = msgspec.structs.replace(
                decision, limit_per_s=math.inf, fractions={}
            )


def _is_quick(decision: _Decision | None) -> bool:
    """Whether the occupancy is outdated before it is known."""
    if decision is None or not decision.fractions:
        return False
    return decision.run_time_s < _SLOW_SERVICE_S / 2


def draw(fingerprint: ids.Fingerprint, wall_s: float) -> float:
    """Return the draw of a request, 0 to 1.

    :param wall_s: Unix time. All hosts' clocks show nearly the same, so a
        caller gains nothing by asking another host.
    """
    # The start of the interval depends on the request, so that the draws of all
    # requests do not change at once.
    offset = hashing.weight(fingerprint, '') / _DRAWS
    interval = int(wall_s / _DRAW_S + offset)
    return hashing.weight(fingerprint, str(interval)) / _DRAWS


def _decide(
    use: occupancy.Occupancy,
    load: offered_load.ServiceLoad,
    before: _Decision | None,
    now: float,
) -> _Decision:
    peak_per_s = max(load.recently_per_s, _decayed_peak_per_s(before, now))
    run_time_s = use.slots / peak_per_s if peak_per_s else math.inf
    fractions: dict[offered_load.Precedence, float] = {}
    limit_per_s = math.inf
    if load.service_time_s is not None:
        limit_per_s = _limit_per_s(use, load, load.service_time_s, peak_per_s)
        fractions = _fractions(load.demand_per_s, limit_per_s)
    return _Decision(now, peak_per_s, run_time_s, limit_per_s, fractions)


def _fractions(
    demand_per_s: dict[offered_load.Precedence, float], limit_per_s: float
) -> dict[offered_load.Precedence, float]:
    """Return the admitted fraction of each precedence; empty if all are."""
    if sum(demand_per_s.values()) <= limit_per_s:
        return {}
    fractions = {}
    late_per_s = _LATE_SHARE * limit_per_s
    for precedence in sorted(demand_per_s):
        admitted_per_s = min(demand_per_s[precedence], limit_per_s)
        if precedence[-1]:
            admitted_per_s = min(admitted_per_s, late_per_s)
            late_per_s -= admitted_per_s
        limit_per_s -= admitted_per_s
        # A single recent request shows no demand.
        fractions[precedence] = admitted_per_s / (
            demand_per_s[precedence] or math.inf
        )
    return fractions


def _decayed_peak_per_s(before: _Decision | None, now: float) -> float:
    if before is None:
        return 0
    age_s = now - before.decided_at
    return before.peak_per_s * math.exp(-age_s / _PEAK_DECAY_S)


def _limit_per_s(
    use: occupancy.Occupancy,
    load: offered_load.ServiceLoad,
    service_time_s: float,
    peak_per_s: float,
) -> float:
    """Return the requests a second that the service can begin.

    Of a slow service, occupancy and completions are known well enough. Of a
    quick one, the occupancy is outdated, so the capacity follows from its slots,
    or from what it has completed: where requests wait, they take longer, but as
    many end.
    """
    slow_share = min(service_time_s / _SLOW_SERVICE_S, 1)
    quick_per_s = _UTILISATION * max(use.slots / service_time_s, peak_per_s)
    capacity_per_s = (
        slow_share * max(load.completed_per_s, load.recently_per_s)
        + (1 - slow_share) * quick_per_s
    )
    horizon_s = max(service_time_s, _MIN_HORIZON_S)
    correction = (use.slots - use.expected) / horizon_s
    # At the start of a burst, completions are still those of the calm before.
    least_per_s = _MIN_SHARE * max(capacity_per_s, quick_per_s)
    return max(capacity_per_s + correction, least_per_s)
