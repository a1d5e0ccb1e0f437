"""Benchmarks of membership, settings distribution, addresses and stops.

See section 15 of docs/design.md for the targets. Sizes, losses and virtual
times are in :class:`Scale`.
"""

import functools
import math
import random
import tracemalloc
import typing

import msgspec

from papayaloom import hashing, ids
from papayaloom.bench import (
    fleet_simulation,
    fleet_stops,
    fleet_view_baselines,
    measurement,
)

POLICY = 'swim-full-view'
# 5,400 changes a day.
_EDIT_PERIOD_S = 16.0
_CHAT_COUNT = 20000
_EXTRAPOLATED_SIZE = 3000


class Scale(msgspec.Struct, frozen=True):
    """Sizes and virtual durations of the benchmark.

    :param sizes: numbers of members.
    :param scenario_s: virtual time of the quiet and the churn scenario.
    :param crashes: sequential crashes in each detection scenario.
    :param long_run_size: members of the long run; 24, because the hour takes
        fifteen times as long at 360 and wall time grows quadratically.
    :param long_run_s: virtual time of the long run.
    """

    sizes: tuple[int, ...] = (6, 24, 96, 360)
    losses: tuple[float, ...] = (0, 0.01, 0.05)
    scenario_s: float = 60
    crashes: int = 12
    long_run_size: int = 24
    long_run_s: float = 3600


SMOKE_SCALE = Scale(
    sizes=(6, 24),
    losses=(0.05,),
    scenario_s=12,
    crashes=1,
    long_run_size=6,
    long_run_s=60,
)
_Figures = typing.Iterator[measurement.Figure]


def run(smoke: bool = False, seed: int = 1) -> _Figures:
    """Run all scenarios and yield their figures.

    :param smoke: use small sizes and short virtual times.
    """
    scale = SMOKE_SCALE if smoke else Scale()
    for size in scale.sizes:
        for loss in scale.losses:
            yield from quiet(size, loss, scale.scenario_s, seed)
            yield from churn(size, loss, scale.scenario_s, seed)
        yield from detection(size, scale.losses[-1], scale.crashes, seed)
        yield from memory(size, seed)
        yield from moved_chats(size, seed)
    yield from long_run(scale.long_run_size, scale.long_run_s, seed)
    for name, value, unit, policy in fleet_stops.run(seed):
        yield measurement.Figure(
            name, value, unit, seed, 'rolling restart, n=6', policy
        )
    yield from scaling_exponents(scale, seed)


def quiet(size: int, loss: float, length_s: float, seed: int) -> _Figures:
    """Measure traffic, CPU and settings delay with constant membership."""
    figure = _figure_factory(f'quiet, n={size}, loss={loss:g}', seed)
    fleet = fleet_simulation.Fleet(size, loss, seed)
    fleet.run(5)
    meter = _CostMeter(fleet)
    _schedule_edits(fleet, 5, length_s - 10)
    fleet.run(5 + length_s)
    yield from meter.figures(figure)
    yield from _settings_figures(fleet, figure)
    yield from _store_figures(fleet, length_s, figure)
    yield figure('false_deaths', fleet.false_deaths, 'count')


def memory(size: int, seed: int) -> _Figures:
    """Measure the Python heap of one router with a full view after 3 s."""
    tracemalloc.start()
    fleet = fleet_simulation.Fleet(size, 0, seed)
    fleet.run(3)
    used = tracemalloc.get_traced_memory()[0] / len(fleet.routers)
    tracemalloc.stop()
    yield _figure_factory(f'quiet, n={size}', seed)(
        'control_memory_bytes', used, 'bytes/router'
    )


def churn(size: int, loss: float, length_s: float, seed: int) -> _Figures:
    """Restart a router every 5 s; the expected rate is one in 438 s at 360."""
    figure = _figure_factory(f'churn, n={size}, loss={loss:g}', seed)
    fleet = fleet_simulation.Fleet(size, loss, seed)
    fleet.run(5)
    rng = random.Random(seed)
    meter = _CostMeter(fleet)
    restart_at = 6.0
    while restart_at < length_s - 5:
        fleet.call_at(
            restart_at, functools.partial(_crash_and_restart, fleet, rng)
        )
        restart_at += 5
    _schedule_edits(fleet, 5, length_s - 10)
    fleet.run(5 + length_s)
    yield from meter.figures(figure)
    yield from _settings_figures(fleet, figure)
    yield from _store_figures(fleet, length_s, figure)


def detection(size: int, loss: float, crashes: int, seed: int) -> _Figures:
    """Measure the time from a crash until no member sees the router alive."""
    figure = _figure_factory(f'crashes, n={size}, loss={loss:g}', seed)
    fleet = fleet_simulation.Fleet(size, loss, seed)
    fleet.run(5)
    delays = _detection_delays(fleet, crashes, random.Random(seed))
    yield figure('detect_s', max(delays), 's', 'max')
    yield figure('detect_mean_s', sum(delays) / len(delays), 's')
    yield figure('false_deaths', fleet.false_deaths, 'count')
    for policy, name, value, unit in fleet_view_baselines.run(size, loss, seed):
        yield msgspec.structs.replace(figure(name, value, unit), policy=policy)


def long_run(size: int, length_s: float, seed: int) -> _Figures:
    """Run long with 5% loss, with a crash and a restart every 5 minutes."""
    figure = _figure_factory(
        f'long run, n={size}, loss=0.05, {length_s:g} s', seed
    )
    fleet = fleet_simulation.Fleet(size, 0.05, seed)
    fleet.run(5)
    rng = random.Random(seed)
    delays: list[float] = []
    while fleet.now < length_s:
        fleet.run(min(fleet.now + 300, length_s))
        delays += _detection_delays(fleet, 1, rng)
    yield figure('detect_s', max(delays), 's', 'max')
    yield figure('false_deaths', fleet.false_deaths, 'count')


def moved_chats(size: int, seed: int) -> _Figures:
    """Measure the share of chats that move when one host leaves, times n.

    The figure is the mean over a quarter of the hosts, each leaving alone: at
    360 members a single host is home to 56 of the chats, which gives a
    sampling error of 13%. features/hashing.feature tests that the chats of
    other hosts do not move.
    """
    figure = _figure_factory(f'one host goes, n={size}', seed)
    members = [
        fleet_simulation.make_member(number, size).router
        for number in range(size)
    ]
    removed = set(random.Random(seed).sample(members, max(size // 4, 1)))
    chats = [f'{seed}-{number}' for number in range(_CHAT_COUNT)]
    homes = [hashing.highest_ranked(chat, members) for chat in chats]
    changed = sum(home in removed for home in homes) / len(removed)
    yield figure('chats_moved_share', changed / _CHAT_COUNT * size, 'x 1/n')


def scaling_exponents(scale: Scale, seed: int) -> _Figures:
    """Fit the growth of the costs with the fleet size to a power law."""
    small, large = scale.sizes[-2:]
    loss = scale.losses[-1]
    for name in ('control_bytes_per_second', 'control_core_share'):
        values = [
            next(
                figure.value
                for figure in quiet(size, loss, 20, seed)
                if figure.name == name
            )
            for size in (small, large)
        ]
        exponent = math.log(values[1] / values[0]) / math.log(large / small)
        yield _figure_factory(f'n={small} to {large}, loss={loss:g}', seed)(
            f'{name}_slope', exponent, 'exponent of n'
        )
        extrapolated = values[1] * (_EXTRAPOLATED_SIZE / large) ** exponent
        yield _figure_factory(
            f'extrapolated to n={_EXTRAPOLATED_SIZE}, loss={loss:g}', seed
        )(f'{name}_extrapolated', extrapolated, 'as measured')


class _CostMeter:
    """Meter of bytes and CPU time over a period of virtual time."""

    def __init__(self, fleet: fleet_simulation.Fleet) -> None:
        self._fleet = fleet
        self._start = fleet.now
        self._bytes = _by_router(fleet, 'sent_bytes')
        self._cpu = _by_router(fleet, 'cpu_s')

    def figures(self, figure: typing.Any) -> _Figures:
        """Yield the mean and highest cost per router."""
        seconds = self._fleet.now - self._start
        sent = _increases(self._bytes, _by_router(self._fleet, 'sent_bytes'))
        cpu = _increases(self._cpu, _by_router(self._fleet, 'cpu_s'))
        yield figure(
            'control_bytes_per_second', max(sent) / seconds, 'bytes/s', 'max'
        )
        mean_sent = sum(sent) / len(sent) / seconds
        yield figure('control_bytes_per_second_mean', mean_sent, 'bytes/s')
        yield figure(
            'control_core_share', sum(cpu) / len(cpu) / seconds, 'cores'
        )


def _by_router(
    fleet: fleet_simulation.Fleet, name: str
) -> dict[fleet_simulation.Router, float]:
    return {router: getattr(router, name) for router in fleet.routers.values()}


def _increases(
    before: dict[fleet_simulation.Router, float],
    after: dict[fleet_simulation.Router, float],
) -> list[float]:
    return [total - before.get(router, 0) for router, total in after.items()]


def _schedule_edits(
    fleet: fleet_simulation.Fleet, start: float, length_s: float
) -> None:
    """Schedule edits at the expected rate, at least three."""
    period = min(_EDIT_PERIOD_S, length_s / 4)
    for number in range(int(length_s / period)):
        fleet.call_at(start + number * period + 0.05, fleet.commit)


def _settings_figures(
    fleet: fleet_simulation.Fleet, figure: typing.Any
) -> _Figures:
    delays = [
        max(_applied_at(router, number) - max(committed, router.started), 0)
        for router in fleet.routers.values()
        for number, committed in enumerate(fleet.store.committed, start=1)
    ]
    delays.sort()
    yield figure('settings_delay_s', delays[-1], 's', 'max')
    yield figure(
        'settings_delay_s', delays[int(len(delays) * 0.99) - 1], 's', 'p99'
    )
    reverts = sum(router.reverts for router in fleet.routers.values())
    yield figure('settings_reverts', reverts, 'count')


def _applied_at(router: fleet_simulation.Router, version: int) -> float:
    """Return when a router first applied this version or a newer one."""
    times = [at for applied, at in router.versions if applied >= version]
    return min(times, default=math.inf)


def _store_figures(
    fleet: fleet_simulation.Fleet, length_s: float, figure: typing.Any
) -> _Figures:
    store = fleet.store
    for kind, count in (
        ('reads', store.reads - fleet.size),
        ('writes', store.writes),
        ('watches', store.watches),
    ):
        yield figure('kv_calls_per_second', count / length_s, 'calls/s', kind)
    waiting = sum(router.watching for router in fleet.routers.values())
    yield figure('kv_waiting_watches', waiting, 'count')


def _crash_and_restart(
    fleet: fleet_simulation.Fleet, rng: random.Random
) -> None:
    """Crash a random router and restart it after two seconds."""
    old = fleet.crash(rng.choice(sorted(fleet.routers)))
    me = msgspec.structs.replace(
        old.me, incarnation=old.me.incarnation + round(fleet.now) + 1
    )
    fleet.call_at(fleet.now + 2, functools.partial(fleet.start, me))


def _detection_delays(
    fleet: fleet_simulation.Fleet, crashes: int, rng: random.Random
) -> list[float]:
    delays = []
    for _ in range(crashes):
        victim = rng.choice(sorted(fleet.routers))
        old = fleet.crash(victim)
        crashed = fleet.now
        while fleet.now < crashed + 60 and _count_seeing_alive(fleet, victim):
            fleet.run(fleet.now + 0.1)
        delays.append(fleet.now - crashed)
        fleet.run(fleet.now + 5)
        fleet.start(
            msgspec.structs.replace(
                old.me, incarnation=old.me.incarnation + round(fleet.now)
            )
        )
        fleet.run(fleet.now + 15)
    return delays


def _count_seeing_alive(
    fleet: fleet_simulation.Fleet, victim: ids.RouterId
) -> int:
    entries = (
        router.membership.table.get(victim) for router in fleet.routers.values()
    )
    return sum(entry is not None and entry.is_alive for entry in entries)


def _figure_factory(scenario: str, seed: int) -> typing.Any:
    def figure(
        name: str, value: float, unit: str, aggregate: str = ''
    ) -> measurement.Figure:
        where = f'{scenario}, {aggregate}' if aggregate else scenario
        return measurement.Figure(
            name, round(float(value), 6), unit, seed, where, POLICY
        )

    return figure
