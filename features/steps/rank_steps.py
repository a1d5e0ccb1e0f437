import behave

from features import placement_model
from features.steps import overload_steps

RANKS = {
    0: placement_model.Rank(0.2, 0.6, 12),
    1: placement_model.Rank(0.15, 0.8, 10),
    2: placement_model.Rank(0.65, 1.2, 2.5),
}
ORGANISATIONS = {f'org{number}': 1.0 for number in range(24)}


@behave.when(
    'requests of three ranks and 1.35 s arrive for 18 s, from 4 s to 12 s {x:d} times what the slots can run, {word}'
)
def three_ranks(context, x, word):
    room_per_s = context.slots * len(context.names) / 1.35
    calm_per_s = 0.55 * room_per_s
    burst = placement_model.Burst(4, 12, x * room_per_s / calm_per_s)
    has_sums = word == 'with sums every 0.4 s, 0.6 s old'
    overload_steps.play(
        context,
        calm_per_s,
        1.35,
        18,
        burst,
        share_s=0.4 if has_sums else 0,
        lag_s=0.6,
        is_mixed=True,
        retries=True,
        ranks=RANKS,
        organisations=ORGANISATIONS,
        prefixes={f'p{number}': 1 / (1 + number) for number in range(60)},
        read_s=0.3,
    )


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
