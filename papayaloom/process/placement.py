"""Home side: placement hints of chats and the choice of an engine."""

import collections
import enum
import random
import typing

import msgspec

from papayaloom import hashing, ids, messages
from papayaloom.process import rights

_RING_CANDIDATES = 4

# Pause before a request that nobody admits asks its candidates again.
_ROUND_S = 0.5


class Cfg(msgspec.Struct, frozen=True):
    """Weights of the choice.

    :param reuse_weight: how much load is accepted to keep a chat's cache.
    :param hint_s: seconds for which an unused hint is kept.
    :param hints: most hints kept.
    :param load_memory_s: seconds for which an engine's load in an answer is
        taken into account.
    :param failed_s: seconds for which an engine that broke a connection is no
        candidate, until the list of engines shows whether it is gone.
    :param queue_wait_s: longest time that a request waits at an engine.
    :param prefill_tokens_per_s: speed of computing a prompt.
    :param transfer_bytes_per_s: speed of moving a cache between engines.
    :param transfer_fixed_s: time to begin a move.
    :param bytes_per_token: size of the cache of one token.
    """

    reuse_weight: float = 0.6
    hint_s: float = 14400
    hints: int = 20000
    load_memory_s: float = 2
    failed_s: float = 3
    queue_wait_s: float = 5
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


class Seen(msgspec.Struct, frozen=True):
    """Load of an engine in an owner's newest answer."""

    load: int
    cap: int
    at: float


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
    """State of the home side."""

    hints: int
    engines_seen: int


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
        self._seen: dict[ids.EngineId, Seen] = {}
        self._ring: hashing.Ring[ids.EngineId] = hashing.Ring(())
        self._live: frozenset[ids.EngineId] = frozenset()
        self._failed: dict[ids.EngineId, float] = {}

    @property
    def cfg(self) -> Cfg:
        """Return the weights in force."""
        return self._cfg

    def configure(self, cfg: Cfg) -> None:
        """Take new weights."""
        self._cfg = cfg

    def update_engines(self, live: typing.Iterable[ids.EngineId]) -> None:
        """Take the newest list of the model's live engines."""
        serving = frozenset(live)
        if serving != self._live:
            self._live = serving
            self._ring = hashing.Ring(serving)

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
                self.saw(message, now)
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

    def saw(self, answer: messages.Answer, now: float) -> None:
        """Note the load of an engine in an answer."""
        if answer.cap:
            self._seen[answer.engine] = Seen(answer.load, answer.cap, now)

    def failed(self, engine: ids.EngineId, now: float) -> None:
        """Note that an engine broke a connection."""
        self._failed[engine] = now + self._cfg.failed_s

    def candidates(self, request: Request, now: float) -> list[Candidate]:
        """Return the engines worth asking, best first."""
        scored = [
            Candidate(
                engine,
                tokens,
                self._score(engine, tokens, request, now),
                reason,
            )
            for engine, (tokens, reason) in self._found(request, now).items()
        ]
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
        recent = [
            seen
            for seen in self._seen.values()
            if now - seen.at < self._cfg.load_memory_s
        ]
        return Dump(len(self._hints), len(recent))

    def _found(
        self,
        request: Request,
        now: float,
    ) -> dict[ids.EngineId, tuple[int, str]]:
        """Return engines, the tokens they have cached, and why they stand."""
        found: dict[ids.EngineId, tuple[int, str]] = {}
        kept = self._hints.get(request.chat)
        if kept and kept.engine in self._live:
            found[kept.engine] = (kept.tokens, 'last engine')
        for holder, shared in self._holders(request).items():
            if holder in self._live:
                found.setdefault(holder, (shared, 'shared prefix'))
        for near in self._ring.candidates(request.chat, _RING_CANDIDATES):
            found.setdefault(near, (0, 'ring'))
        usable = {
            engine: known
            for engine, known in found.items()
            if self._failed.get(engine, now) <= now
        }
        return usable or found

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
        self,
        engine: ids.EngineId,
        tokens: int,
        request: Request,
        now: float,
    ) -> float:
        weight = self._cfg.reuse_weight
        reused = min(1, tokens / max(request.prompt_tokens, 1))
        seen = self._seen.get(engine)
        filled: float = 1
        if seen and now - seen.at < self._cfg.load_memory_s:
            filled = seen.load / seen.cap
        # The last digits differ between routers, so that equal candidates do
        # not draw the chats of all of them at once.
        noise = self._rng.random() / 1000
        return weight * reused - (1 - weight) * filled + noise


def move(cfg: Cfg, tokens: int) -> Move:
    """Choose how the cache of a chat that has to move is rebuilt.

    :param tokens: length of the cached text.
    """
    recompute_s = tokens / cfg.prefill_tokens_per_s
    size = tokens * cfg.bytes_per_token
    transfer_s = size / cfg.transfer_bytes_per_s + cfg.transfer_fixed_s
    return Move.TRANSFER if transfer_s < recompute_s else Move.RECOMPUTE


class Next(enum.Enum):
    """What a request does after an answer."""

    RUN = 'run'
    ASK = 'ask'
    WAIT = 'wait'
    LATER = 'later'
    REFUSE = 'refuse'


class Step(msgspec.Struct, frozen=True):
    """Next step of a request's search for an engine.

    :param ask: the ask to be sent to the owner of its engine, for ``ASK``.
    :param reason: why the engine was chosen, or the path of the setting that
        decided a refusal.
    :param other: ask the other one of the two first routers in rank.
    :param retry_after_s: when a refused request may try again, or when the
        search goes on, for ``LATER``.
    """

    action: Next
    ask: messages.Ask | None = None
    reason: str = ''
    other: bool = False
    retry_after_s: float = 0


class Search:
    """Asks one candidate after the other for one request.

    :param numbers: source of ask numbers, unique per router and boot.
    """

    def __init__(
        self,
        cfg: Cfg,
        request: Request,
        found: list[Candidate],
        numbers: typing.Iterator[int],
    ) -> None:
        """Start with the best candidate."""
        self._cfg = cfg
        self._request = request
        self._found = found
        self._left = collections.deque(found)
        self._until: float = 0
        self._denials: list[tuple[int, str]] = []
        self._asked: dict[ids.EngineId, Candidate] = {}
        self._full: dict[tuple[int, int], Candidate] = {}
        self._numbers = numbers
        self._turned: set[ids.EngineId] = set()
        self._waited = False

    def start(self, now: float) -> Step:
        """Return the first ask."""
        self._until = min(self._request.deadline, now + self._cfg.queue_wait_s)
        return self._next(now)

    def again(self, now: float) -> Step:
        """Return the first ask of another round over the candidates."""
        self._left.extend(self._found)
        self._denials.clear()
        self._asked.clear()
        self._full.clear()
        self._turned.clear()
        self._waited = False
        return self._next(now)

    def answer(self, answer: messages.Answer, now: float) -> Step:
        """Return what to do after an owner's answer."""
        if answer.state == messages.GrantState.GRANTED:
            return Step(Next.RUN)
        if answer.state == messages.GrantState.QUEUED:
            return Step(Next.WAIT)
        self._denials.append((answer.retry_after_ms, answer.setting))
        if answer.setting in {rights.SETTLE, rights.PROMISE}:
            return self.lost(answer.engine, now)
        asked = self._asked.get(answer.engine)
        if asked is not None and answer.cap and not self._waited:
            order = (answer.retry_after_ms, len(self._full))
            self._full[order] = asked
        return self._next(now)

    def lost(self, engine: ids.EngineId, now: float) -> Step:
        """Return what to do when the asked router gave no answer, or may not.

        The other one of the two first routers in rank may admit then.
        """
        candidate = self._asked.get(engine)
        if candidate is None or engine in self._turned:
            return self._next(now)
        self._turned.add(engine)
        step = self._ask(candidate, 0, now)
        return msgspec.structs.replace(step, other=True)

    def _next(self, now: float) -> Step:
        if self._left and now < self._request.deadline:
            candidate = self._left.popleft()
            self._asked[candidate.engine] = candidate
            return self._ask(candidate, 0, now)
        if self._full and now < self._request.deadline:
            # Denials change while others queue, so each engine is asked again.
            shortest = min(self._full)
            self._waited = True
            candidate = self._full.pop(shortest)
            return self._ask(candidate, self._cfg.queue_wait_s, now)
        return self._refuse(now)

    def _refuse(self, now: float) -> Step:
        if now + _ROUND_S < self._until:
            return Step(Next.LATER, retry_after_s=_ROUND_S)
        if not self._denials:
            return Step(Next.REFUSE, reason='no owner answered')
        retry_ms, setting = min(self._denials)
        seconds = retry_ms / 1000
        return Step(Next.REFUSE, reason=setting, retry_after_s=seconds)

    def _ask(self, candidate: Candidate, wait_s: float, now: float) -> Step:
        request = self._request
        left_s = max(request.deadline - now, 0)
        ask = messages.Ask(
            next(self._numbers),
            request.request,
            candidate.engine,
            request.organisation,
            request.chat,
            request.priority,
            round(min(wait_s, left_s) * 1000),
            round(left_s * 1000),
            request.prompt_tokens,
            request.prefixes,
        )
        return Step(Next.ASK, ask, candidate.reason)
