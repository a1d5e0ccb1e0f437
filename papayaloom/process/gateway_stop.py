"""States of the graceful stop of a forwarding router.

During a rolling restart, callers with a cached directory response keep
connecting for some seconds, and streams may last longer than the platform waits
for the process to end.
"""

import enum

import msgspec


# Time to write the answer of a request that a stop ends.
_ANSWER_MARGIN_S = 0.3


class Cfg(msgspec.Struct, frozen=True):
    """Timing of a stop, in seconds since its start.

    :param accept_s: new requests are forwarded until then.
    :param least_s: the process does not exit before.
    :param longest_s: the process exits then even if requests are running.
    """

    accept_s: float = 2.7
    least_s: float = 3.2
    longest_s: float = 7.6


class State(enum.Enum):
    """Phase of the stop.

    ``LEAVING`` still forwards new requests, ``REFUSING`` refuses them, and
    with ``ENDED`` the process may exit.
    """

    SERVING = 'serving'
    LEAVING = 'leaving'
    REFUSING = 'refusing'
    ENDED = 'ended'


def answer_by(cfg: Cfg, begun_at: float | None) -> float:
    """Return by when a new request must have its answer.

    :param begun_at: monotonic start of the stop; None if none has started.
    """
    if begun_at is None:
        return float('inf')
    return begun_at + cfg.longest_s - _ANSWER_MARGIN_S


def state(cfg: Cfg, begun_at: float | None, running: int, now: float) -> State:
    """Return the current phase.

    :param begun_at: monotonic start of the stop; None if none has started.
    :param running: requests in flight.
    """
    if begun_at is None:
        return State.SERVING
    elapsed_s = now - begun_at
    if elapsed_s >= cfg.longest_s or (elapsed_s >= cfg.least_s and not running):
        return State.ENDED
    if elapsed_s >= cfg.accept_s:
        return State.REFUSING
    return State.LEAVING
