"""Chat requests of one router: limits, quarantine, search, grants in use."""

import itertools
import random
import typing

import msgspec
import result

from papayaloom import errors, hashing, ids, messages
from papayaloom.ports import engine as engine_port
from papayaloom.process import (
    admitting,
    configuration,
    ejection,
    placement,
    running,
    shares,
    suspects,
    targets,
)
from papayaloom.request import desk
from papayaloom.version import snapshot

# Renewals within a hold time, so that one lost message ends no grant.
_HOLD_RENEWALS = 4
_Sends = list[messages.Send]
_NOWHERE = ids.EngineId('')
# About 3 KB, so that a hand-over does not delay more urgent messages.
_HINTS_PER_MESSAGE = 50


class Grid(typing.Protocol):
    """What the chats need to know of the fleet."""

    def routers(self) -> typing.Sequence[ids.RouterId]:
        """Return the serving routers of this region."""

    def present(self) -> typing.Container[ids.RouterId]:
        """Return the routers that are not confirmed gone."""


class Running(msgspec.Struct, frozen=True):
    """A grant in use, with what its release needs."""

    ask: desk.ChatAsk
    engine: ids.EngineId


class Ranked(msgspec.Struct, frozen=True):
    """An engine for which this router is first or second in rank."""

    engine: ids.EngineId
    url: str
    is_first: bool


class Dump(msgspec.Struct, frozen=True):
    """State of the chats for the dump."""

    searching: int
    running: int
    late_answers: int
    models: dict[str, dict[str, object]]
    suspects: dict[str, dict[str, object]]
    rates: dict[ids.OrgId, tuple[float, bool]]


class Chats:
    """Chat requests of one router, and its part as owner, home and keeper.

    :param me: own identity.
    :param grid: the fleet as seen by this router.
    """

    def __init__(
        self,
        me: ids.RouterId,
        grid: Grid,
        settings: snapshot.Snapshot,
        rng: random.Random,
    ) -> None:
        """Start without models."""
        self.models: dict[ids.ModelId, targets.ModelParts] = {}
        self.running = running.Running(_renew_s(settings))
        self.suspects = suspects.Suspects(configuration.crashes(settings))
        self.shares = shares.Shares(configuration.rates(settings), me)
        self._me = me
        self._grid = grid
        self._settings = settings
        self._rng = rng
        self._used: dict[int, Running] = {}
        self._by_engine: dict[ids.EngineId, targets.ModelParts] = {}
        self._fingerprints: dict[int, desk.ChatAsk] = {}
        # A random start keeps the ask numbers of two boots apart.
        self._numbers = itertools.count(rng.getrandbits(40) + 1)

        def home(model: ids.ModelId) -> placement.Home | None:
            parts = self.models.get(model)
            return parts.home if parts and parts.engines else None

        self._admitting = admitting.Admitting(
            admitting.Cfg(),
            me,
            admitting.Lookup(
                self.home_of,
                self.owners_of,
                home,
                self._usable,
                self.url_of,
            ),
            self._numbers,
        )

    def configure(self, settings: snapshot.Snapshot) -> None:
        """Take the settings of a new version."""
        self._settings = settings
        self.running.renew_s = _renew_s(settings)
        crashes = configuration.crashes(settings)
        self.suspects.quarantine.configure(crashes)
        self.shares.configure(configuration.rates(settings))
        for parts in self.models.values():
            parts.configure(settings)

    def update_engines(
        self,
        listed: typing.Mapping[str, list[targets.Upstream]],
        now: float,
    ) -> _Sends:
        """Take the newest engines of all models."""
        sends: _Sends = []
        for name in sorted({*listed, *self.models}):
            model = ids.ModelId(name)
            if model not in self.models:
                self.models[model] = targets.ModelParts(
                    self._me,
                    model,
                    self._settings,
                    self._rng,
                )
            parts = self.models[model]
            sends.extend(parts.update(listed.get(name, ()), now))
        self._by_engine = {
            engine: parts
            for parts in self.models.values()
            for engine in parts.engines
        }
        self.suspects.quarantine.update_upstreams(len(self._by_engine))
        return sends

    def update_members(
        self,
        members: typing.Sequence[messages.Member],
        listed: typing.Collection[ids.RouterId] | None,
        now: float,
    ) -> None:
        """Take the newest membership of the region, dead members included."""
        for parts in self.models.values():
            parts.owner.update_members(members, listed, now)
        self.shares.update_members(self._grid.routers(), len(members), now)

    def admit(
        self,
        ask: desk.ChatAsk,
        ticket: int,
        now: float,
    ) -> admitting.Effects:
        """Start the search for an engine.

        A retry or a resumed answer spends no token of the rate limit.
        """
        is_first = not (ask.resumed or ask.avoid)
        problem = self.refusal(
            ask.organisation if is_first else None, ask.fingerprint, now
        )
        if problem is not None:
            effects = admitting.Effects()
            effects.decided.append(
                admitting.Decided(ticket, result.Err(problem)),
            )
            return effects
        self._fingerprints[ticket] = ask
        return self._noted(self._admitting.begin(ask, ticket, now), now)

    def refusal(
        self,
        organisation: ids.OrgId | None,
        mark: ids.Fingerprint,
        now: float,
    ) -> errors.Problem | None:
        """Apply the quarantine and, for an organisation, its rate."""
        problem = self.suspects.refusal(mark, now)
        if problem or organisation is None:
            return problem
        return self.shares.refusal(organisation, now)

    def abandon(self, ticket: int, now: float) -> admitting.Effects:
        """Stop a search whose caller has gone away."""
        self._fingerprints.pop(ticket, None)
        return self._admitting.abandon(ticket, now)

    def release(
        self,
        grant: desk.Grant,
        outcome: desk.Outcome,
        now: float,
    ) -> _Sends:
        """Take a grant back and learn from how its use ended."""
        used = self._used.pop(grant.ask, None)
        if used is None:
            return []
        finished = outcome.end is desk.End.FINISHED
        sends = self.running.release(
            grant.ask,
            finished=finished,
            crashed=outcome.end is desk.End.CRASHED,
            tokens=outcome.tokens,
        )
        suspected = self.suspects.ended(
            used.ask.fingerprint,
            used.engine,
            outcome.end,
            now,
        )
        if suspected is not None:
            sends.extend(
                suspects.broadcast(suspected, self._grid.routers(), self._me),
            )
        self._judge(used, outcome, now)
        if finished:
            sends.extend(self._remember(used, outcome.tokens, now))
        return sends

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.Message,
        now: float,
    ) -> admitting.Effects:
        """Take a message of another part or router."""
        effects = admitting.Effects()
        match message:
            case messages.Answer():
                answered = self._admitting.answer(sender, message, now)
                return self._noted(answered, now)
            case messages.Hint(ask=ask) if ask:
                return self._noted(self._admitting.hint(message, now), now)
            case messages.Hint() | messages.HintRequest():
                effects.sends.extend(self._hinted(sender, message, now))
            case messages.Handover():
                self._taken_over(sender, message, now)
            case messages.LoadReport():
                for parts in self.models.values():
                    parts.owner.handle(sender, message, now)
                    parts.home.handle(sender, message, now)
            case messages.ShareRequest() | messages.Share():
                effects.sends.extend(self.shares.handle(sender, message, now))
            case messages.Suspects():
                self.suspects.quarantine.handle(sender, message, now)
            case _:
                effects.sends.extend(self._owned(sender, message, now))
        return effects

    def tick(self, now: float) -> admitting.Effects:
        """Do the periodic work; call it every 0.1 s."""
        effects = self._noted(self._admitting.tick(now), now)
        for parts in self.models.values():
            parts.now = now
            effects.sends.extend(parts.owner.tick(now))
            parts.home.tick(now)
        effects.sends.extend(self.shares.tick(now))
        effects.sends.extend(
            self.running.tick(self.owners_of, now),
        )
        self.suspects.quarantine.tick(now)
        return effects

    def engine_read(
        self,
        engine: ids.EngineId,
        state: engine_port.State,
        events: engine_port.CacheEvents | None,
        taken: float,
        now: float,
    ) -> None:
        """Take an engine's own report and its cache events.

        :param taken: when the engine was asked.
        """
        parts = self._by_engine.get(engine)
        if parts is not None:
            parts.owner.engine_report(engine, state.running, taken, now)
            if events is not None:
                parts.cache_events(engine, events.events, now)

    def home_of(self, chat: ids.ChatId) -> ids.RouterId | None:
        """Return the home router of a chat."""
        return hashing.first(chat, self._grid.routers())

    def owners_of(
        self,
        engine: ids.EngineId,
    ) -> tuple[ids.RouterId, ...]:
        """Return the first and the second in rank, a serving one first.

        This router stands in for the owners of an unknown engine.
        """
        parts = self._by_engine.get(engine)
        if parts is None:
            return (self._me,)
        serving = {*self._grid.routers(), self._me}
        return tuple(
            sorted(
                parts.owner.ranks.order(engine),
                key=lambda one: one not in serving,
            ),
        )

    def ranked_engines(self) -> list[Ranked]:
        """Return the engines that this router reads.

        The second in rank reads them too, since it may have to admit.
        """
        found = []
        for engine, parts in self._by_engine.items():
            order = parts.owner.ranks.order(engine)
            if self._me in order:
                first = order[0] == self._me
                found.append(Ranked(engine, self.url_of(engine), first))
        return found

    def url_of(self, engine: ids.EngineId) -> str:
        """Return the base URL of an engine, empty when unknown."""
        parts = self._by_engine.get(engine)
        return parts.engines[engine].url if parts else ''

    def handover(self) -> _Sends:
        """Return the placement state for the routers that are next in rank."""
        others = [one for one in self._grid.routers() if one != self._me]
        sends = hints_for(
            self.models.values(),
            others,
            lambda chat: hashing.first(chat, others),
        )
        for parts in self.models.values():
            counts = parts.owner.holds.handover()
            sends.extend(
                messages.Send(peer, counts, messages.Priority.HANDOVER)
                for peer in others
            )
        return sends

    def dump(self, now: float) -> Dump:
        """Return the state for the dump."""
        return Dump(
            searching=len(self._admitting),
            running=len(self.running),
            late_answers=self._admitting.late_answers,
            models={
                name: {
                    'owner': parts.owner.dump(now),
                    'home': parts.home.dump(now),
                    'cached_blocks': parts.prefixes.dump(),
                    'ejection': parts.ejection.dump(now),
                    'retries': parts.budgets.dump(now),
                }
                for name, parts in self.models.items()
            },
            suspects=self.suspects.dump(now),
            rates=self.shares.dump(now),
        )

    def _noted(
        self,
        effects: admitting.Effects,
        now: float,
    ) -> admitting.Effects:
        """Note the grants among the outcomes of searches."""
        for decided in effects.decided:
            ask = self._fingerprints.pop(decided.ticket, None)
            if ask is None or not isinstance(decided.outcome, result.Ok):
                continue
            admission = decided.outcome.ok_value
            grant = admission.grant
            parts = self._by_engine.get(grant.engine)
            self._used[grant.ask] = Running(ask, grant.engine)
            self.running.add(grant.ask, admission.owner, grant.engine)
            self.suspects.quarantine.started(ask.fingerprint, grant.engine, now)
            if parts is not None:
                parts.holders.note(grant.engine, ask.prefixes)
                standing = parts.ejection.standing(grant.engine, now)
                if standing is ejection.Standing.TRIAL:
                    parts.ejection.try_out(grant.engine, now)
        return effects

    def _judge(
        self,
        used: Running,
        outcome: desk.Outcome,
        now: float,
    ) -> None:
        """Let ejection and retry budgets learn from an outcome."""
        parts = self._by_engine.get(used.engine)
        if parts is None:
            return
        if outcome.end is desk.End.FINISHED:
            parts.ejection.succeeded(used.engine, now)
            parts.budgets.succeeded(used.engine, now)
        elif outcome.end in {desk.End.UNREACHABLE, desk.End.FAILED} or (
            outcome.end is desk.End.CRASHED
            and not self.suspects.quarantine.explained((used.ask.fingerprint,))
        ):
            parts.ejection.failed(used.engine, now)
            parts.home.failed(used.engine, now)

    def _remember(self, used: Running, tokens: int, now: float) -> _Sends:
        parts = self._by_engine.get(used.engine)
        if parts is None:
            return []
        chat = used.ask.chat
        parts.home.remember(chat, used.engine, tokens, now)
        home = self.home_of(chat)
        kept = parts.home.hint(chat)
        if home in {None, self._me} or kept is None:
            return []
        hint = messages.Hint(0, chat, kept.engine, kept.tokens, kept.turns)
        return [
            messages.Send(
                typing.cast(ids.RouterId, home),
                hint,
                messages.Priority.ADMISSION,
            ),
        ]

    def _hinted(
        self,
        sender: ids.RouterId,
        message: messages.Hint | messages.HintRequest,
        now: float,
    ) -> _Sends:
        if isinstance(message, messages.Hint):
            parts = self._by_engine.get(message.engine)
            return parts.home.handle(sender, message, now) if parts else []
        for known in self.models.values():
            if known.home.hint(message.chat) is not None:
                return known.home.handle(sender, message, now)
        unknown = messages.Hint(message.ask, message.chat, _NOWHERE, 0, 0)
        return [messages.Send(sender, unknown, messages.Priority.ADMISSION)]

    def _taken_over(
        self,
        sender: ids.RouterId,
        message: messages.Handover,
        now: float,
    ) -> None:
        for hint in message.hints:
            self._hinted(sender, hint, now)
        for model in self.models.values():
            own = tuple(
                counted
                for counted in message.engines
                if counted[0] in model.engines
            )
            model.owner.handle(sender, messages.Handover((), own), now)

    def _owned(
        self,
        sender: ids.RouterId,
        message: messages.Message,
        now: float,
    ) -> _Sends:
        """Take a message that belongs to the owner of one model."""
        engine = _engine_of(message)
        parts = self._by_engine.get(engine) if engine else None
        if parts is None:
            return _unknown_engine(sender, message)
        parts.now = now
        return parts.owner.handle(sender, message, now)

    def _usable(self, ask: desk.ChatAsk, engine: ids.EngineId) -> bool:
        parts = self._by_engine.get(engine)
        if parts is None:
            return False
        if self.suspects.keeps_apart(ask.fingerprint, engine, parts.now):
            return False
        standing = parts.ejection.standing(engine, parts.now)
        return standing is not ejection.Standing.EJECTED


def _renew_s(settings: snapshot.Snapshot) -> float:
    """Return the seconds between two renewals of the grants in use."""
    held = typing.cast(float, settings.resolve('placement.hold_s').value)
    return held / _HOLD_RENEWALS


def hints_for(
    models: typing.Iterable[targets.ModelParts],
    joined: typing.Collection[ids.RouterId],
    home_of: typing.Callable[[ids.ChatId], ids.RouterId | None],
) -> _Sends:
    """Return the hints whose home is one of some routers.

    :param joined: routers that are home of these chats from now on.
    """
    sends: _Sends = []
    for parts in models:
        batches = parts.home.handover(home_of)
        for heir in sorted(batches.keys() & set(joined)):
            sends.extend(_batched(heir, batches[heir]))
    return sends


def _engine_of(message: messages.Message) -> ids.EngineId | None:
    match message:
        case messages.Ask() | messages.Hold() | messages.Release():
            return message.engine
        case messages.PromiseRequest():
            return message.engines[0] if message.engines else None
        case messages.Promise():
            return message.counts[0][0] if message.counts else None
    return None


def _unknown_engine(
    sender: ids.RouterId,
    message: messages.Message,
) -> _Sends:
    """Deny admission to an engine that this router does not know."""
    if not isinstance(message, messages.Ask):
        return []
    denial = messages.Answer(
        message.ask,
        message.engine,
        messages.GrantState.DENIED,
        0,
        0,
    )
    return [messages.Send(sender, denial, messages.Priority.ADMISSION)]


def _batched(
    heir: ids.RouterId,
    handover: messages.Handover,
) -> typing.Iterator[messages.Send]:
    """Split a hand-over into messages of a few kilobytes."""
    hints = iter(handover.hints)
    while batch := tuple(itertools.islice(hints, _HINTS_PER_MESSAGE)):
        yield messages.Send(
            heir,
            messages.Handover(batch),
            messages.Priority.HANDOVER,
        )
