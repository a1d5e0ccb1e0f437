"""Chat requests of one router: limits, quarantine, placement, active grants."""

import itertools
import random
import typing

import msgspec
import result

from papayaloom import errors, hashing, ids, messages
from papayaloom.ports import engine as engine_port
from papayaloom.process import (
    admission_client,
    chat_messages,
    configuration,
    grants_in_use,
    placement,
    shares,
    suspects,
    targets,
)
from papayaloom.routing.health import ejection
from papayaloom.request import core_api
from papayaloom.version import snapshot

# Renewals within a hold time, so that one lost message does not end a grant.
_HOLD_RENEWALS = 4
_Sends = list[messages.Send]
_NO_ENGINE = ids.EngineId('')


class Membership(typing.Protocol):
    """The fleet membership, as seen by this router."""

    def routers(self) -> typing.Sequence[ids.RouterId]:
        """Return the serving routers of this region."""

    def present(self) -> typing.Container[ids.RouterId]:
        """Return the routers that are not confirmed gone."""


class ActiveGrant(msgspec.Struct, frozen=True):
    """A grant in use, with the data needed to release it."""

    request: core_api.AdmissionRequest
    engine: ids.EngineId


class RankedEngine(msgspec.Struct, frozen=True):
    """An engine for which this router ranks first or second."""

    engine: ids.EngineId
    url: str
    is_first: bool


class Dump(msgspec.Struct, frozen=True):
    """State of the chat requests for the status dump."""

    searching: int
    running: int
    late_answers: int
    models: dict[str, dict[str, object]]
    suspects: dict[str, dict[str, object]]
    rates: dict[ids.OrgId, tuple[float, bool]]


class Chats:
    """Chat requests of one router, and its roles in the fleet.

    A router is the owner of some engines, which admits requests to them, the
    home of some chats, which keeps their placement hints, and the allocator
    of the request rates of some organisations.

    :param me: identity of this router.
    :param members: the fleet membership, as seen by this router.
    """

    def __init__(
        self,
        me: ids.RouterId,
        members: Membership,
        settings: snapshot.Snapshot,
        rng: random.Random,
    ) -> None:
        """Start without models."""
        self.models: dict[ids.ModelId, targets.ModelState] = {}
        self.running = grants_in_use.GrantsInUse(_renew_s(settings))
        self.suspects = suspects.SuspectRequests(
            configuration.quarantine_cfg(settings)
        )
        self.shares = shares.OrganisationLimits(
            configuration.rate_limits_cfg(settings), me
        )
        self._me = me
        self._members = members
        self._settings = settings
        self._rng = rng
        self._active_grants: dict[int, ActiveGrant] = {}
        self._state_by_engine: dict[ids.EngineId, targets.ModelState] = {}
        self._searches: dict[int, core_api.AdmissionRequest] = {}
        # A random start value avoids reusing the numbers of an earlier boot.
        self._ask_numbers = itertools.count(rng.getrandbits(40) + 1)

        def home(model: ids.ModelId) -> placement.Home | None:
            state = self.models.get(model)
            return state.home if state and state.engines else None

        self._admission = admission_client.AdmissionClient(
            admission_client.Cfg(),
            me,
            admission_client.Lookup(
                self.home_of,
                self.owners_of,
                home,
                self._is_usable,
                self.url_of,
            ),
            self._ask_numbers,
        )

    def configure(self, settings: snapshot.Snapshot) -> None:
        """Apply a new settings version."""
        self._settings = settings
        self.running.renew_s = _renew_s(settings)
        crashes = configuration.quarantine_cfg(settings)
        self.suspects.quarantine.configure(crashes)
        self.shares.configure(configuration.rate_limits_cfg(settings))
        for state in self.models.values():
            state.configure(settings)

    def update_engines(
        self,
        listed: typing.Mapping[str, list[targets.Upstream]],
        now: float,
    ) -> _Sends:
        """Replace the engines of all models."""
        sends: _Sends = []
        for name in sorted({*listed, *self.models}):
            model = ids.ModelId(name)
            if model not in self.models:
                self.models[model] = targets.ModelState(
                    self._me,
                    model,
                    self._settings,
                    self._rng,
                )
            state = self.models[model]
            sends.extend(state.update(listed.get(name, ()), now))
        self._state_by_engine = {
            engine: state
            for state in self.models.values()
            for engine in state.engines
        }
        self.suspects.quarantine.update_upstreams(len(self._state_by_engine))
        return sends

    def update_members(
        self,
        members: typing.Sequence[messages.Member],
        listed: typing.Collection[ids.RouterId] | None,
        now: float,
    ) -> None:
        """Update the membership of the region, dead members included."""
        for state in self.models.values():
            state.owner.update_members(members, listed, now)
        self.shares.update_members(self._members.routers(), len(members), now)

    def admit(
        self,
        request: core_api.AdmissionRequest,
        ticket: int,
        now: float,
    ) -> admission_client.Effects:
        """Start the search for an engine.

        A retry or a resumed answer does not count against the rate limit.
        """
        is_first = not (request.resumed or request.avoid)
        problem = self.refusal(
            request.organisation if is_first else None, request.fingerprint, now
        )
        if problem is not None:
            effects = admission_client.Effects()
            effects.decided.append(
                admission_client.Decision(ticket, result.Err(problem)),
            )
            return effects
        self._searches[ticket] = request
        return self._record_grants(
            self._admission.begin(request, ticket, now), now
        )

    def refusal(
        self,
        organisation: ids.OrgId | None,
        fingerprint: ids.Fingerprint,
        now: float,
    ) -> errors.Problem | None:
        """Apply the quarantine and, for an organisation, its rate limit."""
        problem = self.suspects.refusal(fingerprint, now)
        if problem or organisation is None:
            return problem
        return self.shares.refusal(organisation, now)

    def abandon(self, ticket: int, now: float) -> admission_client.Effects:
        """Cancel a search whose caller has disconnected."""
        self._searches.pop(ticket, None)
        return self._admission.abandon(ticket, now)

    def release(
        self,
        grant: core_api.Grant,
        outcome: core_api.Outcome,
        now: float,
    ) -> _Sends:
        """Release a grant and record how its request ended."""
        active = self._active_grants.pop(grant.ask, None)
        if active is None:
            return []
        finished = outcome.end is core_api.AttemptEnd.FINISHED
        sends = self.running.release(
            grant.ask,
            finished=finished,
            crashed=outcome.end is core_api.AttemptEnd.CRASHED,
            tokens=outcome.tokens,
        )
        suspected = self.suspects.record_end(
            active.request.fingerprint,
            active.engine,
            outcome.end,
            now,
        )
        if suspected is not None:
            sends.extend(
                suspects.broadcast(
                    suspected, self._members.routers(), self._me
                ),
            )
        self._record_outcome(active, outcome, now)
        if finished:
            sends.extend(self._record_hint(active, outcome.tokens, now))
        return sends

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.Message,
        now: float,
    ) -> admission_client.Effects:
        """Handle a message from another router or another component."""
        effects = admission_client.Effects()
        match message:
            case messages.Answer():
                answered = self._admission.answer(sender, message, now)
                return self._record_grants(answered, now)
            case messages.Hint(ask=ask) if ask:
                return self._record_grants(
                    self._admission.hint(message, now), now
                )
            case messages.Hint() | messages.HintRequest():
                effects.sends.extend(self._handle_hint(sender, message, now))
            case messages.Handover():
                self._handle_handover(sender, message, now)
            case messages.LoadReport():
                for state in self.models.values():
                    state.owner.handle(sender, message, now)
                    state.home.handle(sender, message, now)
            case messages.ShareRequest() | messages.Share():
                effects.sends.extend(self.shares.handle(sender, message, now))
            case messages.Suspects():
                self.suspects.quarantine.handle(sender, message, now)
            case _:
                effects.sends.extend(
                    self._handle_as_owner(sender, message, now)
                )
        return effects

    def tick(self, now: float) -> admission_client.Effects:
        """Do the periodic work; to be called every 0.1 s."""
        effects = self._record_grants(self._admission.tick(now), now)
        for state in self.models.values():
            state.now = now
            effects.sends.extend(state.owner.tick(now))
            state.home.tick(now)
        effects.sends.extend(self.shares.tick(now))
        effects.sends.extend(
            self.running.tick(self.owners_of, now),
        )
        self.suspects.quarantine.tick(now)
        return effects

    def record_engine_state(
        self,
        engine: ids.EngineId,
        report: engine_port.State,
        events: engine_port.CacheEvents | None,
        taken: float,
        now: float,
    ) -> None:
        """Apply the load report and the cache events of an engine.

        :param taken: when the engine was polled.
        """
        state = self._state_by_engine.get(engine)
        if state is not None:
            state.owner.record_engine_report(engine, report.running, taken, now)
            if events is not None:
                state.cache_events(engine, events.events, now)

    def home_of(self, chat: ids.ChatId) -> ids.RouterId | None:
        """Return the home router of a chat."""
        return hashing.highest_ranked(chat, self._members.routers())

    def owners_of(
        self,
        engine: ids.EngineId,
    ) -> tuple[ids.RouterId, ...]:
        """Return the routers ranked first and second, serving ones first.

        For an unknown engine, this router is returned.
        """
        state = self._state_by_engine.get(engine)
        if state is None:
            return (self._me,)
        serving = {*self._members.routers(), self._me}
        return tuple(
            sorted(
                state.owner.ranks.order(engine),
                key=lambda one: one not in serving,
            ),
        )

    def ranked_engines(self) -> list[RankedEngine]:
        """Return the engines that this router polls.

        The second in rank polls them too, since it may have to take over
        admission.
        """
        found = []
        for engine, state in self._state_by_engine.items():
            order = state.owner.ranks.order(engine)
            if self._me in order:
                first = order[0] == self._me
                found.append(RankedEngine(engine, self.url_of(engine), first))
        return found

    def url_of(self, engine: ids.EngineId) -> str:
        """Return the base URL of an engine, empty if unknown."""
        state = self._state_by_engine.get(engine)
        return state.engines[engine].url if state else ''

    def handover(self) -> _Sends:
        """Return the placement state for the routers that take over."""
        others = [one for one in self._members.routers() if one != self._me]
        sends = hints_for(
            self.models.values(),
            others,
            lambda chat: hashing.highest_ranked(chat, others),
        )
        for state in self.models.values():
            counts = state.owner.holds.handover()
            sends.extend(
                messages.Send(peer, counts, messages.Priority.HANDOVER)
                for peer in others
            )
        return sends

    def dump(self, now: float) -> Dump:
        """Return the state for the status dump."""
        return Dump(
            searching=len(self._admission),
            running=len(self.running),
            late_answers=self._admission.late_answers,
            models={
                name: {
                    'owner': state.owner.dump(now),
                    'home': state.home.dump(now),
                    'cached_blocks': state.prefixes.dump(),
                    'ejection': state.ejection.dump(now),
                    'retries': state.budgets.dump(now),
                }
                for name, state in self.models.items()
            },
            suspects=self.suspects.dump(now),
            rates=self.shares.dump(now),
        )

    def _record_grants(
        self,
        effects: admission_client.Effects,
        now: float,
    ) -> admission_client.Effects:
        """Record the grants among the outcomes of searches."""
        for decided in effects.decided:
            request = self._searches.pop(decided.ticket, None)
            if request is None or not isinstance(decided.outcome, result.Ok):
                continue
            admission = decided.outcome.ok_value
            grant = admission.grant
            state = self._state_by_engine.get(grant.engine)
            self._active_grants[grant.ask] = ActiveGrant(request, grant.engine)
            self.running.add(grant.ask, admission.owner, grant.engine)
            self.suspects.quarantine.record_start(
                request.fingerprint, grant.engine, now
            )
            if state is not None:
                state.shared_prefixes.record_prompt(
                    grant.engine, request.prefixes
                )
                status = state.ejection.status(grant.engine, now)
                if status is ejection.Status.TRIAL:
                    state.ejection.start_trial(grant.engine, now)
        return effects

    def _record_outcome(
        self,
        active: ActiveGrant,
        outcome: core_api.Outcome,
        now: float,
    ) -> None:
        """Update ejection and retry budgets after a request."""
        state = self._state_by_engine.get(active.engine)
        if state is None:
            return
        if outcome.end is core_api.AttemptEnd.FINISHED:
            state.ejection.record_success(active.engine, now)
            state.budgets.record_success(active.engine, now)
        elif outcome.end in {
            core_api.AttemptEnd.UNREACHABLE,
            core_api.AttemptEnd.FAILED,
        } or (
            outcome.end is core_api.AttemptEnd.CRASHED
            and not self.suspects.quarantine.has_condemned(
                (active.request.fingerprint,)
            )
        ):
            state.ejection.record_failure(active.engine, now)
            state.home.record_failure(active.engine, now)

    def _record_hint(
        self, active: ActiveGrant, tokens: int, now: float
    ) -> _Sends:
        state = self._state_by_engine.get(active.engine)
        if state is None:
            return []
        chat = active.request.chat
        state.home.record_turn(chat, active.engine, tokens, now)
        home = self.home_of(chat)
        stored = state.home.hint(chat)
        if home in {None, self._me} or stored is None:
            return []
        hint = messages.Hint(
            0, chat, stored.engine, stored.tokens, stored.turns
        )
        return [
            messages.Send(
                typing.cast(ids.RouterId, home),
                hint,
                messages.Priority.ADMISSION,
            ),
        ]

    def _handle_hint(
        self,
        sender: ids.RouterId,
        message: messages.Hint | messages.HintRequest,
        now: float,
    ) -> _Sends:
        if isinstance(message, messages.Hint):
            state = self._state_by_engine.get(message.engine)
            return state.home.handle(sender, message, now) if state else []
        for model in self.models.values():
            if model.home.hint(message.chat) is not None:
                return model.home.handle(sender, message, now)
        unknown = messages.Hint(message.ask, message.chat, _NO_ENGINE, 0, 0)
        return [messages.Send(sender, unknown, messages.Priority.ADMISSION)]

    def _handle_handover(
        self,
        sender: ids.RouterId,
        message: messages.Handover,
        now: float,
    ) -> None:
        for hint in message.hints:
            self._handle_hint(sender, hint, now)
        for model in self.models.values():
            counts = tuple(
                counted
                for counted in message.engines
                if counted[0] in model.engines
            )
            model.owner.handle(sender, messages.Handover((), counts), now)

    def _handle_as_owner(
        self,
        sender: ids.RouterId,
        message: messages.Message,
        now: float,
    ) -> _Sends:
        """Handle a message about an engine that this router may own."""
        engine = chat_messages.engine_of(message)
        state = self._state_by_engine.get(engine) if engine else None
        if state is None:
            return chat_messages.unknown_engine(sender, message)
        state.now = now
        return state.owner.handle(sender, message, now)

    def _is_usable(
        self, request: core_api.AdmissionRequest, engine: ids.EngineId
    ) -> bool:
        state = self._state_by_engine.get(engine)
        if state is None:
            return False
        if self.suspects.must_isolate(request.fingerprint, engine, state.now):
            return False
        status = state.ejection.status(engine, state.now)
        return status is not ejection.Status.EJECTED


def _renew_s(settings: snapshot.Snapshot) -> float:
    """Return the seconds between two renewals of the active grants."""
    hold_s = typing.cast(float, settings.resolve('placement.hold_s').value)
    return hold_s / _HOLD_RENEWALS


def hints_for(
    models: typing.Iterable[targets.ModelState],
    joined: typing.Collection[ids.RouterId],
    home_of: typing.Callable[[ids.ChatId], ids.RouterId | None],
) -> _Sends:
    """Return the hints whose home is one of the given routers.

    :param joined: routers that have become the home of chats.
    """
    sends: _Sends = []
    for state in models:
        batches = state.home.handover(home_of)
        for receiver in sorted(batches.keys() & set(joined)):
            sends.extend(
                chat_messages.split_handover(receiver, batches[receiver])
            )
    return sends
