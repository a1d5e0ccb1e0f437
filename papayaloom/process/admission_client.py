"""Requests admission to an engine for the chat requests of this router.

One :class:`AdmissionClient` runs the searches of all models.
If another router is the home of the chat, a search first asks it for a hint.
Then it asks the owners of the candidate engines one after the other.
"""

import typing

import msgspec
import result

from papayaloom import errors, ids, messages
from papayaloom.process import claims, engine_search, placement
from papayaloom.request import core_api, request_headers

_SERVICE_UNAVAILABLE = 503
_FALLBACK_RETRY_S = 1


class Cfg(msgspec.Struct, frozen=True):
    """Timeouts of a search.

    :param hint_wait_s: longest wait for the hint of the chat's home router.
    :param answer_wait_s: longest wait for the answer of an owner, in addition
        to the time in its queue.
    """

    hint_wait_s: float = 0.05
    answer_wait_s: float = 0.25


class Lookup(msgspec.Struct, frozen=True):
    """Callbacks that a search needs.

    :param home_of: returns the home router of a chat in this region.
    :param owners_of: returns the routers to ask for admission to an engine, the
        preferred one first; empty for an unknown engine.
    :param home: returns the placement state of a model, None if unknown.
    :param usable: returns whether a request may use an engine, that is, the
        engine is not ejected and not isolated from a request that may have
        crashed an upstream.
    :param url: returns the base URL of an engine.
    """

    home_of: typing.Callable[[ids.ChatId], ids.RouterId | None]
    owners_of: typing.Callable[[ids.EngineId], tuple[ids.RouterId, ...]]
    home: typing.Callable[[ids.ModelId], placement.Home | None]
    usable: typing.Callable[[core_api.AdmissionRequest, ids.EngineId], bool]
    url: typing.Callable[[ids.EngineId], str]


class Admission(msgspec.Struct, frozen=True):
    """Successful outcome of a search.

    :param owner: the router that granted the request.
    :param previous: another engine that has the chat's cache, if transferring
        the cache costs less than computing it again.
    """

    grant: core_api.Grant
    owner: ids.RouterId
    model: ids.ModelId
    chat: ids.ChatId
    previous: ids.EngineId = ids.EngineId('')


class Decision(msgspec.Struct, frozen=True):
    """Outcome of a search.

    :param ticket: number that :meth:`AdmissionClient.begin` returned.
    """

    ticket: int
    outcome: result.Result[Admission, errors.Problem]


class Effects(msgspec.Struct):
    """Effects for the actor to perform.

    :param calls: effects of the at-most-once ledger.
    """

    sends: list[messages.Send] = msgspec.field(default_factory=list)
    decided: list[Decision] = msgspec.field(default_factory=list)
    calls: list[claims.Effects] = msgspec.field(default_factory=list)


class _Pending(msgspec.Struct):
    ask: core_api.AdmissionRequest
    request: placement.Request
    home: placement.Home
    wait_until: float
    search: engine_search.Search | None = None
    current: messages.Ask | None = None
    reason: str = ''
    owner: ids.RouterId = ids.RouterId('')
    hinted: ids.EngineId = ids.EngineId('')


class AdmissionClient:
    """Pending searches of one router.

    :param numbers: source of ask numbers, unique per boot.
    """

    def __init__(
        self,
        cfg: Cfg,
        router: ids.RouterId,
        lookup: Lookup,
        numbers: typing.Iterator[int],
    ) -> None:
        """Create a client without searches."""
        self._cfg = cfg
        self._router = router
        self._lookup = lookup
        self._numbers = numbers
        self._pending: dict[int, _Pending] = {}
        self._by_ask: dict[int, int] = {}
        self.late_answers = 0

    def __len__(self) -> int:
        """Return the number of pending searches."""
        return len(self._pending)

    def begin(
        self,
        ask: core_api.AdmissionRequest,
        ticket: int,
        now: float,
    ) -> Effects:
        """Start the search for one attempt of a request.

        :param ticket: number that identifies the outcome.
        """
        effects = Effects()
        home = self._lookup.home(ask.model)
        if home is None:
            problem = errors.Problem(
                'unknown model',
                404,
                f'no live engine serves the model {ask.model!r}',
            )
            effects.decided.append(Decision(ticket, result.Err(problem)))
            return effects
        pending = _Pending(ask, _request(ask, now), home, now)
        self._pending[ticket] = pending
        router = self._lookup.home_of(ask.chat)
        last_placement = home.hint(ask.chat)
        if last_placement or router in {None, self._router}:
            self._start_search(ticket, pending, effects, now)
            return effects
        number = next(self._numbers)
        self._by_ask[number] = ticket
        pending.wait_until = now + self._cfg.hint_wait_s
        effects.sends.append(
            messages.Send(
                typing.cast(ids.RouterId, router),
                messages.HintRequest(number, ask.chat),
                messages.Priority.ADMISSION,
            ),
        )
        return effects

    def hint(self, message: messages.Hint, now: float) -> Effects:
        """Continue a search after the hint of the chat's home router."""
        effects = Effects()
        ticket = self._by_ask.pop(message.ask, None)
        pending = self._pending.get(ticket or 0)
        if ticket is None or pending is None or pending.search is not None:
            self.late_answers += 1
            return effects
        pending.home.handle(self._router, message, now)
        self._start_search(ticket, pending, effects, now)
        return effects

    def answer(
        self,
        sender: ids.RouterId,
        message: messages.Answer,
        now: float,
    ) -> Effects:
        """Continue a search after the answer of an owner.

        A grant that arrives too late is released at once.
        """
        effects = Effects()
        ticket = self._by_ask.get(message.ask)
        pending = self._pending.get(ticket or 0)
        current = pending.current if pending else None
        if ticket is None or pending is None or current is None:
            self._release_late(sender, message, effects)
            return effects
        if current.ask != message.ask or pending.search is None:
            self._release_late(sender, message, effects)
            return effects
        pending.home.handle(sender, message, now)
        step = pending.search.answer(message, now)
        if step.action == engine_search.Action.RUN:
            pending.home.record_reuse(pending.ask.chat, message, now)
            self._finish(ticket, pending, message, effects)
        elif step.action == engine_search.Action.WAIT:
            wait_s = current.wait_ms / 1000 + self._cfg.answer_wait_s
            pending.wait_until = now + wait_s
        else:
            self._by_ask.pop(message.ask)
            self._apply_step(ticket, pending, step, effects, now)
        return effects

    def abandon(self, ticket: int, now: float) -> Effects:
        """Cancel a search whose caller has disconnected."""
        effects = Effects()
        pending = self._pending.pop(ticket, None)
        if pending is not None:
            self._withdraw(pending, effects)
        return effects

    def tick(self, now: float) -> Effects:
        """Continue the searches whose wait has timed out."""
        effects = Effects()
        for ticket, pending in list(self._pending.items()):
            if pending.wait_until > now:
                continue
            if pending.search is None:
                self._start_search(ticket, pending, effects, now)
            elif pending.current is None:
                step = pending.search.next_round(now)
                self._apply_step(ticket, pending, step, effects, now)
            else:
                self._withdraw(pending, effects)
                step = pending.search.fail_over(pending.current.engine, now)
                self._apply_step(ticket, pending, step, effects, now)
        return effects

    def _start_search(
        self,
        ticket: int,
        pending: _Pending,
        effects: Effects,
        now: float,
    ) -> None:
        last_placement = pending.home.hint(pending.ask.chat)
        pending.hinted = (
            last_placement.engine if last_placement else ids.EngineId('')
        )
        candidates = pending.home.candidates(pending.request, now)
        usable = [
            one
            for one in candidates
            if one.engine not in pending.ask.avoid
            and self._lookup.usable(pending.ask, one.engine)
        ]
        pending.search = engine_search.Search(
            pending.home.cfg,
            pending.request,
            usable or candidates,
            self._numbers,
        )
        step = pending.search.start(now)
        self._apply_step(ticket, pending, step, effects, now)

    def _apply_step(
        self,
        ticket: int,
        pending: _Pending,
        step: engine_search.Step,
        effects: Effects,
        now: float,
    ) -> None:
        if step.ask is None:
            pending.current = None
            pending.wait_until = now + step.retry_after_s
            if step.action is not engine_search.Action.RETRY_LATER:
                self._refuse(ticket, step, effects)
            return
        pending.owner = self._owner(pending.owner, step)
        pending.current = step.ask
        pending.reason = step.reason
        pending.wait_until = (
            now + self._cfg.answer_wait_s + step.ask.wait_ms / 1000
        )
        self._by_ask[step.ask.ask] = ticket
        effects.sends.append(
            messages.Send(
                pending.owner,
                step.ask,
                messages.Priority.ADMISSION,
            ),
        )

    def _owner(
        self, asked: ids.RouterId, step: engine_search.Step
    ) -> ids.RouterId:
        """Return the router to ask, avoiding the previous one if required."""
        engine = step.ask.engine if step.ask else ids.EngineId('')
        owners = [
            one
            for one in self._lookup.owners_of(engine)
            if not step.other or one != asked
        ]
        return owners[0] if owners else self._router

    def _finish(
        self,
        ticket: int,
        pending: _Pending,
        answer: messages.Answer,
        effects: Effects,
    ) -> None:
        self._pending.pop(ticket)
        self._by_ask.pop(answer.ask)
        target = f'models/{pending.ask.model}'
        grant = core_api.Grant(
            answer.ask,
            answer.engine,
            self._lookup.url(answer.engine),
            answer.cached_tokens,
            f'{pending.reason}, load {answer.load} of cap {answer.cap}',
            decided=(
                ('placement.load_multiple', target),
                ('placement.reuse_weight', target),
            ),
        )
        admission = Admission(
            grant,
            pending.owner,
            pending.ask.model,
            pending.ask.chat,
            _transfer_source(pending, answer),
        )
        effects.decided.append(Decision(ticket, result.Ok(admission)))

    def _refuse(
        self,
        ticket: int,
        step: engine_search.Step,
        effects: Effects,
    ) -> None:
        self._pending.pop(ticket)
        problem = errors.Problem(
            'no engine has room',
            _SERVICE_UNAVAILABLE,
            'every candidate engine refused the request or did not answer',
            setting=step.reason if '.' in step.reason else '',
            retry_after_s=step.retry_after_s or _FALLBACK_RETRY_S,
        )
        effects.decided.append(Decision(ticket, result.Err(problem)))

    def _withdraw(self, pending: _Pending, effects: Effects) -> None:
        """Release a grant that the owner may have made or may still make."""
        current = pending.current
        if current is None:
            return
        self._by_ask.pop(current.ask, None)
        effects.sends.append(_release(pending.owner, current))

    def _release_late(
        self,
        sender: ids.RouterId,
        answer: messages.Answer,
        effects: Effects,
    ) -> None:
        self.late_answers += 1
        if answer.state == messages.GrantState.GRANTED:
            effects.sends.append(_release(sender, answer))


def _release(
    owner: ids.RouterId,
    asked: messages.Ask | messages.Answer,
) -> messages.Send:
    return messages.Send(
        owner,
        messages.Release(asked.ask, asked.engine, finished=False),
        messages.Priority.ADMISSION,
    )


def _transfer_source(
    pending: _Pending, answer: messages.Answer
) -> ids.EngineId:
    last_placement = pending.home.hint(pending.ask.chat)
    no_engine = ids.EngineId('')
    if last_placement is None or last_placement.engine == answer.engine:
        return no_engine
    missing_tokens = last_placement.tokens - answer.cached_tokens
    method = placement.choose_move(pending.home.cfg, missing_tokens)
    is_transfer = missing_tokens > 0 and method is placement.Move.TRANSFER
    return last_placement.engine if is_transfer else no_engine


def _request(ask: core_api.AdmissionRequest, now: float) -> placement.Request:
    return placement.Request(
        ask.request,
        ask.organisation,
        ask.chat,
        # The queues of owners serve the lowest number first.
        request_headers.MAX_PRIORITY - ask.priority,
        now + ask.deadline_s,
        ask.prompt_tokens,
        ask.prefixes,
    )
