import json
import threading

import behave
import urllib3

from papayaloom import clock, errors
from papayaloom.ports import engine as port
from papayaloom.request import prompt
from papayaloom.standins import batch, completion, engine, engine_server


def request(name, text, chat='', offset=0, max_tokens=20, turns=()):
    asked = (*turns, prompt.Message('user', text))
    return completion.Request(name, 'gecko', asked, chat, 0, max_tokens, offset)


def run(context, server, seconds=30.0):
    until = context.clock.monotonic() + seconds
    while (at := server.next_at()) is not None and at <= until:
        context.clock.advance(at - context.clock.monotonic())
        server.advance()


def text(tokens):
    return ''.join(token.content for token in tokens)


@behave.given('two engines of one model')
def two_engines(context):
    context.clock = clock.VirtualClock()
    context.engines = [
        engine.Engine(
            engine.Cfg(name, 'gecko', cache_blocks=16, load_s=5),
            context.clock,
        )
        for name in ('e1', 'e2')
    ]


@behave.when('the first engine crashes after {count:d} tokens of a request')
def crash_after(context, count):
    context.request = request('r1', 'why did the schedule change')
    first = context.engines[0]
    first.submit(context.request)
    while len(first.poll('r1', 0)) < count:
        context.clock.advance(0.02)
    context.tokens = first.poll('r1', 0)
    first.crash()
    try:
        first.poll('r1', 0)
    except errors.UpstreamError as exc:
        assert exc.verdict is errors.Verdict.MAY_HAVE_RUN
    else:
        raise AssertionError('a crashed engine kept the request')


@behave.when('the request resumes at the second engine')
def resume(context):
    so_far = prompt.Message('assistant', text(context.tokens))
    resumed = completion.Request(
        'r1',
        'gecko',
        (*context.request.messages, so_far),
        max_tokens=20,
        resume_offset=len(context.tokens),
    )
    context.engines[1].submit(resumed)
    run(context, context.engines[1])
    context.tokens += context.engines[1].poll('r1', len(context.tokens))


@behave.then('both parts together are the whole answer')
def whole(context):
    assert text(context.tokens) == completion.full_text(context.request)
    assert [token.offset for token in context.tokens] == list(range(21))
    assert context.tokens[-1].finish_reason == 'length'


@behave.when('a chat of {words:d} words returns to the first engine')
def returning(context, words):
    first = context.engines[0]
    long_text = ' '.join(f'word{number}' for number in range(words))
    first.submit(request('r1', long_text, 'c'))
    run(context, first)
    said = prompt.Message('assistant', text(first.poll('r1', 0)))
    context.turns = (prompt.Message('user', long_text), said)
    first.submit(request('r2', 'and now', 'c', turns=context.turns))
    run(context, first)
    context.tokens = first.poll('r2', 0)


@behave.then(
    'at least {count:d} prompt tokens of the second turn were cached',
)
def cached(context, count):
    assert context.tokens[-1].usage.cached_tokens >= count


@behave.when('other chats fill the cache of the first engine')
def fill(context):
    for number in range(4):
        words = ' '.join(f'{number}-{word}' for word in range(400))
        context.engines[0].submit(request(f'f{number}', words, f'o{number}'))
        run(context, context.engines[0])


@behave.then('none of the prompt of the chat is cached')
def evicted(context):
    again = request('r3', 'and now', 'c', turns=context.turns)
    context.engines[0].submit(again)
    run(context, context.engines[0])
    tokens = context.engines[0].poll('r3', 0)
    assert tokens[-1].usage.cached_tokens == 0


@behave.then('the cache events name the eviction')
def eviction_event(context):
    events = context.engines[0].events(0).events
    assert ('evicted', 'c') in {(event.kind, event.chat) for event in events}


@behave.when('1 request runs on the first engine and {count:d} on the second')
def batches(context, count):
    context.engines[0].submit(request('r0', 'hello'))
    for number in range(count):
        context.engines[1].submit(request(f'r{number}', 'hello'))
    for server in context.engines:
        run(context, server)


@behave.then('the time between tokens is larger on the second engine')
def slower(context):
    gaps = []
    for server in context.engines:
        tokens = server.poll('r0', 0)
        gaps.append(tokens[11].at - tokens[10].at)
    assert gaps[1] > gaps[0] * 2


@behave.when(
    'the first engine is ordered to load a version during a request',
)
def order_load(context):
    first = context.engines[0]
    first.submit(request('r1', 'hello'))
    context.order = port.Order('o1', 1, 'load-model', 'gecko/2')
    assert not first.order(context.order).repeated


@behave.then('a new request is refused as not run')
def refused(context):
    try:
        context.engines[0].submit(request('r2', 'hello'))
    except errors.RefusedError as exc:
        assert exc.problem.verdict == 'not run'
    else:
        raise AssertionError('a loading engine took a request')


@behave.then('the running request ends and the version is loaded afterwards')
def loaded(context):
    first = context.engines[0]
    assert first.state().version == '1'
    run(context, first)
    assert len(first.poll('r1', 0)) == 21
    assert first.state().version == '2'


@behave.then('the same order again changes nothing')
def same_order(context):
    assert context.engines[0].order(context.order).repeated
    assert not context.engines[0].loading
    try:
        context.engines[0].order(port.Order('o2', 0, 'role', 'prefill'))
    except errors.RefusedError as exc:
        assert exc.problem.type == port.STALE_FENCING
    else:
        raise AssertionError('an old fencing token was accepted')
    assert len(context.engines[0].executed_orders) == 1


@behave.given('an engine server')
def engine_http(context):
    speed = batch.Cfg(token_s=0.001)
    cfg = engine.Cfg('e1', 'gecko', speed=speed)
    server, context.engine = engine_server.server(cfg, '127.0.0.1:0', 4)
    threading.Thread(target=server.serve, daemon=True).start()
    context.add_cleanup(server.stop)
    context.url = 'http://127.0.0.1:{}'.format(server.bind_addr[1])
    context.pool = urllib3.PoolManager(retries=False, timeout=5)


def post(context, name, offset=0):
    return context.pool.request(
        'POST',
        f'{context.url}/v1/chat/completions',
        json={
            'model': 'gecko',
            'messages': [{'role': 'user', 'content': 'hello'}],
            'stream': True,
            'max_tokens': 20,
        },
        headers={'X-Request-Id': name, 'X-Resume-Offset': str(offset)},
    )


def parse(response):
    assert response.status == 200, response.data
    lines = [line for line in response.data.decode().split('\n\n') if line]
    assert lines[-1] == 'data: [DONE]'
    return [json.loads(line.removeprefix('data: ')) for line in lines[:-1]]


@behave.when('a request is streamed over HTTP')
def streamed(context):
    context.events = parse(post(context, 'r1'))


@behave.then(
    'the events carry its id and consecutive offsets and end with DONE',
)
def events_in_order(context):
    assert {event['id'] for event in context.events} == {'r1'}
    assert [event['offset'] for event in context.events] == list(range(21))
    assert context.events[-1]['choices'][0]['finish_reason'] == 'length'
    assert context.events[-1]['usage']['completion_tokens'] == 20


@behave.when('the request resumes over HTTP at offset {offset:d}')
def resumes_http(context, offset):
    context.resumed = parse(post(context, 'r2', offset))


@behave.then('the events start at offset {offset:d} with the same text')
def same_text(context, offset):
    before = [event['choices'] for event in context.events[offset:]]
    assert [event['choices'] for event in context.resumed] == before


def switch(context, **switches):
    url = f'{context.url}/faults'
    assert context.pool.request('PUT', url, json=switches).status == 200


@behave.when('the engine is marked as leaving over HTTP')
def leaving(context):
    switch(context, leaving=True)


@behave.then('a new HTTP request gets 409 with the verdict not run')
def http_refused(context):
    response = post(context, 'r3')
    assert response.status == 409
    assert response.json()['verdict'] == 'not run'
    switch(context, leaving=False)


@behave.when('the next HTTP answer is dropped')
def drop_next(context):
    switch(context, drop_after=1)


@behave.then('the HTTP client sees a broken connection')
def broken(context):
    try:
        post(context, 'r4')
    except urllib3.exceptions.ProtocolError:
        return
    raise AssertionError('the dropped answer arrived')
