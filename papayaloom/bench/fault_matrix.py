"""Generates docs/faults.md: every step of a request under every fault.

A cell runs the real decision modules with one fault and says what the caller
sees, or why the combination cannot occur. ``python -m
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
from papayaloom.bench import fault_orders, fault_streams, fault_testbed
from papayaloom.process import addresses, drain, locator_state
from papayaloom.request import calls, core_api
from papayaloom.standins import service as services
from papayaloom.version import change as settings_change
from papayaloom.version import edit, settings_log

Fault = fault_testbed.Fault
Cell = str | typing.Callable[[Fault], str]
_TCP_IS_RELIABLE = (
    'cannot occur: TCP delivers bytes once and in order, or breaks'
)
_NO_STORE_CALL = 'cannot occur: this step does not call the store'
_ONE_REQUEST = 'cannot occur: a connection carries one request at a time'
_STORE_FAULTS = (Fault.STORE_DOWN, Fault.STORE_SLOW)
_LOAD_MULTIPLE = 1.15


def address(fault: Fault) -> str:
    """A locator returns router addresses to a caller."""
    members = [
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
    locator.update_view(view(1, tuple(members), 30, 3), 0)
    now: float = 1
    if fault is Fault.MISDELIVERED:
        foreign = messages.FleetView(
            'tomoshibi', ids.RouterId('x'), 9, 9, (), 30, 3
        )
        _check(
            not locator.update_view(foreign, now),
            'a view of another deployment was accepted',
        )
    elif fault is Fault.DELAYED:
        locator.update_view(view(3, tuple(members[:2]), 30, 3), now)
        is_accepted = locator.update_view(view(2, tuple(members), 30, 3), now)
        _check(not is_accepted, 'an older view was accepted')
    elif fault is Fault.DUPLICATED:
        locator.update_view(view(1, tuple(members), 30, 3), now)
    elif fault in {Fault.CRASHED, Fault.PAUSED, Fault.PARTITIONED}:
        now = 9
    answer = locator.answer(addresses.Question(chat='c'), now)
    address_count = len(answer.addresses)
    _check(address_count >= 2, 'fewer than two addresses were returned')
    source = locator.dump(now).source
    return f'{address_count} addresses, source "{source}"'


def admit(fault: Fault) -> str:
    """The router that owns an engine admits a request."""
    return _admit_under_fault(fault, (messages.Ask,), (messages.Answer,))


def place(fault: Fault) -> str:
    """The home router of a chat returns the engine that ran it last."""
    return _admit_under_fault(fault, (messages.HintRequest,), (messages.Hint,))


def claim(fault: Fault) -> str:
    """A router claims the key of a non-idempotent call."""
    testbed = fault_testbed.Testbed()
    key = _new_key(testbed)
    first, second = testbed.non_owners(key)
    testbed.inject_fault(fault, (messages.Claim,), (messages.Claimed,))
    ticket = testbed.claim(first, key)
    testbed.run(4)
    first_outcome = testbed.outcomes[ticket]
    testbed.run(fault_testbed.FAULT_DURATION_S + 10)
    repeat = testbed.claim(second, key)
    testbed.run(4)
    repeat_outcome = testbed.outcomes[repeat]
    _check(testbed.was_injected, 'the fault was not injected')
    _check(
        _grant_count(first_outcome) + _grant_count(repeat_outcome) <= 1,
        'P4: two claims were granted',
    )
    return (
        f'{_describe(first_outcome)}; '
        f'a repeat 30 s later: {_describe(repeat_outcome)}'
    )


def record(fault: Fault) -> str:
    """A router records the outcome of a call."""
    testbed = fault_testbed.Testbed()
    key = _new_key(testbed)
    first, second = testbed.non_owners(key)
    ticket = testbed.claim(first, key)
    testbed.run(2)
    _check(
        _grant_count(testbed.outcomes[ticket]) == 1,
        'the first claim was not granted',
    )
    testbed.inject_fault(fault, (messages.Outcome,), (messages.Claimed,))
    testbed.record(first, ticket, errors.Verdict.RAN)
    testbed.run(1)
    early = testbed.claim(second, key)
    testbed.run(4)
    testbed.run(fault_testbed.FAULT_DURATION_S + 10)
    repeat = testbed.claim(second, key)
    testbed.run(4)
    outcomes = (testbed.outcomes[early], testbed.outcomes[repeat])
    _check(
        not any(map(_grant_count, outcomes)), 'P4: a call that ran was granted'
    )
    return (
        'the answer of the service; '
        f'a repeat after 1 s: {_describe(outcomes[0])}, '
        f'after 36 s: {_describe(outcomes[1])}'
    )


def send(fault: Fault) -> str:
    """A claimed call is sent to a replica of the service."""
    effect_log = services.EffectLog()
    replica = services.Replica('desk-1', ids.ServiceId('desk'), effect_log)
    switches = {
        Fault.LOST_BEFORE: 'drop_before',
        Fault.PARTITIONED: 'drop_before',
        Fault.LOST_AFTER: 'drop_after',
        Fault.PARTITIONED_ONE_WAY: 'drop_after',
        Fault.DELAYED: 'drop_after',
        Fault.PAUSED: 'drop_after',
        Fault.CRASHED: 'crash',
    }
    replica.faults.change(**{switches[fault]: 1})
    machine = _new_call()
    machine.start(0)
    machine.claimed(core_api.Claim(1, core_api.ClaimState.GRANTED))
    next_step = machine.chosen(core_api.Replica('desk-1', 'http://desk-1'), 0)
    send_step = typing.cast(calls.Send, next_step)
    try:
        replica.call(send_step.call)
    except errors.PapayaloomError as exc:
        _, step = machine.failed(exc, 1)
    _check(isinstance(step, calls.Finish), 'P4: the call was sent again')
    finish = typing.cast(calls.Finish, step)
    problem = typing.cast(errors.Problem, finish.answer)
    effects = len(effect_log.effects)
    claims_not_run = problem.verdict == errors.Verdict.NOT_RUN.value
    _check(effects <= 1, 'P4: the call took effect twice')
    _check(
        not (claims_not_run and effects),
        'P3: the answer is "not run", but the call ran',
    )
    return f'{problem.status} "{problem.verdict}", {effects} effect'


def change(fault: Fault) -> str:
    """An operator changes a setting."""
    testbed = fault_testbed.Testbed()
    editor = edit.Editor(
        testbed.kv,
        'operator',
        testbed.clock,
        random.Random(1),
        testbed.clock.advance,
    )
    testbed.inject_fault(
        fault, (messages.SettingsDelta,), (messages.SettingsRequest,)
    )
    if fault in {Fault.LOST_BEFORE, Fault.LOST_AFTER}:
        testbed.kv.faults.only = 'writes'
        lost_message = (
            'drop_reply' if fault is Fault.LOST_AFTER else 'drop_before'
        )
        setattr(testbed.kv.faults, lost_message, 1)
    text = '{"settings": {"ledger": {"claim_timeout_s": 3}}}'
    try:
        editor.commit('fleet', text, 0)
    except errors.PapayaloomError:
        _check(
            _applied_versions(testbed) == [0, 0, 0],
            'P7: a rejected edit was applied',
        )
        return 'the edit ends with an error; the old version stays in force'
    deltas = [
        settings_change.encode_delta(delta)
        for delta in settings_log.read(testbed.kv).deltas
    ]
    testbed.publish(deltas)
    started_at = testbed.now
    versions = _applied_versions(testbed)
    while (
        min(versions) < 1
        and testbed.now < started_at + 2 * fault_testbed.FAULT_DURATION_S
    ):
        testbed.run(1)
        new_versions = _applied_versions(testbed)
        is_restarted = fault is Fault.CRASHED
        not_lower = map(operator.ge, new_versions, versions)
        _check(
            is_restarted or all(not_lower),
            'P7: a router reverted to an older version',
        )
        versions = new_versions
    elapsed_s = testbed.now - started_at
    _check(min(versions) == 1, 'P7: a router never received the change')
    outlasts_bound = fault in {
        Fault.PAUSED,
        Fault.PARTITIONED,
        Fault.PARTITIONED_ONE_WAY,
    }
    _check(
        outlasts_bound or elapsed_s <= 10,
        'P7: the change took longer than 10 s',
    )
    summary = f'accepted; in force on all routers after {elapsed_s:.0f} s'
    if testbed.was_injected:
        return summary
    return f'{summary}; the routers needed no message of this kind'


def stop(fault: Fault) -> str:
    """A router is stopped while a stream of 45 s runs."""
    router_drain = drain.Drain(drain.Cfg())
    router_drain.begin(0)
    now: float = 0
    accepting_steps = 0
    while router_drain.state is not drain.State.STOPPED:
        now += 1
        if fault is Fault.PAUSED and now == 10:
            now += fault_testbed.FAULT_DURATION_S
        accepting_steps += router_drain.accepts_requests()
        router_drain.tick(int(now < 45), fault is not Fault.PARTITIONED, now)
    _check(router_drain.cut_off == 0, 'P6: a request was cut off')
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
_STREAM_STEPS = ('first byte', 'stream', 'finish')
_STEPS_WITHOUT_STORE = (
    'address',
    'accept',
    'admit',
    'place',
    'send',
    *_STREAM_STEPS,
    'stop',
)


_IMPOSSIBLE: typing.Mapping[tuple[str, Fault], str] = types.MappingProxyType(
    {
        ('accept', Fault.DUPLICATED): _TCP_IS_RELIABLE,
        ('send', Fault.DUPLICATED): _TCP_IS_RELIABLE,
        ('accept', Fault.MISDELIVERED): _ONE_REQUEST,
        ('send', Fault.MISDELIVERED): _ONE_REQUEST,
        ('order', Fault.MISDELIVERED): _ONE_REQUEST,
        ('stop', Fault.CRASHED): 'cannot occur: a crash is no planned stop; '
        'see "stream"',
        ('stop', Fault.MISDELIVERED): 'cannot occur: the leave mark names its '
        'router',
        (
            'settings change',
            Fault.MISDELIVERED,
        ): 'cannot occur: a change names the digest of its predecessor',
    }
)


def _impossible_reason(step: str, fault: Fault) -> str:
    """Return why a cell cannot occur, or an empty string."""
    if fault in _STORE_FAULTS and step in _STEPS_WITHOUT_STORE:
        return _NO_STORE_CALL
    return _IMPOSSIBLE.get((step, fault), '')


def run_cell(step: str, fault: Fault) -> str:
    """Run one cell and return its text.

    :raises AssertionError: if a property is violated.
    """
    reason = _impossible_reason(step, fault)
    if reason:
        return reason
    run = _STEPS[step]
    return run if isinstance(run, str) else run(fault)


def render_page() -> str:
    """Run every cell and return the page as Markdown."""
    lines = [_PAGE_HEADER]
    for step in _STEPS:
        lines.append(f'\n## {step}\n')
        lines.append('| fault | what the caller sees |\n| --- | --- |')
        lines += [
            f'| {fault.value} | {run_cell(step, fault)} |' for fault in Fault
        ]
    lines.append('')
    return '\n'.join(lines)


_PAGE_HEADER = """# Faults

Generated by `python -m papayaloom.bench.fault_matrix`; do not edit. Each cell runs
the decision modules on virtual time with one fault in one step, checks the properties P1 to P7 that
apply to it, and says what the caller sees. A fault of the network strikes the
next message of the step once; a pause, a cut and an outage of the store last
20 s. In the steps "settings change" and "order" the caller is an operator. A 503
"not run" sends the caller to the next address of its answer."""


def _admit_under_fault(
    fault: Fault, requests: tuple[type, ...], replies: tuple[type, ...]
) -> str:
    """Admit a request at one router after another until the fault applies."""
    for number in range(12):
        testbed = fault_testbed.Testbed()
        testbed.inject_fault(fault, requests, replies)
        name = testbed.names[number % len(testbed.names)]
        started_at = testbed.now
        ticket = testbed.admit(name, f'chat-{number}')
        while ticket not in testbed.outcomes and testbed.now < started_at + 12:
            testbed.run(0.05)
        if testbed.was_injected:
            break
    _check(testbed.was_injected, 'the fault was not injected')
    outcome = testbed.outcomes[ticket]
    running_total = sum(testbed.running.values())
    cap = max(
        1,
        math.ceil(_LOAD_MULTIPLE * (running_total + 1) / len(testbed.running)),
    )
    _check(
        max(testbed.running.values()) <= cap,
        'P1: an engine runs more requests than its cap',
    )
    if outcome.is_err():
        return f'{outcome.err_value.status} "{outcome.err_value.verdict}"'
    return f'an engine after {testbed.now - started_at:.2f} s'


def _new_call() -> calls.Call:
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


def _new_key(testbed: fault_testbed.Testbed) -> str:
    return str(uuid.UUID(int=testbed.clock.unix_ms() << 80 | 7 << 76 | 2 << 62))


def _grant_count(outcome: typing.Any) -> int:
    if outcome.is_err():
        return 0
    return int(outcome.ok_value.state is core_api.ClaimState.GRANTED)


def _describe(outcome: typing.Any) -> str:
    if outcome.is_err():
        return f'{outcome.err_value.status} "{outcome.err_value.verdict}"'
    descriptions = {
        core_api.ClaimState.GRANTED: 'it is sent',
        core_api.ClaimState.PASSED_ON: 'it is sent with its key',
        core_api.ClaimState.IN_PROGRESS: '409 in progress',
        core_api.ClaimState.RAN: 'the recorded answer',
        core_api.ClaimState.UNKNOWN: '409 "may have run"',
    }
    return descriptions[outcome.ok_value.state]


def _applied_versions(testbed: fault_testbed.Testbed) -> list[int]:
    return [settings.snapshot.version for settings in testbed.settings.values()]


def _check(condition: bool, violation: str) -> None:
    if not condition:
        raise AssertionError(violation)


def main() -> None:
    """Write the page to standard output."""
    sys.stdout.write(render_page())


if __name__ == '__main__':
    main()
