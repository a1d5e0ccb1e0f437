"""What the holder knows of the engines and of the orders under way."""

import typing

import msgspec

from papayaloom import ids
from papayaloom.ports import engine as engine_port
from papayaloom.process import orders_plan

# Reads without an answer after which an engine counts as gone.
_MISSED_READS = 3


class Observe(msgspec.Struct, frozen=True):
    """Read an engine's state and health."""

    engine: ids.EngineId


class SendOrder(msgspec.Struct, frozen=True):
    """Send an order, if :meth:`Orders.may_send` is true right before it."""

    engine: ids.EngineId
    order: engine_port.Order


class Pending(msgspec.Struct):
    """An order that was sent and whose effect was not yet seen.

    :param settled_at: when the reply came, or counted as lost.
    """

    order: engine_port.Order
    boot: str
    step: orders_plan.Step
    sent_at: float
    settled_at: float = float('inf')
    is_lost: bool = False


class _Lost(msgspec.Struct, frozen=True):
    """An order without a reply, which may still arrive until some time."""

    order: ids.OrderId
    until: float


class Fleet:
    """What is known of the engines and of the orders under way.

    :param arrival_s: longest time from a send until the order arrives.
    """

    def __init__(self, arrival_s: float) -> None:
        """Start without engines."""
        self.arrival_s = arrival_s
        self.seen: dict[ids.EngineId, orders_plan.Seen] = {}
        self.pending: dict[ids.EngineId, Pending] = {}
        self._engines: tuple[ids.EngineId, ...] = ()
        self._observe_at: dict[ids.EngineId, float] = {}
        self._assigned: orders_plan.Assignment = {}
        self._attempts: dict[str, int] = {}
        self._missed: dict[ids.EngineId, int] = {}
        self._lost: dict[ids.EngineId, _Lost] = {}

    def update(self, engines: typing.Iterable[ids.EngineId]) -> None:
        """Take the engines that exist."""
        self._engines = tuple(engines)
        for gone in set(self.seen) - set(self._engines):
            self.seen.pop(gone)
            self.pending.pop(gone, None)
            self._observe_at.pop(gone, None)

    def reset(self) -> None:
        """Forget everything that only the holder may know."""
        self.seen.clear()
        self.pending.clear()
        self._observe_at.clear()
        self._assigned = {}

    def due(self, now: float, observe_s: float) -> list[Observe]:
        """Return the reads that are due."""
        late = [
            name
            for name in self._engines
            if self._observe_at.get(name, now) <= now
        ]
        self._observe_at.update(dict.fromkeys(late, now + observe_s))
        return [Observe(name) for name in late]

    def observe(
        self, name: ids.EngineId, seen: orders_plan.Seen | None
    ) -> bool:
        """Take a read.

        :returns: whether an order has had its effect.
        """
        if seen is None:
            self._miss(name)
            return False
        known = self.seen.get(name)
        is_old = known is not None and seen.asked_at < known.asked_at
        if is_old or name not in self._engines:
            return False
        self.seen[name] = seen
        self._missed.pop(name, None)
        sent = self.pending.get(name)
        if sent is None or seen.asked_at < sent.settled_at:
            return False
        return self._judge(name, sent, seen)

    def settle(self, send: SendOrder, now: float, *, is_lost: bool) -> None:
        """Note that a reply came or was lost."""
        sent = self.pending.get(send.engine)
        if sent and sent.order.order == send.order.order:
            sent.settled_at = min(sent.settled_at, now)
            sent.is_lost = is_lost
            if not is_lost:
                self._lost.pop(send.engine, None)
            self._observe_at[send.engine] = now

    def expire(self, now: float, settle_s: float) -> None:
        """Count replies that did not come in time as lost."""
        for sent in self.pending.values():
            if sent.sent_at + settle_s <= now < sent.settled_at:
                sent.settled_at = now
                sent.is_lost = True

    def forget(self, name: ids.EngineId, order: ids.OrderId) -> None:
        """Drop an order that did not run."""
        sent = self.pending.get(name)
        if sent and sent.order.order == order:
            self.pending.pop(name)

    def assign(self, desired: orders_plan.Models) -> orders_plan.Assignment:
        """Choose the model of each engine that was read."""
        self._assigned = orders_plan.assign(desired, self.seen, self._assigned)
        return self._assigned

    def may_disrupt(
        self, name: ids.EngineId, desired: orders_plan.Models, now: float
    ) -> bool:
        """Return whether an engine may stop serving its current model."""
        seen = self.seen[name]
        model = seen.state.model
        want = desired.get(model)
        if want is None or not seen.serving:
            return True
        serving = [
            other
            for other, found in self.seen.items()
            if found.serving and found.state.model == model
        ]
        left = [
            other
            for other in serving
            if other != name and not self._is_disrupted(other, now)
        ]
        return len(left) >= want.must_serve

    def prepare(
        self,
        name: ids.EngineId,
        stamp: int,
        step: orders_plan.Step,
        fencing: int,
    ) -> SendOrder:
        """Return an order with its id."""
        boot = self.seen[name].state.boot
        text = f'{stamp}/{name}/{boot}/{step.action}/{step.argument}'
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
        """Return whether another order may still arrive before this one.

        The engine would take both; the lost one itself may be sent again.
        """
        lost = self._lost.get(send.engine)
        if lost is None or lost.until <= now:
            return False
        return lost.order != send.order.order

    def begin(
        self, send: SendOrder, step: orders_plan.Step, now: float
    ) -> None:
        """Note an order that is being sent."""
        boot = self.seen[send.engine].state.boot
        self.pending[send.engine] = Pending(send.order, boot, step, now)

    def _miss(self, name: ids.EngineId) -> None:
        found = self.seen.get(name)
        self._missed[name] = self._missed.get(name, 0) + 1
        if found is not None:
            self.seen[name] = msgspec.structs.replace(found, healthy=False)
            if self._missed[name] >= _MISSED_READS:
                self.seen.pop(name)

    def _is_disrupted(self, name: ids.EngineId, now: float) -> bool:
        sent = self.pending.get(name)
        under_way = sent is not None and sent.step.disrupts
        lost = self._lost.get(name)
        return under_way or (lost is not None and lost.until > now)

    def _judge(
        self, name: ids.EngineId, sent: Pending, seen: orders_plan.Seen
    ) -> bool:
        restarted = seen.state.boot != sent.boot
        if not restarted and not seen.healthy and not seen.state.leaving:
            return False
        self.pending.pop(name)
        if not restarted and _has_effect(sent, seen.state):
            return True
        if sent.is_lost:
            until = sent.sent_at + self.arrival_s
            self._lost[name] = _Lost(sent.order.order, until)
        elif not restarted:
            # Accepted, ended and without effect: it needs another id.
            text = sent.order.order.rpartition('/')[0]
            self._attempts[text] = self._attempts.get(text, 0) + 1
        return False


def _has_effect(sent: Pending, state: engine_port.State) -> bool:
    argument = sent.step.argument
    effects: dict[str, bool] = {
        'load-model': f'{state.model}/{state.version}' == argument,
        'load-version': state.version == argument,
        'load-adapter': argument in state.adapters,
        'unload-adapter': argument not in state.adapters,
        'role': state.role == argument,
    }
    return effects[sent.step.action]
