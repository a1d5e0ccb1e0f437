"""Resource use per unit of load, for docs/CAPACITY.md.

Measures memory, CPU time and message sizes of the decision core of one router
for given numbers of members, engines, organisations and chats. Memory is
measured with tracemalloc, CPU time with ``time.process_time``.
"""

import gc
import random
import time
import tracemalloc
import typing

import msgspec
import result

from papayaloom import hashing, ids, messages
from papayaloom.bench import measurement
from papayaloom.connection import codec
from papayaloom.ports import hosts
from papayaloom.process import admission_client, core, current_settings
from papayaloom.request import core_api
from papayaloom.version import change, snapshot

_ROUTER_ID = ids.RouterId('router-0')
_MODEL_COUNT = 3
_TICK_INTERVAL_S = 0.05
_KEY_HASH = 'a' * 64
_Size = tuple[int, int]
# Numbers of members and engines: the current fleet, and the planned fleet of
# 360 members and 1,800 engines, of which the region of a router has a third.
_CURRENT_SIZE: _Size = (6, 6)
_REGION_SIZE: _Size = (120, 600)
_PLANNED_SIZE: _Size = (360, 1800)


class _FigureCollector:
    """Collects the figures of a run."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.collected: list[measurement.Figure] = []

    def add(self, name: str, value: float, unit: str, scenario: str) -> None:
        """Add a figure."""
        self.collected.append(
            measurement.make_figure(
                name, value, unit, self.seed, scenario, 'fleet'
            ),
        )


def run(*, smoke: bool, seed: int) -> typing.Iterator[measurement.Figure]:
    """Run the benchmark and yield its figures.

    :param smoke: use small sizes.
    """
    figures = _FigureCollector(seed)
    sizes = (
        (_CURRENT_SIZE, (12, 24))
        if smoke
        else (_CURRENT_SIZE, _REGION_SIZE, _PLANNED_SIZE)
    )
    for size in sizes:
        _measure_core(figures, size, seed)
    _measure_settings(figures, 50 if smoke else 1000)
    _measure_hints(figures, 200 if smoke else 5300, seed)
    _measure_messages(figures)
    yield from figures.collected


def _host_list(size: _Size) -> hosts.HostList:
    members, engines = size
    entries = [
        hosts.Host(
            ids.HostId(f'router-{number}'),
            hosts.Kind.ENTRY,
            f'10.0.0.{number}:7100',
            ids.ZoneId(f'zone-{number % 3}'),
            ids.RegionId('region-0'),
        )
        for number in range(members)
    ]
    entries.extend(
        hosts.Host(
            ids.HostId(f'engine-{number}'),
            hosts.Kind.ENGINE,
            f'http://10.1.0.{number}:9000',
            ids.ZoneId(f'zone-{number % 3}'),
            ids.RegionId('region-0'),
            f'model-{number % _MODEL_COUNT}',
        )
        for number in range(engines)
    )
    return hosts.HostList(tuple(entries))


def _make_core(size: _Size, seed: int) -> core.Core:
    member = messages.Member(
        _ROUTER_ID,
        'tcp://10.0.0.0:7100',
        'http://10.0.0.0:8080',
        ids.ZoneId('zone-0'),
        ids.RegionId('region-0'),
        1,
    )
    router_core = core.Core(
        member, current_settings.CurrentSettings(), random.Random(seed)
    )
    router_core.update_host_list(_host_list(size), 0)
    updates = tuple(
        messages.Member(
            ids.RouterId(f'router-{number}'),
            f'tcp://10.0.0.{number}:7100',
            f'http://10.0.0.{number}:8080',
            ids.ZoneId(f'zone-{number % 3}'),
            ids.RegionId('region-0'),
            1,
        )
        for number in range(1, size[0])
    )
    gossip = messages.Gossip(
        updates, messages.Digest(ids.SettingsVersion(0), '0' * 32)
    )
    router_core.receive(ids.RouterId('router-1'), gossip, 0)
    return router_core


def _measure_core(figures: _FigureCollector, size: _Size, seed: int) -> None:
    scenario = f'{size[0]} members, {size[1]} engines of {_MODEL_COUNT} models'
    gc.collect()
    tracemalloc.start()
    router_core = _make_core(size, seed)
    now = _run_ticks(router_core, 0, 20)
    gc.collect()
    figures.add(
        'core_memory_bytes',
        tracemalloc.get_traced_memory()[0],
        'bytes',
        scenario,
    )
    tracemalloc.stop()
    started = time.process_time()
    now = _run_ticks(router_core, now, 100)
    elapsed_s = time.process_time() - started
    figures.add('tick_us', elapsed_s / 100 * 1e6, 'us', scenario)
    figures.add(
        'tick_core_share', elapsed_s / 100 / _TICK_INTERVAL_S, 'share', scenario
    )
    _measure_admission(figures, router_core, now, scenario)


def _run_ticks(router_core: core.Core, now: float, count: int) -> float:
    for _ in range(count):
        now += _TICK_INTERVAL_S
        router_core.tick(now, round(now * 1000))
    return now


def _measure_admission(
    figures: _FigureCollector,
    router_core: core.Core,
    now: float,
    scenario: str,
) -> None:
    """Measure admissions from request to release, with immediate replies."""
    request_count = 200
    started = time.process_time()
    for number in range(request_count):
        request = core_api.AdmissionRequest(
            ids.RequestId(f'request-{number}'),
            ids.OrgId('org'),
            ids.ChatId(f'chat-{number}'),
            ids.ModelId('model-0'),
            ids.Fingerprint(f'mark-{number}'),
            0,
            10,
            1000,
            tuple(range(number, number + 16)),
            resumed=True,
        )
        effects = router_core.admit(request, number + 1, now)
        _reply_to_sends(router_core, effects, now)
    elapsed_s = time.process_time() - started
    figures.add('admission_us', elapsed_s / request_count * 1e6, 'us', scenario)


def _reply_to_sends(
    router_core: core.Core,
    effects: admission_client.Effects,
    now: float,
) -> None:
    """Reply to the messages of an admission as homes and owners would."""
    for send in effects.sends:
        message = send.message
        reply: messages.Message | None = None
        if isinstance(message, messages.HintRequest):
            reply = messages.Hint(
                message.ask, message.chat, ids.EngineId(''), 0, 0
            )
        elif isinstance(message, messages.Ask):
            granted = messages.GrantState.GRANTED
            reply = messages.Answer(message.ask, message.engine, granted, 1, 9)
        if reply is not None:
            further_effects = router_core.receive(send.to, reply, now)
            _reply_to_sends(router_core, further_effects, now)
    for decision in effects.decided:
        if isinstance(decision.outcome, result.Ok):
            grant = decision.outcome.ok_value.grant
            outcome = core_api.Outcome(
                core_api.AttemptEnd.FINISHED, tokens=1200
            )
            router_core.release(grant, outcome, now)


def _measure_settings(figures: _FigureCollector, organisations: int) -> None:
    gc.collect()
    tracemalloc.start()
    state = snapshot.empty()
    started = time.process_time()
    for number in range(organisations):
        state = state.apply(_delta(state, number))
    elapsed_s = time.process_time() - started
    for number in range(organisations):
        state.resolve('organisation.key_hashes', org=f'org-{number}')
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    scenario = f'{organisations} organisations'
    figures.add('branch_bytes', used_bytes / organisations, 'bytes', scenario)
    figures.add('apply_us', elapsed_s / organisations * 1e6, 'us', scenario)
    full_bytes = len(state.encode())
    figures.add('full_state_bytes', full_bytes, 'bytes', scenario)
    delta = change.encode_delta(_delta(state, 0))
    figures.add('delta_bytes', len(delta), 'bytes', scenario)


def _delta(state: snapshot.Snapshot, number: int) -> change.Delta:
    branch = f'organisations/org-{number}'
    settings: change.Values = {
        'organisation.key_hashes': (f'{number:04}{_KEY_HASH}'[:64],),
        'limits.rate_per_s': 40.0,
    }
    digest = change.digest(state.digest, branch, '', settings)
    version = ids.SettingsVersion(state.version + 1)
    return change.Delta(version, branch, '', settings, digest)


def _measure_hints(figures: _FigureCollector, chats: int, seed: int) -> None:
    router_core = _make_core(_CURRENT_SIZE, seed)
    home = router_core.chats.models[ids.ModelId('model-0')].home
    gc.collect()
    tracemalloc.start()
    for chat_number in range(chats):
        home.record_turn(
            ids.ChatId(f'chat-{chat_number:024}'),
            ids.EngineId('engine-0'),
            1000,
            0,
        )
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    figures.add('hint_bytes', used_bytes / chats, 'bytes', f'{chats} chats')
    members = [f'router-{number}' for number in range(360)]
    started = time.process_time()
    for key_number in range(100):
        hashing.highest_ranked(f'chat-{key_number}', members)
    elapsed_s = time.process_time() - started
    figures.add('home_look_up_us', elapsed_s / 100 * 1e6, 'us', '360 members')


def _measure_messages(figures: _FigureCollector) -> None:
    message_codec = codec.Codec(
        codec.Cfg('kelani', (b'a-secret-key',)),
        ids.RouterId('router-100'),
        1_796_357_621_000,
    )
    prefixes = tuple(
        hashing.weight('prefix', str(index)) for index in range(64)
    )
    ask = messages.Ask(
        2**40,
        ids.RequestId('4b53295ccae84b53295ccae8-4b53295ccae8'),
        ids.EngineId('engine-1000'),
        ids.OrgId('organisation-100'),
        ids.ChatId('chat-000000000000000000000'),
        0,
        0,
        30_000,
        4096,
        prefixes,
    )
    granted = messages.GrantState.GRANTED
    samples: dict[str, messages.Message] = {
        'ask with 64 prefixes': ask,
        'ask without prefixes': msgspec.structs.replace(ask, prefixes=()),
        'answer': messages.Answer(2**40, ask.engine, granted, 20, 21),
        'release': messages.Release(2**40, ask.engine, finished=True),
        'hold of 20 grants': messages.Hold(
            ask.engine, tuple(range(2**40, 2**40 + 20))
        ),
    }
    receiver = ids.RouterId('router-200')
    for name, message in samples.items():
        packet = message_codec.seal(message_codec.encode(message), receiver)
        figures.add('message_bytes', len(packet), 'bytes', name)
