"""Decision core of one router, without I/O.

The actor passes in messages, results of reads and the current time, and
performs the returned effects. Messages addressed to this router itself are not
sent; they are handled immediately.
"""

import collections
import random
import typing

import msgspec

from papayaloom import ids, messages
from papayaloom.ports import engine as engine_port
from papayaloom.ports import hosts
from papayaloom.process import (
    admission_client,
    chats,
    claims,
    configuration,
    current_settings,
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
from papayaloom.request import core_api
from papayaloom.version import snapshot

_MEMBERS_UPDATE_PERIOD_S = 0.5
_State = messages.MemberState
_LEDGER_MESSAGES = (messages.Claim, messages.Claimed, messages.Outcome)


class Dump(msgspec.Struct, frozen=True):
    """State of a router's decision core, for the status dump.

    :param faults: number of steps that raised an unexpected exception.
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
    """Decision core of one router.

    :param me: this router; its incarnation increases with every start.
    :param merge_records: called with encoded request records handed over by
        another router.
    """

    def __init__(
        self,
        me: messages.Member,
        current: current_settings.CurrentSettings,
        rng: random.Random,
        merge_records: typing.Callable[[tuple[bytes, ...]], object] = len,
    ) -> None:
        """Start as the only known member, with the current settings."""
        self.merge_records = merge_records
        settings = current.snapshot
        self.me = me.router
        self.faults = 0
        self.current = current
        self.members = membership.Membership(
            configuration.membership_cfg(settings),
            me,
            rng,
            current.head,
        )
        self.settings = dissemination.Dissemination(
            configuration.distribution_cfg(settings),
            me.router,
            current,
            self.members.alive,
            rng,
        )
        self.chats = chats.Chats(me.router, self, settings, rng)
        self.services = services.Services(settings, rng, me.zone)
        self.claims = claims.Claims(
            configuration.ledger_cfg(settings), me.router, rng
        )
        self.drain = drain.Drain(configuration.drain_cfg(settings))
        self._loads = load_gossip.LoadGossip(load_gossip.Cfg(), me.router, rng)
        self._region = me.region
        self._listed_routers: frozenset[ids.RouterId] | None = None
        self._hosts = hosts.HostList(())
        self._leaving_upstreams = leaving.LeavingUpstreams()
        self._hosts_updated_at: float = 0
        self._next_members_update = float('-inf')
        self._last_members_revision: tuple[int, float] = (-1, 0)
        self._has_non_alive_members = False
        self._routers: tuple[ids.RouterId, ...] = (me.router,)
        self._routers_of_all_regions: list[ids.RouterId] = [me.router]
        current.subscribe(self._configure)

    def routers(self) -> typing.Sequence[ids.RouterId]:
        """Return the alive routers of this region, and this router."""
        return self._routers

    def present(self) -> typing.Container[ids.RouterId]:
        """Return the known routers that are not confirmed gone."""
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
    ) -> admission_client.Effects:
        """Handle a message from another router."""
        return self._deliver_local(self._dispatch(sender, message, now), now)

    def tick(self, now: float, unix_ms: int) -> admission_client.Effects:
        """Run the periodic work; the router calls it every 0.1 s."""
        effects = self.chats.tick(now)
        effects.calls.append(self.claims.tick(now, unix_ms))
        effects.sends.extend(self.members.tick(now))
        effects.sends.extend(self.settings.tick(now))
        effects.sends.extend(self._update_members(now))
        effects.sends.extend(
            self._loads.tick(self.chats.models.values(), self._routers, now),
        )
        return self._deliver_local(effects, now)

    def update_host_list(
        self,
        listed: hosts.HostList,
        now: float,
    ) -> admission_client.Effects:
        """Apply the newest host list of the platform."""
        self._hosts = listed
        entries = [
            host for host in listed.hosts if host.kind is hosts.Kind.ENTRY
        ]
        self._listed_routers = frozenset(
            ids.RouterId(host.host) for host in entries
        )
        self._hosts_updated_at = now
        self.members.update_host_list((_member(host) for host in entries), now)
        return self._deliver_local(self._update_upstreams(now), now)

    def admit(
        self,
        request: core_api.AdmissionRequest,
        ticket: int,
        now: float,
    ) -> admission_client.Effects:
        """Start the search for an engine for a chat request."""
        return self._deliver_local(self.chats.admit(request, ticket, now), now)

    def abandon(self, ticket: int, now: float) -> admission_client.Effects:
        """Stop a search that no caller waits for any more."""
        return self._deliver_local(self.chats.abandon(ticket, now), now)

    def release(
        self,
        grant: core_api.Grant,
        outcome: core_api.Outcome,
        now: float,
    ) -> admission_client.Effects:
        """Return a grant after use."""
        sends = self.chats.release(grant, outcome, now)
        if outcome.leaving:
            sends.extend(self._mark_leaving(grant.engine, now))
        return self._deliver_local(admission_client.Effects(sends), now)

    def claim(
        self,
        request: core_api.ClaimRequest,
        ticket: int,
        now: float,
        unix_ms: int,
    ) -> admission_client.Effects:
        """Start to claim the idempotency key of a call."""
        claimed = self.claims.claim(
            request, ticket, self.current.snapshot, now, unix_ms
        )
        return self._deliver_local(
            admission_client.Effects(calls=[claimed]), now
        )

    def record(
        self,
        ticket: int,
        outcome: core_api.CallOutcome,
        now: float,
    ) -> admission_client.Effects:
        """Record the outcome of a granted call."""
        recorded = self.claims.record(ticket, outcome, now)
        return self._deliver_local(
            admission_client.Effects(calls=[recorded]), now
        )

    def handle_store_result(
        self,
        store_result: ledger.ledger_writer.CallResult,
        now: float,
    ) -> admission_client.Effects:
        """Handle the result of an operation of the key-value service."""
        effects = admission_client.Effects(
            calls=[self.claims.handle_result(store_result, now)]
        )
        return self._deliver_local(effects, now)

    def record_engine_state(
        self,
        engine: ids.EngineId,
        state: engine_port.State,
        events: engine_port.CacheEvents | None,
        taken: float,
        now: float,
    ) -> admission_client.Effects:
        """Handle the state that was read from an engine.

        :param events: cache events; None when only the state was read.
        :param taken: time at which the read began.
        """
        self.chats.record_engine_state(engine, state, events, taken, now)
        effects = admission_client.Effects()
        if state.leaving:
            effects.sends.extend(self._mark_leaving(engine, now))
        return self._deliver_local(effects, now)

    def record_failure(
        self, failure: core_api.Failure, now: float
    ) -> admission_client.Effects:
        """Handle a failed attempt: a leaving upstream or a crashed replica."""
        sends: list[messages.Send] = []
        if failure.leaving:
            sends.extend(self._mark_leaving(failure.upstream, now))
        is_service_target = failure.target.startswith('services/')
        if is_service_target and failure.end is core_api.AttemptEnd.CRASHED:
            suspected = self.chats.suspects.record_service_crash(
                failure.fingerprint, failure.upstream, now
            )
            sends.extend(
                suspects.broadcast(suspected, self._routers, self.me),
            )
        return self._deliver_local(admission_client.Effects(sends), now)

    def spend_retry(self, upstream: str, target: str, now: float) -> bool:
        """Spend one retry from the budgets of a target, if they allow it.

        :param target: settings branch of the service or model.
        """
        kind, _, name = target.partition('/')
        state: targets.ServiceState | targets.ModelState | None
        if kind == 'services':
            state = self.services.services.get(ids.ServiceId(name))
        else:
            state = self.chats.models.get(ids.ModelId(name))
        return state is not None and state.budgets.spend(upstream, now)

    def distribution_cfg(self) -> dissemination.Cfg:
        """Return the current configuration of settings distribution."""
        return configuration.distribution_cfg(self.current.snapshot)

    def fleet_view(self, deployment: str, boot: int) -> messages.FleetView:
        """Return the fleet view that is published to the local locator."""
        cfg = configuration.address_cfg(self.current.snapshot)
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
        """Return the state for the status dump."""
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
        self.members.configure(configuration.membership_cfg(settings))
        self.settings.configure(configuration.distribution_cfg(settings))
        self.chats.configure(settings)
        self.services.configure(settings)
        self.claims.ledger.configure(configuration.ledger_cfg(settings))
        self.drain.configure(configuration.drain_cfg(settings))

    def _dispatch(
        self,
        sender: ids.RouterId,
        message: messages.Message,
        now: float,
    ) -> admission_client.Effects:
        if isinstance(message, messages.UpstreamLeaving):
            if not self._leaving_upstreams.add(message.upstream, now):
                return admission_client.Effects()
            return self._update_upstreams(now)
        if isinstance(message, messages.RecordsHandover):
            self.merge_records(message.records)
            return admission_client.Effects()
        if isinstance(message, _LEDGER_MESSAGES):
            claimed = self.claims.handle(sender, message, now)
            return admission_client.Effects(calls=[claimed])
        effects = self.chats.handle(sender, message, now)
        if sender != self.me:
            effects.sends.extend(self.members.handle(sender, message, now))
            effects.sends.extend(self.settings.handle(sender, message, now))
        return effects

    def _deliver_local(
        self,
        effects: admission_client.Effects,
        now: float,
    ) -> admission_client.Effects:
        """Handle messages to this router; return the effects that remain."""
        remaining = admission_client.Effects([], effects.decided, effects.calls)
        pending_sends = collections.deque(effects.sends)
        for claimed in effects.calls:
            pending_sends.extend(claimed.sends)
        while pending_sends:
            send = pending_sends.popleft()
            if send.to != self.me:
                remaining.sends.append(send)
                continue
            more = self._dispatch(self.me, send.message, now)
            pending_sends.extend(more.sends)
            remaining.decided.extend(more.decided)
            remaining.calls.extend(more.calls)
            for call_effects in more.calls:
                pending_sends.extend(call_effects.sends)
        return remaining

    def _update_members(self, now: float) -> list[messages.Send]:
        """Apply the newest membership if it may have changed.

        A leaving router remains home and owner until it has handed over.
        """
        if now < self._next_members_update:
            return []
        self._next_members_update = now + _MEMBERS_UPDATE_PERIOD_S
        revision = (self.members.table.revision, self._hosts_updated_at)
        if (
            revision == self._last_members_revision
            and not self._has_non_alive_members
        ):
            return []
        self._last_members_revision = revision
        known = [
            entry
            for entry in self.members.table.entries.values()
            if entry.known and not entry.gone
        ]
        self._has_non_alive_members = not all(entry.is_alive for entry in known)
        members = [
            entry.member
            for entry in known
            if entry.member.region == self._region
        ]
        serving = {member.router for member in self.members.alive()}
        previous_routers = set(self._routers)
        self._routers = tuple(
            sorted(
                member.router
                for member in members
                if member.router in serving or member.router == self.me
            ),
        )
        self.chats.update_members(members, self._listed_routers, now)
        all_regions = sorted(serving | {self.me})
        if all_regions != self._routers_of_all_regions:
            # The ledger of calls is shared by all regions.
            self._routers_of_all_regions = all_regions
            self.claims.ledger.update_members(all_regions)
        # A restarted router has lost its hints and suspects.
        joined_routers = set(self._routers) - previous_routers - {self.me}
        hints = chats.hints_for(
            self.chats.models.values(), joined_routers, self.chats.home_of
        )
        return hints + self.chats.suspects.update_members(
            member
            for member in members
            if member.router in self._routers and member.router != self.me
        )

    def _update_upstreams(self, now: float) -> admission_client.Effects:
        leaving_names = self._leaving_upstreams.current(now)
        engines = targets.group_by_name(
            self._hosts, hosts.Kind.ENGINE, leaving_names
        )
        self.services.update(
            targets.group_by_name(
                self._hosts, hosts.Kind.SERVICE, leaving_names
            ),
        )
        return admission_client.Effects(self.chats.update_engines(engines, now))

    def _mark_leaving(self, name: str, now: float) -> list[messages.Send]:
        """Stop sending requests to an upstream and tell the other routers."""
        if not self._leaving_upstreams.add(name, now):
            return []
        announcement = messages.UpstreamLeaving(name, round(now * 1000))
        sends = suspects.broadcast(announcement, self._routers, self.me)
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
