import behave
import msgspec

from features import placement_model
from features.steps import spread_steps
from papayaloom.platform import headers
from papayaloom.routing import replicas
from papayaloom.routing.limits import rate_limits

_FACTOR = 1.5
_SLACK = 5


@behave.when('a replica answers {status:d} and names its limit as "{text}"')
@behave.when('a replica answers {status:d} and names its limit as ""')
def names_limit(context, status, text=''):
    context.limit_per_s = (
        headers.PlatformDialect()
        .read_answer(status, [(b'Server-Limit', text.encode())])
        .limit_per_s
    )


@behave.then('the limit is {limit} requests a second')
def limit_is(context, limit):
    expected = None if limit == 'no' else float(limit)
    assert context.limit_per_s == expected, context.limit_per_s


@behave.when(
    'for {seconds:d} s {per_s:d} streams a second arrive, and {named:d} replicas name a limit of {limit:g} a second'
)
def limited_load(context, seconds, per_s, named, limit):
    load = limited(context, per_s, named, limit)
    spread_steps.play(context, load, 0, 0, seconds)


def limited(context, per_s, named, limit):
    return placement_model.Load(
        per_s,
        1,
        {f'p{number}': 1 for number in range(200)},
        named=dict.fromkeys(context.names[:named], limit),
    )


@behave.then(
    'from {since:d} s on no replica gets in {window:d} s more than its limit allows'
)
def within_limits(context, since, window):
    model = context.model
    for name, limit in model.named.items():
        times = [at for at in model.arrivals[name] if at >= since]
        allowed = _FACTOR * window * limit + _SLACK
        for first, at in enumerate(times):
            count = sum(at <= other < at + window for other in times[first:])
            assert count <= allowed, (name, at, count, allowed)


@behave.when(
    'for {seconds:d} s {per_s:d} streams a second arrive, and {named:d} replicas name a limit of {limit:g} a second until {until:d} s'
)
def lifted_load(context, seconds, per_s, named, limit, until):
    load = limited(context, per_s, named, limit)
    spread_steps.play(
        context,
        msgspec.structs.replace(load, named_until=until),
        0,
        0,
        seconds,
    )


@behave.then(
    'from {since:d} s on each of them gets more than {per_s:g} requests a second'
)
def used(context, since, per_s):
    model = context.model
    last_at = max(one.arrived_at for one in model.calls)
    for name in model.named:
        count = sum(at >= since for at in model.arrivals[name])
        assert count > per_s * (last_at - since), (name, count)


@behave.then(
    'what was rejected is said not to have run, with a time to come back'
)
def rejections(context):
    problems = context.model.problems
    assert problems
    assert all(one.status == 503 for one in problems)
    assert all(one.retry_after_s > 0 for one in problems)


@behave.when('the replica names a limit of {limit:g} a second')
def names(context, limit):
    router = context.routers[0]
    replica = router.replicas.find(replicas.ReplicaId('e0'))
    router.rate_limits.record(replica, limit, context.now)


@behave.when('the replica starts again')
def starts_again(context):
    router = context.routers[0]
    replica = router.replicas.find(replicas.ReplicaId('e0'))
    router.replicas.update(
        msgspec.structs.replace(replica, born=2), context.now
    )


@behave.then('of {count:d} requests {most:d} are placed')
def all_placed(context, count, most):
    assert placed(context, count) == most


@behave.then('of {count:d} requests at most {most:d} are placed')
def at_most_placed(context, count, most):
    assert placed(context, count) <= most


def placed(context, count):
    outcomes = [spread_steps.place(context) for _ in range(count)]
    return sum(one.is_ok() for one in outcomes)


@behave.when('another router said {ages} s ago that the replica named {limits}')
def other_routers(context, ages, limits):
    router = context.routers[0]
    replica = router.replicas.find(replicas.ReplicaId('e0'))
    for age, limit in zip(ages.split(', '), limits.split(', '), strict=True):
        report = rate_limits.LimitReport(
            None if limit == 'none' else float(limit), int(age) * 1000
        )
        router.rate_limits.apply_reports(
            {replicas.start_id(replica): report}, context.now, context.now
        )


@behave.then('the limit of the replica is {limit}')
def limit_in_force(context, limit):
    router = context.routers[0]
    replica = router.replicas.find(replicas.ReplicaId('e0'))
    expected = float('inf') if limit == 'none' else float(limit)
    assert router.rate_limits.per_s(replica, context.now) == expected
