"""Figures of rate limits, retry budgets, ejection, quarantine and the cost of
one placement, in virtual time."""

import collections
import functools
import heapq
import random
import time
import typing

import msgspec

from papayaloom import hashing, ids, messages
from papayaloom.bench import measurement
from papayaloom.process import (
    admission,
    budgets,
    ejection,
    engine_search,
    limits,
    placement,
    quarantine,
)

_DAY_S = 86400
_ORG = ids.OrgId('org')


_figure = functools.partial(measurement.entry, digits=6)


# --- retries and ejection -------------------------------------------------


def retries(seed: int, policy: str, requests: int) -> list[measurement.Figure]:
    """Send requests while a third of the upstreams fail.

    :param policy: ``fleet``, ``no budget`` or ``no ejection``.
    """
    rng = random.Random(seed)
    upstreams = [f'upstream-{number}' for number in range(6)]
    failing = set(upstreams[:2])
    saved = budgets.RetryBudgets(budgets.Cfg())
    ejected = ejection.Ejection(ejection.Cfg(), random.Random(seed))
    ejected.update_upstreams(upstreams)
    sent = 0
    finished = 0
    most_ejected = 0
    for number in range(requests):
        now = number * 0.1
        tried: set[str] = set()
        for _ in range(4):
            choices = [
                one
                for one in upstreams
                if one not in tried
                and (
                    policy == 'no ejection'
                    or ejected.status(one, now) != ejection.Status.EJECTED
                )
            ]
            if not choices:
                break
            chosen = rng.choice(choices)
            if tried and policy != 'no budget':
                if not saved.spend(chosen, now):
                    break
            if ejected.status(chosen, now) == ejection.Status.TRIAL:
                ejected.start_trial(chosen, now)
            tried.add(chosen)
            sent += 1
            if chosen not in failing or rng.random() < 0.2:
                ejected.record_success(chosen, now)
                saved.record_success(chosen, now)
                finished += 1
                break
            ejected.record_failure(chosen, now)
        most_ejected = max(most_ejected, len(ejected.ejected()))
    scenario = 'a third of 6 upstreams fails'
    return [
        _figure(
            'retry_amplification',
            sent / requests,
            'ratio',
            seed,
            scenario,
            policy,
        ),
        _figure(
            'finished_share',
            finished / requests,
            'share',
            seed,
            scenario,
            policy,
        ),
        _figure(
            'ejected_at_most',
            most_ejected / len(upstreams),
            'share',
            seed,
            scenario,
            policy,
        ),
    ]


# --- rate limits ----------------------------------------------------------


class _Routers:
    """Routers with keepers and limiters, and a cut between two sides."""

    def __init__(self, cfg: limits.Cfg, count: int) -> None:
        self.names = [ids.RouterId(f'router-{one}') for one in range(count)]
        self.limiters = {name: limits.Limiter(cfg, name) for name in self.names}
        self.keepers = {name: limits.RateAllocator(cfg) for name in self.names}
        self.seen = {name: set(self.names) for name in self.names}
        self.side: dict[ids.RouterId, int] = collections.defaultdict(int)
        for name in self.names:
            self.limiters[name].update_members(count)
            self.see(name, 0)

    def see(self, name: ids.RouterId, now: float) -> None:
        """Let a router see those on its side."""
        present = {
            other for other in self.names if self.side[other] == self.side[name]
        }
        before = hashing.highest_ranked(_ORG, self.seen[name])
        after = hashing.highest_ranked(_ORG, present)
        self.seen[name] = present
        self.keepers[name].update_members(sorted(present), len(self.names))
        if after == name and before != name:
            self.keepers[name].defer_leases(now)

    def step(self, now: float, length_s: float) -> None:
        """Cut two routers off in the middle third, noticed 7 s later."""
        third = length_s / 3
        for cut in self.names[1:3]:
            self.side[cut] = int(third <= now < 2 * third)
        for name in self.names:
            if now - 7 in {third, 2 * third}:
                self.see(name, now)
            self.tick(name, now)

    def tick(self, name: ids.RouterId, now: float) -> None:
        """Exchange shares with the keeper, when it can be reached."""
        sends = self.limiters[name].tick(
            lambda org: hashing.highest_ranked(org, self.seen[name]),
            now,
        )
        for send in sends:
            if self.side[send.to] != self.side[name]:
                continue
            request = typing.cast(messages.ShareRequest, send.message)
            keeper = self.keepers[send.to]
            for answer in keeper.handle(name, request, now):
                share = typing.cast(messages.Share, answer.message)
                self.limiters[name].apply_share(share, now)


def _busiest(moments: list[float], seconds: float) -> int:
    """Return the most moments in any window of some seconds."""
    window: collections.deque[float] = collections.deque()
    worst = 0
    for moment in moments:
        window.append(moment)
        while window[0] < moment - seconds:
            window.popleft()
        worst = max(worst, len(window))
    return worst


def rates(seed: int, policy: str, length_s: float) -> list[measurement.Figure]:
    """Send five times an organisation's rate through a network partition.

    Two of six routers get most of the requests. From a third to two thirds of
    the time, two routers are cut off; each side notices after 7 seconds.

    :param policy: ``fleet``, ``equal parts`` (rate / members at each router)
        or ``whole rate`` (each router grants the whole rate).
    """
    rng = random.Random(seed)
    cfg = limits.Cfg(rate_per_s=20)
    count = 6
    routers = _Routers(cfg, count)
    parts = {'equal parts': 20 / count, 'whole rate': 20}
    tokens = dict.fromkeys(routers.names, 1.0)
    weights = [50, 40, 1, 1, 1, 1]
    admitted: list[float] = []
    now: float = 0
    step = 0
    while now < length_s:
        now += rng.expovariate(100)
        while step * 0.25 < now:
            step += 1
            routers.step(step * 0.25, length_s)
        chosen = rng.choices(routers.names, weights)[0]
        if policy == 'fleet':
            granted = not routers.limiters[chosen].admit(_ORG, now)
        else:
            granted = tokens[chosen] >= 1
            tokens[chosen] -= granted
            for name in routers.names:
                grown = tokens[name] + parts[policy] * 0.01
                tokens[name] = min(max(1, parts[policy] * cfg.burst), grown)
        if granted:
            admitted.append(now)
    worst = _busiest(admitted, 5)
    bound = (1 + cfg.burst) * cfg.rate_per_s * 5
    scenario = 'five times the rate, two of six routers cut off'
    return [
        _figure(
            'rate_over_bound',
            worst / bound,
            'ratio',
            seed,
            scenario,
            policy,
        ),
        _figure(
            'rate_used',
            len(admitted) / (cfg.rate_per_s * length_s),
            'ratio',
            seed,
            scenario,
            policy,
        ),
    ]


# --- quarantine -----------------------------------------------------------


class _Crashing:
    """Upstreams that crash, and callers that send their requests again."""

    def __init__(self, seed: int, cfg: quarantine.Cfg, upstreams: int) -> None:
        self.rng = random.Random(seed)
        self.watched = quarantine.Quarantine(cfg)
        self.watched.update_upstreams(upstreams)
        self.names = [f'upstream-{number}' for number in range(upstreams)]
        self.running: dict[str, dict[ids.Fingerprint, int]] = {
            name: {} for name in self.names
        }
        self.rate = upstreams * 17.6 / 26
        self.now: float = 0
        self.marks = 0
        self.crashes = 0
        self.poisons: set[ids.Fingerprint] = set()
        self.refused: set[ids.Fingerprint] = set()
        self._heap: list[tuple[float, int, typing.Any, typing.Any]] = []
        self._order = 0

    def after(
        self,
        delay: float,
        call: typing.Any,
        *args: typing.Any,
    ) -> None:
        """Call a function after a delay in seconds."""
        self._order += 1
        entry = (self.now + delay, self._order, call, args)
        heapq.heappush(self._heap, entry)

    def run(self, length_s: float) -> None:
        """Run for a time in seconds."""
        while self._heap:
            moment, _, call, args = heapq.heappop(self._heap)
            if moment > length_s:
                return
            self.now = moment
            call(*args)

    def arrive(self) -> None:
        """Start a new request; one in 20,000 is harmful."""
        self.marks += 1
        mark = ids.Fingerprint(str(self.marks))
        if self.rng.random() < 1 / 20_000:
            self.poisons.add(mark)
        self.start(mark)
        self.after(self.rng.expovariate(self.rate), self.arrive)

    def start(self, mark: ids.Fingerprint) -> None:
        """Place a request as the quarantine wants it."""
        treatment = self.watched.treatment(mark, self.now)
        if treatment == quarantine.Treatment.REFUSED:
            self.refused.add(mark)
            return
        choices = self.names
        if treatment == quarantine.Treatment.ISOLATED:
            avoided = self.watched.upstreams_to_avoid(mark)
            choices = [name for name in self.names if name not in avoided]
        if not choices:
            self.after(1, self.start, mark)
            return
        name = self.rng.choice(choices)
        self.running[name][mark] = self._order
        self.watched.record_start(mark, name, self.now)
        if mark in self.poisons:
            self.after(2, self.poison, name, mark, self._order)
        length = self.rng.expovariate(1 / 26)
        self.after(length, self.end, name, mark, self._order)

    def end(self, name: str, mark: ids.Fingerprint, begun: int) -> None:
        """End a request that was not lost in a crash."""
        if self.running[name].get(mark) == begun:
            self.running[name].pop(mark)
            self.watched.record_end(mark, name, ran=True)

    def poison(self, name: str, mark: ids.Fingerprint, begun: int) -> None:
        """Let a harmful request crash its upstream."""
        if self.running[name].get(mark) == begun:
            self.crash(name)

    def chance(self, pace: float) -> None:
        """Let any upstream crash."""
        self.crash(self.rng.choice(self.names))
        self.after(self.rng.expovariate(pace), self.chance, pace)

    def mass(self) -> None:
        """Let a tenth of the upstreams crash at once, at least two."""
        for name in self.rng.sample(self.names, max(2, len(self.names) // 10)):
            self.crash(name)

    def crash(self, name: str) -> None:
        """Break an upstream; its requests come again within two seconds."""
        self.crashes += 1
        self.watched.record_crash(name, self.now)
        lost = list(self.running[name])
        self.running[name].clear()
        for mark in lost:
            self.after(1 + self.rng.random(), self.start, mark)


def condemnations(
    seed: int,
    policy: str,
    upstreams: int,
    length_s: float,
    crashes_per_day: float,
) -> list[measurement.Figure]:
    """Let upstreams crash at random and a few requests crash them.

    Every crash is followed by the callers sending their requests again. One
    request in 20,000 crashes what runs it, after two seconds. Twice in the run
    a tenth of the upstreams, at least two, crash at once.

    :param policy: ``fleet``, or ``two crashes`` (any two crashes condemn).
    :param crashes_per_day: random crashes of one upstream.
    """
    cfg = quarantine.Cfg()
    if policy == 'two crashes':
        cfg = msgspec.structs.replace(cfg, mass_share=10, harmful_share=1)
    world = _Crashing(seed, cfg, upstreams)
    world.after(0, world.arrive)
    pace = upstreams * crashes_per_day / _DAY_S
    world.after(world.rng.expovariate(pace), world.chance, pace)
    for part in (0.3, 0.7):
        world.after(length_s * part, world.mass)
    world.run(length_s)
    innocent = len(world.refused - world.poisons)
    harmful = max(1, len(world.poisons))
    found = world.watched.dump(world.now)
    crashed = [
        len(found[mark].crashes) for mark in world.poisons if mark in found
    ]
    values = (
        ('false_condemnations', innocent / world.marks, 'share'),
        ('false_condemnations_per_day', innocent * _DAY_S / length_s, '1/day'),
        (
            'condemned_of_harmful',
            len(world.refused & world.poisons) / harmful,
            'share',
        ),
        ('crashes_by_one_request', sum(crashed) / harmful, 'crashes'),
        ('crashes', world.crashes, 'crashes'),
    )
    size = f'{upstreams} upstreams'
    scenario = f'{size}, {crashes_per_day:g} crashes of each a day'
    return [
        _figure(name, value, unit, seed, scenario, policy)
        for name, value, unit in values
    ]


# --- cost of one placement ------------------------------------------------


def placement_cost(seed: int, engines: int, routers: int) -> float:
    """Return the microseconds of one choice with one admission.

    The median of batches, with the work of both sides in one process.
    """
    rng = random.Random(seed)
    names = [ids.EngineId(f'engine-{number}') for number in range(engines)]
    members = [
        messages.Member(
            ids.RouterId(f'router-{number}'),
            '',
            '',
            ids.ZoneId(''),
            ids.RegionId(''),
        )
        for number in range(routers)
    ]
    me = members[0].router
    owner = admission.Owner(admission.Cfg(), me, ids.ModelId('m'))
    owner.update_members(members, None, 0)
    owner.update_engines(names, (), 0)
    home = placement.Home(placement.Cfg(), rng)
    home.update_engines(names)
    for other in members[1:]:
        load = messages.Load(other.router, ids.ModelId('m'), 88, 5, 10_000, 0)
        owner.handle(other.router, messages.LoadReport((load,)), 10)
    mine = [name for name in names if owner.ranks.order(name)[0] == me]
    numbers = iter(range(10**9))
    batches = []
    now = 10.0
    for _ in range(30):
        begun = time.perf_counter()
        for _ in range(100):
            now += 0.003
            chat = ids.ChatId(f'chat-{rng.randrange(5000)}')
            request = placement.Request(
                ids.RequestId('r'), ids.OrgId('o'), chat, 1, now + 10, 2000
            )
            search = engine_search.Search(
                placement.Cfg(),
                request,
                home.candidates(request, now),
                numbers,
            )
            step = search.start(now)
            if step.ask is not None and mine:
                ask = msgspec.structs.replace(step.ask, engine=mine[0])
                owner.handle(me, ask, now)
                release = messages.Release(ask.ask, mine[0], finished=True)
                owner.handle(me, release, now)
        batches.append((time.perf_counter() - begun) / 100)
    return sorted(batches)[len(batches) // 2] * 1e6


def cost(seed: int) -> list[measurement.Figure]:
    """Return the cost of a placement at 5 and at 1,800 replicas.

    Each at its own fleet size. The ratio is of two runs of the same process.
    """
    sizes = ((5, 6), (1800, 360))
    values = [placement_cost(seed, *size) for size in sizes]
    found = [
        _figure(
            'placement_us',
            value,
            'us',
            seed,
            f'{size[0]} replicas, {size[1]} routers',
            'fleet',
        )
        for size, value in zip(sizes, values, strict=True)
    ]
    ratio = values[1] / values[0]
    scenario = '1,800 replicas to 5'
    found.append(
        _figure('placement_us_ratio', ratio, 'ratio', seed, scenario, 'fleet')
    )
    return found


def run(smoke: bool, seed: int) -> typing.Iterator[measurement.Figure]:
    """Yield the figures.

    :param smoke: a short run.
    """
    for policy in ('fleet', 'no budget', 'no ejection'):
        yield from retries(seed, policy, 2000 if smoke else 20_000)
    for policy in ('fleet', 'equal parts', 'whole rate'):
        yield from rates(seed, policy, 60 if smoke else 600)
    for policy in ('fleet', 'two crashes'):
        yield from condemnations(
            seed, policy, 5, 3600 if smoke else 2 * _DAY_S, 12
        )
    if not smoke:
        for policy in ('fleet', 'two crashes'):
            yield from condemnations(seed, policy, 180, 2 * 3600, 6)
    yield from cost(seed)


def main() -> None:
    """Print the figures of a full run with seed 1."""
    for figure in run(smoke=False, seed=1):
        print(msgspec.json.encode(figure).decode())


if __name__ == '__main__':
    main()
