"""Observed state of the engines and of the orders in progress."""

import typing

import msgspec

from papayaloom import ids
from papayaloom.ports import engine as engine_port
from papayaloom.process import orders_plan

# An engine is considered gone after this many consecutive failed reads.
_MAX_MISSED_READS = 3


class Observe(msgspec.Struct, frozen=True):
    """Requests a read of an engine's state and health."""

    engine: ids.EngineId


class SendOrder(msgspec.Struct, frozen=True):
    """Requests a send of an order.

    :meth:`orders.Controller.may_send` must be checked immediately before it.
    """

    engine: ids.EngineId
    order: engine_port.Order


class PendingOrder(msgspec.Struct):
    """Order that was sent but whose effect has not been observed yet.

    :param reply_at: when the reply arrived or was considered lost.
    """

    order: engine_port.Order
    boot: str
    step: orders_plan.Step
    sent_at: float
    reply_at: float = float('inf')
    is_lost: bool = False


class _LostOrder(msgspec.Struct, frozen=True):
    """Order without a reply; it may still arrive at the engine for a while."""

    order: ids.OrderId
    arrives_by: float


class Fleet:
    """Tracks the engines and the orders in progress.

    :param arrival_s: maximum time from a send until the order arrives.
    """

    def __init__(self, arrival_s: float) -> None:
        """Initialise without any engines."""
        self.arrival_s = arrival_s
        self.observations: dict[ids.EngineId, orders_plan.Observation] = {}
        self.pending: dict[ids.EngineId, PendingOrder] = {}
        self._engines: tuple[ids.EngineId, ...] = ()
        self._next_read_at: dict[ids.EngineId, float] = {}
        self._assigned: orders_plan.Assignment = {}
        self._attempts: dict[str, int] = {}
        self._missed_reads: dict[ids.EngineId, int] = {}
        self._lost_orders: dict[ids.EngineId, _LostOrder] = {}

    def update(self, engines: typing.Iterable[ids.EngineId]) -> None:
        """Update the list of existing engines."""
        self._engines = tuple(engines)
        for removed in set(self.observations) - set(self._engines):
            self.observations.pop(removed)
            self.pending.pop(removed, None)
            self._next_read_at.pop(removed, None)

    def reset(self) -> None:
        """Discard all state that is only valid while holding the lease."""
        self.observations.clear()
        self.pending.clear()
        self._next_read_at.clear()
        self._assigned = {}

    def due_reads(self, now: float, observe_s: float) -> list[Observe]:
        """Return the engine reads that are due."""
        due_engines = [
            name
            for name in self._engines
            if self._next_read_at.get(name, now) <= now
        ]
        self._next_read_at.update(dict.fromkeys(due_engines, now + observe_s))
        return [Observe(name) for name in due_engines]

    def observe(
        self, name: ids.EngineId, observation: orders_plan.Observation | None
    ) -> bool:
        """Record the result of a read, ``None`` if the engine did not reply.

        :returns: whether a pending order has taken effect.
        """
        if observation is None:
            self._record_missed_read(name)
            return False
        known = self.observations.get(name)
        is_old = known is not None and observation.read_at < known.read_at
        if is_old or name not in self._engines:
            return False
        self.observations[name] = observation
        self._missed_reads.pop(name, None)
        pending = self.pending.get(name)
        if pending is None or observation.read_at < pending.reply_at:
            return False
        return self._check_effect(name, pending, observation)

    def handle_reply(
        self, send: SendOrder, now: float, *, is_lost: bool
    ) -> None:
        """Record that the reply to an order arrived or was lost."""
        pending = self.pending.get(send.engine)
        if pending and pending.order.order == send.order.order:
            pending.reply_at = min(pending.reply_at, now)
            pending.is_lost = is_lost
            if not is_lost:
                self._lost_orders.pop(send.engine, None)
            self._next_read_at[send.engine] = now

    def expire_replies(self, now: float, settle_s: float) -> None:
        """Consider replies lost that did not arrive in time."""
        for pending in self.pending.values():
            if pending.sent_at + settle_s <= now < pending.reply_at:
                pending.reply_at = now
                pending.is_lost = True

    def drop(self, name: ids.EngineId, order: ids.OrderId) -> None:
        """Discard a pending order that did not run."""
        pending = self.pending.get(name)
        if pending and pending.order.order == order:
            self.pending.pop(name)

    def assign(
        self, desired: orders_plan.DesiredModels
    ) -> orders_plan.Assignment:
        """Assign a model to each observed engine."""
        self._assigned = orders_plan.assign(
            desired, self.observations, self._assigned
        )
        return self._assigned

    def may_disrupt(
        self, name: ids.EngineId, desired: orders_plan.DesiredModels, now: float
    ) -> bool:
        """Return whether the capacity floor lets an engine stop serving."""
        observation = self.observations[name]
        model = observation.state.model
        target = desired.get(model)
        if target is None or not observation.serving:
            return True
        serving = [
            other
            for other, observed in self.observations.items()
            if observed.serving and observed.state.model == model
        ]
        remaining = [
            other
            for other in serving
            if other != name and not self._is_disrupted(other, now)
        ]
        return len(remaining) >= target.min_serving

    def prepare(
        self,
        name: ids.EngineId,
        settings_version: int,
        step: orders_plan.Step,
        fencing: int,
    ) -> SendOrder:
        """Create an order with an id derived from its purpose and the boot."""
        boot = self.observations[name].state.boot
        text = f'{settings_version}/{name}/{boot}/{step.action}/{step.argument}'
        if step.action == 'role':
            text = f'{text}/{fencing}'
        order = engine_port.Order(
            ids.OrderId(f'{text}/{self._attempts.get(text, 0)}'),
            fencing,
            step.action,
            step.argument,
        )
        return SendOrder(name, order)

    def must_wait(self, send: SendOrder, now: float) -> bool:
        """Return whether a different, lost order may still arrive.

        The engine would carry out both. The lost order itself may be resent.
        """
        lost_order = self._lost_orders.get(send.engine)
        if lost_order is None or lost_order.arrives_by <= now:
            return False
        return lost_order.order != send.order.order

    def record_sent(
        self, send: SendOrder, step: orders_plan.Step, now: float
    ) -> None:
        """Record an order as sent."""
        boot = self.observations[send.engine].state.boot
        self.pending[send.engine] = PendingOrder(send.order, boot, step, now)

    def _record_missed_read(self, name: ids.EngineId) -> None:
        observation = self.observations.get(name)
        self._missed_reads[name] = self._missed_reads.get(name, 0) + 1
        if observation is not None:
            self.observations[name] = msgspec.structs.replace(
                observation, healthy=False
            )
            if self._missed_reads[name] >= _MAX_MISSED_READS:
                self.observations.pop(name)

    def _is_disrupted(self, name: ids.EngineId, now: float) -> bool:
        pending = self.pending.get(name)
        is_disrupting = pending is not None and pending.step.disrupts
        lost_order = self._lost_orders.get(name)
        return is_disrupting or (
            lost_order is not None and lost_order.arrives_by > now
        )

    def _check_effect(
        self,
        name: ids.EngineId,
        pending: PendingOrder,
        observation: orders_plan.Observation,
    ) -> bool:
        restarted = observation.state.boot != pending.boot
        if (
            not restarted
            and not observation.healthy
            and not observation.state.leaving
        ):
            return False
        self.pending.pop(name)
        if not restarted and _has_effect(pending, observation.state):
            return True
        if pending.is_lost:
            arrives_by = pending.sent_at + self.arrival_s
            self._lost_orders[name] = _LostOrder(
                pending.order.order, arrives_by
            )
        elif not restarted:
            # The order ended without effect; a retry needs a new id because
            # engines ignore ids that they have already carried out.
            text = pending.order.order.rpartition('/')[0]
            self._attempts[text] = self._attempts.get(text, 0) + 1
        return False


def _has_effect(pending: PendingOrder, state: engine_port.State) -> bool:
    argument = pending.step.argument
    effects: dict[str, bool] = {
        'load-model': f'{state.model}/{state.version}' == argument,
        'load-version': state.version == argument,
        'load-adapter': argument in state.adapters,
        'unload-adapter': argument not in state.adapters,
        'role': state.role == argument,
    }
    return effects[pending.step.action]
