"""Block-based prefix cache of the engine stand-in, with LRU eviction."""

import collections
import itertools
import typing

from papayaloom import clock, ids
from papayaloom.ports import engine
from papayaloom.request import prompt

_MAX_EVENTS = 10_000


class EventLog:
    """Recent cache events of an engine.

    :param gap_every: every n-th event is lost; 0 for none.
    """

    def __init__(self, time_source: clock.Clock, gap_every: int) -> None:
        """Start empty."""
        self._clock = time_source
        self._gap_every = gap_every
        self._last_sequence = 0
        self._events: collections.deque[tuple[float, engine.CacheEvent]]
        self._events = collections.deque(maxlen=_MAX_EVENTS)

    def emit(
        self,
        kind: str,
        chat: str,
        tokens: int,
        blocks: tuple[int, ...],
    ) -> None:
        """Record one change to the cache."""
        self._last_sequence += 1
        if self._gap_every and self._last_sequence % self._gap_every == 0:
            return
        event = engine.CacheEvent(
            self._last_sequence, kind, ids.ChatId(chat), blocks, tokens
        )
        self._events.append((self._clock.monotonic(), event))

    def after(
        self, after_sequence: int, visible_until: float, boot: str
    ) -> engine.CacheEvents:
        """Return the events after a sequence number, up to a time."""
        visible = [event for at, event in self._events if at <= visible_until]
        return engine.CacheEvents(
            events=tuple(
                event for event in visible if event.sequence > after_sequence
            ),
            last=visible[-1].sequence if visible else 0,
            lost=bool(visible) and visible[0].sequence > after_sequence + 1,
            boot=boot,
        )

    def restart(self) -> None:
        """Discard all events and restart the sequence."""
        self._last_sequence = 0
        self._events.clear()


class PrefixCache:
    """Cached blocks of one engine.

    :param capacity: maximum number of blocks.
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
        """Return the number of cached leading blocks and mark them as used."""
        cached = self._cached_prefix(hashes)
        for block in reversed(cached):
            self._blocks.move_to_end(block)
        return len(cached)

    def store(self, chat: str, hashes: typing.Sequence[int]) -> None:
        """Store the blocks of a chat; evicts the least recently used blocks."""
        kept = tuple(hashes[: self._capacity])
        added = tuple(block for block in kept if block not in self._blocks)
        for block in reversed(kept):
            self._blocks[block] = chat
            self._blocks.move_to_end(block)
        self._chats[chat] = kept
        if added:
            self._emit('stored', chat, len(kept) * prompt.BLOCK_TOKENS, added)
        self._evict(max(len(self._blocks) - self._capacity, 0))

    def export(self, chat: str) -> tuple[int, ...]:
        """Return the cached leading blocks of a chat."""
        return tuple(self._cached_prefix(self._chats.get(chat, ())))

    def clear(self) -> None:
        """Evict all blocks."""
        self._evict(len(self._blocks))

    def _cached_prefix(self, hashes: typing.Sequence[int]) -> list[int]:
        return list(
            itertools.takewhile(lambda block: block in self._blocks, hashes)
        )

    def _evict(self, count: int) -> None:
        evicted: dict[str, list[int]] = {}
        for _ in range(count):
            block, chat = self._blocks.popitem(last=False)
            evicted.setdefault(chat, []).append(block)
        for owner, blocks in evicted.items():
            remaining = len(self.export(owner))
            if not remaining:
                self._chats.pop(owner, None)
            tokens = remaining * prompt.BLOCK_TOKENS
            self._emit('evicted', owner, tokens, tuple(blocks))
