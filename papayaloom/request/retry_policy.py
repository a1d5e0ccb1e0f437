"""Retry policy: decides whether a failed attempt is repeated, and when."""

import enum
import random
import typing

import msgspec

from papayaloom import errors


class Cfg(msgspec.Struct, frozen=True):
    """Retry limits.

    :param tries: maximum attempts per request, including the first one.
    :param base_s: upper bound of the first backoff delay; it doubles with each
        attempt.
    :param longest_s: upper bound of any backoff delay.
    """

    tries: int = 3
    base_s: float = 0.05
    longest_s: float = 2


class Failure(msgspec.Struct, frozen=True):
    """A failed attempt.

    :param tries: number of attempts so far.
    :param repeatable: the request is idempotent.
    :param retry_after_s: minimum delay requested by the upstream.
    :param refused: the upstream reported that it did not start the request.
    """

    verdict: errors.Verdict
    tries: int
    deadline: float
    repeatable: bool
    retry_after_s: float = 0
    refused: bool = False


class GiveUpReason(enum.Enum):
    """Why a request is not retried.

    The value is the message for the caller and the path of the setting that
    imposed the limit.
    """

    NOT_REPEATABLE = ('the call may have run and must not be repeated', '')
    TRIES = ('all tries failed', 'retry.tries')
    DEADLINE = (
        'the deadline leaves no time for another try',
        'request.deadline_s',
    )
    BUDGET = ('the retry budget is used up', 'retry.budget_ratio')
    RESUMES = ('the answer was resumed too often', 'stream.resumes')


class Retry(msgspec.Struct, frozen=True):
    """Retry after a delay."""

    pause_s: float


class GiveUp(msgspec.Struct, frozen=True):
    """Fail the request without a further attempt."""

    reason: GiveUpReason


def next_step(
    cfg: Cfg,
    failure: Failure,
    now: float,
    rng: random.Random,
    budget: typing.Callable[[], bool],
) -> Retry | GiveUp:
    """Decide what to do after a failed attempt.

    :param budget: consumes one retry from the retry budgets. It is called
        last, so that a request that fails for another reason consumes no
        budget. A refusal costs the upstream no work, so a retry after it is
        not charged; ``retry.tries`` still limits it.
    """
    reason = _give_up_reason(cfg, failure)
    if reason is not None:
        return GiveUp(reason)
    ceiling = min(cfg.longest_s, cfg.base_s * 2 ** (failure.tries - 1))
    # Full jitter keeps clients that failed together from retrying together.
    pause = max(rng.uniform(0, ceiling), failure.retry_after_s)
    if now + pause >= failure.deadline:
        return GiveUp(GiveUpReason.DEADLINE)
    if not failure.refused and not budget():
        return GiveUp(GiveUpReason.BUDGET)
    return Retry(pause)


def _give_up_reason(cfg: Cfg, failure: Failure) -> GiveUpReason | None:
    ran = failure.verdict is not errors.Verdict.NOT_RUN
    if ran and not failure.repeatable:
        return GiveUpReason.NOT_REPEATABLE
    return GiveUpReason.TRIES if failure.tries >= cfg.tries else None
