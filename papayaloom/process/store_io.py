"""Carries out the store calls of decision modules on the key-value port."""

from papayaloom import errors
from papayaloom.ports import kv
from papayaloom.process import store_calls


def carry_out(store: kv.Kv, call: store_calls.Call) -> store_calls.Stored:
    """Make one call and return its result; blocks for the call's time."""
    try:
        return _carry_out(store, call)
    except errors.StoreUnavailableError:
        return store_calls.Failed(call.operation)


def _carry_out(store: kv.Kv, call: store_calls.Call) -> store_calls.Stored:
    number = call.operation
    if isinstance(call, store_calls.Read):
        entry = store.get(call.key)
        if entry is None:
            return store_calls.Entry(number)
        return store_calls.Entry(number, entry.value, entry.revision)
    if isinstance(call, store_calls.ListKeys):
        listed = store.list_prefix(call.prefix, limit=call.limit, values=False)
        keys = tuple((one.key, one.revision) for one in listed.entries)
        return store_calls.Keys(number, keys)
    if isinstance(call, store_calls.GrantLease):
        return store_calls.Leased(number, store.grant_lease(call.term_s).id)
    if isinstance(call, store_calls.KeepLease):
        kept = store.keep_lease(call.lease)
        return store_calls.Leased(number, call.lease if kept else '')
    return _swap(store, call)


def _swap(
    store: kv.Kv,
    call: store_calls.CompareAndSwap | store_calls.Delete,
) -> store_calls.Stored:
    if isinstance(call, store_calls.Delete):
        written = store.delete(call.key, call.expect)
    else:
        written = store.put(call.key, call.content, call.expect, call.lease)
    if written.done:
        return store_calls.Swapped(call.operation, written.revision)
    current = written.current
    if current is None:
        return store_calls.Conflict(call.operation)
    return store_calls.Conflict(call.operation, current.value, current.revision)
