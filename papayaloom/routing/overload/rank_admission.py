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
_MIN_HORIZON_S = 1.0
# Share of the slots that can be busy without long waits.
_UTILISATION = 0.95
# Time constant with which the highest rate of completions is forgotten.
_PEAK_DECAY_S = 60.0
# From this service time on, occupancy and completions tell what can begin.
_SLOW_SERVICE_S = 1.0
# Share of the capacity that is admitted at least, however many requests wait.
_MIN_SHARE = 0.1
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
    BEHIND = 'behind'


class _Cut(msgspec.Struct, frozen=True):
    """The precedence up to which requests are admitted.

    :param peak_per_s: highest rate of completions lately.
    :param run_time_s: time that a request runs at a busy replica, by Little's
        law.
    :param marginal: None if all requests are admitted.
    :param fraction: of the marginal precedence that is admitted.
    """

    decided_at: float
    peak_per_s: float
    run_time_s: float
    marginal: offered_load.Precedence | None = None
    fraction: float = 1


class RankAdmission:
    """The newest decision about the ranks of each service."""

    def __init__(self) -> None:
        """Initialise without decisions."""
        self._cuts: dict[ids.ServiceId, _Cut] = {}

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
        cut = self._cuts.get(service)
        is_overloaded = cut is not None and cut.marginal is not None
        if use.expected <= _BUSY_SHARE * use.places and not is_overloaded:
            return Standing.UNRANKED
        if cut is None or now - cut.decided_at >= _UPDATE_S:
            cut = _decide(use, service_load(), cut, now)
            self._cuts[service] = cut
        if cut.marginal is None:
            return Standing.UNRANKED
        if precedence < cut.marginal:
            return Standing.AHEAD
        if precedence == cut.marginal and draw < cut.fraction:
            return Standing.MARGINAL
        return Standing.BEHIND

    def run_time_s(self, service: ids.ServiceId) -> float:
        """Return the time that a request runs, without waiting, at most."""
        cut = self._cuts.get(service)
        return math.inf if cut is None else cut.run_time_s

    def dump(self) -> dict[str, object]:
        """Return the decisions of the services that reject requests."""
        return {
            service: {'marginal': cut.marginal, 'fraction': cut.fraction}
            for service, cut in self._cuts.items()
            if cut.marginal is not None
        }


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
    before: _Cut | None,
    now: float,
) -> _Cut:
    peak_per_s = max(load.recently_per_s, _decayed_peak_per_s(before, now))
    run_time_s = use.slots / peak_per_s if peak_per_s else math.inf
    all_admitted = _Cut(now, peak_per_s, run_time_s)
    if load.service_time_s is None:
        return all_admitted
    remaining_per_s = _limit_per_s(use, load, load.service_time_s, peak_per_s)
    for precedence in sorted(load.demand_per_s):
        demand_per_s = load.demand_per_s[precedence]
        if demand_per_s > remaining_per_s:
            fraction = remaining_per_s / demand_per_s
            return _Cut(now, peak_per_s, run_time_s, precedence, fraction)
        remaining_per_s -= demand_per_s
    return all_admitted


def _decayed_peak_per_s(before: _Cut | None, now: float) -> float:
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
        slow_share * load.completed_per_s + (1 - slow_share) * quick_per_s
    )
    horizon_s = max(service_time_s, _MIN_HORIZON_S)
    correction = (use.target - use.expected) / horizon_s
    return max(capacity_per_s + correction, _MIN_SHARE * capacity_per_s)
