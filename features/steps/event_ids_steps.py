import itertools

import behave
import hypothesis
from hypothesis import strategies as st

from features import hostile_replica, one_router
from features import forwarding_router as fleets
from papayaloom.request import event_joiner

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


@behave.then(
    'streams of any ids that do not begin like a count come whole from any pieces'
)
def any_ids(context):
    @FIXED
    @hypothesis.given(FIRST_IDS, STEPS, PIECES)
    def come_whole(first, steps, pieces):
        is_count = set(steps) == {1}
        hypothesis.assume(is_count or steps[:2] != [1, 1])
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
            assert not joined.problem, joined
            found += joined.content
            start += size
        assert found == content

    come_whole()
