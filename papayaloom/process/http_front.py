"""HTTP interface of the router for callers.

:class:`Front` is the WSGI application; :class:`Server` is the cheroot server
for it, with limits on connections and request sizes.
"""

import collections
import math
import typing

import msgspec
import result
import structlog
from cheroot import wsgi

from papayaloom import errors
from papayaloom.connection import caller_connection, limited_server
from papayaloom.process import (
    front_responses,
    incoming_request,
    request_monitor,
    upstream_io,
)
from papayaloom.request import (
    chat,
    prompt,
    record,
    request_headers,
    stream_splicer,
)

_CALLER_GONE = errors.Problem(
    'the caller went away', 499, verdict=errors.Verdict.MAY_HAVE_RUN.value
)
_INTERNAL_ERROR = errors.Problem(
    'internal error', 500, verdict=errors.Verdict.MAY_HAVE_RUN.value
)
_log = structlog.get_logger('front')
Frames = typing.Iterator[bytes]


class Front:
    """WSGI application of the router."""

    def __init__(self, deps: incoming_request.Dependencies) -> None:
        """Create the request executor."""
        self.counts: collections.Counter[str] = collections.Counter()
        self._deps = deps
        self._executor = upstream_io.RequestExecutor(
            deps.core_client,
            deps.engines,
            deps.services,
            deps.clock,
            deps.monitor,
            deps.sleep,
        )

    def __call__(
        self,
        environ: request_headers.Environ,
        start_response: front_responses.StartResponse,
    ) -> typing.Iterable[bytes]:
        """Handle one request."""
        path = environ['PATH_INFO']
        is_post = environ['REQUEST_METHOD'] == 'POST'
        try:
            if path == '/v1/chat/completions' and is_post:
                return self._handle_chat(environ, start_response)
            if path.startswith('/services/'):
                return self._handle_call(environ, start_response)
            return self._handle_status(path, start_response)
        except errors.RefusedError as exc:
            self.counts[f'refused {exc.problem.status}'] += 1
            return front_responses.respond_with_problem(
                self._with_request_id(exc.problem, environ), start_response
            )
        except incoming_request.SlowBodyError:
            # The server answers 408 and closes the connection.
            raise
        except Exception:
            # The server would turn any TimeoutError into a 408 with the
            # verdict "not run", although the request may have been sent.
            self._count_internal_error(path)
            return front_responses.respond_with_problem(
                self._with_request_id(_INTERNAL_ERROR, environ), start_response
            )

    def dump(self) -> dict[str, object]:
        """Return a copy of the decision state and of the front's own state."""
        front = {
            'open_requests': len(self._deps.monitor),
            'dropped_cancels': self._deps.monitor.dropped_cancels,
            'counts': dict(self.counts),
        }
        state = msgspec.to_builtins(self._deps.core_client.dump())
        return {'router': self._deps.router, **state, 'front': front}

    def _handle_chat(
        self,
        environ: request_headers.Environ,
        start_response: front_responses.StartResponse,
    ) -> typing.Iterable[bytes]:
        req = incoming_request.accept(self._deps, environ, 'chat')
        body = prompt.parse(req.body)
        if isinstance(body, result.Err):
            raise self._record_refusal(
                req, request_headers.malformed_request('body', body.err_value)
            )
        machine = incoming_request.chat_machine(self._deps, req, body.ok_value)
        open_request = request_monitor.OpenRequest(req.deadline, req.caller_fd)
        self._deps.monitor.add(open_request)
        frames = self._executor.run_chat(machine, open_request)
        try:
            first = next(frames, b'')
        except Exception as exc:
            self._deps.monitor.remove(open_request)
            raise self._record_chat_failure(req, machine, exc) from exc
        req.entry.first_byte_s = self._deps.clock.monotonic() - req.at
        response_frames = self._stream_frames(
            first, frames, req, machine, open_request
        )
        if not body.ok_value.streaming:
            return self._buffered_response(
                response_frames, req, machine, start_response
            )
        start_response(
            front_responses.status_text(200),
            [
                ('Content-Type', 'text/event-stream'),
                ('Cache-Control', 'no-store'),
                *front_responses.metadata_headers(
                    req, errors.Verdict.RAN.value
                ),
            ],
        )
        return response_frames

    def _stream_frames(
        self,
        first: bytes,
        frames: Frames,
        req: incoming_request.IncomingRequest,
        machine: chat.Chat,
        open_request: request_monitor.OpenRequest,
    ) -> Frames:
        req.problem = _CALLER_GONE
        closing = b''
        try:
            yield first
            yield from frames
            req.problem = None
            closing = machine.answer.closing
        except errors.RefusedError as exc:
            req.problem = self._with_request_context(exc.problem, req)
            closing = stream_splicer.error_frame(req.problem)
        except upstream_io.CallerGoneError:
            self.counts['callers gone'] += 1
        finally:
            self._deps.monitor.remove(open_request)
            self._record_chat(req, machine)
        yield closing

    def _buffered_response(
        self,
        response_frames: Frames,
        req: incoming_request.IncomingRequest,
        machine: chat.Chat,
        start_response: front_responses.StartResponse,
    ) -> list[bytes]:
        # The frames are discarded: the state machine accumulates the text.
        collections.deque(response_frames, maxlen=0)
        if req.problem is not None:
            raise errors.RefusedError(req.problem)
        content = msgspec.json.encode(
            front_responses.completion_document(machine)
        )
        return front_responses.respond(
            200,
            'application/json',
            content,
            front_responses.metadata_headers(req, 'ran'),
            start_response,
        )

    def _handle_call(
        self,
        environ: request_headers.Environ,
        start_response: front_responses.StartResponse,
    ) -> typing.Iterable[bytes]:
        req = incoming_request.accept(self._deps, environ, 'call')
        try:
            machine = incoming_request.call_machine(self._deps, req, environ)
            finish = self._executor.run_call(machine)
        except errors.RefusedError as exc:
            raise self._record_refusal(req, exc) from exc
        req.entry.tries = machine.tries
        answer = finish.answer
        if isinstance(answer, errors.Problem):
            raise self._record_refusal(req, errors.RefusedError(answer))
        self._record_request(req, answer.status, machine.verdict.value)
        headers = front_responses.metadata_headers(req, machine.verdict.value)
        if finish.repeated:
            headers.append(('X-Repeated', 'yes'))
        return front_responses.respond(
            answer.status,
            answer.content_type or 'application/octet-stream',
            answer.body,
            headers,
            start_response,
        )

    def _handle_status(
        self, path: str, start_response: front_responses.StartResponse
    ) -> typing.Iterable[bytes]:
        name, _, rest = path.removeprefix('/status/').partition('/')
        ready = self._deps.core_client.is_accepting()
        content: object = None
        if path == '/status/health':
            content = {'status': 'ok'}
        elif path == '/status/ready':
            content = {'ready': ready}
        elif path == '/status/dump':
            content = self.dump()
        elif path.startswith('/status/records/'):
            content = self._find_records(rest)
        if content is None:
            raise errors.RefusedError(errors.Problem('unknown path', 404))
        status = 503 if name == 'ready' and not ready else 200
        return front_responses.respond(
            status,
            'application/json',
            msgspec.json.encode(content),
            [],
            start_response,
        )

    def _find_records(self, request_id: str) -> object:
        matches = self._deps.records.find(request_id)
        if not matches:
            return None
        return [
            {'record': entry, 'explanation': record.explain(entry)}
            for entry in matches
        ]

    def _record_chat_failure(
        self,
        req: incoming_request.IncomingRequest,
        machine: chat.Chat,
        exc: Exception,
    ) -> errors.RefusedError:
        problem = _INTERNAL_ERROR
        if isinstance(exc, errors.RefusedError):
            problem = exc.problem
        elif isinstance(exc, upstream_io.CallerGoneError):
            problem = _CALLER_GONE
        else:
            self._count_internal_error(req.entry.target)
        req.problem = self._with_request_context(problem, req)
        self._record_chat(req, machine)
        return errors.RefusedError(req.problem)

    def _count_internal_error(self, where: str) -> None:
        _log.exception('front: internal error', where=where)
        self.counts['internal errors'] += 1

    def _record_refusal(
        self, req: incoming_request.IncomingRequest, exc: errors.RefusedError
    ) -> errors.RefusedError:
        problem = self._with_request_context(exc.problem, req)
        req.entry.problem = problem.title
        self._record_request(req, problem.status, problem.verdict)
        return errors.RefusedError(problem)

    def _with_request_id(
        self, problem: errors.Problem, environ: request_headers.Environ
    ) -> errors.Problem:
        if problem.request_id:
            return problem
        return msgspec.structs.replace(
            problem,
            request_id=request_headers.caller_request_id(environ),
            settings_version=self._deps.core_client.settings().version,
        )

    def _with_request_context(
        self, problem: errors.Problem, req: incoming_request.IncomingRequest
    ) -> errors.Problem:
        req.entry.add_decision(req.settings, problem.setting)
        return msgspec.structs.replace(
            problem,
            request_id=req.entry.request_id,
            settings_version=req.entry.settings_version,
        )

    def _record_chat(
        self, req: incoming_request.IncomingRequest, machine: chat.Chat
    ) -> None:
        entry = req.entry
        entry.tries = machine.tries
        entry.tokens = machine.answer.next_offset
        entry.dropped = machine.answer.counts
        for path, target in machine.decided:
            entry.add_decision(req.settings, path, target)
        if req.problem is None:
            self._record_request(req, 200, errors.Verdict.RAN.value)
            return
        entry.problem = req.problem.title
        self._record_request(req, req.problem.status, machine.verdict.value)

    def _record_request(
        self, req: incoming_request.IncomingRequest, status: int, verdict: str
    ) -> None:
        entry = req.entry
        entry.status = status
        entry.verdict = verdict
        entry.seconds = self._deps.clock.monotonic() - req.at
        self.counts[f'{entry.kind} {verdict}'] += 1
        self._deps.records.add(entry)
        _log.info(
            'front: request ended',
            request=entry.request_id,
            organisation=entry.organisation,
            target=entry.target,
            status=status,
            verdict=verdict,
            tries=len(entry.tries),
            tokens=entry.tokens,
            seconds=round(entry.seconds, 3),
            problem=entry.problem,
        )


class Gateway(wsgi.Gateway_10):
    """WSGI gateway that exposes the caller's socket to the application."""

    def get_environ(self) -> typing.Any:
        """Add the socket to the WSGI environment."""
        environ = super().get_environ()
        environ[incoming_request.SOCKET] = self.req.conn.socket
        return environ


class Server(limited_server.LimitedServer, wsgi.Server):
    """Cheroot server for the application."""

    def __init__(
        self,
        address: tuple[str, int],
        application: typing.Any,
        limits: caller_connection.CallerLimits,
    ) -> None:
        """Configure the server without binding its address."""
        super().__init__(
            address,
            application,
            server_name='papayaloom',
            request_queue_size=limits.backlog,
            timeout=math.ceil(limits.idle_s),
        )
        self.gateway = Gateway
        self.set_up(limits)
