"""Control messages between the fleet's processes.

Every message is a tagged struct, encoded as MessagePack arrays. Decision
modules return :class:`Send`; an actor hands them to the outbox.
"""

import enum

import msgspec

from papayaloom import ids


class Priority(enum.IntEnum):
    """Order in which the outbox spends the byte budget, lowest first."""

    ADMISSION = 0
    MEMBERSHIP = 1
    SETTINGS = 2
    LOAD = 3
    HANDOVER = 4
    BULK = 5


class MemberState(enum.Enum):
    """State of a router as seen by a member."""

    ALIVE = 'a'
    SUSPECT = 's'
    LEAVING = 'l'
    DEAD = 'd'


class GrantState(enum.Enum):
    """Answer of an engine's owner to a request for admission."""

    GRANTED = 'g'
    QUEUED = 'q'
    DENIED = 'd'
    EXPIRED = 'e'


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One router of the fleet.

    An update that only changes the state of a member leaves out address,
    http, zone and region.

    :param address: pynng URL of the control inbox.
    :param http: base URL towards callers.
    :param by: who suspects the member; the member itself when it says that
        it has stopped.
    """

    router: ids.RouterId
    address: str
    http: str
    zone: ids.ZoneId
    region: ids.RegionId
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    by: ids.RouterId = ids.RouterId('')


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all control messages."""


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Version and chained digest of a router's settings."""

    version: ids.SettingsVersion
    digest: str


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Running requests on the engines that one router owns.

    :param model: the engines' model.
    :param running: admitted and not finished requests.
    :param engines: how many engines it owns.
    :param sequence: milliseconds of the sender's monotonic clock at the count.
    :param age_ms: how old the count was when this message was sent.
    :param finished: requests that have ended there since the router's start.
    :param counts: running requests on each engine; a small fleet adds them.
    """

    router: ids.RouterId
    model: ids.ModelId
    running: int
    engines: int
    sequence: int
    age_ms: int
    finished: int = 0
    counts: tuple[tuple[ids.EngineId, int], ...] = ()


class Covered(msgspec.Struct, frozen=True, array_like=True):
    """Running requests of an engine whose owner may be silent.

    :param router: the second in rank, which read the engine's own count.
    :param owner: the first in rank; while its subtotal is known, this count
        is not used.
    :param running: requests that the second has not granted itself.
    :param sequence: milliseconds of the sender's monotonic clock at the count.
    """

    router: ids.RouterId
    owner: ids.RouterId
    model: ids.ModelId
    engine: ids.EngineId
    running: int
    sequence: int
    age_ms: int


class Ping(Message, frozen=True, array_like=True):
    """Membership probe.

    :param target: the probed member; an indirect probe travels through another.
    :param origin: who wants the answer.
    """

    nonce: int
    origin: ids.RouterId
    target: ids.RouterId
    updates: tuple[Member, ...]
    settings: Digest


class Ack(Message, frozen=True, array_like=True):
    """Answer to a probe."""

    nonce: int
    origin: ids.RouterId
    target: ids.RouterId
    updates: tuple[Member, ...]
    settings: Digest


class PingRequest(Message, frozen=True, array_like=True):
    """Asks a third member to probe a target."""

    nonce: int
    origin: ids.RouterId
    target: ids.RouterId
    updates: tuple[Member, ...]


class Gossip(Message, frozen=True, array_like=True):
    """News about members that should not wait for the next probe."""

    updates: tuple[Member, ...]
    settings: Digest


class ViewDigest(Message, frozen=True, array_like=True):
    """Compares the membership views of two routers.

    :param buckets: 32-bit hashes of the view, one for each bucket of names.
    """

    buckets: tuple[int, ...]


class ViewPart(Message, frozen=True, array_like=True):
    """Members of some buckets that differ.

    :param members: what the sender knows of these buckets, the dead included.
    :param buckets: the buckets that ``members`` covers completely.
    :param differ: how many buckets differed in the comparison.
    :param reply: the receiver should answer with its own members.
    """

    members: tuple[Member, ...]
    buckets: tuple[int, ...]
    differ: int
    reply: bool


class Leave(Message, frozen=True, array_like=True):
    """The sender is stopping; it still finishes its requests."""

    member: Member


class LoadReport(Message, frozen=True, array_like=True):
    """The newest load counts that the sender knows."""

    loads: tuple[Load, ...]
    covered: tuple[Covered, ...] = ()


class SettingsRequest(Message, frozen=True, array_like=True):
    """Asks for the settings changes after a version.

    :param have: head of the sender; without a digest it asks for the full
        state.
    """

    have: Digest


class SettingsDelta(Message, frozen=True, array_like=True):
    """Consecutive settings changes, oldest first, as encoded records.

    Without changes it says that the receiver is as new as the sender.
    """

    changes: tuple[bytes, ...]


class SettingsFetch(Message, frozen=True, array_like=True):
    """Asks for some chunks of a full state."""

    version: ids.SettingsVersion
    digest: str
    chunks: tuple[int, ...]


class SettingsChunk(Message, frozen=True, array_like=True):
    """Part of a compressed full state."""

    version: ids.SettingsVersion
    digest: str
    index: int
    count: int
    content: bytes


class Ask(Message, frozen=True, array_like=True):
    """Asks the owner of an engine to admit a request.

    :param ask: number chosen by the sender, unique per sender and boot.
    :param prefixes: hashes of the prompt's prefix blocks, outermost first.
    :param wait_ms: how long the sender is willing to be queued.
    :param deadline_ms: how long until the caller's deadline.
    """

    ask: int
    request: ids.RequestId
    engine: ids.EngineId
    organisation: ids.OrgId
    chat: ids.ChatId
    priority: int
    wait_ms: int
    deadline_ms: int
    prompt_tokens: int
    prefixes: tuple[int, ...] = ()


class Answer(Message, frozen=True, array_like=True):
    """Answer of an engine's owner.

    :param load: running requests of the engine, this one included if granted.
    :param cap: the cap in force for this admission.
    :param cached_tokens: prompt tokens that the engine has cached.
    :param retry_after_ms: when a denied request may try again.
    :param setting: path of the setting that decided a denial.
    """

    ask: int
    engine: ids.EngineId
    state: GrantState
    load: int
    cap: int
    cached_tokens: int = 0
    retry_after_ms: int = 0
    setting: str = ''


class PromiseRequest(Message, frozen=True, array_like=True):
    """Asks the second in rank not to admit to the sender's engines.

    :param nonce: number chosen by the sender; the term counts from its sending.
    :param engines: engines for which the sender ranks first.
    """

    nonce: int
    engines: tuple[ids.EngineId, ...]


class Promise(Message, frozen=True, array_like=True):
    """The sender admits to the named engines no more, for a term.

    :param promise_s: term in seconds, counted from the sending of the request.
    :param counts: promised engines and the sender's running grants there.
    """

    nonce: int
    promise_s: float
    counts: tuple[tuple[ids.EngineId, int], ...]


class Hold(Message, frozen=True, array_like=True):
    """Renews the sender's grants for running requests.

    :param asks: numbers of all grants that the sender still uses at the engine.
    """

    engine: ids.EngineId
    asks: tuple[int, ...]


class Release(Message, frozen=True, array_like=True):
    """Gives a grant back.

    :param crashed: the engine broke the connection.
    :param tokens: prompt and generated tokens now cached for the chat.
    """

    ask: int
    engine: ids.EngineId
    finished: bool
    crashed: bool = False
    tokens: int = 0


class HintRequest(Message, frozen=True, array_like=True):
    """Asks a chat's home router for its placement hint."""

    ask: int
    chat: ids.ChatId


class Hint(Message, frozen=True, array_like=True):
    """Where a chat ran last; an empty engine when unknown."""

    ask: int
    chat: ids.ChatId
    engine: ids.EngineId
    tokens: int
    turns: int


class Handover(Message, frozen=True, array_like=True):
    """Placement state given to the next in rank by a stopping router."""

    hints: tuple[Hint, ...]
    engines: tuple[tuple[ids.EngineId, int], ...] = ()


class RecordsHandover(Message, frozen=True, array_like=True):
    """The newest request records of a stopping router, as JSON."""

    records: tuple[bytes, ...]


class ShareRequest(Message, frozen=True, array_like=True):
    """Asks an organisation's keeper for a share of its rate.

    :param demand: requests a second seen by the sender.
    """

    organisation: ids.OrgId
    demand: float


class Share(Message, frozen=True, array_like=True):
    """A share of an organisation's rate for a term in seconds."""

    organisation: ids.OrgId
    rate: float
    term_s: float


class Claim(Message, frozen=True, array_like=True):
    """Asks the responsible router to record a call before it is sent."""

    ask: int
    shard: int
    slot: int
    key: bytes
    attempt: str


class Claimed(Message, frozen=True, array_like=True):
    """Outcome of a claim.

    :param granted: this attempt may send the call.
    :param known: the call's state is certain (the store answered).
    :param status: recorded status of an earlier run, 0 when none is recorded.
    :param content: recorded answer of an earlier run.
    """

    ask: int
    granted: bool
    known: bool
    state: str = ''
    status: int = 0
    content: bytes = b''


class Outcome(Message, frozen=True, array_like=True):
    """Records the outcome of a claimed call."""

    shard: int
    slot: int
    key: bytes
    attempt: str
    state: str
    status: int
    content: bytes


class Suspects(Message, frozen=True, array_like=True):
    """Fingerprints of requests that ran on an upstream when it crashed.

    :param crashes: pairs of fingerprint and identifier of the crash, which is
        the upstream, ``#`` and a number.
    :param ran_s: how long each of the requests had run, in seconds.
    """

    crashes: tuple[tuple[ids.Fingerprint, str], ...]
    ran_s: tuple[float, ...] = ()


class UpstreamLeaving(Message, frozen=True, array_like=True):
    """An upstream said that it is leaving, or refused new work for that."""

    upstream: str
    sequence: int


class FleetView(Message, frozen=True, array_like=True):
    """The membership view that a router publishes to the locator on its host.

    :param members: all members that may serve callers, leaving ones included.
    :param sequence: grows with every change within one boot of the router.
    :param ttl_s: how long callers may keep an address answer.
    :param count: how many addresses an answer holds.
    """

    deployment: str
    router: ids.RouterId
    boot: int
    sequence: int
    members: tuple[Member, ...]
    ttl_s: float
    count: int


Control = (
    Ping
    | Ack
    | PingRequest
    | Gossip
    | ViewDigest
    | ViewPart
    | Leave
    | LoadReport
    | SettingsRequest
    | SettingsFetch
    | SettingsDelta
    | SettingsChunk
    | Ask
    | Answer
    | PromiseRequest
    | Promise
    | Hold
    | Release
    | HintRequest
    | Hint
    | Handover
    | RecordsHandover
    | ShareRequest
    | Share
    | Claim
    | Claimed
    | Outcome
    | Suspects
    | UpstreamLeaving
)


class Send(msgspec.Struct, frozen=True):
    """A message to be sent by the actor of the part that returned it."""

    to: ids.RouterId
    message: Message
    priority: Priority
