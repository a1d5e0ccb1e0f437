"""Reads the requests of one caller connection.

A timeout covers the headers as a whole and another one the body as a whole, so
that a caller that sends one byte at a time occupies no worker thread
indefinitely.
"""

import socket
import time

import h11

from papayaloom.connection import buffer_budget, field_grammar, message_parser

_READ_BYTES = 65_536
_TOO_LARGE = 413
# All callers share one budget.
_CALLERS = 'callers'
# What an old client may send behind a body; it belongs to no request.
_EMPTY_LINE = b'\r\n'


class RequestReader:
    """Reads one request after the other; the ``rfile`` of cheroot.

    :param sock: socket of the caller.
    :param budget: bounds the bodies of all callers together.
    """

    def __init__(
        self, sock: socket.socket, budget: buffer_budget.BufferBudget
    ) -> None:
        """Expect the first request."""
        self.bytes_read = 0
        self._sock = sock
        self._until = float('inf')
        self._next_bytes = b''
        self._parser: message_parser.MessageParser | None = None
        self._allowed_body_bytes = 0
        self._buffer = buffer_budget.Buffer(budget, _CALLERS)
        self._budget = budget

    @property
    def is_message_read(self) -> bool:
        """Whether no part of the current request is unread."""
        return self._parser is None

    def has_data(self) -> bool:
        """Whether part of the next request has been received."""
        return self._next_bytes not in {b'', _EMPTY_LINE}

    def close(self) -> None:
        """Do nothing; the connection closes its socket."""

    def set_timeout(self, seconds: float) -> None:
        """Set a common deadline for all reads from now on."""
        self._until = time.monotonic() + seconds

    def read_head(
        self, max_head_bytes: int, max_body_bytes: int
    ) -> h11.Request | None:
        """Read the head of the next request; None if there is none.

        :raises message_parser.MalformedMessageError: the head is malformed.
        :raises TimeoutError: it was not received in time.
        """
        parser = message_parser.request_parser(max_head_bytes)
        parser.receive_data(self._next_bytes or self._receive())
        self._next_bytes = b''
        self._parser = parser
        self._allowed_body_bytes = max_body_bytes
        self._buffer = buffer_budget.Buffer(self._budget, _CALLERS)
        event = self._next_event(parser)
        if not isinstance(event, h11.Request):
            return None
        length = _declared_length(event)
        if length == 0:
            self.read()
        elif length is not None and length > max_body_bytes:
            raise _too_long()
        return event

    def read(self) -> bytes:
        """Read the rest of the body.

        :raises message_parser.MalformedMessageError: the body is malformed,
            cut off, or too long.
        :raises buffer_budget.BufferFullError: there is no room for it now.
        :raises TimeoutError: it was not received in time.
        """
        parts: list[bytes] = []
        while self._parser is not None:
            event = self._next_event(self._parser)
            if isinstance(event, h11.Data):
                self._charge(len(event.data))
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._next_bytes = self._parser.trailing_bytes
                self._parser = None
        return b''.join(parts)

    def release(self) -> None:
        """Stop counting the body of the request, which has ended."""
        self._buffer.release()

    def discard(self, max_bytes: int) -> None:
        """Read and drop what the caller still sends.

        :raises OSError: it was not received in time.
        """
        end = self.bytes_read + max_bytes
        while self.bytes_read < end:
            if not self._receive():
                return

    def _next_event(
        self, parser: message_parser.MessageParser
    ) -> message_parser.Event:
        while True:
            event = parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            parser.receive_data(self._receive())

    def _charge(self, body_bytes: int) -> None:
        self._allowed_body_bytes -= body_bytes
        if self._allowed_body_bytes < 0:
            raise _too_long()
        self._buffer.grow(body_bytes)

    def _receive(self) -> bytes:
        left_s = self._until - time.monotonic()
        if left_s <= 0:
            raise TimeoutError('timed out')
        self._sock.settimeout(left_s if left_s < float('inf') else None)
        content = self._sock.recv(_READ_BYTES)
        self.bytes_read += len(content)
        return content


def _declared_length(request: h11.Request) -> int | None:
    """Return the length of the body; None if it is chunked."""
    if field_grammar.has_field(request.headers, b'transfer-encoding'):
        return None
    lengths = [
        text for name, text in request.headers if name == b'content-length'
    ]
    return int(lengths[0]) if lengths else 0


def _too_long() -> message_parser.MalformedMessageError:
    return message_parser.MalformedMessageError(
        'the body is too long', _TOO_LARGE
    )
