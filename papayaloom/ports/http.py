"""HTTP requests to upstreams; errors tell whether the request may have run.

Retries and redirects of urllib3 are off, so each call sends one request.
"""

import threading
import typing

import msgspec
import urllib3

from papayaloom import decoding, errors
from papayaloom.connection import client_connection
from papayaloom.ports import engine

# Longest accepted body of a response that is not streamed.
MAX_BODY_BYTES = 16_777_216
# Idle connections per upstream, and number of upstreams with a pool.
MAX_IDLE_CONNECTIONS = 64
MAX_POOLS = 512
_PROBLEM_TYPE = 'application/problem+json'
# Exceptions that urllib3 raises before it sends the first byte of a request.
_NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.LocationValueError,
    urllib3.exceptions.EmptyPoolError,
)
Headers = typing.Mapping[str, str]


class Pools:
    """Connection pools of a process, one for each upstream.

    The PoolManager of urllib3 parses the URL and builds a key of 30 parts for
    each request. The base URLs of the upstreams are known, so a dictionary
    look-up by base URL is enough.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self._lock = threading.Lock()
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def pool_for(self, base: str) -> urllib3.HTTPConnectionPool:
        """Return the pool of an upstream; may evict the oldest pool."""
        pool = self._pools.get(base)
        if pool is not None:
            return pool
        with self._lock:
            while len(self._pools) >= MAX_POOLS:
                # Closing a pool does not interrupt requests in progress.
                self._pools.pop(next(iter(self._pools))).close()
            return self._pools.setdefault(base, _pool(base))


class Request(msgspec.Struct, frozen=True):
    """One HTTP request to an upstream.

    :param base: base URL of the upstream.
    :param path: path and query below it.
    :param fresh: use a new connection. The upstream may close an idle
        connection just when a request is sent on it, which would give an
        avoidable ``may have run`` for a call that must not run twice.
    """

    method: str
    base: str
    path: str
    headers: Headers
    body: bytes = b''
    timeouts: engine.Timeouts = engine.Timeouts()
    fresh: bool = False


def send(pools: Pools, req: Request) -> urllib3.BaseHTTPResponse:
    """Send a request and return the response before its body is read.

    :raises papayaloom.errors.UpstreamError: there was no response; the verdict
        is ``not run`` only if no connection was established.
    """
    try:
        pool = _pool(req.base) if req.fresh else pools.pool_for(req.base)
        return pool.urlopen(
            req.method,
            req.path,
            body=req.body or None,
            headers=req.headers,
            timeout=urllib3.Timeout(
                connect=req.timeouts.connect_s,
                read=req.timeouts.read_s,
            ),
            retries=False,
            redirect=False,
            assert_same_host=False,
            preload_content=False,
            decode_content=False,
        )
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
        raise upstream_error(exc) from exc


def upstream_error(exc: Exception) -> errors.UpstreamError:
    """Convert an exception of urllib3 or the socket layer."""
    if isinstance(exc, _NOT_SENT):
        return errors.UpstreamError(
            f'upstream not reached: {exc}', errors.Verdict.NOT_RUN
        )
    timed_out = isinstance(exc, (urllib3.exceptions.TimeoutError, TimeoutError))
    return errors.UpstreamError(
        f'upstream failed after the request was sent: {exc!r}',
        errors.Verdict.MAY_HAVE_RUN,
        crashed=not timed_out,
    )


def read_body(
    response: urllib3.BaseHTTPResponse, limit: int = MAX_BODY_BYTES
) -> bytes:
    """Read the whole body and return the connection to its pool.

    :raises papayaloom.errors.UpstreamError: the body is truncated or longer
        than ``limit``.
    """
    try:
        content = response.read(limit + 1)
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
        response.close()
        raise upstream_error(exc) from exc
    if len(content) > limit:
        response.close()
        raise errors.UpstreamError(
            f'the answer is longer than {limit} bytes',
            errors.Verdict.MAY_HAVE_RUN,
        )
    response.release_conn()
    return content


def decode_problem(
    response: urllib3.BaseHTTPResponse, content: bytes
) -> errors.Problem | None:
    """Return the problem document of a response, or None.

    The verdict is ``may have run`` unless the document has another one.
    """
    media_type = response.headers.get('Content-Type', '').partition(';')[0]
    if media_type.strip().lower() != _PROBLEM_TYPE:
        return None
    defaults = {
        'title': 'the upstream refused the request',
        'verdict': errors.Verdict.MAY_HAVE_RUN.value,
        'retry_after_s': _retry_after_s(response),
    }
    overrides = {'status': response.status}
    try:
        members = decoding.decode_json(content, dict[str, typing.Any])
        errors.Verdict(members.get('verdict', defaults['verdict']))
        return msgspec.convert(
            {**defaults, **members, **overrides}, errors.Problem
        )
    except (msgspec.MsgspecError, ValueError):
        return msgspec.convert({**defaults, **overrides}, errors.Problem)


def success_body(response: urllib3.BaseHTTPResponse) -> bytes:
    """Return the body of a 2xx response.

    :raises papayaloom.errors.RefusedError: the response is a problem document.
    :raises papayaloom.errors.UpstreamError: any other response.
    """
    content = read_body(response)
    if response.status // 100 == 2:
        return content
    problem = decode_problem(response, content)
    if problem is not None:
        raise errors.RefusedError(problem)
    raise errors.UpstreamError(
        f'the upstream answered with status {response.status}',
        errors.Verdict.MAY_HAVE_RUN,
    )


def _retry_after_s(response: urllib3.BaseHTTPResponse) -> float:
    text = response.headers.get('Retry-After', '')
    return float(text) if text.isascii() and text.isdigit() else 0


def _pool(base: str) -> urllib3.HTTPConnectionPool:
    pool = urllib3.connection_from_url(
        base, maxsize=MAX_IDLE_CONNECTIONS, retries=False
    )
    if pool.scheme == 'http':
        pool.ConnectionCls = client_connection.Connection
    return pool
