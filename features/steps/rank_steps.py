import collections
import random

import behave

from features import placement_model
from features.steps import overload_steps
from papayaloom import ids
from papayaloom.request import header_dialect
from papayaloom.routing import dispatch, dispatch_messages, replicas
from papayaloom.routing.load import request_counts
from papayaloom.routing.overload import rank_admission

SERVICE = ids.ServiceId('models')

RANKS = {
    0: placement_model.Rank(0.2, 0.6, 12),
    1: placement_model.Rank(0.15, 0.8, 10),
    2: placement_model.Rank(0.65, 1.2, 2.5),
}
ORGANISATIONS = {f'org{number}': 1.0 for number in range(24)}


def ranked_load(context, x, **load):
    room_per_s = context.slots * len(context.names) / 1.35
    calm_per_s = 0.55 * room_per_s
    burst = placement_model.Burst(4, 12, x / 0.55)
    wanted = {
        'is_mixed': True,
        'retries': True,
        'ranks': RANKS,
        'organisations': ORGANISATIONS,
        'prefixes': {f'p{number}': 1 / (1 + number) for number in range(60)},
        'read_s': 0.3,
        'share_s': 0.4,
        'lag_s': 0.6,
        **load,
    }
    overload_steps.play(context, calm_per_s, 1.35, 18, burst, **wanted)


@behave.when(
    'requests of three ranks and 1.35 s arrive for 18 s, from 4 s to 12 s {x:d} times what the slots can run, {word}'
)
def three_ranks(context, x, word):
    has_sums = word == 'with sums every 0.4 s, 0.6 s old'
    ranked_load(context, x, share_s=0.4 if has_sums else 0)


@behave.when('requests of three ranks arrive without a burst')
def no_burst(context):
    ranked_load(context, 0.55)


@behave.when(
    'requests of three ranks arrive at twice what the slots can run, and three in ten callers repeat every 0.1 s'
)
def pushing_callers(context):
    ranked_load(context, 2, pushing=0.3)


@behave.then(
    'of the least urgent rank, these are in time at most {most:d} in 100 more often'
)
def gain_nothing(context, most):
    shares = {}
    for is_pushing in (True, False):
        calls = [
            one
            for one in context.model.of(5, 12)
            if one.rank == 2 and one.is_pushing is is_pushing
        ]
        good = [one for one in calls if one.started_at and not one.is_late]
        shares[is_pushing] = len(good) / len(calls)
    assert shares[True] <= shares[False] + most / 100, shares


@behave.when(
    'requests of three ranks arrive at three times what the slots can run, and those of one organisation come last'
)
def one_comes_last(context):
    ranked_load(context, 3, last='org23')


@behave.then('it gets at least a quarter of the mean share')
def gets_a_part(context):
    begun_by = collections.Counter(
        one.organisation for one in context.model.of(4, 12) if one.started_at
    )
    mean = sum(begun_by.values()) / len(ORGANISATIONS)
    assert begun_by['org23'] >= 0.25 * mean, begun_by


@behave.when(
    'calls of one of several ranks arrive for 16 s, from 4 s to 12 s {x:d} times what the slots can run'
)
def plain_calls(context, x):
    for router in context.routers:
        # Another rank has been seen, at a service that is not overloaded.
        router.place(
            dispatch_messages.PlacementRequest(
                overload_steps.SERVICE, rank=(0, 0)
            ),
            0,
        )
    overload_steps.play(
        context,
        0.55 * 200,
        0.09,
        16,
        placement_model.Burst(4, 12, x / 0.55),
        share_s=0.4,
        lag_s=0.6,
        queue=4,
        retries=True,
        ranks={2: placement_model.Rank(1, 0.15, 1)},
        organisations=ORGANISATIONS,
    )


@behave.given('two hosts whose clocks differ by {seconds:g} s')
def two_hosts(context, seconds):
    context.difference_s = seconds


@behave.when(
    '{count:d} requests reach one and then, after {pause:g} s, the other'
)
def draws(context, count, pause):
    second_s = 100 + pause + context.difference_s
    context.draws = [
        [
            rank_admission.draw(ids.Fingerprint(f'f{number}'), at)
            for at in (100, second_s, 160)
        ]
        for number in range(count)
    ]


@behave.then('at least {least:d} in 100 have the same draw at both')
def same_draws(context, least):
    same = [one for one in context.draws if one[0] == one[1]]
    assert len(same) >= len(context.draws) * least / 100, len(same)


@behave.then('none has the same draw a minute later')
def other_draws(context):
    assert all(one[0] != one[2] for one in context.draws)


def begun(context, rank):
    """Return the share of the calls of a rank that began during the burst."""
    burst = context.burst
    calls = [
        one
        for one in context.model.of(burst.at, burst.until)
        if one.rank == rank
    ]
    return sum(1 for one in calls if one.started_at) / len(calls)


@behave.then('at least {least:d} in 100 of the most urgent rank begin')
def urgent_begin(context, least):
    assert begun(context, 0) >= least / 100, begun(context, 0)


@behave.then('of the least urgent rank fewer begin than of any other')
def least_urgent(context):
    shares = [begun(context, rank) for rank in RANKS]
    assert shares[2] < shares[1] <= shares[0] + 0.05, shares


@behave.given('a router that has seen requests of two ranks')
def two_ranks(context):
    context.router = dispatch.Dispatcher(dispatch.Cfg(), random.Random(1), 20)
    one = replicas.Replica(
        replicas.ReplicaId('r0'), SERVICE, ('127.0.0.1', 9000), slots=4
    )
    context.router.replicas.update(one, 0)
    load = header_dialect.Load(3, 0, 4)
    context.router.record_load(one.id, load, 0)
    for rank in range(2):
        context.router.place(request_of(rank), 0.1)


def request_of(rank):
    return dispatch_messages.PlacementRequest(SERVICE, rank=(rank, rank))


@behave.when('it hears of demand under a key of another form')
def unknown_form(context):
    counts = request_counts.RequestCounts(
        offered={'': 1, SERVICE: 2, f'{SERVICE} a b c': 3, f'{SERVICE} 1 2': 4},
        completed={SERVICE: 10},
        worked_ms={SERVICE: 5000},
    )
    context.router.update_fleet_counts(counts, 0.2)


@behave.then('it places a further request')
def places_further(context):
    placed = context.router.place(request_of(0), 0.3)
    assert placed.is_ok(), placed
