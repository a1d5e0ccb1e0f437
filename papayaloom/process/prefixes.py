"""Which prefix blocks the engines have cached, as far as a router knows."""

import collections
import typing

import msgspec

from papayaloom import ids


class Cfg(msgspec.Struct, frozen=True):
    """What is known of the engines' caches.

    :param block_tokens: tokens of one block.
    :param blocks: blocks that an engine's cache holds.
    :param event_lag_s: seconds by which a cache event may lag.
    :param shared_blocks: leading blocks by which shared prefixes are found.
    :param shared_entries: most blocks in the index of shared prefixes.
    """

    block_tokens: int = 128
    blocks: int = 4096
    event_lag_s: float = 2
    shared_blocks: int = 8
    shared_entries: int = 8192


class Event(msgspec.Struct, frozen=True):
    """A cache event of an engine.

    :param sequence: number of the event; a jump shows that some were lost.
    """

    sequence: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


class Cache:
    """Prediction of one engine's block cache, least recently used first."""

    def __init__(self, cfg: Cfg) -> None:
        """Start empty."""
        self.cfg = cfg
        self._blocks: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._sequence = 0
        self._removed = 0
        self._events = 0

    def __len__(self) -> int:
        """Return how many blocks are predicted to be cached."""
        return len(self._blocks)

    def cached(self, prefixes: typing.Iterable[int]) -> int:
        """Return how many leading blocks of a prompt are cached."""
        found = 0
        for block in prefixes:
            if block not in self._blocks:
                break
            found += 1
        return found

    def use(self, prefixes: typing.Sequence[int], now: float) -> None:
        """Note that the engine computes or reuses the blocks of a prompt.

        The last blocks are touched first, because an engine frees the end of
        a prompt before its beginning.
        """
        for block in reversed(prefixes):
            self._blocks[block] = now
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.cfg.blocks:
            self._blocks.popitem(last=False)

    def event(self, event: Event, now: float) -> None:
        """Take a cache event; one that comes out of order is a gap too.

        A removal that may be older than the newest use of its block is
        ignored. For lost events, as many of the oldest blocks are dropped as
        the same number of events removed on average.
        """
        lost = event.sequence - self._sequence - 1
        if self._sequence and lost > 0:
            self._drop(lost * self._removed // max(self._events, 1))
        self._sequence = max(self._sequence, event.sequence)
        self._events += 1
        self._removed += len(event.removed)
        for gone in event.removed:
            used = self._blocks.get(gone)
            if used is not None and now - used > self.cfg.event_lag_s:
                self._blocks.pop(gone)
        for stored in event.stored:
            self._blocks.setdefault(stored, now)

    def _drop(self, count: int) -> None:
        for _ in range(min(count, len(self._blocks))):
            self._blocks.popitem(last=False)


class Prefixes:
    """Predicted caches of the engines that a router owns."""

    def __init__(self, cfg: Cfg) -> None:
        """Start with empty caches."""
        self._cfg = cfg
        self._caches: dict[ids.EngineId, Cache] = {}

    def configure(self, cfg: Cfg) -> None:
        """Take new sizes."""
        self._cfg = cfg
        for cache in self._caches.values():
            cache.cfg = cfg

    def tokens(
        self,
        engine: ids.EngineId,
        prefixes: typing.Iterable[int],
    ) -> int:
        """Return the leading tokens of a prompt that an engine has cached."""
        cache = self._caches.get(engine)
        blocks = cache.cached(prefixes) if cache else 0
        return blocks * self._cfg.block_tokens

    def use(
        self,
        engine: ids.EngineId,
        prefixes: typing.Sequence[int],
        now: float,
    ) -> None:
        """Note a prompt that an engine computes."""
        self._caches.setdefault(engine, Cache(self._cfg)).use(prefixes, now)

    def event(self, engine: ids.EngineId, event: Event, now: float) -> None:
        """Take a cache event of an engine."""
        self._caches.setdefault(engine, Cache(self._cfg)).event(event, now)

    def forget(self, engine: ids.EngineId) -> None:
        """Drop what is known of an engine that lost its cache."""
        self._caches.pop(engine, None)

    def dump(self) -> dict[ids.EngineId, int]:
        """Return the number of predicted blocks of each engine."""
        return {engine: len(cache) for engine, cache in self._caches.items()}


class Holders:
    """Engines that hold shared prefixes, learned from own grants."""

    def __init__(self, cfg: Cfg) -> None:
        """Start empty."""
        self._cfg = cfg
        self._engines: collections.OrderedDict[int, list[ids.EngineId]] = (
            collections.OrderedDict()
        )

    def note(
        self,
        engine: ids.EngineId,
        prefixes: typing.Sequence[int],
    ) -> None:
        """Note that an engine got a prompt."""
        for block in prefixes[: self._cfg.shared_blocks]:
            engines = self._engines.setdefault(block, [])
            if engine in engines:
                engines.remove(engine)
            engines.append(engine)
            # Four engines are as many as a request asks.
            del engines[:-4]  # noqa: WPS420 (shortens the list in place)
            self._engines.move_to_end(block)
        while len(self._engines) > self._cfg.shared_entries:
            self._engines.popitem(last=False)

    def find(self, prefixes: typing.Sequence[int]) -> dict[ids.EngineId, int]:
        """Return engines and the leading tokens of a prompt that they hold."""
        found: dict[ids.EngineId, int] = {}
        for depth, block in enumerate(prefixes[: self._cfg.shared_blocks], 1):
            for engine in self._engines.get(block, ()):
                found[engine] = depth * self._cfg.block_tokens
        return found
