"""One attempt to forward a request: the exchange on a replica connection.

A plain response is buffered and forwarded as a whole, a stream event by event.
"""

import time
import typing

import h11
import result

from papayaloom import errors
from papayaloom.connection import (
    buffer_budget,
    response_limits,
    upstream_connection,
)
from papayaloom.process import attempt_failures, dispatch_actor, forward_job
from papayaloom.routing import replica_choice
from papayaloom.request import event_joiner, forwarding, header_dialect

# Statuses with which a full replica refuses a request.
_FULL_STATUSES = frozenset((429, 503))
_NOT_RUN = errors.Verdict.NOT_RUN
_MAY_HAVE_RUN = errors.Verdict.MAY_HAVE_RUN

Outcome = attempt_failures.Outcome


class Attempt:
    """The exchange of one request on a connection to the chosen replica."""

    def __init__(
        self,
        job: forward_job.Job,
        choice: replica_choice.Choice,
        conn: upstream_connection.UpstreamConnection,
        dispatch_client: dispatch_actor.DispatchClient,
        dialect: header_dialect.HeaderDialect,
        limits: response_limits.ResponseLimits,
        buffer: buffer_budget.Buffer,
    ) -> None:
        """Prepare the attempt; the connection still belongs to the caller."""
        self._job = job
        self._choice = choice
        self._conn = conn
        self._dispatch_client = dispatch_client
        self._dialect = dialect
        self._limits = limits
        self._buffer = buffer
        # Monotonic time at which the current wait times out.
        self.wait_deadline = time.monotonic()
        # Called before the first byte of the response goes to the caller.
        self.on_first_byte: typing.Callable[[], object] = _do_nothing
        # Prepares another replica to go on with the stream, and returns
        # whether there is one. Without one, a doubtful event is accepted.
        self.prepare_resumption: typing.Callable[[], bool] = _prepare_none
        self._initial_progress = job.joiner.progress
        # Parts with comments since the last event.
        self._comments = 0

    @property
    def has_begun(self) -> bool:
        """Whether the response has gone beyond its first event."""
        return self._job.joiner.progress > self._initial_progress + 1

    def run(self) -> Outcome:
        """Send the request and forward the response.

        :raises papayaloom.errors.UpstreamError: the connection broke, or the
            response is invalid.
        :raises upstream_connection.ResponseTimeoutError: the response timed
            out.
        :raises upstream_connection.CallerDisconnectedError: the caller
            disconnected.
        """
        return self.receive(self.send())

    def send(self) -> upstream_connection.RequestHead:
        """Send the request, and return its head.

        :raises papayaloom.errors.UpstreamError: the connection broke.
        """
        head = self._request_head()
        self.await_response(self._job.progress)
        self._conn.send(head, self._job.inbound.body)
        self._conn.set_byte_limit(self._limits.answer)
        return head

    def await_response(self, progress: forwarding.Progress) -> None:
        """Begin the wait for the response."""
        self._set_wait(
            forwarding.response_timeout_s(
                self._job.route, progress, self._job.remaining_s()
            )
        )

    def receive(self, head: upstream_connection.RequestHead) -> Outcome:
        """Receive the response and forward it.

        Raises like :meth:`run`.

        :param head: head of the request that was sent.
        """
        response, metadata = self._receive_matching_response(head)
        if metadata.is_not_run:
            return self._refused(response.status_code)
        if not metadata.receipt or metadata.is_encoded:
            raise errors.UpstreamError('no receipt', _MAY_HAVE_RUN)
        if forward_job.is_event_stream(self._job, response):
            return self._forward_stream(response)
        return self._forward_buffered(response)

    def is_foreign(self, response: h11.Response) -> bool:
        """Tell whether a response belongs to another request."""
        metadata = self._dialect.read_answer(
            response.status_code, list(response.headers.raw_items())
        )
        named = metadata.request_id
        return named not in {'', self._job.request_info.request_id}

    def skip_foreign(self, head: upstream_connection.RequestHead) -> None:
        """Discard a response to another request, which has been read ahead.

        :param head: head of the request that was sent.
        """
        self._conn.receive_head(self.wait_deadline)
        self._skip_body()
        self._conn.skip_answer(head)

    def _request_head(self) -> upstream_connection.RequestHead:
        job = self._job
        last_event_id = job.joiner.last
        sent = header_dialect.ForwardMetadata(
            left_s=job.remaining_s(),
            replica=self._choice.replica.id,
            organisation=job.organisation,
            last_event_id='' if last_event_id is None else str(last_event_id),
            priority=job.priority,
            body_bytes=len(job.inbound.body),
            copy_from=forward_job.format_address(self._choice.source),
        )
        return upstream_connection.RequestHead(
            job.inbound.method,
            job.inbound.target,
            self._dialect.upstream_headers(job.inbound.headers, sent),
        )

    def _receive_matching_response(
        self, head: upstream_connection.RequestHead
    ) -> tuple[h11.Response, header_dialect.ResponseMetadata]:
        """Receive the head of the response to this request.

        Late or duplicate responses to earlier requests are read and discarded.
        """
        for _ in range(self._limits.foreign_responses + 1):
            response = self._conn.receive_head(
                self.wait_deadline, self._job.inbound.caller_fd
            )
            metadata = self._dialect.read_answer(
                response.status_code, list(response.headers.raw_items())
            )
            self._dispatch_client.record_response_metadata(
                self._choice.replica, metadata
            )
            self._conn.is_last = self._conn.is_last or metadata.is_leaving
            self._conn.idle_s = metadata.idle_s or self._conn.idle_s
            if self._matches_request(metadata):
                self._dispatch_client.record_rate_limit(
                    self._choice.replica, metadata
                )
                return response, metadata
            self._skip_body()
            self._conn.skip_answer(head)
        raise response_limits.UnboundedResponseError(
            'too many answers to other requests'
        )

    def _matches_request(
        self, metadata: header_dialect.ResponseMetadata
    ) -> bool:
        """Tell whether a response belongs to this request.

        On a reused connection, a response without a request id may be a late
        duplicate for an earlier request, so it is an error.
        """
        if metadata.is_ambiguous:
            raise errors.UpstreamError(
                'an answer has more than one request id or receipt',
                _MAY_HAVE_RUN,
            )
        if not metadata.request_id and self._conn.is_reused:
            raise errors.UpstreamError(
                'an answer on a reused connection names no request',
                _MAY_HAVE_RUN,
            )
        return metadata.request_id in {'', self._job.request_info.request_id}

    def _forward_buffered(self, response: h11.Response) -> Outcome:
        job = self._job
        try:
            body = self._read_body()
        except buffer_budget.BufferFullError as exc:
            return attempt_failures.no_room(exc)
        buffered = forward_job.BufferedResponse(
            response.status_code, self._caller_headers(response), body
        )
        failure = attempt_failures.status_failure(job, buffered)
        if failure is not None:
            return result.Err(failure)
        if job.progress.has_begun:
            reason = f'the stream went on with {buffered.status}'
            return _failed(_MAY_HAVE_RUN, reason)
        self.on_first_byte()
        forward_job.deliver(job, buffered)
        return result.Ok(buffered.status)

    def _forward_stream(self, response: h11.Response) -> Outcome:
        joiner = self._job.joiner
        joiner.restart(self._choice.replica.id)
        if joiner.last is None:
            # A resumed stream may repeat more than that before a new event.
            self._conn.set_byte_limit(self._limits.event)
        while True:
            part = self._receive_part()
            if part is None:
                break
            self._forward_part(response, part)
            try:
                self._buffer.resize(joiner.buffered_bytes)
            except buffer_budget.BufferFullError as exc:
                return attempt_failures.no_room(exc)
        if joiner.has_partial_event:
            raise errors.UpstreamError(
                'ended inside an event', _MAY_HAVE_RUN, crashed=True
            )
        if not self._job.progress.has_begun:
            self._begin_response(response)
        joiner.steps.record_complete()
        return result.Ok(response.status_code)

    def _forward_part(self, response: h11.Response, part: bytes) -> None:
        joiner = self._job.joiner
        before = joiner.progress
        joined = self._forward_events(response, part)
        if joined.is_too_long:
            raise response_limits.UnboundedResponseError(joined.problem)
        if joined.is_doubtful:
            raise attempt_failures.UndecidedStreamError(
                joined.problem, _MAY_HAVE_RUN
            )
        if joined.problem:
            raise errors.UpstreamError(joined.problem, _MAY_HAVE_RUN)
        if joiner.progress > before:
            self._renew_limits()
            return
        self._comments += bool(joined.content)
        if self._comments > self._limits.comments:
            raise response_limits.UnboundedResponseError(
                'sent comments without an event'
            )

    def _forward_events(
        self, response: h11.Response, part: bytes
    ) -> event_joiner.Joined:
        joined = self._job.joiner.feed(part)
        if joined.content:
            self._write_events(response, joined.content)
        if joined.is_doubtful and not self.prepare_resumption():
            # Accepts the event that is kept in the buffer.
            return self._forward_events(response, b'')
        return joined

    def _write_events(self, response: h11.Response, content: bytes) -> None:
        if not self._job.progress.has_begun:
            self._begin_response(response)
        try:
            self._job.inbound.write(content)
        except OSError as exc:
            raise upstream_connection.CallerDisconnectedError(
                f'not written: {exc}'
            ) from exc

    def _renew_limits(self) -> None:
        """Reset the byte limit and the pause limit after an event."""
        self._comments = 0
        self._conn.set_byte_limit(self._limits.event)
        self._set_wait(
            forwarding.max_event_gap_s(
                self._job.route, self._job.progress, self._job.remaining_s()
            )
        )

    def _begin_response(self, response: h11.Response) -> None:
        self.on_first_byte()
        self._job.progress.has_begun = True
        headers = self._caller_headers(response)
        try:
            self._job.inbound.begin(response.status_code, headers)
        except OSError as exc:
            raise upstream_connection.CallerDisconnectedError(
                f'not written: {exc}'
            ) from exc

    def _caller_headers(self, response: h11.Response) -> header_dialect.Headers:
        return self._dialect.caller_headers(list(response.headers.raw_items()))

    def _set_wait(self, seconds: float) -> None:
        self.wait_deadline = time.monotonic() + seconds

    def _receive_part(self) -> bytes | None:
        part = self._conn.receive_part(
            self.wait_deadline, self._job.inbound.caller_fd
        )
        self._job.received_at = time.monotonic()
        return part

    def _read_body(self) -> bytearray:
        body = bytearray()
        while True:
            part = self._receive_part()
            if part is None:
                return body
            self._buffer.grow(len(part))
            body += part

    def _refused(self, status: int) -> Outcome:
        """Skip the body; the promise in the head holds whatever its length."""
        reason = f'refused with {status}'
        self._conn.set_byte_limit(self._limits.event)
        try:
            self._skip_body()
        except response_limits.UnboundedResponseError as exc:
            return result.Err(
                forward_job.Failure(
                    _NOT_RUN,
                    f'{reason}, {exc}',
                    replica_failed=True,
                    is_unbounded=True,
                )
            )
        is_full = status in _FULL_STATUSES
        return result.Err(
            forward_job.Failure(_NOT_RUN, reason, is_refused=is_full)
        )

    def _skip_body(self) -> None:
        part: bytes | None = b''
        while part is not None:
            part = self._receive_part()


def _do_nothing() -> None:
    """Do nothing: no other copy of the request runs."""


def _prepare_none() -> bool:
    """Return that no other replica can go on with the stream."""
    return False


def _failed(
    verdict: errors.Verdict, reason: str, *, replica_failed: bool | None = None
) -> Outcome:
    return result.Err(forward_job.Failure(verdict, reason, replica_failed))
