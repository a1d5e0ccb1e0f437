"""Client of the platform's store that implements the key-value port.

Transport errors, error responses and malformed responses all raise
:class:`papayaloom.errors.StoreUnavailableError`. Calls are never retried here.
"""

import base64
import binascii
import urllib.parse

import msgspec
import urllib3

from papayaloom import errors
from papayaloom.ports import kv, store_http

_TIMEOUT_S = 1.0
# Read timeout of a client that has to detect an unresponsive store quickly.
SHORT_TIMEOUT_S = 0.4
# A store that is powered off accepts no connection. Short connects that are
# tried again at once succeed as soon as the store is back.
_CONNECT_S = 0.35
# Added to the wait time of a watch to get its read timeout. Kept short because
# a watch on a dead connection misses changes until it times out.
_WATCH_MARGIN_S = 0.8
# The same for a watch that hardly waits, which checks a store after a failure.
_CHECK_MARGIN_S = 0.4
_CHECK_WAIT_S = 0.01
_CONNECTIONS = 4
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_EPOCH = 'Store-Era'
_LEASE_SEPARATOR = '/'


class _CamelStruct(msgspec.Struct, rename='camel', omit_defaults=True):
    """Base class of the messages; field names are encoded in camel case."""


class _Item(_CamelStruct):
    """A key; ``value`` is base64, and ``lease`` is 0 without a lease."""

    key: str
    revision: int
    value: str = ''
    lease: int = 0
    removed: bool = False


class _Page(_CamelStruct):
    """Page of a listing; ``as_of`` is the revision of the store."""

    items: list[_Item] = []
    more_pages: bool = False
    as_of: int = 0


class _Events(_CamelStruct):
    events: list[_Item] = []
    as_of: int = 0


class _Condition(_CamelStruct):
    """Condition of a transaction; revision 0 means that the key is absent."""

    key: str
    revision: int


class _Put(_CamelStruct):
    key: str
    value: str
    lease: int = 0


class _Transaction(msgspec.Struct, rename='camel'):
    """Transaction; ``expected_rev`` holds conditions, despite its name."""

    expected_rev: list[_Condition]
    puts: list[_Put]
    remove: list[str]


class _Committed(_CamelStruct):
    revision: int = 0


class _Lease(msgspec.Struct, rename='camel'):
    """A granted lease; the store may choose another TTL than requested."""

    lease: int
    ttl_ms: float


class _LeaseRequest(msgspec.Struct, rename='camel'):
    ttl_ms: int


class PlatformStore:
    """Platform store that implements :class:`papayaloom.ports.kv.Kv`.

    After the store returned from an older copy it gives out lease numbers
    again, so the identifier of a lease contains the epoch of its grant.

    :param address: ``IP:PORT`` of the store.
    :param timeout_s: read timeout of a response.
    """

    def __init__(self, address: str, timeout_s: float = _TIMEOUT_S) -> None:
        """Create a connection pool; connects on the first call."""
        self._client = store_http.StoreClient(
            f'http://{address}',
            timeout_s,
            _CONNECTIONS,
            _CONNECT_S,
            self._note_epoch,
        )
        self._epoch: int | None = None

    def get(self, key: str) -> kv.Entry | None:
        """Return the entry of a key, or None."""
        reply = self._client.call(
            'GET', _path('key', key=key), (_OK, _NOT_FOUND)
        )
        if reply.status == _NOT_FOUND:
            return None
        return _entry(store_http.decode(reply, _Item), _epoch(reply))

    def list_prefix(
        self,
        prefix: str,
        after: str = '',
        limit: int = 500,
        *,
        values: bool = True,
    ) -> kv.Listing:
        """Return one page of a prefix; the store sets the page size."""
        query = {'prefix': prefix}
        if after:
            query['after'] = after
        reply = self._client.call('GET', _path('range', **query))
        page = store_http.decode(reply, _Page)
        return kv.Listing(
            tuple(_entry(item, _epoch(reply)) for item in page.items),
            page.more_pages,
            page.as_of,
            _epoch(reply),
        )

    def put(
        self, key: str, value: bytes, expect: int, lease: str = ''
    ) -> kv.WriteResult:
        """Write a key if it has the expected revision."""
        number = 0
        if lease:
            number = self._lease_number(lease)
        put = _Put(key, base64.b64encode(value).decode(), number)
        written = self._transact(
            _Transaction([_Condition(key, expect)], [put], []), key
        )
        if lease:
            # Another host may hold this number in the present epoch.
            self._lease_number(lease)
        return written

    def delete(self, key: str, expect: int) -> kv.WriteResult:
        """Delete a key if it has the expected revision."""
        return self._transact(
            _Transaction([_Condition(key, expect)], [], [key]), key
        )

    def grant_lease(self, term_s: float) -> kv.Lease:
        """Return a new lease."""
        body = msgspec.json.encode(_LeaseRequest(round(term_s * 1000)))
        reply = self._client.call('POST', _path('lease'), body=body)
        granted = store_http.decode(reply, _Lease)
        return kv.Lease(
            _lease_id(_epoch(reply), granted.lease), granted.ttl_ms / 1000
        )

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has expired."""
        if not self._is_current(lease):
            return False
        number = self._lease_number(lease)
        reply = self._client.call(
            'POST', f'/kv-keep/{number}', (_OK, _NOT_FOUND)
        )
        return reply.status == _OK and self._is_current(lease)

    def revoke_lease(self, lease: str) -> None:
        """Revoke a lease, which deletes its keys."""
        if self._is_current(lease):
            number = self._lease_number(lease)
            self._client.call(
                'DELETE', f'/kv-lease-end/{number}', (_OK, _NOT_FOUND)
            )

    def watch(self, prefix: str, after: int, wait_s: float) -> kv.WatchResult:
        """Wait for changes of a prefix."""
        is_check = wait_s <= _CHECK_WAIT_S
        margin_s = _CHECK_MARGIN_S if is_check else _WATCH_MARGIN_S
        path = _path(
            'watch',
            prefix=prefix,
            after=str(after),
            waitMs=str(round(wait_s * 1000)),
        )
        reply = self._client.call(
            'GET', path, (_OK, _GONE), timeout_s=wait_s + margin_s
        )
        if reply.status == _GONE:
            return kv.WatchResult((), after, lost=True, epoch=_epoch(reply))
        batch = store_http.decode(reply, _Events)
        return kv.WatchResult(
            tuple(
                kv.Event(item.key, item.revision, _content(item), item.removed)
                for item in batch.events
            ),
            max(batch.as_of, after),
            epoch=_epoch(reply),
        )

    def _note_epoch(self, reply: urllib3.BaseHTTPResponse) -> None:
        epoch = _epoch(reply)
        if epoch is not None:
            self._epoch = epoch

    def _is_current(self, lease: str) -> bool:
        """Whether a lease was granted in the present epoch of the store."""
        epoch = lease.partition(_LEASE_SEPARATOR)[0]
        return not epoch or self._epoch is None or int(epoch) == self._epoch

    def _lease_number(self, lease: str) -> int:
        if not self._is_current(lease):
            raise errors.StoreUnavailableError(
                'the store returned from an older copy since the lease was '
                'granted'
            )
        return int(lease.rpartition(_LEASE_SEPARATOR)[2])

    def _transact(self, change: _Transaction, key: str) -> kv.WriteResult:
        reply = self._client.call(
            'POST',
            _path('txn'),
            (_OK, _CONFLICT),
            msgspec.json.encode(change),
        )
        if reply.status == _OK:
            return kv.WriteResult(
                True, store_http.decode(reply, _Committed).revision
            )
        current = [
            item
            for item in store_http.decode(reply, _Page).items
            if item.key == key and item.revision
        ]
        return kv.WriteResult(
            False,
            current=_entry(current[0], _epoch(reply)) if current else None,
        )


def _path(call: str, **query: str) -> str:
    query_string = f'?{urllib.parse.urlencode(query)}' if query else ''
    return f'/kv-{call}{query_string}'


def _epoch(reply: urllib3.BaseHTTPResponse) -> int | None:
    """Return the number that rises when the store returns from a copy."""
    try:
        return int(reply.headers.get(_EPOCH, ''))
    except ValueError:
        return None


def _lease_id(epoch: int | None, number: int) -> str:
    return f'{"" if epoch is None else epoch}{_LEASE_SEPARATOR}{number}'


def _content(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as exc:
        raise errors.StoreUnavailableError(
            f'the store sent a value of {item.key} that is not base64: {exc}'
        ) from exc


def _entry(item: _Item, epoch: int | None) -> kv.Entry:
    lease = _lease_id(epoch, item.lease) if item.lease else ''
    return kv.Entry(item.key, _content(item), item.revision, lease)
