"""Connections of urllib3 whose responses are parsed strictly.

:mod:`http.client` takes a malformed field line for the end of the head, and the
end of the connection for the end of the head or of the trailers; it accepts
numbers with signs, unequal body lengths and malformed chunks. Here the parser
of the responses to forwarded requests reads the head and finds the end of the
body: :mod:`papayaloom.connection.message_parser`.
"""

import contextlib
import functools
import http.client
import io
import socket
import typing

import h11
import urllib3

from papayaloom.connection import message_parser, response_limits

# Status line and headers of one response.
MAX_HEAD_BYTES = 131_072
# Body of a response that is read as a whole.
MAX_BODY_BYTES = 33_554_432
_READ_BYTES = 262_144
_HTTP10 = b'1.0'
_CHARSET = 'latin-1'


class BrokenResponseError(http.client.HTTPException):
    """A response that is malformed, incomplete or too long."""


class Response(io.BufferedIOBase):
    """Response that must be well-formed, complete and within the limits.

    It takes the place of :class:`http.client.HTTPResponse`, with the attributes
    that urllib3 reads.

    :param sock: socket on which the request has been sent.
    :param method: method of the request.
    :param is_reset: the connection broke while the request was sent, so its end
        does not complete a body.
    """

    def __init__(
        self, sock: socket.socket, method: str, *, is_reset: bool = False
    ) -> None:
        """Expect the head."""
        self.status = 0
        self.reason = ''
        # As in http.client: 10 or 11.
        self.version = 11
        self.msg = http.client.HTTPMessage()
        self.will_close = True
        self._sock = sock
        self._is_reset = is_reset
        # Keeps the socket open when the connection closes its own reference.
        self._socket_reference = sock.makefile('rb', buffering=0)
        self._parser = message_parser.response_parser(MAX_HEAD_BYTES)
        self._parser.expect_response(method.encode(_CHARSET))
        # What has been received and parsed, but not read.
        self._content = b''
        self._error: BrokenResponseError | None = None
        self._is_complete = False

    def begin(self) -> None:
        """Read the head.

        :raises BrokenResponseError: it is malformed, incomplete or too long.
        """
        event = self._receive_event()
        informational_responses = 0
        while isinstance(event, h11.InformationalResponse):
            informational_responses += 1
            if (
                informational_responses
                > response_limits.DEFAULT.informational_responses
            ):
                raise BrokenResponseError('informational heads without end')
            event = self._receive_event()
        if not isinstance(event, h11.Response):
            raise BrokenResponseError('the connection was closed')
        self.status = event.status_code
        self.reason = event.reason.decode(_CHARSET)
        if event.http_version == _HTTP10:
            self.version = 10
        for name, text in event.headers.raw_items():
            self.msg[name.decode(_CHARSET)] = text.decode(_CHARSET)
        self.will_close = self._is_reset or self._parser.is_last_message

    def isclosed(self) -> bool:
        """Return whether the body has been read, or the response closed."""
        return self._socket_reference.closed

    def close(self) -> None:
        """Release the socket; shut it down unless it can be used again."""
        if self.isclosed():
            return
        if not self._content:
            self._parse_content()
        if not self._is_complete or self._parser.trailing_bytes:
            # What is left belongs to no later request.
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)
        self._socket_reference.close()
        super().close()

    def readable(self) -> bool:
        """Return True."""
        return True

    def fileno(self) -> int:
        """Return the file descriptor of the socket."""
        return self._socket_reference.fileno()

    def read(self, size: int | None = -1) -> bytes:
        """Return bytes of the body, fewer than ``size`` only at its end.

        :param size: None or -1 for the whole body, up to
            :data:`MAX_BODY_BYTES`.
        :raises BrokenResponseError: the body is malformed, incomplete or too
            long.
        """
        if size is None or size < 0:
            content = self._read_up_to(MAX_BODY_BYTES + 1)
            if len(content) > MAX_BODY_BYTES:
                raise BrokenResponseError('the body is too long')
            return content
        return self._read_up_to(size)

    def read1(self, size: int = -1) -> bytes:
        """Return the next bytes of the body, empty at its end.

        Raises like :meth:`read`.
        """
        if not self._content and not self.isclosed():
            self._receive_content()
        content = self._content
        self._content = b''
        if 0 <= size < len(content):
            self._content = content[size:]
            return content[:size]
        return content

    def _read_up_to(self, size: int) -> bytes:
        parts: list[bytes] = []
        while size > 0:
            part = self.read1(size)
            if not part:
                break
            parts.append(part)
            size -= len(part)
        return b''.join(parts)

    def _receive_content(self) -> None:
        """Wait until there is content, or the end of the body."""
        self._parse_content()
        while not (self._content or self._is_complete):
            if self._error is not None:
                raise self._error
            self._receive()
            self._parse_content()
        if self._is_complete:
            self.close()

    def _parse_content(self) -> None:
        """Parse what has been received, up to one part of the body."""
        if self._is_complete or self._error is not None:
            return
        try:
            event = self._parse_event()
        except BrokenResponseError:
            # Raised when what precedes the malformed part has been read.
            return
        if isinstance(event, h11.Data):
            self._content = bytes(event.data)
        self._is_complete = isinstance(event, h11.EndOfMessage)

    def _receive_event(self) -> message_parser.Event:
        event = self._parse_event()
        while event is h11.NEED_DATA:
            self._receive()
            event = self._parse_event()
        return event

    def _parse_event(self) -> message_parser.Event:
        try:
            return self._parser.next_event()
        except message_parser.MalformedMessageError as exc:
            self._error = BrokenResponseError(str(exc))
            raise self._error from exc

    def _receive(self) -> None:
        content = self._sock.recv(_READ_BYTES)
        if not content and self._is_reset:
            raise BrokenResponseError('the connection was reset')
        self._parser.receive_data(content)


class Connection(urllib3.connection.HTTPConnection):
    """Connection of urllib3 for :class:`Response`.

    urllib3 reads the response although sending the request failed, since the
    upstream may have responded before it closed the connection. The error of a
    reset connection is raised once, so reading does not raise it again.
    """

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        """Take the arguments of the base class."""
        super().__init__(*args, **options)
        self._set_reset(is_reset=False)

    def connect(self) -> None:
        """Connect, or connect again."""
        self._set_reset(is_reset=False)
        super().connect()

    def send(self, content: typing.Any) -> None:
        """Send part of a request.

        :raises OSError: the connection failed.
        """
        try:
            super().send(content)
        except BrokenPipeError:
            # The end of the response arrived before the reset.
            raise
        except OSError:
            self._set_reset(is_reset=True)
            raise

    def _set_reset(self, *, is_reset: bool) -> None:
        """Set whether the connection broke while a request was sent."""
        response_class = functools.partial(Response, is_reset=is_reset)
        self.response_class = typing.cast('typing.Any', response_class)


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = Connection


def pool_manager(**options: typing.Any) -> urllib3.PoolManager:
    """Return a pool manager without retries for such connections.

    :param options: as of :class:`urllib3.PoolManager`.
    """
    manager = urllib3.PoolManager(retries=False, **options)
    manager.pool_classes_by_scheme = {'http': _Pool}
    return manager
