"""Benchmarks of placement and admission in virtual time.

``load_over_cap`` is the highest ratio, over all admissions after the warm-up,
of an engine's load after the admission to the cap by the true total at that
time: ``max(1, ceil(load_multiple * (T + 1) / N))``. T is the number of requests
admitted and not finished on the N engines that are up, not leaving and
announced (some owner admits to them); an admission counts from the owner's
decision. ``load_over_cap_always`` is the same ratio sampled every 0.1 s:
requests that finish on other engines lower the mean, so it exceeds 1 without
any admission.
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

LOAD_MULTIPLE = 1.15
SCENARIOS = ('steady', 'surge', 'churn', 'disagree', 'lagging')
CURRENT_DEPLOYMENT = worlds.FleetSize(engines=5, routers=6)
KELANI_DEPLOYMENT = worlds.FleetSize(engines=6, routers=6)
LARGE_DEPLOYMENT = worlds.FleetSize(
    engines=120,
    routers=24,
    organisations=60,
    warm_up_s=90,
    duration_s=180,
)
SMOKE_SIZE = worlds.FleetSize(engines=5, routers=6, warm_up_s=30, duration_s=90)


class Plan(msgspec.Struct, frozen=True):
    """Parameters of one run: a policy in a scenario."""

    size: worlds.FleetSize
    scenario: str
    policy: str
    seed: int
    reuse_weight: float = 0.6
    load_multiple: float = LOAD_MULTIPLE


def fleet_cfg(plan: Plan) -> policies.FleetCfg:
    """Return the settings of the simulated fleet."""
    return policies.FleetCfg(
        admission.Cfg(
            load_multiple=plan.load_multiple,
            most_running=plan.size.max_running,
        ),
        placement.Cfg(reuse_weight=plan.reuse_weight),
        prefixes.Cfg(blocks=plan.size.blocks),
    )


def simulate(plan: Plan) -> worlds.Stats:
    """Run one policy in one scenario and return its statistics."""
    size = plan.size
    surge = None
    if plan.scenario == 'surge':
        begin = size.warm_up_s + (size.duration_s - size.warm_up_s) * 0.2
        surge = (begin, begin + (size.duration_s - size.warm_up_s) * 0.3)
    jobs = worlds.trace(size, random.Random(plan.seed), surge)
    lagging = plan.scenario == 'lagging'
    world = worlds.World(
        size,
        random.Random(plan.seed + 1),
        plan.load_multiple,
        (0.5, 2) if lagging else (0.05, 0.5),
        0.3 if lagging else 0.02,
    )
    policy = _build_policy(plan, world)
    for job in jobs:
        world.after(job.arrival, policy.arrive, job)
        if job.arrival >= size.warm_up_s:
            world.stats.arrived += 1
            world.stats.quiet += job.quiet
    if plan.scenario == 'churn':
        _schedule_churn(world, policy, random.Random(plan.seed + 2))
    if plan.scenario == 'disagree' and isinstance(policy, policies.Fleet):
        _schedule_disagreements(world, policy)
    policy.begin()
    world.run()
    return world.stats


def _build_policy(plan: Plan, world: worlds.World) -> policies.Policy:
    rng = random.Random(plan.seed + 3)
    if plan.policy == 'fleet':
        if plan.scenario == 'lagging':
            cfg = fleet_cfg(plan)
            return policies.Fleet(world, rng, cfg, 0.05, 0.3, (0, 1.5))
        return policies.Fleet(world, rng, fleet_cfg(plan))
    if plan.policy == 'all-knowing':
        return policies.AllKnowing(world, rng)
    choices = {
        'alone': policies.choose_by_reports,
        'random': policies.choose_random,
        'two choices': policies.choose_less_loaded_of_two,
        'rendezvous': policies.choose_rendezvous,
    }
    return policies.Baseline(world, rng, choices[plan.policy])


POLICIES = (
    'fleet',
    'alone',
    'random',
    'two choices',
    'rendezvous',
    'all-knowing',
)

COMPARED_POLICIES = POLICIES[:-1]


def _schedule_churn(
    world: worlds.World,
    policy: policies.Policy,
    rng: random.Random,
) -> None:
    """Schedule engine crashes and planned stops.

    There is one every 20 seconds, or 70 seconds after a planned stop. A crashed
    engine is up again after 3 or 15 seconds, a stopped one after 65.
    """
    names = sorted(world.engines)

    def restore(name: ids.EngineId, clear_cache: bool) -> None:
        fake = world.engines[name]
        fake.up = True
        fake.leaving = False
        if clear_cache:
            fake.cache.clear()
        policy.engines_changed()

    def gone(name: ids.EngineId) -> None:
        if world.engines[name].up:
            world.crash(name)
            policy.engines_changed()

    def start_leaving(name: ids.EngineId) -> None:
        world.engines[name].leaving = True
        policy.engines_changed()
        # Streams on the leaving engine get 60 s to end.
        world.after(60, gone, name)
        world.after(65, restore, name, True)

    timestamp = world.size.warm_up_s * 0.9
    while timestamp < world.size.duration_s:
        idle = [name for name in names if rng.random() < 0.9] or names
        name = rng.choice(idle)
        if rng.random() < 0.3:
            world.after(timestamp, start_leaving, name)
            timestamp += 50
        else:
            world.after(timestamp, gone, name)
            world.after(timestamp + rng.choice((3, 15)), restore, name, False)
        timestamp += 20


def _schedule_disagreements(world: worlds.World, fleet: policies.Fleet) -> None:
    """Schedule faults that make routers disagree on the membership.

    These are network partitions, paused processes, a joining router and
    routers that one other router wrongly sees as dead. Their times are
    fractions of the measured time.
    """
    names = sorted(fleet.nodes)
    start = world.size.warm_up_s
    measured_s = world.size.duration_s - start
    third = names[: len(names) // 3]

    def mark_falsely_dead(name: ids.RouterId, observer: ids.RouterId) -> None:
        node = fleet.nodes[observer]
        node.member_states[name] = messages.MemberState.DEAD
        fleet.schedule_state_change(
            name, messages.MemberState.ALIVE, (3, 6), (observer,)
        )

    world.after(start + 0.05 * measured_s, fleet.partition, third, 12)
    world.after(start + 0.15 * measured_s, fleet.pause, names[-1], 15)
    world.after(
        start + 0.25 * measured_s, fleet.join, ids.RouterId('router-new')
    )
    world.after(
        start + 0.4 * measured_s, fleet.partition, third, 0.2 * measured_s
    )
    world.after(
        start + 0.7 * measured_s, fleet.pause, names[-2], 0.15 * measured_s
    )
    step = 0
    for subject in names:
        for other in names:
            if subject != other and step < 30:
                step += 1
                world.after(
                    start + measured_s * step / 31,
                    mark_falsely_dead,
                    subject,
                    other,
                )


def figures(
    plan: Plan, bound: worlds.Stats | None = None
) -> list[measurement.Figure]:
    """Run a policy and return its figures.

    :param bound: statistics of the all-knowing policy on the same trace.
    """
    stats = simulate(plan)
    return describe(plan, stats, bound)


def describe(
    plan: Plan,
    stats: worlds.Stats,
    bound: worlds.Stats | None,
) -> list[measurement.Figure]:
    """Return the figures of a finished run.

    :param bound: statistics of the all-knowing policy on the same trace.
    """
    reuse = _reuse(stats)
    arrived = max(1, stats.arrived)
    found = [
        ('load_over_cap', max(stats.load_over_cap), 'ratio'),
        ('load_over_cap_always', max(stats.sampled_load_over_cap), 'ratio'),
        ('skew', _percentile(stats.skews or [0], 99), 'ratio'),
        ('cache_reuse', reuse, 'share'),
        ('refusals', stats.refused / arrived, 'share'),
        ('false_refusals', stats.falsely_refused / arrived, 'share'),
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
        quiet = stats.reused_blocks['quiet'] / max(1, stats.prompt['quiet'])
        found.append(('quiet_cache_reuse', quiet, 'share'))
    size = f'{plan.size.engines} engines'
    return [
        measurement.make_figure(
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
    return sum(stats.reused_blocks.values()) / max(
        1, sum(stats.prompt.values())
    )


def run(smoke: bool, seed: int) -> typing.Iterator[measurement.Figure]:
    """Yield the figures.

    :param smoke: whether to run only two short scenarios, with as many engines
        and routers as the current deployment.
    """
    sizes = [SMOKE_SIZE] if smoke else [CURRENT_DEPLOYMENT, KELANI_DEPLOYMENT]
    scenarios = ('steady', 'disagree') if smoke else SCENARIOS
    for size in sizes:
        for scenario in scenarios:
            yield from compare(size, scenario, seed)
    if not smoke:
        yield from compare(LARGE_DEPLOYMENT, 'steady', seed, ('fleet',))


def compare(
    size: worlds.FleetSize,
    scenario: str,
    seed: int,
    names: tuple[str, ...] = COMPARED_POLICIES,
    reuse_weight: float = 0.6,
) -> typing.Iterator[measurement.Figure]:
    """Yield the figures of the all-knowing policy and of others on one trace.

    :param names: the other policies.
    """
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
