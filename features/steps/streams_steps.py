import json
import select
import socket
import threading
from unittest import mock

import behave

from features import fake_engine, router
from papayaloom import clock
from papayaloom.connection import caller_connection, sse
from papayaloom.process import request_monitor
from papayaloom.request import core_api

# The callers' limits are short, so that tests of slow callers end soon.
LIMITS = caller_connection.CallerLimits(
    threads=4,
    idle=12,
    header_s=0.3,
    body_s=0.3,
    header_bytes=2000,
    body_bytes=5000,
)


def add_engine(context, script):
    engine = fake_engine.FakeEngine(script)
    context.engines = [*getattr(context, 'engines', []), engine]
    context.add_cleanup(engine.close)


def start(context, **changes):
    if not hasattr(context, 'router'):
        urls = [engine.url for engine in context.engines]
        changes.setdefault('limits', LIMITS)
        context.router = router.Router(urls, **changes)
        context.add_cleanup(context.router.stop)
    return context.router


def ask(context, streaming=True, **headers):
    body = {
        'model': 'm',
        'stream': streaming,
        'messages': [{'role': 'user', 'content': 'why?'}],
    }
    return start(context).ask(
        'POST',
        '/v1/chat/completions',
        json.dumps(body).encode(),
        **{'X_Request_Id': 'ask-1', **headers},
    )


def texts(answer):
    events = [
        json.loads(event)
        for event in sse.Parser().feed(answer.data)
        if event != sse.DONE
    ]
    choices = [event['choices'][0] for event in events if 'choices' in event]
    assert all(event.get('id', 'ask-1') == 'ask-1' for event in events)
    return [
        choice['delta']['content']
        for choice in choices
        if not choice['finish_reason']
    ]


@behave.given('the answer "{text}"')
def the_answer(context, text):
    context.tokens = [f'{word} ' for word in text.split()]


@behave.given('an engine that dies before token {offset:d}')
def dying_engine(context, offset):
    add_engine(context, fake_engine.stream(context.tokens, stop_at=offset))


@behave.given('an engine that sends events of another request in between')
def crossing_engine(context):
    def script(engine, conn, method, path, headers, body):
        conn.sendall(fake_engine.head())
        own = headers['x-request-id']
        for offset, token in enumerate(context.tokens):
            for request, text in (('ask-2', 'no'), (own, token)):
                event = fake_engine.event(request, offset, text)
                conn.sendall(fake_engine.chunk(event))
        end = fake_engine.event(own, len(context.tokens), finish='stop')
        end = fake_engine.chunk(end + sse.DONE_FRAME)
        conn.sendall(end + b'0\r\n\r\n')
        return True

    add_engine(context, script)


@behave.given(
    'an engine that ends its stream properly but without the end mark'
)
def truncating_engine(context):
    def script(engine, conn, method, path, headers, body):
        conn.sendall(fake_engine.head())
        event = fake_engine.event(headers['x-request-id'], 0, 'the ')
        conn.sendall(fake_engine.chunk(event) + b'0\r\n\r\n')
        return True

    add_engine(context, script)


@behave.given('an engine that pauses after token {count:d}')
def pausing_engine(context, count):
    context.cancelled = threading.Event()
    context.paths = []

    def script(engine, conn, method, path, headers, body):
        if method == 'DELETE':
            context.paths.append(path)
            context.cancelled.set()
            conn.sendall(b'HTTP/1.1 204 No Content\r\n\r\n')
            return True
        conn.sendall(fake_engine.head())
        context.upstream_id = headers['x-request-id']
        for offset in range(count):
            event = fake_engine.event(context.upstream_id, offset, 'the ')
            conn.sendall(fake_engine.chunk(event))
        return not context.cancelled.wait(20)

    add_engine(context, script)


@behave.given('an engine that {behaviour}')
def simple_engine(context, behaviour):
    rest = fake_engine.chunk(fake_engine.event('ask-9', 0, 'not yours'))
    scripts = {
        'works': fake_engine.stream(context.tokens),
        'refuses with "not run"': fake_engine.problem('409 Busy', 'not run'),
        'does not listen': None,
        'breaks the connection after the request': lambda *_: False,
        'sends more bytes after its answer': fake_engine.stream(
            context.tokens, end=rest + b'0\r\n\r\n'
        ),
    }
    add_engine(context, scripts[behaviour])
    if behaviour == 'does not listen':
        context.engines[-1].close()


@behave.when('a caller asks for a stream')
def ask_stream(context):
    context.answer = ask(context)


@behave.when('a caller asks for a stream {count:d} times')
def ask_streams(context, count):
    for _ in range(count):
        context.answer = ask(context)
        assert texts(context.answer) == context.tokens


@behave.when('a caller asks for a whole answer')
def ask_whole(context):
    context.answer = ask(context, streaming=False)


@behave.then('the caller gets the whole answer')
def whole_answer(context):
    found = json.loads(context.answer.data)
    message = found['choices'][0]['message']
    assert message['content'] == ''.join(context.tokens), found
    assert context.answer.headers['X-Request-Id'] == 'ask-1'
    assert context.answer.headers['X-Settings-Version'] == '7'


@behave.then('the caller gets every token once, and the end mark')
def every_token(context):
    assert texts(context.answer) == context.tokens, context.answer.data
    assert context.answer.data.endswith(b'\n\ndata: [DONE]\n\n')
    assert not context.router.desk.open_grants


@behave.then(
    'engine {number:d} was asked to resume at token {offset:d} after "{text}"'
)
def resumed_at(context, number, offset, text):
    _, _, headers, body = context.engines[number - 1].requests[0]
    assert headers['x-resume-offset'] == str(offset)
    last = json.loads(body)['messages'][-1]
    assert last == {'role': 'assistant', 'content': text}


def the_record(context):
    page = context.router.ask('GET', '/status/records/ask-1')
    return json.loads(page.data)[0]['record']


@behave.then('the record names both engines and the verdict "{verdict}"')
def record_names(context, verdict):
    found = the_record(context)
    names = [attempt['upstream'] for attempt in found['tries']]
    assert names == ['engine-0', 'engine-1']
    assert found['verdict'] == verdict
    assert found['tokens'] == len(context.tokens)


@behave.then('the explanation says "{sentence}"')
def explanation_says(context, sentence):
    page = context.router.ask('GET', '/status/records/ask-1')
    assert sentence in json.loads(page.data)[0]['explanation']


@behave.then('the outcomes of the tries are "{outcomes}"')
def outcomes_are(context, outcomes):
    found = [attempt['outcome'] for attempt in the_record(context)['tries']]
    assert ', '.join(found) == outcomes


@behave.then(
    'the caller gets {count:d} tokens, an error event with the verdict '
    '"{verdict}" and no end mark'
)
def error_event(context, count, verdict):
    found = sse.Parser().feed(context.answer.data)
    assert len(found) == count + 1 and sse.DONE not in found
    assert b'\n\nevent: error\n' in context.answer.data
    document = json.loads(found[-1])
    assert document['verdict'] == verdict
    assert document['request_id'] == 'ask-1'
    assert document['settings_version'] == 7


@behave.then(
    'the caller gets the problem {status:d} with the verdict "{verdict}"'
)
def gets_problem(context, status, verdict):
    document = json.loads(context.answer.data)
    assert context.answer.status == document['status'] == status, document
    assert document['verdict'] == verdict
    assert context.answer.headers['X-Verdict'] == verdict
    assert document['request_id'] == 'ask-1'


@behave.then('engine {number:d} was reached over {count:d} connections')
@behave.then('engine {number:d} was reached over {count:d} connection')
def reached_over(context, number, count):
    found = context.engines[number - 1].connections
    assert found == count, found


def raw(context, content, finish=False):
    """Send bytes and return all that comes back until the end."""
    with socket.create_connection(start(context).address, 20) as conn:
        conn.sendall(content)
        if finish:
            conn.shutdown(socket.SHUT_WR)
        found = b''
        while part := conn.recv(65536):
            found += part
        return found


def head(*lines, key=router.KEY):
    return '\r\n'.join(
        (
            'POST /v1/chat/completions HTTP/1.1',
            'Host: router',
            f'Authorization: Bearer {key}',
            *lines,
            '\r\n',
        )
    ).encode()


@behave.when('a caller goes away after the first token')
def goes_away(context):
    body = '{"model":"m","stream":true,"messages":[{"role":"user"}]}'
    with socket.create_connection(start(context).address, 20) as conn:
        conn.sendall(head(f'Content-Length: {len(body)}') + body.encode())
        while b'data: ' not in conn.recv(65536):
            continue


@behave.then('engine 1 is told to cancel the request')
def told_to_cancel(context):
    assert context.cancelled.wait(20)
    assert context.paths == [f'/v1/requests/{context.upstream_id}']


@behave.then('the grant is released as "{end}"')
def released_as(context, end):
    outcomes = context.router.desk.outcomes
    assert [outcome.end.value for _, outcome in outcomes] == [end]
    assert not context.router.desk.open_grants


@behave.when('a caller asks for a stream with a deadline of {wait_ms:d} ms')
def ask_with_deadline(context, wait_ms):
    context.answer = ask(context, X_Deadline_Ms=str(wait_ms))


@behave.then('the error names the setting "{path}"')
def error_names(context, path):
    document = json.loads(sse.Parser().feed(context.answer.data)[-1])
    assert document['setting'] == path and document['status'] == 504
    decisions = the_record(context)['decisions']
    assert [entry['path'] for entry in decisions] == [path]


@behave.when(
    'a caller asks for a stream while engines may be silent for {idle_ms:d} ms'
)
def ask_impatiently(context, idle_ms):
    start(context, stream__idle_s=idle_ms / 1000)
    context.answer = ask(context)


@behave.given('a watch over 2 open requests on virtual time')
def virtual_watch(context):
    context.clock = clock.VirtualClock()
    context.desk = mock.Mock()
    context.watch = request_monitor.RequestMonitor(context.desk, context.clock)
    context.entries = [
        request_monitor.OpenRequest(60),
        request_monitor.OpenRequest(2),
    ]
    for number, entry in enumerate(context.entries):
        entry.grant = core_api.Grant(number, f'engine-{number}', '', renew_s=1)
        context.watch.add(entry)


@behave.when('3 s pass and the deadline of the second is at 2 s')
def time_passes(context):
    for _ in range(12):
        context.watch.check()
        context.clock.advance(0.25)


@behave.then('the first was renewed 3 times and the second was stopped as late')
def renewed_and_stopped(context):
    renewed = [call.args[0].ask for call in context.desk.renew.mock_calls]
    assert renewed.count(0) == 3
    stopped = [entry.stop_reason for entry in context.entries]
    assert stopped == [
        request_monitor.StopReason.NONE,
        request_monitor.StopReason.DEADLINE_PASSED,
    ]


@behave.when('the desk fails with a timeout while a caller asks for a stream')
def desk_fails(context):
    def admit(_):
        raise TimeoutError('timed out')

    start(context).desk.admit = admit
    context.answer = ask(context)


@behave.then('the caller gets an internal error with the verdict "{verdict}"')
def internal_error(context, verdict):
    assert context.answer.status == 500
    document = json.loads(context.answer.data)
    assert document['verdict'] == verdict
    assert document['request_id'] == 'ask-1'
    assert document['settings_version'] == 7


@behave.then('no request is left open')
def none_open(context):
    assert len(context.router.watch) == 0


MALFORMED = {
    'two lengths of its body': (
        head('Content-Length: 2', 'Transfer-Encoding: chunked') + b'{}'
    ),
    'a negative length of its body': head('Content-Length: -2') + b'{}',
    'headers that never end': head()[:-2] + b'X-A: b\r\n',
    'a body that never ends': head('Content-Length: 90') + b'{"model":',
    'a body that is cut off': head('Content-Length: 90') + b'{"model":',
    'headers longer than the limit': head(f'X-A: {"b" * 3000}'),
    'a body longer than the limit': head('Content-Length: 6000'),
    'an unknown key': head('Connection: close', key='guess'),
    'a body that is no JSON': (
        head('Content-Length: 2', 'Connection: close') + b'{]'
    ),
    'an id with a line break': head(
        'X-Request-Id: a\r\n b', 'Connection: close'
    ),
}


@behave.when('a caller sends headers byte by byte, for ever')
def drips(context):
    with socket.create_connection(start(context).address, 20) as conn:
        conn.sendall(head()[:-2])
        context.raw = b''
        # Unlike select(), takes descriptors above 1023.
        poll = select.poll()
        poll.register(conn, select.POLLIN)
        # 100 bytes are ten times what the limit of 0.3 s lets through.
        for _ in range(100):
            conn.sendall(b'x')
            if poll.poll(30):
                context.raw = conn.recv(65536)
                return


@behave.when('a caller sends {what}')
def sends_malformed(context, what):
    cut = what == 'a body that is cut off'
    context.raw = raw(context, MALFORMED[what], finish=cut)


@behave.then('the connection is answered with status {status:d} and closed')
def answered_and_closed(context, status):
    line = context.raw.partition(b'\r\n')[0]
    assert line.startswith(b'HTTP/1.1 %d ' % status), context.raw
    document = json.loads(context.raw.partition(b'\r\n\r\n')[2])
    assert document['verdict'] == 'not run'


@behave.then('no engine was asked')
def no_engine_asked(context):
    assert not any(engine.requests for engine in context.engines)


@behave.then('a later caller gets every token once')
def later_caller(context):
    assert texts(ask(context)) == context.tokens


@behave.given('a router with 2 threads that waits 60 s for headers')
def patient_router(context):
    limits = caller_connection.CallerLimits(threads=2, idle=12, header_s=60)
    start(context, limits=limits)


@behave.when('{count:d} callers connect and send nothing')
def idle_callers(context, count):
    for _ in range(count):
        conn = socket.create_connection(start(context).address, 20)
        context.add_cleanup(conn.close)


@behave.then('dump and record show neither the key nor a text')
def nothing_private(context):
    for path in ('/status/dump', '/status/records/ask-1'):
        page = context.router.ask('GET', path)
        assert page.status == 200
        for private in (router.KEY, 'why?', 'lamp', 'seven'):
            assert private.encode() not in page.data, private
