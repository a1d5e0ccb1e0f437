import behave

from features.machines import admission as machine
from papayaloom import ids, messages
from papayaloom.process import (
    admission,
    holds,
    load_reports,
    promises,
    queueing,
)


@behave.given('the deliberate fault that {fault}')
def fault(context, fault):
    def patch(owner, name, replacement):
        context.add_cleanup(setattr, owner, name, getattr(owner, name))
        setattr(owner, name, replacement)

    machine.FAULTS[fault](patch)


@behave.when(
    'the admission machine runs {examples:d} examples of {steps:d} steps'
)
def run_machine(context, examples, steps):
    context.failure = ''
    try:
        machine.run(examples, steps)
    except AssertionError as exc:
        context.failure = str(exc)


@behave.then('no engine ever ran more requests than its cap')
def within_cap(context):
    assert not context.failure, context.failure


@behave.then('the machine has found an engine over its cap')
def over_cap(context):
    assert 'the cap is' in context.failure, context.failure


@behave.then(
    'the cap for {multiple:g} times {total:d} running requests on '
    '{live:d} engine is {expected:d}',
)
@behave.then(
    'the cap for {multiple:g} times {total:d} running requests on '
    '{live:d} engines is {expected:d}',
)
def cap_is(context, multiple, total, live, expected):
    assert admission.cap(multiple, total, live) == expected


@behave.given(
    'a report of {running:d} running requests that was {late:d} seconds on '
    'its way',
)
def late_report(context, running, late):
    context.loads = load_reports.RouterLoads(
        load_reports.Cfg(), ids.RouterId('me'), ids.ModelId('model')
    )
    for sent, arrives, count in ((100, 100, 0), (101, 101 + late, running)):
        load = messages.Load(
            ids.RouterId('other'),
            ids.ModelId('model'),
            count,
            1,
            sent * 1000,
            0,
        )
        context.loads.record(messages.LoadReport((load,)), arrives)
    context.now = 101 + late


@behave.then(
    'its age is at least {age:d} seconds and its lower estimate below '
    '{bound:d}',
)
def aged(context, age, bound):
    report = context.loads.report(0, 1, 0, context.now)
    assert report.loads[1].age_ms >= age * 1000, report
    assert context.loads.estimate(context.now).lower_bound < bound


@behave.then('its lower estimate is {lower:d}')
def lower_is(context, lower):
    assert context.loads.estimate(context.now).lower_bound == lower


@behave.given(
    'a promise of {term:d} seconds that was asked for {ago:d} seconds ago'
)
def late_promise(context, term, ago):
    first, second = ids.RouterId('first'), ids.RouterId('second')
    cfg = promises.Cfg(promise_s=term)
    context.first, context.second = (
        promises.Promises(cfg),
        promises.Promises(cfg),
    )
    context.engine, context.now = ids.EngineId('engine'), 100
    request = context.first.request(second, [context.engine], context.now - ago)
    answer = context.second.give(
        first, request.message, {context.engine: 0}, context.now
    )
    context.first.record(second, answer.message)


@behave.then(
    'the first holds it for {held:d} second and the second for {given:d} seconds'
)
def terms(context, held, given):
    newest = context.first.newest(context.engine)
    assert newest.until == context.now + held
    assert context.second.given(context.engine).until == context.now + given


@behave.given(
    'an engine of {places:d} places where "{name}" has {count:d} requests'
)
def crowded(context, places, name, count):
    cfg = admission.Cfg(load_multiple=10, most_running=places)
    context.owner = admission.Owner(cfg, ids.RouterId('me'), ids.ModelId('m'))
    context.engine = ids.EngineId('engine')
    context.owner.update_engines([context.engine], (), 0)
    for now in range(10):
        context.owner.tick(now)
    for ask in range(count):
        grant = holds.Grant(context.engine, 9, ids.OrgId(name))
        context.owner.holds.add((ids.RouterId('me'), ask), grant, 9)


@behave.then('"{full}" gets no place and "{free}" gets one')
def places_left(context, full, free):
    states = [
        context.owner.handle(ids.RouterId('me'), _ask(99 + index, org), 9)
        for index, org in enumerate((full, free))
    ]
    assert states[0][0].message.state == messages.GrantState.DENIED
    assert states[1][0].message.state == messages.GrantState.GRANTED


def _ask(number, organisation, priority=1):
    return messages.Ask(
        number,
        ids.RequestId(str(number)),
        ids.EngineId('engine'),
        ids.OrgId(organisation),
        ids.ChatId('chat'),
        priority,
        0,
        60000,
        100,
    )


def _entry(number, organisation, now=0, priority=1):
    key = (ids.RouterId('me'), number)
    return queueing.Entry(
        key, _ask(number, organisation, priority), now, now + 600
    )


def _pop(context, now):
    return context.queue.pop(now, lambda organisation: True).ask


@behave.given('a queue that gets a request of priority 0 every second')
def busy_queue(context):
    context.queue = queueing.Queue(queueing.Cfg())


@behave.when('a request of priority 9 waits')
def low_priority(context):
    context.queue.push(_entry(0, 'low', 0, 9), 0)


@behave.then('it is served after at most {longest:d} seconds')
def served(context, longest):
    for now in range(1, longest + 1):
        context.queue.push(_entry(now, 'high', now, 0), now)
        if _pop(context, now).request == '0':
            return
    raise AssertionError(f'not served in {longest} s')


@behave.given('{many:d} waiting requests of "{large}" and {few:d} of "{small}"')
@behave.given(
    'a full queue with {many:d} requests of "{large}" and {few:d} of "{small}"'
)
def waiting(context, many, large, few, small):
    context.queue = queueing.Queue(queueing.Cfg())
    for number in range(many):
        context.queue.push(_entry(number, large), 0)
    for number in range(few):
        context.queue.push(_entry(many + number, small), 0)


@behave.then('the request of "{small}" is among the first {count:d} served')
def early(context, small, count):
    served = [_pop(context, 1).organisation for _ in range(count)]
    assert small in served, served


@behave.when('"{small}" sends one more')
def one_more(context, small):
    context.dropped = context.queue.push(_entry(999, small), 0)


@behave.then('a request of "{large}" is dropped')
def dropped(context, large):
    assert context.dropped.ask.organisation == large
