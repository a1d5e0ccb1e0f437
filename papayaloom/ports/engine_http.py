"""HTTP adapter of :class:`papayaloom.ports.engine.Engines`."""

import types
import typing
import urllib.parse

import msgspec
import urllib3

from papayaloom import decoding, errors, ids
from papayaloom.connection import connection_reuse
from papayaloom.ports import engine, http

_SHORT_TIMEOUTS = engine.Timeouts(connect_s=1, read_s=5)
# Sized for the export of a cache of some hundred megabytes at 1 GB/s.
_TRANSFER_TIMEOUTS = engine.Timeouts(connect_s=1, read_s=30)
_JSON_HEADERS = types.MappingProxyType({'Content-Type': 'application/json'})
_Struct = typing.TypeVar('_Struct', bound=msgspec.Struct)


class HttpStream:
    """Streamed response of an engine."""

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        """Wrap a response whose headers have been read."""
        self._response = response

    def read(self) -> bytes:
        """Return the next bytes, empty at the end of the response."""
        try:
            return self._response.read1()
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            raise http.upstream_error(exc) from exc

    def set_read_timeout(self, read_s: float) -> None:
        """Change the read timeout."""
        sock = getattr(self._response.connection, 'sock', None)
        if sock is not None:
            sock.settimeout(read_s)

    def close(self) -> bool:
        """Return the connection to its pool, or close it if bytes are left."""
        return connection_reuse.release_or_close(self._response)

    def abort(self) -> None:
        """Shut the connection down."""
        try:
            self._response.shutdown()
        except (ValueError, OSError, RuntimeError):
            self._response.close()


class HttpEngines:
    """HTTP client of engines; thread-safe."""

    def __init__(self) -> None:
        """Create empty connection pools."""
        self._pools = http.Pools()

    def stream(
        self,
        url: str,
        completion: engine.Completion,
        timeouts: engine.Timeouts,
    ) -> HttpStream:
        """Start a completion and return its response after the headers."""
        headers = {
            **_JSON_HEADERS,
            'Accept': 'text/event-stream',
            'X-Request-Id': completion.request,
            'X-Resume-Offset': str(completion.offset),
            'X-Priority': str(completion.priority),
            'X-Deadline-Ms': str(int(completion.deadline_s * 1000)),
        }
        if completion.chat:
            headers['X-Chat-Id'] = completion.chat
        response = http.send(
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
        if response.status != 200:
            http.success_body(response)
        if not _is_event_stream(response):
            response.close()
            raise errors.UpstreamError(
                f'status {response.status} without an event stream',
                errors.Verdict.MAY_HAVE_RUN,
            )
        return HttpStream(response)

    def cancel(self, url: str, request: ids.RequestId) -> None:
        """Cancel a request."""
        self._call('DELETE', url, f'/v1/requests/{_quote(request)}')

    def state(self, url: str) -> engine.State:
        """Return the state and load of an engine."""
        return _decode(self._call('GET', url, '/v1/state'), engine.State)

    def events(
        self, url: str, after: int, wait_ms: int = 0
    ) -> engine.CacheEvents:
        """Return the cache events after a sequence number."""
        content = self._call(
            'GET',
            url,
            f'/v1/events?after={after}&wait_ms={wait_ms}',
            timeouts=engine.Timeouts(
                _SHORT_TIMEOUTS.connect_s,
                _SHORT_TIMEOUTS.read_s + wait_ms / 1000,
            ),
        )
        return _decode(content, engine.CacheEvents)

    def export_cache(self, url: str, chat: ids.ChatId) -> bytes:
        """Return the cache of a chat."""
        path = f'/v1/cache/{_quote(chat)}'
        return self._call('GET', url, path, timeouts=_TRANSFER_TIMEOUTS)

    def import_cache(self, url: str, chat: ids.ChatId, cache: bytes) -> None:
        """Store the cache of a chat."""
        path = f'/v1/cache/{_quote(chat)}'
        self._call('PUT', url, path, cache, _TRANSFER_TIMEOUTS)

    def order(self, url: str, order: engine.Order) -> engine.OrderReply:
        """Send an order."""
        content = self._call(
            'POST', url, '/v1/orders', msgspec.json.encode(order)
        )
        return _decode(content, engine.OrderReply)

    def healthy(self, url: str) -> bool:
        """Return whether the engine accepts requests."""
        try:
            self._call('GET', url, '/health')
        except errors.PapayaloomError:
            return False
        return True

    def _call(
        self,
        method: str,
        url: str,
        path: str,
        body: bytes = b'',
        timeouts: engine.Timeouts = _SHORT_TIMEOUTS,
    ) -> bytes:
        req = http.Request(method, url, path, _JSON_HEADERS, body, timeouts)
        return http.success_body(http.send(self._pools, req))


def _is_event_stream(response: urllib3.BaseHTTPResponse) -> bool:
    content_type = response.headers.get('Content-Type', '')
    return content_type.lower().startswith('text/event-stream')


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe='')


def _decode(content: bytes, struct_type: type[_Struct]) -> _Struct:
    try:
        return decoding.decode_json(content, struct_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise errors.UpstreamError(
            f'malformed response: {exc}', errors.Verdict.RAN
        ) from exc
