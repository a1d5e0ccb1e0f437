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

    factor: float = 1.4
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

    def forget(self, replica: str) -> None:
        """Drop what was reported by a replica that is gone."""
        self._reports.pop(replica, None)

    def own(self, replica: str) -> int:
        """Return the requests of this router at a replica."""
        return self._own.get(replica, 0)

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


def choose(
    candidates: typing.Sequence[replicas.Replica],
    loads: dict[str, float],
    prefix: str,
    cfg: Cfg,
    rng: random.Random,
) -> replicas.Replica:
    """Return the replica for a request.

    :param candidates: at least one.
    :param prefix: name of the shared prefix, or empty.
    """
    if prefix:
        mean = sum(loads[one.id] for one in candidates) / len(candidates)
        bound = cfg.factor * mean + cfg.slack
        by_id: dict[str, replicas.Replica] = {one.id: one for one in candidates}
        for name in hashing.rank(prefix, by_id, len(by_id)):
            if loads[name] + 1 <= bound:
                return by_id[name]
    least = min(loads[one.id] for one in candidates)
    return rng.choice([one for one in candidates if loads[one.id] <= least])
