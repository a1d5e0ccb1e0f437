"""HTTP server for callers whose requests are forwarded unchanged.

Unlike with WSGI, the handler receives the request target and the headers as
they were sent, writes its response incrementally, and can abort a response.
"""

import http
import logging
import math
import time
import typing

import structlog
from cheroot import server

from papayaloom import errors
from papayaloom.connection import (
    buffer_budget,
    caller_connection,
    limited_server,
    message_parser,
)
from papayaloom.request import header_dialect

_log = structlog.get_logger('ingress')
_PROBLEM_TYPE = b'application/problem+json'
# Time after which a caller whose body found no room may come back.
BODY_RETRY_S = 0.5
_HTTP10_PROTOCOL = 'HTTP/1.0'


class ResponseAbortedError(errors.PapayaloomError):
    """A response that has started can't be completed; closes the connection."""


class InboundRequest:
    """A caller's request and methods to respond to it.

    :param received: the request as parsed by cheroot.
    """

    def __init__(self, received: typing.Any) -> None:
        """Read the complete body.

        :raises papayaloom.errors.RefusedError: the body is malformed, too long
            or was not received in time.
        """
        self._received = received
        self.arrived_at = time.monotonic()
        self.method: bytes = received.method
        self.target: bytes = received.uri
        self.headers: dict[bytes, bytes] = received.inheaders
        self.repeated_fields: frozenset[bytes] = received.repeated_fields
        self.caller_fd: int = received.conn.socket.fileno()
        self.has_begun = False
        self.body = self._read_body()

    @property
    def path(self) -> str:
        """Path without the query string."""
        return self.target.partition(b'?')[0].decode('latin-1')

    @property
    def host(self) -> str:
        """Value of the ``Host`` header."""
        return self.headers.get(b'Host', b'').decode('latin-1')

    def begin(self, status: int, headers: header_dialect.Headers) -> None:
        """Send status and headers; without a length the body is chunked."""
        self.has_begun = True
        self._received.status = status_line(status)
        self._received.outheaders = list(headers)
        self._received.sent_headers = True
        self._received.send_headers()

    def write(self, content: bytes) -> None:
        """Send part of the response body."""
        self._received.write(content)

    def answer(
        self,
        status: int,
        headers: header_dialect.Headers,
        content: bytes | bytearray,
    ) -> None:
        """Send a complete response."""
        self.has_begun = True
        send_response(self._received, status, headers, content)

    def close_after(self) -> None:
        """Close the connection after the response."""
        self._received.close_connection = True

    def _read_body(self) -> bytes:
        try:
            return self._received.rfile.read()
        except TimeoutError as exc:
            raise _rejected_body(408, 'the body came too slowly') from exc
        except message_parser.MalformedMessageError as exc:
            raise _rejected_body(exc.status, f'the body: {exc}') from exc
        except buffer_budget.BufferFullError as exc:
            raise errors.RefusedError(
                errors.Problem(str(exc), 503, retry_after_s=BODY_RETRY_S)
            ) from exc


def _rejected_body(status: int, why: str) -> errors.RefusedError:
    return errors.RefusedError(errors.Problem(why, status))


def send_problem(
    received: typing.Any,
    inbound: InboundRequest | None,
    problem: errors.Problem,
) -> None:
    """Send a problem document.

    :param inbound: the request; None if its body could not be read.
    """
    headers = [(b'Content-Type', _PROBLEM_TYPE)]
    if problem.retry_after_s:
        seconds = f'{problem.retry_after_s:.2f}'.encode()
        headers.append((b'Retry-After', seconds))
    if problem.status == http.HTTPStatus.UNAUTHORIZED:
        headers.append((b'WWW-Authenticate', b'Bearer'))
    if inbound is None:
        received.close_connection = True
    send_response(received, problem.status, headers, problem.encode())
    if inbound is None:
        received.conn.discard_input()


def abort_response(received: typing.Any) -> None:
    """Close the connection without the final chunk of a chunked response.

    The caller can then tell that the response is incomplete. With HTTP/1.0,
    where closing the connection ends the response, the connection is reset.
    """
    if received.sent_headers and received.response_protocol == _HTTP10_PROTOCOL:
        received.conn.reset_on_close()
    received.close_connection = True
    received.sent_headers = True
    received.chunked_write = False


def send_response(
    received: typing.Any,
    status: int,
    headers: header_dialect.Headers,
    content: bytes | bytearray,
) -> None:
    """Send a complete response."""
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
    """Return the status code with its reason phrase."""
    known = status in http.HTTPStatus.__members__.values()
    phrase = http.HTTPStatus(status).phrase if known else 'Unknown'
    return f'{status} {phrase}'.encode()


Handler = typing.Callable[[typing.Any], None]


class _Gateway(server.Gateway):
    """Passes each request to the handler of its server."""

    def respond(self) -> None:
        """Call the handler of the server."""
        self.req.server.handler(self.req)


class Ingress(limited_server.LimitedServer):
    """HTTP server that passes requests to a handler.

    :param handler: responds to a request; raises :class:`ResponseAbortedError`
        if a response can't be completed.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        limits: caller_connection.CallerLimits,
    ) -> None:
        """Create the server; ``prepare`` binds it, ``serve`` runs it."""
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
        """Log errors reported by cheroot."""
        if level >= logging.ERROR:
            _log.error(f'ingress: {msg.strip()}', exc_info=traceback)
