"""Steps on the slowdown of the replicas' machines."""

import collections
import random

import behave

from papayaloom import ids
from papayaloom.platform import headers
from papayaloom.request import header_dialect
from papayaloom.routing import dispatch, dispatch_messages, replicas

SERVICE = ids.ServiceId('models')


@behave.when('a replica reports its load as "{text}"')
def reports(context, text):
    field = (b'Papayaloom-Replica-Load', text.encode())
    context.load = headers.PlatformDialect().read_answer(200, [field]).load


@behave.then('the load is {load} and the slowdown is {slowdown}')
def read(context, load, slowdown):
    if load == 'none':
        assert context.load is None, context.load
        return
    running, waiting, slots = (int(one) for one in load.split(','))
    factor = None if slowdown == 'unknown' else float(slowdown)
    expected = header_dialect.Load(running, waiting, slots, factor)
    assert context.load == expected, context.load


def router(loads, slots, seed=3, hosts=1):
    """Return a router that has just heard the loads of its replicas."""
    made = dispatch.Dispatcher(dispatch.Cfg(), random.Random(seed), hosts)
    for number, load in enumerate(loads):
        one = replicas.Replica(
            replicas.ReplicaId(f'r{number}'),
            SERVICE,
            ('127.0.0.1', 9000 + number),
            slots=slots,
        )
        made.replicas.update(one, 0)
        made.record_load(one.id, load, 0)
    return made


@behave.given(
    '{count:d} replicas under equal load, {slow:d} of them on machines that take '
    '{factor:g} times as long'
)
def equal_load(context, count, slow, factor):
    context.slow = slow
    context.loads = [
        header_dialect.Load(4, 0, 64, factor if number < slow else 1)
        for number in range(count)
    ]


@behave.when(
    '{routers:d} router places {requests:d} plain requests {age:g} s after the '
    'reports'
)
@behave.when(
    '{routers:d} routers place {requests:d} plain requests each {age:g} s after '
    'the reports'
)
def place(context, routers, requests, age):
    context.placed = collections.Counter()
    for seed in range(routers):
        one = router(context.loads, 64, seed, routers)
        for _ in range(requests):
            wanted = dispatch_messages.PlacementRequest(SERVICE)
            chosen = one.place(wanted, age).unwrap().replica
            context.placed[chosen.id] += 1
            one.ended(dispatch_messages.AttemptResult(SERVICE, chosen.id), age)


def shares(context):
    slow = [context.placed[f'r{one}'] for one in range(context.slow)]
    others = [
        context.placed[f'r{one}']
        for one in range(context.slow, len(context.loads))
    ]
    return sum(slow) / len(slow), sum(others) / len(others)


@behave.then('the slow ones get at most half of what the others get each')
def avoided(context):
    slow, other = shares(context)
    assert slow <= other / 2, context.placed


@behave.then('the slow ones get at least 9 in 10 of what the others get each')
def not_avoided(context):
    slow, other = shares(context)
    assert slow >= 0.9 * other, context.placed


@behave.given(
    '{count:d} replicas that run {running:d} requests in {slots:d} slots, on '
    'machines that take {factor:g} times as long'
)
def full(context, count, running, slots, factor):
    load = header_dialect.Load(running, 0, slots, factor)
    context.router = router([load] * count, slots)


@behave.when('a request comes {age:g} s after the reports')
def comes(context, age):
    context.problem = context.router.place(
        dispatch_messages.PlacementRequest(SERVICE, objective_s=0.1), age
    ).err()


@behave.then('it is rejected as not run')
def rejected(context):
    assert context.problem and context.problem.status == 503, context.problem
