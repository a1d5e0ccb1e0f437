"""What follows a failed attempt of a forwarded request.

Answers replicas that refuse, break, fall silent or fail a part of their
requests: a request is sent once more only where that can't run it twice.
"""

import enum

import msgspec

from papayaloom import errors
from papayaloom.version import routes

# Least time in which another attempt can still succeed.
_LEAST_LEFT_S = 0.03
# An attempt that leaves no time for a second one is no use.
_LARGEST_SHARE = 0.65
_USUAL_SHARE = 0.4
_OBJECTIVES = 3
# Pause in a stream after which another replica goes on with it.
_STALL_S = 2.0
_STALL_GAPS = 2.5


class Step(enum.Enum):
    """What to do next."""

    RETRY = 'retry'
    FAIL = 'fail'


class Progress(msgspec.Struct):
    """Attempts of one request.

    :param runs: failed attempts that may have run.
    :param sends: failed attempts that reached a replica, refused ones
        included.
    :param has_begun: a part of the answer is with the caller.
    """

    runs: int = 0
    sends: int = 0
    has_begun: bool = False


def after_failure(
    route: routes.Route,
    progress: Progress,
    verdict: errors.Verdict,
    left_s: float,
) -> Step:
    """Return what follows a failed attempt.

    :param verdict: whether the failed attempt may have run.
    :param left_s: time left until the request's deadline.
    """
    if left_s < _LEAST_LEFT_S:
        return Step.FAIL
    if verdict is errors.Verdict.NOT_RUN and not progress.runs:
        return Step.RETRY
    if not route.is_repeatable or progress.runs >= route.max_attempts:
        return Step.FAIL
    return Step.RETRY


def answer_wait_s(
    route: routes.Route, progress: Progress, left_s: float
) -> float:
    """Return how long an attempt may wait for its answer or first event."""
    is_last = progress.runs + 1 >= route.max_attempts
    if not route.is_repeatable or is_last:
        return left_s
    if route.kind is routes.Kind.STREAM:
        return min(left_s, max(_STALL_S, 4 * route.objective_s))
    usual = max(_OBJECTIVES * route.objective_s, _USUAL_SHARE * left_s)
    return min(usual, _LARGEST_SHARE * left_s)


def pause_s(route: routes.Route, progress: Progress, left_s: float) -> float:
    """Return how long a stream may pause between two events."""
    if not route.is_resumable or progress.runs + 1 >= route.max_attempts:
        return left_s
    return min(left_s, max(_STALL_S, _STALL_GAPS * route.gap_s))
