"""Computes the orders that the holder of a lease sends to engines.

The desired state comes from the settings, the actual state from the engines.
These rules and assumptions protect against two concurrent holders:

- The lease in the store ends no earlier than its term after the holder sent the
  call that started the term. Clock rates of hosts differ by less than the
  margin allows.
- The holder checks the lease immediately before each send. Engines that ignore
  fencing tokens are safe if the order arrives within
  ``send_margin_s + takeover_wait_s`` of that check.
- Engines that check the token refuse an older one from the first order of the
  new holder until they restart. The new holder therefore first sends each of
  them an order that changes nothing but the token.
- Engines carry out an order id once per boot. The id is a function of the
  engine's boot, the order and the settings version that requires it, so a new
  holder reuses the id of its predecessor.
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
    orders_pacing,
    orders_plan,
    orders_version,
    store_calls,
)

_NO_MODEL = ids.ModelId('')


class Cfg(msgspec.Struct, frozen=True):
    """Configuration of orders.

    :param observe_s: seconds between reads of an engine's state.
    :param settle_s: seconds after which a missing reply is considered lost.
    :param rate_share: share of the weight store's rate that orders may use.
    """

    lease: orders_lease.Cfg = orders_lease.Cfg()
    observe_s: float = 5
    settle_s: float = 5
    rate_share: float = 0.5


Output = (
    store_calls.Call
    | orders_fleet.Observe
    | orders_pacing.ReadManifest
    | orders_fleet.SendOrder
)


class Counts(msgspec.Struct):
    """Counters since the start of the process."""

    sent: int = 0
    done: int = 0
    lost_replies: int = 0
    refused: int = 0
    withheld: int = 0


class Dump(msgspec.Struct, frozen=True):
    """State dump of the orders.

    :param blocked: for each engine whose next order is delayed, the reason.
    """

    lease: orders_lease.Dump
    settings_version: int
    engines: int
    pending: dict[str, str]
    blocked: dict[str, str]
    counts: Counts


class Controller:
    """Controller of one process; sends orders only while holding the lease.

    :param own_name: name of this process, unique for each start.
    """

    def __init__(self, cfg: Cfg, own_name: ids.HostId) -> None:
        """Initialise without settings or engines."""
        self.counts = Counts()
        self._cfg = cfg
        self._lease = orders_lease.Lease(cfg.lease, own_name)
        self._desired: orders_plan.DesiredModels = {}
        self._version = 0
        self._stored_version = orders_version.StoredVersion()
        self._fleet = orders_fleet.Fleet(cfg.lease.arrival_s)
        self._pacer = orders_pacing.LoadPacer()
        self._operations = itertools.count(1)
        self._blocked: dict[str, str] = {}

    def configure(
        self,
        cfg: Cfg,
        desired: typing.Iterable[orders_plan.DesiredModel],
        version: ids.SettingsVersion,
    ) -> None:
        """Apply the settings of a version; ignore an older version."""
        if version >= self._version:
            self._cfg = cfg
            self._version = version
            self._lease.configure(cfg.lease)
            self._fleet.arrival_s = cfg.lease.arrival_s
            self._desired = {target.model: target for target in desired}

    def update_engines(self, engines: typing.Iterable[ids.EngineId]) -> None:
        """Update the list of existing engines."""
        self._fleet.update(engines)

    def may_send(self, send: orders_fleet.SendOrder, now: float) -> bool:
        """Return whether an order may be sent now.

        If not, the order is discarded and planned again later.
        """
        current = send.order.fencing == self._lease.fencing
        if current and self._lease.may_send(now):
            return True
        self.counts.withheld += 1
        self._fleet.drop(send.engine, send.order.order)
        return False

    def handle_observation(
        self, name: ids.EngineId, observation: orders_plan.Observation | None
    ) -> None:
        """Handle an engine's state, ``None`` if the engine did not reply."""
        self.counts.done += self._fleet.observe(name, observation)

    def handle_manifest(
        self, read: orders_pacing.ReadManifest, found: weights.Manifest | None
    ) -> None:
        """Handle the manifest of weights, ``None`` for an unknown version."""
        self._pacer.record_manifest(read.model, read.version, found)

    def handle_reply(
        self,
        send: orders_fleet.SendOrder,
        reply: engine_port.OrderReply | None,
        now: float,
    ) -> None:
        """Handle the reply to an order, ``None`` if it was lost."""
        self.counts.lost_replies += reply is None
        self._fleet.handle_reply(send, now, is_lost=reply is None)

    def handle_refusal(
        self, send: orders_fleet.SendOrder, problem_type: str, now: float
    ) -> None:
        """Handle an engine's refusal of an order; the order did not run.

        :param problem_type: type of the problem document.
        """
        self.counts.refused += 1
        self._fleet.drop(send.engine, send.order.order)
        if problem_type == engine_port.STALE_FENCING:
            self._lease.give_up(now)

    def handle_result(
        self, call_result: store_calls.CallResult, now: float
    ) -> None:
        """Handle the result of a store call."""
        self._lease.handle_result(call_result, now)
        self._stored_version.handle_result(call_result)

    def tick(self, now: float) -> list[Output]:
        """Perform periodic work; call this every 250 ms."""
        outputs: list[Output] = list(
            self._lease.tick(now, next(self._operations))
        )
        if not self._lease.holds(now):
            self._stored_version.reset()
            self._fleet.reset()
            return outputs
        outputs += self._fleet.due_reads(now, self._cfg.observe_s)
        self._fleet.expire_replies(now, self._cfg.settle_s)
        if not self._lease.may_send(now):
            return outputs
        if not self._stored_version.allows(self._version):
            return outputs + self._stored_version.tick(
                self._version, next(self._operations)
            )
        return outputs + self._plan(now)

    def dump(self, now: float) -> Dump:
        """Return the state of the orders."""
        return Dump(
            self._lease.dump(now),
            self._version,
            len(self._fleet.observations),
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
        assignment = self._fleet.assign(self._desired)
        for name in sorted(self._fleet.observations):
            if name in self._fleet.pending:
                continue
            target = self._desired.get(assignment.get(name, _NO_MODEL))
            outputs += self._next_order(name, target, now)
        return outputs

    def _next_order(
        self,
        name: ids.EngineId,
        target: orders_plan.DesiredModel | None,
        now: float,
    ) -> list[Output]:
        observation = self._fleet.observations[name]
        if observation.read_at < self._lease.ready_at:
            self._blocked[name] = 'not read since the takeover'
            return []
        step = self._fencing_step(observation, target)
        if step is None and target is not None:
            step = orders_plan.next_step(target, observation.state)
        if step is None:
            return []
        settings_version = target.settings_version if target else 0
        send = self._fleet.prepare(
            name, settings_version, step, self._lease.fencing
        )
        if self._fleet.must_wait(send, now):
            self._blocked[name] = 'a lost order may still arrive'
            return []
        reason, outputs = self._blocking_reason(name, target, step, now)
        if reason:
            self._blocked[name] = reason
            return outputs
        if target and step.weights:
            share = self._cfg.rate_share
            self._pacer.record_load(target.model, step.weights, now, share)
        self.counts.sent += 1
        self._fleet.record_sent(send, step, now)
        return [send]

    def _fencing_step(
        self,
        observation: orders_plan.Observation,
        target: orders_plan.DesiredModel | None,
    ) -> orders_plan.Step | None:
        """Return an order that only updates the engine's fencing token."""
        current = self._desired.get(observation.state.model, target)
        checks = current is None or current.checks_fencing
        if not checks or observation.state.fencing >= self._lease.fencing:
            return None
        role = observation.state.role if target is None else target.role
        return orders_plan.Step('role', role, disrupts=False)

    def _blocking_reason(
        self,
        name: ids.EngineId,
        target: orders_plan.DesiredModel | None,
        step: orders_plan.Step,
        now: float,
    ) -> tuple[str, list[Output]]:
        if not step.disrupts:
            return '', []
        if not self._fleet.observations[name].healthy:
            return 'the engine is loading', []
        reason: str = ''
        outputs: list[Output] = []
        if target and step.weights:
            reason, reads = self._pacer.reason_to_wait(
                target.model, step.weights, now
            )
            outputs += reads
        if not reason and not self._fleet.may_disrupt(name, self._desired, now):
            reason = 'orders.capacity_floor'
        return reason, outputs
