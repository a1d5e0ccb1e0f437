"""Validates an incoming request and creates its record and state machine."""

import random
import typing
import uuid

import msgspec
import result

from papayaloom import clock, errors, ids
from papayaloom.connection import buffer_budget, ingress, message_parser
from papayaloom.ports import engine, service
from papayaloom.process import records, request_cfg, request_monitor
from papayaloom.request import (
    calls,
    chat,
    core_api,
    deadline,
    record,
    request_headers,
)

# WSGI environment key of the caller's socket, set by http_front.Gateway.
SOCKET = 'papayaloom.socket'


class Dependencies(msgspec.Struct, frozen=True):
    """Collaborators of the HTTP front.

    :param sleep: blocks for a number of seconds.
    :param router: id of this router, for the request records.
    """

    core_client: core_api.CoreApi
    engines: engine.Engines
    services: service.Services
    clock: clock.Clock
    rng: random.Random
    records: records.Records
    monitor: request_monitor.RequestMonitor
    sleep: typing.Callable[[float], None]
    router: ids.RouterId = ids.RouterId('')


class SlowBodyError(TimeoutError):
    """The request body did not arrive in time; nothing was executed."""


class IncomingRequest(msgspec.Struct):
    """An authenticated request.

    :param entry: the request's record.
    :param at: when the request arrived, in monotonic time.
    :param problem: error that ended an answer after it had begun.
    """

    headers: request_headers.RequestHeaders
    settings: core_api.Settings
    entry: record.Record
    at: float
    deadline: float
    body: bytes
    caller_fd: int
    problem: errors.Problem | None = None


def accept(
    deps: Dependencies, environ: request_headers.Environ, kind: str
) -> IncomingRequest:
    """Authenticate a request and validate its headers and body.

    :raises papayaloom.errors.RefusedError: the request was refused; nothing
        was executed or recorded.
    """
    now = deps.clock.monotonic()
    if not deps.core_client.is_accepting():
        raise errors.RefusedError(
            errors.Problem('the router is stopping', 503, retry_after_s=1)
        )
    org = deps.core_client.organisation(request_headers.bearer_token(environ))
    if org is None:
        raise errors.RefusedError(
            errors.Problem(
                'unknown key', 401, setting='organisation.key_hashes'
            )
        )
    headers = request_headers.parse(environ, uuid.uuid4().hex)
    settings = deps.core_client.settings()
    limits = request_cfg.deadline_cfg(settings, org)
    parsed_deadline = deadline.parse(headers.deadline_ms, limits, now)
    if isinstance(parsed_deadline, result.Err):
        raise request_headers.malformed_request(
            'X-Deadline-Ms', parsed_deadline.err_value
        )
    entry = record.Record(
        request_id=headers.request_id,
        # Caller-chosen ids may collide, so the router generates the id that
        # upstreams get.
        upstream_id=ids.RequestId(
            f'{headers.request_id}-{uuid.uuid4().hex[:12]}'
        ),
        kind=kind,
        organisation=org,
        router=deps.router,
        started_unix_ms=deps.clock.unix_ms(),
        settings_version=settings.version,
    )
    return IncomingRequest(
        headers=headers,
        settings=settings,
        entry=entry,
        at=now,
        deadline=parsed_deadline.ok_value,
        body=read_body(environ),
        caller_fd=_caller_fd(environ),
    )


def read_body(environ: request_headers.Environ) -> bytes:
    """Read the whole body.

    :raises papayaloom.errors.RefusedError: it is truncated, malformed or too
        long.
    :raises SlowBodyError: it did not arrive in time.
    """
    try:
        content = environ['wsgi.input'].read()
    except message_parser.MalformedMessageError as exc:
        raise request_headers.malformed_request(
            'body', str(exc), exc.status
        ) from exc
    except buffer_budget.BufferFullError as exc:
        raise errors.RefusedError(
            errors.Problem(str(exc), 503, retry_after_s=ingress.BODY_RETRY_S)
        ) from exc
    except TimeoutError as exc:
        raise SlowBodyError('timed out') from exc
    return bytes(content)


def chat_machine(
    deps: Dependencies, req: IncomingRequest, body: typing.Any
) -> chat.Chat:
    """Return the state machine of a chat request.

    :param body: parsed by :func:`papayaloom.request.prompt.parse`.
    """
    entry = req.entry
    entry.target = f'models/{body.model}'
    entry.subject = req.headers.chat
    priority_ceiling = req.settings.resolve(
        'organisation.priority_ceiling', org=entry.organisation
    )
    facts = chat.Facts(
        request_id=entry.request_id,
        upstream_id=entry.upstream_id,
        organisation=entry.organisation,
        chat=req.headers.chat,
        priority=min(req.headers.priority, priority_ceiling.value),
        arrived=req.at,
        deadline=req.deadline,
        fingerprint=request_headers.fingerprint(
            entry.organisation, entry.target, req.body
        ),
        body=body,
    )
    return chat.Chat(
        facts,
        request_cfg.chat_cfg(req.settings, entry.target),
        deps.rng,
        lambda upstream: deps.core_client.may_retry(upstream, entry.target),
    )


def call_machine(
    deps: Dependencies, req: IncomingRequest, environ: request_headers.Environ
) -> calls.Call:
    """Return the state machine of a service call."""
    entry = req.entry
    name, path = request_headers.service_path(environ['REQUEST_URI'])
    entry.target = f'services/{name}'
    method = environ['REQUEST_METHOD']
    entry.subject = f'{method} {path.partition("?")[0]}'
    facts = calls.Facts(
        request_id=entry.request_id,
        upstream_id=entry.upstream_id,
        organisation=entry.organisation,
        service=name,
        method=method,
        path=path,
        headers=_forwarded_headers(environ),
        body=req.body,
        key=req.headers.key,
        repeatable=req.headers.repeatable,
        arrived=req.at,
        deadline=req.deadline,
        fingerprint=request_headers.fingerprint(
            entry.organisation,
            entry.target,
            method.encode(),
            path.encode(),
            req.body,
        ),
    )
    return calls.Call(
        facts,
        request_cfg.service_call_cfg(req.settings, entry.target),
        deps.rng,
        lambda upstream: deps.core_client.may_retry(upstream, entry.target),
    )


def _forwarded_headers(environ: request_headers.Environ) -> dict[str, str]:
    forwarded = {}
    for name in service.PASSED_HEADERS:
        key = name.upper().replace('-', '_')
        text = environ.get(key, environ.get(f'HTTP_{key}'))
        if text:
            forwarded[name] = text
    return forwarded


def _caller_fd(environ: request_headers.Environ) -> int:
    sock = environ.get(SOCKET)
    return -1 if sock is None else sock.fileno()
