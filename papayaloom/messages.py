"""Control messages between the fleet's processes.

Every message is a tagged struct, encoded as a MessagePack array. Decision
modules return messages as :class:`Send`; an actor puts them into the outbox.
"""

import enum

import msgspec

from papayaloom import ids


class Priority(enum.IntEnum):
    """Priority in the outbox; lower values get the byte budget first."""

    ADMISSION = 0
    MEMBERSHIP = 1
    SETTINGS = 2
    LOAD = 3
    HANDOVER = 4
    BULK = 5


class MemberState(enum.Enum):
    """State of a router in the membership view of a member."""

    ALIVE = 'a'
    SUSPECT = 's'
    LEAVING = 'l'
    DEAD = 'd'


class GrantState(enum.Enum):
    """Decision of the owner of an engine on an admission request."""

    GRANTED = 'g'
    QUEUED = 'q'
    DENIED = 'd'
    EXPIRED = 'e'


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A router of the fleet.

    In an update that only changes the state of a member, address, http, zone
    and region are empty.

    :param address: pynng URL of the control inbox.
    :param http: base URL for callers.
    :param by: the router that suspects the member; the member itself if it
        announces that it has stopped.
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
    """Base class of all control messages."""


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Version and chained digest of the settings of a router."""

    version: ids.SettingsVersion
    digest: str


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Running requests on the engines that one router owns.

    :param model: the engines' model.
    :param running: admitted requests that have not finished.
    :param engines: number of engines that the router owns.
    :param sequence: milliseconds of the sender's monotonic clock at the count.
    :param age_ms: age of the count when this message was sent.
    :param finished: requests that have ended there since the router's start.
    :param counts: running requests per engine; only sent in a small fleet.
    """

    router: ids.RouterId
    model: ids.ModelId
    running: int
    engines: int
    sequence: int
    age_ms: int
    finished: int = 0
    counts: tuple[tuple[ids.EngineId, int], ...] = ()


class FallbackLoad(msgspec.Struct, frozen=True, array_like=True):
    """Running requests of an engine whose owner may not be reporting.

    :param router: the router ranked second, which read the engine's own count.
    :param owner: the router ranked first; this count is unused while the
        owner's subtotal is known.
    :param running: requests that the second router has not granted itself.
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

    :param target: the probed member; an indirect probe is relayed by another.
    :param origin: the router that receives the answer.
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
    """Member updates that are sent without waiting for the next probe."""

    updates: tuple[Member, ...]
    settings: Digest


class ViewDigest(Message, frozen=True, array_like=True):
    """Digest for the comparison of the membership views of two routers.

    :param buckets: 32-bit hashes of the view, one for each bucket of names.
    """

    buckets: tuple[int, ...]


class ViewPart(Message, frozen=True, array_like=True):
    """Members of some of the buckets that differ.

    :param members: members that the sender knows in these buckets, including
        dead ones.
    :param buckets: the buckets whose members are all in ``members``.
    :param differ: number of buckets that differed in the comparison.
    :param reply: the receiver should answer with its own members.
    """

    members: tuple[Member, ...]
    buckets: tuple[int, ...]
    differ: int
    reply: bool


class Leave(Message, frozen=True, array_like=True):
    """Announces that the sender is stopping; it finishes its open requests."""

    member: Member


class LoadReport(Message, frozen=True, array_like=True):
    """Newest load counts that the sender knows."""

    loads: tuple[Load, ...]
    covered: tuple[FallbackLoad, ...] = ()


class SettingsRequest(Message, frozen=True, array_like=True):
    """Requests the settings changes after a version.

    :param have: newest version of the sender; without a digest it requests the
        full state.
    """

    have: Digest


class SettingsDelta(Message, frozen=True, array_like=True):
    """Consecutive settings changes, oldest first, as encoded records.

    An empty delta means that the receiver has the sender's version.
    """

    changes: tuple[bytes, ...]


class SettingsFetch(Message, frozen=True, array_like=True):
    """Requests some chunks of a full state."""

    version: ids.SettingsVersion
    digest: str
    chunks: tuple[int, ...]


class SettingsChunk(Message, frozen=True, array_like=True):
    """Chunk of a compressed full state."""

    version: ids.SettingsVersion
    digest: str
    index: int
    count: int
    content: bytes


class Ask(Message, frozen=True, array_like=True):
    """Requests admission of a request from the owner of an engine.

    :param ask: number chosen by the sender, unique per sender and boot.
    :param prefixes: hashes of the prompt's prefix blocks, outermost first.
    :param wait_ms: maximum time in the queue, in milliseconds.
    :param deadline_ms: milliseconds until the caller's deadline.
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
    """Answer of the owner of an engine to an :class:`Ask`.

    :param load: running requests of the engine, including a granted one.
    :param cap: the concurrency cap that applied to this admission.
    :param cached_tokens: prompt tokens in the cache of the engine.
    :param retry_after_ms: milliseconds until a denied request may be retried.
    :param setting: path of the setting that caused a denial.
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
    """Asks the router ranked second not to admit to the sender's engines.

    :param nonce: number chosen by the sender; the term starts when this message
        is sent.
    :param engines: engines for which the sender ranks first.
    """

    nonce: int
    engines: tuple[ids.EngineId, ...]


class Promise(Message, frozen=True, array_like=True):
    """Promise not to admit to the listed engines for a term.

    :param promise_s: term in seconds, which starts when the request is sent.
    :param counts: promised engines and the sender's running grants there.
    """

    nonce: int
    promise_s: float
    counts: tuple[tuple[ids.EngineId, int], ...]


class Hold(Message, frozen=True, array_like=True):
    """Renews the sender's grants for running requests.

    :param asks: numbers of all grants that the sender still uses on the engine.
    """

    engine: ids.EngineId
    asks: tuple[int, ...]


class Release(Message, frozen=True, array_like=True):
    """Releases a grant.

    :param crashed: the engine closed the connection unexpectedly.
    :param tokens: prompt and generated tokens now cached for the chat.
    """

    ask: int
    engine: ids.EngineId
    finished: bool
    crashed: bool = False
    tokens: int = 0


class HintRequest(Message, frozen=True, array_like=True):
    """Requests the placement hint of a chat from its home router."""

    ask: int
    chat: ids.ChatId


class Hint(Message, frozen=True, array_like=True):
    """Engine that ran a chat last; empty if it is unknown."""

    ask: int
    chat: ids.ChatId
    engine: ids.EngineId
    tokens: int
    turns: int


class Handover(Message, frozen=True, array_like=True):
    """Placement state that a stopping router sends to the next in rank."""

    hints: tuple[Hint, ...]
    engines: tuple[tuple[ids.EngineId, int], ...] = ()


class RecordsHandover(Message, frozen=True, array_like=True):
    """The newest request records of a stopping router, as JSON."""

    records: tuple[bytes, ...]


class ShareRequest(Message, frozen=True, array_like=True):
    """Requests a share of an organisation's rate from its keeper.

    :param demand: requests per second that the sender receives.
    """

    organisation: ids.OrgId
    demand: float


class Share(Message, frozen=True, array_like=True):
    """Grants a share of an organisation's rate for a term in seconds."""

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
    """Result of a claim.

    :param granted: this attempt may send the call.
    :param known: the state of the call is certain because the store answered.
    :param status: recorded status of an earlier run, 0 if none is recorded.
    :param content: recorded response of an earlier run.
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

    :param crashes: pairs of a fingerprint and a crash identifier, which is the
        upstream, ``#`` and a number.
    :param ran_s: run time of each request until the crash, in seconds.
    """

    crashes: tuple[tuple[ids.Fingerprint, str], ...]
    ran_s: tuple[float, ...] = ()


class UpstreamLeaving(Message, frozen=True, array_like=True):
    """An upstream announced that it is leaving, or refused work as leaving."""

    upstream: str
    sequence: int


class FleetView(Message, frozen=True, array_like=True):
    """Membership view that a router publishes to the locator on its host.

    :param members: all members that may serve callers, including leaving ones.
    :param sequence: increases with every change during one boot of the router.
    :param ttl_s: how long callers may cache the addresses.
    :param count: number of addresses in a response of the locator.
    """

    deployment: str
    router: ids.RouterId
    boot: int
    sequence: int
    members: tuple[Member, ...]
    ttl_s: float
    count: int


ControlMessage = (
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
    """A message with its destination; sent by the actor of the module."""

    to: ids.RouterId
    message: Message
    priority: Priority
