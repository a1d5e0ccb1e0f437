"""Model in virtual time of many routers that place requests by old sums."""

import heapq
import itertools
import random

import msgspec

from papayaloom.process import dispatch, replica_choice, request_counts
from papayaloom.request import header_dialect

BOUND = replica_choice.Cfg()
_SNAPSHOT_S = 0.1
_FIRST_EVENT_S = 0.06


class Load(msgspec.Struct, frozen=True):
    """What arrives.

    :param per_s: requests a second, in all.
    :param work_s: mean time that a replica needs for one.
    :param prefixes: names of shared prompt prefixes with their weights; none
        for plain calls.
    :param slowness: how many times longer some replicas need.
    """

    per_s: float
    work_s: float
    prefixes: dict[str, float] = {}
    slowness: dict[str, float] = {}


class Model:
    """Routers, replicas that run any number at once, and sums that are old.

    :param share_s: time between two sums at each router; 0 when routers hear
        of loads with the answers of the replicas only.
    :param lag_s: age of a sum when a router gets it.
    """

    def __init__(self, routers, names, service, load, share_s, lag_s, seed=1):
        self._routers = routers
        self._service = service
        self._load = load
        self._share_s = share_s
        self._lag_s = lag_s
        self._rng = random.Random(seed)
        self._count = dict.fromkeys(names, 0)
        self._history = []
        self._order = itertools.count()
        self._events = []
        self.placed = 0
        self.over = 0
        self.most = 0

    def run(self, seconds):
        """Play the load; counts what reached a replica above the bound."""
        self._plan(0, self._snapshot)
        self._plan(0, self._arrive)
        for number in range(len(self._routers) if self._share_s else 0):
            at = self._rng.uniform(0, self._share_s)
            self._plan(at, self._share, number)
        while self._events:
            now, _, step, wanted = heapq.heappop(self._events)
            if now > seconds:
                return
            step(now, *wanted)

    def _plan(self, at, step, *wanted):
        heapq.heappush(self._events, (at, next(self._order), step, wanted))

    def _snapshot(self, now):
        totals = request_counts.add(
            one.own_request_counts(now) for one in self._routers
        )
        self._history.append((now, totals))
        self._plan(now + _SNAPSHOT_S, self._snapshot)

    def _share(self, now, number):
        old = [
            totals for at, totals in self._history if at <= now - self._lag_s
        ]
        if old:
            self._routers[number].update_fleet_counts(old[-1], now)
            del self._history[: max(0, len(old) - 40)]
        self._plan(now + self._share_s, self._share, number)

    def _arrive(self, now):
        self._plan(now + self._rng.expovariate(self._load.per_s), self._arrive)
        number = self._rng.randrange(len(self._routers))
        prefix = ''
        if self._load.prefixes:
            prefix = self._rng.choices(
                list(self._load.prefixes), list(self._load.prefixes.values())
            )[0]
        choice = (
            self._routers[number]
            .place(dispatch.PlacementRequest(self._service, prefix), now)
            .ok_value
        )
        self._measure(choice.replica.id)
        self._count[choice.replica.id] += 1
        slowness = self._load.slowness.get(choice.replica.id, 1)
        work_s = slowness * self._rng.expovariate(1 / self._load.work_s)
        self._plan(now + work_s, self._end, number, choice.replica.id)
        if not self._share_s:
            at = now + min(work_s, _FIRST_EVENT_S)
            self._plan(at, self._report, number, choice.replica.id)

    def _report(self, now, number, chosen):
        load = header_dialect.Load(self._count[chosen], 0, 16)
        self._routers[number].record_load(chosen, load, now)

    def _measure(self, chosen):
        mean = sum(self._count.values()) / len(self._count)
        self.placed += 1
        self.most = max(self.most, self._count[chosen] + 1)
        if self._count[chosen] > BOUND.factor * mean + BOUND.slack:
            self.over += 1

    def _end(self, now, number, chosen):
        self._count[chosen] -= 1
        self._routers[number].ended(
            dispatch.AttemptResult(self._service, chosen, False), now
        )
