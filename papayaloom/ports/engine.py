"""Port to a model engine, and the HTTP protocol that engines speak.

All bodies are JSON in UTF-8 unless stated. Times are in the unit that the
field names. An engine answers a refusal with a problem document (RFC 9457,
``application/problem+json``) whose member ``verdict`` is ``not run``, ``may
have run`` or ``ran``. Without that member a caller of the engine has to assume
``may have run``.

**Completion**: ``POST /v1/chat/completions``

Request headers:

- ``X-Request-Id``: the id that every event of the answer carries. The router
  makes it unique, so it is not the id that the member's program sent.
- ``X-Resume-Offset``: number of tokens that the caller already has, 0 for a
  new answer. If it is positive, the last message of the body has the role
  ``assistant`` and holds the text so far; the engine continues that text, and
  its first event has this offset.
- ``X-Chat-Id``: the chat whose cache the engine may use; may be absent.
- ``X-Priority``: integer, a higher one goes first.
- ``X-Deadline-Ms``: milliseconds that the caller still waits; may be absent.

Body: ``{"model": ..., "messages": [{"role": ..., "content": ...}, ...],
"stream": true}`` and any sampling fields, which the router passes unchanged.

Answer 200, ``text/event-stream``, chunked. One event for each token::

    data: {"id": ID, "offset": N, "choices": [{"index": 0,
           "delta": {"content": "..."}, "finish_reason": null}]}

(on one line). ``offset`` is the index of the token in the whole answer, so an
answer that is resumed at 17 starts with offset 17. The last event has a
``finish_reason`` (``stop`` or ``length``), an empty ``content`` and, as offset,
the number of tokens of the whole answer. Then ``data: [DONE]``. An answer that
ends without both is truncated. An event may also have a member ``usage`` with
``prompt_tokens`` and ``cached_tokens`` (normally the last one).

Refusals: 409 with the verdict ``not run`` when the engine is leaving (problem
type ``urn:papayaloom:leaving``) or does not serve the model (type
``urn:papayaloom:model``); 429 with the verdict ``not run`` and ``Retry-After``
when its queue is full; 400 with the verdict ``not run`` for a body that it
cannot read.

**Cancel**: ``DELETE /v1/requests/<X-Request-Id>`` stops a running or waiting
request. 204, also when the engine does not know the id (any more).

**State**: ``GET /v1/state`` answers :class:`State`. ``boot`` differs after each
start of the engine. ``fencing`` is the highest fencing token seen in an order.

**Cache events**: ``GET /v1/events?after=<sequence>&wait_ms=<ms>`` answers
:class:`CacheEvents` with the events whose sequence is higher than ``after``,
oldest first. It waits up to ``wait_ms`` when there are none. Sequences start
at 1 with each boot. ``lost`` is true when events after ``after`` were
discarded. ``prefixes`` are the hashes of
:func:`papayaloom.request.prompt.prefixes`.

**Cache transfer**: ``GET /v1/cache/<chat>`` answers the cache of a chat as
``application/octet-stream`` (404 when there is none); ``PUT`` of the same body
at another engine imports it (204).

**Orders**: ``POST /v1/orders`` with :class:`Order` answers
:class:`OrderReply`. An engine that checks fencing refuses a token lower than
the highest one it saw: 409, verdict ``not run``, type
``urn:papayaloom:fencing``. An order id that the engine already carried out is
answered again with ``repeated`` true and has no further effect.

**Health**: ``GET /health`` answers 200 when the engine can take requests, 503
when it is loading or leaving.
"""

import typing

import msgspec

from papayaloom import ids

LEAVING = 'urn:papayaloom:leaving'
WRONG_MODEL = 'urn:papayaloom:model'
OLD_FENCING = 'urn:papayaloom:fencing'


class Completion(msgspec.Struct, frozen=True):
    """A completion to be streamed.

    :param request: id that every event of the answer must carry.
    :param body: the JSON body, with the text so far when resumed.
    :param offset: number of tokens that the caller already has.
    :param deadline_s: seconds that the caller still waits.
    """

    request: ids.RequestId
    body: bytes
    chat: ids.ChatId = ids.ChatId('')
    offset: int = 0
    priority: int = 0
    deadline_s: float = 60


class Timeouts(msgspec.Struct, frozen=True):
    """Limits of one exchange with an upstream.

    :param connect_s: seconds for the TCP connection.
    :param read_s: seconds between two reads of the answer.
    """

    connect_s: float = 1
    read_s: float = 30


class State(msgspec.Struct, frozen=True):
    """What an engine says about itself.

    :param running: requests that the engine is working on.
    :param waiting: requests in the engine's own queue.
    :param fencing: highest fencing token that it has seen.
    :param boot: differs after each start of the engine.
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
    :param lost: events after the asked sequence were discarded.
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
    """Answer to an order.

    :param state: the engine's state after the order.
    :param repeated: this order id had been carried out before.
    """

    state: State
    repeated: bool = False


class Stream(typing.Protocol):
    """An open answer; used by one thread, except :meth:`abort`."""

    def read(self) -> bytes:
        """Return the next bytes of the answer, empty at its end.

        :raises papayaloom.errors.UpstreamError: the connection broke or the
            read timeout passed.
        """

    def patience(self, read_s: float) -> None:
        """Change the read timeout, in seconds."""

    def close(self) -> bool:
        """Give the connection back.

        :returns: whether it can be reused; otherwise it was closed.
        """

    def abort(self) -> None:
        """Break the connection, so that a blocked read ends at once."""


class Engines(typing.Protocol):
    """What the router and the orderer ask of engines.

    Each method raises :class:`papayaloom.errors.UpstreamError` with a true
    verdict, or :class:`papayaloom.errors.RefusedError` with the engine's own
    problem document.
    """

    def stream(
        self, url: str, completion: Completion, timeouts: Timeouts
    ) -> Stream:
        """Start a completion and return its answer after the headers."""

    def cancel(self, url: str, request: ids.RequestId) -> None:
        """Stop a request; an unknown one is no error."""

    def state(self, url: str) -> State:
        """Return the engine's state and load."""

    def events(self, url: str, after: int, wait_ms: int = 0) -> CacheEvents:
        """Return the cache events after a sequence number."""

    def export_cache(self, url: str, chat: ids.ChatId) -> bytes:
        """Return the cache of a chat."""

    def import_cache(self, url: str, chat: ids.ChatId, cache: bytes) -> None:
        """Store the cache of a chat."""

    def order(self, url: str, order: Order) -> OrderReply:
        """Give an order."""

    def healthy(self, url: str) -> bool:
        """Return whether the engine can take requests."""
