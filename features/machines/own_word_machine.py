"""State machine of what replicas say of themselves; the oracle is their words.

Guards against work for a start of a replica that has said that it leaves, and
for one that asked for a pause, whatever the store lists, forgets or repeats.
"""

import random
from unittest import mock

import msgspec
from hypothesis import stateful
from hypothesis import strategies as st

from papayaloom import ids
from papayaloom.routing import dispatch, dispatch_messages, replicas
from papayaloom.routing.health import pauses

POOL = ids.ServiceId('pool')
NAMES = ('a', 'b', 'c')
NAME = st.sampled_from(NAMES)
READY = replicas.State.READY
DRAINING = replicas.State.DRAINING


def entry(name, born, state=READY):
    return replicas.Replica(
        id=replicas.ReplicaId(name),
        service=POOL,
        address=(f'10.0.0.{NAMES.index(name)}', born),
        state=state,
        born=born,
    )


class OwnWordMachine(stateful.RuleBasedStateMachine):
    """Replicas that start, leave, pause and vanish in any order."""

    @stateful.initialize(seed=st.integers(0, 9))
    def begin(self, seed):
        self.now = 100.0
        self.decisions = dispatch.Dispatcher(
            dispatch.Cfg(), random.Random(seed), 3
        )
        self.decisions.replicas.lapses.store_answered(0)
        # The oracle.
        self.newest = dict.fromkeys(NAMES, 1)
        self.left = set()
        self.paused = {}
        self.told = {name: entry(name, 1) for name in NAMES}
        for name in NAMES:
            self.list_entry(name)

    @stateful.rule(name=NAME)
    def list_entry(self, name):
        """The newest entry arrives, maybe once more."""
        self.update(self.told[name])

    @stateful.rule(name=NAME, back=st.integers(1, 2))
    def list_old_entry(self, name, back):
        """An entry of an earlier start arrives late."""
        born = self.newest[name] - back
        known = self.decisions.replicas.find(replicas.ReplicaId(name))
        if born > 0 and known is not None:
            self.update(entry(name, born))

    @stateful.rule(name=NAME)
    def start_again(self, name):
        self.newest[name] += 1
        self.told[name] = entry(name, self.newest[name])

    @stateful.rule(name=NAME)
    def drain(self, name):
        self.told[name] = msgspec.structs.replace(
            self.told[name], state=DRAINING
        )

    @stateful.rule(name=NAME, back=st.integers(0, 2))
    def answer_leaves(self, name, back):
        """An answer of the newest or of an earlier start says it leaves."""
        born = max(self.newest[name] - back, 1)
        known = self.decisions.replicas.find(replicas.ReplicaId(name))
        if known is not None and known.born == born:
            self.left.add((name, born))
        self.decisions.replicas.mark_leaving(entry(name, born))

    @stateful.rule(
        name=NAME, wishes=st.lists(st.sampled_from((0.5, 2, 6)), max_size=3)
    )
    def answers_pause(self, name, wishes):
        """Several requests are refused, each with a pause of its own."""
        known = self.decisions.replicas.find(replicas.ReplicaId(name))
        for seconds in wishes if known else ():
            self.decisions.paused(known, seconds, self.now)
            start = (name, known.born)
            until = max(self.paused.get(start, 0), self.now + seconds)
            self.paused[start] = until

    @stateful.rule(name=NAME)
    def entry_goes(self, name):
        self.decisions.replicas.remove(replicas.ReplicaId(name), self.now)

    @stateful.rule(names=st.sets(NAME))
    def store_is_listed(self, names):
        listed = [self.told[name] for name in sorted(names)]
        for one in listed:
            self.note(one)
        gone = self.decisions.replicas.replace(listed, self.now)
        self.decisions.forget(gone)

    @stateful.rule()
    def store_fails(self):
        self.decisions.replicas.lapses.store_failed()

    @stateful.rule()
    def store_returns(self):
        self.decisions.replicas.lapses.store_answered(self.now)

    @stateful.rule(seconds=st.sampled_from((0.1, 1, 3)))
    def wait(self, seconds):
        self.now += seconds
        gone = self.decisions.replicas.tick(self.now)
        self.decisions.forget(gone)
        for name in NAMES:
            self.place(set(NAMES) - {name})

    @stateful.rule(tried=st.sets(NAME))
    def place(self, tried):
        wanted = dispatch_messages.PlacementRequest(
            POOL, tried=frozenset(tried)
        )
        placed = self.decisions.place(wanted, self.now)
        if placed.is_err():
            assert placed.err_value.retry_after_s > 0
            return
        chosen = placed.ok_value.replica
        start = (chosen.id, chosen.born)
        assert chosen.id not in tried
        assert start not in self.left, f'{start} has said that it leaves'
        assert self.paused.get(start, 0) <= self.now, f'{start} pauses'
        self.decisions.ended(
            dispatch_messages.AttemptResult(POOL, chosen.id, False), self.now
        )

    def update(self, one):
        self.note(one)
        is_other = self.decisions.replicas.update(one, self.now)
        if is_other:
            self.decisions.forget([one.id])

    def note(self, one):
        """Take what an entry that is not too old says."""
        known = self.decisions.replicas.find(one.id)
        is_old = known is not None and one.born < known.born
        if one.state is DRAINING and not is_old:
            self.left.add((one.id, one.born))


def forgets_leaving():
    """Fault: an entry that says "ready" replaces an answer's word."""
    return mock.patch.object(
        replicas.Replicas, '_with_announced_state', lambda self, one: one
    )


def forgets_pauses():
    """Fault: nobody waits for the end of a pause."""
    return mock.patch.object(pauses.Pauses, 'left_s', lambda *_: 0)


def shortens_pauses():
    """Fault: a shorter pause ends a longer one."""

    def add(self, replica, pause_s, now):
        pause = pauses._Pause(replica.incarnation, now + pause_s)
        self._pauses[replica.id] = pause

    return mock.patch.object(pauses.Pauses, 'add', add)


FAULTS = {
    'an entry undoes a word': forgets_leaving,
    'pauses are ignored': forgets_pauses,
    'a shorter pause ends a longer one': shortens_pauses,
}
