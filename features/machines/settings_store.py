"""State machine of the settings store, against a dictionary and a version.

Two editors, readers of the log, lost replies, late writes, outages, races
and a paused editor whose place in the log was trimmed meanwhile.
"""

import contextlib
import functools
import random

import msgspec
from hypothesis import stateful
from hypothesis import strategies as st

from features import settings_sample
from features.machines import deterministic
from papayaloom import clock, errors
from papayaloom.standins import kv as twin
from papayaloom.version import (
    change,
    compaction,
    edit,
    settings_log,
    tree,
)

SCHEMA = settings_sample.SCHEMA
BRANCHES = (tree.ROOT, 'organisations/a', 'organisations/b')
# Small figures, so that a short run writes full states and trims.
CFG = edit.Cfg(
    upkeep=compaction.Cfg(full_every=3, kept_versions=5),
    attempts=3,
)
FAULTS = st.sampled_from(
    [
        twin.Faults(),
        twin.Faults(drop_reply=1, only='writes'),
        twin.Faults(drop_reply=2, only='writes'),
        twin.Faults(drop_before=1, only='writes'),
        twin.Faults(drop_before=1, drop_reply=1),
        twin.Faults(late_writes=1, late_s=0.05),
        twin.Faults(late_writes=2, late_s=5),
        twin.Faults(refuse=4),
        twin.Faults(outage=True),
        twin.Faults(stale_s=3),
    ]
)


class Racing:
    """Store that lets something happen before the next write to the log."""

    def __init__(self, store):
        self._store = store
        self.before_put = None

    def __getattr__(self, name):
        return getattr(self._store, name)

    def put(self, key, value, expect, lease=''):
        before, self.before_put = self.before_put, None
        if before:
            before()
        return self._store.put(key, value, expect, lease)


class RetryWithoutReadBack(edit.Editor):
    """Deliberate fault: takes a lost reply for a write without effect."""

    def _create(self, record):
        return self._put(record)

    def _commit(self, branch, base_version, text, checked, *, removed=False):
        make = functools.partial(super()._commit, text=text, checked=checked)
        try:
            return make(branch, base_version)
        except errors.StoreUnavailableError:
            current = self.read().snapshot
        if current.version < base_version:
            raise errors.StoreUnavailableError('stale')
        state = current.branches.get(branch)
        return make(branch, state.version if state else 0)


class CreationInTrimmedLog(edit.Editor):
    """Deliberate fault: trusts a creation after a long pause."""

    def _is_trimmed(self, found):
        return False


class SettingsStore(stateful.RuleBasedStateMachine):
    """The oracle is ``values``, ``versions`` and ``version``."""

    editor_class = edit.Editor

    def __init__(self):
        super().__init__()
        self.clock = clock.VirtualClock()
        self.twin = twin.MemoryKv(self.clock, sleep=self.clock.advance)
        self.stores = [Racing(self.twin), Racing(self.twin)]
        self.editors = [
            self.editor_class(
                store,
                f'editor-{number}',
                self.clock,
                random.Random(number),
                self.clock.advance,
                CFG,
                SCHEMA,
            )
            for number, store in enumerate(self.stores)
        ]
        self.seen = [self.editors[0].read().snapshot] * 2
        self.follower = self.seen[0]
        self.version = 0
        self.full_version = 0
        self.values = {}
        self.versions = {}
        self.past = {0: {}}
        self.unsettled = set()
        self.applied = {}
        self.edits = 0

    @contextlib.contextmanager
    def without_faults(self):
        """Look at the store itself."""
        faults, self.twin.faults = self.twin.faults, twin.Faults()
        yield
        self.twin.faults = faults

    def follow_log(self):
        """Move the oracle along the records that were really created."""
        with self.without_faults():
            entry = self.twin.get(settings_log.record_key(self.version + 1))
            while entry:
                self.apply(change.decode(entry.value))
                entry = self.twin.get(settings_log.record_key(self.version + 1))

    def apply(self, record):
        number = record.settings['test.rate']
        assert number not in self.applied, 'an edit was applied twice'
        assert number in self.unsettled, 'a refused edit was applied'
        assert record.base_version == self.versions.get(record.branch, 0)
        self.version = record.version
        self.applied[number] = record.version
        self.values[record.branch] = number
        self.versions[record.branch] = record.version
        self.past[self.version] = dict(self.values)

    def commit(self, who, branch):
        """Make one edit and compare its outcome with the oracle."""
        self.edits += 1
        number = self.edits
        # Stale reads then lag by fewer versions than the log keeps.
        self.clock.advance(1)
        seen = self.seen[who].branches.get(branch)
        base = seen.version if seen else 0
        text = f'{{settings: {{test: {{rate: {number}}}}}}} // {number}'
        self.unsettled.add(number)
        self.follow_log()
        clean = self.twin.faults == twin.Faults()
        try:
            made = self.editors[who].commit(branch, text, base)
        except errors.ConflictError as exc:
            self.follow_log()
            assert base != self.versions.get(branch, 0), 'no conflict'
            assert exc.mine == text
            assert number not in self.applied, 'a conflict was applied'
            self.unsettled.discard(number)
            return
        except errors.StoreUnavailableError:
            assert not clean, 'an edit failed without a fault'
            self.follow_log()
            return
        self.follow_log()
        assert self.applied.get(number) == made.version, 'an edit was lost'
        self.unsettled.discard(number)

    def compare(self, snapshot):
        """Compare a snapshot with the oracle's state of its version."""
        self.follow_log()
        expected = self.past[snapshot.version]
        found = {
            name: branch.values()['test.rate']
            for name, branch in snapshot.branches.items()
        }
        assert found == expected, (snapshot.version, found, expected)
        for branch in BRANCHES:
            resolved = snapshot.resolve_at('test.rate', branch)
            default = SCHEMA['test.rate'].default
            fleet = expected.get(tree.ROOT, default)
            assert resolved.value == expected.get(branch, fleet)

    @stateful.rule(
        who=st.sampled_from([0, 1]),
        branch=st.sampled_from(BRANCHES),
        fresh=st.sampled_from([True, True, False]),
    )
    def edit_branch(self, who, branch, fresh):
        if fresh:
            with self.without_faults():
                self.refresh(who)
        self.commit(who, branch)

    @stateful.rule(
        who=st.sampled_from([0, 1]),
        branch=st.sampled_from(BRANCHES),
        other=st.sampled_from(BRANCHES),
        count=st.sampled_from([1, 2, 12]),
    )
    def race(self, who, branch, other, count):
        def intrude():
            for _ in range(count):
                self.refresh(1 - who)
                self.commit(1 - who, other)

        with self.without_faults():
            self.refresh(who)
        self.stores[who].before_put = intrude
        self.commit(who, branch)
        self.stores[who].before_put = None

    @stateful.rule(who=st.sampled_from([0, 1]))
    def refresh(self, who):
        with contextlib.suppress(errors.StoreUnavailableError):
            self.seen[who] = self.editors[who].read().snapshot

    @stateful.rule(
        faults=FAULTS,
        who=st.sampled_from([0, 1]),
        branch=st.sampled_from(BRANCHES),
    )
    def edit_under_faults(self, faults, who, branch):
        # A copy: the switches count down.
        self.twin.faults = msgspec.structs.replace(faults)
        self.edit_branch(who, branch, fresh=True)

    @stateful.rule()
    def end_faults(self):
        self.twin.faults = twin.Faults()

    @stateful.rule(seconds=st.sampled_from([0.01, 1, 10]))
    def pass_time(self, seconds):
        self.clock.advance(seconds)

    @stateful.rule()
    def follow(self):
        before = self.follower.version
        clean = self.twin.faults == twin.Faults()
        try:
            self.follower = settings_log.read(
                self.twin, self.follower, SCHEMA
            ).snapshot
        except errors.PapayaloomError:
            assert not clean, 'a read failed without a fault'
        assert self.follower.version >= before, 'the settings went back'
        self.compare(self.follower)

    @stateful.rule()
    def read_afresh(self):
        with self.without_faults():
            fresh = settings_log.read(self.twin, None, SCHEMA).snapshot
            full, _ = settings_log.read_full_state(self.twin, SCHEMA)
        self.compare(fresh)
        assert fresh.version == self.version
        self.compare(full)
        assert full.version >= self.full_version, 'the full state went back'
        self.full_version = full.version


def run(editor_class=edit.Editor, examples=60, steps=30, seed=0):
    """Run the machine; raises what it finds.

    :param seed: another number gives other runs.
    """
    machine = type('Run', (SettingsStore,), {'editor_class': editor_class})
    deterministic.run_fixed(
        machine, examples, steps, seed, report_multiple_bugs=False
    )
