"""Interface between the request path and the router's decision logic.

:class:`CoreApi` is implemented by the actor that owns placement, membership
and the ledger, and by an in-memory implementation for tests and benchmarks
(:class:`papayaloom.standins.memory_core.MemoryCore`).
All methods are thread-safe. Only
:meth:`CoreApi.admit`, :meth:`CoreApi.claim` and :meth:`CoreApi.record` may
block, the first two at most until the deadline in their argument. A refusal is
an ``Err`` with the problem document for the caller; the request path fills in
``request_id`` and ``settings_version``.
"""

import enum
import typing

import msgspec
import result

from papayaloom import errors, ids


class AttemptEnd(enum.Enum):
    """How an attempt at an upstream ended."""

    FINISHED = 'finished'
    # The upstream reported that it did not start the request.
    REFUSED = 'refused'
    # No byte of the request was sent to the upstream.
    UNREACHABLE = 'unreachable'
    # The upstream closed the connection before the response was complete.
    CRASHED = 'crashed'
    # The upstream timed out, or its response was malformed or truncated.
    FAILED = 'failed'
    # The caller disconnected or its deadline passed.
    ABANDONED = 'abandoned'


class Resolved(typing.Protocol):
    """Value of a setting and the branch of the settings tree it comes from."""

    @property
    def value(self) -> typing.Any:
        """Return the value in the declared unit."""

    @property
    def branch(self) -> str:
        """Return the branch that sets the value; empty for the default."""

    @property
    def version(self) -> int:
        """Return the settings version of the value; 0 for the default."""


class Settings(typing.Protocol):
    """Settings of one version; a request uses the same version throughout."""

    @property
    def version(self) -> int:
        """Return the settings version."""

    def resolve(
        self, path: str, *, org: str = '', target: str = ''
    ) -> Resolved:
        """Return the value of a setting.

        :param target: ``models/<model>`` or ``services/<service>``.
        """


class AdmissionRequest(msgspec.Struct, frozen=True):
    """Requests an engine for one attempt of a chat request.

    :param request: unique id of the request as sent to upstreams.
    :param fingerprint: hash that is equal for requests of the same
        organisation, target and body, regardless of how often they are sent.
    :param priority: 0 to 9, the highest is served first.
    :param deadline_s: seconds left until the caller's deadline.
    :param prompt_tokens: estimated size of the prompt, including the response
        text so far.
    :param prefixes: from :func:`papayaloom.request.prompt.prefix_hashes`.
    :param avoid: engines that failed this request; chosen again only if there
        is no other.
    :param resumed: the response has started, so a refusal truncates it.
    """

    request: ids.RequestId
    organisation: ids.OrgId
    chat: ids.ChatId
    model: ids.ModelId
    fingerprint: ids.Fingerprint
    priority: int
    deadline_s: float
    prompt_tokens: int
    prefixes: tuple[int, ...] = ()
    avoid: tuple[ids.EngineId, ...] = ()
    resumed: bool = False


class Grant(msgspec.Struct, frozen=True):
    """Permission for one attempt at one engine.

    :param ask: id of the grant, unique per :class:`CoreApi`.
    :param url: base URL of the engine.
    :param cached_tokens: estimated number of prompt tokens in the engine's
        cache.
    :param reason: why this engine was chosen, in a few words for the record.
    :param renew_s: interval at which the holder calls :meth:`CoreApi.renew`.
    :param decided: settings that influenced the choice, as pairs of path and
        target; the record shows their values and branches.
    """

    ask: int
    engine: ids.EngineId
    url: str
    cached_tokens: int = 0
    reason: str = ''
    renew_s: float = 1
    decided: tuple[tuple[str, str], ...] = ()


class Outcome(msgspec.Struct, frozen=True):
    """Result of an attempt under a grant.

    :param tokens: prompt and generated tokens that are now cached for the
        chat.
    :param cached_tokens: number of cached tokens that the engine reported; -1
        if it reported none.
    :param leaving: the engine reported that it is shutting down.
    """

    end: AttemptEnd
    tokens: int = 0
    cached_tokens: int = -1
    leaving: bool = False
    seconds: float = 0


class ClaimRequest(msgspec.Struct, frozen=True):
    """Requests permission to send a non-idempotent call.

    :param key: the caller's ``Idempotency-Key``, a UUID version 7.
    :param attempt: unique id of this attempt.
    :param service: name of the service; service, organisation and key together
        identify the call.
    :param body_digest: hash of method, path and body; reuse of a key with a
        different digest is refused.
    """

    key: ids.CallKey
    attempt: str
    organisation: ids.OrgId
    service: ids.ServiceId
    deadline_s: float
    body_digest: str = ''


class ClaimState(enum.Enum):
    """State of an idempotency key when it is claimed."""

    # The claim is committed; this attempt may send the call.
    GRANTED = 'granted'
    # The store is unavailable and the service checks keys itself; the call may
    # be sent with its key.
    PASSED_ON = 'passed on'
    # Another attempt holds the claim and has not recorded an outcome yet.
    IN_PROGRESS = 'in progress'
    # An earlier attempt ran; the claim has its outcome.
    RAN = 'ran'
    # An earlier attempt may have run; its outcome is unknown.
    UNKNOWN = 'unknown'


class Claim(msgspec.Struct, frozen=True):
    """Answer to :class:`ClaimRequest`.

    :param ask: id of the claim, unique per :class:`CoreApi`.
    :param status: HTTP status recorded by the earlier attempt.
    :param content: response body recorded by the earlier attempt, up to 512
        bytes.
    :param complete: ``content`` is the complete body.
    """

    ask: int
    state: ClaimState
    status: int = 0
    content: bytes = b''
    content_type: str = ''
    complete: bool = True


class CallOutcome(msgspec.Struct, frozen=True):
    """Outcome of a claimed call.

    ``NOT_RUN`` releases the key, so that the call can be repeated.
    ``MAY_HAVE_RUN`` blocks the key permanently. ``RAN`` stores the status and
    the response body.
    """

    verdict: errors.Verdict
    status: int = 0
    content: bytes = b''
    content_type: str = ''


class Replica(msgspec.Struct, frozen=True):
    """A service replica chosen for one attempt."""

    upstream: str
    url: str
    reason: str = ''


class Failure(msgspec.Struct, frozen=True):
    """Reports a failed attempt, for ejection and quarantine.

    :param upstream: engine id or replica id.
    """

    upstream: str
    target: str
    end: AttemptEnd
    request: ids.RequestId
    fingerprint: ids.Fingerprint
    leaving: bool = False


class CoreApi(typing.Protocol):
    """Decision logic as seen by the request path."""

    def organisation(self, key: str) -> ids.OrgId | None:
        """Look up the owner of a bearer key by its SHA-256 hash."""

    def settings(self) -> Settings:
        """Return the current settings."""

    def admit(
        self, ask: AdmissionRequest
    ) -> result.Result[Grant, errors.Problem]:
        """Choose an engine and admit the request to it.

        Blocks while the request is queued, at most ``ask.deadline_s``. Applies
        rate limits and the quarantine. Each grant must be released exactly
        once with :meth:`release`.
        """

    def renew(self, grant: Grant) -> None:
        """Report that the grant is still in use."""

    def release(self, grant: Grant, outcome: Outcome) -> None:
        """Release the grant."""

    def replica(
        self, service: ids.ServiceId, avoid: tuple[str, ...] = ()
    ) -> result.Result[Replica, errors.Problem]:
        """Choose a replica of a service; status 404 if the service is unknown.

        :param avoid: replicas that failed this call.
        """

    def report_attempt_end(
        self, replica: Replica, end: AttemptEnd, seconds: float
    ) -> None:
        """Report the end of an attempt at a replica, successful or not."""

    def admit_call(
        self, organisation: ids.OrgId, fingerprint: ids.Fingerprint
    ) -> errors.Problem | None:
        """Apply rate limits and the quarantine to a call.

        :returns: the reason for a refusal, or None.
        """

    def claim(self, ask: ClaimRequest) -> result.Result[Claim, errors.Problem]:
        """Claim the key of a call and wait until the claim is committed.

        An ``Err`` has the verdict ``not run``, or ``may have run`` if the key
        is older than the retained records.
        """

    def record(self, claim: Claim, outcome: CallOutcome) -> bool:
        """Record the outcome of a granted claim before the caller is answered.

        Waits up to one second for the batched write.

        :returns: whether the outcome is committed.
        """

    def may_retry(self, upstream: str, target: str) -> bool:
        """Consume one retry from the budgets; ``False`` if one is exhausted.

        :param upstream: the upstream that failed.
        """

    def report_failure(self, failure: Failure) -> None:
        """Report a failure or crash of an upstream."""

    def is_accepting(self) -> bool:
        """Return whether new requests are accepted; false while draining."""

    def dump(self) -> msgspec.Struct | dict[str, object]:
        """Return a copy of the decision state, without keys or messages."""
