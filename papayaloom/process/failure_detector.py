"""Failure detector: probes, suspicion, refutation and gossip."""

import random
import typing

import msgspec

from papayaloom import ids, messages
from papayaloom.process import member_table, probing, suspicion
from papayaloom.process import view as view_module

_State = messages.MemberState
_Sends = list[messages.Send]
# Interval of direct probes to a suspect by each router that suspects it.
_SUSPECT_PROBE_S = 0.5
# A longer gap between two ticks means that this process was paused. Probe
# timeouts are then no evidence of failures of other members.
_PAUSE_THRESHOLD_S = 1.0
# A dead member that is still in the host list is probed once in this many
# probe periods, so that two halves of the fleet rejoin after a network
# partition.
_DEAD_PROBE_PERIODS = 3


class Cfg(msgspec.Struct, frozen=True):
    """Membership settings.

    :param period_s: interval between probes of random members.
    :param ack_timeout_s: wait for a direct ack before indirect probes are
        sent.
    :param indirect: number of members asked for an indirect probe.
    :param suspicion_s: suspicion timeout for up to 10 members; it grows with
        the logarithm of the number of members.
    :param confirm_s: time after which a dead member is confirmed gone.
    :param gossip_s: interval between gossip rounds while updates are queued.
    :param fanout: members that receive each gossip round.
    :param repeat_factor: transmissions of an update, as a multiple of
        log10(members + 1).
    :param updates: maximum number of updates in one message.
    :param sync_s: interval between anti-entropy exchanges of the whole view.
    :param forget_s: time after which a dead member is removed.
    """

    period_s: float = 1.0
    ack_timeout_s: float = 0.3
    indirect: int = 3
    suspicion_s: float = 3.0
    confirm_s: float = 30.0
    gossip_s: float = 0.25
    fanout: int = 2
    repeat_factor: float = 4.0
    updates: int = 8
    sync_s: float = 10.0
    forget_s: float = 3600.0


class _Schedule(msgspec.Struct):
    """Schedule of the periodic actions."""

    tick: float = 0
    probe: float = 0
    gossip: float = 0
    suspects: float = 0
    probe_count: int = 0


class FailureDetector:
    """Probes the members of a view and updates their state.

    :param head: returns the version and digest of this router's settings.
    """

    def __init__(
        self,
        cfg: Cfg,
        view: view_module.View,
        rng: random.Random,
        head: typing.Callable[[], messages.Digest],
    ) -> None:
        """Create a detector without pending probes."""
        self._view = view
        self._cfg = cfg
        self._rng = rng
        self._head = head
        self._probes = probing.Probes(rng)
        self._schedule = _Schedule()

    def configure(self, cfg: Cfg) -> None:
        """Apply new settings."""
        self._cfg = cfg
        self._view.news.repeat_factor = cfg.repeat_factor

    def merge_updates(
        self,
        updates: typing.Iterable[messages.Member],
        sender: ids.RouterId,
        now: float,
        *,
        is_copy: bool = False,
    ) -> _Sends:
        """Merge updates and probe some of the new suspects.

        :param is_copy: see :meth:`papayaloom.process.view.View.merge_all`.
        """
        return [
            send
            for suspect in self._view.merge_all(
                updates, sender, now, is_copy=is_copy
            )
            for send in self._ping(suspect, now, suspects_target=True)
        ]

    def tick(self, now: float) -> _Sends:
        """Send due probes and gossip, and update suspects."""
        if now - self._schedule.tick > _PAUSE_THRESHOLD_S:
            self._probes.clear()
            self._view.counts['pauses'] += 1
            _extend_suspicions(self._view.table, now - self._schedule.tick)
        self._schedule.tick = now
        sends = [*self._update_suspects(now), *self._gossip(now)]
        if now >= self._schedule.probe:
            jitter = self._rng.uniform(0.9, 1.1)
            self._schedule.probe = now + self._cfg.period_s * jitter
            sends += self._probe_next(now)
        return sends

    def handle_ping(
        self, sender: ids.RouterId, ping: messages.Ping, now: float
    ) -> _Sends:
        """Answer a probe with an ack."""
        sends = self.merge_updates(ping.updates, sender, now)
        me = self._view.me.router
        if ping.target != me:
            return sends
        ack = messages.Ack(
            ping.nonce,
            ping.origin,
            me,
            self._view.news.select(sender, self._cfg.updates),
            self._head(),
        )
        return [*sends, _send(sender, ack)]

    def handle_ack(
        self, sender: ids.RouterId, ack: messages.Ack, now: float
    ) -> _Sends:
        """Complete a probe, or forward the ack of an indirect probe."""
        sends = self.merge_updates(ack.updates, sender, now)
        if ack.origin != self._view.me.router:
            return [*sends, _send(ack.origin, ack)]
        self._probes.complete(ack.nonce, ack.target)
        return sends

    def handle_ping_request(
        self, sender: ids.RouterId, request: messages.PingRequest, now: float
    ) -> _Sends:
        """Probe a member on behalf of another member."""
        sends = self.merge_updates(request.updates, sender, now)
        ping = self._ping_message(request.target, request.nonce, request.origin)
        return [*sends, _send(request.target, ping)]

    def _probe_next(self, now: float) -> _Sends:
        me = self._view.me.router
        table = self._view.table
        candidates = {entry.member.router for entry in table.alive()}
        candidates |= {
            entry.member.router for entry in table.down() if not entry.known
        }
        candidates.discard(me)
        target = self._probes.next_target(candidates)
        sends = self._ping(target, now, suspects_target=True) if target else []
        self._schedule.probe_count += 1
        if self._schedule.probe_count % _DEAD_PROBE_PERIODS == 0:
            dead = self._view.unreachable()
            if dead:
                sends += self._ping(
                    self._rng.choice(dead), now, suspects_target=False
                )
        return sends

    def _ping(
        self, target: ids.RouterId, now: float, *, suspects_target: bool
    ) -> _Sends:
        nonce = self._probes.add(
            probing.Probe(
                target,
                now,
                now + self._cfg.ack_timeout_s,
                now + self._cfg.period_s,
                suspects_target,
                indirect=not suspects_target,
            )
        )
        ping = self._ping_message(target, nonce, self._view.me.router)
        return [_send(target, ping)]

    def _ping_message(
        self, target: ids.RouterId, nonce: int, origin: ids.RouterId
    ) -> messages.Ping:
        updates = self._view.news.select(target, self._cfg.updates)
        return messages.Ping(nonce, origin, target, updates, self._head())

    def _update_suspects(self, now: float) -> _Sends:
        """Send indirect probes, mark suspects and declare members dead."""
        sends = [
            send
            for nonce, probe in self._probes.mark_late(now)
            for send in self._probe_indirectly(nonce, probe)
        ]
        for probe in self._probes.pop_failed(now):
            if probe.suspects_target:
                self._suspect(probe.target, now)
        if now >= self._schedule.suspects:
            self._schedule.suspects = now + _SUSPECT_PROBE_S
            sends += self._probe_suspects(now)
        for entry in suspicion.expired_suspects(
            self._view.table, self._cfg.suspicion_s, now
        ):
            self._view.declare(entry, _State.DEAD, now)
        return sends

    def _probe_indirectly(self, nonce: int, probe: probing.Probe) -> _Sends:
        me = self._view.me.router
        helpers = [
            router for router in self._view.others() if router != probe.target
        ]
        request = messages.PingRequest(nonce, me, probe.target, ())
        count = min(self._cfg.indirect, len(helpers))
        retry = self._ping_message(probe.target, nonce, me)
        return [
            _send(probe.target, retry),
            *(
                _send(helper, request)
                for helper in self._rng.sample(helpers, count)
            ),
        ]

    def _suspect(self, router: ids.RouterId, now: float) -> None:
        entry = self._view.table.get(router)
        if entry is not None and entry.is_alive:
            self._view.counts['probes failed'] += 1
            self._view.declare(entry, _State.SUSPECT, now)
            self._schedule.suspects = now

    def _probe_suspects(self, now: float) -> _Sends:
        """Probe the members that this router itself suspects."""
        return [
            send
            for entry in self._view.table.suspects()
            if self._view.me.router in entry.confirmers
            for send in self._ping(
                entry.member.router, now, suspects_target=False
            )
        ]

    def _gossip(self, now: float) -> _Sends:
        if now < self._schedule.gossip or not self._view.news:
            return []
        self._schedule.gossip = now + self._cfg.gossip_s
        news, limit = self._view.news, self._cfg.updates
        return [
            _send(to, messages.Gossip(news.select(to, limit), self._head()))
            for to in self._view.random_members(self._cfg.fanout)
        ]


def _extend_suspicions(table: member_table.MemberTable, gap: float) -> None:
    """Extend suspicion timeouts by the time that this process paused."""
    for entry in table.suspects():
        entry.since += gap


def _send(to: ids.RouterId, message: messages.Message) -> messages.Send:
    return messages.Send(to, message, messages.Priority.MEMBERSHIP)
