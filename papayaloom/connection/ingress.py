"""Server towards callers whose requests are forwarded as they are.

Unlike WSGI, the handler gets the request target and the headers as they were
sent, writes its answer in parts, and can break an answer off.
"""

import http
import logging
import math
import socket
import struct
import time
import typing

import structlog
from cheroot import errors as cheroot_errors
from cheroot import server

from papayaloom import errors
from papayaloom.connection import caller, listening
from papayaloom.request import onward

_log = structlog.get_logger('ingress')
_PROBLEM_TYPE = b'application/problem+json'
_OLD_PROTOCOL = 'HTTP/1.0'
# On, with no time to send what is left: closing resets the connection.
_NO_LINGER = struct.pack('ii', 1, 0)


class BrokenOffError(errors.PapayaloomError):
    """An answer that has begun can't be completed; the connection closes."""


class Inbound:
    """A request of a caller, and the way back to it.

    :param received: the request as cheroot has parsed it.
    """

    def __init__(self, received: typing.Any) -> None:
        """Read the body whole.

        :raises papayaloom.errors.RefusedError: the body was not sent in time.
        """
        self._received = received
        self.arrived_at = time.monotonic()
        self.method: bytes = received.method
        self.target: bytes = received.uri
        self.headers: dict[bytes, bytes] = received.inheaders
        self.caller_fd: int = received.conn.socket.fileno()
        self.has_begun = False
        self.body = self._read_body()

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')

    @property
    def host(self) -> str:
        """Value of the ``Host`` header."""
        return self.headers.get(b'Host', b'').decode('latin-1')

    def begin(self, status: int, headers: onward.Headers) -> None:
        """Send the head of the answer; without a length it is chunked."""
        self.has_begun = True
        self._received.status = status_line(status)
        self._received.outheaders = list(headers)
        self._received.sent_headers = True
        self._received.send_headers()

    def write(self, content: bytes) -> None:
        """Send a part of the body."""
        self._received.write(content)

    def answer(
        self, status: int, headers: onward.Headers, content: bytes
    ) -> None:
        """Send a whole answer."""
        self.has_begun = True
        send_whole(self._received, status, headers, content)

    def close_after(self) -> None:
        """Close the connection after the answer."""
        self._received.close_connection = True

    def _read_body(self) -> bytes:
        try:
            return self._received.rfile.read()
        except TimeoutError as exc:
            raise _body_refused(408, 'the body came too slowly') from exc
        except cheroot_errors.MaxSizeExceeded as exc:
            raise _body_refused(413, 'the body is too long') from exc
        except ValueError as exc:
            raise _body_refused(400, f'the body: {exc}') from exc


def _body_refused(status: int, why: str) -> errors.RefusedError:
    return errors.RefusedError(errors.Problem(why, status))


def refuse(
    received: typing.Any, inbound: Inbound | None, problem: errors.Problem
) -> None:
    """Send a problem document.

    :param inbound: the request; nothing when its body could not be read.
    """
    headers = [(b'Content-Type', _PROBLEM_TYPE)]
    if problem.retry_after_s:
        seconds = f'{problem.retry_after_s:.2f}'.encode()
        headers.append((b'Retry-After', seconds))
    if problem.status == http.HTTPStatus.UNAUTHORIZED:
        headers.append((b'WWW-Authenticate', b'Bearer'))
    if inbound is None:
        received.close_connection = True
    send_whole(received, problem.status, headers, problem.encode())


def break_off(received: typing.Any) -> None:
    """Close the connection, without the end chunk of an answer in parts.

    So the answer looks incomplete to a caller that is still there. Where the
    end of the connection ends the answer, the connection is reset.
    """
    if received.sent_headers and received.response_protocol == _OLD_PROTOCOL:
        _reset(received.conn.socket)
    received.close_connection = True
    received.sent_headers = True
    received.chunked_write = False


def _reset(sock: socket.socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        sock.close()
    except OSError as exc:
        _log.info('ingress: the caller had left', reason=str(exc))


def send_whole(
    received: typing.Any, status: int, headers: onward.Headers, content: bytes
) -> None:
    """Send a whole answer."""
    received.status = status_line(status)
    received.outheaders = [
        *headers,
        (b'Content-Length', b'%d' % len(content)),
    ]
    received.sent_headers = True
    received.send_headers()
    if content and received.method != b'HEAD':
        received.write(content)


def status_line(status: int) -> bytes:
    """Return the status with its phrase."""
    known = status in http.HTTPStatus.__members__.values()
    phrase = http.HTTPStatus(status).phrase if known else 'Unknown'
    return f'{status} {phrase}'.encode()


Handler = typing.Callable[[typing.Any], None]


class _Gateway(server.Gateway):
    """Hands each request to the handler of its server."""

    def respond(self) -> None:
        """Answer the request, or break the answer off."""
        self.req.server.handler(self.req)


class Ingress(listening.LimitedServer):
    """Server that hands requests to a handler.

    :param handler: answers a request; raises :class:`BrokenOffError` for an
        answer that can't be completed.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        limits: caller.Limits,
    ) -> None:
        """Prepare the server; ``prepare`` binds, ``serve`` serves."""
        super().__init__(
            address,
            _Gateway,
            server_name='papayaloom',
        )
        self.handler = handler
        self.request_queue_size = limits.backlog
        self.timeout = math.ceil(limits.idle_s)
        self.set_up(limits)

    def error_log(
        self, msg: str = '', level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log what cheroot reports."""
        if level >= logging.ERROR:
            _log.error(f'ingress: {msg.strip()}', exc_info=traceback)
