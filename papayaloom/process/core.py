"""Composition of the decision parts of one router; pure.

The actor hands in messages, reads and times, and carries out the effects.
Messages to this router itself never leave it: they are handled at once.
"""

import collections
import random
import typing

import msgspec

from papayaloom import ids, messages
from papayaloom.ports import engine as engine_port
from papayaloom.ports import hosts
from papayaloom.process import (
    admitting,
    chats,
    claims,
    configuration,
    current,
    dissemination,
    drain,
    leaving,
    ledger,
    load_gossip,
    membership,
    services,
    suspects,
    targets,
)
from papayaloom.request import desk
from papayaloom.version import snapshot

_MEMBERS_PERIOD_S = 0.5
_State = messages.MemberState
_LEDGER = (messages.Claim, messages.Claimed, messages.Outcome)


class Dump(msgspec.Struct, frozen=True):
    """State of a router's decision parts.

    :param faults: steps that ended with an unexpected exception.
    """

    router: str
    faults: int
    settings: dissemination.Dump
    members: membership.Dump
    chats: chats.Dump
    ledger: ledger.Dump
    services: dict[str, dict[str, object]]
    stop: drain.Dump


class Core:
    """Decision parts of one router.

    :param me: this router; its incarnation grows with every start.
    :param take_records: called with the encoded request records that another
        router hands over.
    """

    def __init__(
        self,
        me: messages.Member,
        held: current.Current,
        rng: random.Random,
        take_records: typing.Callable[[tuple[bytes, ...]], object] = len,
    ) -> None:
        """Start alone, with the settings held."""
        self.take_records = take_records
        settings = held.snapshot
        self.me = me.router
        self.faults = 0
        self.current = held
        self.members = membership.Membership(
            configuration.member(settings),
            me,
            rng,
            held.head,
        )
        self.settings = dissemination.Dissemination(
            configuration.distribution(settings),
            me.router,
            held,
            self.members.alive,
            rng,
        )
        self.chats = chats.Chats(me.router, self, settings, rng)
        self.services = services.Services(settings, rng, me.zone)
        self.claims = claims.Claims(
            configuration.ledgers(settings), me.router, rng
        )
        self.drain = drain.Drain(configuration.stop(settings))
        self._loads = load_gossip.LoadGossip(load_gossip.Cfg(), me.router, rng)
        self._region = me.region
        self._listed: frozenset[ids.RouterId] | None = None
        self._hosts = hosts.HostList(())
        self._leaving = leaving.Leaving()
        self._listed_at: float = 0
        self._members_due = float('-inf')
        self._seen_revision: tuple[int, float] = (-1, 0)
        self._has_dead = False
        self._routers: tuple[ids.RouterId, ...] = (me.router,)
        self._everywhere: list[ids.RouterId] = [me.router]
        held.subscribe(self._configure)

    def routers(self) -> typing.Sequence[ids.RouterId]:
        """Return the serving routers of this region."""
        return self._routers

    def present(self) -> typing.Container[ids.RouterId]:
        """Return the routers that are not confirmed gone."""
        return {
            router
            for router, entry in self.members.table.entries.items()
            if entry.known and not entry.gone
        }

    def receive(
        self,
        sender: ids.RouterId,
        message: messages.Message,
        now: float,
    ) -> admitting.Effects:
        """Handle a message of another router."""
        return self._settled(self._dispatch(sender, message, now), now)

    def tick(self, now: float, unix_ms: int) -> admitting.Effects:
        """Do the periodic work; call it every 50 ms."""
        effects = self.chats.tick(now)
        effects.calls.append(self.claims.tick(now, unix_ms))
        effects.sends.extend(self.members.tick(now))
        effects.sends.extend(self.settings.tick(now))
        effects.sends.extend(self._update_members(now))
        effects.sends.extend(
            self._loads.tick(self.chats.models.values(), self._routers, now),
        )
        return self._settled(effects, now)

    def host_list(
        self,
        listed: hosts.HostList,
        now: float,
    ) -> admitting.Effects:
        """Take the newest host list of the platform."""
        self._hosts = listed
        entries = [one for one in listed.hosts if one.kind is hosts.Kind.ENTRY]
        self._listed = frozenset(ids.RouterId(one.host) for one in entries)
        self._listed_at = now
        self.members.host_list((_member(one) for one in entries), now)
        return self._settled(self._update_upstreams(now), now)

    def admit(
        self,
        ask: desk.ChatAsk,
        ticket: int,
        now: float,
    ) -> admitting.Effects:
        """Start the search for an engine."""
        return self._settled(self.chats.admit(ask, ticket, now), now)

    def abandon(self, ticket: int, now: float) -> admitting.Effects:
        """Stop a search whose caller has gone away."""
        return self._settled(self.chats.abandon(ticket, now), now)

    def release(
        self,
        grant: desk.Grant,
        outcome: desk.Outcome,
        now: float,
    ) -> admitting.Effects:
        """Take a grant back."""
        sends = self.chats.release(grant, outcome, now)
        if outcome.leaving:
            sends.extend(self._note_leaving(grant.engine, now))
        return self._settled(admitting.Effects(sends), now)

    def claim(
        self,
        ask: desk.CallAsk,
        ticket: int,
        now: float,
        unix_ms: int,
    ) -> admitting.Effects:
        """Claim a call."""
        claimed = self.claims.claim(
            ask, ticket, self.current.snapshot, now, unix_ms
        )
        return self._settled(admitting.Effects(calls=[claimed]), now)

    def record(
        self,
        ticket: int,
        outcome: desk.CallOutcome,
        now: float,
    ) -> admitting.Effects:
        """Record the outcome of a granted call."""
        recorded = self.claims.record(ticket, outcome, now)
        return self._settled(admitting.Effects(calls=[recorded]), now)

    def stored(
        self,
        stored: ledger.ledger_writer.Stored,
        now: float,
    ) -> admitting.Effects:
        """Take the result of a call of the key-value service."""
        effects = admitting.Effects(calls=[self.claims.stored(stored, now)])
        return self._settled(effects, now)

    def engine_read(
        self,
        engine: ids.EngineId,
        state: engine_port.State,
        events: engine_port.CacheEvents | None,
        taken: float,
        now: float,
    ) -> admitting.Effects:
        """Take an engine's own report.

        :param events: nothing when only the state was read.
        :param taken: when the engine was asked.
        """
        self.chats.engine_read(engine, state, events, taken, now)
        effects = admitting.Effects()
        if state.leaving:
            effects.sends.extend(self._note_leaving(engine, now))
        return self._settled(effects, now)

    def failed(self, failure: desk.Failure, now: float) -> admitting.Effects:
        """Note an upstream that is leaving, or a service that crashed."""
        sends: list[messages.Send] = []
        if failure.leaving:
            sends.extend(self._note_leaving(failure.upstream, now))
        is_service = failure.target.startswith('services/')
        if is_service and failure.end is desk.End.CRASHED:
            suspected = self.chats.suspects.crashed_by(
                failure.fingerprint, failure.upstream, now
            )
            sends.extend(
                suspects.broadcast(suspected, self._routers, self.me),
            )
        return self._settled(admitting.Effects(sends), now)

    def spend_retry(self, upstream: str, target: str, now: float) -> bool:
        """Take one retry from the budgets of a target.

        :param target: branch of the service or model.
        """
        kind, _, name = target.partition('/')
        parts: targets.ServiceParts | targets.ModelParts | None
        if kind == 'services':
            parts = self.services.services.get(ids.ServiceId(name))
        else:
            parts = self.chats.models.get(ids.ModelId(name))
        return parts is not None and parts.budgets.spend(upstream, now)

    def distribution(self) -> dissemination.Cfg:
        """Return the settings of the distribution in force."""
        return configuration.distribution(self.current.snapshot)

    def view(self, deployment: str, boot: int) -> messages.FleetView:
        """Return the view that the locator on this host gets."""
        cfg = configuration.address(self.current.snapshot)
        return messages.FleetView(
            deployment,
            self.me,
            boot,
            self.members.table.revision,
            tuple(self.members.alive()),
            cfg.ttl_s,
            cfg.count,
        )

    def dump(self, now: float) -> Dump:
        """Return the state for the dump."""
        return Dump(
            self.me,
            self.faults,
            self.settings.dump(now),
            self.members.dump(now),
            self.chats.dump(now),
            self.claims.ledger.dump(),
            self.services.dump(now),
            self.drain.dump(now),
        )

    def _configure(self, settings: snapshot.Snapshot) -> None:
        self.members.configure(configuration.member(settings))
        self.settings.configure(configuration.distribution(settings))
        self.chats.configure(settings)
        self.services.configure(settings)
        self.claims.ledger.configure(configuration.ledgers(settings))
        self.drain.configure(configuration.stop(settings))

    def _dispatch(
        self,
        sender: ids.RouterId,
        message: messages.Message,
        now: float,
    ) -> admitting.Effects:
        if isinstance(message, messages.UpstreamLeaving):
            if not self._leaving.note(message.upstream, now):
                return admitting.Effects()
            return self._update_upstreams(now)
        if isinstance(message, messages.RecordsHandover):
            self.take_records(message.records)
            return admitting.Effects()
        if isinstance(message, _LEDGER):
            claimed = self.claims.handle(sender, message, now)
            return admitting.Effects(calls=[claimed])
        effects = self.chats.handle(sender, message, now)
        if sender != self.me:
            effects.sends.extend(self.members.handle(sender, message, now))
            effects.sends.extend(self.settings.handle(sender, message, now))
        return effects

    def _settled(
        self,
        effects: admitting.Effects,
        now: float,
    ) -> admitting.Effects:
        """Handle the messages to this router until only others are left."""
        settled = admitting.Effects([], effects.decided, effects.calls)
        waiting = collections.deque(effects.sends)
        for claimed in effects.calls:
            waiting.extend(claimed.sends)
        while waiting:
            send = waiting.popleft()
            if send.to != self.me:
                settled.sends.append(send)
                continue
            more = self._dispatch(self.me, send.message, now)
            waiting.extend(more.sends)
            settled.decided.extend(more.decided)
            settled.calls.extend(more.calls)
            for further in more.calls:
                waiting.extend(further.sends)
        return settled

    def _update_members(self, now: float) -> list[messages.Send]:
        """Take the newest membership when it may have changed.

        A leaving router stays home and owner until it has handed over.
        """
        if now < self._members_due:
            return []
        self._members_due = now + _MEMBERS_PERIOD_S
        revision = (self.members.table.revision, self._listed_at)
        if revision == self._seen_revision and not self._has_dead:
            return []
        self._seen_revision = revision
        known = [
            entry
            for entry in self.members.table.entries.values()
            if entry.known and not entry.gone
        ]
        self._has_dead = not all(entry.is_alive for entry in known)
        members = [
            entry.member
            for entry in known
            if entry.member.region == self._region
        ]
        serving = {one.router for one in self.members.alive()}
        before = set(self._routers)
        self._routers = tuple(
            sorted(
                one.router
                for one in members
                if one.router in serving or one.router == self.me
            ),
        )
        self.chats.update_members(members, self._listed, now)
        everywhere = sorted(serving | {self.me})
        if everywhere != self._everywhere:
            # Calls of all regions share one ledger.
            self._everywhere = everywhere
            self.claims.ledger.update_members(everywhere)
        # A router that comes back finds neither in its memory.
        joined = set(self._routers) - before - {self.me}
        hints = chats.hints_for(
            self.chats.models.values(), joined, self.chats.home_of
        )
        return hints + self.chats.suspects.update_members(
            one
            for one in members
            if one.router in self._routers and one.router != self.me
        )

    def _update_upstreams(self, now: float) -> admitting.Effects:
        names = self._leaving.names(now)
        engines = targets.by_name(self._hosts, hosts.Kind.ENGINE, names)
        self.services.update(
            targets.by_name(self._hosts, hosts.Kind.SERVICE, names),
        )
        return admitting.Effects(self.chats.update_engines(engines, now))

    def _note_leaving(self, name: str, now: float) -> list[messages.Send]:
        """Stop new work for an upstream and tell the other routers."""
        if not self._leaving.note(name, now):
            return []
        word = messages.UpstreamLeaving(name, round(now * 1000))
        sends = suspects.broadcast(word, self._routers, self.me)
        return sends + self._update_upstreams(now).sends


def _member(host: hosts.Host) -> messages.Member:
    leaving = host.state is hosts.HostState.LEAVING
    return messages.Member(
        ids.RouterId(host.host),
        f'tcp://{host.address}',
        '',
        host.zone,
        host.region,
        state=_State.LEAVING if leaving else _State.ALIVE,
    )
