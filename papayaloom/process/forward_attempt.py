"""One attempt at a replica: the exchange on its connection.

A whole answer goes to the caller in one piece, a stream event by event.
"""

import time

import h11
import result

from papayaloom import errors
from papayaloom.connection import channel
from papayaloom.process import dispatch_actor, forward_job, spread
from papayaloom.request import forwarding, onward

_MAX_ANSWER_BYTES = 8_388_608
_SERVER_ERROR = 500
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
    ) -> None:
        """Keep the parts; the caller closes or keeps the connection."""
        self._job = job
        self._choice = choice
        self._conn = conn
        self._desk = desk
        self._dialect = dialect
        # Monotonic time at which the present wait ends.
        self._until = time.monotonic()

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
        while True:
            response = self._conn.receive_head(
                self._until, self._job.inbound.caller_fd
            )
            marks = self._dialect.read_answer(
                response.status_code, list(response.headers.raw_items())
            )
            if marks.load is not None:
                self._desk.reported(self._choice.replica.id, marks.load)
            self._conn.idle_s = marks.idle_s or self._conn.idle_s
            if marks.request_id in {'', self._job.asked.request_id}:
                return response, marks
            self._read_body()
            self._conn.skip_answer(head)

    def _whole(self, response: h11.Response) -> Outcome:
        job = self._job
        answer = forward_job.Answer(
            response.status_code,
            self._caller_headers(response),
            self._read_body(),
        )
        if answer.status >= _SERVER_ERROR:
            job.failed = answer
            if job.route.is_repeatable and not job.progress.has_begun:
                why = f'the replica failed with {answer.status}'
                return _failed(_MAY_HAVE_RUN, why, replica_failed=True)
        if job.progress.has_begun:
            why = f'the stream went on with {answer.status}'
            return _failed(_MAY_HAVE_RUN, why)
        forward_job.deliver(job, answer)
        return result.Ok(answer.status)

    def _stream(self, response: h11.Response) -> Outcome:
        joiner = self._job.joiner
        joiner.restart()
        while True:
            part = self._receive_part()
            if part is None:
                break
            try:
                content = joiner.feed(part)
            except errors.CodecError as exc:
                raise errors.UpstreamError(str(exc), _MAY_HAVE_RUN) from exc
            if content:
                self._pass_on(response, content)
        if joiner.is_torn:
            raise errors.UpstreamError('ended inside an event', _MAY_HAVE_RUN)
        if not self._job.progress.has_begun:
            self._begin(response)
        return result.Ok(response.status_code)

    def _pass_on(self, response: h11.Response, content: bytes) -> None:
        if not self._job.progress.has_begun:
            self._begin(response)
        try:
            self._job.inbound.write(content)
        except OSError as exc:
            raise channel.CallerGoneError(f'not written: {exc}') from exc
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
        size = 0
        while True:
            part = self._receive_part()
            if part is None:
                return b''.join(parts)
            parts.append(part)
            size += len(part)
            if size > _MAX_ANSWER_BYTES:
                raise errors.UpstreamError('answer too long', _MAY_HAVE_RUN)


def _failed(
    verdict: errors.Verdict, why: str, *, replica_failed: bool | None = None
) -> Outcome:
    return result.Err(forward_job.Failure(verdict, why, replica_failed))
