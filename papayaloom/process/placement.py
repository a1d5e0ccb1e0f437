"""Home side: placement hints of chats and the choice of an engine."""

import collections
import enum
import random
import typing

import msgspec

from papayaloom import hashing, ids, messages
from papayaloom.process import sights

_RING_CANDIDATES = 4

# Weight of one chat among those that show how long caches live.
_LEARNING = 0.2


class Cfg(msgspec.Struct, frozen=True):
    """Weights of the choice.

    :param reuse_weight: how much load is accepted to keep a chat's cache.
    :param hint_s: seconds for which an unused hint is kept.
    :param hints: most hints kept.
    :param load_memory_s: seconds for which an engine's load in an answer is
        taken into account.
    :param cache_s: first guess of the seconds that an unused cache lives.
    :param failed_s: seconds for which an engine that broke a connection is no
        candidate, until the list of engines shows whether it is gone.
    :param queue_wait_s: longest time that a request waits at an engine.
    :param keep_wait_s: longest time that a chat waits for the engine which
        has its cache, before it asks another.
    :param prefill_tokens_per_s: speed of computing a prompt.
    :param transfer_bytes_per_s: speed of moving a cache between engines.
    :param transfer_fixed_s: time to begin a move.
    :param bytes_per_token: size of the cache of one token.
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
    """What a placement needs to know of a request.

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


class Kept(msgspec.Struct):
    """Where a chat ran last."""

    engine: ids.EngineId
    tokens: int
    turns: int
    used: float


class Move(enum.Enum):
    """How a chat's cache gets to another engine."""

    RECOMPUTE = 'recompute'
    TRANSFER = 'transfer'


class Candidate(msgspec.Struct, frozen=True):
    """An engine worth asking.

    :param reason: ``last engine``, ``shared prefix`` or ``ring``.
    """

    engine: ids.EngineId
    cached_tokens: int
    score: float
    reason: str


class Dump(msgspec.Struct, frozen=True):
    """State of the home side.

    :param cache_lifetime_s: idle time up to which caches are expected to live.
    """

    hints: int
    cache_lifetime_s: float


class Lifetime:
    """How long unused caches live, learned from chats that come back.

    :param seconds: first guess.
    """

    def __init__(self, seconds: float) -> None:
        """Start with a guess."""
        self.seconds = seconds

    def learn(self, idle_s: float, *, hit: bool) -> None:
        """Note whether a cache that was idle for some seconds was found."""
        if hit == (idle_s > self.seconds):
            self.seconds += _LEARNING * (idle_s - self.seconds)


class Home:
    """Placement hints of the chats whose home is this router.

    :param holders: returns the engines that hold a request's shared prefix,
        with the tokens that they have.
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
        self._hints: collections.OrderedDict[ids.ChatId, Kept] = (
            collections.OrderedDict()
        )
        self.sights = sights.Sights(cfg.load_memory_s)
        self._ring: hashing.Ring[ids.EngineId] = hashing.Ring(())
        self._live: frozenset[ids.EngineId] = frozenset()
        self._lifetime = Lifetime(cfg.cache_s)
        self._failed: dict[ids.EngineId, float] = {}

    @property
    def cfg(self) -> Cfg:
        """Return the weights in force."""
        return self._cfg

    def configure(self, cfg: Cfg) -> None:
        """Take new weights."""
        self._cfg = cfg
        self.sights.memory_s = cfg.load_memory_s

    def update_engines(self, live: typing.Iterable[ids.EngineId]) -> None:
        """Take the newest list of the model's live engines."""
        serving = frozenset(live)
        if serving != self._live:
            self._live = serving
            self._ring = hashing.Ring(serving)
            self.sights.keep(serving)

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.Message,
        now: float,
    ) -> list[messages.Send]:
        """Take a message from another router."""
        match message:
            case messages.HintRequest():
                kept = self._hints.get(message.chat)
                hint = messages.Hint(
                    message.ask,
                    message.chat,
                    kept.engine if kept else ids.EngineId(''),
                    kept.tokens if kept else 0,
                    kept.turns if kept else 0,
                )
                priority = messages.Priority.ADMISSION
                return [messages.Send(sender, hint, priority)]
            case messages.Hint():
                self._take(message, now)
            case messages.Handover():
                for handed in message.hints:
                    self._take(handed, now)
            case messages.Answer():
                self.sights.answer(message, now)
            case messages.LoadReport():
                self.sights.report(message, now)
        return []

    def hint(self, chat: ids.ChatId) -> Kept | None:
        """Return where a chat ran last."""
        return self._hints.get(chat)

    def remember(
        self,
        chat: ids.ChatId,
        engine: ids.EngineId,
        tokens: int,
        now: float,
    ) -> None:
        """Note that a chat's newest turn ran on an engine.

        :param tokens: prompt and generated tokens that are cached there.
        """
        earlier = self._hints.get(chat)
        turns = earlier.turns + 1 if earlier else 1
        self._keep(chat, Kept(engine, tokens, turns, now))

    def failed(self, engine: ids.EngineId, now: float) -> None:
        """Note that an engine broke a connection."""
        self._failed[engine] = now + self._cfg.failed_s

    def reused(
        self,
        chat: ids.ChatId,
        answer: messages.Answer,
        now: float,
    ) -> None:
        """Learn how long caches live from what a chat found at its engine."""
        kept = self._hints.get(chat)
        if kept is None or kept.engine != answer.engine:
            return
        hit = 2 * answer.cached_tokens >= kept.tokens
        self._lifetime.learn(now - kept.used, hit=hit)

    def candidates(self, request: Request, now: float) -> list[Candidate]:
        """Return the engines worth asking, best first."""
        scored = []
        for engine, (tokens, reason) in self._found(request, now).items():
            filled = self.sights.filled(engine, now)
            # The last digits differ between routers, so that equal candidates
            # do not draw the chats of all of them at once.
            filled += self._rng.random() / 1000
            score = _score(self._cfg, tokens, request, filled)
            scored.append(Candidate(engine, tokens, score, reason))
        return sorted(scored, key=lambda one: one.score, reverse=True)

    def handover(
        self,
        member: typing.Callable[[ids.ChatId], ids.RouterId | None],
    ) -> dict[ids.RouterId, messages.Handover]:
        """Return the hints for the next home of each chat.

        :param member: returns the chat's home without this router.
        """
        batches: dict[ids.RouterId, list[messages.Hint]] = {}
        for chat, kept in self._hints.items():
            home = member(chat)
            if home is not None:
                hint = messages.Hint(
                    0, chat, kept.engine, kept.tokens, kept.turns
                )
                batches.setdefault(home, []).append(hint)
        return {
            home: messages.Handover(tuple(hints))
            for home, hints in batches.items()
        }

    def tick(self, now: float) -> list[messages.Send]:
        """Drop hints that were not used for long."""
        while self._hints:
            oldest = next(iter(self._hints.values()))
            if now - oldest.used < self._cfg.hint_s:
                break
            self._hints.popitem(last=False)
        return []

    def dump(self, now: float) -> Dump:
        """Return the state for the status dump."""
        return Dump(len(self._hints), self._lifetime.seconds)

    def _found(
        self,
        request: Request,
        now: float,
    ) -> dict[ids.EngineId, tuple[int, str]]:
        """Return engines, the tokens they have cached, and why they stand."""
        found = self._last(request.chat, now)
        for holder, shared in self._holders(request).items():
            found.setdefault(holder, (shared, 'shared prefix'))
        for near in self._ring.candidates(request.chat, _RING_CANDIDATES):
            found.setdefault(near, (0, 'ring'))
        serving = {one: found[one] for one in found if one in self._live}
        usable = {
            one: known
            for one, known in serving.items()
            if self._failed.get(one, now) <= now
        }
        return usable or serving

    def _last(
        self,
        chat: ids.ChatId,
        now: float,
    ) -> dict[ids.EngineId, tuple[int, str]]:
        kept = self._hints.get(chat)
        if kept is None:
            return {}
        alive = now - kept.used < self._lifetime.seconds
        return {kept.engine: (kept.tokens * alive, 'last engine')}

    def _take(self, hint: messages.Hint, now: float) -> None:
        earlier = self._hints.get(hint.chat)
        if hint.engine and (earlier is None or earlier.turns < hint.turns):
            self._keep(
                hint.chat,
                Kept(hint.engine, hint.tokens, hint.turns, now),
            )

    def _keep(self, chat: ids.ChatId, kept: Kept) -> None:
        self._hints[chat] = kept
        self._hints.move_to_end(chat)
        if len(self._hints) > self._cfg.hints:
            self._hints.popitem(last=False)


def _score(
    cfg: Cfg,
    tokens: int,
    request: Request,
    filled: float,
) -> float:
    """Return a candidate's score, higher is better."""
    reused = min(1, tokens / max(request.prompt_tokens, 1))
    return cfg.reuse_weight * reused - (1 - cfg.reuse_weight) * filled


def move(cfg: Cfg, tokens: int) -> Move:
    """Choose how the cache of a chat that has to move is rebuilt.

    :param tokens: length of the cached text.
    """
    recompute_s = tokens / cfg.prefill_tokens_per_s
    size = tokens * cfg.bytes_per_token
    transfer_s = size / cfg.transfer_bytes_per_s + cfg.transfer_fixed_s
    return Move.TRANSFER if transfer_s < recompute_s else Move.RECOMPUTE
