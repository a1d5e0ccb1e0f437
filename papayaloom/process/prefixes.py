"""Prediction of the prefix blocks that the engines have cached."""

import collections
import typing

import msgspec

from papayaloom import ids


class Cfg(msgspec.Struct, frozen=True):
    """Parameters of the predicted caches.

    :param block_tokens: tokens in one block.
    :param blocks: capacity of an engine's cache, in blocks.
    :param event_lag_s: maximum delay of a cache event, in seconds.
    :param shared_blocks: leading blocks of a prompt in the index of shared
        prefixes.
    :param shared_entries: maximum number of blocks in that index.
    """

    block_tokens: int = 128
    blocks: int = 4096
    event_lag_s: float = 2
    shared_blocks: int = 8
    shared_entries: int = 8192


class CacheEvent(msgspec.Struct, frozen=True):
    """A cache event of an engine.

    :param sequence: sequence number; a gap means that events were lost.
    """

    sequence: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


class PredictedCache:
    """Predicted block cache of one engine, in LRU order."""

    def __init__(self, cfg: Cfg) -> None:
        """Start empty."""
        self.cfg = cfg
        self._blocks: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._sequence = 0
        self._total_removed = 0
        self._event_count = 0

    def __len__(self) -> int:
        """Return the number of blocks predicted to be cached."""
        return len(self._blocks)

    def cached(self, prefixes: typing.Iterable[int]) -> int:
        """Return the number of leading blocks of a prompt that are cached."""
        found = 0
        for block in prefixes:
            if block not in self._blocks:
                break
            found += 1
        return found

    def record_use(self, prefixes: typing.Sequence[int], now: float) -> None:
        """Record that the engine computes or reuses the blocks of a prompt.

        The blocks are touched in reverse order, because an engine evicts the
        end of a prompt before its beginning.
        """
        for block in reversed(prefixes):
            self._blocks[block] = now
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.cfg.blocks:
            self._blocks.popitem(last=False)

    def apply_event(self, event: CacheEvent, now: float) -> None:
        """Apply a cache event; a reordered one leaves a gap as a lost one does.

        A removal that may be older than the last use of its block is ignored.
        For lost events, the oldest blocks are evicted: as many as that number
        of events removed on average.
        """
        lost = event.sequence - self._sequence - 1
        if self._sequence and lost > 0:
            self._evict_oldest(
                lost * self._total_removed // max(self._event_count, 1)
            )
        self._sequence = max(self._sequence, event.sequence)
        self._event_count += 1
        self._total_removed += len(event.removed)
        for removed in event.removed:
            last_used = self._blocks.get(removed)
            if last_used is not None and now - last_used > self.cfg.event_lag_s:
                self._blocks.pop(removed)
        for stored in event.stored:
            self._blocks.setdefault(stored, now)

    def _evict_oldest(self, count: int) -> None:
        for _ in range(min(count, len(self._blocks))):
            self._blocks.popitem(last=False)


class CachePredictions:
    """Predicted caches of the engines that a router owns."""

    def __init__(self, cfg: Cfg) -> None:
        """Start with empty caches."""
        self._cfg = cfg
        self._caches: dict[ids.EngineId, PredictedCache] = {}

    def configure(self, cfg: Cfg) -> None:
        """Apply new parameters."""
        self._cfg = cfg
        for cache in self._caches.values():
            cache.cfg = cfg

    def tokens(
        self,
        engine: ids.EngineId,
        prefixes: typing.Iterable[int],
    ) -> int:
        """Return how many leading prompt tokens an engine has cached."""
        cache = self._caches.get(engine)
        blocks = cache.cached(prefixes) if cache else 0
        return blocks * self._cfg.block_tokens

    def record_use(
        self,
        engine: ids.EngineId,
        prefixes: typing.Sequence[int],
        now: float,
    ) -> None:
        """Record a prompt that an engine computes or reuses."""
        self._caches.setdefault(engine, PredictedCache(self._cfg)).record_use(
            prefixes, now
        )

    def apply_event(
        self, engine: ids.EngineId, event: CacheEvent, now: float
    ) -> None:
        """Apply a cache event of an engine."""
        self._caches.setdefault(engine, PredictedCache(self._cfg)).apply_event(
            event, now
        )

    def forget(self, engine: ids.EngineId) -> None:
        """Remove the prediction for an engine that has lost its cache."""
        self._caches.pop(engine, None)

    def dump(self) -> dict[ids.EngineId, int]:
        """Return the number of predicted blocks of each engine."""
        return {engine: len(cache) for engine, cache in self._caches.items()}


class SharedPrefixIndex:
    """Index of the engines that have shared prefixes in their cache.

    It is built from the grants of this router alone.
    """

    def __init__(self, cfg: Cfg) -> None:
        """Start empty."""
        self._cfg = cfg
        self._engines: collections.OrderedDict[int, list[ids.EngineId]] = (
            collections.OrderedDict()
        )

    def record_prompt(
        self,
        engine: ids.EngineId,
        prefixes: typing.Sequence[int],
    ) -> None:
        """Record that an engine received a prompt."""
        for block in prefixes[: self._cfg.shared_blocks]:
            engines = self._engines.setdefault(block, [])
            if engine in engines:
                engines.remove(engine)
            engines.append(engine)
            # A request considers four engines at most.
            del engines[:-4]  # noqa: WPS420 (shortens the list in place)
            self._engines.move_to_end(block)
        while len(self._engines) > self._cfg.shared_entries:
            self._engines.popitem(last=False)

    def find(self, prefixes: typing.Sequence[int]) -> dict[ids.EngineId, int]:
        """Return engines and the number of leading prompt tokens they have."""
        found: dict[ids.EngineId, int] = {}
        for depth, block in enumerate(prefixes[: self._cfg.shared_blocks], 1):
            for engine in self._engines.get(block, ()):
                found[engine] = depth * self._cfg.block_tokens
        return found
