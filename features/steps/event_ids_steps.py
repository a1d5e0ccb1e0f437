import itertools

import behave
import hypothesis
from hypothesis import strategies as st

from features import hostile_replica, one_router
from features import forwarding_router as fleets
from papayaloom.request import event_joiner, event_numbering

FIXED = hypothesis.settings(
    derandomize=True, database=None, max_examples=200, deadline=None
)
FIRST_IDS = st.one_of(st.integers(0, 9), st.integers(10**18, 10**19))
STEPS = st.lists(st.integers(1, 9), min_size=1, max_size=12)
PIECES = st.lists(st.integers(1, 40), min_size=1, max_size=9)


def parse(ids):
    return [int(one) for one in ids.split()]


@behave.given('event ids {ids} of a replica, sent {how}')
def numbers_and_sends(context, ids, how):
    context.ids = parse(ids)
    one_router.start(context, hostile_replica.numbered(context.ids, how))


@behave.given('event ids {ids} of a replica that begins at its start')
def begins_anew(context, ids):
    numbers_and_sends(context, ids, 'from the start')


@behave.given('before it one that stops within event {number:d}')
def stops_before(context, number):
    script = hostile_replica.numbered(context.ids, stops_within=number)
    one_router.first(context, script)


@behave.given('before it one that numbers them {ids}')
def numbers_before(context, ids):
    one_router.first(context, hostile_replica.numbered(parse(ids)))


@behave.given('before it one that sends {how} the ids {ids}')
def numbers_and_sends_before(context, ids, how):
    one_router.first(context, hostile_replica.numbered(parse(ids), how))


@behave.given('another replica, which {how}')
def another_replica(context, how):
    context.fleet.add_replica(fleets.refuse)
    one_router.wait_for_replicas(context)
    if how == 'can not be reached':
        context.fleet.replicas[-1].close()


@behave.when('a caller asks for the stream "{path}" at the first one')
def asks_first(context, path):
    one_router.record_load(context, 'i-1', 0)
    one_router.record_load(context, 'i-2', 9)
    context.execute_steps(f'When a caller asks for the stream "{path}"')


@behave.when('a caller asks for the stream "{path}" {count:d} times')
def asks_often(context, path, count):
    for number in range(count):
        answer = fleets.ask(
            context.router, 'POST', path, request=f'early-{number}'
        )
        assert answer.status == 200, answer.status


@behave.given('another that does the same')
def another(context):
    one_router.first(context, hostile_replica.numbered(context.ids))


@behave.when('the replica numbers its events {ids}')
def numbers_anew(context, ids):
    context.fleet.replicas[0].script = hostile_replica.numbered(parse(ids))


@behave.when('a caller asks for the stream "{path}" after event {last:d}')
def asks_after(context, path, last):
    last_event = {'Last-Event-Id': str(last)}
    answer = fleets.ask(context.router, 'POST', path, **last_event)
    context.parts = answer.content
    context.is_complete = True


@behave.then('the second replica went on after event {number}')
def went_on_after(context, number):
    asked = context.fleet.replicas[0].requests[0][2]
    assert asked['last-event-id'] == number, asked


@behave.given('a service of which nothing is known')
def unknown_service(context):
    context.service = event_numbering.ServiceNumbering()


@behave.when('its streams have the ids {streams}')
def streams_have(context, streams):
    for stream in streams.split(', '):
        count, _, ids = stream.rpartition(' times ')
        for _ in range(int(count or 1)):
            if ids != 'none':
                take_all(context.service, parse(ids)).record_complete()


def take_all(service, numbers):
    steps = event_numbering.IdSteps(service)
    for last, number in itertools.pairwise(numbers):
        steps.take(last, number)
        if steps.is_doubtful:
            steps.take(last, number)
    return steps


@behave.then('a step from 3 to 5 behind 1 2 3 is {how}')
def step_is(context, how):
    steps = take_all(context.service, [1, 2, 3])
    steps.take(3, 5)
    assert steps.is_doubtful == (how == 'doubtful')


@behave.then('streams of any ids come whole from any pieces')
def any_ids(context):
    @FIXED
    @hypothesis.given(FIRST_IDS, STEPS, PIECES)
    def come_whole(first, steps, pieces):
        content = b''.join(
            b'id: %d\ndata: event %d\n\n' % (number, number)
            for number in itertools.accumulate(steps, initial=first)
        )
        joiner = event_joiner.EventJoiner()
        found, start = b'', 0
        for size in itertools.cycle(pieces):
            if start >= len(content):
                break
            joined = joiner.feed(content[start : start + size])
            found += joined.content
            if joined.is_doubtful:
                # As where no other replica can be asked.
                joined = joiner.feed(b'')
                found += joined.content
            assert not joined.problem, joined
            start += size
        assert found == content

    come_whole()
