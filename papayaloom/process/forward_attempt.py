"""One attempt at a replica: the exchange on its connection.

A whole answer goes to the caller in one piece, a stream event by event.
"""

import time

import h11
import result

from papayaloom import errors
from papayaloom.connection import bounds, channel
from papayaloom.process import dispatch_actor, forward_job, spread
from papayaloom.request import forwarding, onward

_SERVER_ERROR = 500
# Callers take these as a promise that the request has not run.
_PROMISES = frozenset((408, 421, 429, 503))
_NOT_RUN = errors.Verdict.NOT_RUN
_MAY_HAVE_RUN = errors.Verdict.MAY_HAVE_RUN

Outcome = result.Result[int, forward_job.Failure]


class Attempt:
    """A request on a connection to the chosen replica."""

    def __init__(
        self,
        job: forward_job.Job,
        choice: spread.Choice,
        conn: channel.Channel,
        desk: dispatch_actor.Desk,
        dialect: onward.Dialect,
        limits: bounds.Bounds,
    ) -> None:
        """Keep the parts; the caller closes or keeps the connection."""
        self._job = job
        self._choice = choice
        self._conn = conn
        self._desk = desk
        self._dialect = dialect
        self._limits = limits
        # Monotonic time at which the present wait ends.
        self._until = time.monotonic()
        self._progress_before = job.joiner.progress

    @property
    def has_begun(self) -> bool:
        """Whether the answer has gone beyond its first event."""
        return self._job.joiner.progress > self._progress_before + 1

    def run(self) -> Outcome:
        """Send the request and pass on the answer.

        :raises papayaloom.errors.UpstreamError: the connection broke, or the
            bytes are no answer.
        :raises papayaloom.connection.channel.LateError: no answer in time.
        :raises papayaloom.connection.channel.CallerGoneError: the caller left.
        """
        head = self._head()
        self._conn.send(head, self._job.inbound.body)
        self._wait(
            forwarding.answer_wait_s(
                self._job.route, self._job.progress, self._job.left_s()
            )
        )
        response, marks = self._own_answer(head)
        if marks.is_not_run:
            self._read_body()
            return _failed(_NOT_RUN, f'refused with {response.status_code}')
        if not marks.receipt or marks.is_encoded:
            raise errors.UpstreamError('no receipt', _MAY_HAVE_RUN)
        if forward_job.is_event_stream(self._job, response):
            return self._stream(response)
        return self._whole(response)

    def _head(self) -> channel.Head:
        job = self._job
        last = job.joiner.last
        sent = onward.Onward(
            left_s=job.left_s(),
            replica=self._choice.replica.id,
            organisation=job.organisation,
            last_event_id='' if last is None else str(last),
            priority=job.priority,
            body_bytes=len(job.inbound.body),
            copy_from=forward_job.address(self._choice.source),
        )
        return channel.Head(
            job.inbound.method,
            job.inbound.target,
            self._dialect.upstream_headers(job.inbound.headers, sent),
        )

    def _own_answer(
        self, head: channel.Head
    ) -> tuple[h11.Response, onward.Marks]:
        """Return the answer to this request.

        Late or doubled answers to earlier requests are read and dropped.
        """
        for _ in range(self._limits.foreign_answers + 1):
            response = self._conn.receive_head(
                self._until, self._job.inbound.caller_fd
            )
            marks = self._dialect.read_answer(
                response.status_code, list(response.headers.raw_items())
            )
            self._desk.noticed(self._choice.replica, marks)
            self._conn.is_last = self._conn.is_last or marks.is_leaving
            self._conn.idle_s = marks.idle_s or self._conn.idle_s
            if self._is_own(marks):
                return response, marks
            self._read_body()
            self._conn.skip_answer(head)
        raise errors.UpstreamError(
            'too many answers to other requests', _MAY_HAVE_RUN
        )

    def _is_own(self, marks: onward.Marks) -> bool:
        """Tell whether an answer belongs to this request.

        On a connection that has served others, one that names no request may
        be a late copy of an answer to them.
        """
        if not marks.request_id and self._conn.is_reused:
            raise errors.UpstreamError(
                'an answer on a reused connection names no request',
                _MAY_HAVE_RUN,
            )
        return marks.request_id in {'', self._job.asked.request_id}

    def _whole(self, response: h11.Response) -> Outcome:
        job = self._job
        answer = forward_job.Answer(
            response.status_code,
            self._caller_headers(response),
            self._read_body(),
        )
        failure = self._failure(answer)
        if failure is not None:
            return result.Err(failure)
        if job.progress.has_begun:
            why = f'the stream went on with {answer.status}'
            return _failed(_MAY_HAVE_RUN, why)
        forward_job.deliver(job, answer)
        return result.Ok(answer.status)

    def _failure(
        self, answer: forward_job.Answer
    ) -> forward_job.Failure | None:
        """Return why an answer can't go to the caller; None if it can."""
        job = self._job
        if answer.status in _PROMISES:
            # Not marked as "not run", so that it can't be passed on.
            why = f'answered {answer.status} and may have run the request'
            return forward_job.Failure(_MAY_HAVE_RUN, why, replica_failed=True)
        if answer.status < _SERVER_ERROR:
            return None
        job.failed = answer
        if job.progress.has_begun or not job.route.is_repeatable:
            return None
        why = f'the replica failed with {answer.status}'
        return forward_job.Failure(_MAY_HAVE_RUN, why, replica_failed=True)

    def _stream(self, response: h11.Response) -> Outcome:
        joiner = self._job.joiner
        joiner.restart()
        while True:
            part = self._receive_part()
            if part is None:
                break
            self._take(response, part)
        if joiner.is_torn:
            raise errors.UpstreamError(
                'ended inside an event', _MAY_HAVE_RUN, crashed=True
            )
        if not self._job.progress.has_begun:
            self._begin(response)
        return result.Ok(response.status_code)

    def _take(self, response: h11.Response, part: bytes) -> None:
        joiner = self._job.joiner
        before = joiner.progress
        try:
            content = joiner.feed(part)
        except errors.CodecError as exc:
            raise errors.UpstreamError(str(exc), _MAY_HAVE_RUN) from exc
        if content:
            self._pass_on(response, content)
        if joiner.progress > before:
            self._went_on()

    def _pass_on(self, response: h11.Response, content: bytes) -> None:
        if not self._job.progress.has_begun:
            self._begin(response)
        try:
            self._job.inbound.write(content)
        except OSError as exc:
            raise channel.CallerGoneError(f'not written: {exc}') from exc

    def _went_on(self) -> None:
        """Let the stream wait and send anew: it brought an event."""
        self._conn.allow(self._limits.event)
        self._wait(
            forwarding.pause_s(
                self._job.route, self._job.progress, self._job.left_s()
            )
        )

    def _begin(self, response: h11.Response) -> None:
        self._job.progress.has_begun = True
        headers = self._caller_headers(response)
        try:
            self._job.inbound.begin(response.status_code, headers)
        except OSError as exc:
            raise channel.CallerGoneError(f'not written: {exc}') from exc

    def _caller_headers(self, response: h11.Response) -> onward.Headers:
        return self._dialect.caller_headers(list(response.headers.raw_items()))

    def _wait(self, seconds: float) -> None:
        self._until = time.monotonic() + seconds

    def _receive_part(self) -> bytes | None:
        return self._conn.receive_part(self._until, self._job.inbound.caller_fd)

    def _read_body(self) -> bytes:
        parts: list[bytes] = []
        while True:
            part = self._receive_part()
            if part is None:
                return b''.join(parts)
            parts.append(part)


def _failed(
    verdict: errors.Verdict, why: str, *, replica_failed: bool | None = None
) -> Outcome:
    return result.Err(forward_job.Failure(verdict, why, replica_failed))
