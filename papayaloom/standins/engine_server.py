"""HTTP server around the engine stand-in.

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

_IDLE_S = 0.5
_LONGEST_WAIT_S = 30
# A reader that reconnects within this time resumes the same run.
_ABANDON_S = 5


class _Body(msgspec.Struct):
    model: ids.ModelId
    messages: tuple[prompt.Message, ...]
    stream: bool = False
    max_tokens: int = 256


class _CacheBody(msgspec.Struct):
    blocks: tuple[int, ...]
    size: int = 0


class _Host:
    """Shares one engine between the threads of a server."""

    def __init__(self, shared: engine.Engine) -> None:
        self.engine = shared
        self.serving = True
        self.changed = threading.Condition()
        self._readers: dict[ids.RequestId, int] = {}
        self._left_at: dict[ids.RequestId, float] = {}

    def drive(self) -> None:
        """Advance the engine while the server runs."""
        while self.serving:
            with self.changed:
                self.engine.advance()
                self._cancel_abandoned()
                self.changed.notify_all()
                wait_s = _IDLE_S
                next_at = self.engine.next_at()
                if next_at is not None:
                    wait_s = max(next_at - time.monotonic(), 0)
                self.changed.wait(min(wait_s, _IDLE_S))

    def attach(self, req: completion.Request) -> None:
        """Submit a request and count its reader."""
        with self.changed:
            self.engine.submit(req)
            count = self._readers.get(req.request, 0)
            self._readers[req.request] = count + 1
            self._left_at.pop(req.request, None)
            self.changed.notify_all()

    def detach(self, request: ids.RequestId) -> None:
        """Note that a reader is gone."""
        with self.changed:
            self._readers[request] -= 1
            if not self._readers[request]:
                self._readers.pop(request)
                self._left_at[request] = time.monotonic()

    def read(
        self,
        request: ids.RequestId,
        offset: int,
    ) -> list[completion.Token]:
        """Wait for the tokens of a request from an offset on."""
        with self.changed:
            tokens = self.engine.poll(request, offset)
            while not tokens:
                self.changed.wait(_IDLE_S)
                tokens = self.engine.poll(request, offset)
            return tokens

    def _cancel_abandoned(self) -> None:
        oldest = time.monotonic() - _ABANDON_S
        for request, left_at in tuple(self._left_at.items()):
            if left_at < oldest:
                self._left_at.pop(request)
                self.engine.cancel(request)


def event(token: completion.Token, request: str) -> bytes:
    """Return a token as an event of the stream of a request."""
    choice = {
        'index': 0,
        'delta': {'content': token.content},
        'finish_reason': token.finish_reason,
    }
    fields = {'id': request, 'offset': token.offset, 'choices': [choice]}
    if token.usage:
        fields['usage'] = token.usage
    return b'data: %b\n\n' % msgspec.json.encode(fields)


def _tokens(
    host: _Host,
    req: completion.Request,
) -> typing.Iterator[completion.Token]:
    offset = req.resume_offset
    finished = False
    try:
        while not finished:
            tokens = host.read(req.request, offset)
            yield from tokens
            offset = tokens[-1].offset + 1
            finished = tokens[-1].finish_reason is not None
    except errors.UpstreamError:
        wsgi.drop_connection()
    finally:
        host.detach(req.request)


def _stream(host: _Host, req: completion.Request) -> typing.Iterator[bytes]:
    for token in _tokens(host, req):
        crossed = host.engine.faults.take('cross')
        yield event(token, 'crossed' if crossed else req.request)
    yield b'data: [DONE]\n\n'


def _whole(host: _Host, req: completion.Request) -> wsgi.Reply:
    tokens = list(_tokens(host, req))
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


def _complete(host: _Host, call: wsgi.Call) -> wsgi.Reply:
    body = msgspec.json.decode(call.body, type=_Body)
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
    host.attach(req)
    if body.stream:
        return wsgi.Reply(
            content_type='text/event-stream',
            stream=_stream(host, req),
        )
    return _whole(host, req)


def _events(host: _Host, call: wsgi.Call) -> wsgi.Reply:
    after = int(call.query.get('after', 0))
    wait_s = min(int(call.query.get('wait_ms', 0)) / 1000, _LONGEST_WAIT_S)
    until = time.monotonic() + wait_s
    with host.changed:
        events = host.engine.events(after)
        while not events.events and time.monotonic() < until:
            host.changed.wait(until - time.monotonic())
            events = host.engine.events(after)
    return wsgi.json_reply(events)


def _cache(host: _Host, call: wsgi.Call) -> wsgi.Reply:
    chat = ids.ChatId(call.path[-1])
    with host.changed:
        if call.method == 'PUT':
            body = msgspec.msgpack.decode(call.body, type=_CacheBody)
            host.engine.cache.store(chat, body.blocks)
            return wsgi.Reply(204)
        blocks = host.engine.cache.export(chat)
    if not blocks:
        return wsgi.refuse(404, f'chat {chat!r} is not cached')
    tokens = len(blocks) * prompt.BLOCK_TOKENS
    size = tokens * host.engine.cfg.cache_token_bytes
    content = msgspec.msgpack.encode(_CacheBody(blocks, size))
    return wsgi.Reply(200, content, 'application/octet-stream')


def _order(host: _Host, call: wsgi.Call) -> wsgi.Reply:
    order = msgspec.json.decode(call.body, type=port.Order)
    with host.changed:
        reply = host.engine.order(order)
        host.changed.notify_all()
    return wsgi.json_reply(reply)


def _cancel(host: _Host, call: wsgi.Call) -> wsgi.Reply:
    with host.changed:
        host.engine.cancel(ids.RequestId(call.path[-1]))
        host.changed.notify_all()
    return wsgi.Reply(204)


def _health(host: _Host, call: wsgi.Call) -> wsgi.Reply:
    with host.changed:
        host.engine.advance()
        busy = host.engine.loading or host.engine.faults.leaving
    return wsgi.Reply(503 if busy else 200)


def _state(host: _Host, call: wsgi.Call) -> wsgi.Reply:
    with host.changed:
        return wsgi.json_reply(host.engine.state())


_ROUTES: typing.Final = (
    ('POST', 'chat', _complete),
    ('DELETE', 'requests', _cancel),
    ('GET', 'state', _state),
    ('GET', 'events', _events),
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
    """Return a bound server and its engine, whose driver thread runs.

    :param address: ``host:port``; port 0 picks a free one.
    :param threads: one for every stream at the same time, and a few more.
    """
    host = _Host(engine.Engine(cfg, clock.SystemClock()))

    def handle(call: wsgi.Call) -> wsgi.Reply:
        for method, segment, route in _ROUTES:
            if segment in call.path[:2] and call.method == method:
                return route(host, call)
        return wsgi.refuse(404, 'no such resource')

    bound = wsgi.server(address, handle, host.engine.faults, threads)
    threading.Thread(target=host.drive, daemon=True).start()
    return bound, host.engine
