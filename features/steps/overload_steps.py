import random
import types

import behave

from features import placement_model
from papayaloom import errors, ids
from papayaloom.process import forward_job
from papayaloom.routing import dispatch, dispatch_messages, replicas
from papayaloom.routing.load import load_estimates
from papayaloom.routing.overload import load_shedding, retry_delays
from papayaloom.request import forwarding, header_dialect

SERVICE = ids.ServiceId('pool')


def new_router(context, number, now=0):
    router = dispatch.Dispatcher(
        dispatch.Cfg(), random.Random(number), hosts=context.hosts
    )
    router.replicas.lapses.store_answered(-60)
    router.replicas.replace(
        [
            replicas.Replica(
                replicas.ReplicaId(name),
                SERVICE,
                ('10.0.0.1', 8000),
                slots=context.slots,
                born=1,
            )
            for name in context.names
        ],
        now,
    )
    return router


@behave.given(
    '{count:d} replicas with {slots:d} slots and {hosts:d} routers that share no word, replicas {tell} their load'
)
def slotted_fleet(context, count, slots, hosts, tell):
    context.names = [f'e{number}' for number in range(count)]
    context.slots = slots
    context.hosts = hosts
    context.reports = tell == 'report'
    context.routers = [new_router(context, number) for number in range(hosts)]


def play(
    context,
    per_s,
    work,
    seconds,
    burst,
    before=None,
    share_s=0,
    lag_s=0,
    **load,
):
    context.burst = burst
    context.model = placement_model.Model(
        context.routers,
        context.names,
        SERVICE,
        placement_model.Load(
            per_s,
            work,
            burst=burst,
            slots=context.slots,
            reports=context.reports,
            **load,
        ),
        share_s=share_s,
        lag_s=lag_s,
    )
    if before:
        before(context.model)
    context.model.run(seconds)


@behave.when(
    '{per_s:d} requests a second of {work:g} s arrive for {seconds:d} s, from {at:d} s to {until:d} s {x:d} times as many'
)
def burst_arrives(context, per_s, work, seconds, at, until, x):
    burst = placement_model.Burst(at, until, x)
    objective_s = 0.6 if work >= 1 else 0.3
    play(context, per_s, work, seconds, burst, objective_s=objective_s)


@behave.when(
    '{per_s:d} requests a second of {work:g} s arrive for {seconds:d} s, from {at:d} s to {until:d} s sixty times as many of one in ten organisations'
)
def one_organisation(context, per_s, work, seconds, at, until):
    names = {f'org{number}': 1.0 for number in range(10)}
    burst = placement_model.Burst(at, until, 60, 'org0')
    play(
        context,
        per_s,
        work,
        seconds,
        burst,
        organisations=names,
        objective_s=0.6,
    )


@behave.when(
    '{per_s:d} requests a second of {work:g} s arrive for {seconds:d} s, from {at:d} s to {until:d} s {x:d} times as many, and all routers forget all at {moment:d} s'
)
def restart(context, per_s, work, seconds, at, until, x, moment):
    burst = placement_model.Burst(at, until, x)

    def forget(now):
        for number in range(context.hosts):
            context.routers[number] = new_router(context, number + 100, now)

    play(
        context,
        per_s,
        work,
        seconds,
        burst,
        lambda model: model.plan(moment, forget),
        objective_s=0.6,
    )


def busy_share(context):
    """Return the share of the slot time of the burst that calls used."""
    burst = context.burst
    used_s = sum(
        max(
            min(one.started_at + one.work_s, burst.until)
            - max(one.started_at, burst.at),
            0,
        )
        for one in context.model.calls
        if one.started_at
    )
    slots = context.slots * len(context.names)
    return used_s / slots / (burst.until - burst.at)


@behave.when(
    'they hear sums every {share:g} s, {lag:g} s old, while {per_s:d} calls a second of {work:g} s arrive for {seconds:d} s'
)
def calls_by_old_sums(context, share, lag, per_s, work, seconds):
    play(
        context,
        per_s,
        work,
        seconds,
        None,
        share_s=share,
        lag_s=lag,
        objective_s=0.4,
    )


@behave.then('the routers reject at most {most:d} in 100 calls')
def few_rejected(context, most):
    model = context.model
    assert model.rejected <= len(model.calls) * most / 100, model.rejected


@behave.then('the slots are busy for nine tenths of the burst')
def slots_busy(context):
    assert busy_share(context) >= 0.9, busy_share(context)


@behave.then(
    'in each 2 s of the burst at least half of what the slots can run begins within {objective:g} s'
)
def each_window(context, objective):
    model, burst = context.model, context.burst
    for at in range(int(burst.at), int(burst.until), 2):
        calls = model.of(at, at + 2)
        work_s = sum(one.work_s for one in calls)
        possible = 2 * context.slots * len(context.names) / work_s
        share = model.in_time(at, at + 2)
        assert share >= min(possible, 1) / 2, (at, share, possible)


@behave.then(
    'from {pause:d} s after its end at least {least:d} in 100 begin within {objective:g} s'
)
def afterwards(context, pause, least, objective):
    since = context.burst.until + pause
    share = context.model.in_time(since, since + 10)
    assert share >= least / 100, share


@behave.then(
    'of what replicas began, at least {least:d} in 100 were in time or had been told to come back'
)
def began_in_time(context, least):
    began = [one for one in context.model.calls if one.started_at]
    good = [one for one in began if not one.is_late or one.rejections]
    assert len(good) >= len(began) * least / 100, (len(good), len(began))


@behave.then('replicas turn away at most {most:d} in 100 arrivals')
def turned_away(context, most):
    model = context.model
    share = 100 * model.turned_away / len(model.placements)
    assert share <= most, share


@behave.then(
    'of the requests of the others, at least {least:d} in 100 begin within 0.6 s'
)
def others_in_time(context, least):
    burst = context.burst
    others = [f'org{number}' for number in range(1, 10)]
    shares = [
        context.model.in_time(burst.at, burst.until, name) for name in others
    ]
    assert sum(shares) / len(shares) >= least / 100, shares


@behave.then('the one organisation keeps at least half of the slots busy')
def not_idle(context):
    assert busy_share(context) >= 0.5, busy_share(context)


def load_of(context, running):
    estimates = {
        name: load_estimates.LoadEstimate(0, running, 0.1)
        for name in context.names
    }
    return load_shedding.Load(
        context.routers[0].replicas.ready(SERVICE, 0),
        estimates,
        service_time_s=2,
        arrivals_per_s=50,
        hosts=context.hosts,
        serving=context.routers[0].replicas.ready(SERVICE, 0),
    )


@behave.when(
    'a router rejects {rejected:d} in {offered:d} requests that have {left:d} s left'
)
def rejects(context, rejected, offered, left):
    shedder = load_shedding.LoadShedder(load_shedding.Cfg(), random.Random(5))
    demand = load_shedding.Demand(SERVICE, '', 0.6, left)
    context.problems = []
    for number in range(200):
        is_rejected = number % offered < rejected
        load = load_of(context, 100 if is_rejected else 1)
        outcome = shedder.admit(demand, load, number / 100)
        if is_rejected:
            context.problems.append(outcome)


@behave.given(
    '{count:d} callers with {left:g} s left reach a host that has no routes'
)
def without_routes(context, count, left):
    rng = random.Random(7)
    context.problems = [
        errors.Problem('', 503, retry_after_s=retry_delays.outage_s(left, rng))
        for _ in range(count)
    ]


@behave.then('each is told to return within {least:g} s to {most:g} s')
def told(context, least, most):
    # The share of rejections is known after some of them.
    later = context.problems[len(context.problems) // 2 :]
    delays = [one.retry_after_s for one in later]
    assert least <= min(delays) and max(delays) <= most, delays


@behave.when('all replicas run {count:d} requests')
def all_run(context, count):
    for name in context.names:
        load = header_dialect.Load(count, 0, 64)
        context.routers[0].record_load(name, load, 0)


def attempt(context, **wanted):
    return context.routers[0].place(
        dispatch_messages.PlacementRequest(SERVICE, **wanted), 0.1
    )


@behave.then('a first attempt is rejected as not run, with a time to come back')
def rejected_first(context):
    problem = attempt(context).err_value
    assert problem.status == 503 and problem.retry_after_s > 0, problem
    assert problem.verdict == 'not run', problem


@behave.then('a retry of a request that may have run is placed')
def begun_placed(context):
    assert attempt(context, may_have_run=True).is_ok()


@behave.when('a router has sent one request, which hung for {seconds:g} s')
def one_hung(context, seconds):
    replica = attempt(context).ok_value.replica.id
    context.routers[0].ended(
        dispatch_messages.AttemptResult(
            SERVICE, replica, True, duration_s=seconds
        ),
        0.1,
    )


@behave.then('a first attempt is placed')
def first_placed(context):
    assert attempt(context).is_ok()


@behave.when(
    'a retry is rejected with {status:d} after {runs:d} attempts that may have run'
)
def retry_rejected(context, status, runs):
    job = types.SimpleNamespace(progress=forwarding.Progress(runs=runs))
    context.problem = forward_job.final_problem(
        job, errors.Problem('full', status)
    )


@behave.then('the caller gets the final status {status:d}')
def final_status(context, status):
    problem = context.problem
    assert problem.status == status, problem
    is_rejection = status in {429, 503}
    assert (problem.verdict == 'not run') is is_rejection, problem
