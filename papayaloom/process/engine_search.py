"""Search of one request for an engine: one candidate after the other."""

import collections
import enum
import typing

import msgspec

from papayaloom import ids, messages
from papayaloom.process import placement, rights

# Pause before a request that nobody admits asks its candidates again.
_ROUND_S = 0.5


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
        cfg: placement.Cfg,
        request: placement.Request,
        found: list[placement.Candidate],
        numbers: typing.Iterator[int],
    ) -> None:
        """Start with the best candidate."""
        self._cfg = cfg
        self._request = request
        self._found = found
        self._left = collections.deque(found)
        self._until: float = 0
        self._denials: list[tuple[int, str]] = []
        self._asked: dict[ids.EngineId, placement.Candidate] = {}
        self._full: dict[tuple[int, int], placement.Candidate] = {}
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
            # Waiting for a cache costs less than computing a long prompt.
            keeps = 2 * candidate.cached_tokens >= self._request.prompt_tokens
            wait_s = self._cfg.keep_wait_s if keeps else 0
            return self._ask(candidate, wait_s, now)
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

    def _ask(
        self, candidate: placement.Candidate, wait_s: float, now: float
    ) -> Step:
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
