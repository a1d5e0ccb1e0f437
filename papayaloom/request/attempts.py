"""The next step after a try failed."""

import enum
import random
import typing

import msgspec

from papayaloom import errors


class Cfg(msgspec.Struct, frozen=True):
    """Limits of retries.

    :param tries: tries of one request, the first one included.
    :param base_s: upper bound of the first pause; it doubles with each try.
    :param longest_s: upper bound of any pause.
    """

    tries: int = 3
    base_s: float = 0.05
    longest_s: float = 2


class Failure(msgspec.Struct, frozen=True):
    """What is known after a failed try.

    :param tries: tries so far.
    :param repeatable: running twice does no harm.
    :param retry_after_s: what the upstream asked for.
    :param refused: the upstream said that it did not start the request.
    """

    verdict: errors.Verdict
    tries: int
    deadline: float
    repeatable: bool
    retry_after_s: float = 0
    refused: bool = False


class Reason(enum.Enum):
    """Why a request is not tried again.

    The value is the sentence for the caller and the setting that decided.
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
    """Try again after a pause."""

    pause_s: float


class GiveUp(msgspec.Struct, frozen=True):
    """Answer the caller now."""

    reason: Reason


def following(
    cfg: Cfg,
    failure: Failure,
    now: float,
    rng: random.Random,
    budget: typing.Callable[[], bool],
) -> Retry | GiveUp:
    """Choose the step after a failed try.

    :param budget: takes one retry from the budgets. It is asked last, so that
        a request that gives up anyway leaves the budget alone. A refusal cost
        the upstream no work, so a retry after it is free; ``retry.tries``
        bounds it.
    """
    reason = _obstacle(cfg, failure)
    if reason is not None:
        return GiveUp(reason)
    ceiling = min(cfg.longest_s, cfg.base_s * 2 ** (failure.tries - 1))
    # Full jitter: clients that failed together don't come back together.
    pause = max(rng.uniform(0, ceiling), failure.retry_after_s)
    if now + pause >= failure.deadline:
        return GiveUp(Reason.DEADLINE)
    if not failure.refused and not budget():
        return GiveUp(Reason.BUDGET)
    return Retry(pause)


def _obstacle(cfg: Cfg, failure: Failure) -> Reason | None:
    ran = failure.verdict is not errors.Verdict.NOT_RUN
    if ran and not failure.repeatable:
        return Reason.NOT_REPEATABLE
    return Reason.TRIES if failure.tries >= cfg.tries else None
