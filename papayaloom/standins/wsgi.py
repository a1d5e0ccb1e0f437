"""HTTP server of the stand-ins, with a resource for the fault switches."""

import errno
import http
import time
import typing
import urllib.parse

import cheroot.wsgi
import msgspec

from papayaloom import errors
from papayaloom.standins import faults

_JSON = 'application/json'
_MAX_BODY_BYTES = 64 * 2**20


class Call(msgspec.Struct, frozen=True):
    """One HTTP request.

    :param path: path segments, unquoted.
    :param headers: names in lower case with hyphens.
    """

    method: str
    path: tuple[str, ...]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def number(self, header: str, default: int = 0) -> int:
        """Return a header as a whole number."""
        return int(self.headers.get(header, default))


class Reply(msgspec.Struct, frozen=True):
    """One HTTP response; a stream is sent chunk by chunk."""

    status: int = 200
    body: bytes = b''
    content_type: str = _JSON
    headers: tuple[tuple[str, str], ...] = ()
    stream: typing.Iterator[bytes] | None = None


Handler = typing.Callable[[Call], Reply]


def json_reply(content: object, status: int = 200) -> Reply:
    """Return a JSON response."""
    return Reply(status, msgspec.json.encode(content))


def problem(document: errors.Problem) -> Reply:
    """Return a problem document (RFC 9457) that includes the verdict."""
    fields = msgspec.to_builtins(document)
    fields['verdict'] = document.verdict
    content = msgspec.json.encode(fields)
    headers: tuple[tuple[str, str], ...] = ()
    if document.retry_after_s:
        headers = (('Retry-After', str(round(document.retry_after_s))),)
    content_type = 'application/problem+json'
    return Reply(document.status, content, content_type, headers)


def refuse(status: int, title: str) -> Reply:
    """Return a problem document with the verdict "not run"."""
    return problem(errors.Problem(title, status))


def drop_connection() -> typing.NoReturn:
    """Close the connection without sending more bytes.

    :raises ConnectionResetError: makes cheroot close the connection silently.
    """
    raise ConnectionResetError(errno.ECONNRESET, 'dropped by a fault switch')


def _parse_call(environ: dict[str, typing.Any]) -> Call:
    length = min(int(environ.get('CONTENT_LENGTH') or 0), _MAX_BODY_BYTES)
    path = environ['PATH_INFO'].strip('/')
    headers = {
        name.removeprefix('HTTP_').replace('_', '-').lower(): text
        for name, text in environ.items()
        if name.startswith('HTTP_')
    }
    return Call(
        environ['REQUEST_METHOD'],
        tuple(path.split('/')),
        dict(urllib.parse.parse_qsl(environ.get('QUERY_STRING', ''))),
        headers,
        environ['wsgi.input'].read(length),
    )


def _fault_endpoint(call: Call, switches: faults.Faults) -> Reply:
    try:
        switches.change(**msgspec.json.decode(call.body or b'{}'))
    except (ValueError, TypeError) as exc:
        return refuse(400, str(exc))
    return json_reply(switches)


def _dispatch(call: Call, handler: Handler, switches: faults.Faults) -> Reply:
    if call.path == ('faults',):
        return _fault_endpoint(call, switches)
    if switches.delay_s:
        time.sleep(switches.delay_s)
    try:
        return handler(call)
    except errors.RefusedError as exc:
        return problem(exc.problem)
    except errors.UpstreamError:
        drop_connection()
    except (ValueError, msgspec.MsgspecError) as malformed:
        return refuse(400, str(malformed))


def application(
    handler: Handler,
    switches: faults.Faults,
) -> typing.Callable[..., typing.Iterable[bytes]]:
    """Return the WSGI application of a stand-in."""

    def respond(
        environ: dict[str, typing.Any],
        start_response: typing.Callable[..., object],
    ) -> typing.Iterable[bytes]:
        reply = _dispatch(_parse_call(environ), handler, switches)
        phrase = http.HTTPStatus(reply.status).phrase
        headers = [('Content-Type', reply.content_type), *reply.headers]
        if reply.stream is None:
            headers.append(('Content-Length', str(len(reply.body))))
        start_response(f'{reply.status} {phrase}', headers)
        return [reply.body] if reply.stream is None else reply.stream

    return respond


def server(
    address: str,
    handler: Handler,
    switches: faults.Faults,
    threads: int = 32,
) -> cheroot.wsgi.Server:
    """Return a server that is bound to an address but not yet serving.

    :param address: ``host:port``; port 0 picks a free one.
    """
    host, _, port = address.rpartition(':')
    http_server = cheroot.wsgi.Server(
        (host, int(port)),
        application(handler, switches),
        numthreads=threads,
        server_name='papayaloom-standin',
    )
    http_server.prepare()
    return http_server
