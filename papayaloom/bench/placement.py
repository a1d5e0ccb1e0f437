"""Figures of placement and admission in virtual time.

``load_over_cap`` is the highest ratio, over all admissions after the warm-up,
of an engine's load after the admission to the cap by the true total at that
moment: ``max(1, ceil(multiple * (T + 1) / N))``. T are the requests admitted
and not finished on the N engines that are up, not leaving and announced (some
owner admits to them); an admission counts from the owner's decision.
``load_over_cap_always`` is the same ratio sampled every 0.1 s: requests that
finish elsewhere lower the mean, so it exceeds 1 without any admission.
"""

import random
import time
import typing

import msgspec
import numpy as np

from papayaloom import ids, messages
from papayaloom.bench import measurement
from papayaloom.bench import placement_policies as policies
from papayaloom.bench import placement_world as worlds
from papayaloom.process import admission, placement, prefixes

MULTIPLE = 1.15
SCENARIOS = ('steady', 'surge', 'churn', 'disagree', 'lagging')
TODAY = worlds.Size(engines=5, routers=6)
KELANI = worlds.Size(engines=6, routers=6)
LARGER = worlds.Size(
    engines=120,
    routers=24,
    organisations=60,
    warm_s=90,
    length_s=180,
)
SMOKE = worlds.Size(engines=5, routers=6, warm_s=30, length_s=90)


class Plan(msgspec.Struct, frozen=True):
    """One run: a policy in a scenario."""

    size: worlds.Size
    scenario: str
    policy: str
    seed: int
    reuse_weight: float = 0.6
    multiple: float = MULTIPLE


def fleet_cfg(plan: Plan) -> policies.FleetCfg:
    """Return the settings of the simulated fleet."""
    return policies.FleetCfg(
        admission.Cfg(
            load_multiple=plan.multiple,
            most_running=plan.size.most,
        ),
        placement.Cfg(reuse_weight=plan.reuse_weight),
        prefixes.Cfg(blocks=plan.size.blocks),
    )


def simulate(plan: Plan) -> worlds.Stats:
    """Run one policy in one scenario."""
    size = plan.size
    surge = None
    if plan.scenario == 'surge':
        begin = size.warm_s + (size.length_s - size.warm_s) * 0.2
        surge = (begin, begin + (size.length_s - size.warm_s) * 0.3)
    jobs = worlds.trace(size, random.Random(plan.seed), surge)
    lagging = plan.scenario == 'lagging'
    world = worlds.World(
        size,
        random.Random(plan.seed + 1),
        plan.multiple,
        (0.5, 2) if lagging else (0.05, 0.5),
        0.3 if lagging else 0.02,
    )
    policy = _policy(plan, world)
    for job in jobs:
        world.after(job.arrival, policy.arrive, job)
        if job.arrival >= size.warm_s:
            world.stats.arrived += 1
            world.stats.quiet += job.quiet
    if plan.scenario == 'churn':
        _churn(world, policy, random.Random(plan.seed + 2))
    if plan.scenario == 'disagree' and isinstance(policy, policies.Fleet):
        _disagree(world, policy)
    policy.begin()
    world.run()
    return world.stats


def _policy(plan: Plan, world: worlds.World) -> policies.Policy:
    rng = random.Random(plan.seed + 3)
    if plan.policy == 'fleet':
        if plan.scenario == 'lagging':
            cfg = fleet_cfg(plan)
            return policies.Fleet(world, rng, cfg, 0.05, 0.3, (0, 1.5))
        return policies.Fleet(world, rng, fleet_cfg(plan))
    if plan.policy == 'all-knowing':
        return policies.Knowing(world, rng)
    choices = {
        'alone': policies.choose_reported,
        'random': policies.choose_random,
        'two choices': policies.choose_two,
        'rendezvous': policies.choose_rendezvous,
    }
    return policies.Alone(world, rng, choices[plan.policy])


POLICIES = (
    'fleet',
    'alone',
    'random',
    'two choices',
    'rendezvous',
    'all-knowing',
)

COMPARED = POLICIES[:-1]


def _churn(
    world: worlds.World,
    policy: policies.Policy,
    rng: random.Random,
) -> None:
    """Let an engine crash, flap or leave every 20 seconds."""
    names = sorted(world.engines)

    def back(name: ids.EngineId, empty: bool) -> None:
        fake = world.engines[name]
        fake.up = True
        fake.leaving = False
        if empty:
            fake.cache.clear()
        policy.engines_changed()

    def gone(name: ids.EngineId) -> None:
        if world.engines[name].up:
            world.crash(name)
            policy.engines_changed()

    def leave(name: ids.EngineId) -> None:
        world.engines[name].leaving = True
        policy.engines_changed()
        # Its streams are given time to end.
        world.after(60, gone, name)
        world.after(65, back, name, True)

    moment = world.size.warm_s * 0.9
    while moment < world.size.length_s:
        idle = [name for name in names if rng.random() < 0.9] or names
        name = rng.choice(idle)
        if rng.random() < 0.3:
            world.after(moment, leave, name)
            moment += 50
        else:
            world.after(moment, gone, name)
            world.after(moment + rng.choice((3, 15)), back, name, False)
        moment += 20


def _disagree(world: worlds.World, fleet: policies.Fleet) -> None:
    """Let routers disagree on membership: cuts, pauses, a join, false deaths.

    The times are shares of the measured time.
    """
    names = sorted(fleet.nodes)
    start = world.size.warm_s
    span = world.size.length_s - start
    third = names[: len(names) // 3]

    def falsely_dead(name: ids.RouterId, observer: ids.RouterId) -> None:
        node = fleet.nodes[observer]
        node.states[name] = messages.MemberState.DEAD
        fleet.see(name, messages.MemberState.ALIVE, (3, 6), (observer,))

    world.after(start + 0.05 * span, fleet.cut, third, 12)
    world.after(start + 0.15 * span, fleet.pause, names[-1], 15)
    world.after(start + 0.25 * span, fleet.join, ids.RouterId('router-new'))
    world.after(start + 0.4 * span, fleet.cut, third, 0.2 * span)
    world.after(start + 0.7 * span, fleet.pause, names[-2], 0.15 * span)
    step = 0
    for one in names:
        for other in names:
            if one != other and step < 30:
                step += 1
                world.after(start + span * step / 31, falsely_dead, one, other)


def figures(
    plan: Plan, bound: worlds.Stats | None = None
) -> list[measurement.Figure]:
    """Run a policy and return its figures.

    :param bound: what the all-knowing policy reached on the same trace.
    """
    stats = simulate(plan)
    return describe(plan, stats, bound)


def describe(
    plan: Plan,
    stats: worlds.Stats,
    bound: worlds.Stats | None,
) -> list[measurement.Figure]:
    """Return the figures of a finished run."""
    reuse = _reuse(stats)
    arrived = max(1, stats.arrived)
    found = [
        ('load_over_cap', max(stats.over), 'ratio'),
        ('load_over_cap_always', max(stats.over_always), 'ratio'),
        ('skew', _percentile(stats.skews or [0], 99), 'ratio'),
        ('cache_reuse', reuse, 'share'),
        ('refusals', stats.refused / arrived, 'share'),
        ('false_refusals', stats.falsely / arrived, 'share'),
        ('first_token_p95', _percentile(stats.first_token_s, 95), 's'),
        ('late_share', stats.late / max(1, stats.answered), 'share'),
    ]
    if bound is not None:
        found.append(
            ('cache_reuse_of_bound', reuse / max(_reuse(bound), 1e-9), 'ratio')
        )
    if plan.scenario == 'surge':
        quiet_in_time = stats.quiet_in_time / max(1, stats.quiet)
        found.append(('fairness', quiet_in_time, 'share'))
        quiet = stats.reused['quiet'] / max(1, stats.prompt['quiet'])
        found.append(('quiet_cache_reuse', quiet, 'share'))
    size = f'{plan.size.engines} engines'
    return [
        measurement.entry(
            name,
            value,
            unit,
            plan.seed,
            f'{plan.scenario}, {size}, weight {plan.reuse_weight}',
            plan.policy,
        )
        for name, value, unit in found
    ]


def _percentile(values: list[float], percent: int) -> float:
    return float(np.percentile(values, percent))


def _reuse(stats: worlds.Stats) -> float:
    return sum(stats.reused.values()) / max(1, sum(stats.prompt.values()))


def run(smoke: bool, seed: int) -> typing.Iterator[measurement.Figure]:
    """Yield the figures.

    :param smoke: a short run of two scenarios at the size of today.
    """
    sizes = [SMOKE] if smoke else [TODAY, KELANI]
    scenarios = ('steady', 'disagree') if smoke else SCENARIOS
    for size in sizes:
        for scenario in scenarios:
            yield from compare(size, scenario, seed)
    if not smoke:
        yield from compare(LARGER, 'steady', seed, ('fleet',))


def compare(
    size: worlds.Size,
    scenario: str,
    seed: int,
    names: tuple[str, ...] = COMPARED,
    reuse_weight: float = 0.6,
) -> typing.Iterator[measurement.Figure]:
    """Yield the figures of all policies on one trace."""
    plan = Plan(size, scenario, 'all-knowing', seed, reuse_weight)
    bound = simulate(plan)
    yield from describe(plan, bound, None)
    for name in names:
        chosen = msgspec.structs.replace(plan, policy=name)
        yield from figures(chosen, bound)


def main() -> None:
    """Print the figures of a full run with seed 1."""
    started = time.perf_counter()
    for figure in run(smoke=False, seed=1):
        print(msgspec.json.encode(figure).decode())
    print(f'# {time.perf_counter() - started:.1f} s')


if __name__ == '__main__':
    main()
