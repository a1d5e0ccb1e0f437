"""What one router knows of the requests at each replica, and how old it is."""

import math
import typing

import msgspec

from papayaloom.request import onward

# Age at which a reported load counts no more.
_REPORT_S = 4.0


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

    @property
    def total(self) -> float:
        """Requests at the replica, as far as they are known."""
        return self.own + self.others

    def fading(self, work_s: float) -> float:
        """Return the part of the others' requests that still runs.

        :param work_s: mean time that a request stays.
        """
        return math.exp(-self.age_s / work_s)


class Loads:
    """Estimated requests at each replica."""

    def __init__(self) -> None:
        """Start without requests and reports."""
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
            and now - report.at < _REPORT_S
        }
        usual = sum(fresh.values()) / len(fresh) if fresh else 0
        return {name: fresh.get(name, usual) for name in names}

    def _age_s(self, name: str, now: float) -> float:
        report = self._reports.get(name)
        if report is None:
            return 0
        return min(now - report.at, _REPORT_S)
