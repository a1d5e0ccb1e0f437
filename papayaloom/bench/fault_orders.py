"""Cells of the fault matrix about orders to engines."""

from papayaloom import ids
from papayaloom.bench import fault_world, lasting
from papayaloom.process import orders, orders_fleet, orders_plan

Fault = fault_world.Fault
_COUNT = 5
_LONGEST_S = 600


class _World(lasting.Engines):
    """Engines and an orderer, with one fault at the first load."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(_COUNT)
        self.fault = fault
        self.struck_at: float = 0
        self.delayed: list[orders_fleet.SendOrder] = []
        self.cut: ids.EngineId | None = None

    @property
    def active(self) -> bool:
        """Whether the fault lasts."""
        now = self.clock.monotonic()
        return 0 < self.struck_at and now < self.struck_at + fault_world.FAULT_S

    def heal(self) -> None:
        """End the fault when its time is over."""
        now = self.clock.monotonic()
        if self.struck_at and now >= self.struck_at + 3:
            late = tuple(self.delayed)
            self.delayed.clear()
            # The fault has struck, so this delivers them.
            for send in late:
                self.deliver(send)
        if self.struck_at and not self.active:
            self.cut = None
            self.kv.faults.outage = False
            self.kv.faults.slow_s = 0
            for server in self.engines.values():
                server.faults.drop_after = 0

    def observe(self, name: ids.EngineId) -> orders_plan.Observation | None:
        """Read an engine's state."""
        return None if name == self.cut else super().observe(name)

    def deliver(self, send: orders_fleet.SendOrder) -> None:
        """Send an order; the first load meets the fault."""
        if send.order.action == 'role' or self.struck_at:
            super().deliver(send)
            return
        self.struck_at = self.clock.monotonic()
        server = self.engines[send.engine]
        match self.fault:
            case Fault.LOST_BEFORE | Fault.CUT:
                server.faults.drop_before = 1
                self.cut = send.engine if self.fault is Fault.CUT else None
            case Fault.LOST_AFTER:
                server.faults.drop_after = 1
            case Fault.CUT_ONE_WAY:
                server.faults.drop_after = -1
                self.cut = send.engine
            case Fault.DELAYED | Fault.PAUSED:
                self.delayed.append(send)
                return
            case Fault.STORE_DOWN:
                self.kv.faults.outage = True
            case Fault.STORE_SLOW:
                self.kv.faults.slow_s = 2
        super().deliver(send)
        if self.fault is Fault.DOUBLED:
            super().deliver(send)
        if self.fault is Fault.CRASHED:
            server.crash()
            self.replace_orderer()

    def replace_orderer(self) -> None:
        """Start another orderer; the first one is gone."""
        self.orders = orders.Controller(orders.Cfg(), ids.HostId('second'))
        self.orders.update_engines(tuple(self.engines))
        self.want(2)


def run(fault: Fault) -> str:
    """Roll a version out over five engines with a fault at the first load."""
    world = _World(fault)
    world.want(1)
    for _ in range(60):
        world.tick()
    world.want(2)
    began = world.clock.monotonic()
    while not world.done(2):
        world.heal()
        world.tick()
        if world.clock.monotonic() > began + _LONGEST_S:
            raise AssertionError('an order was lost')
    taken = world.clock.monotonic() - began
    loads = [
        len([one for one in server.carried_out if one.action != 'role'])
        for server in world.engines.values()
    ]
    crashes = int(fault is Fault.CRASHED)
    if sum(loads) != _COUNT + crashes:
        raise AssertionError('an order was carried out twice')
    if world.fewest < _COUNT * 0.6:
        raise AssertionError('the capacity floor was broken')
    lost = world.orders.counts.lost_replies
    return (
        f'all engines have the version after {taken:.0f} s, {lost} lost replies'
    )
