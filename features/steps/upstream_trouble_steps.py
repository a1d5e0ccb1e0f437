import http.client
import socket
import time

import behave

from features import forwarding_router as fleets
from features import hostile_replica, one_router


@behave.given(
    'a forwarding router with a replica that sends {what} without end'
)
def floods(context, what):
    one_router.start(context, hostile_replica.FLOODS[what])


@behave.given(
    'a forwarding router with a replica that sends {what} now and then'
)
def trickles(context, what):
    one_router.start(context, hostile_replica.TRICKLES[what])


@behave.given('before it a replica that sends {what} now and then')
def trickles_before(context, what):
    one_router.first(context, hostile_replica.TRICKLES[what])


@behave.given(
    'before it a replica that streams {count:d} events {pause:g} s apart'
)
def streams_slowly(context, count, pause):
    one_router.first(context, hostile_replica.slow_events(count, pause))


def spoiling(count, what, number):
    spoiled = hostile_replica.SPOILED[what]
    return hostile_replica.spoiled_events(count, number, spoiled)


@behave.given(
    'before it a replica that sends {count:d} events at once, with {what} for event {number:d}'
)
def spoils_before(context, count, what, number):
    one_router.first(context, spoiling(count, what, number))


@behave.given(
    'a forwarding router with a replica that sends {count:d} events at once, with {what} for event {number:d}'
)
def spoils(context, count, what, number):
    one_router.start(context, spoiling(count, what, number))


@behave.given(
    'before it a replica that sends {count:d} events and a malformed chunk at once'
)
def malformed_before(context, count):
    one_router.first(context, hostile_replica.malformed_chunk(count))


@behave.given(
    'a forwarding router with a replica that numbers its events {ids}'
)
def numbers_events(context, ids):
    numbers = [int(one) for one in ids.split()]
    one_router.start(context, hostile_replica.numbered(numbers))


@behave.then('the caller gets {part:w} of the events {ids}')
def gets_part(context, part, ids):
    expected = ids.split()
    if part != 'all':
        expected = expected[: int(part)]
    lines = context.parts.decode().splitlines()
    found = [line[4:] for line in lines if line.startswith('id: ')]
    assert found == expected, context.parts
    assert context.is_complete == (part == 'all')


@behave.given(
    'a forwarding router with a replica in trouble that answers "{script}"'
)
def in_trouble(context, script):
    one_router.start(context, hostile_replica.ODD[script])


@behave.given('another replica in trouble that answers "{script}"')
def another_in_trouble(context, script):
    context.fleet.add_replica(hostile_replica.ODD[script])
    one_router.wait_for_replicas(context)


@behave.given('a forwarding router with a replica that fails with {status:d}')
def fails_with(context, status):
    one_router.start(context, hostile_replica.promising(status))


@behave.when('a caller of HTTP/1.0 asks for the stream "{path}"')
def old_caller(context, path):
    request = (
        f'POST {path} HTTP/1.0\r\nHost: {fleets.HOST}\r\n'
        'Authorization: Bearer k1\r\nPapayaloom-Request-Id: q-1\r\n'
        'Papayaloom-Request-Deadline: 9000\r\nContent-Length: 0\r\n\r\n'
    )
    address = context.router.addresses['callers']
    context.is_reset = False
    with socket.create_connection(address, timeout=10) as conn:
        conn.sendall(request.encode())
        try:
            while conn.recv(65536):
                pass
        except ConnectionResetError:
            context.is_reset = True


@behave.then('its connection is reset')
def is_reset(context):
    assert context.is_reset


@behave.then('for {seconds:g} s each caller of "{path}" gets {status:d}')
def each_caller_gets(context, seconds, path, status):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        assert fleets.ask(context.router, 'GET', path).status == status


@behave.when('the listener for callers ends by itself')
def listener_ends(context):
    # What cheroot does after an exception that ends a worker thread.
    context.router._front.interrupt = RuntimeError('a worker has ended')


@behave.then('within {seconds:g} s the host is not ready')
def not_ready_within(context, seconds):
    address = context.router.addresses['readiness']

    def refused():
        with socket.create_connection(address, timeout=2) as conn:
            conn.sendall(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            return conn.recv(65536).startswith(b'HTTP/1.1 503 ')

    assert fleets.until(seconds, refused)


@behave.then('the replica was cut off before it had sent {most:d} MB')
def cut_off(context, most):
    engine = context.fleet.replicas[0]
    assert fleets.until(3, lambda: hasattr(engine, 'left_at')), 'still sends'
    assert engine.sent_bytes < most * 1_000_000, engine.sent_bytes


@behave.then('the caller gets no complete stream')
def no_complete_stream(context):
    is_stream = context.status == http.client.OK
    assert not (is_stream and context.is_complete), context.status


@behave.then(
    'the caller gets the events {one:d} to {last:d} once each, comments aside, and the answer is complete'
)
def events_and_comments(context, one, last):
    found = context.parts.replace(b': still here\n\n', b'')
    assert found == fleets.events(one, last), context.parts
    assert context.is_complete


@behave.then('each time the caller gets its own body or {status:d}')
def own_or(context, status):
    for number, answer in enumerate(context.answers):
        own = (http.client.OK, f'q-{number}'.encode())
        found = (answer.status, answer.content)
        assert found == own or answer.status == status, found


@behave.then(
    'none who was refused had run, and each other caller gets its own body or {status:d}'
)
def refused_truly(context, status):
    for number, answer in enumerate(context.answers):
        request = f'q-{number}'
        ran = [
            one
            for engine in context.fleet.replicas
            for one in engine.requests
            if one[2]['papayaloom-request-id'] == request
        ]
        if answer.status == http.client.SERVICE_UNAVAILABLE:
            # Refused by the replica itself, on a connection of its own.
            assert len(ran) <= 1, (request, ran)
            continue
        own = (http.client.OK, request.encode())
        found = (answer.status, answer.content)
        assert found == own or answer.status == status, found
        assert len(ran) == 1, (request, ran)
