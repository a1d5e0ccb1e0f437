"""Distribution of the settings: who watches the store, digests, deltas.

See docs/notes/distribution.md.
"""

import enum
import random
import typing

import msgspec

from papayaloom import hashing, ids, messages
from papayaloom.process import change_log, full_state, heads

_Sends = list[messages.Send]
_WATCH_KEY = 'settings-watch'
# A transfer without a new chunk for this long is given up.
_STALLED_S = 15.0


class Cfg(msgspec.Struct, frozen=True):
    """Settings of the distribution.

    :param watchers: routers that hold a watch on the store.
    :param fanout: members that a new change is pushed to.
    :param start_wait_s: how long a starting router waits for its peers.
    :param check_s: seconds between two reads of the store in the whole fleet,
        by one router after the other, in case that all watchers fail.
    :param chunk_bytes: size of a chunk of the full state.
    :param delta_bytes: most bytes of changes in one message.
    :param kept_bytes: most bytes of old changes that are kept for others.
    """

    watchers: int = 3
    fanout: int = 3
    start_wait_s: float = 2.0
    check_s: float = 1.0
    chunk_bytes: int = 2048
    delta_bytes: int = 4096
    kept_bytes: int = 262144


class Source(enum.Enum):
    """Where the settings in force came from."""

    NONE = 'none'
    STORE = 'store'
    PEER = 'peer'


class Dump(msgspec.Struct, frozen=True):
    """State of the distribution for the dump.

    :param newest_seen: highest version that any router was seen to have.
    """

    version: int
    digest: str
    source: str
    watching: bool
    newest_seen: int
    transfer: str
    counts: dict[str, int]


class _Start(msgspec.Struct):
    """Answers of the peers that a starting router asked."""

    deadline: float
    asked: set[ids.RouterId]
    offers: dict[ids.RouterId, messages.SettingsChunk]


class Dissemination:
    """Keeps the settings of one router as new as those of its peers.

    :param document: the settings in force.
    :param peers: returns the members that are alive, this router included.
    """

    def __init__(
        self,
        cfg: Cfg,
        me: ids.RouterId,
        document: change_log.Document,
        peers: typing.Callable[[], typing.Sequence[messages.Member]],
        rng: random.Random,
    ) -> None:
        """Start without a source."""
        self.source = Source.NONE
        self._cfg = cfg
        self._me = me
        self._peers = peers
        self._rng = rng
        self._log = change_log.ChangeLog(
            document, cfg.chunk_bytes, cfg.kept_bytes
        )
        self._seen = heads.Heads()
        self._transfer: full_state.Transfer | None = None
        self._start: _Start | None = None
        self._watchers: tuple[
            typing.Sequence[messages.Member], list[ids.RouterId]
        ] = ((), [])

    def configure(self, cfg: Cfg) -> None:
        """Take new settings; the chunk size stays until the next start."""
        self._cfg = cfg
        self._watchers = ((), [])

    def is_watching(self) -> bool:
        """Return whether this router holds a watch on the store.

        Routers that disagree on the members cost more calls, nothing else.
        """
        peers = self._peers()
        if peers is not self._watchers[0]:
            self._watchers = (peers, watchers(peers, self._cfg.watchers))
        return self._me in self._watchers[1]

    def from_store(self, records: typing.Iterable[bytes], now: float) -> _Sends:
        """Take changes that were read from the store, in order.

        An empty answer of the store counts as an answer.
        """
        self.source = Source.STORE
        self._start = None
        return self._take(records, None)

    def full_from_store(self, content: bytes, now: float) -> _Sends:
        """Take a full state that was read from the store."""
        self.source = Source.STORE
        self._start = None
        self._log.replace(content)
        return []

    def store_is_down(self, now: float) -> _Sends:
        """Ask some peers, because a start found the store unavailable."""
        if self.source is not Source.NONE or self._start is not None:
            return []
        asked = _sample(self._rng, self._peers(), self._me, self._cfg.fanout)
        if not asked:
            return []
        self._start = _Start(now + self._cfg.start_wait_s, set(asked), {})
        request = messages.SettingsRequest(self._log.head())
        return [_send(to, request) for to in asked]

    def handle(
        self, sender: ids.RouterId, message: messages.Message, now: float
    ) -> _Sends:
        """Take a message of another router; ignores those of other parts."""
        match message:
            case messages.Ping() | messages.Ack() | messages.Gossip():
                return self._compare(sender, message.settings, now)
            case messages.SettingsRequest():
                self._seen.note(sender, message.have.version)
                limit = self._cfg.delta_bytes
                return _reply(sender, self._log.answer(message.have, limit))
            case messages.SettingsDelta():
                return self._take_delta(sender, message, now)
            case messages.SettingsFetch():
                head = messages.Digest(message.version, message.digest)
                return [
                    send
                    for index in message.chunks
                    for send in _reply(sender, self._log.chunk(head, index))
                ]
            case messages.SettingsChunk():
                return self._take_chunk(sender, message, now)
        return []

    def tick(self, now: float) -> _Sends:
        """Go on with a start or a transfer; call it every 0.1 s."""
        if self._start is not None and now >= self._start.deadline:
            self._choose(now)
        if self._transfer is None:
            return []
        if now - self._transfer.progress > _STALLED_S:
            self._log.counts['transfers stalled'] += 1
            self._transfer = None
            return []
        return self._transfer.ask(now, 2 * self._cfg.start_wait_s)

    def dump(self, now: float) -> Dump:
        """Return the state for the dump."""
        head = self._log.head()
        return Dump(
            version=head.version,
            digest=head.digest,
            source=self.source.value,
            watching=self.is_watching(),
            newest_seen=max(self._seen.newest, head.version),
            transfer=str(self._transfer.head.version) if self._transfer else '',
            counts=dict(self._log.counts),
        )

    def _compare(
        self, sender: ids.RouterId, theirs: messages.Digest, now: float
    ) -> _Sends:
        mine = self._log.head()
        self._seen.note(sender, theirs.version)
        if theirs.version == mine.version and theirs.digest != mine.digest:
            # The store commits one change for each version, so this is a
            # fault of a router or of its memory; a later full state heals it.
            self._log.counts['digest differs'] += 1
        if theirs.version <= mine.version or self._transfer is not None:
            return []
        if self._start is not None or not self._seen.may_ask(now):
            return []
        have = mine
        if self._log.needs_full:
            have = messages.Digest(mine.version, '')
        return [_send(sender, messages.SettingsRequest(have))]

    def _take_delta(
        self, sender: ids.RouterId, delta: messages.SettingsDelta, now: float
    ) -> _Sends:
        early = self._log.counts['early changes']
        before = self._log.head().version
        sends = self._take(delta.changes, sender)
        mine = self._log.head()
        if delta.changes:
            newest = self._log.version_of(delta.changes[-1])
            self._seen.note(sender, newest)
        if self._start is not None:
            self._start.asked.discard(sender)
            if mine.version > before or not self._start.asked:
                self._choose(now)
        behind = mine.version > before and self._seen.newest > mine.version
        gap = self._log.counts['early changes'] > early
        if self._transfer is None and (behind or gap):
            sends.append(_send(sender, messages.SettingsRequest(mine)))
        return sends

    def _take(
        self,
        records: typing.Iterable[bytes],
        sender: ids.RouterId | None,
    ) -> _Sends:
        fresh = [record for record in records if self._log.apply(record)]
        if not fresh:
            return []
        version = self._log.head().version
        # A receiver that is further behind asks for the changes before.
        delta = messages.SettingsDelta(
            self._log.last(len(fresh), self._cfg.delta_bytes)
        )
        return [
            _send(to, delta)
            for to in _sample(
                self._rng, self._peers(), self._me, self._cfg.fanout
            )
            if to != sender and not self._seen.has(to, version)
        ]

    def _take_chunk(
        self,
        sender: ids.RouterId,
        chunk: messages.SettingsChunk,
        now: float,
    ) -> _Sends:
        self._seen.note(sender, chunk.version)
        if chunk.version <= self._log.head().version:
            return []
        if self._start is not None:
            self._start.offers[sender] = chunk
            if self._start.asked <= set(self._start.offers):
                self._choose(now)
            return []
        if self._transfer is None:
            if chunk.index:
                return []
            self._begin(sender, chunk, now)
        return self._add(chunk, now)

    def _begin(
        self, sender: ids.RouterId, chunk: messages.SettingsChunk, now: float
    ) -> None:
        others = self._seen.holders(chunk.version, sender)
        self._transfer = full_state.Transfer(chunk, sender, others, self._rng)
        self._transfer.progress = now

    def _add(self, chunk: messages.SettingsChunk, now: float) -> _Sends:
        transfer = self._transfer
        if transfer is None:
            return []
        content = transfer.add(chunk, now)
        if content is not None:
            self._transfer = None
            if self._log.replace(content) and self.source is Source.NONE:
                self.source = Source.PEER
            return []
        return transfer.ask(now, 2 * self._cfg.start_wait_s)

    def _choose(self, now: float) -> None:
        """End the wait of a start: take the newest of what the peers have."""
        start = self._start
        if start is None:
            return
        self._start = None
        if start.offers:
            best = max(
                start.offers, key=lambda router: start.offers[router].version
            )
            chunk = start.offers[best]
            self._begin(best, chunk, now)
            self._add(chunk, now)
        elif not start.asked or self._log.head().version:
            self.source = Source.PEER


def watchers(
    members: typing.Iterable[messages.Member], count: int
) -> list[ids.RouterId]:
    """Return the routers that watch the store.

    They are the first by rendezvous, one for each availability zone first,
    so that the loss of a zone leaves watchers.
    """
    zones = {
        member.router: member.zone
        for member in members
        if member.state is not messages.MemberState.LEAVING
    }
    order = hashing.rank(_WATCH_KEY, zones, len(zones))
    best = {zones[router]: router for router in reversed(order)}
    firsts = set(best.values())
    return sorted(order, key=lambda router: router not in firsts)[:count]


def check_period_s(cfg: Cfg, members: int) -> float:
    """Return how often each router reads the store's newest version.

    It grows with the fleet, so that the fleet's reads do not.
    """
    return cfg.check_s * max(members, 1)


def _sample(
    rng: random.Random,
    members: typing.Iterable[messages.Member],
    me: ids.RouterId,
    count: int,
) -> list[ids.RouterId]:
    others = [member.router for member in members if member.router != me]
    return rng.sample(others, min(count, len(others)))


def _reply(
    to: ids.RouterId,
    message: messages.SettingsDelta | messages.SettingsChunk | None,
) -> _Sends:
    if message is None:
        return []
    if isinstance(message, messages.SettingsChunk):
        return [messages.Send(to, message, messages.Priority.BULK)]
    return [_send(to, message)]


def _send(to: ids.RouterId, message: messages.Message) -> messages.Send:
    return messages.Send(to, message, messages.Priority.SETTINGS)
