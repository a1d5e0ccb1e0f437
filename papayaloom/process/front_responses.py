"""Responses of the router to its callers: documents, headers, problems."""

import math
import typing

from papayaloom import errors
from papayaloom.connection import ingress
from papayaloom.process import incoming_request
from papayaloom.request import chat, prompt

_PROBLEM_CONTENT_TYPE = 'application/problem+json'
Headers = list[tuple[str, str]]
StartResponse = typing.Callable[[str, Headers], typing.Any]


def completion_document(machine: chat.Chat) -> dict[str, object]:
    answer = machine.answer
    prompt_tokens = answer.usage.prompt_tokens or prompt.estimate_tokens(
        machine.facts.body.prompt
    )
    return {
        'id': machine.facts.request_id,
        'object': 'chat.completion',
        'model': machine.facts.body.model,
        'choices': [
            {
                'index': 0,
                'message': {'role': 'assistant', 'content': answer.text},
                'finish_reason': answer.finish_reason,
            }
        ],
        'usage': {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': answer.next_offset,
        },
    }


def metadata_headers(
    req: incoming_request.IncomingRequest, verdict: str
) -> Headers:
    return [
        ('X-Request-Id', req.entry.request_id),
        ('X-Settings-Version', str(req.entry.settings_version)),
        ('X-Verdict', verdict),
    ]


def status_text(status: int) -> str:
    return ingress.status_line(status).decode()


def respond(
    status: int,
    kind: str,
    content: bytes,
    headers: Headers,
    start_response: StartResponse,
) -> list[bytes]:
    start_response(
        status_text(status),
        [
            ('Content-Type', kind),
            ('Content-Length', str(len(content))),
            *headers,
        ],
    )
    return [content]


def respond_with_problem(
    problem: errors.Problem, start_response: StartResponse
) -> list[bytes]:
    headers = [('X-Verdict', problem.verdict)]
    if problem.request_id:
        headers.append(('X-Request-Id', problem.request_id))
    if problem.settings_version:
        headers.append(('X-Settings-Version', str(problem.settings_version)))
    if problem.retry_after_s:
        seconds = math.ceil(problem.retry_after_s)
        headers.append(('Retry-After', str(seconds)))
    if problem.status == 401:
        headers.append(('WWW-Authenticate', 'Bearer'))
    return respond(
        problem.status,
        _PROBLEM_CONTENT_TYPE,
        problem.encode(),
        headers,
        start_response,
    )
