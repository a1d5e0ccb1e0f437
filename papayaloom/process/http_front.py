"""HTTP front of the router towards callers.

:class:`Front` is the WSGI application; :func:`server` returns a cheroot server
for it, with the limits on callers.
"""

import collections
import math
import typing

import msgspec
import result
import structlog
from cheroot import wsgi

from papayaloom import errors
from papayaloom.connection import caller, ingress, listening
from papayaloom.process import arrivals, upstream_io, watch
from papayaloom.request import arrival, chat, prompt, record, splice

_PROBLEM_TYPE = 'application/problem+json'
_GONE = errors.Problem(
    'the caller went away', 499, verdict=errors.Verdict.MAY_HAVE_RUN.value
)
_FAULT = errors.Problem(
    'internal error', 500, verdict=errors.Verdict.MAY_HAVE_RUN.value
)
_log = structlog.get_logger('front')
Frames = typing.Iterator[bytes]
Headers = list[tuple[str, str]]
Start = typing.Callable[[str, Headers], typing.Any]


class Front:
    """WSGI application of the router."""

    def __init__(self, parts: arrivals.Parts) -> None:
        """Build the relay around the parts."""
        self.counts: collections.Counter[str] = collections.Counter()
        self._parts = parts
        self._relay = upstream_io.Relay(
            parts.office,
            parts.engines,
            parts.services,
            parts.clock,
            parts.watch,
            parts.sleep,
        )

    def __call__(
        self, environ: arrival.Environ, start: Start
    ) -> typing.Iterable[bytes]:
        """Answer one request."""
        path = environ['PATH_INFO']
        post = environ['REQUEST_METHOD'] == 'POST'
        try:
            if path == '/v1/chat/completions' and post:
                return self._chat(environ, start)
            if path.startswith('/services/'):
                return self._call(environ, start)
            return self._status(path, start)
        except errors.RefusedError as exc:
            self.counts[f'refused {exc.problem.status}'] += 1
            return _refuse(self._identified(exc.problem, environ), start)
        except arrivals.SlowBodyError:
            # The server answers 408 and closes the connection.
            raise
        except Exception:
            # The server would answer 408 to a TimeoutError from any part,
            # with the verdict "not run", although the request may have left.
            self._count_fault(path)
            return _refuse(self._identified(_FAULT, environ), start)

    def dump(self) -> dict[str, object]:
        """Return a copy of the desk's state, and the front's beside it."""
        front = {
            'open_requests': len(self._parts.watch),
            'dropped_cancels': self._parts.watch.dropped_cancels,
            'counts': dict(self.counts),
        }
        state = msgspec.to_builtins(self._parts.office.dump())
        return {'router': self._parts.router, **state, 'front': front}

    def _chat(
        self, environ: arrival.Environ, start: Start
    ) -> typing.Iterable[bytes]:
        req = arrivals.accept(self._parts, environ, 'chat')
        body = prompt.parse(req.body)
        if isinstance(body, result.Err):
            raise self._refused(req, arrival.refused('body', body.err_value))
        machine = arrivals.chat_machine(self._parts, req, body.ok_value)
        watched = watch.Entry(req.deadline, req.caller_fd)
        self._parts.watch.add(watched)
        frames = self._relay.run_chat(machine, watched)
        try:
            first = next(frames, b'')
        except Exception as exc:
            self._parts.watch.remove(watched)
            raise self._chat_refused(req, machine, exc) from exc
        req.entry.first_byte_s = self._parts.clock.monotonic() - req.at
        delivery = self._deliver(first, frames, req, machine, watched)
        if not body.ok_value.streaming:
            return self._whole(delivery, req, machine, start)
        start(
            _status_text(200),
            [
                ('Content-Type', 'text/event-stream'),
                ('Cache-Control', 'no-store'),
                *_marks(req, errors.Verdict.RAN.value),
            ],
        )
        return delivery

    def _deliver(
        self,
        first: bytes,
        frames: Frames,
        req: arrivals.Arrived,
        machine: chat.Chat,
        watched: watch.Entry,
    ) -> Frames:
        req.problem = _GONE
        last = b''
        try:
            yield first
            yield from frames
            req.problem = None
            last = machine.answer.closing
        except errors.RefusedError as exc:
            req.problem = self._complete(exc.problem, req)
            last = splice.error_frame(req.problem)
        except upstream_io.CallerGoneError:
            self.counts['callers gone'] += 1
        finally:
            self._parts.watch.remove(watched)
            self._keep_chat(req, machine)
        yield last

    def _whole(
        self,
        delivery: Frames,
        req: arrivals.Arrived,
        machine: chat.Chat,
        start: Start,
    ) -> list[bytes]:
        # The frames are not needed: the machine keeps the text.
        collections.deque(delivery, maxlen=0)
        if req.problem is not None:
            raise errors.RefusedError(req.problem)
        content = msgspec.json.encode(_completion(machine))
        return _answer(
            200, 'application/json', content, _marks(req, 'ran'), start
        )

    def _call(
        self, environ: arrival.Environ, start: Start
    ) -> typing.Iterable[bytes]:
        req = arrivals.accept(self._parts, environ, 'call')
        try:
            machine = arrivals.call_machine(self._parts, req, environ)
            finish = self._relay.run_call(machine)
        except errors.RefusedError as exc:
            raise self._refused(req, exc) from exc
        req.entry.tries = machine.tries
        answer = finish.answer
        if isinstance(answer, errors.Problem):
            raise self._refused(req, errors.RefusedError(answer))
        self._keep(req, answer.status, machine.verdict.value)
        marks = _marks(req, machine.verdict.value)
        if finish.repeated:
            marks.append(('X-Repeated', 'yes'))
        return _answer(
            answer.status,
            answer.content_type or 'application/octet-stream',
            answer.body,
            marks,
            start,
        )

    def _status(self, path: str, start: Start) -> typing.Iterable[bytes]:
        name, _, rest = path.removeprefix('/status/').partition('/')
        ready = self._parts.office.accepting()
        content: object = None
        if path == '/status/health':
            content = {'status': 'ok'}
        elif path == '/status/ready':
            content = {'ready': ready}
        elif path == '/status/dump':
            content = self.dump()
        elif path.startswith('/status/records/'):
            content = self._records(rest)
        if content is None:
            raise errors.RefusedError(errors.Problem('unknown path', 404))
        status = 503 if name == 'ready' and not ready else 200
        return _answer(
            status, 'application/json', msgspec.json.encode(content), [], start
        )

    def _records(self, request_id: str) -> object:
        found = self._parts.kept.find(request_id)
        if not found:
            return None
        return [
            {'record': entry, 'explanation': record.explain(entry)}
            for entry in found
        ]

    def _chat_refused(
        self, req: arrivals.Arrived, machine: chat.Chat, exc: Exception
    ) -> errors.RefusedError:
        problem = _FAULT
        if isinstance(exc, errors.RefusedError):
            problem = exc.problem
        elif isinstance(exc, upstream_io.CallerGoneError):
            problem = _GONE
        else:
            self._count_fault(req.entry.target)
        req.problem = self._complete(problem, req)
        self._keep_chat(req, machine)
        return errors.RefusedError(req.problem)

    def _count_fault(self, where: str) -> None:
        _log.exception('front: internal error', where=where)
        self.counts['internal errors'] += 1

    def _refused(
        self, req: arrivals.Arrived, exc: errors.RefusedError
    ) -> errors.RefusedError:
        problem = self._complete(exc.problem, req)
        req.entry.problem = problem.title
        self._keep(req, problem.status, problem.verdict)
        return errors.RefusedError(problem)

    def _identified(
        self, problem: errors.Problem, environ: arrival.Environ
    ) -> errors.Problem:
        if problem.request_id:
            return problem
        return msgspec.structs.replace(
            problem,
            request_id=arrival.stated_id(environ),
            settings_version=self._parts.office.settings().version,
        )

    def _complete(
        self, problem: errors.Problem, req: arrivals.Arrived
    ) -> errors.Problem:
        req.entry.decided(req.settings, problem.setting)
        return msgspec.structs.replace(
            problem,
            request_id=req.entry.request_id,
            settings_version=req.entry.settings_version,
        )

    def _keep_chat(self, req: arrivals.Arrived, machine: chat.Chat) -> None:
        entry = req.entry
        entry.tries = machine.tries
        entry.tokens = machine.answer.expected
        entry.dropped = machine.answer.counts
        for path, target in machine.decided:
            entry.decided(req.settings, path, target)
        if req.problem is None:
            self._keep(req, 200, errors.Verdict.RAN.value)
            return
        entry.problem = req.problem.title
        self._keep(req, req.problem.status, machine.verdict.value)

    def _keep(self, req: arrivals.Arrived, status: int, verdict: str) -> None:
        entry = req.entry
        entry.status = status
        entry.verdict = verdict
        entry.seconds = self._parts.clock.monotonic() - req.at
        self.counts[f'{entry.kind} {verdict}'] += 1
        self._parts.kept.add(entry)
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
    """WSGI gateway that also passes the caller's socket."""

    def get_environ(self) -> typing.Any:
        """Add the socket to the environment."""
        environ = super().get_environ()
        environ[arrivals.SOCKET] = self.req.conn.socket
        return environ


class Server(listening.LimitedServer, wsgi.Server):
    """Cheroot server for the application."""

    def __init__(
        self,
        address: tuple[str, int],
        app: typing.Any,
        limits: caller.Limits,
    ) -> None:
        """Prepare the server; ``safe_start`` serves until ``stop``."""
        super().__init__(
            address,
            app,
            server_name='papayaloom',
            request_queue_size=limits.backlog,
            timeout=math.ceil(limits.idle_s),
        )
        self.gateway = Gateway
        self.set_up(limits)


def _completion(machine: chat.Chat) -> dict[str, object]:
    answer = machine.answer
    prompt_tokens = answer.usage.prompt_tokens or prompt.tokens(
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
            'completion_tokens': answer.expected,
        },
    }


def _marks(req: arrivals.Arrived, verdict: str) -> Headers:
    return [
        ('X-Request-Id', req.entry.request_id),
        ('X-Settings-Version', str(req.entry.settings_version)),
        ('X-Verdict', verdict),
    ]


def _status_text(status: int) -> str:
    return ingress.status_line(status).decode()


def _answer(
    status: int, kind: str, content: bytes, marks: Headers, start: Start
) -> list[bytes]:
    start(
        _status_text(status),
        [
            ('Content-Type', kind),
            ('Content-Length', str(len(content))),
            *marks,
        ],
    )
    return [content]


def _refuse(problem: errors.Problem, start: Start) -> list[bytes]:
    marks = [('X-Verdict', problem.verdict)]
    if problem.request_id:
        marks.append(('X-Request-Id', problem.request_id))
    if problem.settings_version:
        marks.append(('X-Settings-Version', str(problem.settings_version)))
    if problem.retry_after_s:
        seconds = math.ceil(problem.retry_after_s)
        marks.append(('Retry-After', str(seconds)))
    if problem.status == 401:
        marks.append(('WWW-Authenticate', 'Bearer'))
    return _answer(
        problem.status, _PROBLEM_TYPE, problem.encode(), marks, start
    )
