"""Load estimates of one router for each replica, with their age."""

import math
import typing

import msgspec

from papayaloom.request import header_dialect
from papayaloom.routing.load import slowdowns

# Age from which a reported load is ignored.
_REPORT_EXPIRY_S = 4.0


class ReportedLoad(msgspec.Struct, frozen=True):
    """Load of a replica as last reported.

    :param reported_at: monotonic time for which the load is valid.
    :param others: requests at the replica that came from other routers.
    """

    reported_at: float
    others: float


class LoadEstimate(msgspec.Struct, frozen=True):
    """Estimated load of one replica.

    :param own: requests that this router has running there now.
    :param others: requests of the other routers at the time of the report.
    :param age_s: age of that report.
    :param slowdown: how long work takes on its machine; 1 is usual.
    """

    own: int
    others: float
    age_s: float
    slowdown: float = 1

    @property
    def total(self) -> float:
        """Estimated requests at the replica, of all routers."""
        return self.own + self.others

    def remaining_fraction(self, service_time_s: float) -> float:
        """Return the expected fraction of ``others`` that still runs.

        :param service_time_s: mean time that a request spends at a replica.
        """
        return math.exp(-self.age_s / service_time_s)

    def expected_arrivals(
        self, service_time_s: float, arrivals_per_s: float
    ) -> float:
        """Return the expected requests that arrived since the report.

        Only those that still run; the older the report, the more they are.

        :param service_time_s: mean time that a request spends at a replica.
        :param arrivals_per_s: requests that the other routers send there.
        """
        gone_fraction = 1 - self.remaining_fraction(service_time_s)
        return gone_fraction * service_time_s * arrivals_per_s

    def expected_total(
        self, service_time_s: float, arrivals_per_s: float
    ) -> float:
        """Return the expected requests at the replica now, of all routers.

        :param service_time_s: mean time that a request spends at a replica.
        :param arrivals_per_s: requests that the other routers send there.
        """
        remaining = self.others * self.remaining_fraction(service_time_s)
        arrived = self.expected_arrivals(service_time_s, arrivals_per_s)
        return self.own + remaining + arrived

    def variance(self, service_time_s: float, arrivals_per_s: float) -> float:
        """Return the variance of :meth:`expected_total`."""
        fraction = self.remaining_fraction(service_time_s)
        arrived = self.expected_arrivals(service_time_s, arrivals_per_s)
        return self.others * fraction * (1 - fraction) + arrived


class LoadEstimates:
    """Load estimates of all replicas."""

    def __init__(self) -> None:
        """Initialise without requests and reports."""
        self._own: dict[str, int] = {}
        self._reports: dict[str, ReportedLoad] = {}
        self._slowdowns = slowdowns.Slowdowns()

    def record_start(self, replica: str) -> None:
        """Count a request that this router sent to a replica."""
        self._own[replica] = self._own.get(replica, 0) + 1

    def record_end(self, replica: str) -> None:
        """Count the end of a request that this router sent."""
        remaining = self._own.get(replica, 0) - 1
        if remaining > 0:
            self._own[replica] = remaining
        else:
            self._own.pop(replica, None)

    def record_load(
        self, replica: str, load: header_dialect.Load, now: float
    ) -> None:
        """Record the load that a replica reported with a response."""
        total = load.running + load.waiting
        others = max(total - self._own.get(replica, 0), 0)
        self._reports[replica] = ReportedLoad(now, others)
        self._slowdowns.record(replica, load.slowdown, now)

    def record_fleet_totals(
        self, replicas: typing.Iterable[str], totals: dict[str, int], now: float
    ) -> None:
        """Record the requests of the whole fleet at some replicas.

        :param now: time for which the totals are valid; a replica whose own
            report is newer keeps it.
        """
        for replica in replicas:
            report = self._reports.get(replica)
            if report is not None and report.reported_at > now:
                continue
            others = max(totals.get(replica, 0) - self._own.get(replica, 0), 0)
            self._reports[replica] = ReportedLoad(now, others)

    def forget(self, replica: str) -> None:
        """Drop the report of a replica that was removed or restarted."""
        self._reports.pop(replica, None)
        self._slowdowns.forget(replica)

    def own_requests(self) -> dict[str, int]:
        """Return the running requests of this router, by replica."""
        return dict(self._own)

    def runs_any(self, replicas: typing.Iterable[str]) -> bool:
        """Whether one of some replicas has a request of this router."""
        return any(replica in self._own for replica in replicas)

    def estimates(
        self,
        replicas: typing.Sequence[str],
        now: float,
        expected_others: float = 0,
    ) -> dict[str, LoadEstimate]:
        """Return the estimates for some replicas.

        :param expected_others: requests of the other routers at each replica,
            used if none has a current report.
        """
        others = self._others(replicas, now, expected_others)
        return {
            replica: LoadEstimate(
                own=self._own.get(replica, 0),
                others=others[replica],
                age_s=self._age_s(replica, now),
                slowdown=self._slowdowns.factor(replica, now),
            )
            for replica in replicas
        }

    def _others(
        self, replicas: typing.Sequence[str], now: float, expected: float
    ) -> dict[str, float]:
        """Return the requests of the other routers at some replicas.

        A replica without a current report is assumed to have the mean of the
        replicas with one.
        """
        current = {
            replica: report.others
            for replica in replicas
            if (report := self._reports.get(replica))
            and now - report.reported_at < _REPORT_EXPIRY_S
        }
        mean = sum(current.values()) / len(current) if current else expected
        return {replica: current.get(replica, mean) for replica in replicas}

    def _age_s(self, replica: str, now: float) -> float:
        report = self._reports.get(replica)
        if report is None:
            return 0
        return min(now - report.reported_at, _REPORT_EXPIRY_S)
