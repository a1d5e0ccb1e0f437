"""States of a planned stop of a forwarding router.

Answers a rolling restart: callers that hold an old address answer still
arrive for seconds, and streams may last longer than the platform waits.
"""

import enum

import msgspec


class Cfg(msgspec.Struct, frozen=True):
    """Times of a stop, in seconds after its beginning.

    :param accept_s: requests are still forwarded.
    :param least_s: the process stays at least so long.
    :param longest_s: the process ends, whatever still runs.
    """

    accept_s: float = 2.7
    least_s: float = 3.2
    longest_s: float = 7.6


class State(enum.Enum):
    """What a stopping router does."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    REFUSING = 'refusing'
    ENDED = 'ended'


def state(cfg: Cfg, begun_at: float | None, running: int, now: float) -> State:
    """Return the state.

    :param begun_at: when the stop began; None while there is none.
    :param running: requests in flight.
    """
    if begun_at is None:
        return State.SERVING
    for_s = now - begun_at
    if for_s >= cfg.longest_s or (for_s >= cfg.least_s and not running):
        return State.ENDED
    if for_s >= cfg.accept_s:
        return State.REFUSING
    return State.LEAVING
