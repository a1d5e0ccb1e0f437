import random
import re

import behave

from features import forwarding_router as fleets
from features import hostile_replica, one_router
from features.machines import deterministic, own_word_machine
from papayaloom import errors, ids
from papayaloom.platform import headers
from papayaloom.routing import dispatch, dispatch_messages, replicas

POOL = ids.ServiceId('pool')


def replica(name, born, state=replicas.State.READY):
    return replicas.Replica(
        id=replicas.ReplicaId(name),
        service=POOL,
        address=('10.0.0.1', born),
        state=state,
        born=born,
    )


def place(context):
    placed = context.decisions.place(
        dispatch_messages.PlacementRequest(POOL), context.now
    )
    if placed.is_ok():
        chosen = placed.ok_value.replica.id
        context.decisions.ended(
            dispatch_messages.AttemptResult(POOL, chosen), context.now
        )
    return placed


@behave.given('a router that knows the replica "{name}" of start {born:d}')
def router_knows(context, name, born):
    context.now = 100
    context.decisions = dispatch.Dispatcher(dispatch.Cfg(), random.Random(3))
    context.decisions.replicas.lapses.store_answered(0)
    knows_too(context, name, born)


@behave.given('it knows the replica "{name}" of start {born:d}')
def knows_too(context, name, born):
    context.decisions.replicas.update(replica(name, born), context.now)


@behave.when('in turn {words}')
def in_turn(context, words):
    for word in words.split(', '):
        take(context, word)


def take(context, word):
    known = context.decisions.replicas
    if word == 'entry gone':
        known.remove(replicas.ReplicaId('a'), context.now)
        return
    born = int(re.search('start ([0-9]+)', word).group(1))
    if word.startswith('entry'):
        state = replicas.State(word.split(' ')[1])
        known.update(replica('a', born, state), context.now)
    else:
        known.mark_leaving(replica('a', born))


@behave.when('the replica "{name}" asks for a pause of {seconds:g} s')
def asks_for_pause(context, name, seconds):
    known = context.decisions.replicas.find(replicas.ReplicaId(name))
    context.decisions.paused(known, seconds, context.now)


@behave.when('{seconds:g} s pass at the router')
def pass_at_router(context, seconds):
    context.now += seconds


@behave.then('the replica "{name}" takes work')
def takes_work(context, name):
    assert place(context).ok_value.replica.id == name


@behave.then('the replica "{name}" takes no work')
def takes_no_work(context, name):
    assert place(context).is_err()


@behave.then('for {seconds:g} s each of {count:d} requests goes to "{name}"')
def each_goes_to(context, seconds, count, name):
    context.paused_at = context.now
    for number in range(count):
        context.now = context.paused_at + seconds * number / (count - 1)
        assert place(context).ok_value.replica.id == name


@behave.then('after {seconds:g} s some of {count:d} requests go to "{name}"')
def some_go_to(context, seconds, count, name):
    context.now = context.paused_at + seconds
    chosen = [place(context).ok_value.replica.id for _ in range(count)]
    assert name in chosen


@behave.then(
    '{count:d} requests are refused as "not run" with a Retry-After of {least:g} s to {most:g} s, not all the same'
)
def refused_with(context, count, least, most):
    told = [place(context).err_value for _ in range(count)]
    not_run = errors.Verdict.NOT_RUN.value
    assert {(one.status, one.verdict) for one in told} == {(503, not_run)}
    seconds = [one.retry_after_s for one in told]
    assert least <= min(seconds) < max(seconds) <= most, seconds


@behave.then(
    'the next callers of "{path}" get {status:d}, and the replica got {count:d} request'
)
def next_callers(context, path, status, count):
    for _ in range(3):
        assert fleets.ask(context.router, 'GET', path).status == status
    assert len(one_router.requests(context)) == count


@behave.given(
    'a forwarding router with a replica that asks for a pause of {seconds:g} s'
)
def router_with_pausing(context, seconds):
    one_router.start(context, hostile_replica.pausing(seconds))


@behave.then(
    'each caller gets {status:d} with a Retry-After of at most {most:g} s'
)
def each_told(context, status, most):
    for answer in context.answers:
        assert answer.status == status, answer.status
        assert 0 < float(answer.headers['Retry-After']) <= most


@behave.then('the replicas got {count:d} requests in all')
def got_in_all(context, count):
    assert len(one_router.requests(context)) == count


@behave.when('a replica answers {status:d} with the header "{header}"')
def answers_with(context, status, header):
    name, text = header.split(': ')
    context.marks = headers.PlatformDialect().read_answer(
        status, [(name.encode(), text.encode())]
    )


@behave.then('it leaves {leaves}, and asks for a pause of {pause} s')
def says(context, leaves, pause):
    assert context.marks.is_leaving == (leaves == 'yes')
    expected = None if pause == 'no' else float(pause)
    assert context.marks.pause_s == expected, context.marks


@behave.then(
    'the machine of own words finds nothing in {examples:d} runs of {steps:d} steps'
)
def finds_nothing(context, examples, steps):
    deterministic.run(own_word_machine.OwnWordMachine, steps, examples)


@behave.then(
    'it finds the fault "{fault}" in {examples:d} runs of {steps:d} steps'
)
def finds_fault(context, fault, examples, steps):
    machine = own_word_machine.OwnWordMachine
    put = own_word_machine.FAULTS[fault]
    assert deterministic.finds(machine, steps, examples, put)
