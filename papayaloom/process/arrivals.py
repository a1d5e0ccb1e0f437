"""What happens to a request before its first step: checks and its record."""

import random
import typing
import uuid

import msgspec
import result
from cheroot import errors as cheroot_errors

from papayaloom import clock, errors, ids
from papayaloom.ports import engine, service
from papayaloom.process import records, request_cfg, watch
from papayaloom.request import arrival, chat, calls, deadline, desk, record

# Key of the caller's socket in the WSGI environment; see http_front.Gateway.
SOCKET = 'papayaloom.socket'


class Parts(msgspec.Struct, frozen=True):
    """What the front works with.

    :param sleep: waits for a number of seconds.
    :param router: this router's id, for the records.
    """

    office: desk.Desk
    engines: engine.Engines
    services: service.Services
    clock: clock.Clock
    rng: random.Random
    kept: records.Records
    watch: watch.Watch
    sleep: typing.Callable[[float], None]
    router: ids.RouterId = ids.RouterId('')


class SlowBodyError(TimeoutError):
    """The caller did not send its body in time; nothing ran."""


class Arrived(msgspec.Struct):
    """A request of a known organisation.

    :param problem: what ended an answer that had begun.
    """

    headers: arrival.Headers
    settings: desk.Settings
    entry: record.Record
    at: float
    deadline: float
    body: bytes
    caller_fd: int
    problem: errors.Problem | None = None


def accept(parts: Parts, environ: arrival.Environ, kind: str) -> Arrived:
    """Check what chats and calls have in common.

    :raises papayaloom.errors.RefusedError: nothing ran, nothing is recorded.
    """
    now = parts.clock.monotonic()
    if not parts.office.accepting():
        raise errors.RefusedError(
            errors.Problem('the router is stopping', 503, retry_after_s=1)
        )
    org = parts.office.organisation(arrival.bearer(environ))
    if org is None:
        raise errors.RefusedError(
            errors.Problem(
                'unknown key', 401, setting='organisation.key_hashes'
            )
        )
    headers = arrival.headers(environ, uuid.uuid4().hex)
    settings = parts.office.settings()
    limits = request_cfg.deadlines(settings, org)
    until = deadline.parse(headers.deadline_ms, limits, now)
    if isinstance(until, result.Err):
        raise arrival.refused('X-Deadline-Ms', until.err_value)
    entry = record.Record(
        request_id=headers.request_id,
        # Ids of callers may collide, so engines get an id of the router's.
        upstream_id=ids.RequestId(
            f'{headers.request_id}-{uuid.uuid4().hex[:12]}'
        ),
        kind=kind,
        organisation=org,
        router=parts.router,
        started_unix_ms=parts.clock.unix_ms(),
        settings_version=settings.version,
    )
    return Arrived(
        headers=headers,
        settings=settings,
        entry=entry,
        at=now,
        deadline=until.ok_value,
        body=read_body(environ),
        caller_fd=_descriptor(environ),
    )


def read_body(environ: arrival.Environ) -> bytes:
    """Read the whole body.

    :raises papayaloom.errors.RefusedError: it is cut off, malformed or too
        long.
    :raises SlowBodyError: it did not arrive in time.
    """
    try:
        content = environ['wsgi.input'].read()
    except cheroot_errors.MaxSizeExceeded as exc:
        raise arrival.refused('body', 'too long', 413) from exc
    except ValueError as exc:
        raise arrival.refused('body', 'malformed chunks') from exc
    except TimeoutError as exc:
        raise SlowBodyError('timed out') from exc
    length = environ.get('CONTENT_LENGTH', '')
    if length and len(content) != int(length):
        raise arrival.refused('body', 'cut off')
    return bytes(content)


def chat_machine(parts: Parts, req: Arrived, body: typing.Any) -> chat.Chat:
    """Return the state machine of a chat request.

    :param body: from :func:`papayaloom.request.prompt.parse`.
    """
    entry = req.entry
    entry.target = f'models/{body.model}'
    entry.subject = req.headers.chat
    facts = chat.Facts(
        request_id=entry.request_id,
        upstream_id=entry.upstream_id,
        organisation=entry.organisation,
        chat=req.headers.chat,
        priority=req.headers.priority,
        arrived=req.at,
        deadline=req.deadline,
        fingerprint=arrival.fingerprint(
            entry.organisation, entry.target, req.body
        ),
        body=body,
    )
    return chat.Chat(
        facts,
        request_cfg.chats(req.settings, entry.target),
        parts.rng,
        lambda upstream: parts.office.may_retry(upstream, entry.target),
    )


def call_machine(
    parts: Parts, req: Arrived, environ: arrival.Environ
) -> calls.Call:
    """Return the state machine of a service call."""
    entry = req.entry
    name, path = arrival.service_path(environ['REQUEST_URI'])
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
        headers=_passed(environ),
        body=req.body,
        key=req.headers.key,
        repeatable=req.headers.repeatable,
        arrived=req.at,
        deadline=req.deadline,
        fingerprint=arrival.fingerprint(
            entry.organisation,
            entry.target,
            method.encode(),
            path.encode(),
            req.body,
        ),
    )
    return calls.Call(
        facts,
        request_cfg.service_calls(req.settings, entry.target),
        parts.rng,
        lambda upstream: parts.office.may_retry(upstream, entry.target),
    )


def _passed(environ: arrival.Environ) -> dict[str, str]:
    found = {}
    for name in service.PASSED_HEADERS:
        key = name.upper().replace('-', '_')
        text = environ.get(key, environ.get(f'HTTP_{key}'))
        if text:
            found[name] = text
    return found


def _descriptor(environ: arrival.Environ) -> int:
    sock = environ.get(SOCKET)
    return -1 if sock is None else sock.fileno()
