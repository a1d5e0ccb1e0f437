"""Retry and timeout policy of forwarded requests.

Handles replicas that refuse requests, break connections, stop responding or
fail some of their requests. A request is sent again only if the route allows
it to run more than once or no earlier attempt can have run.
"""

import enum

import msgspec

from papayaloom import errors
from papayaloom.version import routes

# Minimum remaining time in which another attempt can still succeed.
_MIN_LEFT_S = 0.03
# Share of the remaining time that one attempt may take, at most and at least;
# the rest is left for another attempt.
_MAX_SHARE = 0.65
_MIN_SHARE = 0.4
_OBJECTIVE_FACTOR = 3
# Gap between events after which a stream is resumed at another replica: a
# minimum, and a multiple of the usual gap of the route.
_MIN_STALL_S = 2.0
_STALL_GAP_FACTOR = 2.5


class Step(enum.Enum):
    """Next step after a failed attempt."""

    RETRY = 'retry'
    FAIL = 'fail'


class Progress(msgspec.Struct):
    """Attempt counters of one request.

    :param runs: failed attempts that may have run.
    :param sends: failed attempts that reached a replica, including refused
        ones.
    :param has_begun: part of the response has been sent to the caller.
    :param is_resumed: an attempt failed after that.
    """

    runs: int = 0
    sends: int = 0
    has_begun: bool = False
    is_resumed: bool = False


def after_failure(
    route: routes.Route,
    progress: Progress,
    verdict: errors.Verdict,
    left_s: float,
) -> Step:
    """Return the next step after a failed attempt.

    :param verdict: whether the failed attempt may have run.
    :param left_s: time left until the request's deadline.
    """
    if left_s < _MIN_LEFT_S:
        return Step.FAIL
    if verdict is errors.Verdict.NOT_RUN and not progress.runs:
        return Step.RETRY
    if not route.is_repeatable or progress.runs >= route.max_attempts:
        return Step.FAIL
    return Step.RETRY


def response_timeout_s(
    route: routes.Route, progress: Progress, left_s: float
) -> float:
    """Return the timeout for the response or the first event."""
    is_last = progress.runs + 1 >= route.max_attempts
    if not route.is_repeatable or is_last:
        return left_s
    if route.kind is routes.Kind.STREAM:
        return min(left_s, max(_MIN_STALL_S, 4 * route.objective_s))
    wait_s = max(_OBJECTIVE_FACTOR * route.objective_s, _MIN_SHARE * left_s)
    return min(wait_s, _MAX_SHARE * left_s)


def max_event_gap_s(
    route: routes.Route, progress: Progress, left_s: float
) -> float:
    """Return the maximum gap between two events of a stream."""
    if not route.is_resumable or progress.runs + 1 >= route.max_attempts:
        return left_s
    return min(left_s, max(_MIN_STALL_S, _STALL_GAP_FACTOR * route.gap_s))
