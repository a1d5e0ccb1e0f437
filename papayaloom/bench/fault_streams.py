"""Cells of the fault matrix for the answer stream of an engine."""

import random
import types
import typing

import msgspec

from papayaloom import clock, errors, ids
from papayaloom.bench import fault_testbed
from papayaloom.request import chat, core_api, prompt
from papayaloom.standins import batch, completion, engine, engine_server

Fault = fault_testbed.Fault
_TOKEN_COUNT = 12
_PROMPT = 'tell me more'
_FAULT_INDEX = types.MappingProxyType(
    {'first byte': 0, 'stream': 5, 'finish': _TOKEN_COUNT}
)


def run(step: str, fault: Fault) -> str:
    """Stream an answer of 12 tokens with a fault at one event."""
    machine = _new_chat()
    virtual_clock = clock.VirtualClock(10)
    delivered = b''
    engine_names = iter(('engine-0', 'engine-1', 'engine-2'))
    fault_index: int | None = _FAULT_INDEX[step]
    now: float = 10
    next_step: typing.Any = machine.admit(now)
    while not isinstance(next_step, (chat.Finish, chat.Fail)):
        name = ids.EngineId(next(engine_names))
        attempt = machine.granted(
            core_api.Grant(1, name, f'http://{name}'), now
        )
        frames, exc = _stream_answer(
            attempt, name, virtual_clock, fault_index, fault
        )
        delivered += b''.join([machine.received(frame) for frame in frames])
        fault_index = None
        now += 1
        _, next_step = machine.ended(exc, now)
    return _describe_result(machine, next_step, delivered)


def _new_chat() -> chat.Chat:
    request_body = {
        'model': 'basking',
        'messages': [{'role': 'user', 'content': _PROMPT}],
        'max_tokens': _TOKEN_COUNT,
        'stream': True,
    }
    body = prompt.parse(msgspec.json.encode(request_body)).unwrap()
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


def _stream_answer(
    attempt: chat.Open,
    name: ids.EngineId,
    virtual_clock: clock.VirtualClock,
    fault_index: int | None,
    fault: Fault,
) -> tuple[list[bytes], errors.UpstreamError | None]:
    """Return the events of one engine and the error that ended its stream."""
    server = engine.Engine(
        engine.Cfg(name, ids.ModelId('basking'), speed=batch.Cfg()),
        virtual_clock,
    )
    body = msgspec.json.decode(attempt.completion.body)
    request = completion.Request(
        request=attempt.completion.request,
        model=ids.ModelId('basking'),
        messages=msgspec.convert(body['messages'], tuple[prompt.Message, ...]),
        max_tokens=_TOKEN_COUNT,
        resume_offset=attempt.completion.offset,
    )
    server.submit(request)
    while server.next_at() is not None:
        virtual_clock.advance(0.1)
        server.advance()
    tokens = server.poll(request.request, attempt.completion.offset)
    frames = [
        engine_server.encode_event(token, request.request) for token in tokens
    ]
    end_frame = b'data: [DONE]\n\n'
    if fault_index is None:
        return [*frames, end_frame], None
    if fault is Fault.DUPLICATED:
        return [
            *frames[:fault_index],
            frames[fault_index],
            *frames[fault_index:],
            end_frame,
        ], None
    if fault is Fault.MISDELIVERED:
        foreign_frame = engine_server.encode_event(tokens[fault_index], 'up-2')
        return [
            *frames[:fault_index],
            foreign_frame,
            *frames[fault_index:],
            end_frame,
        ], None
    kept_count = fault_index + int(fault is Fault.LOST_AFTER)
    stream_error = errors.UpstreamError(
        'the connection was lost during the stream',
        errors.Verdict.MAY_HAVE_RUN,
        crashed=fault is Fault.CRASHED,
    )
    return frames[:kept_count], stream_error


def _describe_result(
    machine: chat.Chat, final_step: typing.Any, delivered: bytes
) -> str:
    if isinstance(final_step, chat.Fail):
        return f'{final_step.problem.status} "{final_step.problem.verdict}"'
    expected = completion.full_text(
        completion.Request(
            ids.RequestId('x'),
            ids.ModelId('basking'),
            (prompt.Message('user', _PROMPT),),
            max_tokens=_TOKEN_COUNT,
        )
    )
    answer_body = delivered + machine.answer.closing
    events = [line for line in answer_body.split(b'\n\n') if line]
    texts = []
    for line in events[:-1]:
        event = msgspec.json.decode(line.removeprefix(b'data: '))
        if event['id'] != 'caller-1':
            raise AssertionError(
                'P2: an event of another request was delivered'
            )
        texts.append(event['choices'][0]['delta'].get('content', ''))
    if ''.join(texts) != expected:
        raise AssertionError('P2: the delivered answer is incomplete or wrong')
    if len(machine.tries) == 1:
        return 'the whole answer; the wrong event is dropped'
    offset = machine.tries[-1].offset
    return f'the whole answer, resumed at token {offset} at another engine'
