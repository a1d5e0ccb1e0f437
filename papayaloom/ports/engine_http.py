"""HTTP adapter of :class:`papayaloom.ports.engine.Engines`."""

import types
import typing
import urllib.parse

import msgspec
import urllib3

from papayaloom import errors, ids
from papayaloom.connection import upstream
from papayaloom.ports import engine, http

_QUICK = engine.Timeouts(connect_s=1, read_s=5)
# Exporting a cache of some hundred megabytes at 1 GB/s.
_TRANSFER = engine.Timeouts(connect_s=1, read_s=30)
_JSON = types.MappingProxyType({'Content-Type': 'application/json'})
_Struct = typing.TypeVar('_Struct', bound=msgspec.Struct)


class HttpStream:
    """Open answer of an engine."""

    def __init__(self, answer: urllib3.BaseHTTPResponse) -> None:
        """Wrap an answer whose headers were read."""
        self._answer = answer

    def read(self) -> bytes:
        """Return the next bytes, empty at the end."""
        try:
            return self._answer.read1()
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            raise http.failure(exc) from exc

    def patience(self, read_s: float) -> None:
        """Change the read timeout."""
        sock = getattr(self._answer.connection, 'sock', None)
        if sock is not None:
            sock.settimeout(read_s)

    def close(self) -> bool:
        """Give the connection back, or close it when bytes are left."""
        return upstream.settle(self._answer)

    def abort(self) -> None:
        """Break the connection."""
        try:
            self._answer.shutdown()
        except (ValueError, OSError, RuntimeError):
            self._answer.close()


class HttpEngines:
    """Engines reached over HTTP; safe for many threads."""

    def __init__(self) -> None:
        """Create empty connection pools."""
        self._pools = http.Pools()

    def stream(
        self,
        url: str,
        completion: engine.Completion,
        timeouts: engine.Timeouts,
    ) -> HttpStream:
        """Start a completion."""
        headers = {
            **_JSON,
            'Accept': 'text/event-stream',
            'X-Request-Id': completion.request,
            'X-Resume-Offset': str(completion.offset),
            'X-Priority': str(completion.priority),
            'X-Deadline-Ms': str(int(completion.deadline_s * 1000)),
        }
        if completion.chat:
            headers['X-Chat-Id'] = completion.chat
        answer = http.send(
            self._pools,
            http.Request(
                'POST',
                url,
                '/v1/chat/completions',
                headers,
                completion.body,
                timeouts,
            ),
        )
        if answer.status != 200:
            http.checked(answer)
        if not _is_event_stream(answer):
            answer.close()
            raise errors.UpstreamError(
                f'status {answer.status} without an event stream',
                errors.Verdict.MAY_HAVE_RUN,
            )
        return HttpStream(answer)

    def cancel(self, url: str, request: ids.RequestId) -> None:
        """Stop a request."""
        self._ask('DELETE', url, f'/v1/requests/{_quoted(request)}')

    def state(self, url: str) -> engine.State:
        """Return state and load."""
        return _decoded(self._ask('GET', url, '/v1/state'), engine.State)

    def events(
        self, url: str, after: int, wait_ms: int = 0
    ) -> engine.CacheEvents:
        """Return the cache events after a sequence number."""
        content = self._ask(
            'GET',
            url,
            f'/v1/events?after={after}&wait_ms={wait_ms}',
            timeouts=engine.Timeouts(
                _QUICK.connect_s, _QUICK.read_s + wait_ms / 1000
            ),
        )
        return _decoded(content, engine.CacheEvents)

    def export_cache(self, url: str, chat: ids.ChatId) -> bytes:
        """Return the cache of a chat."""
        path = f'/v1/cache/{_quoted(chat)}'
        return self._ask('GET', url, path, timeouts=_TRANSFER)

    def import_cache(self, url: str, chat: ids.ChatId, cache: bytes) -> None:
        """Store the cache of a chat."""
        path = f'/v1/cache/{_quoted(chat)}'
        self._ask('PUT', url, path, cache, _TRANSFER)

    def order(self, url: str, order: engine.Order) -> engine.OrderReply:
        """Give an order."""
        content = self._ask(
            'POST', url, '/v1/orders', msgspec.json.encode(order)
        )
        return _decoded(content, engine.OrderReply)

    def healthy(self, url: str) -> bool:
        """Return whether the engine can take requests."""
        try:
            self._ask('GET', url, '/health')
        except errors.PapayaloomError:
            return False
        return True

    def _ask(
        self,
        method: str,
        url: str,
        path: str,
        body: bytes = b'',
        timeouts: engine.Timeouts = _QUICK,
    ) -> bytes:
        req = http.Request(method, url, path, _JSON, body, timeouts)
        return http.checked(http.send(self._pools, req))


def _is_event_stream(answer: urllib3.BaseHTTPResponse) -> bool:
    kind = answer.headers.get('Content-Type', '')
    return kind.lower().startswith('text/event-stream')


def _quoted(text: str) -> str:
    return urllib.parse.quote(text, safe='')


def _decoded(content: bytes, kind: type[_Struct]) -> _Struct:
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise errors.UpstreamError(
            f'unreadable answer: {exc}', errors.Verdict.RAN
        ) from exc
