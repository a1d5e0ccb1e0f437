"""HTTP server of the key-value stand-in.

The protocol is that of :mod:`papayaloom.ports.kv` with two more resources:
``GET /faults`` returns the fault switches, ``PUT /faults`` of a JSON object
changes those that it names, and ``GET /counts`` returns the call counters.
"""

import errno
import http
import typing
import urllib.parse

import msgspec
from cheroot import wsgi

from papayaloom import clock, errors
from papayaloom.ports import kv
from papayaloom.standins import kv as memory_kv

# Every waiting watch holds a thread.
_SERVER_THREADS = 64
_EMPTY = b'{}'

_Query = typing.Mapping[str, str]
_Reply = tuple[int, bytes]


class _Application:
    """WSGI application of the in-memory key-value service."""

    def __init__(self, store: memory_kv.MemoryKv) -> None:
        self._store = store
        self._routes: typing.Mapping[
            tuple[str, str],
            typing.Callable[[_Query, bytes], _Reply],
        ] = {
            ('GET', '/v1/key'): self._get,
            ('PUT', '/v1/key'): self._put,
            ('DELETE', '/v1/key'): self._delete,
            ('GET', '/v1/keys'): self._list,
            ('POST', '/v1/leases'): self._grant,
            ('PUT', '/v1/leases'): self._keep,
            ('DELETE', '/v1/leases'): self._revoke,
            ('GET', '/v1/watch'): self._watch,
            ('GET', '/faults'): lambda _, body: _json(store.faults),
            ('PUT', '/faults'): self._put_faults,
            ('GET', '/counts'): lambda _, body: _json(store.counts),
        }

    def __call__(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Callable[..., typing.Any],
    ) -> list[bytes]:
        """Answer one request."""
        size = int(environ.get('CONTENT_LENGTH') or 0)
        body = environ['wsgi.input'].read(size) if size else b''
        route = (environ['REQUEST_METHOD'], environ['PATH_INFO'])
        query = dict(urllib.parse.parse_qsl(environ['QUERY_STRING']))
        status, answer = self._answer(route, query, body)
        phrase = http.HTTPStatus(status).phrase
        start_response(
            f'{status} {phrase}',
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(answer))),
            ],
        )
        return [answer]

    def _answer(
        self,
        route: tuple[str, str],
        query: _Query,
        body: bytes,
    ) -> _Reply:
        if route not in self._routes:
            return http.HTTPStatus.NOT_IMPLEMENTED, _EMPTY
        try:
            return self._routes[route](query, body)
        except (LookupError, ValueError, TypeError):
            return http.HTTPStatus.BAD_REQUEST, _EMPTY
        except errors.StoreUnavailableError as exc:
            reason = str(exc)
        if reason == 'refused':
            return http.HTTPStatus.SERVICE_UNAVAILABLE, _EMPTY
        if reason == 'over the rate':
            return http.HTTPStatus.TOO_MANY_REQUESTS, _EMPTY
        if 'over the limit' in reason:
            return http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, _EMPTY
        # On this error, cheroot closes the connection without a response.
        raise ConnectionResetError(errno.ECONNRESET, reason)

    def _get(self, query: _Query, body: bytes) -> _Reply:
        entry = self._store.get(query['key'])
        if entry is None:
            return http.HTTPStatus.NOT_FOUND, _EMPTY
        return _json(entry)

    def _put(self, query: _Query, body: bytes) -> _Reply:
        write = msgspec.json.decode(body, type=kv.PutBody)
        return _write_reply(
            self._store.put(
                query['key'],
                write.value,
                write.expect,
                write.lease,
            ),
        )

    def _delete(self, query: _Query, body: bytes) -> _Reply:
        return _write_reply(
            self._store.delete(query['key'], int(query['expect'])),
        )

    def _list(self, query: _Query, body: bytes) -> _Reply:
        return _json(
            self._store.list_prefix(
                query.get('prefix', ''),
                query.get('after', ''),
                int(query.get('limit', '1000')),
                values=query.get('values') != '0',
            ),
        )

    def _grant(self, query: _Query, body: bytes) -> _Reply:
        lease_body = msgspec.json.decode(body, type=kv.LeaseBody)
        return _json(self._store.grant_lease(lease_body.term_s))

    def _keep(self, query: _Query, body: bytes) -> _Reply:
        if self._store.renew_lease(query['lease']):
            return http.HTTPStatus.OK, _EMPTY
        return http.HTTPStatus.NOT_FOUND, _EMPTY

    def _revoke(self, query: _Query, body: bytes) -> _Reply:
        self._store.revoke_lease(query['lease'])
        return http.HTTPStatus.OK, _EMPTY

    def _watch(self, query: _Query, body: bytes) -> _Reply:
        return _json(
            self._store.watch(
                query.get('prefix', ''),
                int(query['after']),
                float(query['wait_s']),
            ),
        )

    def _put_faults(self, query: _Query, body: bytes) -> _Reply:
        self._store.faults.change(**msgspec.json.decode(body or _EMPTY))
        return _json(self._store.faults)


def server(
    address: str = '127.0.0.1:0',
    store: memory_kv.MemoryKv | None = None,
) -> tuple[wsgi.Server, memory_kv.Faults]:
    """Return an HTTP server that is bound but not yet serving.

    :param address: ``host:port``; port 0 picks a free one, which is in the
        server's ``bind_addr``.
    :param store: the store to serve; by default a new one on the system
        clock.
    :returns: the server and the fault switches of the store. Run ``serve()``
        of the server in a thread and end it with ``stop()``.
    :raises OSError: the address cannot be bound.
    :raises ValueError: the port is not a number.
    """
    served_store = store or memory_kv.MemoryKv(
        clock.SystemClock(), blocking=True
    )
    host, _, port = address.rpartition(':')
    http_server = wsgi.Server(
        (host, int(port)),
        _Application(served_store),
        numthreads=_SERVER_THREADS,
        request_queue_size=128,
    )
    http_server.prepare()
    return http_server, served_store.faults


def _json(answer: object) -> _Reply:
    return http.HTTPStatus.OK, msgspec.json.encode(answer)


def _write_reply(outcome: kv.WriteResult) -> _Reply:
    status = http.HTTPStatus.OK if outcome.done else http.HTTPStatus.CONFLICT
    return status, msgspec.json.encode(outcome)
