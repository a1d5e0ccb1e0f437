import random

import behave

from papayaloom import ids, messages
from papayaloom.process import limits, prefixes, quarantine
from papayaloom.routing.health import ejection
from papayaloom.routing.overload import budgets

ORG = ids.OrgId('org')
ROUTERS = [ids.RouterId(f'router-{number}') for number in range(6)]
MARK = quarantine.request_fingerprint('org', 'model', b'body')


@behave.given('a keeper of 6 routers with a rate of {rate:d} a second')
def keeper(context, rate):
    context.keeper = limits.RateAllocator(limits.Cfg(rate_per_s=rate))
    context.keeper.update_members(ROUTERS, 6)


def _lease(context, router, demand, now):
    request = messages.ShareRequest(ORG, demand)
    return context.keeper.handle(router, request, now)[0].message.rate


@behave.when('6 routers ask in changing order with demands from 1 to 100')
def ask_shares(context):
    rng = random.Random(1)
    context.leased = []
    for step in range(300):
        now = 100 + step * 0.3
        _lease(context, rng.choice(ROUTERS), rng.uniform(1, 100), now)
        context.leased.append(context.keeper.dump(now)[ORG])


@behave.then('the valid leases never exceed {rate:d} a second')
def sum_of_leases(context, rate):
    assert 0.8 * rate < max(context.leased) <= rate + 1e-6


@behave.when('only 2 of the 6 routers are present')
def minority(context):
    context.keeper.update_members(ROUTERS[:2], 6)


@behave.then('one of them gets at most {rate:d} a second')
def part_of_rate(context, rate):
    assert _lease(context, ROUTERS[0], 1000, 100) <= rate


@behave.given(
    'a limiter of 6 routers with a rate of {rate:d} a second and no keeper'
)
def limiter(context, rate):
    context.limiter = limits.Limiter(limits.Cfg(rate_per_s=rate), ROUTERS[0])
    context.limiter.update_members(6)


@behave.then('it admits at most {most:d} of 1000 requests in 10 seconds')
def admits(context, most):
    waits = [context.limiter.admit(ORG, step / 100) for step in range(1000)]
    assert 90 <= waits.count(0) <= most, waits.count(0)


@behave.given('a retry budget')
def budget(context):
    context.budgets = budgets.RetryBudgets(budgets.Cfg())


@behave.when('100 retries are wanted without any success')
def want_retries(context):
    context.allowed = sum(
        context.budgets.spend('upstream', step / 100) for step in range(100)
    )


@behave.then('at most {count:d} are allowed in the first second')
def allowed(context, count):
    assert context.allowed <= count


@behave.given('6 upstreams of which {failing:d} fail')
def upstreams(context, failing):
    context.ejection = ejection.Ejection(ejection.Cfg(), random.Random(1))
    context.ejection.update_upstreams([str(one) for one in range(6)])
    for step in range(60):
        for one in range(6):
            if one < failing:
                context.ejection.record_failure(str(one), step / 100)
            else:
                context.ejection.record_success(str(one), step / 100)


@behave.then('at most {count:d} are ejected')
def ejected(context, count):
    assert len(context.ejection.ejected()) <= count


@behave.when('its ejection has ended')
def ended(context):
    assert context.ejection.status('0', 1) == ejection.Status.EJECTED
    context.now = 100


@behave.then('it gets one trial and serves after its success')
def trial(context):
    now = context.now
    assert context.ejection.status('0', now) == ejection.Status.TRIAL
    context.ejection.start_trial('0', now)
    assert context.ejection.status('0', now) == ejection.Status.EJECTED
    context.ejection.record_success('0', now)
    assert context.ejection.status('0', now) == ejection.Status.SERVING


def _crash(context, upstream, ran_s):
    context.quarantine.record_start(MARK, upstream, context.now)
    context.now += ran_s
    context.marks = [
        mark
        for mark, _ in context.quarantine.record_crash(
            upstream, context.now
        ).crashes
    ]


def _treatment(context):
    return context.quarantine.treatment(MARK, context.now)


def _watch(context):
    context.quarantine = quarantine.Quarantine(quarantine.Cfg())
    context.quarantine.update_upstreams(5)
    context.now = 1000


@behave.given('a request that crashes each upstream after {ran_s:d} seconds')
def harmful(context, ran_s):
    _watch(context)
    _crash(context, 'a', ran_s)
    assert _treatment(context) == quarantine.Treatment.ISOLATED
    context.now += 60
    _crash(context, 'b', ran_s)


@behave.given(
    '{count:d} upstreams of which {crashed:d} have crashed a moment ago'
)
def unrest(context, count, crashed):
    context.quarantine = quarantine.Quarantine(quarantine.Cfg())
    context.quarantine.update_upstreams(count)
    context.now = 1000
    context.crashed = 0
    for number in range(crashed):
        context.quarantine.record_crash(f'other-{number}', context.now)


@behave.when(
    'a request crashes each of {count:d} further upstreams within {seconds:d} seconds'
)
def crashes_further(context, count, seconds):
    for _ in range(count):
        context.crashed += 1
        _crash(context, f'own-{context.crashed}', seconds / count)


@behave.then('it is placed apart, near other crashes, and not refused')
def only_apart(context):
    assert _treatment(context) == quarantine.Treatment.ISOLATED


@behave.then('it is refused')
def is_refused(context):
    assert _treatment(context) == quarantine.Treatment.REFUSED


@behave.then('it is refused after 2 crashes and explains the second crash')
def refused(context):
    assert _treatment(context) == quarantine.Treatment.REFUSED
    assert context.quarantine.has_condemned(context.marks)


@behave.given(
    'a request that was near crashes after {one:d} and {two:d} seconds'
)
def innocent(context, one, two):
    _watch(context)
    for _ in range(20):
        context.now += 60
        context.quarantine.record_crash('c', context.now)
    _crash(context, 'a', one)
    _crash(context, 'b', two)


@behave.then('it is placed apart and not refused')
def apart(context):
    assert _treatment(context) == quarantine.Treatment.ISOLATED
    assert context.quarantine.upstreams_to_avoid(MARK) == {'a', 'b'}


@behave.when('it runs to its end')
def runs(context):
    context.quarantine.record_start(MARK, 'c', context.now)
    context.quarantine.record_end(MARK, 'c', ran=True)


@behave.when('the operator releases it')
def release(context):
    context.quarantine.configure(quarantine.Cfg(released=frozenset({MARK})))


@behave.then('it is placed freely')
def free(context):
    assert _treatment(context) == quarantine.Treatment.UNRESTRICTED


@behave.given(
    'a recorded cache of 100 blocks whose events remove 2 blocks each'
)
def cache(context):
    context.cache = prefixes.PredictedCache(prefixes.Cfg(blocks=100))
    for step in range(50):
        blocks = (2 * step, 2 * step + 1)
        gone = (1000 + step, 2000 + step)
        context.cache.apply_event(
            prefixes.CacheEvent(step + 1, blocks, gone), 0
        )


@behave.when('{count:d} events are lost')
def lose(context, count):
    context.cache.apply_event(prefixes.CacheEvent(51 + count), 10)


@behave.then('at most {count:d} blocks are still recorded')
def recorded(context, count):
    assert len(context.cache) <= count, len(context.cache)


@behave.when('the newest block is used and an older removal of it arrives')
def late_removal(context):
    context.cache.record_use((99,), 10)
    context.cache.apply_event(prefixes.CacheEvent(51, (), (99,)), 11)


@behave.then('the newest block is still recorded')
def still_there(context):
    assert context.cache.cached((99,)) == 1
