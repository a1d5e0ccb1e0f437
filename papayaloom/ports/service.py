"""Port to a plain service, and the HTTP protocol that services speak.

A service is any HTTP/1.1 server. The router passes method, path, query, body
and the headers named in :data:`PASSED_HEADERS`, and adds:

- ``X-Request-Id``: unique for the call, the same for all its attempts.
- ``X-Organisation``: the organisation of the caller's API key.
- ``Idempotency-Key``: the caller's key, if it sent one. A service whose setting
  ``service.checks_keys`` is true runs a call at most once per key and answers
  a repeated key with the first response and ``X-Repeated: yes``.
- ``X-Deadline-Ms``: milliseconds until the caller's deadline.

The status and body of a response are passed to the caller. A service reports
that it did not start a call with a problem document
(``application/problem+json``) whose member ``verdict`` is ``not run``; the
router then may send the call to another replica. A service that is leaving
answers 503 with such a document of type ``urn:papayaloom:leaving``. Every other
5xx response means ``may have run``.

``GET /health`` answers 200 if the replica accepts calls. ``GET /v1/state``
answers :class:`State`.
"""

import typing

import msgspec

from papayaloom import ids
from papayaloom.ports import engine

# Headers of the caller that are forwarded to the service. All others are
# removed, above all the bearer key of the organisation.
PASSED_HEADERS = ('Accept', 'Accept-Language', 'Content-Type')


class Call(msgspec.Struct, frozen=True):
    """A call to a service.

    :param path: path and query below the replica's base URL.
    :param headers: all headers that the service receives.
    :param reply_bytes: maximum length of the response body.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b''
    reply_bytes: int = 4_194_304


class Reply(msgspec.Struct, frozen=True):
    """Response of a service."""

    status: int
    body: bytes
    content_type: str = ''


class State(msgspec.Struct, frozen=True):
    """State that a service replica reports."""

    replica: str
    service: ids.ServiceId
    running: int = 0
    leaving: bool = False
    boot: str = ''


class Services(typing.Protocol):
    """Calls of the router to service replicas."""

    def call(self, url: str, call: Call, timeouts: engine.Timeouts) -> Reply:
        """Send a call once and return the whole response.

        :raises papayaloom.errors.UpstreamError: the call failed; the verdict
            tells whether it may have run.
        :raises papayaloom.errors.RefusedError: the service reported that it
            did not start the call.
        """

    def state(self, url: str) -> State:
        """Return the replica's state."""

    def healthy(self, url: str) -> bool:
        """Return whether the replica accepts calls."""
