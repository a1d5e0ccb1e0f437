"""Cells of the fault matrix for orders to engines."""

from papayaloom import ids
from papayaloom.bench import fault_testbed, lasting
from papayaloom.process import orders, orders_fleet, orders_plan

Fault = fault_testbed.Fault
_ENGINE_COUNT = 5
_ROLLOUT_TIMEOUT_S = 600


class _OrderSimulation(lasting.EngineFleet):
    """Engines and an orderer, with one fault at the first load order."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(_ENGINE_COUNT)
        self.fault = fault
        self.injected_at: float = 0
        self.delayed_orders: list[orders_fleet.SendOrder] = []
        self.partitioned: ids.EngineId | None = None

    @property
    def is_active(self) -> bool:
        """Whether the fault is in effect."""
        now = self.clock.monotonic()
        return (
            0 < self.injected_at
            and now < self.injected_at + fault_testbed.FAULT_DURATION_S
        )

    def end_fault(self) -> None:
        """Deliver delayed orders and end the fault when it expires."""
        now = self.clock.monotonic()
        if self.injected_at and now >= self.injected_at + 3:
            late = tuple(self.delayed_orders)
            self.delayed_orders.clear()
            # The fault is injected only once, so these orders are delivered.
            for send in late:
                self.deliver(send)
        if self.injected_at and not self.is_active:
            self.partitioned = None
            self.kv.faults.outage = False
            self.kv.faults.slow_s = 0
            for server in self.engines.values():
                server.faults.drop_after = 0

    def observe(self, name: ids.EngineId) -> orders_plan.Observation | None:
        """Return the state of an engine, or None if it is partitioned."""
        return None if name == self.partitioned else super().observe(name)

    def deliver(self, send: orders_fleet.SendOrder) -> None:
        """Send an order; the fault applies to the first load order."""
        if send.order.action == 'role' or self.injected_at:
            super().deliver(send)
            return
        self.injected_at = self.clock.monotonic()
        server = self.engines[send.engine]
        match self.fault:
            case Fault.LOST_BEFORE | Fault.PARTITIONED:
                server.faults.drop_before = 1
                self.partitioned = (
                    send.engine if self.fault is Fault.PARTITIONED else None
                )
            case Fault.LOST_AFTER:
                server.faults.drop_after = 1
            case Fault.PARTITIONED_ONE_WAY:
                server.faults.drop_after = -1
                self.partitioned = send.engine
            case Fault.DELAYED | Fault.PAUSED:
                self.delayed_orders.append(send)
                return
            case Fault.STORE_DOWN:
                self.kv.faults.outage = True
            case Fault.STORE_SLOW:
                self.kv.faults.slow_s = 2
        super().deliver(send)
        if self.fault is Fault.DUPLICATED:
            super().deliver(send)
        if self.fault is Fault.CRASHED:
            server.crash()
            self.replace_orderer()

    def replace_orderer(self) -> None:
        """Start a second orderer after the first one crashed."""
        self.orders = orders.Controller(orders.Cfg(), ids.HostId('second'))
        self.orders.update_engines(tuple(self.engines))
        self.set_desired_version(2)


def run(fault: Fault) -> str:
    """Roll out a version to five engines with a fault at the first load."""
    simulation = _OrderSimulation(fault)
    simulation.set_desired_version(1)
    for _ in range(60):
        simulation.tick()
    simulation.set_desired_version(2)
    started_at = simulation.clock.monotonic()
    while not simulation.is_rolled_out(2):
        simulation.end_fault()
        simulation.tick()
        if simulation.clock.monotonic() > started_at + _ROLLOUT_TIMEOUT_S:
            raise AssertionError(
                'the rollout did not finish in time; an order was lost'
            )
    elapsed_s = simulation.clock.monotonic() - started_at
    load_counts = [
        len(
            [
                order
                for order in server.executed_orders
                if order.action != 'role'
            ]
        )
        for server in simulation.engines.values()
    ]
    crashes = int(fault is Fault.CRASHED)
    if sum(load_counts) != _ENGINE_COUNT + crashes:
        raise AssertionError('an order was executed twice or never')
    if simulation.lowest_serving < _ENGINE_COUNT * 0.6:
        raise AssertionError(
            'fewer engines served than the capacity floor allows'
        )
    lost = simulation.orders.counts.lost_replies
    return f'all engines have the version after {elapsed_s:.0f} s, {lost} lost replies'
