"""Caller connections with strict parsing, size limits and timeouts.

Cheroot's own parser tolerates malformed requests, which the next hop could
interpret differently (request smuggling), and applies its timeout to each
single read. :mod:`papayaloom.connection.request_reader` replaces it.
"""

import collections
import contextlib
import http
import re
import socket
import struct
import typing
import urllib.parse

import h11
import msgspec
import structlog
from cheroot import server

from papayaloom import errors
from papayaloom.connection import (
    message_parser,
    request_reader,
    request_target,
)

_log = structlog.get_logger('callers')
_ENCODED_SLASH = re.compile(b'(?i)%2F')
_CONTINUE = b'100-continue'
_HTTP11 = b'1.1'
# SO_LINGER enabled with a zero timeout: closing the socket resets the
# connection and discards unsent data.
_ZERO_LINGER = struct.pack('ii', 1, 0)
# What is read and dropped of a caller whose request was rejected.
_DISCARD_S = 0.3
_DISCARD_BYTES = 1_048_576
_WRITE_FAILURES = (BrokenPipeError, ConnectionError, TimeoutError)


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on callers.

    :param header_bytes: maximum size of request line and headers together.
    :param body_bytes: maximum size of the body.
    :param header_s: timeout from the first byte of a request to the end of its
        headers.
    :param body_s: timeout for the whole body.
    :param send_s: timeout for a single write to a slow caller.
    :param idle_s: timeout of an idle connection.
    :param idle: maximum number of idle connections; beyond it, the oldest one
        is closed.
    :param threads: maximum number of requests served concurrently.
    :param backlog: length of the accept queue.
    """

    header_bytes: int = 32_768
    body_bytes: int = 8_388_608
    header_s: float = 10
    body_s: float = 30
    send_s: float = 10
    idle_s: float = 60
    idle: int = 1024
    threads: int = 256
    backlog: int = 128


class _Writer:
    """Unbuffered writer with a timeout per write."""

    def __init__(self, sock: socket.socket, send_s: float) -> None:
        self.bytes_written = 0
        self._conn = sock
        self._send_s = send_s

    def write(self, content: bytes) -> int:
        self._conn.settimeout(self._send_s)
        self._conn.sendall(content)
        self.bytes_written += len(content)
        return len(content)

    def flush(self) -> None:
        """Do nothing, because writes are unbuffered."""


class CallerRequest(server.HTTPRequest):
    """Request that is rejected with a problem document if it is malformed."""

    @property
    def repeated_fields(self) -> frozenset[bytes]:
        """Names of the fields that came more than once."""
        return self._repeated_fields

    def parse_request(self) -> None:
        """Read the head and set what cheroot and the handlers use of it."""
        # Lets cheroot answer 408 if the body is not received in time.
        self.started_request = True
        limits = self.server.limits
        try:
            head = self.conn.rfile.read_head(
                limits.header_bytes, limits.body_bytes
            )
        except message_parser.MalformedMessageError as exc:
            self.simple_response(_status_text(exc.status), str(exc))
            return
        if head is None:
            return
        self._set_head(head)
        self.ready = True
        if self.inheaders.get(b'Expect', b'').lower() == _CONTINUE:
            self.conn.wfile.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def respond(self) -> None:
        """Start the timeout of the body, then handle the request."""
        self.conn.rfile.set_timeout(self.server.limits.body_s)
        self.rfile = self.conn.rfile
        try:
            self.server.gateway(self).respond()
        finally:
            self.rfile.release()
        self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b'0\r\n\r\n')

    def send_headers(self) -> None:
        """Send status and headers.

        What is left of a body that was not read must not be taken for the next
        request, so the connection is closed after the response.
        """
        if not self.conn.rfile.is_message_read:
            self.close_connection = True
        super().send_headers()

    def simple_response(self, status: str, msg: str | bytes = '') -> None:
        """Write a problem document and close the connection."""
        self.close_connection = True
        if isinstance(msg, bytes):
            msg = msg.decode('latin-1')
        code, _, title = str(status).partition(' ')
        # A 500 follows an unexpected exception, which may have been raised
        # after the request was sent to an upstream.
        verdict = (
            errors.Verdict.MAY_HAVE_RUN
            if code == '500'
            else errors.Verdict.NOT_RUN
        ).value
        body = errors.Problem(
            title=title or 'refused',
            status=int(code),
            detail=msg,
            verdict=verdict,
        ).encode()
        head = (
            f'{self.server.protocol} {status}\r\n'
            f'Content-Length: {len(body)}\r\n'
            'Content-Type: application/problem+json\r\n'
            f'X-Verdict: {verdict}\r\n'
            'Connection: close\r\n\r\n'
        )
        self.sent_headers = True
        try:
            self.conn.wfile.write(head.encode('latin-1') + body)
        except _WRITE_FAILURES:
            self.ready = False
        self.conn.discard_input()

    def _set_head(self, head: h11.Request) -> None:
        target = request_target.parse(
            head.method, head.target
        ) or request_target.Target(head.target)
        self.method = head.method
        self.uri = target.resource
        self.inheaders = _combined(head.headers)
        self._repeated_fields = _repeated(head.headers)
        if target.host is not None:
            self.inheaders[b'Host'] = target.host
        path, _, query = target.resource.partition(b'?')
        self.path = _unquoted(path)
        self.qs = query
        version = head.http_version.decode()
        self.request_protocol = f'HTTP/{version}'.encode()
        is_old = head.http_version < _HTTP11
        self.response_protocol = 'HTTP/1.0' if is_old else 'HTTP/1.1'
        options = self.inheaders.get(b'Connection', b'').lower().split(b',')
        self.close_connection = is_old or b'close' in {
            option.strip() for option in options
        }


class CallerConnection(server.HTTPConnection):
    """Connection with timeouts for headers and bodies."""

    RequestHandlerClass = CallerRequest

    def __init__(
        self,
        owner: typing.Any,
        sock: socket.socket,
        makefile: typing.Any = None,
    ) -> None:
        """Replace the reader and the writer of cheroot."""
        super().__init__(owner, sock)
        self.rfile = request_reader.RequestReader(sock, owner.body_budget)
        self.wfile = _Writer(sock, owner.limits.send_s)
        # Whether the server has already waited for the first byte.
        self.has_awaited_request = False

    def discard_input(self) -> None:
        """Send the end of the connection, then drop what still arrives.

        Closing a socket with unread bytes resets the connection, which may
        destroy the response (RFC 9112, section 9.6).
        """
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            self.rfile.set_timeout(_DISCARD_S)
            self.rfile.discard(_DISCARD_BYTES)

    def reset_on_close(self) -> None:
        """Let :meth:`close` reset the connection and discard unsent data."""
        with contextlib.suppress(OSError):
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER
            )
        # Cheroot must not shut the socket down, which would end it regularly.
        self.linger = True

    def close(self) -> None:
        """Close the connection.

        An exception would end the worker thread, and cheroot would then close
        the listener of all callers.
        """
        try:
            super().close()
        except OSError as exc:
            _log.warning('callers: connection not closed', reason=str(exc))
        self.socket.close()

    def communicate(self) -> bool:
        """Serve one request."""
        self.rfile.set_timeout(self.server.limits.header_s)
        return super().communicate()


def _combined(
    headers: typing.Iterable[tuple[bytes, bytes]],
) -> dict[bytes, bytes]:
    """Combine repeated fields into one (RFC 9110, section 5.3)."""
    combined: dict[bytes, bytes] = {}
    for lower_name, text in headers:
        name = lower_name.title()
        earlier = combined.get(name)
        separator = b'; ' if name == b'Cookie' else b', '
        combined[name] = (
            text if earlier is None else separator.join((earlier, text))
        )
    return combined


def _repeated(
    headers: typing.Iterable[tuple[bytes, bytes]],
) -> frozenset[bytes]:
    """Return the names of fields that came more than once."""
    counts = collections.Counter(name.title() for name, _ in headers)
    return frozenset(name for name, count in counts.items() if count > 1)


def _unquoted(path: bytes) -> bytes:
    """Decode a path except for its encoded slashes."""
    atoms = [
        urllib.parse.unquote_to_bytes(atom)
        for atom in _ENCODED_SLASH.split(path)
    ]
    return b'%2F'.join(atoms)


def _status_text(status: int) -> str:
    return f'{status} {http.HTTPStatus(status).phrase}'
