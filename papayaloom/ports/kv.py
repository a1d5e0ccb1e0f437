"""Port of the platform's key-value service, and its HTTP adapter.

Protocol, JSON over HTTP; values are base64 in the JSON.

======================================  ===================================
request                                 answer
======================================  ===================================
``GET /v1/key?key``                     200 :class:`Entry`, or 404
``PUT /v1/key?key`` :class:`PutBody`    200 or 409 :class:`Written`
``DELETE /v1/key?key&expect``           200 or 409 :class:`Written`
``GET /v1/keys?prefix&after&limit``     200 :class:`Listing`; ``values=0``
                                        leaves the values out
``POST /v1/leases`` :class:`LeaseBody`  200 :class:`Lease`
``PUT /v1/leases?lease``                200, or 404 when it has expired
``DELETE /v1/leases?lease``             200
``GET /v1/watch?prefix&after&wait_s``   200 :class:`Watched`, when a key
                                        changes or ``wait_s`` have passed
======================================  ===================================

Every change of a key takes the next revision of one counter. ``expect`` is
the revision that the key must have, 0 for "absent". 409 says that the key
has another revision and carries its current entry. 413 refuses a value over
1 MB, 429 a call over the rates, 503 any call; none of them had an effect.
Every call counts against the rates, and a waiting watch counts as one call.
Other answers, and no answer, leave it open whether the call had an effect.
"""

import typing
import urllib.parse

import msgspec

from papayaloom.ports import store_http

ABSENT = 0
MAX_VALUE_BYTES = 1_000_000
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_CONNECTIONS = 8
# Margin of the read timeout over the time that a watch may wait.
_WATCH_MARGIN_S = 2.0


class Entry(msgspec.Struct, frozen=True, omit_defaults=True):
    """A key with its value.

    :param value: empty in a listing without values.
    :param revision: revision of the last change of this key.
    :param lease: the lease that the key expires with, or empty.
    """

    key: str
    value: bytes
    revision: int
    lease: str = ''


class Listing(msgspec.Struct, frozen=True):
    """Keys of a prefix in lexical order.

    :param more: further keys follow; ask again after the last one.
    :param revision: newest revision of the service, for a watch.
    """

    entries: tuple[Entry, ...]
    more: bool
    revision: int


class Written(msgspec.Struct, frozen=True, omit_defaults=True):
    """Outcome of a compare-and-swap.

    :param revision: the new revision of the key when it was changed.
    :param current: the entry that stood against the expectation; nothing
        when the key is absent.
    """

    done: bool
    revision: int = 0
    current: Entry | None = None


class Lease(msgspec.Struct, frozen=True):
    """A lease; its keys vanish when it is not kept within its term."""

    id: str
    term_s: float


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One change of a key, with its new value unless it was deleted."""

    key: str
    revision: int
    value: bytes = b''
    deleted: bool = False


class Watched(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer of a watch.

    :param events: changes in the order of their revisions; may be none.
    :param revision: continue the watch after this revision.
    :param lost: older changes are no longer known; list the keys instead.
    """

    events: tuple[Event, ...]
    revision: int
    lost: bool = False


class PutBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of a write."""

    value: bytes
    expect: int
    lease: str = ''


class LeaseBody(msgspec.Struct, frozen=True):
    """Body of a request for a lease."""

    term_s: float


class Kv(typing.Protocol):
    """Key-value service with compare-and-swap, leases and watches.

    Every method raises :class:`errors.StoreUnavailableError` when no usable
    answer came; a write, deletion or lease may then have taken effect.
    """

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or nothing."""

    def list_prefix(
        self,
        prefix: str,
        after: str = '',
        limit: int = 1000,
        *,
        values: bool = True,
    ) -> Listing:
        """Return the entries of a prefix in lexical order.

        :param after: return only keys greater than this one.
        :param limit: how many entries to return at the most.
        :param values: whether to return the values too.
        """

    def put(
        self,
        key: str,
        value: bytes,
        expect: int,
        lease: str = '',
    ) -> Written:
        """Write a key if it has the expected revision.

        :param expect: the revision, or :data:`ABSENT`.
        :param lease: the key expires with this lease.
        """

    def delete(self, key: str, expect: int) -> Written:
        """Delete a key if it has the expected revision."""

    def grant_lease(self, term_s: float) -> Lease:
        """Return a new lease."""

    def keep_lease(self, lease: str) -> bool:
        """Start the term of a lease anew; false when it has expired."""

    def revoke_lease(self, lease: str) -> None:
        """End a lease; its keys vanish."""

    def watch(self, prefix: str, after: int, wait_s: float) -> Watched:
        """Wait for changes of a prefix.

        :param after: return changes with a greater revision.
        :param wait_s: how long to wait when there is none.
        """


class HttpKv:
    """Client of the key-value service over HTTP.

    Never retries and follows no redirects: the callers decide what to do
    with a call that may have taken effect. Thread-safe.

    :param url: base URL of the service.
    :param timeout_s: longest wait for a connection and for an answer.
    """

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        """Prepare a connection pool; connects on the first call."""
        self.url = url.rstrip('/')
        self._client = store_http.StoreClient(url, timeout_s, _CONNECTIONS)

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or nothing."""
        reply = self._client.call(
            'GET', _path('key', key=key), (_OK, _NOT_FOUND)
        )
        if reply.status == _NOT_FOUND:
            return None
        return store_http.decode(reply, Entry)

    def list_prefix(
        self,
        prefix: str,
        after: str = '',
        limit: int = 1000,
        *,
        values: bool = True,
    ) -> Listing:
        """Return the entries of a prefix in lexical order."""
        path = _path(
            'keys',
            prefix=prefix,
            after=after,
            limit=str(limit),
            values=str(int(values)),
        )
        return store_http.decode(self._client.call('GET', path), Listing)

    def put(
        self,
        key: str,
        value: bytes,
        expect: int,
        lease: str = '',
    ) -> Written:
        """Write a key if it has the expected revision."""
        reply = self._client.call(
            'PUT',
            _path('key', key=key),
            (_OK, _CONFLICT),
            msgspec.json.encode(PutBody(value, expect, lease)),
        )
        return store_http.decode(reply, Written)

    def delete(self, key: str, expect: int) -> Written:
        """Delete a key if it has the expected revision."""
        path = _path('key', key=key, expect=str(expect))
        return store_http.decode(
            self._client.call('DELETE', path, (_OK, _CONFLICT)),
            Written,
        )

    def grant_lease(self, term_s: float) -> Lease:
        """Return a new lease."""
        body = msgspec.json.encode(LeaseBody(term_s))
        return store_http.decode(
            self._client.call('POST', _path('leases'), body=body), Lease
        )

    def keep_lease(self, lease: str) -> bool:
        """Start the term of a lease anew; false when it has expired."""
        path = _path('leases', lease=lease)
        reply = self._client.call('PUT', path, (_OK, _NOT_FOUND))
        return reply.status == _OK

    def revoke_lease(self, lease: str) -> None:
        """End a lease; its keys vanish."""
        self._client.call('DELETE', _path('leases', lease=lease))

    def watch(self, prefix: str, after: int, wait_s: float) -> Watched:
        """Wait for changes of a prefix."""
        reply = self._client.call(
            'GET',
            _path('watch', prefix=prefix, after=str(after), wait_s=str(wait_s)),
            timeout_s=wait_s + _WATCH_MARGIN_S,
        )
        return store_http.decode(reply, Watched)

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()


def _path(resource: str, **query: str) -> str:
    return f'/v1/{resource}?{urllib.parse.urlencode(query)}'
