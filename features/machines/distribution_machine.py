"""State machine of the digest exchange; the oracle is the log and a version.

Guards against a version that goes back, against a state that the store never
had, and against routers that stay behind.
"""

import contextlib
import random
import unittest.mock

from hypothesis import stateful
from hypothesis import strategies as st

from features.machines import deterministic
from papayaloom import errors, messages
from papayaloom.bench import fleet_simulation
from papayaloom.process import current_settings, dissemination
from papayaloom.version import change, snapshot

SIZE = 4
MEMBERS = [fleet_simulation.make_member(number, SIZE) for number in range(SIZE)]
NUMBER = st.integers(0, SIZE - 1)
# Small enough for a log that has forgotten changes, and for several chunks.
CFG = dissemination.Cfg(chunk_bytes=64, kept_bytes=400)


class Router:
    """One router without a network."""

    def __init__(self, number):
        self.current = current_settings.CurrentSettings({})
        self.parts = dissemination.Dissemination(
            CFG,
            MEMBERS[number].router,
            self.current,
            lambda: MEMBERS,
            random.Random(number),
        )


class Machine(stateful.RuleBasedStateMachine):
    """Delivers, repeats and loses messages in any order."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = fleet_simulation.Store()
        self.states = [snapshot.empty({})]
        self.routers = [Router(number) for number in range(SIZE)]
        self.floor = [0] * SIZE
        self.pool = []
        for router in self.routers:
            router.parts.apply_from_store((), self.now)

    def post(self, number, sends):
        sender = MEMBERS[number].router
        self.pool += [(sender, send) for send in sends]
        del self.pool[:-60]

    @stateful.rule()
    def edit(self):
        self.store.commit(self.now)
        delta = change.decode_delta(self.store.records[-1])
        self.states.append(self.states[-1].apply(delta))

    @stateful.rule(
        number=NUMBER, start=st.integers(0, 30), count=st.integers(1, 4)
    )
    def watch_event(self, number, start, count):
        records = self.store.records[start : start + count]
        self.post(
            number,
            self.routers[number].parts.apply_from_store(records, self.now),
        )

    @stateful.rule(number=NUMBER, version=st.integers(0, 30))
    def full_state_of_the_store(self, number, version):
        content = self.states[min(version, len(self.states) - 1)].encode()
        self.routers[number].parts.apply_full_from_store(content, self.now)

    @stateful.rule(number=NUMBER, other=NUMBER)
    def gossip(self, number, other):
        head = self.routers[other].current.head()
        self.hand(number, MEMBERS[other].router, messages.Gossip((), head))

    @stateful.rule(index=st.integers(0, 59), keep=st.booleans())
    def deliver(self, index, keep):
        if index < len(self.pool):
            sender, send = (self.pool.__getitem__ if keep else self.pool.pop)(
                index
            )
            number = [one.router for one in MEMBERS].index(send.to)
            self.hand(number, sender, send.message)

    @stateful.rule(number=NUMBER)
    def lie(self, number):
        """Hand over a change that does not follow from the history."""
        head = self.routers[number].current.head()
        delta = change.Delta(
            head.version + 1, 'organisations/forged', '', {}, 'f' * 32
        )
        message = messages.SettingsDelta((change.encode_delta(delta),))
        self.hand(number, MEMBERS[0].router, message)

    @stateful.rule(number=NUMBER)
    def restart_with_store_down(self, number):
        self.routers[number] = Router(number)
        self.floor[number] = 0
        self.post(
            number,
            self.routers[number].parts.handle_store_unavailable(self.now),
        )

    @stateful.rule(seconds=st.sampled_from((0.3, 1, 3, 20)))
    def tick(self, seconds):
        self.now += seconds
        for number, router in enumerate(self.routers):
            self.post(number, router.parts.tick(self.now))

    @stateful.invariant()
    def in_the_log_and_never_back(self):
        for number, router in enumerate(self.routers):
            head = router.current.head()
            assert head.version >= self.floor[number], 'a version went back'
            assert head.version < len(self.states), 'a version of nobody'
            digest = self.states[head.version].digest
            assert head.digest == digest, 'a state that the store never had'
            self.floor[number] = head.version

    def hand(self, number, sender, message):
        router = self.routers[number]
        if sender != MEMBERS[number].router:
            self.post(number, router.parts.handle(sender, message, self.now))

    def teardown(self):
        """Exchange digests until everybody had the chance to catch up."""
        self.edit()
        source = self.routers[0].current.head().version
        self.watch_event(0, source, len(self.store.records))
        for _ in range(20):
            self.tick(3)
            for number in range(SIZE):
                for other in range(SIZE):
                    self.gossip(number, other)
            while self.pool:
                self.deliver(0, False)
        newest = self.routers[0].current.head()
        for router in self.routers:
            assert router.current.head() == newest, 'a router stays behind'


def _replace_unseen(self, content):
    self.snapshot = snapshot.decode(content, {})


def _apply_unchained(self, record):
    delta = change.decode_delta(record)
    if delta.version != self.snapshot.version + 1:
        raise errors.SettingsError('not the next version')
    branches = dict(self.snapshot.branches)
    self.snapshot = snapshot.Snapshot(delta.version, delta.digest, branches, {})


FAULTS = {
    'full states that are taken unseen': ('replace', _replace_unseen),
    'changes that are taken unchained': ('apply', _apply_unchained),
}


def run(fault=None, examples=100, steps=40):
    """Run the machine, with a deliberate fault if one is named."""
    patch = contextlib.nullcontext()
    if fault:
        patch = unittest.mock.patch.object(
            current_settings.CurrentSettings, *FAULTS[fault]
        )
    with patch:
        deterministic.run_fixed(
            Machine,
            examples,
            steps,
            print_blob=False,
            report_multiple_bugs=False,
        )
