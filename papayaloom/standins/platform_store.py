"""HTTP stand-in of the platform's store.

It maps the calls of the platform to the in-memory key-value service, whose
fault switches stay in effect.
"""

import base64
import http
import typing
import urllib.parse

import msgspec

from papayaloom import errors
from papayaloom.connection import caller_connection, ingress
from papayaloom.ports import kv
from papayaloom.standins import kv as memory_kv

_LEASE_PREFIX = 'lease-'
_SERVER_THREADS = 24
_Query = dict[str, str]
_Reply = tuple[int, dict[str, typing.Any]]


class PlatformStore:
    """HTTP server with the platform's calls for a key-value service.

    :param store: the key-value service.
    """

    def __init__(
        self, store: memory_kv.MemoryKv, address: tuple[str, int]
    ) -> None:
        """Bind the address; ``server.serve`` starts serving."""
        self._store = store
        self.calls: list[str] = []
        self.server = ingress.Ingress(
            address,
            self._serve,
            caller_connection.CallerLimits(threads=_SERVER_THREADS),
        )
        self.server.prepare()

    def _serve(self, received: typing.Any) -> None:
        inbound = ingress.InboundRequest(received)
        parts = urllib.parse.urlsplit(inbound.target.decode())
        self.calls.append(parts.path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        try:
            status, content = self._reply(parts.path, query, inbound.body)
        except errors.StoreUnavailableError:
            status, content = http.HTTPStatus.SERVICE_UNAVAILABLE, {}
        epoch = b'%d' % self._store.epoch
        inbound.answer(
            status, [(b'Store-Era', epoch)], msgspec.json.encode(content)
        )

    def _reply(self, path: str, query: _Query, body: bytes) -> _Reply:
        name, _, argument = path.removeprefix('/kv-').partition('/')
        calls: dict[str, typing.Callable[[], _Reply]] = {
            'key': lambda: self._get(query),
            'range': lambda: self._range(query),
            'watch': lambda: self._watch(query),
            'txn': lambda: self._transact(msgspec.json.decode(body)),
            'lease': lambda: self._grant(msgspec.json.decode(body)),
            'keep': lambda: self._renew(argument),
            'lease-end': lambda: self._revoke(argument),
        }
        return calls[name]()

    def _get(self, query: _Query) -> _Reply:
        entry = self._store.get(query['key'])
        if entry is None:
            return http.HTTPStatus.NOT_FOUND, {}
        return http.HTTPStatus.OK, _item(entry)

    def _range(self, query: _Query) -> _Reply:
        page = self._store.list_prefix(
            query.get('prefix', ''), query.get('after', '')
        )
        return http.HTTPStatus.OK, {
            'items': [_item(entry) for entry in page.entries],
            'morePages': page.more,
            'asOf': page.revision,
        }

    def _watch(self, query: _Query) -> _Reply:
        watched = self._store.watch(
            query.get('prefix', ''),
            int(query['after']),
            int(query['waitMs']) / 1000,
        )
        if watched.lost:
            return http.HTTPStatus.GONE, {}
        return http.HTTPStatus.OK, {
            'events': [_event(event) for event in watched.events],
            'asOf': watched.revision,
        }

    def _transact(self, change: dict[str, typing.Any]) -> _Reply:
        expected = {
            expectation['key']: expectation['revision']
            for expectation in change['expectedRev']
        }
        written = kv.WriteResult(done=True)
        for put in change['puts']:
            lease = f'{_LEASE_PREFIX}{put["lease"]}' if put.get('lease') else ''
            content = base64.b64decode(put['value'])
            written = self._store.put(
                put['key'], content, expected[put['key']], lease
            )
        for key in change['remove']:
            written = self._store.delete(key, expected[key])
        if written.done:
            return http.HTTPStatus.OK, {'revision': written.revision}
        items = [_item(written.current)] if written.current else []
        return http.HTTPStatus.PRECONDITION_FAILED, {'items': items}

    def _grant(self, term: dict[str, int]) -> _Reply:
        lease = self._store.grant_lease(term['ttlMs'] / 1000)
        number = int(lease.id.removeprefix(_LEASE_PREFIX))
        return http.HTTPStatus.OK, {'lease': number, 'ttlMs': term['ttlMs']}

    def _renew(self, number: str) -> _Reply:
        if self._store.renew_lease(f'{_LEASE_PREFIX}{number}'):
            return http.HTTPStatus.OK, {'ttlMs': 0}
        return http.HTTPStatus.NOT_FOUND, {}

    def _revoke(self, number: str) -> _Reply:
        self._store.revoke_lease(f'{_LEASE_PREFIX}{number}')
        return http.HTTPStatus.OK, {}


def _item(entry: kv.Entry) -> dict[str, typing.Any]:
    lease = entry.lease.removeprefix(_LEASE_PREFIX)
    return {
        'key': entry.key,
        'value': base64.b64encode(entry.value).decode(),
        'revision': entry.revision,
        'lease': int(lease) if lease else 0,
    }


def _event(event: kv.Event) -> dict[str, typing.Any]:
    if event.deleted:
        return {'key': event.key, 'revision': event.revision, 'removed': True}
    return _item(kv.Entry(event.key, event.value, event.revision))
