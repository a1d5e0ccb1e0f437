"""Executes store calls against the key-value service."""

import concurrent.futures
import typing

from papayaloom import errors
from papayaloom.ports import kv
from papayaloom.process import store_calls

# The ledger has at most one call per record in flight; more threads would only
# exhaust the service's rate limits faster.
_THREADS = 8
Report = typing.Callable[[store_calls.CallResult], object]


class StoreExecutor:
    """Executes store calls on a thread pool.

    :param report: called with the result of each call, on a pool thread.
    """

    def __init__(self, store: kv.Kv, report: Report) -> None:
        """Create the thread pool."""
        self._store = store
        self._report = report
        self._pool = concurrent.futures.ThreadPoolExecutor(
            _THREADS, thread_name_prefix='store'
        )

    def run(self, call: store_calls.Call) -> None:
        """Submit a call."""
        self._pool.submit(self._run, call)

    def stop(self) -> None:
        """Wait for running calls to finish and cancel queued ones."""
        self._pool.shutdown(cancel_futures=True)

    def _run(self, call: store_calls.Call) -> None:
        self._report(execute(self._store, call))


def execute(store: kv.Kv, call: store_calls.Call) -> store_calls.CallResult:
    """Execute a call and return its result; blocks until it is done."""
    try:
        return _execute(store, call)
    except errors.PapayaloomError:
        return store_calls.Failed(call.operation)


def _execute(store: kv.Kv, call: store_calls.Call) -> store_calls.CallResult:
    operation = call.operation
    match call:
        case store_calls.Read(key=key):
            entry = store.get(key) or kv.Entry(key, b'', 0)
            content = entry.value if entry.revision else None
            return store_calls.Entry(operation, content, entry.revision)
        case store_calls.ListKeys(prefix=prefix, limit=limit):
            page = store.list_prefix(prefix, limit=limit, values=False)
            return store_calls.KeyList(
                operation,
                tuple((found.key, found.revision) for found in page.entries),
            )
        case store_calls.GrantLease(term_s=term_s):
            return store_calls.LeaseResult(
                operation, store.grant_lease(term_s).id
            )
        case store_calls.KeepLease(lease=lease):
            renewed = store.renew_lease(lease)
            return store_calls.LeaseResult(operation, lease if renewed else '')
        case store_calls.Delete(key=key, expected_revision=expected_revision):
            return _write_result(
                operation, store.delete(key, expected_revision)
            )
    written = store.put(
        call.key, call.content, call.expected_revision, call.lease
    )
    return _write_result(operation, written)


def _write_result(
    operation: int, written: kv.WriteResult
) -> store_calls.CallResult:
    if written.done:
        return store_calls.Applied(operation, written.revision)
    current = written.current
    if current is None:
        return store_calls.Conflict(operation)
    return store_calls.Conflict(operation, current.value, current.revision)
