import concurrent.futures
import http.client
import threading
import time
from unittest import mock

import behave

from papayaloom.connection import caller_connection, ingress, worker_pool


def start_server(context, seconds, most):
    context.handled = 0

    def handle(received):
        context.handled += 1
        time.sleep(seconds)
        ingress.InboundRequest(received).answer(200, [], b'done')

    context.server = ingress.Ingress(
        ('127.0.0.1', 0), handle, caller_connection.CallerLimits(threads=most)
    )
    context.server.prepare()
    threading.Thread(target=context.server.serve, daemon=True).start()
    context.add_cleanup(context.server.stop)


def call(address):
    conn = http.client.HTTPConnection(*address, timeout=10)
    conn.request('GET', '/')
    status = conn.getresponse().status
    conn.close()
    return status


@behave.given('a server whose answers take {seconds:g} s')
def server(context, seconds):
    start_server(context, seconds, 256)


@behave.given(
    'a server whose answers take {seconds:g} s, with at most {most:d} threads'
)
def bounded_server(context, seconds, most):
    start_server(context, seconds, most)


@behave.when('{count:d} callers arrive at once')
def arrive(context, count):
    begun = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        address = context.server.bind_addr
        context.statuses = list(pool.map(call, [address] * count))
    context.took_s = time.monotonic() - begun


@behave.when('{seconds:d} s pass without callers')
def pass_without(context, seconds):
    time.sleep(seconds)


@behave.when('{seconds:d} s pass at its threads')
def pass_at_threads(context, seconds):
    now = time.monotonic()
    for later in range(1, seconds + 1):
        with mock.patch.object(
            worker_pool.time, 'monotonic', return_value=now + later
        ):
            context.server.trim()
    time.sleep(0.2)


@behave.then('the router has started fewer than {count:d} threads')
def fewer_threads(context, count):
    started = set(threading.enumerate()) - context.threads_before
    assert len(started) < count, sorted(one.name for one in started)


@behave.then('the last of them is answered within {seconds:g} s')
def last_within(context, seconds):
    assert set(context.statuses) == {200}, context.statuses
    assert context.took_s < seconds, context.took_s


@behave.then('all of them are answered, and the server has {count:d} threads')
def all_answered(context, count):
    assert set(context.statuses) == {200}, context.statuses
    assert len(context.server.requests) == count


@behave.then('the server has at most {count:d} threads')
def at_most(context, count):
    alive = [
        one for one in threading.enumerate() if one.name.startswith('CP Server')
    ]
    mine = [one for one in alive if one.server is context.server]
    assert len(mine) <= count, len(mine)


def arrive_and_shut(context, count, seconds):
    pool = concurrent.futures.ThreadPoolExecutor(count)
    context.add_cleanup(pool.shutdown)
    address = context.server.bind_addr
    context.calls = [pool.submit(call, address) for _ in range(count)]
    time.sleep(seconds)
    context.server.stop_reading()


@behave.when(
    '{count:d} callers arrive at once, and it is shut after {seconds:g} s'
)
def shut_after(context, count, seconds):
    arrive_and_shut(context, count, seconds)
    assert context.server.wait_idle(2)


@behave.when(
    '{count:d} callers arrive at once, and it is shut after {seconds:g} s, without waiting'
)
def shut_without_waiting(context, count, seconds):
    arrive_and_shut(context, count, seconds)


@behave.then('all {count:d} are answered')
def all_are_answered(context, count):
    statuses = [one.result() for one in context.calls]
    assert statuses == [200] * count, statuses


@behave.then('a caller that arrives now is closed before its request is read')
def closed_unread(context):
    handled = context.handled
    try:
        call(context.server.bind_addr)
    except (ConnectionError, http.client.RemoteDisconnected):
        assert context.handled == handled
        return
    raise AssertionError('it was answered')


@behave.then('the server is idle')
def is_idle(context):
    assert context.server.wait_idle(0)


@behave.then('it is not idle within {seconds:g} s')
def not_idle(context, seconds):
    assert not context.server.wait_idle(seconds)
    context.calls[0].result()
