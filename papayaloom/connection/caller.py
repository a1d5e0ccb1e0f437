"""Connections of callers: limits on headers, bodies and slow callers.

Cheroot limits the time of each single read, so a caller that sends one byte
now and then could hold a worker thread for ever. Here the headers as a whole
and the body as a whole have a time limit. A request whose length is stated in
two ways is refused, because the next hop could understand it differently.
"""

import socket
import time
import typing

import msgspec
from cheroot import makefile, server

from papayaloom import errors

_WRITE_FAILURES = (BrokenPipeError, ConnectionError, TimeoutError)


class Limits(msgspec.Struct, frozen=True):
    """Limits on callers.

    :param header_bytes: request line and headers together.
    :param header_s: from the first byte of a request to its last header.
    :param body_s: for the whole body.
    :param send_s: for one write to a caller that reads slowly.
    :param idle_s: for a connection without a request.
    :param idle: connections without a request; above that the oldest one is
        closed.
    :param threads: requests served at the same time, at the most.
    :param backlog: connections that wait to be accepted.
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


class _Raw(socket.SocketIO):
    """Socket reads that together have one time limit."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, 'r')
        self.until = float('inf')
        self._conn = sock

    def readinto(self, buffer: typing.Any) -> int | None:
        left = self.until - time.monotonic()
        if left <= 0:
            raise TimeoutError('timed out')
        self._conn.settimeout(left if left < float('inf') else None)
        return super().readinto(buffer)


class _Reader(makefile.StreamReader):
    """Cheroot's reader over :class:`_Raw`."""

    def __init__(self, raw: _Raw, size: int) -> None:
        # The constructor of StreamReader would make its own raw part.
        super(makefile.StreamReader, self).__init__(raw, size)  # noqa: WPS608
        self.bytes_read = 0


class _Writer:
    """Unbuffered writes with a time limit."""

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
        """Do nothing: there is no buffer."""


class Request(server.HTTPRequest):
    """Request with problem documents as refusals."""

    def parse_request(self) -> None:
        """Read line and headers, and check how the length is stated."""
        super().parse_request()
        problem = framing_problem(self.inheaders) if self.ready else ''
        if problem:
            self.ready = False
            self.simple_response('400 Bad Request', problem)

    def respond(self) -> None:
        """Give the body its own time limit."""
        self.conn.allow(self.server.limits.body_s)
        super().respond()

    def simple_response(self, status: str, msg: str | bytes = '') -> None:
        """Write a problem document and close the connection."""
        self.close_connection = True
        if isinstance(msg, bytes):
            msg = msg.decode('latin-1')
        code, _, title = str(status).partition(' ')
        # A 500 follows an unexpected exception, maybe after the request left.
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


class Connection(server.HTTPConnection):
    """Connection with time limits for headers and bodies."""

    RequestHandlerClass = Request

    def __init__(
        self,
        owner: typing.Any,
        sock: socket.socket,
        makefile: typing.Any = None,
    ) -> None:
        """Replace cheroot's reader and writer."""
        super().__init__(owner, sock)
        self._raw = _Raw(sock)
        self.rfile = _Reader(self._raw, self.rbufsize)
        self.wfile = _Writer(sock, owner.limits.send_s)
        # Set when the server has waited for the first byte.
        self.awaited = False

    def allow(self, seconds: float) -> None:
        """Limit the time of all reads from now on."""
        self._raw.until = time.monotonic() + seconds

    def communicate(self) -> bool:
        """Serve one request."""
        self.allow(self.server.limits.header_s)
        return super().communicate()


def framing_problem(headers: typing.Mapping[bytes, bytes]) -> str:
    """Return why the length of a body is not stated clearly, or nothing."""
    length = headers.get(b'Content-Length')
    coding = headers.get(b'Transfer-Encoding')
    if length is not None and coding is not None:
        return 'both Content-Length and Transfer-Encoding are given'
    if length is not None and not length.isdigit():
        return 'Content-Length is not a whole number'
    if coding is not None and coding.strip().lower() != b'chunked':
        return 'Transfer-Encoding is not "chunked"'
    return ''
