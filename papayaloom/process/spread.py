"""Which replica gets a request, decided by each router alone.

Answers three load patterns: many requests that share a prompt prefix, which
belong on one replica until it is clearly busier than the others; plain calls,
which belong where little is running; and many routers that read the same old
loads, which must not run to the emptiest replica together. All routers rank
the replicas alike, so they agree without a word between them.
"""

import math
import random
import types
import typing

import msgspec

from papayaloom import hashing
from papayaloom.process import replicas
from papayaloom.request import onward

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
    :param report_s: age at which a reported load counts no more.
    """

    factor: float = 2
    slack: float = 3
    report_s: float = 4


class Report(msgspec.Struct, frozen=True):
    """Load that a replica reported.

    :param others: requests there that other routers had sent.
    """

    at: float
    others: float


class Sighting(msgspec.Struct, frozen=True):
    """What a router knows of the load of a replica.

    :param own: requests of this router, as they are.
    :param others: requests of the other routers, as they were.
    :param age_s: time since then.
    """

    own: int
    others: float
    age_s: float


class Traffic(msgspec.Struct, frozen=True):
    """Requests that other routers are likely to place meanwhile.

    :param per_s: arrivals at the whole service, in a second.
    :param first_per_s: those for which a replica is first in rank.
    :param work_s: mean time that a request stays at a replica.
    :param is_summed: the rates are sums over all routers; else they are
        guessed from this router's own, too roughly for a single replica.
    """

    per_s: float = 0
    first_per_s: typing.Mapping[str, float] = types.MappingProxyType({})
    work_s: float = 1
    is_summed: bool = False


class Loads:
    """Estimated requests at each replica."""

    def __init__(self, cfg: Cfg) -> None:
        """Start without requests and reports."""
        self._cfg = cfg
        self._own: dict[str, int] = {}
        self._reports: dict[str, Report] = {}

    def started(self, replica: str) -> None:
        """Count a request of this router."""
        self._own[replica] = self._own.get(replica, 0) + 1

    def ended(self, replica: str) -> None:
        """Count the end of a request of this router."""
        left = self._own.get(replica, 0) - 1
        if left > 0:
            self._own[replica] = left
        else:
            self._own.pop(replica, None)

    def reported(self, replica: str, load: onward.Load, now: float) -> None:
        """Take the load that a replica states with an answer."""
        total = load.running + load.waiting
        others = max(total - self._own.get(replica, 0), 0)
        self._reports[replica] = Report(now, others)

    def shared(
        self, names: typing.Iterable[str], totals: dict[str, int], now: float
    ) -> None:
        """Take the requests of the whole fleet at some replicas."""
        for name in names:
            others = max(totals.get(name, 0) - self._own.get(name, 0), 0)
            self._reports[name] = Report(now, others)

    def forget(self, replica: str) -> None:
        """Drop what was reported by a replica that is gone."""
        self._reports.pop(replica, None)

    def own(self) -> dict[str, int]:
        """Return the requests of this router, by replica."""
        return dict(self._own)

    def sighted(
        self, names: typing.Sequence[str], now: float
    ) -> dict[str, Sighting]:
        """Return what is known of some replicas, and how old it is."""
        others = self._others(names, now)
        return {
            name: Sighting(
                own=self._own.get(name, 0),
                others=others[name],
                age_s=self._age_s(name, now),
            )
            for name in names
        }

    def estimates(
        self, names: typing.Sequence[str], now: float
    ) -> dict[str, float]:
        """Return the estimated requests at each of some replicas."""
        others = self._others(names, now)
        return {name: self._own.get(name, 0) + others[name] for name in names}

    def _others(
        self, names: typing.Sequence[str], now: float
    ) -> dict[str, float]:
        """Return what other routers have at some replicas.

        A replica without a fresh report is taken to carry as much for other
        routers as the others do in the mean.
        """
        fresh = {
            name: report.others
            for name in names
            if (report := self._reports.get(name))
            and now - report.at < self._cfg.report_s
        }
        usual = sum(fresh.values()) / len(fresh) if fresh else 0
        return {name: fresh.get(name, usual) for name in names}

    def _age_s(self, name: str, now: float) -> float:
        report = self._reports.get(name)
        if report is None:
            return 0
        return min(now - report.at, self._cfg.report_s)


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
    sight: dict[str, Sighting],
    traffic: Traffic,
    prefix: str,
    cfg: Cfg,
    rng: random.Random,
) -> Choice:
    """Return the replica for a request.

    :param prefix: name of the shared prefix, or empty.
    """
    loads = {name: one.own + one.others for name, one in sight.items()}
    mean = sum(loads[one.id] for one in offer.candidates) / len(
        offer.candidates
    )
    if not prefix:
        chosen = _levelled(offer.candidates, sight, traffic, rng)
        return Choice(chosen, None, loads[chosen.id], mean)
    ranked = _ranked(offer, prefix)
    in_turn = _in_turn(offer, ranked)
    bound = cfg.factor * mean + cfg.slack
    chosen = _preferred(in_turn, sight, traffic, bound, rng) or _levelled(
        offer.candidates, sight, traffic, rng
    )
    source = _source(offer, ranked, chosen)
    return Choice(chosen, source, loads[chosen.id], mean, in_turn[0])


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
    sight: dict[str, Sighting],
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
        per_s = traffic.first_per_s.get(one.id, 0)
        work_s = traffic.work_s
        if traffic.is_summed:
            work_s = _slow_work_s(seen, per_s, work_s)
        running = seen.own + seen.others * _fading(seen, work_s)
        arriving = overflow + (1 - _fading(seen, work_s)) * work_s * per_s
        room = bound - 1 - running - _scatter(arriving, bound, traffic)
        if room >= arriving or rng.random() * arriving < room:
            if room > 0:
                return one
        overflow = arriving - max(room, 0)
    return None


def _slow_work_s(seen: Sighting, per_s: float, usual_s: float) -> float:
    """Return how long requests stay at a replica that may be slow."""
    if not per_s:
        return usual_s
    stay_s = (seen.own + seen.others) / per_s
    return min(max(stay_s, usual_s), _MOST_SLOWNESS * usual_s)


def _scatter(arriving: float, bound: float, traffic: Traffic) -> float:
    """Return the room that is kept free, because arrivals scatter."""
    deviations = _REPORTS_DEVIATIONS
    if traffic.is_summed:
        deviations = _SUMS_DEVIATIONS
    return deviations * math.sqrt(min(arriving, bound))


def _levelled(
    candidates: typing.Sequence[replicas.Replica],
    sight: dict[str, Sighting],
    traffic: Traffic,
    rng: random.Random,
) -> replicas.Replica:
    """Return a replica so that all routers together level the loads."""
    loads: dict[str, float] = {}
    unseen: float = 0
    for candidate in candidates:
        seen = sight[candidate.id]
        fading = _fading(seen, traffic.work_s)
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


def _fading(seen: Sighting, work_s: float) -> float:
    """Return the part of the seen requests that still runs."""
    return math.exp(-seen.age_s / work_s)


def _least_loaded(
    candidates: typing.Sequence[replicas.Replica],
    loads: dict[str, float],
    rng: random.Random,
) -> replicas.Replica:
    least = min(loads[one.id] for one in candidates)
    return rng.choice([one for one in candidates if loads[one.id] <= least])
