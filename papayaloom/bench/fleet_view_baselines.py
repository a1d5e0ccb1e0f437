"""Baselines for membership: partial views and the host list of the platform.

Send-and-forget partial views are those of Gurevich and Keidar, *Correctness
of Gossip-Based Membership under Message Loss* (PODC 2009). A member keeps a
small view with free slots. Each period it picks two slots; if both hold a
member, it sends its own entry and the second one to the first, and clears both
slots unless its view is at the lower bound. A receiver with two free slots
stores both entries.
"""

import random
import typing

_VIEW_SLOTS = 40
_MIN_VIEW_SIZE = 18
# An encoded entry: router id, address and its share of the envelope.
_ENTRY_BYTES = 110
_ENVELOPE_BYTES = 70
# Delay of the platform's host list, and the period at which routers poll it.
_HOST_LIST_LAG_S, _POLL_PERIOD_S = 20.0, 10.0
_MAX_DETECTION_S = 1000

Row = tuple[str, str, float, str]


def run(size: int, loss: float, seed: int) -> typing.Iterator[Row]:
    """Yield policy, name, value and unit of each baseline figure."""
    yield from _partial_view_figures(size, loss, random.Random(seed))
    yield from _host_list_figures(size, random.Random(seed))


def _partial_view_figures(
    size: int, loss: float, rng: random.Random
) -> typing.Iterator[Row]:
    policy = 'send-and-forget'
    slots = min(_VIEW_SLOTS, 2 * (size - 1) // 2 * 2)
    views = [
        [
            rng.choice([other for other in range(size) if other != me])
            if slot < max(slots // 2, 2)
            else None
            for slot in range(slots)
        ]
        for me in range(size)
    ]
    sent = [_gossip_period(views, set(), loss, rng) for _ in range(200)]
    yield (
        policy,
        'control_bytes_per_second',
        (sum(sent) / len(sent) / size * (2 * _ENTRY_BYTES + _ENVELOPE_BYTES)),
        'bytes/s',
    )
    yield policy, 'control_memory_bytes', slots * _ENTRY_BYTES, 'bytes/router'
    dead = rng.randrange(size)
    seconds = 0
    while seconds < _MAX_DETECTION_S and any(
        dead in view for me, view in enumerate(views) if me != dead
    ):
        _gossip_period(views, {dead}, loss, rng)
        seconds += 1
    # A dead member only drops out of the views; no message declares it dead.
    yield policy, 'detect_s', seconds, 's'


def _gossip_period(
    views: list[list[int | None]],
    dead: set[int],
    loss: float,
    rng: random.Random,
) -> int:
    sent = 0
    slots = len(views[0])
    floor = min(_MIN_VIEW_SIZE, slots // 2)
    for me, view in enumerate(views):
        first, second = rng.sample(range(slots), 2)
        target, entry_id = view[first], view[second]
        if me in dead or target is None or entry_id is None:
            continue
        sent += 1
        if sum(entry is not None for entry in view) > floor:
            view[first] = None
            view[second] = None
        if target in dead or rng.random() < loss:
            continue
        free = [
            slot for slot, entry in enumerate(views[target]) if entry is None
        ]
        if len(free) > 1:
            views[target][free[0]] = me
            views[target][free[1]] = entry_id
    return sent


def _host_list_figures(size: int, rng: random.Random) -> typing.Iterator[Row]:
    policy = 'host-list'
    # The last router to poll after the lag determines the detection time. An
    # unchanged list is not resent (ETag), so idle traffic is one poll header.
    longest_wait_s = max(rng.uniform(0, _POLL_PERIOD_S) for _ in range(size))
    yield policy, 'detect_s', _HOST_LIST_LAG_S + longest_wait_s, 's'
    yield policy, 'control_bytes_per_second', 250 / _POLL_PERIOD_S, 'bytes/s'
    yield policy, 'control_memory_bytes', size * _ENTRY_BYTES, 'bytes/router'
    yield policy, 'kv_calls_per_second', size / _POLL_PERIOD_S, 'list reads/s'
