"""Client of the platform's store, behind the product's key-value port.

Errors of the library, refusals and unreadable answers all become
:class:`papayaloom.errors.StoreUnavailableError`. Nothing is retried here.
"""

import base64
import binascii
import urllib.parse

import msgspec

from papayaloom import errors
from papayaloom.ports import kv, store_http

_TIMEOUT_S = 1.0
# Wait for the next bytes of an answer; a silent store is found out so soon.
QUICK_S = 0.6
# A store without power takes no connection; whoever tries on at once is served
# as soon as it is back.
_CONNECT_S = 0.35
# Margin of the read timeout over the time that a watch may wait: a watch
# whose connection has gone silent must not hide changes for long.
_WATCH_MARGIN_S = 0.8
_CONNECTIONS = 4
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412


class _Struct(msgspec.Struct, rename='camel', omit_defaults=True):
    """Base of the messages: fields are spelled in camel case."""


class _Item(_Struct):
    """A key; ``value`` is base64, ``lease`` is 0 for none."""

    key: str
    revision: int
    value: str = ''
    lease: int = 0
    removed: bool = False


class _Items(_Struct):
    """A page. ``as_of`` is the store's revision."""

    items: list[_Item] = []
    more_pages: bool = False
    as_of: int = 0


class _Events(_Struct):
    events: list[_Item] = []
    as_of: int = 0


class _Expected(_Struct):
    """Condition of a transaction; revision 0 is "absent"."""

    key: str
    revision: int


class _Put(_Struct):
    key: str
    value: str
    lease: int = 0


class _Transaction(msgspec.Struct, rename='camel'):
    """``expected_rev`` lists conditions, in spite of its name."""

    expected_rev: list[_Expected]
    puts: list[_Put]
    remove: list[str]


class _Done(_Struct):
    revision: int = 0


class _Lease(msgspec.Struct, rename='camel'):
    """A lease with the term that applies, in milliseconds."""

    lease: int
    ttl_ms: float


class _Term(msgspec.Struct, rename='camel'):
    ttl_ms: int


class PlatformStore:
    """The platform's store as :class:`papayaloom.ports.kv.Kv`.

    :param address: ``IP:PORT`` of the store.
    :param timeout_s: longest wait for bytes of an answer.
    """

    def __init__(self, address: str, timeout_s: float = _TIMEOUT_S) -> None:
        """Prepare a pool; connects on the first call."""
        self._client = store_http.StoreClient(
            f'http://{address}', timeout_s, _CONNECTIONS, _CONNECT_S
        )

    def get(self, key: str) -> kv.Entry | None:
        """Return the entry of a key, or nothing."""
        reply = self._client.call(
            'GET', _path('key', key=key), (_OK, _NOT_FOUND)
        )
        if reply.status == _NOT_FOUND:
            return None
        return _entry(store_http.decode(reply, _Item))

    def list_prefix(
        self,
        prefix: str,
        after: str = '',
        limit: int = 500,
        *,
        values: bool = True,
    ) -> kv.Listing:
        """Return the entries of a prefix; the store sets the page size."""
        query = {'prefix': prefix}
        if after:
            query['after'] = after
        page = store_http.decode(
            self._client.call('GET', _path('range', **query)), _Items
        )
        return kv.Listing(
            tuple(_entry(one) for one in page.items),
            page.more_pages,
            page.as_of,
        )

    def put(
        self, key: str, value: bytes, expect: int, lease: str = ''
    ) -> kv.Written:
        """Write a key if it has the expected revision."""
        put = _Put(key, base64.b64encode(value).decode(), int(lease or 0))
        return self._transact(
            _Transaction([_Expected(key, expect)], [put], []), key
        )

    def delete(self, key: str, expect: int) -> kv.Written:
        """Delete a key if it has the expected revision."""
        return self._transact(
            _Transaction([_Expected(key, expect)], [], [key]), key
        )

    def grant_lease(self, term_s: float) -> kv.Lease:
        """Return a new lease."""
        body = msgspec.json.encode(_Term(round(term_s * 1000)))
        granted = store_http.decode(
            self._client.call('POST', _path('lease'), body=body), _Lease
        )
        return kv.Lease(str(granted.lease), granted.ttl_ms / 1000)

    def keep_lease(self, lease: str) -> bool:
        """Start the term of a lease anew; false when it has expired."""
        reply = self._client.call(
            'POST', f'/kv-keep/{lease}', (_OK, _NOT_FOUND)
        )
        return reply.status == _OK

    def revoke_lease(self, lease: str) -> None:
        """End a lease; its keys vanish."""
        self._client.call('DELETE', f'/kv-lease-end/{lease}', (_OK, _NOT_FOUND))

    def watch(self, prefix: str, after: int, wait_s: float) -> kv.Watched:
        """Wait for changes of a prefix."""
        path = _path(
            'watch',
            prefix=prefix,
            after=str(after),
            waitMs=str(round(wait_s * 1000)),
        )
        reply = self._client.call(
            'GET', path, (_OK, _GONE), timeout_s=wait_s + _WATCH_MARGIN_S
        )
        if reply.status == _GONE:
            return kv.Watched((), after, lost=True)
        seen = store_http.decode(reply, _Events)
        return kv.Watched(
            tuple(
                kv.Event(one.key, one.revision, _content(one), one.removed)
                for one in seen.events
            ),
            max(seen.as_of, after),
        )

    def _transact(self, change: _Transaction, key: str) -> kv.Written:
        reply = self._client.call(
            'POST',
            _path('txn'),
            (_OK, _CONFLICT),
            msgspec.json.encode(change),
        )
        if reply.status == _OK:
            return kv.Written(True, store_http.decode(reply, _Done).revision)
        current = [
            one
            for one in store_http.decode(reply, _Items).items
            if one.key == key and one.revision
        ]
        return kv.Written(
            False, current=_entry(current[0]) if current else None
        )


def _path(call: str, **query: str) -> str:
    words = f'?{urllib.parse.urlencode(query)}' if query else ''
    return f'/kv-{call}{words}'


def _content(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as exc:
        raise errors.StoreUnavailableError(
            f'the store sent an unreadable value of {item.key}: {exc}'
        ) from exc


def _entry(item: _Item) -> kv.Entry:
    return kv.Entry(
        item.key, _content(item), item.revision, str(item.lease or '')
    )
