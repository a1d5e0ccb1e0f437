"""Generates docs/faults.md: every step of a request under every fault.

A cell runs the real decision modules with one fault and says what the caller
sees; a cell that cannot occur says why. ``python -m
papayaloom.bench.fault_matrix`` writes the page to standard output.
"""

import functools
import math
import operator
import random
import sys
import types
import typing
import uuid

from papayaloom import errors, ids, messages
from papayaloom.bench import fault_orders, fault_streams, fault_world
from papayaloom.process import addresses, drain, locator_state
from papayaloom.request import calls, core_api
from papayaloom.standins import service as services
from papayaloom.version import change as settings_change
from papayaloom.version import edit, log

Fault = fault_world.Fault
Cell = str | typing.Callable[[Fault], str]
_TCP = 'cannot occur: TCP delivers bytes once and in order, or breaks'
_NO_STORE = 'cannot occur: this step does not call the store'
_ONE_CALL = 'cannot occur: a connection carries one request at a time'
_STORE = (Fault.STORE_DOWN, Fault.STORE_SLOW)
_MULTIPLE = 1.15


def address(fault: Fault) -> str:
    """A locator answers which router to use."""
    known = [
        messages.Member(
            ids.RouterId(f'r{number}'),
            '',
            f'http://r{number}',
            ids.ZoneId('a'),
            ids.RegionId('lk-west'),
        )
        for number in range(3)
    ]
    view = functools.partial(
        messages.FleetView, 'kelani', ids.RouterId('r0'), 1
    )
    locator = locator_state.LocatorState(
        'kelani', ids.ZoneId('a'), 80, addresses.Cfg(), random.Random(1)
    )
    locator.update_view(view(1, tuple(known), 30, 3), 0)
    now: float = 1
    if fault is Fault.CROSSED:
        foreign = messages.FleetView(
            'tomoshibi', ids.RouterId('x'), 9, 9, (), 30, 3
        )
        _check(
            not locator.update_view(foreign, now), 'a foreign view was taken'
        )
    elif fault is Fault.DELAYED:
        locator.update_view(view(3, tuple(known[:2]), 30, 3), now)
        late = locator.update_view(view(2, tuple(known), 30, 3), now)
        _check(not late, 'an older view was taken')
    elif fault is Fault.DOUBLED:
        locator.update_view(view(1, tuple(known), 30, 3), now)
    elif fault in {Fault.CRASHED, Fault.PAUSED, Fault.CUT}:
        now = 9
    answer = locator.answer(addresses.Question(chat='c'), now)
    named = len(answer.addresses)
    _check(named >= 2, 'no address was answered')
    source = locator.dump(now).source
    return f'{named} addresses, source "{source}"'


def admit(fault: Fault) -> str:
    """The owner of an engine admits a request."""
    return _search(fault, (messages.Ask,), (messages.Answer,))


def place(fault: Fault) -> str:
    """The home of the chat says where it ran last."""
    return _search(fault, (messages.HintRequest,), (messages.Hint,))


def claim(fault: Fault) -> str:
    """A call that must not be repeated is claimed."""
    world = fault_world.World()
    key = _key(world)
    first, second = world.not_responsible(key)
    world.strike(fault, (messages.Claim,), (messages.Claimed,))
    ticket = world.claim(first, key)
    world.run(4)
    seen = world.outcomes[ticket]
    world.run(fault_world.FAULT_S + 10)
    repeat = world.claim(second, key)
    world.run(4)
    again = world.outcomes[repeat]
    _check(world.has_struck, 'the fault did not strike')
    _check(_sends(seen) + _sends(again) <= 1, 'P4: two claims were granted')
    return f'{_said(seen)}; a repeat 30 s later: {_said(again)}'


def record(fault: Fault) -> str:
    """The outcome of a call is recorded."""
    world = fault_world.World()
    key = _key(world)
    first, second = world.not_responsible(key)
    ticket = world.claim(first, key)
    world.run(2)
    _check(_sends(world.outcomes[ticket]) == 1, 'the call was not granted')
    world.strike(fault, (messages.Outcome,), (messages.Claimed,))
    world.record(first, ticket, errors.Verdict.RAN)
    world.run(1)
    early = world.claim(second, key)
    world.run(4)
    world.run(fault_world.FAULT_S + 10)
    repeat = world.claim(second, key)
    world.run(4)
    seen = (world.outcomes[early], world.outcomes[repeat])
    _check(not any(map(_sends, seen)), 'P4: a call that ran was granted')
    return (
        f'the answer of the service; a repeat after 1 s: {_said(seen[0])}, '
        f'after 36 s: {_said(seen[1])}'
    )


def send(fault: Fault) -> str:
    """A claimed call is sent to the service."""
    log_of_effects = services.EffectLog()
    replica = services.Replica('desk-1', ids.ServiceId('desk'), log_of_effects)
    switches = {
        Fault.LOST_BEFORE: 'drop_before',
        Fault.CUT: 'drop_before',
        Fault.LOST_AFTER: 'drop_after',
        Fault.CUT_ONE_WAY: 'drop_after',
        Fault.DELAYED: 'drop_after',
        Fault.PAUSED: 'drop_after',
        Fault.CRASHED: 'crash',
    }
    replica.faults.change(**{switches[fault]: 1})
    machine = _call()
    machine.start(0)
    machine.claimed(core_api.Claim(1, core_api.ClaimState.GRANTED))
    chosen = machine.chosen(core_api.Replica('desk-1', 'http://desk-1'), 0)
    sent = typing.cast(calls.Send, chosen)
    try:
        replica.call(sent.call)
    except errors.PapayaloomError as exc:
        _, step = machine.failed(exc, 1)
    _check(isinstance(step, calls.Finish), 'P4: the call is sent again')
    finish = typing.cast(calls.Finish, step)
    problem = typing.cast(errors.Problem, finish.answer)
    effects = len(log_of_effects.effects)
    said_not_run = problem.verdict == errors.Verdict.NOT_RUN.value
    _check(effects <= 1, 'P4: two effects')
    _check(not (said_not_run and effects), 'P3: "not run", but it ran')
    return f'{problem.status} "{problem.verdict}", {effects} effect'


def change(fault: Fault) -> str:
    """An operator changes a setting."""
    world = fault_world.World()
    editor = edit.Editor(
        world.kv, 'operator', world.clock, random.Random(1), world.clock.advance
    )
    world.strike(fault, (messages.SettingsDelta,), (messages.SettingsRequest,))
    if fault in {Fault.LOST_BEFORE, Fault.LOST_AFTER}:
        world.kv.faults.only = 'writes'
        lost = 'drop_reply' if fault is Fault.LOST_AFTER else 'drop_before'
        setattr(world.kv.faults, lost, 1)
    text = '{"settings": {"ledger": {"claim_timeout_s": 3}}}'
    try:
        editor.commit('fleet', text, 0)
    except errors.PapayaloomError:
        _check(_versions(world) == [0, 0, 0], 'P7: a refused edit is in force')
        return 'the edit ends with an error; the old version stays in force'
    deltas = [
        settings_change.encode_delta(delta)
        for delta in log.read(world.kv).deltas
    ]
    world.publish(deltas)
    began = world.now
    seen = _versions(world)
    while min(seen) < 1 and world.now < began + 2 * fault_world.FAULT_S:
        world.run(1)
        newer = _versions(world)
        restarted = fault is Fault.CRASHED
        kept = map(operator.ge, newer, seen)
        _check(restarted or all(kept), 'P7: a version went back')
        seen = newer
    taken = world.now - began
    _check(min(seen) == 1, 'P7: a router never got the change')
    healed = fault in {Fault.PAUSED, Fault.CUT, Fault.CUT_ONE_WAY}
    _check(healed or taken <= 10, 'P7: later than 10 s')
    told = f'accepted; in force on all routers after {taken:.0f} s'
    if world.has_struck:
        return told
    return f'{told}; the routers needed no message of this kind'


def stop(fault: Fault) -> str:
    """A router is stopped while a stream of 45 s runs."""
    part = drain.Drain(drain.Cfg())
    part.begin(0)
    now: float = 0
    served = 0
    while part.state is not drain.State.STOPPED:
        now += 1
        if fault is Fault.PAUSED and now == 10:
            now += fault_world.FAULT_S
        served += part.accepts_requests()
        part.tick(int(now < 45), fault is not Fault.CUT, now)
    _check(part.cut_off == 0, 'P6: a request was cut off')
    return f'the stream ends whole; the router is gone after {now:.0f} s'


_STEPS: typing.Mapping[str, Cell] = types.MappingProxyType(
    {
        'address': address,
        'accept': 'the caller sees its connection end and goes on to the next '
        'address; no call was claimed or sent',
        'admit': admit,
        'place': place,
        'claim': claim,
        'send': send,
        'first byte': functools.partial(fault_streams.run, 'first byte'),
        'stream': functools.partial(fault_streams.run, 'stream'),
        'finish': functools.partial(fault_streams.run, 'finish'),
        'record': record,
        'settings change': change,
        'order': fault_orders.run,
        'stop': stop,
    }
)
_STREAMS = ('first byte', 'stream', 'finish')
_PLAIN = ('address', 'accept', 'admit', 'place', 'send', *_STREAMS, 'stop')


_IMPOSSIBLE: typing.Mapping[tuple[str, Fault], str] = types.MappingProxyType(
    {
        ('accept', Fault.DOUBLED): _TCP,
        ('send', Fault.DOUBLED): _TCP,
        ('accept', Fault.CROSSED): _ONE_CALL,
        ('send', Fault.CROSSED): _ONE_CALL,
        ('order', Fault.CROSSED): _ONE_CALL,
        ('stop', Fault.CRASHED): 'cannot occur: a crash is no planned stop; '
        'see "stream"',
        ('stop', Fault.CROSSED): 'cannot occur: the leave mark names its '
        'router',
        ('settings change', Fault.CROSSED): 'cannot occur: a change names the '
        'digest of its predecessor',
    }
)


def _impossible(step: str, fault: Fault) -> str:
    """Return why a cell cannot occur, or nothing."""
    if fault in _STORE and step in _PLAIN:
        return _NO_STORE
    return _IMPOSSIBLE.get((step, fault), '')


def cell(step: str, fault: Fault) -> str:
    """Run one cell.

    :raises AssertionError: a property is broken.
    """
    reason = _impossible(step, fault)
    if reason:
        return reason
    run = _STEPS[step]
    return run if isinstance(run, str) else run(fault)


def page() -> str:
    """Return the whole page; runs every cell."""
    lines = [_HEAD]
    for step in _STEPS:
        lines.append(f'\n## {step}\n')
        lines.append('| fault | what the caller sees |\n| --- | --- |')
        lines += [f'| {fault.value} | {cell(step, fault)} |' for fault in Fault]
    lines.append('')
    return '\n'.join(lines)


_HEAD = """# Faults

Generated by `python -m papayaloom.bench.fault_matrix`; do not edit. Each cell runs
the decision modules on virtual time with one fault in one step, checks the properties P1 to P7 that
apply to it, and says what the caller sees. A fault of the network strikes the
next message of the step once; a pause, a cut and an outage of the store last
20 s. In the steps "settings change" and "order" the caller is an operator. A 503
"not run" sends the caller to the next address of its answer."""


def _search(
    fault: Fault, requests: tuple[type, ...], replies: tuple[type, ...]
) -> str:
    """Search for an engine from each router until the fault strikes."""
    for number in range(12):
        world = fault_world.World()
        world.strike(fault, requests, replies)
        name = world.names[number % len(world.names)]
        began = world.now
        ticket = world.admit(name, f'chat-{number}')
        while ticket not in world.outcomes and world.now < began + 12:
            world.run(0.05)
        if world.has_struck:
            break
    _check(world.has_struck, 'the fault did not strike')
    seen = world.outcomes[ticket]
    total = sum(world.running.values())
    cap = max(1, math.ceil(_MULTIPLE * (total + 1) / len(world.running)))
    _check(max(world.running.values()) <= cap, 'P1: over the cap')
    if seen.is_err():
        return f'{seen.err_value.status} "{seen.err_value.verdict}"'
    return f'an engine after {world.now - began:.2f} s'


def _call() -> calls.Call:
    facts = calls.Facts(
        request_id=ids.RequestId('r'),
        upstream_id=ids.RequestId('u'),
        organisation=ids.OrgId('house'),
        service=ids.ServiceId('desk'),
        method='POST',
        path='/orders',
        headers={},
        body=b'tray',
        key=ids.CallKey('018bcff4-aa40-7000-8000-000000000001'),
        repeatable=False,
        arrived=0,
        deadline=30,
        fingerprint=ids.Fingerprint('f'),
    )
    return calls.Call(
        facts, calls.Cfg(), random.Random(1), lambda upstream: True
    )


def _key(world: fault_world.World) -> str:
    return str(uuid.UUID(int=world.clock.unix_ms() << 80 | 7 << 76 | 2 << 62))


def _sends(outcome: typing.Any) -> int:
    if outcome.is_err():
        return 0
    return int(outcome.ok_value.state is core_api.ClaimState.GRANTED)


def _said(outcome: typing.Any) -> str:
    if outcome.is_err():
        return f'{outcome.err_value.status} "{outcome.err_value.verdict}"'
    said = {
        core_api.ClaimState.GRANTED: 'it is sent',
        core_api.ClaimState.PASSED_ON: 'it is sent with its key',
        core_api.ClaimState.IN_PROGRESS: '409 in progress',
        core_api.ClaimState.RAN: 'the recorded answer',
        core_api.ClaimState.UNKNOWN: '409 "may have run"',
    }
    return said[outcome.ok_value.state]


def _versions(world: fault_world.World) -> list[int]:
    return [held.snapshot.version for held in world.held.values()]


def _check(holds: bool, broken: str) -> None:
    if not holds:
        raise AssertionError(broken)


def main() -> None:
    """Write the page to standard output."""
    sys.stdout.write(page())


if __name__ == '__main__':
    main()
