"""Baselines of membership: partial views, and the platform's host list.

Send-and-forget partial views are those of Gurevich and Keidar, *Correctness
of Gossip-Based Membership under Message Loss* (PODC 2009). A member keeps a
small view with free slots. Each period it picks two slots; when both hold a
name, it sends its own name and the second name to the first, and empties both
slots unless its view is at its lower bound. A receiver with two free slots
keeps both names.
"""

import random
import typing

_SLOTS = 40
_LOWER = 18
# A name on the wire: the router's id, its address and the envelope's share.
_NAME_BYTES = 110
_ENVELOPE_BYTES = 70
# The platform's host list: how far it lags, and how often a router reads it.
_LAG_S, _POLL_S = 20.0, 10.0
_MOST_S = 1000

Row = tuple[str, str, float, str]


def run(size: int, loss: float, seed: int) -> typing.Iterator[Row]:
    """Yield policy, name, value and unit of each baseline figure."""
    yield from _partial_views(size, loss, random.Random(seed))
    yield from _host_list(size, random.Random(seed))


def _partial_views(
    size: int, loss: float, rng: random.Random
) -> typing.Iterator[Row]:
    policy = 'send-and-forget'
    slots = min(_SLOTS, 2 * (size - 1) // 2 * 2)
    views = [
        [
            rng.choice([other for other in range(size) if other != me])
            if slot < max(slots // 2, 2)
            else None
            for slot in range(slots)
        ]
        for me in range(size)
    ]
    sent = [_round(views, set(), loss, rng) for _ in range(200)]
    yield (
        policy,
        'control_bytes_per_second',
        (sum(sent) / len(sent) / size * (2 * _NAME_BYTES + _ENVELOPE_BYTES)),
        'bytes/s',
    )
    yield policy, 'control_memory_bytes', slots * _NAME_BYTES, 'bytes/router'
    dead = rng.randrange(size)
    seconds = 0
    while seconds < _MOST_S and any(
        dead in view for me, view in enumerate(views) if me != dead
    ):
        _round(views, {dead}, loss, rng)
        seconds += 1
    # Views forget a dead name; nobody ever says that it is dead.
    yield policy, 'detect_s', seconds, 's'


def _round(
    views: list[list[int | None]],
    dead: set[int],
    loss: float,
    rng: random.Random,
) -> int:
    sent = 0
    slots = len(views[0])
    floor = min(_LOWER, slots // 2)
    for me, view in enumerate(views):
        first, second = rng.sample(range(slots), 2)
        to, name = view[first], view[second]
        if me in dead or to is None or name is None:
            continue
        sent += 1
        if sum(one is not None for one in view) > floor:
            view[first] = None
            view[second] = None
        if to in dead or rng.random() < loss:
            continue
        free = [slot for slot, one in enumerate(views[to]) if one is None]
        if len(free) > 1:
            views[to][free[0]] = me
            views[to][free[1]] = name
    return sent


def _host_list(size: int, rng: random.Random) -> typing.Iterator[Row]:
    policy = 'host-list'
    # The last router to poll after the lag decides; an unchanged list is not
    # sent again (ETag), so quiet traffic is the header of one poll.
    latest = max(rng.uniform(0, _POLL_S) for _ in range(size))
    yield policy, 'detect_s', _LAG_S + latest, 's'
    yield policy, 'control_bytes_per_second', 250 / _POLL_S, 'bytes/s'
    yield policy, 'control_memory_bytes', size * _NAME_BYTES, 'bytes/router'
    yield policy, 'kv_calls_per_second', size / _POLL_S, 'list reads/s'
