"""Distribution of settings: store watchers, digests, deltas and transfers.

See docs/notes/distribution.md.
"""

import enum
import random
import typing

import msgspec

from papayaloom import hashing, ids, messages
from papayaloom.process import change_log, full_state, peer_versions

_Sends = list[messages.Send]
_WATCH_KEY = 'settings-watch'
# A transfer without a new chunk for this long is aborted.
_TRANSFER_TIMEOUT_S = 15.0


class Cfg(msgspec.Struct, frozen=True):
    """Settings of the distribution.

    :param watchers: number of routers that watch the store.
    :param fanout: number of members that a new change is pushed to.
    :param start_wait_s: how long a starting router waits for its peers.
    :param check_s: interval between reads of the store across the whole
        fleet. Routers that do not watch read in turn, in case all watchers
        fail.
    :param chunk_bytes: size of a chunk of the full state.
    :param delta_bytes: maximum size of the changes in one message.
    :param kept_bytes: maximum size of the recent changes kept for peers.
    """

    watchers: int = 3
    fanout: int = 3
    start_wait_s: float = 2.0
    check_s: float = 1.0
    chunk_bytes: int = 2048
    delta_bytes: int = 4096
    kept_bytes: int = 262144


class Source(enum.Enum):
    """Origin of the current settings."""

    NONE = 'none'
    STORE = 'store'
    PEER = 'peer'


class Dump(msgspec.Struct, frozen=True):
    """Distribution state for the dump.

    :param newest_seen: highest version seen at any router.
    """

    version: int
    digest: str
    source: str
    watching: bool
    newest_seen: int
    transfer: str
    counts: dict[str, int]


class _Startup(msgspec.Struct):
    """Pending requests and replies of a router that starts from its peers."""

    deadline: float
    asked: set[ids.RouterId]
    offers: dict[ids.RouterId, messages.SettingsChunk]


class Dissemination:
    """Keeps the settings of one router in sync with its peers.

    :param document: the current settings.
    :param peers: returns the members that are alive, including this router.
    """

    def __init__(
        self,
        cfg: Cfg,
        me: ids.RouterId,
        document: change_log.Document,
        peers: typing.Callable[[], typing.Sequence[messages.Member]],
        rng: random.Random,
    ) -> None:
        """Start without settings from the store or a peer."""
        self.source = Source.NONE
        self._cfg = cfg
        self._me = me
        self._peers = peers
        self._rng = rng
        self._log = change_log.ChangeLog(
            document, cfg.chunk_bytes, cfg.kept_bytes
        )
        self._peer_versions = peer_versions.PeerVersions()
        self._transfer: full_state.Transfer | None = None
        self._startup: _Startup | None = None
        self._watchers_cache: tuple[
            typing.Sequence[messages.Member], list[ids.RouterId]
        ] = ((), [])

    def configure(self, cfg: Cfg) -> None:
        """Apply new settings; the chunk size changes only after a restart."""
        self._cfg = cfg
        self._watchers_cache = ((), [])

    def is_watching(self) -> bool:
        """Return whether this router should watch the store.

        If routers disagree on the members, the only effect is additional
        calls to the store.
        """
        peers = self._peers()
        if peers is not self._watchers_cache[0]:
            self._watchers_cache = (peers, watchers(peers, self._cfg.watchers))
        return self._me in self._watchers_cache[1]

    def apply_from_store(
        self, records: typing.Iterable[bytes], now: float
    ) -> _Sends:
        """Apply changes read from the store, in order.

        An empty list still proves that the store responded.
        """
        self.source = Source.STORE
        self._startup = None
        return self._apply_records(records, None)

    def apply_full_from_store(self, content: bytes, now: float) -> _Sends:
        """Apply a full state read from the store."""
        self.source = Source.STORE
        self._startup = None
        self._log.replace(content)
        return []

    def handle_store_unavailable(self, now: float) -> _Sends:
        """Request settings from peers if the store is down at startup."""
        if self.source is not Source.NONE or self._startup is not None:
            return []
        asked = _random_peers(
            self._rng, self._peers(), self._me, self._cfg.fanout
        )
        if not asked:
            return []
        self._startup = _Startup(now + self._cfg.start_wait_s, set(asked), {})
        request = messages.SettingsRequest(self._log.head())
        return [_send(to, request) for to in asked]

    def handle(
        self, sender: ids.RouterId, message: messages.Message, now: float
    ) -> _Sends:
        """Handle a settings message; ignores all other message types."""
        match message:
            case messages.Ping() | messages.Ack() | messages.Gossip():
                return self._compare_versions(sender, message.settings, now)
            case messages.SettingsRequest():
                self._peer_versions.note(sender, message.have.version)
                limit = self._cfg.delta_bytes
                return _reply(sender, self._log.answer(message.have, limit))
            case messages.SettingsDelta():
                return self._handle_delta(sender, message, now)
            case messages.SettingsFetch():
                head = messages.Digest(message.version, message.digest)
                return [
                    send
                    for index in message.chunks
                    for send in _reply(sender, self._log.chunk(head, index))
                ]
            case messages.SettingsChunk():
                return self._handle_chunk(sender, message, now)
        return []

    def tick(self, now: float) -> _Sends:
        """Advance a startup or transfer; must be called every 0.1 s."""
        if self._startup is not None and now >= self._startup.deadline:
            self._finish_startup(now)
        if self._transfer is None:
            return []
        if now - self._transfer.last_progress > _TRANSFER_TIMEOUT_S:
            self._log.counts['transfers stalled'] += 1
            self._transfer = None
            return []
        return self._transfer.request_chunks(now, 2 * self._cfg.start_wait_s)

    def dump(self, now: float) -> Dump:
        """Return the distribution state for the dump."""
        head = self._log.head()
        return Dump(
            version=head.version,
            digest=head.digest,
            source=self.source.value,
            watching=self.is_watching(),
            newest_seen=max(self._peer_versions.newest, head.version),
            transfer=str(self._transfer.head.version) if self._transfer else '',
            counts=dict(self._log.counts),
        )

    def _compare_versions(
        self, sender: ids.RouterId, theirs: messages.Digest, now: float
    ) -> _Sends:
        mine = self._log.head()
        self._peer_versions.note(sender, theirs.version)
        if theirs.version == mine.version and theirs.digest != mine.digest:
            # The store commits exactly one change per version, so a mismatch
            # means a bug or memory corruption in a router. A later full state
            # repairs it.
            self._log.counts['digest differs'] += 1
        if theirs.version <= mine.version or self._transfer is not None:
            return []
        if self._startup is not None or not self._peer_versions.may_ask(now):
            return []
        have = mine
        if self._log.needs_full_state:
            have = messages.Digest(mine.version, '')
        return [_send(sender, messages.SettingsRequest(have))]

    def _handle_delta(
        self, sender: ids.RouterId, delta: messages.SettingsDelta, now: float
    ) -> _Sends:
        early_before = self._log.counts['early changes']
        before = self._log.head().version
        sends = self._apply_records(delta.changes, sender)
        mine = self._log.head()
        if delta.changes:
            newest = self._log.version_of(delta.changes[-1])
            self._peer_versions.note(sender, newest)
        if self._startup is not None:
            self._startup.asked.discard(sender)
            if mine.version > before or not self._startup.asked:
                self._finish_startup(now)
        is_behind = (
            mine.version > before and self._peer_versions.newest > mine.version
        )
        has_gap = self._log.counts['early changes'] > early_before
        if self._transfer is None and (is_behind or has_gap):
            sends.append(_send(sender, messages.SettingsRequest(mine)))
        return sends

    def _apply_records(
        self,
        records: typing.Iterable[bytes],
        sender: ids.RouterId | None,
    ) -> _Sends:
        applied = [record for record in records if self._log.apply(record)]
        if not applied:
            return []
        version = self._log.head().version
        # A receiver that is further behind requests the earlier changes.
        delta = messages.SettingsDelta(
            self._log.latest(len(applied), self._cfg.delta_bytes)
        )
        return [
            _send(to, delta)
            for to in _random_peers(
                self._rng, self._peers(), self._me, self._cfg.fanout
            )
            if to != sender and not self._peer_versions.has_reached(to, version)
        ]

    def _handle_chunk(
        self,
        sender: ids.RouterId,
        chunk: messages.SettingsChunk,
        now: float,
    ) -> _Sends:
        self._peer_versions.note(sender, chunk.version)
        if chunk.version <= self._log.head().version:
            return []
        if self._startup is not None:
            self._startup.offers[sender] = chunk
            if self._startup.asked <= set(self._startup.offers):
                self._finish_startup(now)
            return []
        if self._transfer is None:
            if chunk.index:
                return []
            self._begin_transfer(sender, chunk, now)
        return self._add_chunk(chunk, now)

    def _begin_transfer(
        self, sender: ids.RouterId, chunk: messages.SettingsChunk, now: float
    ) -> None:
        others = self._peer_versions.holders(chunk.version, sender)
        self._transfer = full_state.Transfer(chunk, sender, others, self._rng)
        self._transfer.last_progress = now

    def _add_chunk(self, chunk: messages.SettingsChunk, now: float) -> _Sends:
        transfer = self._transfer
        if transfer is None:
            return []
        content = transfer.add(chunk, now)
        if content is not None:
            self._transfer = None
            if self._log.replace(content) and self.source is Source.NONE:
                self.source = Source.PEER
            return []
        return transfer.request_chunks(now, 2 * self._cfg.start_wait_s)

    def _finish_startup(self, now: float) -> None:
        """Finish the startup with the newest state that the peers offered."""
        startup = self._startup
        if startup is None:
            return
        self._startup = None
        if startup.offers:
            best = max(
                startup.offers,
                key=lambda router: startup.offers[router].version,
            )
            chunk = startup.offers[best]
            self._begin_transfer(best, chunk, now)
            self._add_chunk(chunk, now)
        elif not startup.asked or self._log.head().version:
            self.source = Source.PEER


def watchers(
    members: typing.Iterable[messages.Member], count: int
) -> list[ids.RouterId]:
    """Return the routers that watch the store.

    They are chosen by rendezvous hashing. The best router of each
    availability zone comes first, so that watchers remain after the loss of a
    zone.
    """
    zones = {
        member.router: member.zone
        for member in members
        if member.state is not messages.MemberState.LEAVING
    }
    order = hashing.rank(_WATCH_KEY, zones, len(zones))
    best = {zones[router]: router for router in reversed(order)}
    zone_best = set(best.values())
    return sorted(order, key=lambda router: router not in zone_best)[:count]


def check_period_s(cfg: Cfg, members: int) -> float:
    """Return the interval at which each router reads the store.

    It grows with the fleet size, so that the fleet's total read rate stays
    constant.
    """
    return cfg.check_s * max(members, 1)


def _random_peers(
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
