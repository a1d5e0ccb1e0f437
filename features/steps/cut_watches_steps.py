import functools
import time

import behave

from features import forwarding_router, store_followers
from papayaloom.ports import kv

NAME = 'a'
KEY = f'servers/{NAME}'


@behave.given('{count:d} hosts that follow the store')
def followers(context, count):
    context.fleet = store_followers.Followers(count)
    context.add_cleanup(context.fleet.close)
    names = set(context.fleet.followers)
    assert forwarding_router.until(
        5, lambda: context.fleet.using(NAME) == names
    )
    # A few rounds, so that all follow their relays.
    time.sleep(1.5)


def wait_until(moment):
    time.sleep(max(moment - time.monotonic(), 0))


TROUBLES = {
    'nothing': lambda fleet: None,
    'a refused call': lambda fleet: fleet.fail_checks(0),
    'a call timing out': lambda fleet: fleet.fail_checks(
        store_followers.CHECK_S
    ),
    'a relay that ends': store_followers.Followers.end_relay,
    'a late relay': store_followers.Followers.delay_relay,
}


@behave.when(
    'the waiting watches are cut at {cuts} s around the removal of a replica, beside {trouble}'
)
def cut_around(context, cuts, trouble):
    fleet = context.fleet
    steps = [(float(at), fleet.twin.cut_watches) for at in cuts.split()]
    begin = functools.partial(TROUBLES[trouble], fleet)
    # Just after the last cut, so that the next call meets it.
    steps.append((steps[-1][0] + 0.001, begin))
    steps.append((0, functools.partial(fleet.remove, KEY)))
    # The first cut hits watches that wait.
    assert forwarding_router.until(5, fleet.all_wait)
    context.removed_at = time.monotonic() - min(steps[0][0], 0)
    for at, step in sorted(steps, key=lambda one: one[0]):
        wait_until(context.removed_at + at)
        step()


@behave.then('within {seconds:g} s of the removal no host uses the replica')
def unused(context, seconds):
    left_s = context.removed_at + seconds - time.monotonic()
    assert forwarding_router.until(
        left_s, lambda: not context.fleet.using(NAME)
    ), sorted(context.fleet.using(NAME))
    others = context.fleet.using('b')
    assert others == set(context.fleet.followers), others


@behave.when(
    'the store is away for {away:g} s after {begin}, and loses the entry of a replica for {missing:g} s'
)
def lapses(context, away, begin, missing):
    fleet = context.fleet
    entry = fleet.twin.get(KEY)
    fleet.twin.faults.outage = True
    if begin == 'a cut watch':
        fleet.twin.cut_watches()
    time.sleep(away)
    fleet.twin.faults.outage = False
    fleet.remove(KEY)
    context.least = set(fleet.followers)
    back_at = time.monotonic() + missing
    while time.monotonic() < back_at:
        context.least &= fleet.using(NAME)
        time.sleep(0.02)
    assert fleet.twin.put(KEY, entry.value, kv.ABSENT).done


@behave.then('all hosts use the replica all the while')
def all_use(context):
    end = time.monotonic() + 2
    while time.monotonic() < end:
        context.least &= context.fleet.using(NAME)
        time.sleep(0.02)
    lost = set(context.fleet.followers) - context.least
    assert not lost, sorted(lost)
