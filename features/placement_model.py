"""Model in virtual time of routers, replicas with slots, and callers.

Each router decides by what replicas report with their responses, or by old sums
over the fleet. Replicas queue what exceeds their slots, and callers that are
rejected come back once.
"""

import collections
import heapq
import itertools
import random

import msgspec

from papayaloom.routing import dispatch_messages, replica_choice
from papayaloom.routing.load import request_counts
from papayaloom.request import header_dialect

BOUND = replica_choice.Cfg()
_SNAPSHOT_S = 0.1
# Callers wait for this share of their remaining time before they come back.
_PATIENCE = 1 / 3
_REFUSED_RETRY_S = 0.5
_PUSH_S = 0.1
# A replica has the prefixes that it used within this time.
_CACHED_S = 10


class Burst(msgspec.Struct, frozen=True):
    """More traffic for some time.

    :param x: multiple of the usual traffic.
    :param organisation: the organisation that sends it; empty for all.
    """

    at: float
    until: float
    x: float
    organisation: str = ''


class Rank(msgspec.Struct, frozen=True):
    """What the callers of one rank want.

    :param weight: share of the requests.
    """

    weight: float
    objective_s: float
    deadline_s: float


class Load(msgspec.Struct, frozen=True):
    """What arrives.

    :param per_s: requests a second, in all.
    :param work_s: mean time that a replica needs for one.
    :param prefixes: names of shared prompt prefixes with their weights; none
        for plain calls.
    :param slowness: how many times longer some replicas need.
    :param organisations: organisations with their weights.
    :param slots: requests that a replica runs at once; 0 for any number.
    :param queue: requests that may wait at a replica, as a multiple of its
        slots; it refuses more.
    :param reports: whether replicas report their load.
    :param first_event_s: time after which an answer begins and tells the load.
    :param named: requests a second that some replicas name as their limit.
    :param named_until: time from which they name none.
    :param ranks: what callers want, by rank of the route; none for one rank.
    :param retries: whether routers try what a replica refused at another one.
    :param pushing: share of the callers that repeat every 0.1 s what is
        rejected, whatever they are told.
    :param is_mixed: whether replicas report their load beside the sums.
    :param last: organisation that is less urgent than all others.
    :param read_s: time to process a prefix that a replica does not have.
    """

    per_s: float
    work_s: float
    prefixes: dict[str, float] = {}
    slowness: dict[str, float] = {}
    organisations: dict[str, float] = msgspec.field(
        default_factory=lambda: {'': 1}
    )
    burst: Burst | None = None
    slots: int = 0
    queue: int = 3
    reports: bool = True
    first_event_s: float = 0.06
    objective_s: float = 1
    deadline_s: float = 10
    named: dict[str, float] = {}
    named_until: float = float('inf')
    ranks: dict[int, Rank] = {}
    retries: bool = False
    pushing: float = 0
    is_mixed: bool = False
    read_s: float = 0
    last: str | None = None


class Call(msgspec.Struct, eq=False):
    """One request of a caller.

    :param started_at: when a replica began to run it.
    :param returns: how often its caller may still come back.
    """

    arrived_at: float
    organisation: str
    work_s: float
    prefix: str = ''
    returns: int = 1
    rejections: int = 0
    started_at: float | None = None
    is_late: bool = False
    rank: int = 0
    is_pushing: bool = False
    draw: float = 0
    tried: frozenset[str] = frozenset()
    ended_at: float | None = None


class Model:
    """Routers, replicas, and sums that are old.

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
        self._running = dict.fromkeys(names, 0)
        self._waiting = {name: collections.deque() for name in names}
        self._history = []
        self._order = itertools.count()
        self._events = []
        self.calls = []
        # Placements with their times; true above the bound.
        self.placements = []
        self.named = load.named
        self.most = 0
        # Times of the requests that each replica got.
        self.arrivals = collections.defaultdict(list)
        # Rejected by routers, and refused by replicas.
        self.rejected = 0
        self.problems = []
        self.turned_away = 0
        # Prefixes that replicas processed because they did not have them.
        self.read_again = 0
        self._cached = {name: {} for name in names}

    def run(self, seconds):
        """Play the load; counts what reached a replica above the bound."""
        self.plan(0, self._snapshot)
        for organisation in self._load.organisations:
            self.plan(0, self._arrive, organisation)
        for number in range(len(self._routers) if self._share_s else 0):
            at = self._rng.uniform(0, self._share_s)
            self.plan(at, self._share, number)
        while self._events:
            now, _, step, wanted = heapq.heappop(self._events)
            if now > seconds:
                return
            step(now, *wanted)

    def above_bound(self, since=0, until=float('inf')):
        """Return the placements of a time, and those above the bound."""
        found = [over for at, over in self.placements if since <= at < until]
        return len(found), sum(found)

    def in_time(self, since, until, organisation=None):
        """Return the share of the calls of a time that began in time."""
        calls = self.of(since, until, organisation)
        good = [one for one in calls if one.started_at and not one.is_late]
        return len(good) / len(calls)

    def of(self, since, until, organisation=None):
        """Return the calls that arrived within a time."""
        return [
            one
            for one in self.calls
            if since <= one.arrived_at < until
            and organisation in {None, one.organisation}
        ]

    def plan(self, at, step, *wanted):
        """Plan a step; it gets the time and the arguments."""
        heapq.heappush(self._events, (at, next(self._order), step, wanted))

    def _snapshot(self, now):
        totals = request_counts.add(
            one.own_request_counts(now) for one in self._routers
        )
        self._history.append((now, totals))
        self.plan(now + _SNAPSHOT_S, self._snapshot)

    def _share(self, now, number):
        old = [
            totals for at, totals in self._history if at <= now - self._lag_s
        ]
        if old:
            self._routers[number].update_fleet_counts(old[-1], now)
            del self._history[: max(0, len(old) - 40)]
        self.plan(now + self._share_s, self._share, number)

    def _arrive(self, now, organisation):
        load = self._load
        weights = load.organisations
        per_s = load.per_s * weights[organisation] / sum(weights.values())
        burst = load.burst
        if burst and burst.at <= now < burst.until:
            if burst.organisation in {'', organisation}:
                per_s *= burst.x
        pause_s = self._rng.expovariate(per_s)
        if burst and now < burst.at < now + pause_s:
            # A pause drawn before the burst does not reach into it.
            pause_s = burst.at - now
        self.plan(now + pause_s, self._arrive, organisation)
        work_s = self._rng.expovariate(1 / load.work_s)
        call = Call(now, organisation, work_s)
        if load.prefixes:
            call.prefix = self._rng.choices(
                list(load.prefixes), list(load.prefixes.values())
            )[0]
        if load.ranks:
            weights = [one.weight for one in load.ranks.values()]
            call.rank = self._rng.choices(list(load.ranks), weights)[0]
            call.is_pushing = self._rng.random() < load.pushing
            call.draw = self._rng.random()
        self.calls.append(call)
        self._send(now, call)

    def _wanted(self, call):
        load = self._load
        usual = Rank(1, load.objective_s, load.deadline_s)
        return load.ranks.get(call.rank, usual)

    def _send(self, now, call, number=None):
        if number is None:
            number = self._rng.randrange(len(self._routers))
        wanted = self._wanted(call)
        left_s = call.arrived_at + wanted.deadline_s - now
        if left_s <= 0:
            return
        request = dispatch_messages.PlacementRequest(
            self._service,
            call.prefix,
            call.tried,
            is_retry=bool(call.tried),
            organisation=call.organisation,
            objective_s=wanted.objective_s,
            left_s=left_s,
            rank=(
                9 if call.organisation == self._load.last else call.rank,
                call.rank,
            ),
            waited_s=now - call.arrived_at,
            draw=call.draw if self._load.ranks else None,
        )
        placed = self._routers[number].place(request, now)
        call.tried = frozenset()
        if placed.is_err():
            self.rejected += 1
            self.problems.append(placed.err_value)
            self._come_back(now, call, left_s, placed.err_value.retry_after_s)
            return
        name = placed.ok_value.replica.id
        self.arrivals[name].append(now)
        self._measure(now, name)
        if self._load.named:
            at = now + self._load.first_event_s
            self.plan(at, self._name_limit, number, placed.ok_value.replica)
        if not self._load.slots or self._running[name] < self._load.slots:
            self._start(now, name, number, call, now)
        elif len(self._waiting[name]) < self._load.queue * self._load.slots:
            self._waiting[name].append((number, call, now))
        else:
            self.turned_away += 1
            self._leave(now, number, name, call, is_refused=True)
            if self._load.retries:
                call.tried = request.tried | {name}
                self._send(now, call, number)
                return
            self._come_back(now, call, left_s, _REFUSED_RETRY_S)

    def _come_back(self, now, call, left_s, retry_after_s):
        call.rejections += 1
        if call.is_pushing:
            self.plan(now + _PUSH_S, self._send, call)
        elif call.returns:
            call.returns -= 1
            delay_s = min(retry_after_s, _PATIENCE * left_s)
            self.plan(now + delay_s, self._send, call)

    def _start(self, now, name, number, call, sent_at):
        self._running[name] += 1
        call.started_at = now
        read_s = self._read_s(now, name, call)
        begun_at = now + read_s
        call.is_late = (
            begun_at - call.arrived_at > self._wanted(call).objective_s
        )
        work_s = self._load.slowness.get(name, 1) * call.work_s + read_s
        self.plan(now + work_s, self._end, number, name, call, sent_at)
        if self._load.reports and (self._load.is_mixed or not self._share_s):
            at = now + min(work_s, self._load.first_event_s)
            self.plan(at, self._report, number, name)

    def _read_s(self, now, name, call):
        """Return the time to process the prefix of a call."""
        if not call.prefix or not self._load.read_s:
            return 0
        used_at = self._cached[name].get(call.prefix, -_CACHED_S)
        self._cached[name][call.prefix] = now
        if now - used_at < _CACHED_S:
            return 0
        self.read_again += 1
        return self._load.read_s

    def _report(self, now, number, name):
        load = header_dialect.Load(
            self._running[name], len(self._waiting[name]), self._load.slots
        )
        self._routers[number].record_load(name, load, now)

    def _name_limit(self, now, number, replica):
        load = self._load
        per_s = load.named.get(replica.id) if now < load.named_until else None
        self._routers[number].rate_limits.record(replica, per_s, now)

    def _measure(self, now, chosen):
        counts = {
            name: self._running[name] + len(self._waiting[name])
            for name in self._running
        }
        mean = sum(counts.values()) / len(counts)
        self.most = max(self.most, counts[chosen] + 1)
        is_over = counts[chosen] > BOUND.factor * mean + BOUND.slack
        self.placements.append((now, is_over))

    def _end(self, now, number, name, call, sent_at):
        self._running[name] -= 1
        call.ended_at = now
        self._routers[number].ended(
            dispatch_messages.AttemptResult(
                self._service,
                name,
                False,
                organisation=call.organisation,
                duration_s=now - sent_at,
            ),
            now,
        )
        waiting = self._waiting[name]
        while waiting:
            first = min(waiting, key=lambda one: one[1].rank)
            waiting.remove(first)
            other, queued, queued_at = first
            if now - queued.arrived_at < self._wanted(queued).deadline_s:
                self._start(now, name, other, queued, queued_at)
                return
            # Its caller has given up meanwhile.
            self._leave(now, other, name, queued)

    def _leave(self, now, number, name, call, *, is_refused=False):
        self._routers[number].ended(
            dispatch_messages.AttemptResult(
                self._service,
                name,
                organisation=call.organisation,
                is_refused=is_refused,
            ),
            now,
        )
