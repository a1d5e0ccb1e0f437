"""Which replica gets a request, decided by each router alone.

Answers three load patterns: many requests that share a prompt prefix, which
belong on one replica until it is clearly busier than the others; plain calls,
which belong where little is running; and many routers that read the same old
loads, which must not run to the emptiest replica together. All routers rank
the replicas alike, so they agree without a word between them.
"""

import math
import random
import typing

import msgspec

from papayaloom import hashing
from papayaloom.process import replicas, sightings

# Further ones are as good as any other replica.
_MOST_PREFERRED = 4
# A replica that was busy stays suspect: it may be slow.
_LEAST_FADING = 0.3
# Sums come over several hosts and are older than a replica's own reports.
_SUMS_DEVIATIONS = 2.0
_REPORTS_DEVIATIONS = 1.0
_MOST_SLOWNESS = 4


class Cfg(msgspec.Struct, frozen=True):
    """Bounds on the preference for a replica that has the prefix.

    :param factor: multiple of the mean load up to which it is preferred.
    :param slack: requests above that.
    """

    factor: float = 2
    slack: float = 3


class Traffic(msgspec.Struct, frozen=True):
    """Requests that other routers are likely to place meanwhile.

    :param per_s: arrivals at the whole service, in a second.
    :param first_per_s: returns those for which a replica is first in rank.
    :param work_s: mean time that a request stays at a replica.
    :param is_summed: the rates are sums over all routers; else they are
        guessed from this router's own, too roughly for a single replica.
    """

    per_s: float
    first_per_s: typing.Callable[[str], float]
    work_s: float
    is_summed: bool


class Choice(msgspec.Struct, frozen=True):
    """A replica, and another one that may have the prompt's prefix cached.

    :param source: the replica to copy from; None when there is no use in it.
    :param load: estimated requests at the replica.
    :param mean: mean of the estimates over the candidates.
    :param first: the candidate that is first in rank for the prefix.
    """

    replica: replicas.Replica
    source: replicas.Replica | None = None
    load: float = 0
    mean: float = 0
    first: replicas.Replica | None = None


class Offer(msgspec.Struct, frozen=True):
    """Replicas among which a request is placed.

    :param candidates: may get the request; at least one.
    :param holders: may have its prefix cached, draining replicas included.
    :param newcomers: too new to have had it.
    """

    candidates: typing.Sequence[replicas.Replica]
    holders: typing.Sequence[replicas.Replica] = ()
    newcomers: frozenset[str] = frozenset()


def choose(
    offer: Offer,
    sight: dict[str, sightings.Sighting],
    traffic: Traffic,
    prefix: str,
    cfg: Cfg,
    rng: random.Random,
) -> Choice:
    """Return the replica for a request.

    :param prefix: name of the shared prefix, or empty.
    """
    mean = sum(sight[one.id].total for one in offer.candidates) / len(
        offer.candidates
    )
    if not prefix:
        chosen = _levelled(offer.candidates, sight, traffic, rng)
        return Choice(chosen, None, sight[chosen.id].total, mean)
    ranked = _ranked(offer, prefix)
    in_turn = _in_turn(offer, ranked)
    bound = cfg.factor * mean + cfg.slack
    chosen = _preferred(in_turn, sight, traffic, bound, rng) or _levelled(
        offer.candidates, sight, traffic, rng
    )
    source = _source(offer, ranked, chosen)
    return Choice(chosen, source, sight[chosen.id].total, mean, in_turn[0])


def _source(
    offer: Offer,
    ranked: list[replicas.Replica],
    chosen: replicas.Replica,
) -> replicas.Replica | None:
    """Return the replica that had the prefix before, unless it is chosen."""
    for one in ranked:
        if one.id not in offer.newcomers:
            return None if one is chosen else one
    return None


def _ranked(offer: Offer, prefix: str) -> list[replicas.Replica]:
    """Return the replicas for a prefix, the one that should have it first."""
    known = {one.id: one for one in (*offer.holders, *offer.candidates)}
    return [known[name] for name in hashing.rank(prefix, known, len(known))]


def _in_turn(
    offer: Offer, ranked: list[replicas.Replica]
) -> list[replicas.Replica]:
    allowed = {one.id for one in offer.candidates}
    return [one for one in ranked if one.id in allowed]


def _preferred(
    in_turn: list[replicas.Replica],
    sight: dict[str, sightings.Sighting],
    traffic: Traffic,
    bound: float,
    rng: random.Random,
) -> replicas.Replica | None:
    """Return one of the first in rank that is likely to stay in the bound.

    All routers fill a replica at once, so each gives it only the part of its
    requests that all of them together may.

    :param in_turn: the candidates, the one that should have the prefix first.
    """
    overflow: float = 0
    for one in in_turn[:_MOST_PREFERRED]:
        seen = sight[one.id]
        per_s = traffic.first_per_s(one.id)
        work_s = traffic.work_s
        if traffic.is_summed:
            work_s = _slow_work_s(seen, per_s, work_s)
        fading = seen.fading(work_s)
        arriving = overflow + (1 - fading) * work_s * per_s
        free = _scatter(arriving, bound, traffic)
        room = bound - 1 - seen.own - seen.others * fading - free
        if room >= arriving or rng.random() * arriving < room:
            if room > 0:
                return one
        overflow = arriving - max(room, 0)
    return None


def _slow_work_s(
    seen: sightings.Sighting, per_s: float, usual_s: float
) -> float:
    """Return how long requests stay at a replica that may be slow."""
    if not per_s:
        return usual_s
    stay_s = seen.total / per_s
    return min(max(stay_s, usual_s), _MOST_SLOWNESS * usual_s)


def _scatter(arriving: float, bound: float, traffic: Traffic) -> float:
    """Return the room that is kept free, because arrivals scatter."""
    deviations = _REPORTS_DEVIATIONS
    if traffic.is_summed:
        deviations = _SUMS_DEVIATIONS
    return deviations * math.sqrt(min(arriving, bound))


def _levelled(
    candidates: typing.Sequence[replicas.Replica],
    sight: dict[str, sightings.Sighting],
    traffic: Traffic,
    rng: random.Random,
) -> replicas.Replica:
    """Return a replica so that all routers together level the loads."""
    loads: dict[str, float] = {}
    unseen: float = 0
    for candidate in candidates:
        seen = sight[candidate.id]
        fading = seen.fading(traffic.work_s)
        loads[candidate.id] = seen.own + seen.others * max(
            fading, _LEAST_FADING
        )
        unseen += (1 - fading) * traffic.work_s * traffic.per_s
    unseen /= len(candidates)
    level = _level(sorted(loads.values()), unseen)
    rooms = [level - loads[one.id] for one in candidates]
    if max(rooms) <= 0:
        return _least_loaded(candidates, loads, rng)
    return rng.choices(candidates, [max(room, 0) for room in rooms])[0]


def _level(loads: list[float], poured: float) -> float:
    """Return the level that so much reaches when poured over the lowest.

    :param loads: in ascending order.
    """
    total = poured
    level = loads[0]
    for number, load in enumerate(loads, 1):
        total += load
        level = total / number
        if number == len(loads) or level <= loads[number]:
            break
    return level


def _least_loaded(
    candidates: typing.Sequence[replicas.Replica],
    loads: dict[str, float],
    rng: random.Random,
) -> replicas.Replica:
    least = min(loads[one.id] for one in candidates)
    return rng.choice([one for one in candidates if loads[one.id] <= least])
