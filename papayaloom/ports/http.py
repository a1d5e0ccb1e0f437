"""HTTP requests to upstreams, with true verdicts.

Retries and redirects of the library are off: each send is one request.
"""

import threading
import typing

import msgspec
import urllib3

from papayaloom import errors
from papayaloom.ports import engine

# An answer that is no stream and longer than this is refused.
MAX_BODY = 16_777_216
# Connections kept for later use, per upstream, and upstreams with a pool.
KEPT_CONNECTIONS = 64
KEPT_UPSTREAMS = 512
_PROBLEM = 'application/problem+json'
# Raised before the first byte of a request leaves.
_NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.LocationValueError,
    urllib3.exceptions.EmptyPoolError,
)
Headers = typing.Mapping[str, str]


class Pools:
    """Connection pools of a process, one for each upstream.

    urllib3's own PoolManager parses the URL and builds a key of 30 parts for
    each request; a dictionary by base URL does the same for upstreams that are
    known.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self._lock = threading.Lock()
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def at(self, base: str) -> urllib3.HTTPConnectionPool:
        """Return the pool of an upstream; the oldest one may be closed."""
        pool = self._pools.get(base)
        if pool is not None:
            return pool
        with self._lock:
            while len(self._pools) >= KEPT_UPSTREAMS:
                # Requests on the way keep their connections.
                self._pools.pop(next(iter(self._pools))).close()
            return self._pools.setdefault(base, _pool(base))


class Request(msgspec.Struct, frozen=True):
    """One HTTP request to an upstream.

    :param base: base URL of the upstream.
    :param path: path and query below it.
    :param fresh: use a new connection. A reused connection may be closed by
        the upstream just when the request is sent; for a call that must not
        run twice, that would be an avoidable ``may have run``.
    """

    method: str
    base: str
    path: str
    headers: Headers
    body: bytes = b''
    timeouts: engine.Timeouts = engine.Timeouts()
    fresh: bool = False


def send(kept: Pools, req: Request) -> urllib3.BaseHTTPResponse:
    """Send a request and return the answer with its body unread.

    :raises papayaloom.errors.UpstreamError: no answer; the verdict is ``not
        run`` only when the connection was never made.
    """
    try:
        pool = _pool(req.base) if req.fresh else kept.at(req.base)
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
        raise failure(exc) from exc


def failure(exc: Exception) -> errors.UpstreamError:
    """Translate an exception of the library."""
    if isinstance(exc, _NOT_SENT):
        return errors.UpstreamError(
            f'upstream not reached: {exc}', errors.Verdict.NOT_RUN
        )
    silent = isinstance(exc, (urllib3.exceptions.TimeoutError, TimeoutError))
    return errors.UpstreamError(
        f'upstream failed after the request was sent: {exc!r}',
        errors.Verdict.MAY_HAVE_RUN,
        crashed=not silent,
    )


def body(answer: urllib3.BaseHTTPResponse, limit: int = MAX_BODY) -> bytes:
    """Read the whole body and give the connection back.

    :raises papayaloom.errors.UpstreamError: the body is cut off or longer than
        ``limit``.
    """
    try:
        content = answer.read(limit + 1)
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
        answer.close()
        raise failure(exc) from exc
    if len(content) > limit:
        answer.close()
        raise errors.UpstreamError(
            f'the answer is longer than {limit} bytes',
            errors.Verdict.MAY_HAVE_RUN,
        )
    answer.release_conn()
    return content


def refusal(
    answer: urllib3.BaseHTTPResponse, content: bytes
) -> errors.Problem | None:
    """Return the problem document of an answer.

    The verdict is ``may have run`` unless the document says otherwise.
    """
    kind = answer.headers.get('Content-Type', '').partition(';')[0]
    if kind.strip().lower() != _PROBLEM:
        return None
    fallback = {
        'title': 'the upstream refused the request',
        'verdict': errors.Verdict.MAY_HAVE_RUN.value,
        'retry_after_s': _seconds(answer),
    }
    fixed = {'status': answer.status}
    try:
        parts = msgspec.json.decode(content, type=dict[str, typing.Any])
        errors.Verdict(parts.get('verdict', fallback['verdict']))
        return msgspec.convert({**fallback, **parts, **fixed}, errors.Problem)
    except (msgspec.MsgspecError, ValueError):
        return msgspec.convert({**fallback, **fixed}, errors.Problem)


def checked(answer: urllib3.BaseHTTPResponse) -> bytes:
    """Return the body of a successful answer.

    :raises papayaloom.errors.RefusedError: the answer is a problem document.
    :raises papayaloom.errors.UpstreamError: any other status than 2xx.
    """
    content = body(answer)
    if answer.status // 100 == 2:
        return content
    problem = refusal(answer, content)
    if problem is not None:
        raise errors.RefusedError(problem)
    raise errors.UpstreamError(
        f'the upstream answered with status {answer.status}',
        errors.Verdict.MAY_HAVE_RUN,
    )


def _seconds(answer: urllib3.BaseHTTPResponse) -> float:
    text = answer.headers.get('Retry-After', '')
    return float(text) if text.isascii() and text.isdigit() else 0


def _pool(base: str) -> urllib3.HTTPConnectionPool:
    return urllib3.connection_from_url(
        base, maxsize=KEPT_CONNECTIONS, retries=False
    )
