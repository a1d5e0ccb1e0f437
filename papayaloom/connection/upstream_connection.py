"""Upstream connection that also detects a disconnected caller.

Forwarding needs three things that urllib3 does not support: sending a body
while reading an early response, waiting for the upstream and the caller at the
same time, and detecting bytes that belong to no response. Therefore the
connection is a plain socket with h11, a sans-I/O parser for HTTP/1.1.
"""

import collections
import select
import socket
import time
import typing

import h11
import msgspec

from papayaloom import errors
from papayaloom.connection import message_parser, response_limits
from papayaloom.request import header_dialect

CONNECT_S = 0.3
_READ_BYTES = 65_536
# TCP keep-alive detects a host that has lost power within about three seconds.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_PROBES = 2
_USER_TIMEOUT_MS = 2500
CALLER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_READ_WRITE_EVENTS = select.POLLIN | select.POLLOUT
_FAILED_EVENTS = select.POLLHUP | select.POLLERR
_READABLE_EVENTS = select.POLLIN | _FAILED_EVENTS

Event = h11.Response | h11.Data | h11.EndOfMessage


class CallerDisconnectedError(errors.PapayaloomError):
    """The caller closed its connection."""


class ResponseTimeoutError(errors.PapayaloomError):
    """The upstream did not respond in time."""


class RequestHead(msgspec.Struct, frozen=True):
    """Request line and headers to send to an upstream."""

    method: bytes
    target: bytes
    headers: header_dialect.Headers


class UpstreamConnection:
    """One upstream connection; carries one request at a time.

    :param address: host and port of the upstream.
    """

    def __init__(
        self,
        address: tuple[str, int],
        limits: response_limits.ResponseLimits = response_limits.DEFAULT,
        connect_s: float = CONNECT_S,
    ) -> None:
        """Connect.

        :raises papayaloom.errors.UpstreamError: the connection failed; the
            request has not run.
        """
        self.address = address
        self.used_at = time.monotonic()
        self.idle_s = float('inf')
        # Whether part of the current request has been sent.
        self.has_sent = False
        # The upstream is shutting down; the connection must not be reused.
        self.is_last = False
        # An earlier request was completed on this connection.
        self.is_reused = False
        self._limits = limits
        self._allowed_bytes = limits.answer
        # Charges of the current response, as response_limits defines them.
        self.cost_bytes = 0
        self._informational_responses = 0
        self._parser = self._new_parser()
        self._unsent_bytes = b''
        # The connection broke, and the error was raised by a write.
        self._write_error: OSError | None = None
        # What was read before it was asked for.
        self._ahead: collections.deque[Event | errors.UpstreamError] = (
            collections.deque()
        )
        try:
            self._sock = socket.create_connection(address, timeout=connect_s)
        except OSError as exc:
            raise errors.UpstreamError(
                f'upstream {address[0]}:{address[1]} not reached: {exc}',
                errors.Verdict.NOT_RUN,
            ) from exc
        _set_socket_options(self._sock)

    def send(self, head: RequestHead, body: bytes) -> None:
        """Start sending a request; the rest is sent while receiving."""
        self.has_sent = False
        self.cost_bytes = 0
        self.set_byte_limit(self._limits.answer)
        self._informational_responses = 0
        parts = [self._parser.send(self._new_request(head))]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        self._unsent_bytes = b''.join(part for part in parts if part)
        self._write()

    def set_byte_limit(self, allowed_bytes: int) -> None:
        """Set the number of bytes that the upstream may send from now on."""
        self._allowed_bytes = allowed_bytes

    def receive_head(self, until: float, caller_fd: int = -1) -> h11.Response:
        """Return the status and the headers of the response.

        Raises like :meth:`receive_part`.
        """
        event = self._receive(until, caller_fd)
        if isinstance(event, h11.Response):
            return event
        raise self._upstream_error('sent a body without a head')

    def receive_part(self, until: float, caller_fd: int = -1) -> bytes | None:
        """Return the next part of the response body, or None at its end.

        :param until: deadline in seconds of monotonic time.
        :param caller_fd: file descriptor of the caller's connection, or -1.
        :raises papayaloom.errors.UpstreamError: the connection failed, or the
            response is malformed.
        :raises ResponseTimeoutError: the deadline has passed.
        :raises CallerDisconnectedError: the caller closed its connection.
        """
        event = self._receive(until, caller_fd)
        if isinstance(event, h11.Response):
            raise self._upstream_error('sent a head inside a body')
        return bytes(event.data) if isinstance(event, h11.Data) else None

    def skip_answer(self, head: RequestHead) -> None:
        """Discard a response to another request and wait for the next one.

        :param head: the request that has not been answered yet.
        """
        if self._unsent_bytes:
            raise self._upstream_error('answered another request')
        trailing_bytes = self._parser.trailing_bytes
        is_closed = self._parser.is_closed
        self._parser = self._new_parser()
        self._parser.expect_response(head.method)
        if trailing_bytes or is_closed:
            self._parser.receive_data(trailing_bytes)

    def prepare_reuse(self) -> bool:
        """Prepare for the next request.

        :returns: whether the connection can be reused.
        """
        if self.is_last or self._unsent_bytes or self._ahead:
            return False
        if self._parser.trailing_bytes:
            return False
        if not self._parser.start_next_message():
            return False
        self.is_reused = True
        self.used_at = time.monotonic()
        return True

    def is_reusable(self) -> bool:
        """Whether an idle connection is open and has no unread bytes."""
        poll = select.poll()
        poll.register(self._sock, select.POLLIN | select.POLLRDHUP)
        return not poll.poll(0)

    def fileno(self) -> int:
        """Return the file descriptor of the socket."""
        return self._sock.fileno()

    @property
    def awaited_events(self) -> int:
        """Events of the socket to poll for."""
        return _READ_WRITE_EVENTS if self._unsent_bytes else select.POLLIN

    def read_ahead(
        self, ready_events: int
    ) -> list[Event | errors.UpstreamError]:
        """Read what has arrived, up to the end of a response.

        It remains to be received; an error is raised only then.

        :param ready_events: events of the socket.
        :returns: what was added.
        """
        added: list[Event | errors.UpstreamError] = []
        try:
            self._handle_io(ready_events)
            while not (added and isinstance(added[-1], h11.EndOfMessage)):
                event = self._next_event()
                if event is None:
                    break
                added.append(event)
        except errors.UpstreamError as exc:
            added.append(exc)
        self._ahead.extend(added)
        return added

    def close(self) -> None:
        """Close the connection; a replica aborts a request in progress."""
        self._sock.close()

    def _receive(self, until: float, caller_fd: int) -> Event:
        while True:
            event = self._ahead.popleft() if self._ahead else self._next_event()
            if isinstance(event, errors.UpstreamError):
                raise event
            if event is not None:
                return event
            self._wait_for_io(until, caller_fd)

    def _next_event(self) -> Event | None:
        """Return the next parsed event; None if more data is needed."""
        while True:
            event = self._parse_event()
            if isinstance(event, (h11.Response, h11.Data, h11.EndOfMessage)):
                return event
            if event is h11.NEED_DATA:
                return None
            if not isinstance(event, h11.InformationalResponse):
                raise self._upstream_error('closed without an answer')
            self._informational_responses += 1
            if (
                self._informational_responses
                > self._limits.informational_responses
            ):
                raise self._unbounded_error(
                    'sent informational heads without end'
                )

    def _parse_event(self) -> typing.Any:
        try:
            event = self._parser.next_event()
        except message_parser.MalformedMessageError as exc:
            why = f'no answer in the protocol: {exc}'
            if exc.is_too_long:
                raise self._unbounded_error(why) from exc
            raise self._upstream_error(why) from exc
        if event is not h11.NEED_DATA:
            self._charge(response_limits.PART_COST_BYTES)
        return event

    def _wait_for_io(self, until: float, caller_fd: int) -> None:
        poll = select.poll()
        poll.register(self._sock, self.awaited_events)
        if caller_fd >= 0:
            poll.register(caller_fd, select.POLLRDHUP)
        left = until - time.monotonic()
        if left <= 0:
            raise ResponseTimeoutError('the time for an answer has passed')
        ready = dict(poll.poll(left * 1000 + 1))
        if ready.get(caller_fd, 0) & CALLER_CLOSED_EVENTS:
            raise CallerDisconnectedError('the caller closed its connection')
        self._handle_io(ready.get(self._sock.fileno(), 0))

    def _handle_io(self, ready_events: int) -> None:
        # The error of a broken connection is left to be raised by a read.
        if ready_events & select.POLLOUT and not ready_events & _FAILED_EVENTS:
            self._write()
        if ready_events & _READABLE_EVENTS:
            self._read()

    def _write(self) -> None:
        try:
            sent = self._sock.send(self._unsent_bytes)
        except BlockingIOError:
            return
        except OSError as exc:
            self._unsent_bytes = b''
            if not self.has_sent:
                raise errors.UpstreamError(
                    f'upstream closed before the request was sent: {exc}',
                    errors.Verdict.NOT_RUN,
                ) from exc
            # The upstream may have responded before it closed the connection.
            # A broken pipe means that the end of the response has arrived.
            if not isinstance(exc, BrokenPipeError):
                self._write_error = exc
            return
        self.has_sent = self.has_sent or sent > 0
        self._unsent_bytes = self._unsent_bytes[sent:]

    def _read(self) -> None:
        try:
            content = self._sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            raise self._upstream_error(f'reset: {exc}') from exc
        if not content and self._write_error is not None:
            # An error is raised once; later reads return the end of the data.
            raise self._upstream_error(f'reset: {self._write_error}')
        self._charge(len(content))
        self._parser.receive_data(content)

    def _charge(self, charged_bytes: int) -> None:
        self.cost_bytes += charged_bytes
        self._allowed_bytes -= charged_bytes
        if self._allowed_bytes < 0:
            raise self._unbounded_error('sent more than an answer may have')

    def _new_request(self, head: RequestHead) -> h11.Request:
        """Validate the head.

        :raises papayaloom.errors.UpstreamError: it has a value that can't be
            sent; the request has not run.
        """
        try:
            return h11.Request(
                method=head.method, target=head.target, headers=head.headers
            )
        except h11.LocalProtocolError as exc:
            raise errors.UpstreamError(
                f'the request can not be sent: {exc}', errors.Verdict.NOT_RUN
            ) from exc

    def _new_parser(self) -> message_parser.MessageParser:
        return message_parser.response_parser(self._limits.head)

    def _unbounded_error(
        self, why: str
    ) -> response_limits.UnboundedResponseError:
        return response_limits.UnboundedResponseError(
            f'upstream {self.address[0]}:{self.address[1]}: {why}'
        )

    def _upstream_error(self, why: str) -> errors.UpstreamError:
        return errors.UpstreamError(
            f'upstream {self.address[0]}:{self.address[1]}: {why}',
            errors.Verdict.MAY_HAVE_RUN,
            crashed=True,
        )


def _set_socket_options(sock: socket.socket) -> None:
    sock.setblocking(False)
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    )
    for level, option, setting in options:
        sock.setsockopt(level, option, setting)
