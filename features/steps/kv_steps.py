import json
import threading

import behave
import msgspec
import urllib3

from papayaloom import clock, errors
from papayaloom.ports import kv
from papayaloom.standins import kv as twin
from papayaloom.standins import kv_server


@behave.given('a key-value store in {place}')
def a_store(context, place):
    context.clock = clock.VirtualClock()
    context.twin = twin.MemoryKv(context.clock, sleep=context.clock.advance)
    context.kv = context.twin
    if place == 'HTTP':
        server, _ = kv_server.server(store=context.twin)
        threading.Thread(target=server.serve, daemon=True).start()
        host, port = server.bind_addr[:2]
        context.kv = kv.HttpKv(f'http://{host}:{port}')
        context.add_cleanup(server.stop)
        context.add_cleanup(context.kv.close)


@behave.step('the fault {fault}')
def a_fault(context, fault):
    if context.kv is context.twin:
        context.twin.faults.change(**json.loads(fault))
        return
    url = f'{context.kv.url}/faults'
    assert urllib3.request('PUT', url, body=fault.encode()).status == 200
    assert urllib3.request('PUT', url, body=b'{"none": 1}').status == 400


@behave.when('"{key}" is written as "{text}" expecting absent')
def write(context, key, text):
    try:
        context.written = context.kv.put(key, text.encode(), kv.ABSENT)
    except errors.StoreUnavailableError as exc:
        context.written = exc


@behave.when('"{key}" is overwritten with "{text}"')
def overwrite(context, key, text):
    revision = context.kv.get(key).revision
    assert context.kv.put(key, text.encode(), revision).done


@behave.when('"{key}" is deleted with a wrong revision')
def delete_wrong(context, key):
    assert not context.kv.delete(key, 77).done


@behave.then('the last write is refused and shows "{text}"')
def write_refused(context, text):
    assert not context.written.done
    assert context.written.current.value == text.encode()


@behave.then('the last write raised StoreUnavailableError')
def write_raised(context):
    assert isinstance(context.written, errors.StoreUnavailableError)


@behave.then('"{key}" holds "{text}"')
def holds(context, key, text):
    assert context.kv.get(key).value == text.encode()


@behave.then('listing "{key}" shows "{text}"')
def listing_shows(context, key, text):
    entries = context.kv.list_prefix(key).entries
    assert [entry.value for entry in entries] == [text.encode()]


@behave.then('"{key}" is absent')
def absent(context, key):
    assert context.kv.get(key) is None


@behave.when(
    '{count:d} keys under "{prefix}" and one key "{other}" are written'
)
def write_keys(context, count, prefix, other):
    context.keys = [f'{prefix}{number:03}' for number in range(count)]
    for key in [*reversed(context.keys), other]:
        assert context.kv.put(key, b'x', kv.ABSENT).done


@behave.then(
    'listing "{prefix}" in pages of {size:d} gives the 25 keys in order'
)
def list_pages(context, prefix, size):
    found = []
    listing = context.kv.list_prefix(prefix, limit=size)
    found.extend(entry.key for entry in listing.entries)
    while listing.more:
        listing = context.kv.list_prefix(prefix, found[-1], size, values=False)
        assert not any(entry.value for entry in listing.entries)
        found.extend(entry.key for entry in listing.entries)
    assert found == context.keys


@behave.when('"{key}" is written under a lease of {term:d} seconds')
def write_leased(context, key, term):
    context.lease = context.kv.grant_lease(term)
    assert context.kv.put(key, b'me', kv.ABSENT, context.lease.id).done


@behave.when('the lease is kept for {times:d} times {seconds:d} seconds')
def keep(context, times, seconds):
    for _ in range(times):
        context.clock.advance(seconds)
        assert context.kv.renew_lease(context.lease.id)


@behave.when('{seconds:d} seconds pass')
def seconds_pass(context, seconds):
    context.clock.advance(seconds)


@behave.then('the lease can no longer be kept')
def lease_over(context):
    assert not context.kv.renew_lease(context.lease.id)


@behave.then('a watch of "{key}" from the start shows the deletion')
def watch_deletion(context, key):
    watched = context.kv.watch(key, 0, 0)
    assert [event.deleted for event in watched.events] == [False, True]


@behave.then(
    'after {seconds:d} seconds without faults "{key}" exists: {answer}'
)
def exists_later(context, seconds, key, answer):
    context.twin.faults = twin.Faults()
    context.clock.advance(seconds)
    assert (context.kv.get(key) is not None) == (answer == 'yes')


@behave.then('the store has counted {count:d} write')
def counted_writes(context, count):
    assert context.twin.counts.writes == count, json.dumps(
        msgspec.to_builtins(context.twin.counts)
    )


@behave.when('{count:d} writes are made')
def many_writes(context, count):
    revision = kv.ABSENT
    for _ in range(count):
        revision = context.kv.put('k', b'x', revision).revision


@behave.then('a watch from the start is told that changes are lost')
def watch_lost(context):
    assert context.kv.watch('', 0, 0).lost
    assert not context.kv.watch('', 1, 0).lost


@behave.then('2 watches are answered and the third is refused')
def watch_rate(context):
    for _ in range(2):
        context.kv.watch('k', 0, 0)
    try:
        context.kv.watch('k', 0, 0)
    except errors.StoreUnavailableError:
        return
    raise AssertionError('the third watch was answered')
