"""What the request path asks of the router's decision parts.

:class:`Desk` is implemented by the actor that owns placement, membership and
the ledger, and by an in-memory twin for tests and benchmarks
(:class:`papayaloom.standins.desk.Desk`). All methods may be called by many
threads at once. Only :meth:`Desk.admit`, :meth:`Desk.claim` and
:meth:`Desk.record` may block, the first two never for longer than the deadline
in their argument; the others return at once. A refusal is an ``Err`` with the problem document that the caller
receives; the request path fills in ``request_id`` and ``settings_version``.
"""

import enum
import typing

import msgspec
import result

from papayaloom import errors, ids


class End(enum.Enum):
    """How a try at an upstream ended."""

    FINISHED = 'finished'
    # The upstream said that it did not start the request.
    REFUSED = 'refused'
    # No byte of the request left for the upstream.
    UNREACHABLE = 'unreachable'
    # The upstream broke the connection in the middle of an answer.
    CRASHED = 'crashed'
    # The upstream stayed silent, or its answer was malformed or cut off.
    FAILED = 'failed'
    # The caller went away or its deadline passed.
    ABANDONED = 'abandoned'


class Resolved(typing.Protocol):
    """Value of a setting and the branch that decided it."""

    @property
    def value(self) -> typing.Any:
        """Return the value in the declared unit."""

    @property
    def branch(self) -> str:
        """Return the branch that set it, empty for the default."""

    @property
    def version(self) -> int:
        """Return the settings version that set it, 0 for the default."""


class Settings(typing.Protocol):
    """Settings of one version; a request keeps the ones it began with."""

    @property
    def version(self) -> int:
        """Return the version."""

    def resolve(
        self, path: str, *, org: str = '', target: str = ''
    ) -> Resolved:
        """Return the value of a setting.

        :param target: ``models/<model>`` or ``services/<service>``.
        """


class ChatAsk(msgspec.Struct, frozen=True):
    """Asks for an engine for one try of a chat request.

    :param request: unique id of the request at the upstreams.
    :param fingerprint: equal for requests of equal organisation, target and
        body, however often they are sent.
    :param priority: 0 to 9, a higher one goes first.
    :param deadline_s: seconds left until the caller's deadline.
    :param prompt_tokens: estimate of the prompt, text so far included.
    :param prefixes: hashes of :func:`papayaloom.request.prompt.prefixes`.
    :param avoid: engines that failed this request; not to be chosen again
        while there are others.
    :param resumed: the answer has begun, so a refusal cuts it off.
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
    """Permission for one try at one engine.

    :param ask: number of the grant, unique per desk.
    :param url: base URL of the engine.
    :param cached_tokens: prompt tokens that the engine is thought to hold.
    :param reason: why this engine, in a few words for the record.
    :param renew_s: the holder calls :meth:`Desk.renew` this often.
    :param decided: settings that decided the choice, as pairs of path and
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
    """How the use of a grant ended.

    :param tokens: prompt and generated tokens now cached for the chat.
    :param cached_tokens: what the engine said it had cached; -1 if unsaid.
    :param leaving: the engine said that it is leaving.
    """

    end: End
    tokens: int = 0
    cached_tokens: int = -1
    leaving: bool = False
    seconds: float = 0


class CallAsk(msgspec.Struct, frozen=True):
    """Asks for permission to send a non-idempotent call.

    :param key: the caller's ``Idempotency-Key``, a UUID version 7.
    :param attempt: unique id of this attempt.
    :param service: name of the service; with the organisation and the key it
        identifies the call.
    :param body_digest: hash of method, path and body; a repeat of a key with
        another digest is refused.
    """

    key: ids.CallKey
    attempt: str
    organisation: ids.OrgId
    service: ids.ServiceId
    deadline_s: float
    body_digest: str = ''


class ClaimState(enum.Enum):
    """What a claim found."""

    # The claim is committed: this attempt may send the call.
    GRANTED = 'granted'
    # The store is down and the service checks keys itself: send with the key.
    PASSED_ON = 'passed on'
    # Another attempt holds the claim and has no outcome yet.
    IN_PROGRESS = 'in progress'
    # An earlier attempt ran; its outcome is in the claim.
    RAN = 'ran'
    # An earlier attempt may have run and its outcome is unknown.
    UNKNOWN = 'unknown'


class Claim(msgspec.Struct, frozen=True):
    """Answer to :class:`CallAsk`.

    :param ask: number of the claim, unique per desk.
    :param status: status recorded by the earlier attempt.
    :param content: answer recorded by the earlier attempt, up to 512 bytes.
    :param complete: ``content`` is the whole answer.
    """

    ask: int
    state: ClaimState
    status: int = 0
    content: bytes = b''
    content_type: str = ''
    complete: bool = True


class CallOutcome(msgspec.Struct, frozen=True):
    """Outcome of a claimed call.

    ``NOT_RUN`` frees the key for a repeat. ``MAY_HAVE_RUN`` closes it for
    good. ``RAN`` keeps the status and the answer.
    """

    verdict: errors.Verdict
    status: int = 0
    content: bytes = b''
    content_type: str = ''


class Replica(msgspec.Struct, frozen=True):
    """A service replica chosen for one try."""

    upstream: str
    url: str
    reason: str = ''


class Failure(msgspec.Struct, frozen=True):
    """Reports a try that did not finish, for ejection and quarantine.

    :param upstream: engine id or replica id.
    """

    upstream: str
    target: str
    end: End
    request: ids.RequestId
    fingerprint: ids.Fingerprint
    leaving: bool = False


class Desk(typing.Protocol):
    """Decisions that a request needs."""

    def organisation(self, key: str) -> ids.OrgId | None:
        """Return whose bearer key this is, looked up by its SHA-256 hash."""

    def settings(self) -> Settings:
        """Return the settings in force."""

    def admit(self, ask: ChatAsk) -> result.Result[Grant, errors.Problem]:
        """Choose an engine and admit the request to it.

        Blocks while the request is queued, at most ``ask.deadline_s``. Rate
        limits and the quarantine are applied here. Each grant is released
        exactly once with :meth:`release`.
        """

    def renew(self, grant: Grant) -> None:
        """Say that the grant is still in use."""

    def release(self, grant: Grant, outcome: Outcome) -> None:
        """Give the grant back."""

    def replica(
        self, service: ids.ServiceId, avoid: tuple[str, ...] = ()
    ) -> result.Result[Replica, errors.Problem]:
        """Choose a replica of a service; 404 for an unknown service.

        :param avoid: replicas that failed this call.
        """

    def served(self, replica: Replica, end: End, seconds: float) -> None:
        """Say that a try at a replica ended, well or not."""

    def admit_call(
        self, organisation: ids.OrgId, fingerprint: ids.Fingerprint
    ) -> errors.Problem | None:
        """Apply rate limits and the quarantine to a call.

        :returns: why the call is refused, or nothing.
        """

    def claim(self, ask: CallAsk) -> result.Result[Claim, errors.Problem]:
        """Claim a call's key; returns after the claim is committed.

        An ``Err`` has the verdict ``not run``, or ``may have run`` for a key
        that is older than the records.
        """

    def record(self, claim: Claim, outcome: CallOutcome) -> bool:
        """Record the outcome of a granted claim before it is answered.

        Waits for the batched write, at most a second.

        :returns: whether the outcome is committed.
        """

    def may_retry(self, upstream: str, target: str) -> bool:
        """Take one retry from the budgets; ``False`` when they are empty.

        :param upstream: the upstream that failed.
        """

    def failed(self, failure: Failure) -> None:
        """Note a failure or a crash of an upstream."""

    def accepting(self) -> bool:
        """Return whether new requests are accepted; false while draining."""

    def dump(self) -> msgspec.Struct | dict[str, object]:
        """Return a copy of the decision state, without keys or texts."""
