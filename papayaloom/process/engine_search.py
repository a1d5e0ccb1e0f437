"""Searches an engine for one request, candidate by candidate."""

import collections
import enum
import typing

import msgspec

from papayaloom import ids, messages
from papayaloom.process import placement, quotas

# Delay before a request that was denied everywhere asks its candidates again.
_ROUND_DELAY_S = 0.5


class Action(enum.Enum):
    """What a request does next."""

    RUN = 'run'
    ASK = 'ask'
    WAIT = 'wait'
    RETRY_LATER = 'later'
    REFUSE = 'refuse'


class Step(msgspec.Struct, frozen=True):
    """Next step of a search.

    :param ask: for ``ASK``, the message to send to the owner of the engine.
    :param reason: why the engine was chosen, or the path of the setting that
        caused a refusal.
    :param other: send the ask to the other of the two highest-ranked routers.
    :param retry_after_s: seconds after which a refused request may retry or,
        for ``RETRY_LATER``, the search continues.
    """

    action: Action
    ask: messages.Ask | None = None
    reason: str = ''
    other: bool = False
    retry_after_s: float = 0


class Search:
    """Asks the owners of the candidate engines one after the other.

    :param numbers: source of ask numbers, unique per router and boot.
    """

    def __init__(
        self,
        cfg: placement.Cfg,
        request: placement.Request,
        candidates: list[placement.Candidate],
        numbers: typing.Iterator[int],
    ) -> None:
        """Create a search over candidates, the best one first."""
        self._cfg = cfg
        self._request = request
        self._candidates = candidates
        self._remaining = collections.deque(candidates)
        self._search_until: float = 0
        self._denials: list[tuple[int, str]] = []
        self._asked: dict[ids.EngineId, placement.Candidate] = {}
        self._denied_engines: dict[tuple[int, int], placement.Candidate] = {}
        self._numbers = numbers
        self._failed_over: set[ids.EngineId] = set()
        self._queued = False

    def start(self, now: float) -> Step:
        """Return the first ask."""
        self._search_until = min(
            self._request.deadline, now + self._cfg.queue_wait_s
        )
        return self._next(now)

    def next_round(self, now: float) -> Step:
        """Start another round over all candidates and return its first ask."""
        self._remaining.extend(self._candidates)
        self._denials.clear()
        self._asked.clear()
        self._denied_engines.clear()
        self._failed_over.clear()
        self._queued = False
        return self._next(now)

    def answer(self, answer: messages.Answer, now: float) -> Step:
        """Return the next step after an owner's answer."""
        if answer.state == messages.GrantState.GRANTED:
            return Step(Action.RUN)
        if answer.state == messages.GrantState.QUEUED:
            return Step(Action.WAIT)
        self._denials.append((answer.retry_after_ms, answer.setting))
        if answer.setting in {quotas.SETTLE_SETTING, quotas.PROMISE_SETTING}:
            return self.fail_over(answer.engine, now)
        asked = self._asked.get(answer.engine)
        if asked is not None and answer.cap and not self._queued:
            wait_order = (answer.retry_after_ms, len(self._denied_engines))
            self._denied_engines[wait_order] = asked
        return self._next(now)

    def fail_over(self, engine: ids.EngineId, now: float) -> Step:
        """Return the next step when the asked router cannot admit or answer.

        The other of the two highest-ranked routers may admit instead.
        """
        candidate = self._asked.get(engine)
        if candidate is None or engine in self._failed_over:
            return self._next(now)
        self._failed_over.add(engine)
        step = self._ask(candidate, 0, now)
        return msgspec.structs.replace(step, other=True)

    def _next(self, now: float) -> Step:
        if self._remaining and now < self._request.deadline:
            candidate = self._remaining.popleft()
            self._asked[candidate.engine] = candidate
            # Waiting for an engine that has most of the prompt cached costs
            # less than computing a long prompt elsewhere.
            is_mostly_cached = (
                2 * candidate.cached_tokens >= self._request.prompt_tokens
            )
            wait_s = self._cfg.keep_wait_s if is_mostly_cached else 0
            return self._ask(candidate, wait_s, now)
        if self._denied_engines and now < self._request.deadline:
            # The load of engines changes while others queue, so each engine
            # that denied is asked again, now with time to wait in its queue.
            # The shortest estimated wait comes first.
            shortest = min(self._denied_engines)
            self._queued = True
            candidate = self._denied_engines.pop(shortest)
            return self._ask(candidate, self._cfg.queue_wait_s, now)
        return self._refuse(now)

    def _refuse(self, now: float) -> Step:
        if now + _ROUND_DELAY_S < self._search_until:
            return Step(Action.RETRY_LATER, retry_after_s=_ROUND_DELAY_S)
        if not self._denials:
            return Step(Action.REFUSE, reason='no owner answered')
        retry_ms, setting = min(self._denials)
        retry_after_s = retry_ms / 1000
        return Step(Action.REFUSE, reason=setting, retry_after_s=retry_after_s)

    def _ask(
        self, candidate: placement.Candidate, wait_s: float, now: float
    ) -> Step:
        request = self._request
        remaining_s = max(request.deadline - now, 0)
        ask = messages.Ask(
            next(self._numbers),
            request.request,
            candidate.engine,
            request.organisation,
            request.chat,
            request.priority,
            round(min(wait_s, remaining_s) * 1000),
            round(remaining_s * 1000),
            request.prompt_tokens,
            request.prefixes,
        )
        return Step(Action.ASK, ask, candidate.reason)
