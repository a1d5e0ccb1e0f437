"""Carries out the ledger's calls of the key-value service."""

import concurrent.futures
import typing

from papayaloom import errors
from papayaloom.ports import kv
from papayaloom.process import ledger_writer

# The ledger keeps one call a record in flight; more threads would only use
# up the service's rates faster.
_THREADS = 8
Report = typing.Callable[[ledger_writer.Stored], object]


class StoreCalls:
    """Runs store calls on a few threads.

    :param report: gets the result of each call, on one of these threads.
    """

    def __init__(self, store: kv.Kv, report: Report) -> None:
        """Prepare the threads."""
        self._store = store
        self._report = report
        self._pool = concurrent.futures.ThreadPoolExecutor(
            _THREADS, thread_name_prefix='store'
        )

    def run(self, effect: ledger_writer.Effect) -> None:
        """Start a call."""
        self._pool.submit(self._call, effect)

    def stop(self) -> None:
        """Wait for the calls that run and drop the rest."""
        self._pool.shutdown(cancel_futures=True)

    def _call(self, effect: ledger_writer.Effect) -> None:
        try:
            stored = carry_out(self._store, effect)
        except errors.PapayaloomError:
            stored = ledger_writer.Failed(effect.operation)
        self._report(stored)


def carry_out(
    store: kv.Kv,
    effect: ledger_writer.Effect,
) -> ledger_writer.Stored:
    """Run one store call and return its result.

    :raises papayaloom.errors.StoreUnavailableError: there was no answer.
    """
    number = effect.operation
    match effect:
        case ledger_writer.Read(key=key):
            entry = store.get(key)
            if entry is None:
                return ledger_writer.Entry(number)
            return ledger_writer.Entry(number, entry.value, entry.revision)
        case ledger_writer.CompareAndSwap():
            written = store.put(effect.key, effect.content, effect.expect)
        case ledger_writer.Delete(key=key, expect=expect):
            written = store.delete(key, expect)
        case ledger_writer.ListKeys(prefix=prefix, limit=limit):
            listing = store.list_prefix(prefix, limit=limit, values=False)
            return ledger_writer.Keys(
                number,
                tuple((one.key, one.revision) for one in listing.entries),
            )
    if written.done:
        return ledger_writer.Swapped(number, written.revision)
    current = written.current
    if current is None:
        return ledger_writer.Conflict(number)
    return ledger_writer.Conflict(number, current.value, current.revision)
