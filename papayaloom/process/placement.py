"""Placement of chats on engines, by the router that is the home of a chat.

The home router of a chat keeps its placement hint: the engine that ran it
last, which may still have its cache.
"""

import collections
import enum
import random
import typing

import msgspec

from papayaloom import hashing, ids, messages
from papayaloom.process import engine_loads

_RING_CANDIDATES = 4

# Weight of one observation in the moving estimate of the cache lifetime.
_LIFETIME_WEIGHT = 0.2


class Cfg(msgspec.Struct, frozen=True):
    """Parameters of the placement.

    :param reuse_weight: weight of cache reuse against load in the score, 0
        to 1.
    :param hint_s: seconds for which an unused hint is kept.
    :param hints: maximum number of hints.
    :param load_memory_s: seconds for which the load in an engine owner's
        answer is taken into account.
    :param cache_s: initial estimate of the lifetime of an unused cache.
    :param failed_s: seconds for which an engine that broke a connection is no
        candidate. By then the list of engines shows whether it is gone.
    :param queue_wait_s: maximum time that a request is queued for an engine.
    :param keep_wait_s: maximum time that a chat waits for the engine that has
        its cache before it tries another one.
    :param prefill_tokens_per_s: prompt processing speed of an engine.
    :param transfer_bytes_per_s: speed of a cache transfer between engines.
    :param transfer_fixed_s: fixed overhead of a cache transfer.
    :param bytes_per_token: cache size per token.
    """

    reuse_weight: float = 0.6
    hint_s: float = 14400
    hints: int = 20000
    load_memory_s: float = 2
    cache_s: float = 120
    failed_s: float = 3
    queue_wait_s: float = 5
    keep_wait_s: float = 1
    prefill_tokens_per_s: float = 8000
    transfer_bytes_per_s: float = 2e9
    transfer_fixed_s: float = 0.1
    bytes_per_token: int = 131072


class Request(msgspec.Struct, frozen=True):
    """The properties of a request that its placement depends on.

    :param prefixes: hashes of the prompt's prefix blocks, outermost first.
    :param deadline: in seconds of this router's clock.
    """

    request: ids.RequestId
    organisation: ids.OrgId
    chat: ids.ChatId
    priority: int
    deadline: float
    prompt_tokens: int
    prefixes: tuple[int, ...] = ()


class StoredHint(msgspec.Struct):
    """Placement hint of a chat: the engine that ran its last turn.

    :param used: when the turn ended or the hint was received, in seconds.
    """

    engine: ids.EngineId
    tokens: int
    turns: int
    used: float


class Move(enum.Enum):
    """How the cache of a chat is rebuilt on another engine."""

    RECOMPUTE = 'recompute'
    TRANSFER = 'transfer'


class Candidate(msgspec.Struct, frozen=True):
    """An engine that a request may ask for admission.

    :param reason: ``last engine``, ``shared prefix`` or ``ring``.
    """

    engine: ids.EngineId
    cached_tokens: int
    score: float
    reason: str


class Dump(msgspec.Struct, frozen=True):
    """State of the placement for the status dump.

    :param cache_lifetime_s: estimated lifetime of unused caches.
    """

    hints: int
    cache_lifetime_s: float


class CacheLifetime:
    """Estimated lifetime of unused caches, from returning chats.

    :param seconds: initial estimate.
    """

    def __init__(self, seconds: float) -> None:
        """Start with the initial estimate."""
        self.seconds = seconds

    def update(self, idle_s: float, *, hit: bool) -> None:
        """Adjust the estimate when a hit or miss contradicts it."""
        if hit == (idle_s > self.seconds):
            self.seconds += _LIFETIME_WEIGHT * (idle_s - self.seconds)


class Home:
    """Placement of the chats whose home is this router.

    :param holders: returns the engines that have a shared prefix of a request
        in their cache, with the number of cached tokens.
    """

    def __init__(
        self,
        cfg: Cfg,
        rng: random.Random,
        holders: typing.Callable[[Request], dict[ids.EngineId, int]]
        | None = None,
    ) -> None:
        """Start without hints."""
        self._cfg = cfg
        self._rng = rng
        self._holders = holders or (lambda request: {})
        self._hints: collections.OrderedDict[ids.ChatId, StoredHint] = (
            collections.OrderedDict()
        )
        self.engine_loads = engine_loads.EngineLoads(cfg.load_memory_s)
        self._ring: hashing.Ring[ids.EngineId] = hashing.Ring(())
        self._live: frozenset[ids.EngineId] = frozenset()
        self._lifetime = CacheLifetime(cfg.cache_s)
        self._failed_until: dict[ids.EngineId, float] = {}

    @property
    def cfg(self) -> Cfg:
        """Return the current parameters."""
        return self._cfg

    def configure(self, cfg: Cfg) -> None:
        """Apply new parameters."""
        self._cfg = cfg
        self.engine_loads.memory_s = cfg.load_memory_s

    def update_engines(self, live: typing.Iterable[ids.EngineId]) -> None:
        """Replace the list of the model's live engines."""
        serving = frozenset(live)
        if serving != self._live:
            self._live = serving
            self._ring = hashing.Ring(serving)
            self.engine_loads.retain(serving)

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.Message,
        now: float,
    ) -> list[messages.Send]:
        """Handle a message from another router."""
        match message:
            case messages.HintRequest():
                stored = self._hints.get(message.chat)
                reply = messages.Hint(
                    message.ask,
                    message.chat,
                    stored.engine if stored else ids.EngineId(''),
                    stored.tokens if stored else 0,
                    stored.turns if stored else 0,
                )
                priority = messages.Priority.ADMISSION
                return [messages.Send(sender, reply, priority)]
            case messages.Hint():
                self._add_hint(message, now)
            case messages.Handover():
                for hint in message.hints:
                    self._add_hint(hint, now)
            case messages.Answer():
                self.engine_loads.record_answer(message, now)
            case messages.LoadReport():
                self.engine_loads.record_report(message, now)
        return []

    def hint(self, chat: ids.ChatId) -> StoredHint | None:
        """Return the hint of a chat."""
        return self._hints.get(chat)

    def record_turn(
        self,
        chat: ids.ChatId,
        engine: ids.EngineId,
        tokens: int,
        now: float,
    ) -> None:
        """Record the engine that ran the last turn of a chat.

        :param tokens: prompt and generated tokens cached on the engine.
        """
        previous = self._hints.get(chat)
        turns = previous.turns + 1 if previous else 1
        self._store_hint(chat, StoredHint(engine, tokens, turns, now))

    def record_failure(self, engine: ids.EngineId, now: float) -> None:
        """Record that an engine broke a connection."""
        self._failed_until[engine] = now + self._cfg.failed_s

    def record_reuse(
        self,
        chat: ids.ChatId,
        answer: messages.Answer,
        now: float,
    ) -> None:
        """Update the cache lifetime by whether a chat found its cache."""
        stored = self._hints.get(chat)
        if stored is None or stored.engine != answer.engine:
            return
        hit = 2 * answer.cached_tokens >= stored.tokens
        self._lifetime.update(now - stored.used, hit=hit)

    def candidates(self, request: Request, now: float) -> list[Candidate]:
        """Return the candidate engines, best first."""
        scored = []
        for engine, (tokens, reason) in self._eligible(request, now).items():
            load = self.engine_loads.utilisation(engine, now)
            # Random tie-breaking keeps the routers from sending their chats to
            # the same of several equal candidates.
            load += self._rng.random() / 1000
            score = _score(self._cfg, tokens, request, load)
            scored.append(Candidate(engine, tokens, score, reason))
        return sorted(scored, key=lambda one: one.score, reverse=True)

    def handover(
        self,
        home_of: typing.Callable[[ids.ChatId], ids.RouterId | None],
    ) -> dict[ids.RouterId, messages.Handover]:
        """Return the hints, grouped by the next home of their chats.

        :param home_of: returns the home of a chat without this router.
        """
        batches: dict[ids.RouterId, list[messages.Hint]] = {}
        for chat, stored in self._hints.items():
            home = home_of(chat)
            if home is not None:
                hint = messages.Hint(
                    0, chat, stored.engine, stored.tokens, stored.turns
                )
                batches.setdefault(home, []).append(hint)
        return {
            home: messages.Handover(tuple(hints))
            for home, hints in batches.items()
        }

    def tick(self, now: float) -> list[messages.Send]:
        """Remove expired hints."""
        while self._hints:
            oldest = next(iter(self._hints.values()))
            if now - oldest.used < self._cfg.hint_s:
                break
            self._hints.popitem(last=False)
        return []

    def dump(self, now: float) -> Dump:
        """Return the state for the status dump."""
        return Dump(len(self._hints), self._lifetime.seconds)

    def _eligible(
        self,
        request: Request,
        now: float,
    ) -> dict[ids.EngineId, tuple[int, str]]:
        """Return the engines with their cached tokens and the reason for each.

        Engines that failed recently are left out, unless no other is live.
        """
        found = self._last_engine(request.chat, now)
        for holder, shared in self._holders(request).items():
            found.setdefault(holder, (shared, 'shared prefix'))
        for engine in self._ring.candidates(request.chat, _RING_CANDIDATES):
            found.setdefault(engine, (0, 'ring'))
        serving = {one: found[one] for one in found if one in self._live}
        usable = {
            one: known
            for one, known in serving.items()
            if self._failed_until.get(one, now) <= now
        }
        return usable or serving

    def _last_engine(
        self,
        chat: ids.ChatId,
        now: float,
    ) -> dict[ids.EngineId, tuple[int, str]]:
        stored = self._hints.get(chat)
        if stored is None:
            return {}
        is_cached = now - stored.used < self._lifetime.seconds
        return {stored.engine: (stored.tokens * is_cached, 'last engine')}

    def _add_hint(self, hint: messages.Hint, now: float) -> None:
        known = self._hints.get(hint.chat)
        if hint.engine and (known is None or known.turns < hint.turns):
            self._store_hint(
                hint.chat,
                StoredHint(hint.engine, hint.tokens, hint.turns, now),
            )

    def _store_hint(self, chat: ids.ChatId, stored: StoredHint) -> None:
        self._hints[chat] = stored
        self._hints.move_to_end(chat)
        if len(self._hints) > self._cfg.hints:
            self._hints.popitem(last=False)


def _score(
    cfg: Cfg,
    tokens: int,
    request: Request,
    load: float,
) -> float:
    """Return the score of a candidate; higher is better."""
    reuse = min(1, tokens / max(request.prompt_tokens, 1))
    return cfg.reuse_weight * reuse - (1 - cfg.reuse_weight) * load


def choose_move(cfg: Cfg, tokens: int) -> Move:
    """Choose how to rebuild the cache of a chat that moves.

    :param tokens: number of tokens to rebuild.
    """
    recompute_s = tokens / cfg.prefill_tokens_per_s
    size_bytes = tokens * cfg.bytes_per_token
    transfer_s = size_bytes / cfg.transfer_bytes_per_s + cfg.transfer_fixed_s
    return Move.TRANSFER if transfer_s < recompute_s else Move.RECOMPUTE
