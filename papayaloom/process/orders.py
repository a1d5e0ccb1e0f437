"""Orders to engines, given by the one holder of a lease.

The desired state comes from the settings, the actual state from the engines.
What protects against two holders, and the assumptions behind it:

- The store's lease ends no earlier than its term after the holder sent the
  call that started it, and clocks of hosts run equally fast within the margin.
- The holder checks the lease right before each send. Engines that ignore
  fencing tokens are safe when the order reaches them within
  ``send_margin_s + takeover_wait_s`` of that check.
- Engines that check the token refuse an older one at any later time, from the
  first order of the new holder until they restart; the new holder therefore
  gives each of them a harmless order first.
- Engines carry out an order id once per boot. The id is a function of the
  engine's boot, the order and the settings version that asked for it, so a
  new holder repeats the id of its predecessor.
"""

import itertools
import typing

import msgspec

from papayaloom import ids
from papayaloom.ports import engine as engine_port
from papayaloom.ports import weights
from papayaloom.process import (
    orders_fleet,
    orders_lease,
    orders_pace,
    orders_plan,
    orders_written,
    store_calls,
)

_NO_MODEL = ids.ModelId('')


class Cfg(msgspec.Struct, frozen=True):
    """Settings of orders.

    :param observe_s: seconds between two reads of an engine's state.
    :param settle_s: age at which a missing reply counts as lost.
    :param rate_share: share of the weight store's rate that orders may use.
    """

    lease: orders_lease.Cfg = orders_lease.Cfg()
    observe_s: float = 5
    settle_s: float = 5
    rate_share: float = 0.5


Output = (
    store_calls.Call
    | orders_fleet.Observe
    | orders_pace.ReadManifest
    | orders_fleet.SendOrder
)


class Counts(msgspec.Struct):
    """What happened since the start."""

    sent: int = 0
    done: int = 0
    lost_replies: int = 0
    refused: int = 0
    withheld: int = 0


class Dump(msgspec.Struct, frozen=True):
    """State of the orders for the dump.

    :param blocked: why an engine that needs an order gets none now.
    """

    lease: orders_lease.Dump
    settings_version: int
    engines: int
    pending: dict[str, str]
    blocked: dict[str, str]
    counts: Counts


class Orders:
    """Orders of one process, which may hold the lease or not.

    :param me: name of this process, unique for each start.
    """

    def __init__(self, cfg: Cfg, me: ids.HostId) -> None:
        """Start without settings and engines."""
        self.counts = Counts()
        self._cfg = cfg
        self._lease = orders_lease.Lease(cfg.lease, me)
        self._desired: orders_plan.Models = {}
        self._version = 0
        self._written = orders_written.Written()
        self._fleet = orders_fleet.Fleet(cfg.lease.arrival_s)
        self._pace = orders_pace.Pace()
        self._operations = itertools.count(1)
        self._blocked: dict[str, str] = {}

    def configure(
        self,
        cfg: Cfg,
        desired: typing.Iterable[orders_plan.Desired],
        version: ids.SettingsVersion,
    ) -> None:
        """Take the settings of a version; an older one is ignored."""
        if version >= self._version:
            self._cfg = cfg
            self._version = version
            self._lease.configure(cfg.lease)
            self._fleet.arrival_s = cfg.lease.arrival_s
            self._desired = {want.model: want for want in desired}

    def update_engines(self, engines: typing.Iterable[ids.EngineId]) -> None:
        """Take the engines that exist."""
        self._fleet.update(engines)

    def may_send(self, send: orders_fleet.SendOrder, now: float) -> bool:
        """Return whether an order may be sent at this moment.

        An order that is withheld is planned again later.
        """
        current = send.order.fencing == self._lease.fencing
        if current and self._lease.may_send(now):
            return True
        self.counts.withheld += 1
        self._fleet.forget(send.engine, send.order.order)
        return False

    def observed(
        self, name: ids.EngineId, seen: orders_plan.Seen | None
    ) -> None:
        """Take an engine's state, or nothing when it did not answer."""
        self.counts.done += self._fleet.observe(name, seen)

    def manifest(
        self, read: orders_pace.ReadManifest, found: weights.Manifest | None
    ) -> None:
        """Take the size of weights, or nothing for an unknown version."""
        self._pace.learn(read.model, read.version, found)

    def ordered(
        self,
        send: orders_fleet.SendOrder,
        reply: engine_port.OrderReply | None,
        now: float,
    ) -> None:
        """Take the reply to an order, or nothing when it was lost."""
        self.counts.lost_replies += reply is None
        self._fleet.settle(send, now, is_lost=reply is None)

    def refused(
        self, send: orders_fleet.SendOrder, kind: str, now: float
    ) -> None:
        """Take an engine's refusal of an order, which did not run.

        :param kind: type of the problem document.
        """
        self.counts.refused += 1
        self._fleet.forget(send.engine, send.order.order)
        if kind == engine_port.OLD_FENCING:
            self._lease.lose(now)

    def stored(self, call_result: store_calls.Stored, now: float) -> None:
        """Take the result of a store call."""
        self._lease.stored(call_result, now)
        self._written.stored(call_result)

    def tick(self, now: float) -> list[Output]:
        """Do what is due; meant to be called every 250 ms."""
        outputs: list[Output] = list(
            self._lease.tick(now, next(self._operations))
        )
        if not self._lease.holds(now):
            self._written.reset()
            self._fleet.reset()
            return outputs
        outputs += self._fleet.due(now, self._cfg.observe_s)
        self._fleet.expire(now, self._cfg.settle_s)
        if not self._lease.may_send(now):
            return outputs
        if not self._written.allows(self._version):
            return outputs + self._written.tick(
                self._version, next(self._operations)
            )
        return outputs + self._plan(now)

    def dump(self, now: float) -> Dump:
        """Return the state of the orders."""
        return Dump(
            self._lease.dump(now),
            self._version,
            len(self._fleet.seen),
            {
                str(name): f'{sent.step.action} {sent.step.argument}'
                for name, sent in self._fleet.pending.items()
            },
            dict(self._blocked),
            msgspec.structs.replace(self.counts),
        )

    def _plan(self, now: float) -> list[Output]:
        self._blocked = {}
        outputs: list[Output] = []
        chosen = self._fleet.assign(self._desired)
        for name in sorted(self._fleet.seen):
            if name in self._fleet.pending:
                continue
            want = self._desired.get(chosen.get(name, _NO_MODEL))
            outputs += self._order(name, want, now)
        return outputs

    def _order(
        self, name: ids.EngineId, want: orders_plan.Desired | None, now: float
    ) -> list[Output]:
        seen = self._fleet.seen[name]
        if seen.asked_at < self._lease.ready_at:
            self._blocked[name] = 'not read since the takeover'
            return []
        step = self._fence(seen, want)
        if step is None and want is not None:
            step = orders_plan.next_step(want, seen.state)
        if step is None:
            return []
        stamp = want.stamp if want else 0
        send = self._fleet.prepare(name, stamp, step, self._lease.fencing)
        if self._fleet.must_wait(send, now):
            self._blocked[name] = 'a lost order may still arrive'
            return []
        reason, outputs = self._obstacle(name, want, step, now)
        if reason:
            self._blocked[name] = reason
            return outputs
        if want and step.weights:
            share = self._cfg.rate_share
            self._pace.start(want.model, step.weights, now, share)
        self.counts.sent += 1
        self._fleet.begin(send, step, now)
        return [send]

    def _fence(
        self, seen: orders_plan.Seen, want: orders_plan.Desired | None
    ) -> orders_plan.Step | None:
        """Return an order that changes nothing but the engine's token."""
        current = self._desired.get(seen.state.model, want)
        checks = current is None or current.checks_fencing
        if not checks or seen.state.fencing >= self._lease.fencing:
            return None
        role = seen.state.role if want is None else want.role
        return orders_plan.Step('role', role, disrupts=False)

    def _obstacle(
        self,
        name: ids.EngineId,
        want: orders_plan.Desired | None,
        step: orders_plan.Step,
        now: float,
    ) -> tuple[str, list[Output]]:
        if not step.disrupts:
            return '', []
        if not self._fleet.seen[name].healthy:
            return 'the engine is loading', []
        reason: str = ''
        outputs: list[Output] = []
        if want and step.weights:
            reason, reads = self._pace.obstacle(want.model, step.weights, now)
            outputs += reads
        if not reason and not self._fleet.may_disrupt(name, self._desired, now):
            reason = 'orders.capacity_floor'
        return reason, outputs
