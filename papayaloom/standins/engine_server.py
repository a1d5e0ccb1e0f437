"""HTTP server for the engine stand-in.

The protocol is described in :mod:`papayaloom.ports.engine`.
"""

import threading
import time
import typing

import cheroot.wsgi
import msgspec

from papayaloom import clock, errors, ids
from papayaloom.ports import engine as port
from papayaloom.request import prompt
from papayaloom.standins import completion, engine, wsgi

_POLL_INTERVAL_S = 0.5
_MAX_WAIT_S = 30
# A request without readers is cancelled after this time; a reader that
# reconnects earlier continues the same run.
_ABANDON_DELAY_S = 5


class _CompletionBody(msgspec.Struct):
    model: ids.ModelId
    messages: tuple[prompt.Message, ...]
    stream: bool = False
    max_tokens: int = 256


class _CacheBody(msgspec.Struct):
    blocks: tuple[int, ...]
    size: int = 0


class _EngineDriver:
    """Drives one engine and shares it between the server threads."""

    def __init__(self, shared: engine.Engine) -> None:
        self.engine = shared
        self.serving = True
        self.changed = threading.Condition()
        self._reader_counts: dict[ids.RequestId, int] = {}
        self._abandoned_at: dict[ids.RequestId, float] = {}

    def drive(self) -> None:
        """Advance the engine while the server runs."""
        while self.serving:
            with self.changed:
                self.engine.advance()
                self._cancel_abandoned()
                self.changed.notify_all()
                wait_s = _POLL_INTERVAL_S
                next_at = self.engine.next_at()
                if next_at is not None:
                    wait_s = max(next_at - time.monotonic(), 0)
                self.changed.wait(min(wait_s, _POLL_INTERVAL_S))

    def attach(self, req: completion.Request) -> None:
        """Submit a request and register a reader."""
        with self.changed:
            self.engine.submit(req)
            count = self._reader_counts.get(req.request, 0)
            self._reader_counts[req.request] = count + 1
            self._abandoned_at.pop(req.request, None)
            self.changed.notify_all()

    def detach(self, request: ids.RequestId) -> None:
        """Unregister a reader."""
        with self.changed:
            self._reader_counts[request] -= 1
            if not self._reader_counts[request]:
                self._reader_counts.pop(request)
                self._abandoned_at[request] = time.monotonic()

    def read(
        self,
        request: ids.RequestId,
        offset: int,
    ) -> list[completion.Token]:
        """Wait for the tokens of a request from an offset."""
        with self.changed:
            tokens = self.engine.poll(request, offset)
            while not tokens:
                self.changed.wait(_POLL_INTERVAL_S)
                tokens = self.engine.poll(request, offset)
            return tokens

    def _cancel_abandoned(self) -> None:
        cutoff = time.monotonic() - _ABANDON_DELAY_S
        for request, abandoned_at in tuple(self._abandoned_at.items()):
            if abandoned_at < cutoff:
                self._abandoned_at.pop(request)
                self.engine.cancel(request)


def encode_event(token: completion.Token, request: str) -> bytes:
    """Encode a token as a server-sent event of a request."""
    choice = {
        'index': 0,
        'delta': {'content': token.content},
        'finish_reason': token.finish_reason,
    }
    fields = {'id': request, 'offset': token.offset, 'choices': [choice]}
    if token.usage:
        fields['usage'] = token.usage
    return b'data: %b\n\n' % msgspec.json.encode(fields)


def _read_tokens(
    driver: _EngineDriver,
    req: completion.Request,
) -> typing.Iterator[completion.Token]:
    offset = req.resume_offset
    finished = False
    try:
        while not finished:
            tokens = driver.read(req.request, offset)
            yield from tokens
            offset = tokens[-1].offset + 1
            finished = tokens[-1].finish_reason is not None
    except errors.UpstreamError:
        wsgi.drop_connection()
    finally:
        driver.detach(req.request)


def _stream(
    driver: _EngineDriver, req: completion.Request
) -> typing.Iterator[bytes]:
    for token in _read_tokens(driver, req):
        is_crossed = driver.engine.faults.take('cross')
        yield encode_event(token, 'crossed' if is_crossed else req.request)
    yield b'data: [DONE]\n\n'


def _complete_reply(
    driver: _EngineDriver, req: completion.Request
) -> wsgi.Reply:
    tokens = list(_read_tokens(driver, req))
    message = {
        'role': 'assistant',
        'content': ''.join(token.content for token in tokens),
    }
    choice = {
        'index': 0,
        'message': message,
        'finish_reason': tokens[-1].finish_reason,
    }
    return wsgi.json_reply(
        {
            'id': req.request,
            'choices': [choice],
            'usage': tokens[-1].usage,
        }
    )


def _complete(driver: _EngineDriver, call: wsgi.Call) -> wsgi.Reply:
    body = msgspec.json.decode(call.body, type=_CompletionBody)
    req = completion.Request(
        request=ids.RequestId(call.headers.get('x-request-id', '')),
        model=body.model,
        messages=body.messages,
        chat=ids.ChatId(call.headers.get('x-chat-id', '')),
        priority=call.number('x-priority'),
        max_tokens=body.max_tokens,
        resume_offset=call.number('x-resume-offset'),
    )
    if not req.request:
        return wsgi.refuse(400, 'the header X-Request-Id is missing')
    driver.attach(req)
    if body.stream:
        return wsgi.Reply(
            content_type='text/event-stream',
            stream=_stream(driver, req),
        )
    return _complete_reply(driver, req)


def _cache_events(driver: _EngineDriver, call: wsgi.Call) -> wsgi.Reply:
    after = int(call.query.get('after', 0))
    wait_s = min(int(call.query.get('wait_ms', 0)) / 1000, _MAX_WAIT_S)
    deadline = time.monotonic() + wait_s
    with driver.changed:
        events = driver.engine.events(after)
        while not events.events and time.monotonic() < deadline:
            driver.changed.wait(deadline - time.monotonic())
            events = driver.engine.events(after)
    return wsgi.json_reply(events)


def _cache(driver: _EngineDriver, call: wsgi.Call) -> wsgi.Reply:
    chat = ids.ChatId(call.path[-1])
    with driver.changed:
        if call.method == 'PUT':
            body = msgspec.msgpack.decode(call.body, type=_CacheBody)
            driver.engine.cache.store(chat, body.blocks)
            return wsgi.Reply(204)
        blocks = driver.engine.cache.export(chat)
    if not blocks:
        return wsgi.refuse(404, f'chat {chat!r} is not cached')
    tokens = len(blocks) * prompt.BLOCK_TOKENS
    size = tokens * driver.engine.cfg.cache_token_bytes
    content = msgspec.msgpack.encode(_CacheBody(blocks, size))
    return wsgi.Reply(200, content, 'application/octet-stream')


def _order(driver: _EngineDriver, call: wsgi.Call) -> wsgi.Reply:
    order = msgspec.json.decode(call.body, type=port.Order)
    with driver.changed:
        reply = driver.engine.order(order)
        driver.changed.notify_all()
    return wsgi.json_reply(reply)


def _cancel(driver: _EngineDriver, call: wsgi.Call) -> wsgi.Reply:
    with driver.changed:
        driver.engine.cancel(ids.RequestId(call.path[-1]))
        driver.changed.notify_all()
    return wsgi.Reply(204)


def _health(driver: _EngineDriver, call: wsgi.Call) -> wsgi.Reply:
    with driver.changed:
        driver.engine.advance()
        busy = driver.engine.loading or driver.engine.faults.leaving
    return wsgi.Reply(503 if busy else 200)


def _state(driver: _EngineDriver, call: wsgi.Call) -> wsgi.Reply:
    with driver.changed:
        return wsgi.json_reply(driver.engine.state())


_ROUTES: typing.Final = (
    ('POST', 'chat', _complete),
    ('DELETE', 'requests', _cancel),
    ('GET', 'state', _state),
    ('GET', 'events', _cache_events),
    ('GET', 'cache', _cache),
    ('PUT', 'cache', _cache),
    ('POST', 'orders', _order),
    ('GET', 'health', _health),
)


def server(
    cfg: engine.Cfg,
    address: str,
    threads: int = 128,
) -> tuple[cheroot.wsgi.Server, engine.Engine]:
    """Return a bound server and its engine, whose driver thread is running.

    :param address: ``host:port``; port 0 picks a free one.
    :param threads: size of the thread pool; every open stream holds one.
    """
    driver = _EngineDriver(engine.Engine(cfg, clock.SystemClock()))

    def handle(call: wsgi.Call) -> wsgi.Reply:
        for method, segment, route in _ROUTES:
            if segment in call.path[:2] and call.method == method:
                return route(driver, call)
        return wsgi.refuse(404, 'no such resource')

    http_server = wsgi.server(address, handle, driver.engine.faults, threads)
    threading.Thread(target=driver.drive, daemon=True).start()
    return http_server, driver.engine
