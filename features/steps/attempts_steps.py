import random

import behave
import result

from papayaloom import errors, ids
from papayaloom.process import records
from papayaloom.request import deadline, record, retry_policy

CFG = retry_policy.Cfg(tries=5, base_s=0.05, longest_s=2)


def failure(verdict='may have run', tries=1, until=100.0, **facts):
    facts.setdefault('repeatable', True)
    return retry_policy.Failure(errors.Verdict(verdict), tries, until, **facts)


def following(failed, budget=lambda: True, now=0.0, seed=1):
    return retry_policy.next_step(CFG, failed, now, random.Random(seed), budget)


@behave.given('a failure with the verdict "{verdict}" of a call that is {kind}')
def a_failure(context, verdict, kind):
    context.asked = []
    failed = failure(verdict, repeatable=kind == 'repeatable')
    context.step = following(failed, lambda: not context.asked.append(1))


@behave.then('the next step is {step}')
def next_step(context, step):
    retried = isinstance(context.step, retry_policy.Retry)
    assert retried == (step == 'another try')


@behave.then('the retry budget was not asked')
def budget_untouched(context):
    assert not context.asked


@behave.given('{count:d} failures with random deadlines')
def random_deadlines(context, count):
    rng = random.Random(5)
    context.steps = []
    for seed in range(count):
        until, tries = rng.uniform(0, 0.5), rng.randint(1, 4)
        wait_s = rng.choice((0, 0.2))
        failed = failure(tries=tries, until=until, retry_after_s=wait_s)
        context.steps.append((until, following(failed, seed=seed)))


@behave.then('every pause ends before its deadline')
def before_deadline(context):
    pauses = [
        (until, step.pause_s)
        for until, step in context.steps
        if isinstance(step, retry_policy.Retry)
    ]
    assert 0 < len(pauses) < len(context.steps)
    assert all(pause < until for until, pause in pauses)


@behave.given('{count:d} failures of the second try')
def second_tries(context, count):
    context.pauses = [
        following(failure(tries=2), seed=seed).pause_s for seed in range(count)
    ]


@behave.then('the pauses spread from 0 to the ceiling of {ceiling:g} s')
def spread(context, ceiling):
    assert max(context.pauses) <= ceiling
    quarters = {int(pause / ceiling * 4) for pause in context.pauses}
    assert quarters >= {0, 1, 2, 3}


@behave.given('an empty retry budget')
def empty_budget(context):
    context.budget = lambda: False


@behave.then('a failed try is not repeated')
def not_repeated(context):
    step = following(failure(), context.budget)
    assert step == retry_policy.GiveUp(retry_policy.GiveUpReason.BUDGET)


@behave.then('a refused try is repeated')
def repeated(context):
    step = following(failure('not run', refused=True), context.budget)
    assert isinstance(step, retry_policy.Retry)


@behave.given('the deadline header "{text}"')
def deadline_header(context, text):
    context.deadline = deadline.parse(text, deadline.Cfg(), 0)


@behave.then('the deadline is {outcome}')
def deadline_is(context, outcome):
    if outcome == 'refused':
        assert isinstance(context.deadline, result.Err)
    else:
        assert context.deadline == result.Ok(float(outcome))


def ring(capacity, names):
    kept = records.Records(capacity)
    for name in names:
        kept.add(
            record.Record(
                request_id=ids.RequestId(name),
                upstream_id=ids.RequestId(f'{name}-up'),
                kind='chat',
                organisation=ids.OrgId('o'),
            )
        )
    return kept


@behave.given('a ring of 3 records with 5 requests')
def small_ring(context):
    context.old = ring(3, ('a', 'b', 'c', 'd', 'e'))
    assert context.old.ids() == ['e', 'd', 'c']


@behave.when('a ring of 4 records with 2 requests takes them over')
def take_over(context):
    context.new = ring(4, ('x', 'y'))
    for _ in range(2):
        context.new.merge_from_peer(context.old.newest(2))


@behave.then('it has its own records first and the 2 newest of the other')
def both_kept(context):
    assert context.new.ids() == ['y', 'x', 'e', 'd']
    assert [entry.request_id for entry in context.new.find('d-up')] == ['d']
