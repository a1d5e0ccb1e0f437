"""State machine of membership; the oracle is the set of running routers.

Guards against false deaths by an isolated router, old incarnations that
revive, and views that stay different.
"""

import contextlib
import unittest.mock

import msgspec
from hypothesis import stateful
from hypothesis import strategies as st

from features.machines import deterministic
from papayaloom import messages
from papayaloom.bench import fleet_simulation
from papayaloom.process import member_table, suspicion

SIZE = 5
SETTLE_S = 60
NAMES = [
    fleet_simulation.make_member(number, SIZE).router for number in range(SIZE)
]
NAME = st.sampled_from(NAMES)


class Fleet(fleet_simulation.Fleet):
    """Fleet that knows who was isolated, and keeps old packets."""

    def __init__(self, seed):
        self.old = []
        self.isolated = None
        self.wrong = []
        super().__init__(SIZE, 0.02, seed)
        self.is_blocked = lambda a, b: self.isolated in {a, b}

    def start(self, me):
        router = super().start(me)
        router.membership.subscribe(
            lambda changed: self.note(me.router, changed)
        )
        return router

    def note(self, observer, changed):
        """Remember the death of a running router, by whom it was believed."""
        victim = self.routers.get(changed.router)
        if victim and changed.state is messages.MemberState.DEAD:
            if changed.incarnation >= victim.me.incarnation:
                self.wrong.append((observer, changed.router))

    def deliver(self, sender, packets):
        super().deliver(sender, packets)
        self.old += [(sender.me.router, packet) for packet in packets[:1]]
        del self.old[:-200]


class Machine(stateful.RuleBasedStateMachine):
    """Crashes, restarts and isolates routers, one at a time isolated."""

    @stateful.initialize(seed=st.integers(0, 9))
    def begin(self, seed):
        self.fleet = Fleet(seed)
        self.incarnation = 1_700_000_000
        self.ever_isolated = set()
        self.fleet.run(2)

    @stateful.rule(name=NAME)
    def crash(self, name):
        if name in self.fleet.routers and len(self.fleet.routers) > 3:
            self.fleet.crash(name)
            self.fleet.run(self.fleet.now + 12)

    @stateful.rule(name=NAME)
    def restart(self, name):
        if name not in self.fleet.routers:
            self.incarnation += 1000
            me = fleet_simulation.make_member(NAMES.index(name), SIZE)
            self.fleet.start(
                msgspec.structs.replace(me, incarnation=self.incarnation)
            )
            self.fleet.run(self.fleet.now + 3)

    @stateful.rule(name=NAME)
    def isolate(self, name):
        """Cut one router off; routers that it has not met stay untouched."""
        if name in self.fleet.routers and len(self.fleet.routers) > 3:
            self.ever_isolated.add(name)
            self.fleet.isolated = name
            self.fleet.run(self.fleet.now + 20)
            self.fleet.isolated = None
            self.fleet.run(self.fleet.now + 10)

    @stateful.rule(index=st.integers(0, 199))
    def repeat_old_updates(self, index):
        """Hand the updates of an old message to everybody once more."""
        if index >= len(self.fleet.old):
            return
        sender, packet = self.fleet.old[index]
        receiver = self.fleet.routers.get(packet.to)
        if receiver is None:
            return
        receiver.codec.forget(sender)
        with contextlib.suppress(Exception):
            message = receiver.codec.open(packet.content).message
            updates = getattr(message, 'updates', ())
            for router in self.fleet.routers.values():
                gossip = messages.Gossip(updates, router.current.head())
                router.membership.handle(sender, gossip, self.fleet.now)

    @stateful.rule()
    def wait(self):
        self.fleet.run(self.fleet.now + 5)

    @stateful.invariant()
    def no_false_death(self):
        if not hasattr(self, 'fleet'):
            return
        wrong = [
            pair
            for pair in self.fleet.wrong
            if not self.ever_isolated & set(pair)
        ]
        assert not wrong, wrong

    def teardown(self):
        if not hasattr(self, 'fleet'):
            return
        self.fleet.run(self.fleet.now + SETTLE_S)
        running = set(self.fleet.routers)
        for name, router in self.fleet.routers.items():
            alive = {one.router for one in router.membership.alive()}
            assert alive == running, f'{name} has {alive}, not {running}'


FAULTS = {
    'deaths that are taken on hearsay': (
        suspicion,
        'downgrade_death',
        lambda table, update, sender: [update],
    ),
    'old incarnations that replace new ones': (
        member_table,
        '_is_newer',
        lambda update, known: update != known,
    ),
}


def run(fault=None, examples=12, steps=10):
    """Run the machine, with a deliberate fault if one is named."""
    patch = contextlib.nullcontext()
    if fault:
        patch = unittest.mock.patch.object(*FAULTS[fault])
    with patch:
        deterministic.run_fixed(
            Machine,
            examples,
            steps,
            print_blob=False,
            report_multiple_bugs=False,
        )
