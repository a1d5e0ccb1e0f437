import contextlib
import http.client
import socket
import threading
import time

import behave

from features import forwarding_router as fleets
from features import one_router
from features.soak import proxy


@behave.given('a forwarding router with a replica that answers "{script}"')
def router_with(context, script):
    one_router.start(context, fleets.SCRIPTS[script])


@behave.given(
    'a forwarding router with a replica that streams {count:d} events'
)
def router_streams(context, count):
    one_router.start(context, fleets.stream(count))


@behave.given(
    'a forwarding router with a replica that breaks inside event {number:d}'
)
def router_breaks(context, number):
    one_router.start(context, fleets.stream(9, breaks_at=number))


@behave.given('a forwarding router that the store has told nothing')
def router_told_nothing(context):
    fleet = one_router.fleet(context)
    # The store's threads are not the router's.
    fleets.until(1, fleet.is_store_up)
    context.threads_before = set(threading.enumerate())
    context.router = fleet.start_router()


@behave.given('another replica that answers "{script}"')
def another_replica(context, script):
    context.fleet.add_replica(fleets.SCRIPTS[script])
    one_router.wait_for_replicas(context)


@behave.given('before it a replica that breaks inside event {number:d}')
def breaks_before(context, number):
    one_router.first(context, fleets.stream(5, breaks_at=number))


@behave.given('before it a replica that falls silent after event {number:d}')
def silent_before(context, number):
    one_router.first(context, fleets.stream(5, silent_after=number))


@behave.given('a store that is away')
def store_away(context):
    context.fleet.twin.faults.outage = True


@behave.given('a second forwarding router with the first as its seed')
def second_router(context):
    seeds = [context.router.addresses['control']]
    context.second = context.fleet.start_router(seeds)


@behave.when('a caller sends "{method}" to "{path}"')
def caller_sends(context, method, path):
    context.begun = time.monotonic()
    context.answer = fleets.ask(context.router, method, path)
    context.took_s = time.monotonic() - context.begun


@behave.when(
    'with another key a caller sends "{method}" to "{path}" with "{key}"'
)
def caller_sends_key(context, method, path, key):
    context.answer = fleets.ask(context.router, method, path, key)


@behave.when(
    'over and over a caller sends "{method}" to "{path}" {count:d} times'
)
def caller_sends_often(context, method, path, count):
    context.answers = []
    for number in range(count):
        context.answers.append(
            fleets.ask(context.router, method, path, request=f'q-{number}')
        )
        time.sleep(0.05)


@behave.when(
    'impatiently a caller sends "{method}" to "{path}" and leaves after {seconds:g} s'
)
def caller_leaves(context, method, path, seconds):
    conn = fleets.connect(context.router, method, path)
    time.sleep(seconds)
    conn.close()
    context.left_at = time.monotonic()


@behave.when(
    'before a stop a caller sends "{method}" to "{path}" and the stop begins after {seconds:g} s'
)
def stop_begins(context, method, path, seconds):
    threading.Timer(seconds, context.router.begin_stop).start()
    conn = fleets.connect(context.router, method, path)
    with contextlib.closing(conn):
        context.answer = conn.getresponse()
        context.answer.content = context.answer.read()


@behave.when('a caller asks for the stream "{path}"')
def asks_stream(context, path):
    conn = fleets.connect(context.router, 'POST', path)
    context.parts = b''
    with contextlib.closing(conn):
        answer = conn.getresponse()
        context.status = answer.status
        context.is_complete = True
        try:
            context.parts = answer.read()
        except http.client.IncompleteRead as exc:
            context.parts = exc.partial
            context.is_complete = False


@behave.when(
    'the operator writes version {version:d} without the route "{prefix}"'
)
def writes_without(context, version, prefix):
    kept = [one for one in fleets.ROUTES if one['prefix'] != prefix]
    context.fleet.write(version, kept)


@behave.when('the operator writes a version {what}')
def writes_tenants(context, what):
    tenants = {
        'with an empty list of tenants': {'tenants': []},
        'with a tenant that has no keys': {'tenants': [{'name': 'geckos'}]},
        'that has no tenants': {'tenants': None},
    }[what]
    context.fleet.write(9, **tenants)
    assert fleets.until(2, lambda: context.router.dump()['version'] == 9)


@behave.then('the caller gets {status:d}')
def gets(context, status):
    assert context.answer.status == status, context.answer.status


@behave.when(
    'the operator writes version {version:d} with the route "{prefix}"'
)
def writes_with(context, version, prefix):
    context.fleet.write(version)


@behave.then(
    'the caller gets {status:d} with the body "{body}" and the replica\'s receipt'
)
def gets_with_receipt(context, status, body):
    answer = context.answer
    assert (answer.status, answer.content) == (status, body.encode()), vars(
        answer
    )
    assert answer.headers['Papayaloom-Response-Seal'] == 'seal-1'


@behave.then(
    'the caller gets {status:d} with the body "{body}" and the end of the connection'
)
def gets_and_end(context, status, body):
    answer = context.answer
    assert (answer.status, answer.content) == (status, body.encode())
    assert answer.headers['Connection'] == 'close'


@behave.then(
    'the replica got "{method}" "{target}" for the organisation "{name}" without the key'
)
def replica_got(context, method, target, name):
    found = one_router.requests(context)[-1]
    assert found[:2] == (method, target), found
    assert found[2]['papayaloom-tenant-name'] == name
    assert 'authorization' not in found[2]


@behave.then('the replica was told the priority {priority}')
def told_priority(context, priority):
    found = one_router.requests(context)[-1][2]
    assert found['papayaloom-request-priority'] == priority, found


@behave.then('the caller gets {status:d} and no replica got a request')
def gets_and_none(context, status):
    assert context.answer.status == status, context.answer.status
    assert not one_router.requests(context)


@behave.then('the caller gets {status:d} with a time to come back')
def gets_time(context, status):
    assert context.answer.status == status, context.answer.status
    assert float(context.answer.headers['Retry-After']) > 0


@behave.then('each time the caller gets {status:d} with the body "{body}"')
def each_body(context, status, body):
    found = [(one.status, one.content) for one in context.answers]
    assert set(found) == {(status, body.encode())}, found


@behave.then('each time the caller gets {status:d} with its own body')
def each_own(context, status):
    for number, answer in enumerate(context.answers):
        expected = (status, f'q-{number}'.encode())
        assert (answer.status, answer.content) == expected, answer.content


@behave.then(
    'the caller gets {status:d} and the replicas got {count:d} requests'
)
def gets_and_count(context, status, count):
    assert context.answer.status == status, context.answer.status
    assert len(one_router.requests(context)) == count, len(
        one_router.requests(context)
    )
    if status != 500:
        assert 'Papayaloom-Response-Seal' not in context.answer.headers


@behave.then(
    'the caller gets the events {one:d} to {last:d} once each, and the answer is {state}'
)
def gets_events(context, one, last, state):
    expected = fleets.events(one, last)
    assert context.parts == expected, context.parts
    assert context.is_complete == (state == 'complete')


@behave.then('the second replica was asked to go on after event {number:d}')
def asked_to_go_on(context, number):
    assert context.fleet.replicas[0].resumed_after == str(number)


@behave.then("the replica's connection is closed within {seconds:g} s")
def closed_within(context, seconds):
    engine = context.fleet.replicas[0]
    assert fleets.until(seconds, lambda: hasattr(engine, 'left_at'))
    assert engine.left_at - context.left_at < seconds


@behave.then('the caller gets {status:d} after {least:g} s to {most:g} s')
def gets_after(context, status, least, most):
    assert context.answer.status == status, context.answer.status
    assert least <= context.took_s <= most, context.took_s


@behave.then('the host is not ready and its entry has left the store')
def not_ready(context):
    host, port = context.router.addresses['readiness']
    conn = http.client.HTTPConnection(host, port, timeout=5)
    with contextlib.closing(conn):
        conn.request('GET', '/readiness')
        assert conn.getresponse().status == 503
    prefix = 'papayaloom/hosts/'

    def left():
        return not context.fleet.twin.list_prefix(prefix).entries

    assert fleets.until(2, left), 'the entry is still there'


@behave.then('within {seconds:d} s a caller of "{path}" gets {status:d}')
def within(context, seconds, path, status):
    def refused():
        return fleets.ask(context.router, 'GET', path).status == status

    assert fleets.until(seconds, refused)


@behave.then('after {seconds:d} s a caller of "{path}" gets {status:d}')
def after(context, seconds, path, status):
    time.sleep(seconds)
    assert fleets.ask(context.router, 'GET', path).status == status


@behave.then(
    'within {seconds:g} s the second one answers "{path}" with {status:d}'
)
def second_answers(context, seconds, path, status):
    def answered():
        return fleets.ask(context.second, 'GET', path).status == status

    assert fleets.until(seconds, answered)


@behave.given('a second forwarding router without seeds')
def second_without_seeds(context):
    context.second = context.fleet.start_router([])


@behave.given('a second forwarding router whose {count:d} seeds do not answer')
def second_with_silent_seeds(context, count):
    seeds = []
    for _ in range(count):
        silent = socket.create_server(('127.0.0.1', 0))
        context.add_cleanup(silent.close)
        seeds.append(silent.getsockname())
    context.second = context.fleet.start_router(seeds)


@behave.when('the second one has missed the store')
def second_missed(context):
    # The first call at the start and one more.
    time.sleep(0.6)


@behave.when('the store is back')
def store_back(context):
    context.fleet.twin.faults.outage = False


@behave.then(
    'it refuses "{path}" with a Retry-After between {least:g} and {most:g} s'
)
def refuses_with(context, path, least, most):
    answer = fleets.ask(context.second, 'GET', path)
    assert answer.status == 503, answer.status
    assert least <= float(answer.headers['Retry-After']) <= most, answer.headers


@behave.given('a second forwarding router that is cut off from the store')
def cut_off_router(context):
    cut = context.fleet.start_proxy()
    context.second = context.fleet.start_router(store_at=cut.address)

    def knows():
        return context.second.dump()['version'] == 7

    assert fleets.until(3, knows)
    cut.mode = proxy.Mode.RESET
    # A host that has just been cut off has missed nothing.
    time.sleep(2.5)


@behave.given(
    'a third forwarding router with the second and the first as its seeds'
)
def third_router(context):
    seeds = [
        context.second.addresses['control'],
        context.router.addresses['control'],
    ]
    context.third = context.fleet.start_router(seeds)


@behave.then(
    'within {seconds:d} s the third one answers "{path}" with {status:d}'
)
def third_answers(context, seconds, path, status):
    context.third_statuses = []

    def answered():
        answer = fleets.ask(context.third, 'GET', path)
        context.third_statuses.append(answer.status)
        return answer.status == status

    assert fleets.until(seconds, answered), context.third_statuses


@behave.then('the third one never answered "{path}" with {status:d}')
def third_never(context, path, status):
    assert status not in context.third_statuses, context.third_statuses
