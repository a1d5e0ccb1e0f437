import contextlib
import time

import behave
import urllib3

from features import broken_replica, fake_engine, malformed_messages, one_router
from features import forwarding_router as fleets
from papayaloom import errors
from papayaloom.connection import client_connection, upstream_connection
from papayaloom.ports import engine, engine_http, http, service_http, store_http

_TIMEOUTS = engine.Timeouts(connect_s=1, read_s=1)
_HEAD = upstream_connection.RequestHead(b'GET', b'/', [(b'Host', b'x')])


def read_forwarded(url, body=b''):
    host, _, port = url.removeprefix('http://').partition(':')
    conn = upstream_connection.UpstreamConnection((host, int(port)))
    until = time.monotonic() + 2
    with contextlib.closing(conn):
        conn.send(_HEAD, body)
        conn.receive_head(until)
        return b''.join(iter(lambda: conn.receive_part(until), None))


def call_service(url, body=b''):
    req = http.Request('POST', url, '/x', {}, body, _TIMEOUTS)
    return http.success_body(http.send(http.Pools(), req))


def call_engine(url, body=b''):
    return engine_http.HttpEngines().export_cache(url, 'chat')


def stream_of_engine(url, body=b''):
    response = http.send(
        http.Pools(), http.Request('POST', url, '/x', {}, body, _TIMEOUTS)
    )
    stream = engine_http.HttpStream(response)
    return b''.join(iter(stream.read, b''))


def call_store(url, body=b''):
    client = store_http.StoreClient(url, 1, 1)
    with contextlib.closing(client):
        return client.call('POST', '/kv-txn', body=body or None).data


def call_host(url, body=b''):
    pool = client_connection.pool_manager(timeout=1)
    return pool.request('POST', url, body=body or None).data


READERS = {
    'a forwarded request': read_forwarded,
    'a call to a service': call_service,
    'a call to an engine': call_engine,
    'a stream of an engine': stream_of_engine,
    'a call to the store': call_store,
    'a call to another host': call_host,
}


def read(context, reader, script, body=b'', **options):
    """Return what a reader makes of an answer: bytes, or an error."""
    one = fake_engine.FakeEngine(script, **options)
    with contextlib.closing(one):
        try:
            return READERS[reader](one.url, body)
        except (errors.PapayaloomError, urllib3.exceptions.HTTPError) as exc:
            return exc


def closing(script):
    """Return a script that ends its connection behind the answer."""

    def closing_script(*args):
        script(*args)
        return False

    return closing_script


@behave.when('{reader} reads each malformed answer')
def reads_malformed(context, reader):
    context.found = {
        what: read(context, reader, closing(script))
        for what, script in malformed_messages.ANSWERS.items()
        if what not in malformed_messages.OF_GATEWAYS_ONLY
    }


@behave.when('{reader} reads each odd but sound answer')
def reads_sound(context, reader):
    context.found = {
        what: read(context, reader, script)
        for what, script in malformed_messages.SOUND_ANSWERS.items()
    }


def is_true_error(found):
    verdict = getattr(found, 'verdict', errors.Verdict.MAY_HAVE_RUN)
    is_error = isinstance(found, Exception)
    return is_error and verdict is errors.Verdict.MAY_HAVE_RUN


@behave.then('each of them is an error that says "may have run"')
def each_is_error(context):
    wrong = {
        what: found
        for what, found in context.found.items()
        if not is_true_error(found)
    }
    assert context.found and not wrong, wrong


@behave.then('each of them is the whole one')
def each_is_whole(context):
    wrong = {
        what: found
        for what, found in context.found.items()
        if found != b'whole body'
    }
    assert context.found and not wrong, wrong


@behave.when(
    '{reader} reads an answer with {framing} that is cut off at each byte by {end}'
)
def reads_cut(context, reader, framing, end):
    raw = broken_replica.answer(framing)
    context.found = []
    context.is_whole = []

    def script(engine, conn, *args):
        conn.sendall(raw[: len(context.found)])
        # What was sent is read before the end comes.
        time.sleep(0.002)
        broken_replica.ENDS[end](conn)
        return False

    while len(context.found) <= len(raw):
        is_all = len(context.found) == len(raw) and framing != 'no length'
        context.is_whole.append(is_all)
        context.found.append(read(context, reader, script))


@behave.then(
    'it reads the whole one where it got all of it, and an error elsewhere'
)
def whole_or_error(context):
    wrong = [
        (count, found)
        for count, found in enumerate(context.found)
        if not (
            found == b'whole body'
            if context.is_whole[count]
            else is_true_error(found)
        )
    ]
    assert not wrong, wrong


@behave.when(
    'a call to a service is answered, and half of another answer follows at once'
)
def answer_and_half(context):
    raw = broken_replica.answer('a length')

    def script(engine, conn, *args):
        conn.sendall(raw + raw[:20])
        return True

    context.engine = fake_engine.FakeEngine(script)
    context.add_cleanup(context.engine.close)
    services = service_http.HttpServices()
    for _ in range(2):
        services.healthy(context.engine.url)
        time.sleep(0.05)


@behave.then('the next call goes over another connection')
def another_connection(context):
    found = context.engine.connections, len(context.engine.requests)
    assert found == (2, 2), found


@behave.given(
    'a forwarding router whose replica sends each odd but sound answer'
)
def sends_sound(context):
    context.scripts = iter(malformed_messages.SOUND_ANSWERS.values())
    one_router.start(context, lambda *args: next(context.scripts)(*args))


@behave.when('for each of these a caller sends "{method}" to "{path}"')
def sends_for_each(context, method, path):
    context.answers = [
        fleets.ask(context.router, method, path)
        for _ in malformed_messages.SOUND_ANSWERS
    ]


@behave.then('each caller gets the whole one')
def each_gets_whole(context):
    found = [(one.status, one.content) for one in context.answers]
    assert found == [(200, b'whole body')] * len(found), found


# More than the sockets of the two sides hold.
UPLOAD_BYTES = 8_000_000


@behave.given(
    'a server that reads no upload and sends {part} of an answer with {framing}, then {end}'
)
def breaking_server(context, part, framing, end):
    context.script = broken_replica.breaking_off(framing, part, end)


@behave.when('{reader} uploads 8 MB to it')
def uploads_to_server(context, reader):
    context.found = read(
        context,
        reader,
        context.script,
        bytes(UPLOAD_BYTES),
        reads_uploads=False,
    )


@behave.then('it reads {outcome}')
def it_reads(context, outcome):
    found = context.found
    is_error = is_true_error(found)
    is_expected = is_error if outcome == 'an error' else found == b'whole body'
    assert is_expected, repr(found)
