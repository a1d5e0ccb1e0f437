"""Typed view of a forwarded request, and the port to a header dialect.

A dialect translates between header names on the wire and these types. The
forwarding code knows no header names of its own, except those of HTTP.
"""

import typing

import msgspec

from papayaloom import ids

Headers = list[tuple[bytes, bytes]]


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that other requests may share."""

    name: str
    tokens: int


class Asked(msgspec.Struct, frozen=True):
    """What a caller states about its request.

    :param timeout_s: how long the caller waits; None when it does not say.
    :param key: API key of an organisation, or empty.
    :param parts: parts of the prompt in order; the last one is the request's
        own or its session's.
    :param prompt_tokens: length of the prompt.
    :param output_tokens: most tokens that may be generated.
    :param last_event_id: where a broken stream goes on, or empty.
    """

    request_id: ids.RequestId
    timeout_s: float | None = None
    key: str = ''
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event_id: str = ''


class Onward(msgspec.Struct, frozen=True):
    """What the fleet states about a request that it passes on.

    :param left_s: time left until the caller's deadline.
    :param replica: the replica that alone may run it.
    :param last_event_id: id of the last event that the caller has.
    :param priority: urgency from 0 to 9, 0 first; None leaves the default.
    :param body_bytes: length of the body.
    :param copy_from: ``IP:PORT`` of a replica that may have the prompt cached;
        the receiving replica copies what it lacks from there.
    """

    left_s: float
    replica: str
    organisation: str = ''
    last_event_id: str = ''
    priority: int | None = None
    body_bytes: int = 0
    copy_from: str = ''


class Load(msgspec.Struct, frozen=True):
    """Load that a replica reports with an answer."""

    running: int
    waiting: int
    slots: int


class Marks(msgspec.Struct, frozen=True):
    """What an upstream states about its answer.

    :param request_id: the request that it answers, or empty.
    :param receipt: proof that a replica made the answer, or empty.
    :param is_not_run: the replica says that it did not run the request.
    :param idle_s: how long the replica keeps an idle connection; None when it
        does not say.
    :param is_encoded: the body has a content coding.
    :param is_leaving: the replica is about to leave and wants no new work.
    :param pause_s: time for which a replica that refuses wants nothing more
        from this host; None when it does not say.
    """

    request_id: str = ''
    receipt: str = ''
    is_not_run: bool = False
    load: Load | None = None
    idle_s: float | None = None
    is_encoded: bool = False
    is_leaving: bool = False
    pause_s: float | None = None


class Dialect(typing.Protocol):
    """Translates headers."""

    def request_id(self, headers: typing.Mapping[bytes, bytes]) -> str:
        """Return the id of a request, for logs."""

    def read_request(self, headers: typing.Mapping[bytes, bytes]) -> Asked:
        """Read the headers of a caller.

        :raises papayaloom.errors.RefusedError: a header can't be read.
        """

    def upstream_headers(
        self, headers: typing.Mapping[bytes, bytes], sent: Onward
    ) -> Headers:
        """Return the headers for an upstream."""

    def read_answer(self, status: int, headers: Headers) -> Marks:
        """Read the headers of an upstream."""

    def caller_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer for the caller."""
