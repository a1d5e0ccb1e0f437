"""Choice of the replica for a request, made by each router independently.

Covers three load patterns. Requests that share a prompt prefix go to the same
replica until its load clearly exceeds the mean. Plain calls go to replicas with
little load. Many routers with the same outdated load data must not all choose
the least loaded replica at once. All routers use the same rendezvous ranking,
so they agree on a replica without communicating.
"""

import enum
import math
import random
import typing

import msgspec

from papayaloom import hashing
from papayaloom.routing import replicas
from papayaloom.routing.limits import limited_choice, rate_shares
from papayaloom.routing.load import load_estimates

# Beyond these ranks, the prefix gives no replica an advantage.
_MAX_PREFERRED = 4
# Old load still counts to this extent: a replica that was busy may be slow.
_MIN_REMAINING_FRACTION = 0.3
# Fleet-wide sums pass through several hosts, so they are older than a replica's
# own reports and need more headroom, in standard deviations.
_FLEET_DEVIATIONS = 2.0
_LOCAL_DEVIATIONS = 1.0
_MAX_SLOWDOWN = 4


class Cfg(msgspec.Struct, frozen=True):
    """Bounds on the preference for a replica that has the prefix.

    :param factor: multiple of the mean load up to which it is preferred.
    :param slack: requests allowed on top of that.
    """

    factor: float = 2
    slack: float = 3


class Traffic(msgspec.Struct, frozen=True):
    """Requests that the other routers are expected to place concurrently.

    :param arrivals_per_s: arrivals per second for the whole service.
    :param least_arrivals_per_s: the same, lowered at once when traffic falls.
    :param preferred_per_s: returns the arrivals per second whose prefix ranks
        a given replica first, raised at once when traffic rises.
    :param service_time_s: mean time that a request spends at a replica.
    :param serving: replicas that share the arrivals; some of them may be no
        candidates of a request.
    :param is_fleet_wide: the rates are sums over all routers; otherwise they
        are extrapolated from this router's own, which is too imprecise for a
        single replica.
    """

    arrivals_per_s: float
    least_arrivals_per_s: float
    preferred_per_s: typing.Callable[[str], float]
    service_time_s: float
    serving: typing.Sequence[replicas.Replica]
    is_fleet_wide: bool


class Choice(msgspec.Struct, frozen=True):
    """The chosen replica, and one that may have the prompt prefix cached.

    :param source: replica to copy the prefix cache from; None if not useful.
    :param estimate: estimated load of the chosen replica.
    :param mean: mean load that the candidates have at least, likely.
    :param bound: load up to which a replica with the prefix is preferred; 0 for
        a request without a prefix.
    :param preferred_per_s: arrivals per second at the other routers for which
        the chosen replica ranks first.
    :param preferred: the candidate that ranks first for the prefix.
    """

    replica: replicas.Replica
    estimate: load_estimates.LoadEstimate
    source: replicas.Replica | None = None
    mean: float = 0
    bound: float = 0
    preferred_per_s: float = 0
    preferred: replicas.Replica | None = None


class Spread(enum.Enum):
    """Replicas beyond the preferred ones that get requests with a prefix."""

    LEAST_LOADED = 'least loaded'
    # In the order of the ranking, so that a prefix is on as few as possible.
    BY_RANK = 'by rank'
    NONE = 'none'


class Crowding(msgspec.Struct, frozen=True):
    """How the replicas of an overloaded service are chosen.

    :param spread: on which replicas a prefix is placed when the preferred ones
        have no room.
    :param places: requests that a replica may have, as a multiple of the
        slots that it has at its present speed; it may have no more than the
        bound in any case.
    """

    spread: Spread = Spread.LEAST_LOADED
    places: float = math.inf


class Eligible(msgspec.Struct, frozen=True):
    """Replicas that are considered for a request.

    :param candidates: replicas that may get the request; at least one.
    :param prefix_holders: replicas that may have its prefix cached, including
        draining ones.
    :param recently_started: replicas too new to have the prefix cached.
    :param limited: replicas that named a rate limit.
    :param crowding: how replicas are chosen while the service is overloaded.
    """

    candidates: typing.Sequence[replicas.Replica]
    prefix_holders: typing.Sequence[replicas.Replica] = ()
    recently_started: frozenset[str] = frozenset()
    limited: rate_shares.LimitedReplicas = {}
    crowding: Crowding = Crowding()


def choose(
    eligible: Eligible,
    estimates: dict[str, load_estimates.LoadEstimate],
    traffic: Traffic,
    prefix: str,
    cfg: Cfg,
    rng: random.Random,
) -> Choice | None:
    """Return the replica for a request; None if no preferred one has room.

    Only a request that may not spread can get none.

    :param prefix: name of the shared prefix, or empty.
    """
    mean = _likely_mean(eligible.candidates, estimates, traffic)
    if not prefix:
        chosen = _water_fill(eligible.candidates, estimates, traffic, rng)
        return Choice(chosen, estimates[chosen.id], mean=mean)
    ranked = _ranked(eligible, prefix)
    by_rank = _candidates_by_rank(eligible, ranked)
    bound = cfg.factor * mean + cfg.slack
    preferred = _preferred(eligible, ranked, by_rank)
    under_bound = _under_bound(
        preferred, estimates, traffic, bound, eligible.crowding, rng
    )
    if under_bound is None and eligible.crowding.spread is Spread.NONE:
        return None
    chosen = under_bound or _water_fill(
        eligible.candidates, estimates, traffic, rng
    )
    source = _copy_source(eligible, ranked, chosen)
    return Choice(
        chosen,
        estimates[chosen.id],
        source,
        mean,
        bound,
        traffic.preferred_per_s(chosen.id),
        by_rank[0],
    )


def _likely_mean(
    candidates: typing.Sequence[replicas.Replica],
    estimates: dict[str, load_estimates.LoadEstimate],
    traffic: Traffic,
) -> float:
    """Return the mean load that the candidates have at least, likely.

    A replica that is kept at the bound exceeds it by every error of the mean, so
    the mean is taken one standard deviation low.
    """
    known = [estimates[one.id] for one in candidates]
    service_time_s = traffic.service_time_s
    arrivals_per_s = traffic.least_arrivals_per_s / len(traffic.serving)
    expected = sum(
        one.expected_total(service_time_s, arrivals_per_s) for one in known
    )
    reported = sum(one.total for one in known)
    variance = sum(
        one.variance(service_time_s, arrivals_per_s) for one in known
    )
    likely = min(expected, reported) - math.sqrt(variance)
    return max(likely, 0) / len(known)


def _copy_source(
    eligible: Eligible,
    ranked: list[replicas.Replica],
    chosen: replicas.Replica,
) -> replicas.Replica | None:
    """Return the highest ranked other replica that is not new.

    Also for the first in rank: after a restart, an ejection or an overflow,
    another replica may have what it lacks. Nothing is copied that the chosen
    replica has.
    """
    for one in ranked:
        if one.id not in eligible.recently_started and one is not chosen:
            return one
    return None


def _ranked(eligible: Eligible, prefix: str) -> list[replicas.Replica]:
    """Return the replicas in the order of their rank for a prefix."""
    known = {
        one.id: one for one in (*eligible.prefix_holders, *eligible.candidates)
    }
    if not eligible.limited:
        return [known[name] for name in hashing.rank(prefix, known, len(known))]
    shares = limited_choice.prefix_shares(known, eligible.limited)
    return [known[name] for name in hashing.weighted_rank(prefix, shares)]


def _candidates_by_rank(
    eligible: Eligible, ranked: list[replicas.Replica]
) -> list[replicas.Replica]:
    allowed = {one.id for one in eligible.candidates}
    return [one for one in ranked if one.id in allowed]


def _preferred(
    eligible: Eligible,
    ranked: list[replicas.Replica],
    by_rank: list[replicas.Replica],
) -> list[replicas.Replica]:
    """Return the candidates that may be chosen for their rank."""
    if eligible.crowding.spread is Spread.LEAST_LOADED:
        return by_rank[:_MAX_PREFERRED]
    if eligible.crowding.spread is Spread.BY_RANK:
        return by_rank
    first = ranked[:_MAX_PREFERRED]
    return [one for one in by_rank if one in first]


def _under_bound(
    by_rank: list[replicas.Replica],
    estimates: dict[str, load_estimates.LoadEstimate],
    traffic: Traffic,
    bound: float,
    crowding: Crowding,
    rng: random.Random,
) -> replicas.Replica | None:
    """Return a high-ranked candidate that is likely to stay under the bound.

    All routers send to the same replica concurrently, so each sends it only
    that fraction of its requests which keeps their sum under the bound.

    :param by_rank: candidates in the order of their rank for the prefix.
    """
    overflow: float = 0
    for one in by_rank:
        estimate = estimates[one.id]
        arrivals_per_s = traffic.preferred_per_s(one.id)
        service_time_s = _replica_service_time_s(
            estimate, arrivals_per_s, traffic.service_time_s
        )
        remaining_fraction = estimate.remaining_fraction(service_time_s)
        arriving = (
            overflow
            + (1 - remaining_fraction) * service_time_s * arrivals_per_s
        )
        known = estimate.own + estimate.others * remaining_fraction
        room = min(
            bound - 1 - known - _headroom(arriving, bound, traffic),
            _free_places(one, estimate, crowding, known)
            - _LOCAL_DEVIATIONS * math.sqrt(arriving),
        )
        if room >= arriving or rng.random() * arriving < room:
            if room > 0:
                return one
        overflow = arriving - max(room, 0)
    return None


def _free_places(
    replica: replicas.Replica,
    estimate: load_estimates.LoadEstimate,
    crowding: Crowding,
    known: float,
) -> float:
    """Return the free places of a replica beside that of the request.

    :param known: requests that the replica still has.
    """
    if math.isinf(crowding.places) or not replica.slots:
        return math.inf
    slots = replica.slots / estimate.slowdown
    if crowding.spread is Spread.BY_RANK:
        # Replicas order what waits by priority, so it does not delay the
        # request. Otherwise all would go to the few replicas without a queue.
        known = min(known, slots)
    return crowding.places * slots - 1 - known


def _replica_service_time_s(
    estimate: load_estimates.LoadEstimate, arrivals_per_s: float, mean_s: float
) -> float:
    """Return the service time of a replica that may be slow.

    Derived from its load and arrivals by Little's law, and limited to
    :data:`_MAX_SLOWDOWN` times the mean.
    """
    if not arrivals_per_s:
        return mean_s
    observed_s = estimate.total / arrivals_per_s
    return min(max(observed_s, mean_s), _MAX_SLOWDOWN * mean_s)


def _headroom(arriving: float, bound: float, traffic: Traffic) -> float:
    """Return the room to reserve for the variance of the arrivals."""
    deviations = _LOCAL_DEVIATIONS
    if traffic.is_fleet_wide:
        deviations = _FLEET_DEVIATIONS
    return deviations * math.sqrt(min(arriving, bound))


def _water_fill(
    candidates: typing.Sequence[replicas.Replica],
    estimates: dict[str, load_estimates.LoadEstimate],
    traffic: Traffic,
    rng: random.Random,
) -> replicas.Replica:
    """Return a random replica, weighted by its room below the water level.

    Together, the choices of all routers even out the loads.
    """
    loads: dict[str, float] = {}
    expected_arrivals: float = 0
    for candidate in candidates:
        estimate = estimates[candidate.id]
        remaining_fraction = estimate.remaining_fraction(traffic.service_time_s)
        load = estimate.own + estimate.others * max(
            remaining_fraction, _MIN_REMAINING_FRACTION
        )
        # Time that the request would take, in requests at a usual machine.
        loads[candidate.id] = (load + 1) * estimate.slowdown - 1
        expected_arrivals += (
            (1 - remaining_fraction)
            * traffic.service_time_s
            * traffic.arrivals_per_s
        )
    expected_arrivals /= len(traffic.serving)
    level = _water_level(sorted(loads.values()), expected_arrivals)
    rooms = [level - loads[one.id] for one in candidates]
    if max(rooms) <= 0:
        return _least_loaded(candidates, loads, rng)
    return rng.choices(candidates, [max(room, 0) for room in rooms])[0]


def _water_level(loads: list[float], added: float) -> float:
    """Return the level that fills the lowest loads with the added load.

    :param loads: in ascending order.
    """
    total = added
    level = loads[0]
    for count, load in enumerate(loads, 1):
        total += load
        level = total / count
        if count == len(loads) or level <= loads[count]:
            break
    return level


def _least_loaded(
    candidates: typing.Sequence[replicas.Replica],
    loads: dict[str, float],
    rng: random.Random,
) -> replicas.Replica:
    lowest = min(loads[one.id] for one in candidates)
    return rng.choice([one for one in candidates if loads[one.id] <= lowest])
