"""Failure detection: probes, suspicion, refutation and gossip."""

import random
import typing

import msgspec

from papayaloom import ids, messages
from papayaloom.process import members, probing, suspicion
from papayaloom.process import view as view_module

_State = messages.MemberState
_Sends = list[messages.Send]
# A suspect gets a direct probe this often from each router that suspects it.
_SUSPECT_PROBE_S = 0.5
# A longer gap between two ticks means that the process was paused; its own
# timeouts say nothing about others then.
_PAUSE_S = 1.0
# Dead members that the host list still names are probed this seldom, so that
# two halves of the fleet find each other after a network partition.
_REVIVE_PERIODS = 3


class Cfg(msgspec.Struct, frozen=True):
    """Settings of membership.

    :param period_s: time between two probes of random members.
    :param ack_timeout_s: wait for a direct answer before indirect probes.
    :param indirect: how many members probe indirectly.
    :param suspicion_s: suspicion time at up to 10 members; it grows with the
        logarithm of the number of members.
    :param confirm_s: a member dead for longer than this is confirmed gone.
    :param gossip_s: time between two rounds of news, while there is news.
    :param fanout: members that each round of news goes to.
    :param repeat_factor: repeats of an update, times log10(members + 1).
    :param updates: most updates in one message.
    :param sync_s: time between two comparisons of the whole view.
    :param forget_s: a dead member is forgotten after this time.
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


class _Next(msgspec.Struct):
    """Times of the next periodic actions."""

    tick: float = 0
    probe: float = 0
    gossip: float = 0
    suspects: float = 0
    probed: int = 0


class Detector:
    """Probes the members of a view and judges them.

    :param head: returns the version and digest of this router's settings.
    """

    def __init__(
        self,
        cfg: Cfg,
        view: view_module.View,
        rng: random.Random,
        head: typing.Callable[[], messages.Digest],
    ) -> None:
        """Start without probes."""
        self._view = view
        self._cfg = cfg
        self._rng = rng
        self._head = head
        self._probes = probing.Probes(rng)
        self._next = _Next()

    def configure(self, cfg: Cfg) -> None:
        """Take new settings."""
        self._cfg = cfg
        self._view.news.repeat_factor = cfg.repeat_factor

    def take(
        self,
        updates: typing.Iterable[messages.Member],
        sender: ids.RouterId,
        now: float,
        *,
        is_copy: bool = False,
    ) -> _Sends:
        """Merge updates and probe some of the new suspects.

        :param is_copy: see :meth:`papayaloom.process.view.View.take`.
        """
        return [
            send
            for suspect in self._view.take(
                updates, sender, now, is_copy=is_copy
            )
            for send in self._ping(suspect, now, accuses=True)
        ]

    def tick(self, now: float) -> _Sends:
        """Probe, judge and spread."""
        if now - self._next.tick > _PAUSE_S:
            self._probes.clear()
            self._view.counts['pauses'] += 1
            _excuse(self._view.table, now - self._next.tick)
        self._next.tick = now
        sends = [*self._judge(now), *self._gossip(now)]
        if now >= self._next.probe:
            jitter = self._rng.uniform(0.9, 1.1)
            self._next.probe = now + self._cfg.period_s * jitter
            sends += self._regular(now)
        return sends

    def answer(
        self, sender: ids.RouterId, ping: messages.Ping, now: float
    ) -> _Sends:
        """Answer a probe."""
        sends = self.take(ping.updates, sender, now)
        me = self._view.me.router
        if ping.target != me:
            return sends
        ack = messages.Ack(
            ping.nonce,
            ping.origin,
            me,
            self._view.news.pick(sender, self._cfg.updates),
            self._head(),
        )
        return [*sends, _send(sender, ack)]

    def acked(
        self, sender: ids.RouterId, ack: messages.Ack, now: float
    ) -> _Sends:
        """Take the answer to a probe, or pass it on to its origin."""
        sends = self.take(ack.updates, sender, now)
        if ack.origin != self._view.me.router:
            return [*sends, _send(ack.origin, ack)]
        self._probes.answered(ack.nonce, ack.target)
        return sends

    def relay(
        self, sender: ids.RouterId, request: messages.PingRequest, now: float
    ) -> _Sends:
        """Probe a member for another one."""
        sends = self.take(request.updates, sender, now)
        ping = self._message(request.target, request.nonce, request.origin)
        return [*sends, _send(request.target, ping)]

    def _regular(self, now: float) -> _Sends:
        me = self._view.me.router
        table = self._view.table
        candidates = {entry.member.router for entry in table.alive()}
        candidates |= {
            entry.member.router for entry in table.down() if not entry.known
        }
        candidates.discard(me)
        target = self._probes.next_target(candidates)
        sends = self._ping(target, now, accuses=True) if target else []
        self._next.probed += 1
        if self._next.probed % _REVIVE_PERIODS == 0:
            dead = self._view.unreachable()
            if dead:
                sends += self._ping(self._rng.choice(dead), now, accuses=False)
        return sends

    def _ping(
        self, target: ids.RouterId, now: float, *, accuses: bool
    ) -> _Sends:
        nonce = self._probes.begin(
            probing.Probe(
                target,
                now,
                now + self._cfg.ack_timeout_s,
                now + self._cfg.period_s,
                accuses,
                indirect=not accuses,
            )
        )
        ping = self._message(target, nonce, self._view.me.router)
        return [_send(target, ping)]

    def _message(
        self, target: ids.RouterId, nonce: int, origin: ids.RouterId
    ) -> messages.Ping:
        updates = self._view.news.pick(target, self._cfg.updates)
        return messages.Ping(nonce, origin, target, updates, self._head())

    def _judge(self, now: float) -> _Sends:
        """Help late probes, suspect after failed ones, bury old suspects."""
        sends = [
            send
            for nonce, probe in self._probes.late(now)
            for send in self._help(nonce, probe)
        ]
        for probe in self._probes.failed(now):
            if probe.accuses:
                self._suspect(probe.target, now)
        if now >= self._next.suspects:
            self._next.suspects = now + _SUSPECT_PROBE_S
            sends += self._insist(now)
        for entry in suspicion.expired(
            self._view.table, self._cfg.suspicion_s, now
        ):
            self._view.judge(entry, _State.DEAD, now)
        return sends

    def _help(self, nonce: int, probe: probing.Probe) -> _Sends:
        me = self._view.me.router
        helpers = [
            router for router in self._view.others() if router != probe.target
        ]
        request = messages.PingRequest(nonce, me, probe.target, ())
        count = min(self._cfg.indirect, len(helpers))
        again = self._message(probe.target, nonce, me)
        return [
            _send(probe.target, again),
            *(
                _send(helper, request)
                for helper in self._rng.sample(helpers, count)
            ),
        ]

    def _suspect(self, router: ids.RouterId, now: float) -> None:
        entry = self._view.table.get(router)
        if entry is not None and entry.is_alive:
            self._view.counts['probes failed'] += 1
            self._view.judge(entry, _State.SUSPECT, now)
            self._next.suspects = now

    def _insist(self, now: float) -> _Sends:
        """Probe the members again that this router suspects itself."""
        return [
            send
            for entry in self._view.table.suspects()
            if self._view.me.router in entry.confirmers
            for send in self._ping(entry.member.router, now, accuses=False)
        ]

    def _gossip(self, now: float) -> _Sends:
        if now < self._next.gossip or not self._view.news:
            return []
        self._next.gossip = now + self._cfg.gossip_s
        news, limit = self._view.news, self._cfg.updates
        return [
            _send(to, messages.Gossip(news.pick(to, limit), self._head()))
            for to in self._view.random(self._cfg.fanout)
        ]


def _excuse(table: members.Table, gap: float) -> None:
    """Give suspects the time back that this process was paused."""
    for entry in table.suspects():
        entry.since += gap


def _send(to: ids.RouterId, message: messages.Message) -> messages.Send:
    return messages.Send(to, message, messages.Priority.MEMBERSHIP)
