"""Cells of the fault matrix about the answer of an engine."""

import random
import types
import typing

import msgspec

from papayaloom import clock, errors, ids
from papayaloom.bench import fault_world
from papayaloom.request import chat, core_api, prompt
from papayaloom.standins import batch, completion, engine, engine_server

Fault = fault_world.Fault
_TOKENS = 12
_QUESTION = 'tell me more'
_STRUCK = types.MappingProxyType(
    {'first byte': 0, 'stream': 5, 'finish': _TOKENS}
)


def run(step: str, fault: Fault) -> str:
    """Run one cell: an answer of 12 tokens, with a fault at one event."""
    machine = _chat()
    ticks = clock.VirtualClock(10)
    delivered = b''
    names = iter(('engine-0', 'engine-1', 'engine-2'))
    strike: int | None = _STRUCK[step]
    now: float = 10
    following: typing.Any = machine.admit(now)
    while not isinstance(following, (chat.Finish, chat.Fail)):
        name = ids.EngineId(next(names))
        opened = machine.granted(core_api.Grant(1, name, f'http://{name}'), now)
        frames, exc = _answer(opened, name, ticks, strike, fault)
        delivered += b''.join([machine.received(frame) for frame in frames])
        strike = None
        now += 1
        _, following = machine.ended(exc, now)
    return _told(machine, following, delivered)


def _chat() -> chat.Chat:
    asked = {
        'model': 'basking',
        'messages': [{'role': 'user', 'content': _QUESTION}],
        'max_tokens': _TOKENS,
        'stream': True,
    }
    body = prompt.parse(msgspec.json.encode(asked)).unwrap()
    facts = chat.Facts(
        request_id=ids.RequestId('caller-1'),
        upstream_id=ids.RequestId('up-1'),
        organisation=ids.OrgId('house'),
        chat=ids.ChatId('c'),
        priority=0,
        arrived=10,
        deadline=70,
        fingerprint=ids.Fingerprint('f'),
        body=body,
    )
    return chat.Chat(facts, chat.Cfg(), random.Random(1), lambda name: True)


def _answer(
    opened: chat.Open,
    name: ids.EngineId,
    ticks: clock.VirtualClock,
    strike: int | None,
    fault: Fault,
) -> tuple[list[bytes], errors.UpstreamError | None]:
    """Return the events of one engine, and what broke its stream."""
    server = engine.Engine(
        engine.Cfg(name, ids.ModelId('basking'), speed=batch.Cfg()), ticks
    )
    body = msgspec.json.decode(opened.completion.body)
    request = completion.Request(
        request=opened.completion.request,
        model=ids.ModelId('basking'),
        messages=msgspec.convert(body['messages'], tuple[prompt.Message, ...]),
        max_tokens=_TOKENS,
        resume_offset=opened.completion.offset,
    )
    server.submit(request)
    while server.next_at() is not None:
        ticks.advance(0.1)
        server.advance()
    tokens = server.poll(request.request, opened.completion.offset)
    frames = [engine_server.event(one, request.request) for one in tokens]
    end = b'data: [DONE]\n\n'
    if strike is None:
        return [*frames, end], None
    if fault is Fault.DOUBLED:
        return [*frames[:strike], frames[strike], *frames[strike:], end], None
    if fault is Fault.CROSSED:
        foreign = engine_server.event(tokens[strike], 'up-2')
        return [*frames[:strike], foreign, *frames[strike:], end], None
    kept = strike + int(fault is Fault.LOST_AFTER)
    broken = errors.UpstreamError(
        'the stream broke',
        errors.Verdict.MAY_HAVE_RUN,
        crashed=fault is Fault.CRASHED,
    )
    return frames[:kept], broken


def _told(machine: chat.Chat, last: typing.Any, delivered: bytes) -> str:
    if isinstance(last, chat.Fail):
        return f'{last.problem.status} "{last.problem.verdict}"'
    wanted = completion.full_text(
        completion.Request(
            ids.RequestId('x'),
            ids.ModelId('basking'),
            (prompt.Message('user', _QUESTION),),
            max_tokens=_TOKENS,
        )
    )
    whole = delivered + machine.answer.closing
    events = [line for line in whole.split(b'\n\n') if line]
    texts = []
    for line in events[:-1]:
        event = msgspec.json.decode(line.removeprefix(b'data: '))
        if event['id'] != 'caller-1':
            raise AssertionError('P2: an event of another request')
        texts.append(event['choices'][0]['delta'].get('content', ''))
    if ''.join(texts) != wanted:
        raise AssertionError('P2: the answer is not the whole one')
    if len(machine.tries) == 1:
        return 'the whole answer; the wrong event is dropped'
    offset = machine.tries[-1].offset
    return f'the whole answer, resumed at token {offset} at another engine'
