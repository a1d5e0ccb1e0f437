import behave

from features.machines import deterministic, orders_machine
from papayaloom import clock, errors
from papayaloom.process import (
    orders,
    orders_fleet,
    orders_lease,
    orders_pacing,
    orders_plan,
    store_calls,
    store_io,
)
from papayaloom.standins import engine, kv, weights

TICK_S = 0.5
VERSIONS = {f'{model}/{v}': 20 for model in ('gecko', 'rite') for v in '12'}


class World:
    def __init__(self, count):
        self.clock = clock.VirtualClock(1000)
        self.kv = kv.MemoryKv(self.clock, sleep=self.clock.advance)
        self.weights = weights.WeightStore(self.clock, VERSIONS, 1)
        self.engines = {}
        for number in range(count):
            cfg = engine.Cfg(f'e{number}', 'gecko', load_s=10)
            self.engines[cfg.name] = engine.Engine(cfg, self.clock)
        self.fewest = count
        self.version = 1
        self.wants = [
            orders_plan.DesiredModel('gecko', count, '1', settings_version=1)
        ]
        self.holders = [self.new_holder('first')]
        self.sends = []
        self.is_held = False

    def new_holder(self, name):
        made = orders.Controller(orders.Cfg(observe_s=1), name)
        made.update_engines(tuple(self.engines))
        made.configure(orders.Cfg(observe_s=1), self.wants, self.version)
        return made

    def want(self, *wants):
        self.version += 1
        self.wants = [
            orders_plan.DesiredModel(*want, settings_version=self.version)
            for want in wants
        ]
        for holder in self.holders:
            holder.configure(orders.Cfg(observe_s=1), self.wants, self.version)

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            for holder in self.holders:
                for output in holder.tick(self.clock.monotonic()):
                    self.carry_out(holder, output)
            serving = [not one.loading for one in self.engines.values()]
            self.fewest = min(self.fewest, sum(serving))

    def carry_out(self, holder, output):
        now = self.clock.monotonic()
        if isinstance(output, orders_fleet.Observe):
            server = self.engines[output.engine]
            seen = orders_plan.Observation(
                server.state(), not server.loading, now
            )
            holder.handle_observation(output.engine, seen)
        elif isinstance(output, orders_pacing.ReadManifest):
            found = self.weights.manifest(output.model, output.version)
            holder.handle_manifest(output, found)
        elif isinstance(output, orders_fleet.SendOrder):
            if holder.may_send(output, now):
                self.sends.append((holder, output))
                if not self.is_held:
                    self.send(holder, output)
        else:
            holder.handle_result(store_io.execute(self.kv, output), now)

    def send(self, holder, output):
        now = self.clock.monotonic()
        try:
            reply = self.engines[output.engine].order(output.order)
        except errors.RefusedError as exc:
            holder.handle_refusal(output, exc.problem.type, now)
            return False
        holder.handle_reply(output, reply, now)
        return True

    def loads(self):
        return {
            name: [
                one.argument
                for one in server.executed_orders
                if one.action.startswith('load')
            ]
            for name, server in self.engines.items()
        }


@behave.given(
    "{count:d} engines and an orderer with loads of 20 seconds of the store's"
    ' rate',
)
def engines_and_orderer(context, count):
    context.world = World(count)
    context.world.run(30)


@behave.when('version {version} is asked for')
def ask_version(context, version):
    world = context.world
    world.want(('gecko', len(world.engines), version))
    context.asked_at = world.clock.monotonic()


@behave.when('version {version} is asked for, which the weight store lacks')
def ask_missing(context, version):
    ask_version(context, version)


@behave.when('version {version} is asked for after {seconds:d} seconds')
def ask_later(context, version, seconds):
    context.world.run(seconds)
    ask_version(context, version)


@behave.then(
    'all engines run version {version} after {count:d} loads at half the rate,'
    ' one each {seconds:d} seconds',
)
def rolled_out(context, version, count, seconds):
    world = context.world
    world.run((count - 1) * seconds - 5)
    assert list(world.loads().values()).count([version]) == count - 1
    world.run(30)
    states = [server.state().version for server in world.engines.values()]
    assert states == [version] * count
    assert list(world.loads().values()) == [[version]] * count


@behave.then('never fewer than {count:d} engines served')
def never_fewer(context, count):
    assert context.world.fewest == count


@behave.then(
    'all engines run version {version}, and engines that never changed got no'
    ' load',
)
def rolled_back(context, version):
    world = context.world
    world.run(200)
    states = [server.state().version for server in world.engines.values()]
    assert states == [version] * 5
    loads = sorted(world.loads().values())
    assert loads == [[], [], [], ['2', '1'], ['2', '1']], loads


@behave.then('no engine gets a load, and the dump names the reason')
def no_load(context):
    world = context.world
    world.run(100)
    assert not any(world.loads().values())
    blocked = world.holders[0].dump(world.clock.monotonic()).blocked
    known = {
        'the weight store has no such version',
        'the size of the weights is not known yet',
        'orders.capacity_floor',
    }
    assert len(blocked) == len(world.engines)
    assert set(blocked.values()) <= known


@behave.when(
    '2 replicas of another model with an adapter are asked for beside 3 of the'
    ' first',
)
def two_models(context):
    context.world.want(('gecko', 3, '1'), ('rite', 2, '2', ('sutra',)))


@behave.then(
    '3 engines serve the first model and 2 the other with its adapter',
)
def both_models(context):
    world = context.world
    world.run(200)
    states = [server.state() for server in world.engines.values()]
    served = sorted((one.model, one.version, one.adapters) for one in states)
    assert served == [('gecko', '1', ())] * 3 + [('rite', '2', ('sutra',))] * 2
    assert sum(map(len, world.loads().values())) == 4


@behave.when(
    'its send is paused for {seconds:d} s and another orderer takes over',
)
def paused_send(context, seconds):
    world = context.world
    world.is_held = True
    world.want(('gecko', 5, '2'))
    while len(world.sends) < 6:
        world.run(TICK_S)
    context.paused = world.sends[-1]
    world.is_held = False
    # The first orderer is paused from here on; the second takes over.
    world.holders = [world.new_holder('second')]
    world.want(('gecko', 5, '1'))
    world.run(seconds)


@behave.then('the paused order is {fate} by an engine that {checks} tokens')
def fate_of_paused(context, fate, checks):
    world = context.world
    holder, send = context.paused
    server = world.engines[send.engine]
    if checks == 'ignores':
        server.cfg = engine.Cfg(
            send.engine, 'gecko', load_s=10, checks_fencing=False
        )
    fences = [one.fencing for one in server.executed_orders]
    accepted = world.send(holder, send)
    expected = {
        'harmless before the takeover': (True, False),
        'refused': (False, True),
        'accepted, which the assumptions exclude': (True, True),
    }
    assert (accepted, max(fences) > send.order.fencing) == expected[fate]
    world.run(200)
    states = [one.state().version for one in world.engines.values()]
    assert states == ['1'] * 5


@behave.when(
    'an order waits until {seconds:d} seconds of the lease are left',
)
def order_waits(context, seconds):
    world = context.world
    holder = world.holders[0]
    world.want(('gecko', 5, '2'))
    waiting = []
    while not waiting:
        world.clock.advance(TICK_S)
        for output in holder.tick(world.clock.monotonic()):
            if isinstance(output, orders_fleet.SendOrder):
                waiting.append(output)
            else:
                world.carry_out(holder, output)
    now = world.clock.monotonic()
    left = holder.dump(now).lease.left_s
    world.clock.advance(left - seconds)
    context.allowed = holder.may_send(waiting[0], world.clock.monotonic())


@behave.then('it is withheld and given again later')
def withheld(context):
    world = context.world
    assert not context.allowed
    assert world.holders[0].counts.withheld == 1
    world.run(250)
    states = [one.state().version for one in world.engines.values()]
    assert states == ['2'] * 5


@behave.when('the reply to the acquisition of the lease is lost')
def lost_acquisition(context):
    world = context.world
    context.holder = orders_lease.Lease(orders_lease.Cfg(), 'second')
    world.clock.advance(30)
    for number in range(1, 6):
        world.clock.advance(1)
        now = world.clock.monotonic()
        for call in context.holder.tick(now, number):
            stored = store_io.execute(world.kv, call)
            if isinstance(call, store_calls.CompareAndSwap):
                stored = store_calls.Failed(number)
            context.holder.handle_result(stored, now)


@behave.then('the orderer holds the lease with the token of the store')
def holds(context):
    world = context.world
    assert context.holder.holds(world.clock.monotonic())
    entry = world.kv.get(orders_lease.KEY)
    assert context.holder.fencing == entry.revision


@behave.then(
    'the orders machine finds no broken property in {runs:d} runs of'
    ' {steps:d} steps',
)
def machine_clean(context, runs, steps):
    deterministic.run(orders_machine.OrdersMachine, steps, runs)


@behave.then(
    'the orders machine finds a broken property when an orderer {fault}',
)
def machine_finds(context, fault):
    assert deterministic.finds(
        orders_machine.OrdersMachine,
        40,
        1000,
        orders_machine.FAULTS[fault],
    )
