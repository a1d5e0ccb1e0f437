"""Benchmarks of rate limits, retry budgets, ejection and quarantine.

They run in virtual time. The cost of one placement is measured in real time.
"""

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
    engine_search,
    limits,
    placement,
    quarantine,
)
from papayaloom.routing.health import ejection
from papayaloom.routing.overload import budgets

_DAY_S = 86400
_ORG = ids.OrgId('org')


_figure = functools.partial(measurement.make_figure, digits=6)


# --- retries and ejection -------------------------------------------------


def retries(seed: int, policy: str, requests: int) -> list[measurement.Figure]:
    """Return the figures of requests sent while a third of the upstreams fail.

    :param policy: ``fleet``, ``no budget`` or ``no ejection``.
    """
    rng = random.Random(seed)
    upstreams = [f'upstream-{number}' for number in range(6)]
    failing = set(upstreams[:2])
    retry_budgets = budgets.RetryBudgets(budgets.Cfg())
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
                upstream
                for upstream in upstreams
                if upstream not in tried
                and (
                    policy == 'no ejection'
                    or ejected.status(upstream, now) != ejection.Status.EJECTED
                )
            ]
            if not choices:
                break
            chosen = rng.choice(choices)
            if tried and policy != 'no budget':
                if not retry_budgets.spend(chosen, now):
                    break
            if ejected.status(chosen, now) == ejection.Status.TRIAL:
                ejected.start_trial(chosen, now)
            tried.add(chosen)
            sent += 1
            if chosen not in failing or rng.random() < 0.2:
                ejected.record_success(chosen, now)
                retry_budgets.record_success(chosen, now)
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


class _PartitionedRouters:
    """Routers with rate allocators and limiters, and a network partition.

    A router reaches only the routers on its side of the partition.
    """

    def __init__(self, cfg: limits.Cfg, count: int) -> None:
        self.names = [
            ids.RouterId(f'router-{number}') for number in range(count)
        ]
        self.limiters = {name: limits.Limiter(cfg, name) for name in self.names}
        self.allocators = {
            name: limits.RateAllocator(cfg) for name in self.names
        }
        self.seen = {name: set(self.names) for name in self.names}
        self.sides: dict[ids.RouterId, int] = collections.defaultdict(int)
        for name in self.names:
            self.limiters[name].update_members(count)
            self.update_view(name, 0)

    def update_view(self, name: ids.RouterId, now: float) -> None:
        """Limit a router's membership view to the routers on its side.

        A router that thereby becomes the organisation's allocator defers its
        leases.
        """
        reachable = {
            other
            for other in self.names
            if self.sides[other] == self.sides[name]
        }
        before = hashing.highest_ranked(_ORG, self.seen[name])
        after = hashing.highest_ranked(_ORG, reachable)
        self.seen[name] = reachable
        self.allocators[name].update_members(sorted(reachable), len(self.names))
        if after == name and before != name:
            self.allocators[name].defer_leases(now)

    def step(self, now: float, duration_s: float) -> None:
        """Isolate two routers in the middle third of the run.

        The membership views follow 7 s after each change.
        """
        third = duration_s / 3
        for isolated in self.names[1:3]:
            self.sides[isolated] = int(third <= now < 2 * third)
        for name in self.names:
            if now - 7 in {third, 2 * third}:
                self.update_view(name, now)
            self.tick(name, now)

    def tick(self, name: ids.RouterId, now: float) -> None:
        """Exchange shares with the allocator if it is reachable."""
        sends = self.limiters[name].tick(
            lambda org: hashing.highest_ranked(org, self.seen[name]),
            now,
        )
        for send in sends:
            if self.sides[send.to] != self.sides[name]:
                continue
            request = typing.cast(messages.ShareRequest, send.message)
            allocator = self.allocators[send.to]
            for answer in allocator.handle(name, request, now):
                share = typing.cast(messages.Share, answer.message)
                self.limiters[name].apply_share(share, now)


def _max_count_in_window(timestamps: list[float], seconds: float) -> int:
    """Return the highest number of timestamps in any window.

    :param seconds: length of the window.
    """
    window: collections.deque[float] = collections.deque()
    highest = 0
    for timestamp in timestamps:
        window.append(timestamp)
        while window[0] < timestamp - seconds:
            window.popleft()
        highest = max(highest, len(window))
    return highest


def rates(
    seed: int, policy: str, duration_s: float
) -> list[measurement.Figure]:
    """Return the figures of an organisation that sends five times its rate.

    Two of six routers get most of the requests. In the middle third of the run
    two routers are partitioned from the others; each side detects it after 7
    seconds.

    :param policy: ``fleet``, ``equal parts`` (each router grants the rate
        divided by the number of members) or ``whole rate`` (each router grants
        the whole rate).
    """
    rng = random.Random(seed)
    cfg = limits.Cfg(rate_per_s=20)
    count = 6
    routers = _PartitionedRouters(cfg, count)
    refill_rates = {'equal parts': 20 / count, 'whole rate': 20}
    tokens = dict.fromkeys(routers.names, 1.0)
    weights = [50, 40, 1, 1, 1, 1]
    admitted: list[float] = []
    now: float = 0
    step = 0
    while now < duration_s:
        now += rng.expovariate(100)
        while step * 0.25 < now:
            step += 1
            routers.step(step * 0.25, duration_s)
        chosen = rng.choices(routers.names, weights)[0]
        if policy == 'fleet':
            granted = not routers.limiters[chosen].admit(_ORG, now)
        else:
            granted = tokens[chosen] >= 1
            tokens[chosen] -= granted
            for name in routers.names:
                refilled = tokens[name] + refill_rates[policy] * 0.01
                tokens[name] = min(
                    max(1, refill_rates[policy] * cfg.burst), refilled
                )
        if granted:
            admitted.append(now)
    highest = _max_count_in_window(admitted, 5)
    bound = (1 + cfg.burst) * cfg.rate_per_s * 5
    scenario = 'five times the rate, two of six routers cut off'
    return [
        _figure(
            'rate_over_bound',
            highest / bound,
            'ratio',
            seed,
            scenario,
            policy,
        ),
        _figure(
            'rate_used',
            len(admitted) / (cfg.rate_per_s * duration_s),
            'ratio',
            seed,
            scenario,
            policy,
        ),
    ]


# --- quarantine -----------------------------------------------------------


class _CrashSimulation:
    """Upstreams that crash, and callers that retry the lost requests."""

    def __init__(self, seed: int, cfg: quarantine.Cfg, upstreams: int) -> None:
        self.rng = random.Random(seed)
        self.quarantine_state = quarantine.Quarantine(cfg)
        self.quarantine_state.update_upstreams(upstreams)
        self.names = [f'upstream-{number}' for number in range(upstreams)]
        self.running: dict[str, dict[ids.Fingerprint, int]] = {
            name: {} for name in self.names
        }
        self.rate = upstreams * 17.6 / 26
        self.now: float = 0
        self.request_count = 0
        self.crashes = 0
        self.harmful_requests: set[ids.Fingerprint] = set()
        self.refused: set[ids.Fingerprint] = set()
        self._heap: list[tuple[float, int, typing.Any, typing.Any]] = []
        self._sequence = 0

    def after(
        self,
        delay: float,
        call: typing.Any,
        *args: typing.Any,
    ) -> None:
        """Schedule a call after a delay in seconds."""
        self._sequence += 1
        entry = (self.now + delay, self._sequence, call, args)
        heapq.heappush(self._heap, entry)

    def run(self, duration_s: float) -> None:
        """Run the scheduled calls up to a virtual time in seconds."""
        while self._heap:
            timestamp, _, call, args = heapq.heappop(self._heap)
            if timestamp > duration_s:
                return
            self.now = timestamp
            call(*args)

    def arrive(self) -> None:
        """Start a new request; one in 20,000 is harmful."""
        self.request_count += 1
        mark = ids.Fingerprint(str(self.request_count))
        if self.rng.random() < 1 / 20_000:
            self.harmful_requests.add(mark)
        self.start(mark)
        self.after(self.rng.expovariate(self.rate), self.arrive)

    def start(self, mark: ids.Fingerprint) -> None:
        """Start a request on an upstream that the quarantine allows."""
        treatment = self.quarantine_state.treatment(mark, self.now)
        if treatment == quarantine.Treatment.REFUSED:
            self.refused.add(mark)
            return
        choices = self.names
        if treatment == quarantine.Treatment.ISOLATED:
            avoided = self.quarantine_state.upstreams_to_avoid(mark)
            choices = [name for name in self.names if name not in avoided]
        if not choices:
            self.after(1, self.start, mark)
            return
        name = self.rng.choice(choices)
        self.running[name][mark] = self._sequence
        self.quarantine_state.record_start(mark, name, self.now)
        if mark in self.harmful_requests:
            self.after(2, self.poison, name, mark, self._sequence)
        length = self.rng.expovariate(1 / 26)
        self.after(length, self.end, name, mark, self._sequence)

    def end(
        self, name: str, mark: ids.Fingerprint, start_sequence: int
    ) -> None:
        """End a request unless a crash has lost this run of it."""
        if self.running[name].get(mark) == start_sequence:
            self.running[name].pop(mark)
            self.quarantine_state.record_end(mark, name, ran=True)

    def poison(
        self, name: str, mark: ids.Fingerprint, start_sequence: int
    ) -> None:
        """Crash the upstream of a harmful request if it still runs there."""
        if self.running[name].get(mark) == start_sequence:
            self.crash(name)

    def crash_at_random(self, crashes_per_s: float) -> None:
        """Crash a random upstream and schedule the next random crash."""
        self.crash(self.rng.choice(self.names))
        self.after(
            self.rng.expovariate(crashes_per_s),
            self.crash_at_random,
            crashes_per_s,
        )

    def crash_many(self) -> None:
        """Crash a tenth of the upstreams at once, at least two."""
        for name in self.rng.sample(self.names, max(2, len(self.names) // 10)):
            self.crash(name)

    def crash(self, name: str) -> None:
        """Crash an upstream; its requests are retried after 1 to 2 seconds."""
        self.crashes += 1
        self.quarantine_state.record_crash(name, self.now)
        lost = list(self.running[name])
        self.running[name].clear()
        for mark in lost:
            self.after(1 + self.rng.random(), self.start, mark)


def condemnations(
    seed: int,
    policy: str,
    upstreams: int,
    duration_s: float,
    crashes_per_day: float,
) -> list[measurement.Figure]:
    """Return the figures of random crashes and of harmful requests.

    After every crash the callers retry the lost requests. One request in 20,000
    crashes the upstream that runs it, after two seconds. Twice in the run a
    tenth of the upstreams, at least two, crash at once.

    :param policy: ``fleet``, or ``two crashes`` (any two crashes condemn).
    :param crashes_per_day: mean number of random crashes of one upstream.
    """
    cfg = quarantine.Cfg()
    if policy == 'two crashes':
        cfg = msgspec.structs.replace(cfg, mass_share=10, harmful_share=1)
    simulation = _CrashSimulation(seed, cfg, upstreams)
    simulation.after(0, simulation.arrive)
    crashes_per_s = upstreams * crashes_per_day / _DAY_S
    simulation.after(
        simulation.rng.expovariate(crashes_per_s),
        simulation.crash_at_random,
        crashes_per_s,
    )
    for fraction in (0.3, 0.7):
        simulation.after(duration_s * fraction, simulation.crash_many)
    simulation.run(duration_s)
    harmless = len(simulation.refused - simulation.harmful_requests)
    harmful = max(1, len(simulation.harmful_requests))
    found = simulation.quarantine_state.dump(simulation.now)
    crashed = [
        len(found[mark].crashes)
        for mark in simulation.harmful_requests
        if mark in found
    ]
    values = (
        ('false_condemnations', harmless / simulation.request_count, 'share'),
        (
            'false_condemnations_per_day',
            harmless * _DAY_S / duration_s,
            '1/day',
        ),
        (
            'condemned_of_harmful',
            len(simulation.refused & simulation.harmful_requests) / harmful,
            'share',
        ),
        ('crashes_by_one_request', sum(crashed) / harmful, 'crashes'),
        ('crashes', simulation.crashes, 'crashes'),
    )
    size = f'{upstreams} upstreams'
    scenario = f'{size}, {crashes_per_day:g} crashes of each a day'
    return [
        _figure(name, value, unit, seed, scenario, policy)
        for name, value, unit in values
    ]


# --- cost of one placement ------------------------------------------------


def placement_cost(seed: int, engines: int, routers: int) -> float:
    """Return the microseconds of one engine search with one admission.

    This is the median of 30 batches. The work of the home and of the owner is
    measured together, in one process.
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
    owned_engines = [name for name in names if owner.ranks.order(name)[0] == me]
    ask_ids = iter(range(10**9))
    batches = []
    now = 10.0
    for _ in range(30):
        started = time.perf_counter()
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
                ask_ids,
            )
            step = search.start(now)
            if step.ask is not None and owned_engines:
                ask = msgspec.structs.replace(step.ask, engine=owned_engines[0])
                owner.handle(me, ask, now)
                release = messages.Release(
                    ask.ask, owned_engines[0], finished=True
                )
                owner.handle(me, release, now)
        batches.append((time.perf_counter() - started) / 100)
    return sorted(batches)[len(batches) // 2] * 1e6


def cost(seed: int) -> list[measurement.Figure]:
    """Return the cost of a placement at 5 and at 1,800 replicas.

    The number of routers grows with the replicas. Both costs of the ratio are
    measured in the same process.
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

    :param smoke: whether to do a short run.
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
