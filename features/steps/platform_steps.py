import socket
import threading
import time

import behave

from papayaloom import clock, errors
from papayaloom.platform import documents, headers, settings, store
from papayaloom.ports import kv
from papayaloom.request import header_dialect
from papayaloom.standins import kv as memory_kv
from papayaloom.standins import kv_table, platform_store
from papayaloom.version import routes

DIALECT = headers.PlatformDialect()
DESIRED = b"""{"version": 7, "routes": [
  {"name": "r1", "host": "a.example", "prefix": "/a/", "kind": "idempotent",
   "timeoutMs": 1200, "targetLatencyMs": 150, "maxAttempts": 2,
   "split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]},
  {"name": "r2", "host": "a.example", "prefix": "/a/long/", "service": "s1",
   "kind": "streaming", "timeoutMs": 12000, "resumable": true}],
 "services": [{"name": "s1", "maxConnections": 9, "tls": false}],
 "tenants": [{"name": "geckos", "apiKeys": ["k1", "k2"], "priority": 1}],
 "limits": {"idleTimeoutMs": 9000}, "newField": [1]}"""
FIELDS = {
    'nodeName': 'front-1',
    'listen.front': '10.0.0.1:80',
    'listen.ready': '10.0.0.1:81',
    'listen.directory': '10.0.0.1:82',
    'listen.control': '10.0.0.1:83',
    'platform.address': '10.9.0.1:84',
}


def pairs(table):
    return [(row['name'].encode(), row['text'].encode()) for row in table]


@behave.when(
    'a request with the headers below goes on to replica "{name}" with {left:g} s left'
)
def goes_on(context, name, left):
    sent = header_dialect.ForwardMetadata(
        left_s=left, replica=name, organisation='geckos'
    )
    context.got = DIALECT.upstream_headers(dict(pairs(context.table)), sent)


@behave.then('the replica gets exactly these headers')
def gets_exactly(context):
    assert sorted(context.got) == sorted(pairs(context.table)), context.got


@behave.when('a request states the deadline "{text}"')
def states_deadline(context, text):
    try:
        DIALECT.read_request({b'Papayaloom-Request-Deadline': text.encode()})
    except errors.RefusedError as exc:
        context.problem = exc.problem


@behave.then('it is refused with {status:d}, which names "{name}" and "{text}"')
def refused_naming(context, status, name, text):
    assert context.problem.status == status
    assert name in context.problem.title and text in context.problem.detail


@behave.when('a request states the prompt "{prompt}" and the tokens "{tokens}"')
def states_prompt(context, prompt, tokens):
    context.asked = DIALECT.read_request(
        {
            b'Papayaloom-Prompt-Prefix': prompt.encode(),
            b'Papayaloom-Token-Counts': tokens.encode(),
        }
    )


@behave.then(
    'its prompt parts are "{parts}" and its tokens {prompt:d} and {output:d}'
)
def prompt_parts(context, parts, prompt, output):
    asked = context.asked
    found = ' '.join(f'{one.name}={one.tokens}' for one in asked.parts)
    assert found == parts, found
    assert (asked.prompt_tokens, asked.output_tokens) == (prompt, output)


@behave.when('the store holds the replica entry {content}')
def holds_entry(context, content):
    context.entry = documents.decode_replica('servers/i-1', content.encode())


@behave.then('it names no replica')
def names_none(context):
    assert context.entry is None


@behave.when('the desired state with a split route and an organisation is read')
def desired_state(context):
    context.route_table = routes.RouteTable(documents.decode_tables(DESIRED))


def find(context, text):
    host, _, path = text.partition('/')
    return context.route_table.find(host, f'/{path}')


@behave.then(
    'the route "{first}" is found for "{one}" and "{second}" for "{two}"'
)
def routes_found(context, first, one, second, two):
    assert find(context, one).prefix == first
    assert find(context, two).prefix == second


@behave.then('nothing is found for "{text}"')
def nothing_found(context, text):
    assert find(context, text) is None


@behave.then('the key "{key}" belongs to "{name}"')
def key_belongs(context, key, name):
    assert context.route_table.organisation(key).name == name


@behave.then('the split sends 9 in 10 to the first service')
def split_shares(context):
    route = find(context, 'a.example/a/x')
    picked = [routes.pick_target(route, number / 100) for number in range(100)]
    assert picked.count('s1') == 90, picked.count('s1')


def refused(fields, name):
    try:
        settings.from_fields(fields)
    except errors.SettingsError as exc:
        assert name in str(exc), exc
        return
    raise AssertionError(f'{name} was accepted')


@behave.then('settings without "{name}" are refused with its name')
def settings_without(context, name):
    settings.from_fields(FIELDS)
    refused({key: FIELDS[key] for key in FIELDS if key != name}, name)


@behave.then(
    'settings with the field "{name}" as "{text}" are refused with its name'
)
def settings_with(context, name, text):
    refused({**FIELDS, name: text}, name)


@behave.given("a stand-in of the platform's store")
def store_standin(context):
    context.twin = memory_kv.MemoryKv(clock.SystemClock(), blocking=True)
    standin = platform_store.PlatformStore(context.twin, ('127.0.0.1', 0))
    threading.Thread(target=standin.server.serve, daemon=True).start()
    context.add_cleanup(standin.server.stop)
    host, port = standin.server.bind_addr
    context.standin_address = host, port
    context.store = store.PlatformStore(f'{host}:{port}')


@behave.then(
    'a key is written if absent, and a second writer gets the current entry'
)
def written_if_absent(context):
    first = context.store.put('a/1', b'one', kv.ABSENT)
    assert first.done and first.revision
    second = context.store.put('a/1', b'two', kv.ABSENT)
    assert not second.done
    assert second.current.value == b'one'
    assert second.current.revision == first.revision
    assert context.store.get('a/1').value == b'one'
    assert context.store.get('a/2') is None


@behave.then('a key under a lease vanishes when the lease is ended')
def vanishes(context):
    lease = context.store.grant_lease(5)
    context.store.put('b/1', b'one', kv.ABSENT, lease.id)
    assert context.store.renew_lease(lease.id)
    context.store.revoke_lease(lease.id)
    assert context.store.get('b/1') is None
    assert not context.store.renew_lease(lease.id)


@behave.then('a watch gets changes and removals after a revision')
def watch_gets(context):
    before = context.store.list_prefix('c/').revision
    written = context.store.put('c/1', b'one', kv.ABSENT)
    context.store.delete('c/1', written.revision)
    seen = context.store.watch('c/', before, 0.2)
    found = [(one.key, one.value, one.deleted) for one in seen.events]
    assert found == [('c/1', b'one', False), ('c/1', b'', True)], found
    assert seen.revision > before


@behave.then('a watch of forgotten history says that it is lost')
def watch_lost(context):
    for number in range(kv_table.MAX_EVENTS + 2):
        context.twin.put(f'd/{number}', b'', kv.ABSENT)
    assert context.store.watch('d/', 1, 0.2).lost


@behave.when('the stand-in refuses all calls')
def refuses_all(context):
    context.twin.faults.outage = True


@behave.then('a read says that the store is unavailable')
def read_unavailable(context):
    try:
        context.store.get('a/1')
    except errors.StoreUnavailableError:
        return
    raise AssertionError('the outage was not noticed')


@behave.given('an address that takes no connections and refuses none')
def full_backlog(context):
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen(0)
    context.add_cleanup(listener.close)
    context.address = listener.getsockname()
    # Fills the queue of connections that wait to be accepted.
    for _ in range(4):
        waiting = socket.socket()
        waiting.setblocking(False)
        waiting.connect_ex(context.address)
        context.add_cleanup(waiting.close)
    time.sleep(0.1)


@behave.when("the platform's store there is asked for a key")
def asked_for_key(context):
    client = store.PlatformStore('%s:%d' % context.address)
    begun = time.monotonic()
    try:
        client.get('a')
    except errors.StoreUnavailableError:
        context.took_s = time.monotonic() - begun
        return
    raise AssertionError('the store answered')


@behave.then('the call fails within {seconds:g} s')
def fails_within(context, seconds):
    assert context.took_s < seconds, context.took_s
