"""Block-wise prefix cache of the engine stand-in, with LRU eviction."""

import collections
import itertools
import typing

import msgspec
import xxhash

from papayaloom import clock, ids

BLOCK_TOKENS = 16
_KEPT_EVENTS = 10_000


def block_hashes(
    tokens: typing.Sequence[str],
    block_tokens: int = BLOCK_TOKENS,
) -> tuple[int, ...]:
    """Return the chained hash of every whole block of a prompt."""
    hashes = []
    parent = 0
    for start in range(0, len(tokens) - block_tokens + 1, block_tokens):
        text = '\0'.join(tokens[start : start + block_tokens])
        parent = xxhash.xxh3_64_intdigest(text.encode(), seed=parent)
        hashes.append(parent)
    return tuple(hashes)


class CacheEvent(msgspec.Struct, frozen=True):
    """Change of the cached prefix of a chat.

    :param seq: number of the event; a missing number is a gap.
    :param kind: ``stored``, ``removed`` or ``cleared``.
    :param tokens: length of the chat's cached prefix afterwards.
    :param blocks: chained hashes of the blocks that changed.
    """

    seq: int
    kind: str
    chat: ids.ChatId
    tokens: int
    blocks: tuple[int, ...] = ()


class EventLog:
    """Cache events of an engine, for readers that come late.

    :param gap_every: one event of this many is lost; 0 for none.
    """

    def __init__(self, ticks: clock.Clock, gap_every: int) -> None:
        """Start empty."""
        self._clock = ticks
        self._gap_every = gap_every
        self._seq = 0
        self._events: collections.deque[tuple[float, CacheEvent]]
        self._events = collections.deque(maxlen=_KEPT_EVENTS)

    def emit(
        self,
        kind: str,
        chat: str,
        tokens: int,
        blocks: tuple[int, ...],
    ) -> None:
        """Record one change of the cache."""
        self._seq += 1
        if self._gap_every and self._seq % self._gap_every == 0:
            return
        event = CacheEvent(self._seq, kind, ids.ChatId(chat), tokens, blocks)
        self._events.append((self._clock.monotonic(), event))

    def after(self, seq: int, until: float) -> list[CacheEvent]:
        """Return the events after a number that happened by some time."""
        return [
            event
            for at, event in self._events
            if event.seq > seq and at <= until
        ]


class PrefixCache:
    """Cached blocks of one engine.

    :param capacity: number of blocks that fit.
    :param emit: called with kind, chat, tokens and blocks of each change.
    """

    def __init__(
        self,
        capacity: int,
        emit: typing.Callable[[str, str, int, tuple[int, ...]], None],
    ) -> None:
        """Start empty."""
        self._capacity = capacity
        self._emit = emit
        self._blocks: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )
        self._chats: dict[str, tuple[int, ...]] = {}

    def __len__(self) -> int:
        """Return the number of blocks in use."""
        return len(self._blocks)

    def match(self, hashes: typing.Sequence[int]) -> int:
        """Return how many leading blocks are cached, and mark them as used."""
        known = self._leading(hashes)
        for block in reversed(known):
            self._blocks.move_to_end(block)
        return len(known)

    def store(self, chat: str, hashes: typing.Sequence[int]) -> None:
        """Keep the blocks of a chat; the least recently used ones go."""
        kept = tuple(hashes[: self._capacity])
        added = tuple(block for block in kept if block not in self._blocks)
        for block in reversed(kept):
            self._blocks[block] = chat
            self._blocks.move_to_end(block)
        self._chats[chat] = kept
        if added:
            self._emit('stored', chat, len(kept) * BLOCK_TOKENS, added)
        self._evict()

    def export(self, chat: str) -> tuple[int, ...]:
        """Return the cached leading blocks of a chat."""
        return tuple(self._leading(self._chats.get(chat, ())))

    def clear(self) -> None:
        """Drop everything."""
        self._blocks.clear()
        self._chats.clear()
        self._emit('cleared', '', 0, ())

    def _leading(self, hashes: typing.Sequence[int]) -> list[int]:
        return list(
            itertools.takewhile(lambda block: block in self._blocks, hashes)
        )

    def _evict(self) -> None:
        gone: dict[str, list[int]] = {}
        while len(self._blocks) > self._capacity:
            block, chat = self._blocks.popitem(last=False)
            gone.setdefault(chat, []).append(block)
        for owner, blocks in gone.items():
            left = len(self.export(owner))
            if not left:
                self._chats.pop(owner, None)
            self._emit('removed', owner, left * BLOCK_TOKENS, tuple(blocks))
