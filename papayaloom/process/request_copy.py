"""One copy of a request that may run twice, and a preview of its response."""

import h11
import msgspec
import result

from papayaloom import errors
from papayaloom.connection import upstream_connection
from papayaloom.process import forward_attempt, forward_job
from papayaloom.request import event_joiner
from papayaloom.routing import replica_choice
from papayaloom.version import routes

# Bytes of a response that are kept, so that two copies stay within the part of
# a buffer that is not counted.
_MAX_KEPT_BYTES = 65_536

_Item = upstream_connection.Event | errors.UpstreamError


class CopyState(msgspec.Struct, frozen=True):
    """What the report of an attempt says about copies.

    :param is_hedge: it was the second copy.
    :param is_cancelled: the other copy was answered first.
    """

    is_hedge: bool = False
    is_cancelled: bool = False


ONLY_COPY = CopyState()


class Preview:
    """What is known of a response before it is forwarded."""

    def __init__(self, job: forward_job.Job) -> None:
        """Start without a response."""
        self._job = job
        self.restart()

    @property
    def has_head(self) -> bool:
        """Whether the response has begun."""
        return self._head is not None

    @property
    def is_full(self) -> bool:
        """Whether no more may be kept."""
        return self._kept_bytes >= _MAX_KEPT_BYTES

    @property
    def is_late(self) -> bool:
        """Whether the response has not begun; of a stream, its first event."""
        return not self.is_ready and (self._is_stream or not self.has_head)

    def restart(self) -> None:
        """Expect another response."""
        # The response, or the first event of a stream, is complete.
        self.is_ready = False
        self.whole_response: h11.Response | None = None
        self._head: h11.Response | None = None
        self._joiner = event_joiner.EventJoiner(self._job.joiner.last)
        self._is_stream = self._job.route.kind is routes.Kind.STREAM
        self._kept_bytes = 0

    def add(self, item: _Item) -> None:
        """Add what has arrived."""
        if isinstance(item, h11.Response):
            self._head = item
            self._is_stream = forward_job.is_event_stream(self._job, item)
        elif isinstance(item, h11.Data):
            self._add_data(bytes(item.data))
        else:
            self.is_ready = True
            if isinstance(item, h11.EndOfMessage):
                self.whole_response = self._head

    def _add_data(self, content: bytes) -> None:
        self._kept_bytes += len(content)
        if not self._is_stream:
            self.is_ready = self.is_ready or self.is_full
        elif not self.is_ready and not self.is_full:
            joined = self._joiner.feed(content)
            self.is_ready = bool(self._joiner.progress or joined.problem)


class Copy:
    """One of the copies of a request."""

    def __init__(
        self,
        choice: replica_choice.Choice,
        conn: upstream_connection.UpstreamConnection,
        attempt: forward_attempt.Attempt,
        preview: Preview,
        started_at: float,
        *,
        is_hedge: bool,
    ) -> None:
        """Prepare the copy; its connection then belongs to it."""
        self.replica = choice.replica
        self.conn = conn
        self.attempt = attempt
        self.preview = preview
        self.started_at = started_at
        self.is_hedge = is_hedge
        self._sent: result.Result[
            upstream_connection.RequestHead, errors.UpstreamError
        ] = result.Err(errors.UpstreamError('not sent', errors.Verdict.NOT_RUN))

    def send(self) -> None:
        """Send the request; an error is raised when the copy is received."""
        try:
            self._sent = result.Ok(self.attempt.send())
        except errors.UpstreamError as exc:
            self._sent = result.Err(exc)
            self.preview.add(exc)

    def read(self, ready_events: int) -> None:
        """Read what has arrived."""
        for item in self.conn.read_ahead(ready_events):
            self.preview.add(item)

    def skip_foreign(self) -> bool:
        """Discard a whole response to another request, if there is one.

        :returns: whether the response to this request is still awaited.
        """
        response = self.preview.whole_response
        if response is None or isinstance(self._sent, result.Err):
            return False
        if not self.attempt.is_foreign(response):
            return False
        try:
            self.attempt.skip_foreign(self._sent.ok_value)
        except errors.UpstreamError as exc:
            self._sent = result.Err(exc)
            return False
        self.preview.restart()
        self.read(0)
        return True

    def receive(self) -> forward_attempt.Outcome:
        """Receive the response and forward it."""
        if isinstance(self._sent, result.Err):
            raise self._sent.err_value
        return self.attempt.receive(self._sent.ok_value)
