"""Port to a plain service, and the HTTP protocol that services speak.

A service is any HTTP/1.1 server. The router passes method, path, query, body
and the headers named in :data:`PASSED_HEADERS`, and adds:

- ``X-Request-Id``: unique for the call, the same for every try of it.
- ``X-Organisation``: the organisation whose key the caller showed.
- ``Idempotency-Key``: the caller's key, when it sent one. A service whose
  setting ``service.checks_keys`` is true carries out a key at most once and
  answers a repeat with the first answer and ``X-Repeated: yes``.
- ``X-Deadline-Ms``: milliseconds that the caller still waits.

The status and body of an answer are passed to the caller. A service says that
it did not start a call with a problem document (``application/problem+json``)
whose member ``verdict`` is ``not run``; the router then may send the call to
another replica. A service that is leaving answers 503 with such a document of
type ``urn:papayaloom:leaving``. Every other 5xx answer means ``may have run``.

``GET /health`` answers 200 when the replica takes calls. ``GET /v1/state``
answers :class:`State`.
"""

import typing

import msgspec

from papayaloom import ids
from papayaloom.ports import engine

# Headers of the caller that reach the service; all others stay at the router,
# the bearer key of the organisation in the first place.
PASSED_HEADERS = ('Accept', 'Accept-Language', 'Content-Type')


class Call(msgspec.Struct, frozen=True):
    """A call to a service.

    :param path: path and query below the replica's base URL.
    :param headers: all headers that the service receives.
    :param reply_bytes: longest accepted body of the answer.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b''
    reply_bytes: int = 4_194_304


class Reply(msgspec.Struct, frozen=True):
    """Answer of a service."""

    status: int
    body: bytes
    content_type: str = ''


class State(msgspec.Struct, frozen=True):
    """What a service replica says about itself."""

    replica: str
    service: ids.ServiceId
    running: int = 0
    leaving: bool = False
    boot: str = ''


class Services(typing.Protocol):
    """What the router asks of service replicas."""

    def call(self, url: str, call: Call, timeouts: engine.Timeouts) -> Reply:
        """Send a call once and return the whole answer.

        :raises papayaloom.errors.UpstreamError: with a true verdict.
        :raises papayaloom.errors.RefusedError: the service said that it did
            not start the call.
        """

    def state(self, url: str) -> State:
        """Return the replica's state."""

    def healthy(self, url: str) -> bool:
        """Return whether the replica takes calls."""
