import random

import behave
import result

from features import placement_model
from papayaloom import hashing, ids
from papayaloom.routing import dispatch, dispatch_messages, replicas
from papayaloom.routing.load import request_counts
from papayaloom.routing.overload import budgets
from papayaloom.request import header_dialect

SERVICE = ids.ServiceId('pool')


def replica(name, state=replicas.State.READY):
    return replicas.Replica(
        id=replicas.ReplicaId(name),
        service=SERVICE,
        address=('10.0.0.1', int(name.removeprefix('e')) + 8000),
        state=state,
        born=1,
    )


def place(context, prefix='', router=0, **wanted):
    return context.routers[router].place(
        dispatch_messages.PlacementRequest(SERVICE, prefix, **wanted),
        context.now,
    )


def ranked(context, prefix):
    return hashing.rank(prefix, context.names, len(context.names))


@behave.given(
    '{count:d} replicas of a service and {routers:d} routers that share no word'
)
def fleet(context, count, routers):
    context.now = 0.0
    context.names = [f'e{number}' for number in range(count)]
    context.routers = []
    for number in range(routers):
        router = dispatch.Dispatcher(
            dispatch.Cfg(), random.Random(number), hosts=6
        )
        router.replicas.lapses.store_answered(-60)
        router.replicas.replace([replica(name) for name in context.names], 0)
        context.routers.append(router)


@behave.given('{seconds:d} s pass')
@behave.when('{seconds:d} s pass')
def time_passes(context, seconds):
    context.now += seconds


@behave.when(
    'each router places {count:d} requests with the prefix "{prefix}", one at a time'
)
def place_each(context, count, prefix):
    context.placed = []
    for router in range(len(context.routers)):
        for _ in range(count):
            choice = place(context, prefix, router).ok_value
            context.placed.append(choice.replica.id)
            context.routers[router].ended(
                dispatch_messages.AttemptResult(
                    SERVICE, choice.replica.id, False
                ),
                context.now,
            )


@behave.then('all of them go to the same replica')
def same_replica(context):
    assert len(set(context.placed)) == 1, context.placed


@behave.when(
    '{count:d} requests arrive at once, {share} of them with the prefix "{prefix}"'
)
def arrive(context, count, share, prefix):
    context.loads = dict.fromkeys(context.names, 0)
    context.over = []
    context.choices = []
    for number in range(count):
        is_hot = share == 'half' and number % 2
        choice = place(context, prefix if is_hot else '').ok_value
        mean = sum(context.loads.values()) / len(context.names)
        if context.loads[choice.replica.id] > 2 * mean + 3:
            context.over.append(choice.replica.id)
        context.loads[choice.replica.id] += 1
        if is_hot:
            context.choices.append(choice)


@behave.then('no replica got a request above twice the mean load and 3 more')
def none_over(context):
    assert not context.over, context.over


@behave.then('the overflow was told to copy the prefix from its first replica')
def overflow_copies(context):
    first = ranked(context, 'hot')[0]
    overflow = [one for one in context.choices if one.replica.id != first]
    assert overflow
    assert {one.source.id for one in overflow} == {first}


@behave.then('the first replica was told to copy it from the second in rank')
def first_copies(context):
    first, second = ranked(context, 'hot')[:2]
    sources = {
        one.source.id for one in context.choices if one.replica.id == first
    }
    assert sources == {second}, sources


@behave.when('a replica joins that is first in rank for "{prefix}"')
def joins(context, prefix):
    context.before = ranked(context, prefix)[0]
    context.joined = next(
        name
        for name in (f'e{number}' for number in range(100, 999))
        if hashing.rank(prefix, [*context.names, name], 1) == [name]
    )
    context.names.append(context.joined)
    context.routers[0].replicas.update(replica(context.joined), context.now)


@behave.when('a request with the prefix "{prefix}" is placed')
def place_one(context, prefix):
    context.choice = place(context, prefix).ok_value


@behave.then('it goes to the new replica, which copies from the one before')
def copies_from_before(context):
    assert context.choice.replica.id == context.joined
    assert context.choice.source.id == context.before


@behave.when('the first replica in rank for "{prefix}" drains')
def drains(context, prefix):
    context.before = ranked(context, prefix)[0]
    context.routers[0].replicas.update(
        replica(context.before, replicas.State.DRAINING), context.now
    )


@behave.then('it goes to another replica, which copies from the draining one')
def copies_from_draining(context):
    assert context.choice.replica.id != context.before
    assert context.choice.source.id == context.before


@behave.then('each replica got {count:d}')
def each_got(context, count):
    assert set(context.loads.values()) == {count}, context.loads


@behave.when("one replica can't be reached")
def one_unreachable(context):
    context.down = context.names[0]
    unreachable(context, context.down)


@behave.when("the other replicas can't be reached either")
def all_unreachable(context):
    for name in context.names:
        unreachable(context, name)


def unreachable(context, name):
    context.routers[0].ended(
        dispatch_messages.AttemptResult(
            SERVICE, name, None, is_unreachable=True
        ),
        context.now,
    )


@behave.then('that replica got {count:d}')
def that_got(context, count):
    assert context.loads[context.down] == count, context.loads


@behave.then('a request is still placed')
@behave.then('a first attempt is still placed')
def still_placed(context):
    assert isinstance(place(context), result.Ok)


@behave.when('{count:d} repeats arrive at once')
def repeats(context, count):
    context.outcomes = [place(context, is_retry=True) for _ in range(count)]


@behave.then('at most {count:d} of them were placed')
def at_most_placed(context, count):
    placed = [one for one in context.outcomes if isinstance(one, result.Ok)]
    assert len(placed) <= count, len(placed)


@behave.then('a refused repeat says when to come back')
def refused_repeat(context):
    problem = context.outcomes[-1].err_value
    assert problem.status == 503 and problem.retry_after_s > 0, problem


@behave.given(
    'a fleet of {count:d} routers, each with {replicas_count:d} replicas'
)
def large_fleet(context, count, replicas_count):
    fleet(context, replicas_count, count)
    for number, router in enumerate(context.routers):
        router.set_fleet_size(count)


@behave.then(
    'all routers together save at most half of the slack of {slack:d} repeats'
)
def share_of_slack(context, slack):
    hosts = len(context.routers)
    share = budgets.RetryBound(slack=slack).share(hosts)
    saved = share.saved_retries + share.idle_retries_per_s * 10
    assert saved * hosts <= slack, saved * hosts
    assert share.first_retries * hosts <= slack / 2


@behave.when(
    'the fleet runs {high:d} at the first replica for "{prefix}" and {low:d} at each other'
)
def fleet_loads(context, high, prefix, low):
    context.order = ranked(context, prefix)
    totals = dict.fromkeys(context.names, low) | {context.order[0]: high}
    context.routers[0].update_fleet_counts(
        request_counts.RequestCounts(totals), context.now
    )


@behave.when(
    'the first replica for "{prefix}" reports {high:d}, and sums follow that have {low:d} at each'
)
def report_before_sums(context, prefix, high, low):
    context.order = ranked(context, prefix)
    router = context.routers[0]
    report = header_dialect.Load(high, 0, 64)
    router.record_load(replicas.ReplicaId(context.order[0]), report, 0.0)
    context.now = 0.1
    router.update_fleet_counts(
        request_counts.RequestCounts(dict.fromkeys(context.names, low)),
        context.now,
    )


@behave.then(
    'it goes to the second replica in rank, which copies from the first'
)
def second_in_rank(context):
    assert context.choice.replica.id == context.order[1]
    assert context.choice.source.id == context.order[0]


@behave.when(
    'they hear sums every {share:g} s, {lag:g} s old, while {per_s:d} plain calls a second of {work:g} s arrive for {seconds:d} s'
)
def plain_by_old_sums(context, share, lag, per_s, work, seconds):
    load = placement_model.Load(per_s, work)
    play(context, load, share, lag, seconds)


@behave.when(
    'they hear sums every {share:g} s, {lag:g} s old, while {per_s:d} streams a second of {work:g} s arrive for {seconds:d} s, {hot:d} in 100 of them with one prefix'
)
def streams_by_old_sums(context, share, lag, per_s, work, seconds, hot):
    prefixes = {f'p{number}': 1 for number in range(100)}
    prefixes['hot'] = 100 * hot / (100 - hot)
    load = placement_model.Load(per_s, work, prefixes)
    play(context, load, share, lag, seconds)


@behave.when(
    'they hear sums every {share:g} s, {lag:g} s old, while {per_s:d} streams a second of {work:g} s arrive for {seconds:d} s, and {count:d} replicas need {times:g} times as long'
)
def streams_with_slow(context, share, lag, per_s, work, seconds, count, times):
    prefixes = {f'p{number}': 1 for number in range(100)}
    slowness = dict.fromkeys(context.names[:count], times)
    load = placement_model.Load(per_s, work, prefixes, slowness)
    play(context, load, share, lag, seconds)


@behave.when(
    'they hear of loads with answers only, while {per_s:d} streams a second of {work:g} s arrive for {seconds:d} s, {hot:d} in 100 of them with one prefix'
)
def streams_by_reports(context, per_s, work, seconds, hot):
    prefixes = {f'p{number}': 1 for number in range(100)}
    prefixes['hot'] = 100 * hot / (100 - hot)
    play(context, placement_model.Load(per_s, work, prefixes), 0, 0, seconds)


def play(context, load, share, lag, seconds):
    context.model = placement_model.Model(
        context.routers, context.names, SERVICE, load, share, lag
    )
    context.model.run(seconds)


@behave.then(
    'at most {most:g} in 100 reach a replica above twice the mean load and 3 more'
)
def share_above_bound(context, most):
    placed, over = context.model.above_bound()
    assert placed > 500, placed
    above = 100 * over / placed
    assert above <= most, (above, context.model.most)


@behave.when(
    'they hear {how}, while {per_s:d} streams a second of {work:g} s arrive for {seconds:d} s, {hot:d} in 100 of them with one prefix, from {at:d} s to {until:d} s {x:d} times as many'
)
def traffic_jumps(context, how, per_s, work, seconds, hot, at, until, x):
    share, lag = (0.4, 1.2) if how == 'old sums' else (0, 0)
    prefixes = {f'p{number}': 1 for number in range(100)}
    prefixes['hot'] = 100 * hot / (100 - hot)
    load = placement_model.Load(
        per_s,
        work,
        prefixes,
        slowness={context.names[0]: 1.5},
        burst=placement_model.Burst(at, until, x),
        first_event_s=0.3,
    )
    play(context, load, share, lag, seconds)


@behave.then(
    'from {since:d} s on, in no 5 s do 20 requests and more than {most:d} in 100 reach a replica above twice the mean load and 3 more'
)
def window_above_bound(context, since, most):
    last_at = context.model.placements[-1][0]
    while since + 5 <= last_at:
        placed, over = context.model.above_bound(since, since + 5)
        is_broken = over >= 20 and 100 * over > most * placed
        assert not is_broken, (since, placed, over)
        since += 0.5


@behave.then(
    'the router tells others of an arrival for which the second in rank is the first'
)
def tells_of_second(context):
    first = context.routers[0].own_request_counts(context.now).first
    assert list(first) == [ranked(context, 'care-7')[1]], first
