import random
import re

import behave

from features import poison_model
from features.machines import (
    deterministic,
    poison_machine,
    poison_parts_machine,
)
from papayaloom import ids
from papayaloom.process import quarantine
from papayaloom.routing import dispatch, dispatch_messages, replicas
from papayaloom.routing.poison import (
    poison,
    poison_detector,
    poison_evidence,
    termination_rate,
)

POOL = ids.ServiceId('pool')
_HOW = {
    'freely': quarantine.Treatment.UNRESTRICTED,
    'apart': quarantine.Treatment.ISOLATED,
    'nowhere': quarantine.Treatment.REFUSED,
}


@behave.given('a host that knows no suspects')
def no_suspects(context):
    context.poison = poison.PoisonTracker(poison.Cfg())
    context.now = 1000.0


@behave.when('of {which} request it hears that {story}')
def hears(context, which, story):
    context.mark = ids.Fingerprint(which)
    for event in story.split(', '):
        _hear(context, event)
        context.now += 0.1


def _hear(context, event):
    watched, mark = context.poison, context.mark
    wait = re.fullmatch(r'(\d+) s passed', event)
    if wait:
        context.now += float(wait[1])
        # Returns in between keep a condemned request in mind.
        watched.treatment(mark, context.now)
        watched.tick(context.now)
    elif event == 'it ran whole':
        watched.record_complete_response(mark, context.now)
    elif event == 'another host condemned it':
        watched.apply_report(
            poison_evidence.Report(condemned=(mark,)), context.now
        )
    elif event == 'another host cleared it':
        watched.apply_report(
            poison_evidence.Report(cleared=(mark,)), context.now
        )
    elif event == 'another host released it':
        watched.apply_report(
            poison_evidence.Report(released=(mark,)), context.now
        )
    else:
        name, _, when = event.split()
        own = ids.Fingerprint('alone') if when == 'alone' else mark
        suspicion = poison_evidence.Suspicion(
            own, replicas.ReplicaStart(name), has_begun=when == 'late'
        )
        watched.record_termination(suspicion, context.now)


@behave.then('the request is placed {how}')
def placed(context, how):
    found = context.poison.treatment(context.mark, context.now)
    assert found is _HOW[how], found


@behave.then(
    'it is still condemned while it comes again after each {step:d} of {count:d} suspects'
)
def remembered(context, step, count):
    for number in range(count):
        suspicion = poison_evidence.Suspicion(
            ids.Fingerprint(f'other-{number}'),
            replicas.ReplicaStart(f'start-{number // 100}'),
        )
        context.poison.record_termination(suspicion, context.now)
        if number % step == 0:
            placed(context, 'nowhere')
    placed(context, 'nowhere')


@behave.given(
    'a host with {count:d} replicas, of which "{name}" runs a suspect'
)
def runs_suspect(context, count, name):
    context.decisions = dispatch.Dispatcher(dispatch.Cfg(), random.Random(1))
    for number in range(1, count + 1):
        replica = replicas.Replica(
            id=replicas.ReplicaId(f'i-{number}'),
            service=POOL,
            address=('10.0.0.1', number),
        )
        context.decisions.replicas.update(replica, 0)
    context.suspect_at = name
    first = poison_detector.Subject(ids.Fingerprint('first'))
    context.decisions.poison.record_start(first, name)
    _suspect(context, 'first', 'i-7')


def _suspect(context, mark, start):
    suspicion = poison_evidence.Suspicion(
        ids.Fingerprint(mark), replicas.ReplicaStart(start)
    )
    attempt = poison_detector.Attempt(
        poison_detector.Subject(suspicion.fingerprint),
        replicas.ReplicaId('i-0'),
        0.0,
        suspicion,
    )
    context.decisions.poison.record_attempt(attempt, 1.0)


@behave.then('{count:d} other suspects go to the other {others:d} replicas')
def go_elsewhere(context, count, others):
    chosen = set()
    for number in range(count):
        mark = ids.Fingerprint(f'other-{number}')
        _suspect(context, mark, f'start-{number}')
        choice = context.decisions.place(
            dispatch_messages.PlacementRequest(POOL, fingerprint=mark), 1.0
        ).ok_value
        chosen.add(choice.replica.id)
        context.decisions.ended(
            dispatch_messages.AttemptResult(
                POOL, choice.replica.id, fingerprint=mark
            ),
            1.0,
        )
    assert len(chosen) == others, chosen
    assert context.suspect_at not in chosen, chosen


@behave.then(
    'the machine of poison finds nothing in {examples:d} runs of {steps:d} steps'
)
def finds_nothing(context, examples, steps):
    deterministic.run(poison_machine.PoisonMachine, steps, examples)


@behave.then(
    'the machine of poison finds the fault "{fault}" in {examples:d} runs of {steps:d} steps'
)
def finds_fault(context, fault, examples, steps):
    machine = poison_machine.PoisonMachine
    put = poison_machine.FAULTS[fault]
    assert deterministic.finds(machine, steps, examples, put)


@behave.then(
    'the machine of poison parts finds nothing in {examples:d} runs of {steps:d} steps'
)
def parts_find_nothing(context, examples, steps):
    deterministic.run(poison_parts_machine.PoisonPartsMachine, steps, examples)


@behave.then(
    'the machine of poison parts finds the fault "{fault}" in {examples:d} runs of {steps:d} steps'
)
def parts_find_fault(context, fault, examples, steps):
    machine = poison_parts_machine.PoisonPartsMachine
    put = poison_parts_machine.FAULTS[fault]
    assert deterministic.finds(machine, steps, examples, put)


@behave.when(
    'under its other prompts replicas end {others:d} times in {ran:g} s'
)
def other_prompts(context, others, ran):
    context.rate = termination_rate.TerminationRate()
    context.rate.record(ran, context.now, is_terminated=False)
    for _ in range(others):
        context.rate.record(0, context.now, is_terminated=True)


@behave.then('{count:d} ends in {part:g} s of one part are {how}')
def are_chance(context, count, part, how):
    chance = context.rate.chance(count, [part], context.now)
    assert (chance >= poison.Cfg().chance) == (how == 'likely'), chance


DAYS = {
    'one replica after the other': {'crash_every_s': 0.3, 'crash_share': 0.08},
    'a third of them at once': {'crash_every_s': 2.5},
    'all at once': {'crash_every_s': 2, 'crash_share': 1, 'back_s': 1},
}


def play(context, seeds, **ways):
    cfg = poison_model.Cfg(**ways)
    context.plays = [
        poison_model.Model(cfg, seed).play() for seed in range(seeds)
    ]


@behave.when(
    'in {seeds:d} plays a part ends replicas after {least:g} to {most:g} s, {beside}'
)
def part_ends(context, seeds, least, most, beside):
    play(
        context,
        seeds,
        deadly_per_s=0.67,
        deadly_after_s=(least, most),
        **DAYS.get(beside.removeprefix('beside '), {}),
    )


@behave.when('in {seeds:d} plays replicas end for other reasons, {how}')
def other_reasons(context, seeds, how):
    play(context, seeds, per_s=20, runs_s=(0.5, 4), **DAYS[how])


@behave.then(
    'in each it reaches at most {most:d} replicas later than 3 s after the fifth end'
)
def reaches_few(context, most):
    for one in context.plays:
        fifth = one.deadly_ends[4] if len(one.deadly_ends) > 4 else one.ended_at
        late = [at for at in one.deadly_sent if at > fifth + 3]
        assert len(late) <= most, late
        assert poison_model.DEADLY in one.condemned


@behave.then('no other part is refused')
def no_other_refused(context):
    found = [
        set(one.condemned) - {poison_model.DEADLY} for one in context.plays
    ]
    assert not any(found), found


PART = ids.Fingerprint('dead')


@behave.given('two hosts that know no suspect parts')
def no_suspect_parts(context):
    context.hosts = [
        poison_detector.PoisonDetector(poison.Cfg()) for _ in range(2)
    ]
    context.now = 1000.0
    context.requests = 0


@behave.when('of requests with one prompt part {story}')
def part_story(context, story):
    for event in story.split(', '):
        _part_event(context, event)
        # The answer to a report is a report, too.
        for host, other in (*zip(context.hosts, context.hosts[::-1]),) * 2:
            other.apply_report(host.take_report(), context.now)


def _part_event(context, event):
    wait = re.fullmatch(r'(\d+) s pass', event)
    if wait:
        context.now += float(wait[1])
        for host in context.hosts:
            host.tick(context.now)
        return
    context.requests += 1
    subject = poison_detector.Subject(
        ids.Fingerprint(f'request-{context.requests}'), (PART,)
    )
    name, _, how = event.partition(' ')
    suspicion = None
    is_rest = how == 'runs the rest of one'
    if how.startswith('ends'):
        suspicion = poison_evidence.Suspicion(
            subject.fingerprint,
            replicas.ReplicaStart(name),
            has_begun=how == 'ends after the answer has begun',
        )
    host = context.hosts[context.requests % 2]
    # An older request began before all that has happened.
    began_at = context.now - (60 if how == 'runs an older one whole' else 0.2)
    host.record_attempt(
        poison_detector.Attempt(
            subject,
            replicas.ReplicaId(name),
            began_at,
            suspicion,
            is_success=suspicion is None and not is_rest,
        ),
        context.now,
    )


@behave.then('another request with that part is {how} by both hosts')
def part_verdict(context, how):
    other = poison_detector.Subject(ids.Fingerprint('other'), (PART,))
    context.now += 1
    for host in context.hosts:
        host.tick(context.now)
        condemned = host.condemned(other, context.now)
        assert (condemned == PART) == (how == 'refused'), condemned


SHARED = ids.Fingerprint('aa01')
_TICK_S = 0.1


def _end(host, part, start, now):
    """A replica ends under a request with the shared part and another one."""
    subject = poison_detector.Subject(
        ids.Fingerprint(f'{part}-{start}'), (SHARED, part)
    )
    suspicion = poison_evidence.Suspicion(
        subject.fingerprint, replicas.ReplicaStart(start)
    )
    attempt = poison_detector.Attempt(
        subject, replicas.ReplicaId(start), now - _TICK_S, suspicion
    )
    host.record_attempt(attempt, now)


@behave.when(
    'replicas end at {first:g} s and {second:g} s, and the host of the deadly requests is heard {late:g} s late'
)
def heard_late(context, first, second, late):
    other, host = context.hosts
    began_at, on_the_way = context.now, []
    ends = {round(first / _TICK_S): 'i-1', round(second / _TICK_S): 'i-2'}
    for step in range(round((second + 2 * late + 2) / _TICK_S)):
        now = began_at + step * _TICK_S
        if step in ends:
            _end(other, ids.Fingerprint(f'sound-{step}'), ends[step], now)
            _end(host, PART, ends[step], now)
        for one in context.hosts:
            one.tick(now)
        on_the_way.append((now + late, host.take_report()))
        host.apply_report(other.take_report(), now)
        while on_the_way and on_the_way[0][0] <= now:
            other.apply_report(on_the_way.pop(0)[1], now)
    context.now = now


@behave.then(
    '2 s after its last report both hosts refuse the part behind, and not the shared one'
)
def only_behind(context):
    for host in context.hosts:
        for part, expected in ((PART, PART), ('sound-0', None)):
            subject = poison_detector.Subject(
                ids.Fingerprint('other'), (SHARED, ids.Fingerprint(part))
            )
            condemned = host.condemned(subject, context.now)
            assert condemned == expected, f'{part}: {condemned}'
