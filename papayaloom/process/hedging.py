"""A call that is made again before its first try has failed.

Answers a service that falls silent: whoever waits for a timeout learns late
that it is back. Only for calls that change nothing.
"""

import typing
from concurrent import futures

_Answer = typing.TypeVar('_Answer')


def first(
    call: typing.Callable[[], _Answer],
    hedge_s: float,
    most: int,
    on_late: typing.Callable[[], object],
) -> _Answer:
    """Return the first answer of up to so many calls at a time.

    Raises what a call raised when no other one is left to wait for.

    :param call: runs on threads of its own.
    :param hedge_s: wait for an answer before the next call is made.
    :param most: calls in all.
    :param on_late: called when a call has not answered in that time.
    """
    executor = futures.ThreadPoolExecutor(most, 'hedge')
    running: set[futures.Future[_Answer]] = set()
    try:
        for left in reversed(range(most)):
            running.add(executor.submit(call))
            done, running = futures.wait(
                running,
                hedge_s if left else None,
                return_when=futures.FIRST_COMPLETED,
            )
            if done and _is_settled(done, bool(left and running)):
                return _best(done).result()
            if not done:
                on_late()
    finally:
        executor.shutdown(wait=False)
    raise AssertionError('the last call is waited for')


def _is_settled(done: set[futures.Future[_Answer]], has_others: bool) -> bool:
    """Tell whether a call was answered, or no other one can be."""
    return not has_others or any(one.exception() is None for one in done)


def _best(done: set[futures.Future[_Answer]]) -> futures.Future[_Answer]:
    return min(done, key=lambda one: one.exception() is not None)
