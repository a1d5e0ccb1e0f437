"""Carries out the store calls of decision modules on the key-value port."""

import concurrent.futures
import typing

from papayaloom import errors
from papayaloom.ports import kv
from papayaloom.process import store_calls

# The ledger keeps one call a record in flight; more threads would only use
# up the service's rates faster.
_THREADS = 8
Report = typing.Callable[[store_calls.Stored], object]


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

    def run(self, call: store_calls.Call) -> None:
        """Start a call."""
        self._pool.submit(self._call, call)

    def stop(self) -> None:
        """Wait for the calls that run and drop the rest."""
        self._pool.shutdown(cancel_futures=True)

    def _call(self, call: store_calls.Call) -> None:
        self._report(carry_out(self._store, call))


def carry_out(store: kv.Kv, call: store_calls.Call) -> store_calls.Stored:
    """Make one call and return its result; blocks for the call's time."""
    try:
        return _carry_out(store, call)
    except errors.PapayaloomError:
        return store_calls.Failed(call.operation)


def _carry_out(store: kv.Kv, call: store_calls.Call) -> store_calls.Stored:
    number = call.operation
    match call:
        case store_calls.Read(key=key):
            entry = store.get(key) or kv.Entry(key, b'', 0)
            content = entry.value if entry.revision else None
            return store_calls.Entry(number, content, entry.revision)
        case store_calls.ListKeys(prefix=prefix, limit=limit):
            listed = store.list_prefix(prefix, limit=limit, values=False)
            return store_calls.Keys(
                number,
                tuple((one.key, one.revision) for one in listed.entries),
            )
        case store_calls.GrantLease(term_s=term_s):
            return store_calls.Leased(number, store.grant_lease(term_s).id)
        case store_calls.KeepLease(lease=lease):
            kept = store.renew_lease(lease)
            return store_calls.Leased(number, lease if kept else '')
        case store_calls.Delete(key=key, expect=expect):
            return _written(number, store.delete(key, expect))
    written = store.put(call.key, call.content, call.expect, call.lease)
    return _written(number, written)


def _written(number: int, written: kv.WriteResult) -> store_calls.Stored:
    if written.done:
        return store_calls.Swapped(number, written.revision)
    current = written.current
    if current is None:
        return store_calls.Conflict(number)
    return store_calls.Conflict(number, current.value, current.revision)
