"""Typed metadata of forwarded requests, and the header dialect interface.

A dialect translates between header names on the wire and these types. The
forwarding code itself refers to no header names except the standard HTTP ones.
"""

import typing

import msgspec

from papayaloom import ids

Headers = list[tuple[bytes, bytes]]


class PromptPart(msgspec.Struct, frozen=True):
    """A segment of a prompt that may be shared with other requests."""

    name: str
    tokens: int


class RequestMetadata(msgspec.Struct, frozen=True):
    """Request metadata sent by a caller.

    :param timeout_s: how long the caller waits; None if not stated.
    :param key: API key of an organisation, or empty.
    :param parts: segments of the prompt in order; the last one is specific to
        the request or its session.
    :param prompt_tokens: length of the prompt in tokens.
    :param output_tokens: maximum number of tokens to generate.
    :param last_event_id: id of the event after which an interrupted stream
        resumes, or empty.
    """

    request_id: ids.RequestId
    timeout_s: float | None = None
    key: str = ''
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event_id: str = ''


class ForwardMetadata(msgspec.Struct, frozen=True):
    """Metadata that is added to a request forwarded to an upstream.

    :param left_s: time left until the caller's deadline.
    :param replica: the only replica that may run the request.
    :param last_event_id: id of the last event delivered to the caller.
    :param priority: 0 to 9, 0 is the most urgent; None selects the default.
    :param body_bytes: length of the body.
    :param copy_from: ``IP:PORT`` of a replica that may have the prompt cached;
        the receiving replica copies missing cache blocks from there.
    """

    left_s: float
    replica: str
    organisation: str = ''
    last_event_id: str = ''
    priority: int | None = None
    body_bytes: int = 0
    copy_from: str = ''


class Load(msgspec.Struct, frozen=True):
    """Load that a replica reports in a response.

    :param slowdown: how long work takes on its machine at the moment, 1 is
        usual; None if not stated.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class ResponseMetadata(msgspec.Struct, frozen=True):
    """Response metadata sent by an upstream.

    :param request_id: id of the request that the response belongs to, or
        empty.
    :param is_ambiguous: a field that says which response this is came more
        than once.
    :param receipt: proof that a replica produced the response, or empty.
    :param is_not_run: the replica reports that it did not run the request.
    :param idle_s: keep-alive timeout of the replica; None if not stated.
    :param is_encoded: the body has a content coding.
    :param is_leaving: the replica is shutting down and accepts no new work.
    :param pause_s: time for which an overloaded replica wants no further
        requests from this host; None if not stated.
    :param limit_per_s: requests per second that the replica takes from all
        hosts together; None if it names no limit.
    :param cold_s: rest of the warm-up of the replica; None if not stated.
    """

    request_id: str = ''
    is_ambiguous: bool = False
    receipt: str = ''
    is_not_run: bool = False
    load: Load | None = None
    idle_s: float | None = None
    is_encoded: bool = False
    is_leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None
    cold_s: float | None = None


class HeaderDialect(typing.Protocol):
    """Translates between headers on the wire and typed metadata.

    ``single_fields`` are the fields of a request that may come once only.
    """

    single_fields: frozenset[bytes]

    def request_id(self, headers: typing.Mapping[bytes, bytes]) -> str:
        """Return the request id, for log messages."""

    def read_request(
        self, headers: typing.Mapping[bytes, bytes]
    ) -> RequestMetadata:
        """Parse the headers of a caller's request.

        :raises papayaloom.errors.RefusedError: a header is malformed.
        """

    def upstream_headers(
        self, headers: typing.Mapping[bytes, bytes], sent: ForwardMetadata
    ) -> Headers:
        """Return the request headers to send to an upstream."""

    def read_answer(self, status: int, headers: Headers) -> ResponseMetadata:
        """Parse the response headers of an upstream."""

    def caller_headers(self, headers: Headers) -> Headers:
        """Return the response headers to send to the caller."""
