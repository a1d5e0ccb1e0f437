"""Port to a model engine, and the HTTP protocol that engines speak.

All bodies are JSON in UTF-8 unless stated otherwise. The suffix of a field name
gives the unit of its times. An engine refuses a request with a problem document
(RFC 9457, ``application/problem+json``) whose member ``verdict`` is ``not
run``, ``may have run`` or ``ran``. Without that member the caller has to assume
``may have run``.

**Completion**: ``POST /v1/chat/completions``

Request headers:

- ``X-Request-Id``: the ID that every event of the response contains. The router
  generates a unique one, so it differs from the ID that the client sent.
- ``X-Resume-Offset``: number of tokens that the caller already has, 0 for a new
  response. If it is positive, the last message of the body has the role
  ``assistant`` and holds the text so far; the engine continues that text, and
  its first event has this offset.
- ``X-Chat-Id``: the chat whose cache the engine may use; optional.
- ``X-Priority``: integer; requests with a higher value go first.
- ``X-Deadline-Ms``: milliseconds until the caller's deadline; optional.

Body: ``{"model": ..., "messages": [{"role": ..., "content": ...}, ...],
"stream": true}`` and any sampling fields, which the router forwards unchanged.

Response 200, ``text/event-stream``, chunked, with one event for each token::

    data: {"id": ID, "offset": N, "choices": [{"index": 0,
           "delta": {"content": "..."}, "finish_reason": null}]}

(on one line). ``offset`` is the index of the token in the whole response, so a
response that is resumed at 17 starts with offset 17. The last event has a
``finish_reason`` (``stop`` or ``length``), an empty ``content`` and, as offset,
the number of tokens of the whole response. ``data: [DONE]`` follows it. A
response that ends without both is truncated. An event, normally the last one, may
also have a member ``usage`` with ``prompt_tokens`` and ``cached_tokens``.

Refusals: 409 with the verdict ``not run`` if the engine is leaving (problem
type ``urn:papayaloom:leaving``) or does not serve the model (type
``urn:papayaloom:model``); 429 with the verdict ``not run`` and ``Retry-After``
if its queue is full; 400 with the verdict ``not run`` for a malformed body.

**Cancel**: ``DELETE /v1/requests/<X-Request-Id>`` stops a running or waiting
request. The response is 204, also for an unknown ID.

**State**: ``GET /v1/state`` answers :class:`State`. ``boot`` changes with every
start of the engine. ``fencing`` is the highest fencing token seen in an order.

**Cache events**: ``GET /v1/events?after=<sequence>&wait_ms=<ms>`` answers
:class:`CacheEvents` with the events whose sequence is higher than ``after``,
oldest first. It waits up to ``wait_ms`` if there are none. Sequences start at 1
with every boot. ``lost`` is true if events after ``after`` were discarded.
``prefixes`` are the hashes of
:func:`papayaloom.request.prompt.prefix_hashes`.

**Cache transfer**: ``GET /v1/cache/<chat>`` answers the cache of a chat as
``application/octet-stream`` (404 if there is none); ``PUT`` of the same body to
another engine imports it (204).

**Orders**: ``POST /v1/orders`` with :class:`Order` answers
:class:`OrderReply`. An engine that checks fencing refuses a token lower than
the highest one it has seen: 409, verdict ``not run``, type
``urn:papayaloom:fencing``. An order ID that the engine has already executed is
answered with ``repeated`` true and has no further effect.

**Health**: ``GET /health`` answers 200 if the engine accepts requests, 503
while it is loading or leaving.
"""

import typing

import msgspec

from papayaloom import ids

LEAVING = 'urn:papayaloom:leaving'
WRONG_MODEL = 'urn:papayaloom:model'
STALE_FENCING = 'urn:papayaloom:fencing'


class Completion(msgspec.Struct, frozen=True):
    """Request for a streamed completion.

    :param request: ID that every event of the response must have.
    :param body: the JSON body, with the text so far if it is resumed.
    :param offset: number of tokens that the caller already has.
    :param deadline_s: seconds until the caller's deadline.
    """

    request: ids.RequestId
    body: bytes
    chat: ids.ChatId = ids.ChatId('')
    offset: int = 0
    priority: int = 0
    deadline_s: float = 60


class Timeouts(msgspec.Struct, frozen=True):
    """Timeouts of one request to an upstream, in seconds.

    :param connect_s: limit for the TCP connect.
    :param read_s: limit between two reads of the response.
    """

    connect_s: float = 1
    read_s: float = 30


class State(msgspec.Struct, frozen=True):
    """State that an engine reports.

    :param running: requests that the engine is working on.
    :param waiting: requests in the engine's own queue.
    :param fencing: highest fencing token that it has seen.
    :param boot: changes with every start of the engine.
    """

    engine: ids.EngineId
    model: ids.ModelId
    version: ids.VersionId
    adapters: tuple[str, ...] = ()
    role: str = 'serve'
    running: int = 0
    waiting: int = 0
    leaving: bool = False
    fencing: int = 0
    boot: str = ''


class CacheEvent(msgspec.Struct, frozen=True):
    """Prefix blocks that an engine's cache stored or evicted.

    :param kind: ``stored`` or ``evicted``.
    :param prefixes: hashes of the blocks, outermost first.
    :param tokens: cached tokens of the chat after this event.
    """

    sequence: int
    kind: str
    chat: ids.ChatId = ids.ChatId('')
    prefixes: tuple[int, ...] = ()
    tokens: int = 0


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events after a sequence number.

    :param last: highest sequence of this boot.
    :param lost: events after the requested sequence were discarded.
    """

    events: tuple[CacheEvent, ...]
    last: int = 0
    lost: bool = False
    boot: str = ''


class Order(msgspec.Struct, frozen=True):
    """An order to an engine.

    :param action: ``load-model``, ``load-adapter``, ``load-version``,
        ``unload-adapter`` or ``role``.
    """

    order: ids.OrderId
    fencing: int
    action: str
    argument: str = ''


class OrderReply(msgspec.Struct, frozen=True):
    """Response to an order.

    :param state: the engine's state after the order.
    :param repeated: the engine had executed this order ID before.
    """

    state: State
    repeated: bool = False


class Stream(typing.Protocol):
    """Streamed response; only :meth:`abort` is safe from other threads."""

    def read(self) -> bytes:
        """Return the next bytes of the response, empty at its end.

        :raises papayaloom.errors.UpstreamError: the connection failed or the
            read timeout expired.
        """

    def set_read_timeout(self, read_s: float) -> None:
        """Change the read timeout, in seconds."""

    def close(self) -> bool:
        """Return the connection to its pool.

        :returns: whether it can be reused; otherwise it is closed.
        """

    def abort(self) -> None:
        """Shut the connection down, so that a blocked read ends at once."""


class Engines(typing.Protocol):
    """Calls of the router and the orderer to engines.

    Each method raises :class:`papayaloom.errors.UpstreamError`, whose verdict
    tells whether the request may have run, or
    :class:`papayaloom.errors.RefusedError` with the engine's problem document.
    """

    def stream(
        self, url: str, completion: Completion, timeouts: Timeouts
    ) -> Stream:
        """Start a completion and return its response after the headers."""

    def cancel(self, url: str, request: ids.RequestId) -> None:
        """Cancel a request; an unknown ID is not an error."""

    def state(self, url: str) -> State:
        """Return the state and load of an engine."""

    def events(self, url: str, after: int, wait_ms: int = 0) -> CacheEvents:
        """Return the cache events after a sequence number."""

    def export_cache(self, url: str, chat: ids.ChatId) -> bytes:
        """Return the cache of a chat."""

    def import_cache(self, url: str, chat: ids.ChatId, cache: bytes) -> None:
        """Store the cache of a chat."""

    def order(self, url: str, order: Order) -> OrderReply:
        """Send an order."""

    def healthy(self, url: str) -> bool:
        """Return whether the engine accepts requests."""
