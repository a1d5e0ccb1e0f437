"""State machine of orders: two holders, paused sends, engines and the store.

Three of the engines ignore fencing tokens. A send that is paused after its
check reaches such an engine within the assumed bound; one to an engine that
checks tokens may be paused for any time, but not across its restart.
"""

import contextlib
import itertools
from unittest import mock

from hypothesis import stateful
from hypothesis import strategies as st

from papayaloom import clock, errors
from papayaloom.ports import engine as port
from papayaloom.process import (
    orders,
    orders_fleet,
    orders_lease,
    orders_pacing,
    orders_plan,
    orders_version,
    store_io,
)
from papayaloom.standins import engine, kv, weights

COUNT = 5
FLOOR = 0.6
STEP_S = 0.5
CFG = orders.Cfg(observe_s=1, settle_s=2)
PAUSE_S = CFG.lease.send_margin_s + CFG.lease.wait_s - 2 * STEP_S
STORE_FAULTS = ('drop_before', 'drop_reply', 'late_writes', 'outage')
PAUSES = ('before', 'after', 'network', 'now')
LOADS = frozenset(('load-model', 'load-version'))
HOLDERS = st.sampled_from((0, 1))
SECONDS = st.sampled_from((0.5, 2, 5, 12, 30))
ENGINES = st.integers(0, COUNT - 1)


class Held:
    """A send that is paused, before or after its check."""

    def __init__(self, send, since, is_checked):
        self.send = send
        self.since = since
        self.is_checked = is_checked


class OrdersMachine(stateful.RuleBasedStateMachine):
    """Two processes that may hold the lease, and five engines."""

    def __init__(self):
        super().__init__()
        self.clock = clock.VirtualClock(1000)
        self.kv = kv.MemoryKv(self.clock, sleep=lambda seconds: None)
        self.weights = weights.WeightStore(
            self.clock, bytes_per_s=1000, default_size=0
        )
        self.engines = {
            f'e{number}': engine.Engine(
                engine.Cfg(
                    f'e{number}',
                    'gecko',
                    load_s=4,
                    checks_fencing=number % 2 == 1,
                ),
                self.clock,
            )
            for number in range(COUNT)
        }
        self.version = 1
        self.wanted = '1'
        self.names = itertools.count()
        self.holders = [self.new_holder(), self.new_holder()]
        self.lagging = set()
        self.delayed = []
        self.paused = {}
        self.pausing = {}
        self.carried = {name: [] for name in self.engines}
        self.run(20)

    def new_holder(self):
        made = orders.Controller(CFG, f'orderer-{next(self.names)}')
        made.update_engines(tuple(self.engines))
        self.configure(made)
        return made

    def configure(self, holder):
        # The token of engines that ignore it is never looked at.
        want = orders_plan.DesiredModel(
            'gecko', COUNT, self.wanted, (), 'serve', self.version, FLOOR
        )
        holder.configure(CFG, [want], self.version)

    def carry_out(self, holder, output):
        now = self.clock.monotonic()
        if isinstance(output, orders_fleet.Observe):
            server = self.engines[output.engine]
            state = server.state()
            seen = orders_plan.Observation(state, not server.loading, now)
            holder.handle_observation(output.engine, seen)
        elif isinstance(output, orders_pacing.ReadManifest):
            found = self.weights.manifest(output.model, output.version)
            holder.handle_manifest(output, found)
        else:
            holder.handle_result(store_io.execute(self.kv, output), now)

    def check_and_send(self, number, send, *, is_checked=False):
        holder = self.holders[number]
        if not is_checked:
            if not holder.may_send(send, self.clock.monotonic()):
                return
            when = self.pausing.pop(number, None)
            held = Held(send, self.clock.monotonic(), True)
            if when == 'after':
                self.paused[number] = held
                return
            if when == 'network':
                self.delayed.append((number, held))
                return
        now = self.clock.monotonic()
        server = self.engines[send.engine]
        before = len(server.executed_orders)
        try:
            reply = server.order(send.order)
        except errors.RefusedError as exc:
            holder.handle_refusal(send, exc.problem.type, now)
        except errors.UpstreamError:
            holder.handle_reply(send, None, now)
        else:
            holder.handle_reply(send, reply, now)
        if len(server.executed_orders) > before:
            self.note(send)

    def note(self, send):
        boot = self.engines[send.engine].state().boot
        stamp = int(send.order.order.split('/')[0])
        done = self.carried[send.engine]
        entry = (boot, send.order, stamp)
        same_boot = [one for one in done if one[0] == boot]
        newest = max((one[1].fencing for one in same_boot), default=0)
        assert send.order.fencing >= newest, 'an old holder gave an order'
        if send.order.action in LOADS:
            loads = [one for one in same_boot if one[1].action in LOADS]
            argument = loads[-1][1].argument if loads else None
            assert argument != send.order.argument, 'loaded twice'
            stamps = [one[2] for one in done if one[1].action in LOADS]
            assert stamp >= max(stamps, default=0), 'older settings'
        done.append(entry)

    def tick(self, number):
        holder = self.holders[number]
        for output in holder.tick(self.clock.monotonic()):
            if not isinstance(output, orders_fleet.SendOrder):
                self.carry_out(holder, output)
            elif number in self.paused:
                continue
            elif self.pausing.get(number) == 'before':
                self.pausing.pop(number)
                held = Held(output, self.clock.monotonic(), False)
                self.paused[number] = held
            else:
                self.check_and_send(number, output)

    @stateful.rule(seconds=SECONDS)
    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            now = self.clock.monotonic()
            while self.delayed and self.delayed[0][1].since <= now - 3:
                number, held = self.delayed.pop(0)
                self.check_and_send(number, held.send, is_checked=True)
            for number, held in tuple(self.paused.items()):
                server = held and self.engines[held.send.engine]
                bound = (
                    held and held.is_checked and not (server.cfg.checks_fencing)
                )
                if bound and now >= held.since + PAUSE_S:
                    self.resume(number)
            for number in range(2):
                if number not in self.paused:
                    self.tick(number)
            down = sum(one.loading for one in self.engines.values())
            assert COUNT - down >= COUNT * FLOOR, 'capacity floor'

    @stateful.rule(
        number=HOLDERS,
        when=st.sampled_from(PAUSES),
        seconds=SECONDS,
    )
    def pause(self, number, when, seconds):
        if when == 'now':
            self.paused.setdefault(number, None)
        elif number not in self.paused:
            self.pausing[number] = when
        self.run(seconds)

    @stateful.rule(number=HOLDERS)
    def resume(self, number):
        held = self.paused.pop(number, None)
        if held is not None:
            self.check_and_send(number, held.send, is_checked=held.is_checked)

    @stateful.rule(
        version=st.sampled_from('123'),
        lagging=st.sets(HOLDERS, max_size=1),
        seconds=SECONDS,
        when=st.sampled_from(('', 'before', 'after', 'network')),
    )
    def edit(self, version, lagging, seconds, when):
        if when:
            self.pausing = dict.fromkeys(set(range(2)) - set(self.paused), when)
        self.version += 1
        self.wanted = version
        self.lagging = set(lagging)
        self.update()
        self.run(seconds)

    def update(self):
        for number, holder in enumerate(self.holders):
            if number not in self.lagging:
                self.configure(holder)

    @stateful.rule(number=HOLDERS, version=st.sampled_from('123'))
    def fail_over(self, number, version):
        """Lets a holder whose settings lag take over from the other one."""
        self.edit(version, {1 - number}, 12, '')
        self.pause(number, 'now', 30)

    @stateful.rule(number=HOLDERS)
    def crash_holder(self, number):
        self.paused.pop(number, None)
        self.pausing.pop(number, None)
        self.lagging.discard(number)
        self.holders[number] = self.new_holder()

    @stateful.rule(which=ENGINES)
    def crash_engine(self, which):
        name = f'e{which}'
        self.engines[name].crash()
        for held in self.paused.values():
            # Assumed: no paused send outlives the restart of its engine.
            if held and held.send.engine == name:
                held.is_checked = False
        self.delayed = [
            one for one in self.delayed if one[1].send.engine != name
        ]

    @stateful.rule(
        which=ENGINES, fault=st.sampled_from(('drop_before', 'drop_after'))
    )
    def lose_order(self, which, fault):
        self.engines[f'e{which}'].faults.change(**{fault: 1})

    @stateful.rule(fault=st.sampled_from(STORE_FAULTS), seconds=SECONDS)
    def store_fault(self, fault, seconds):
        setattr(self.kv.faults, fault, True)
        self.run(seconds)
        self.kv.faults.outage = False

    def teardown(self):
        self.kv.faults.outage = False
        for number in tuple(self.paused):
            self.resume(number)
        self.pausing.clear()
        self.lagging.clear()
        self.update()
        for _ in range(4):
            self.run(30)
        for server in self.engines.values():
            state = server.state()
            assert not server.loading, 'an order was not ended'
            assert state.version == self.wanted, 'an order was lost'


def no_check():
    """Sends without a look at the lease."""
    return mock.patch.object(
        orders.Controller, 'may_send', lambda self, send, now: True
    )


def no_wait():
    """Gives orders right after taking the lease."""
    return mock.patch.object(orders_lease.Cfg, 'wait_s', 0)


@contextlib.contextmanager
def new_ids():
    """Gives each send an id of its own."""
    numbers = itertools.count()
    prepare = orders_fleet.Fleet.prepare

    def fresh(self, *args):
        made = prepare(self, *args)
        order = port.Order(
            f'{made.order.order}/{next(numbers)}',
            made.order.fencing,
            made.order.action,
            made.order.argument,
        )
        return orders_fleet.SendOrder(made.engine, order)

    never = mock.patch.object(
        orders_fleet.Fleet, 'must_wait', lambda self, send, now: False
    )
    with never, mock.patch.object(orders_fleet.Fleet, 'prepare', fresh):
        yield


def forget_lost():
    """Never looks again at an order whose reply was lost."""
    judge = orders_fleet.Fleet._check_effect

    def skip(self, name, sent, seen):
        return not sent.is_lost and judge(self, name, sent, seen)

    return mock.patch.object(orders_fleet.Fleet, '_check_effect', skip)


def no_floor():
    """Does not count orders under way against the floor."""
    return mock.patch.object(
        orders_fleet.Fleet, '_is_disrupted', lambda self, name, now: False
    )


def old_settings():
    """Gives orders by settings older than those of the predecessor."""
    return mock.patch.object(
        orders_version.StoredVersion, 'allows', lambda self, version: True
    )


FAULTS = {
    'sends without a look at the lease': no_check,
    'gives orders right after taking the lease': no_wait,
    'gives each send an id of its own': new_ids,
    'never looks again at an order whose reply was lost': forget_lost,
    'does not count orders under way against the floor': no_floor,
    'gives orders by older settings': old_settings,
}
