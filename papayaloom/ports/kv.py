"""Port of the platform's key-value service, and its HTTP adapter.

Protocol, JSON over HTTP; values are base64 in the JSON.

======================================  ===================================
request                                 answer
======================================  ===================================
``GET /v1/key?key``                     200 :class:`Entry`, or 404
``PUT /v1/key?key`` :class:`PutBody`    200 or 409 :class:`WriteResult`
``DELETE /v1/key?key&expect``           200 or 409 :class:`WriteResult`
``GET /v1/keys?prefix&after&limit``     200 :class:`Listing`; ``values=0``
                                        leaves the values out
``POST /v1/leases`` :class:`LeaseBody`  200 :class:`Lease`
``PUT /v1/leases?lease``                200, or 404 when it has expired
``DELETE /v1/leases?lease``             200
``GET /v1/watch?prefix&after&wait_s``   200 :class:`WatchResult`, when a key
                                        changes or ``wait_s`` has elapsed
======================================  ===================================

All changes of keys are numbered by one revision counter. ``expect`` is the
revision that the key must have, 0 if it must be absent. 409 means that the key
has another revision; its body holds the current entry. 413 refuses a value over
1 MB, 429 a call over the rate limits, 503 any call; a refused call had no
effect. Every call counts against the rate limits, and a waiting watch counts as
one call. After any other response, or none, the call may have had an effect.
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
# Added to the wait time of a watch to get its read timeout.
_WATCH_MARGIN_S = 2.0


class Position(msgspec.Struct, frozen=True):
    """Position in the history of the service.

    :param epoch: rises each time the service returns from an older copy of
        itself, after which it gives out revisions again; None if it does not
        tell.
    """

    revision: int
    epoch: int | None = None

    def is_comparable(self, epoch: int | None) -> bool:
        """Whether revisions of an epoch belong to the same history."""
        return epoch is None or self.epoch is None or epoch == self.epoch


class Entry(msgspec.Struct, frozen=True, omit_defaults=True):
    """A key with its value.

    :param value: empty in a listing without values.
    :param revision: revision of the last change of this key.
    :param lease: the lease that the key is attached to, or empty.
    """

    key: str
    value: bytes
    revision: int
    lease: str = ''


class Listing(msgspec.Struct, frozen=True):
    """Keys of a prefix in lexical order.

    :param more: more keys follow; continue the listing after the last one.
    :param revision: newest revision of the service; a watch can start there.
    :param epoch: see :class:`Position`; None if the service does not tell.
    """

    entries: tuple[Entry, ...]
    more: bool
    revision: int
    epoch: int | None = None


class WriteResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """Result of a compare-and-swap.

    :param revision: the new revision of the key if it was changed.
    :param current: the entry that conflicts with the expected revision; None
        if the key is absent.
    """

    done: bool
    revision: int = 0
    current: Entry | None = None


class Lease(msgspec.Struct, frozen=True):
    """A lease; its keys are deleted if it is not renewed within its term."""

    id: str
    term_s: float


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """A change of a key, with the new value unless the key was deleted."""

    key: str
    revision: int
    value: bytes = b''
    deleted: bool = False


class WatchResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """Result of a watch.

    :param events: changes in the order of their revisions; may be empty.
    :param revision: the next watch continues after this revision.
    :param lost: the service no longer has the changes after the requested
        revision; list the keys instead.
    :param epoch: see :class:`Position`; None if the service does not tell.
    """

    events: tuple[Event, ...]
    revision: int
    lost: bool = False
    epoch: int | None = None


class PutBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Request body of a write."""

    value: bytes
    expect: int
    lease: str = ''


class LeaseBody(msgspec.Struct, frozen=True):
    """Request body of a lease grant."""

    term_s: float


class Kv(typing.Protocol):
    """Key-value service with compare-and-swap, leases and watches.

    Every method raises :class:`errors.StoreUnavailableError` without a usable
    response; a write, deletion or lease may then have taken effect.
    """

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None."""

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
        :param limit: maximum number of entries.
        :param values: whether the entries include their values.
        """

    def put(
        self,
        key: str,
        value: bytes,
        expect: int,
        lease: str = '',
    ) -> WriteResult:
        """Write a key if it has the expected revision.

        :param expect: the expected revision, or :data:`ABSENT`.
        :param lease: attach the key to this lease.
        """

    def delete(self, key: str, expect: int) -> WriteResult:
        """Delete a key if it has the expected revision."""

    def grant_lease(self, term_s: float) -> Lease:
        """Return a new lease."""

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has expired."""

    def revoke_lease(self, lease: str) -> None:
        """Revoke a lease, which deletes its keys."""

    def watch(self, prefix: str, after: int, wait_s: float) -> WatchResult:
        """Wait for changes of a prefix.

        :param after: return changes with a greater revision.
        :param wait_s: how long to wait if there is none yet.
        """


class HttpKv:
    """HTTP client of the key-value service.

    Never retries and never follows redirects: the callers decide what to do
    about a call that may have taken effect. Thread-safe.

    :param url: base URL of the service.
    :param timeout_s: connect timeout and read timeout.
    """

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        """Create a connection pool; connects on the first call."""
        self.url = url.rstrip('/')
        self._client = store_http.StoreClient(url, timeout_s, _CONNECTIONS)

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None."""
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
    ) -> WriteResult:
        """Write a key if it has the expected revision."""
        reply = self._client.call(
            'PUT',
            _path('key', key=key),
            (_OK, _CONFLICT),
            msgspec.json.encode(PutBody(value, expect, lease)),
        )
        return store_http.decode(reply, WriteResult)

    def delete(self, key: str, expect: int) -> WriteResult:
        """Delete a key if it has the expected revision."""
        path = _path('key', key=key, expect=str(expect))
        return store_http.decode(
            self._client.call('DELETE', path, (_OK, _CONFLICT)),
            WriteResult,
        )

    def grant_lease(self, term_s: float) -> Lease:
        """Return a new lease."""
        body = msgspec.json.encode(LeaseBody(term_s))
        return store_http.decode(
            self._client.call('POST', _path('leases'), body=body), Lease
        )

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has expired."""
        path = _path('leases', lease=lease)
        reply = self._client.call('PUT', path, (_OK, _NOT_FOUND))
        return reply.status == _OK

    def revoke_lease(self, lease: str) -> None:
        """Revoke a lease, which deletes its keys."""
        self._client.call('DELETE', _path('leases', lease=lease))

    def watch(self, prefix: str, after: int, wait_s: float) -> WatchResult:
        """Wait for changes of a prefix."""
        reply = self._client.call(
            'GET',
            _path('watch', prefix=prefix, after=str(after), wait_s=str(wait_s)),
            timeout_s=wait_s + _WATCH_MARGIN_S,
        )
        return store_http.decode(reply, WatchResult)

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()


def _path(resource: str, **query: str) -> str:
    return f'/v1/{resource}?{urllib.parse.urlencode(query)}'
