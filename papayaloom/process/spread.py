"""Which replica gets a request, decided by each router alone.

Answers two load patterns: many requests that share a prompt prefix, which
belong on one replica until it is clearly busier than the others, and plain
calls, which belong where the least is running. All routers rank the replicas
alike, so they agree without a word between them.
"""

import random
import typing

import msgspec

from papayaloom import hashing
from papayaloom.process import replicas
from papayaloom.request import onward


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

    def estimates(
        self, names: typing.Sequence[str], now: float
    ) -> dict[str, float]:
        """Return the estimated requests at each of some replicas.

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
        return {
            name: self._own.get(name, 0) + fresh.get(name, usual)
            for name in names
        }


class Choice(msgspec.Struct, frozen=True):
    """A replica, and another one that may have the prompt's prefix cached.

    :param source: the replica to copy from; None when there is no use in it.
    :param load: estimated requests at the replica.
    :param mean: mean of the estimates over the candidates.
    """

    replica: replicas.Replica
    source: replicas.Replica | None = None
    load: float = 0
    mean: float = 0


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
    loads: dict[str, float],
    prefix: str,
    cfg: Cfg,
    rng: random.Random,
) -> Choice:
    """Return the replica for a request.

    :param prefix: name of the shared prefix, or empty.
    """
    candidates = offer.candidates
    mean = sum(loads[one.id] for one in candidates) / len(candidates)
    if not prefix:
        least = _least_loaded(candidates, loads, rng)
        return Choice(least, None, loads[least.id], mean)
    ranked = _ranked(offer, prefix)
    bound = cfg.factor * mean + cfg.slack
    preferred = _preferred(offer, ranked, loads, bound)
    chosen = preferred or _least_loaded(candidates, loads, rng)
    source = next(
        (one for one in ranked if one.id not in offer.newcomers), None
    )
    if source is chosen:
        source = None
    return Choice(chosen, source, loads[chosen.id], mean)


def _ranked(offer: Offer, prefix: str) -> list[replicas.Replica]:
    known = {one.id: one for one in (*offer.holders, *offer.candidates)}
    return [known[name] for name in hashing.rank(prefix, known, len(known))]


def _preferred(
    offer: Offer,
    ranked: list[replicas.Replica],
    loads: dict[str, float],
    bound: float,
) -> replicas.Replica | None:
    """Return the first in rank that stays within the bound."""
    allowed = {one.id for one in offer.candidates}
    within = (
        one
        for one in ranked
        if one.id in allowed and loads[one.id] + 1 <= bound
    )
    return next(within, None)


def _least_loaded(
    candidates: typing.Sequence[replicas.Replica],
    loads: dict[str, float],
    rng: random.Random,
) -> replicas.Replica:
    least = min(loads[one.id] for one in candidates)
    return rng.choice([one for one in candidates if loads[one.id] <= least])
