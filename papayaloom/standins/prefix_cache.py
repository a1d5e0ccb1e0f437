"""Block-wise prefix cache of the engine stand-in, with LRU eviction."""

import collections
import itertools
import typing

from papayaloom import clock, ids
from papayaloom.ports import engine
from papayaloom.request import prompt

_KEPT_EVENTS = 10_000


class EventLog:
    """Cache events of an engine, for readers that come late.

    :param gap_every: one event of this many is lost; 0 for none.
    """

    def __init__(self, ticks: clock.Clock, gap_every: int) -> None:
        """Start empty."""
        self._clock = ticks
        self._gap_every = gap_every
        self._seq = 0
        self._events: collections.deque[tuple[float, engine.CacheEvent]]
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
        event = engine.CacheEvent(
            self._seq, kind, ids.ChatId(chat), blocks, tokens
        )
        self._events.append((self._clock.monotonic(), event))

    def after(self, seq: int, until: float, boot: str) -> engine.CacheEvents:
        """Return the events after a number that happened by some time."""
        visible = [event for at, event in self._events if at <= until]
        return engine.CacheEvents(
            events=tuple(event for event in visible if event.sequence > seq),
            last=visible[-1].sequence if visible else 0,
            lost=bool(visible) and visible[0].sequence > seq + 1,
            boot=boot,
        )

    def restart(self) -> None:
        """Forget all events; the sequence starts again."""
        self._seq = 0
        self._events.clear()


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
            self._emit('stored', chat, len(kept) * prompt.BLOCK_TOKENS, added)
        self._drop(max(len(self._blocks) - self._capacity, 0))

    def export(self, chat: str) -> tuple[int, ...]:
        """Return the cached leading blocks of a chat."""
        return tuple(self._leading(self._chats.get(chat, ())))

    def clear(self) -> None:
        """Drop everything."""
        self._drop(len(self._blocks))

    def _leading(self, hashes: typing.Sequence[int]) -> list[int]:
        return list(
            itertools.takewhile(lambda block: block in self._blocks, hashes)
        )

    def _drop(self, count: int) -> None:
        gone: dict[str, list[int]] = {}
        for _ in range(count):
            block, chat = self._blocks.popitem(last=False)
            gone.setdefault(chat, []).append(block)
        for owner, blocks in gone.items():
            left = len(self.export(owner))
            if not left:
                self._chats.pop(owner, None)
            tokens = left * prompt.BLOCK_TOKENS
            self._emit('evicted', owner, tokens, tuple(blocks))
