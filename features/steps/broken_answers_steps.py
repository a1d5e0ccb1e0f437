import contextlib
import http.client
import json
import select
import socket
import time

import behave
import h11

from features import broken_replica, one_router
from features import forwarding_router as fleets
from papayaloom import errors
from papayaloom.connection import upstream_connection

# More than the sockets of the two sides hold.
UPLOAD_BYTES = 8_000_000
LIMITS = {'maxBodyBytes': 2 * UPLOAD_BYTES}
REQUEST = upstream_connection.RequestHead(
    b'POST', b'/', [(b'Host', b'x'), (b'Content-Length', b'%d' % UPLOAD_BYTES)]
)


def start(context, script):
    one_router.start(context, script, LIMITS, reads_uploads=False)


@behave.given(
    'a replica that reads no upload and sends {part} of an answer with {framing}, then {end}'
)
def breaks_off(context, part, framing, end):
    start(context, broken_replica.breaking_off(framing, part, end))


@behave.given(
    'a replica that reads no upload and streams 2 events with {framing}, then {end}'
)
def breaks_stream(context, framing, end):
    start(context, broken_replica.breaking_stream(framing, end))


@behave.given(
    'a replica that reads no upload and refuses with {part} of an answer with {framing}, then {end}'
)
def refuses(context, part, framing, end):
    start(context, broken_replica.refusing(framing, part, end))


@behave.given('another one that answers "{script}"')
def another_answers(context, script):
    add_second(context, fleets.SCRIPTS[script])


@behave.given('another one that streams {count:d} events')
def another_streams(context, count):
    add_second(context, fleets.stream(count))


def add_second(context, script):
    """Add a replica that gets no request before the first one."""
    context.fleet.add_replica(script)
    one_router.wait_for_replicas(context)
    one_router.record_load(context, 'i-1', 0)
    one_router.record_load(context, 'i-2', 9)
    context.results = []
    client = context.router.dispatch_client
    original = client.ended

    def ended(attempt_result):
        context.results.append(attempt_result)
        original(attempt_result)

    client.ended = ended


@behave.when('a caller uploads 8 MB to "{path}"')
def uploads(context, path):
    context.answer = fleets.ask(
        context.router, 'POST', path, content=bytes(UPLOAD_BYTES)
    )


@behave.when('a caller uploads 8 MB to the stream "{path}"')
def uploads_to_stream(context, path):
    conn = fleets.connect(
        context.router, 'POST', path, content=bytes(UPLOAD_BYTES)
    )
    with contextlib.closing(conn):
        context.parts, context.is_complete = read_parts(conn.getresponse())


def read_parts(answer):
    try:
        return answer.read(), True
    except http.client.IncompleteRead as exc:
        return exc.partial, False


@behave.then('the caller gets may have run')
def gets_error(context):
    found = context.answer.status, context.answer.content
    assert found[0] == 502, found
    verdict = json.loads(found[1])['verdict']
    assert verdict == errors.Verdict.MAY_HAVE_RUN.value, found


@behave.then('the caller gets not run')
def gets_refusal(context):
    found = context.answer.status, context.answer.content
    assert found[0] == 503, found
    verdict = json.loads(found[1])['verdict']
    assert verdict == errors.Verdict.NOT_RUN.value, found


@behave.then('the caller gets the whole one')
def gets_whole(context):
    found = context.answer.status, context.answer.content
    assert found == (200, b'whole body'), found


@behave.then('the first replica counts as one that failed')
def counts_as_failed(context):
    # The caller has its answer before the last result is reported.
    assert fleets.until(2, lambda: len(context.results) == 2), context.results
    found = [(one.replica, one.is_failure) for one in context.results]
    assert found == [('i-1', True), ('i-2', False)], found


# --- one connection ----------------------------------------------------------


class _Socket:
    """Socket that calls a function just before its next write."""

    def __init__(self, sock, before_send):
        self._sock = sock
        self._before_send = before_send

    def send(self, content):
        self._before_send()
        return self._sock.send(content)

    def __getattr__(self, name):
        return getattr(self._sock, name)


@behave.given(
    'a connection whose peer has sent half of an answer without a length'
)
def begun_answer(context):
    listener = socket.create_server(('127.0.0.1', 0))
    with listener:
        context.conn = upstream_connection.UpstreamConnection(
            listener.getsockname()
        )
        context.add_cleanup(context.conn.close)
        context.peer, _ = listener.accept()
    context.add_cleanup(context.peer.close)
    context.conn.send(REQUEST, bytes(UPLOAD_BYTES))
    context.peer.sendall(b'HTTP/1.1 200 OK\r\n\r\nhalf')
    # There is room again for a write, also where the sockets hold less.
    context.peer.settimeout(0.2)
    read_bytes = 0
    with contextlib.suppress(TimeoutError):
        while read_bytes < UPLOAD_BYTES // 4:
            read_bytes += len(context.peer.recv(65536))


@behave.when(
    'the peer {ends} just before the next write, and {reader} reads the answer'
)
def ends_before_write(context, ends, reader):
    conn = context.conn

    def before_send():
        if context.peer.fileno() < 0:
            return
        if ends == 'closes and resets':
            context.peer.shutdown(socket.SHUT_WR)
        broken_replica.reset(context.peer)
        context.peer.close()
        poll = select.poll()
        poll.register(conn, 0)
        assert poll.poll(2000), 'the reset has not come'

    conn._sock = _Socket(conn._sock, before_send)
    until = time.monotonic() + 5
    try:
        if reader == 'an attempt':
            read_as_attempt(conn, until)
        else:
            read_as_copy(conn, until)
    except errors.UpstreamError as exc:
        assert exc.verdict is errors.Verdict.MAY_HAVE_RUN, exc
        context.state = 'broken'
    else:
        context.state = 'whole'
    assert context.peer.fileno() < 0, 'no write came after the answer had begun'


def read_as_attempt(conn, until):
    conn.receive_head(until)
    while conn.receive_part(until) is not None:
        pass


def read_as_copy(conn, until):
    poll = select.poll()
    while time.monotonic() < until:
        poll.register(conn, conn.awaited_events)
        for _, ready_events in poll.poll(100):
            for item in conn.read_ahead(ready_events):
                if isinstance(item, errors.UpstreamError):
                    raise item
                if isinstance(item, h11.EndOfMessage):
                    return
    raise AssertionError('the answer does not end')


@behave.then('the answer is {state}')
def answer_is(context, state):
    assert context.state == state, context.state
