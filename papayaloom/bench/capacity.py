"""Slopes for docs/CAPACITY.md: memory, processor time and message sizes.

Runs one router's decision core among stated numbers of members, engines,
organisations and chats. Memory is counted by tracemalloc, processor time by
``time.process_time``.
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

_ME = ids.RouterId('router-0')
_MODELS = 3
_TICK_S = 0.05
_KEY_HASH = 'a' * 64
Size = tuple[int, int]
# Members and engines: today, and 360 members with 1,800 engines; the region
# of one router has a third of them.
_TODAY: Size = (6, 6)
_REGION: Size = (120, 600)
_PLANNED: Size = (360, 1800)


class _Figures:
    """Collects figures of one run."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.found: list[measurement.Figure] = []

    def add(self, name: str, value: float, unit: str, scenario: str) -> None:
        """Note a figure."""
        self.found.append(
            measurement.entry(name, value, unit, self.seed, scenario, 'fleet'),
        )


def run(*, smoke: bool, seed: int) -> typing.Iterator[measurement.Figure]:
    """Yield the figures.

    :param smoke: small sizes.
    """
    figures = _Figures(seed)
    sizes = (_TODAY, (12, 24)) if smoke else (_TODAY, _REGION, _PLANNED)
    for size in sizes:
        _measure_core(figures, size, seed)
    _measure_settings(figures, 50 if smoke else 1000)
    _measure_hints(figures, 200 if smoke else 5300, seed)
    _measure_messages(figures)
    yield from figures.found


def _host_list(size: Size) -> hosts.HostList:
    members, engines = size
    listed = [
        hosts.Host(
            ids.HostId(f'router-{number}'),
            hosts.Kind.ENTRY,
            f'10.0.0.{number}:7100',
            ids.ZoneId(f'zone-{number % 3}'),
            ids.RegionId('region-0'),
        )
        for number in range(members)
    ]
    listed.extend(
        hosts.Host(
            ids.HostId(f'engine-{number}'),
            hosts.Kind.ENGINE,
            f'http://10.1.0.{number}:9000',
            ids.ZoneId(f'zone-{number % 3}'),
            ids.RegionId('region-0'),
            f'model-{number % _MODELS}',
        )
        for number in range(engines)
    )
    return hosts.HostList(tuple(listed))


def _core(size: Size, seed: int) -> core.Core:
    me = messages.Member(
        _ME,
        'tcp://10.0.0.0:7100',
        'http://10.0.0.0:8080',
        ids.ZoneId('zone-0'),
        ids.RegionId('region-0'),
        1,
    )
    decisions = core.Core(
        me, current_settings.CurrentSettings(), random.Random(seed)
    )
    decisions.update_host_list(_host_list(size), 0)
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
    decisions.receive(ids.RouterId('router-1'), gossip, 0)
    return decisions


def _measure_core(figures: _Figures, size: Size, seed: int) -> None:
    scenario = f'{size[0]} members, {size[1]} engines of {_MODELS} models'
    gc.collect()
    tracemalloc.start()
    decisions = _core(size, seed)
    now = _run_ticks(decisions, 0, 20)
    gc.collect()
    figures.add(
        'core_memory_bytes',
        tracemalloc.get_traced_memory()[0],
        'bytes',
        scenario,
    )
    tracemalloc.stop()
    began = time.process_time()
    now = _run_ticks(decisions, now, 100)
    took = time.process_time() - began
    figures.add('tick_us', took / 100 * 1e6, 'us', scenario)
    figures.add('tick_core_share', took / 100 / _TICK_S, 'share', scenario)
    _measure_admission(figures, decisions, now, scenario)


def _run_ticks(decisions: core.Core, now: float, count: int) -> float:
    for _ in range(count):
        now += _TICK_S
        decisions.tick(now, round(now * 1000))
    return now


def _measure_admission(
    figures: _Figures,
    decisions: core.Core,
    now: float,
    scenario: str,
) -> None:
    """Measure a search whose owner answers at once, until its release."""
    rounds = 200
    began = time.process_time()
    for number in range(rounds):
        ask = core_api.AdmissionRequest(
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
        effects = decisions.admit(ask, number + 1, now)
        _answer_all(decisions, effects, now)
    took = time.process_time() - began
    figures.add('admission_us', took / rounds * 1e6, 'us', scenario)


def _answer_all(
    decisions: core.Core,
    effects: admission_client.Effects,
    now: float,
) -> None:
    """Answer the questions of a search as homes and owners would."""
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
            more = decisions.receive(send.to, reply, now)
            _answer_all(decisions, more, now)
    for decided in effects.decided:
        if isinstance(decided.outcome, result.Ok):
            grant = decided.outcome.ok_value.grant
            outcome = core_api.Outcome(
                core_api.AttemptEnd.FINISHED, tokens=1200
            )
            decisions.release(grant, outcome, now)


def _measure_settings(figures: _Figures, organisations: int) -> None:
    gc.collect()
    tracemalloc.start()
    held = snapshot.empty()
    began = time.process_time()
    for added in range(organisations):
        held = held.apply(_delta(held, added))
    took = time.process_time() - began
    for known in range(organisations):
        held.resolve('organisation.key_hashes', org=f'org-{known}')
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    scenario = f'{organisations} organisations'
    figures.add('branch_bytes', used / organisations, 'bytes', scenario)
    figures.add('apply_us', took / organisations * 1e6, 'us', scenario)
    full = len(held.encode())
    figures.add('full_state_bytes', full, 'bytes', scenario)
    delta = change.encode_delta(_delta(held, 0))
    figures.add('delta_bytes', len(delta), 'bytes', scenario)


def _delta(held: snapshot.Snapshot, number: int) -> change.Delta:
    branch = f'organisations/org-{number}'
    settings: change.Values = {
        'organisation.key_hashes': (f'{number:04}{_KEY_HASH}'[:64],),
        'limits.rate_per_s': 40.0,
    }
    digest = change.digest(held.digest, branch, '', settings)
    version = ids.SettingsVersion(held.version + 1)
    return change.Delta(version, branch, '', settings, digest)


def _measure_hints(figures: _Figures, chats: int, seed: int) -> None:
    decisions = _core(_TODAY, seed)
    home = decisions.chats.models[ids.ModelId('model-0')].home
    gc.collect()
    tracemalloc.start()
    for turn in range(chats):
        home.record_turn(
            ids.ChatId(f'chat-{turn:024}'),
            ids.EngineId('engine-0'),
            1000,
            0,
        )
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    figures.add('hint_bytes', used / chats, 'bytes', f'{chats} chats')
    members = [f'router-{number}' for number in range(360)]
    began = time.process_time()
    for known in range(100):
        hashing.highest_ranked(f'chat-{known}', members)
    took = time.process_time() - began
    figures.add('home_look_up_us', took / 100 * 1e6, 'us', '360 members')


def _measure_messages(figures: _Figures) -> None:
    sealer = codec.Codec(
        codec.Cfg('kelani', (b'a-secret-key',)),
        ids.RouterId('router-100'),
        1_796_357_621_000,
    )
    prefixes = tuple(hashing.weight('prefix', str(one)) for one in range(64))
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
        packet = sealer.seal(sealer.encode(message), receiver)
        figures.add('message_bytes', len(packet), 'bytes', name)
