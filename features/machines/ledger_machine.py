"""State machine of the ledger: routers, store, messages and pauses.

Messages and store calls wait until a rule delivers, doubles or loses them.
The oracle counts the effects of every key and checks every decision.
"""

import random
import uuid
from unittest import mock

from hypothesis import stateful
from hypothesis import strategies as st

from papayaloom import clock, messages
from papayaloom.process import (
    ledger,
    ledger_record,
    ledger_slot,
    ledger_writer,
    store_calls,
    store_io,
)
from papayaloom.standins import kv

ROUTERS = ('r1', 'r2', 'r3')
PICK = st.integers(0, 1000)
STATES = ledger_record.State
CFG = ledger.Cfg(writer=ledger_writer.Cfg(sweep_s=10))


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Several routers that claim the same few calls."""

    def __init__(self):
        super().__init__()
        # Few shards, so that calls often share a record.
        self.shards = mock.patch.object(ledger_record, 'SHARDS', 2)
        self.shards.start()
        self.clock = clock.VirtualClock(1000)
        self.store = kv.MemoryKv(self.clock, sleep=self.clock.advance)
        self.rng = random.Random(1)
        self.ledgers = {name: self.new_ledger(name) for name in ROUTERS}
        self.boots = dict.fromkeys(ROUTERS, 0)
        self.paused = set()
        self.mail = []
        self.effects = []
        self.late = []
        self.numbers = dict.fromkeys(ROUTERS, 0)
        self.calls = {}
        self.granted = []
        self.sent = []
        self.runs = {}
        self.keys = []

    def new_ledger(self, name):
        made = ledger.Ledger(CFG, name, self.rng)
        made.update_members(ROUTERS)
        return made

    def take(self, name, outputs):
        for output in outputs:
            if isinstance(output, messages.Send):
                self.mail.append((name, output.to, output.message))
            elif isinstance(output, ledger.Decision):
                self.decided(name, output)
            elif not isinstance(output, ledger.OutcomeRecorded):
                self.effects.append((name, self.boots[name], output))

    def decided(self, name, decision):
        call = (name, self.boots[name], decision.number)
        key, verdict = self.calls[call]
        assert verdict is None, f'P3: {call} was decided twice'
        answer = decision.answer
        self.calls[call] = (key, answer)
        if answer.granted:
            self.granted.append(call)
        elif answer.known and answer.state == STATES.RAN.value:
            assert answer.content in self.runs.get(key, ()), 'P2: foreign reply'

    def pick(self, things, number):
        return things.pop(number % len(things))

    def router(self, number):
        awake = [name for name in ROUTERS if name not in self.paused]
        return awake[number % len(awake)] if awake else None

    def teardown(self):
        self.shards.stop()

    @stateful.rule(number=PICK, old=st.booleans(), which=PICK)
    def call(self, number, old, which):
        name = self.router(number)
        if name is None:
            return
        if not old or not self.keys:
            made = self.clock.unix_ms() << 80 | 7 << 76 | 2 << 62
            self.keys.append(str(uuid.UUID(int=made + len(self.keys))))
        latest = self.keys[-3:]
        key = latest[which % len(latest)] if old else self.keys[-1]
        found = ledger_record.locate('org', 'desk', key, self.clock.unix_ms())
        if found.is_err():
            return
        self.numbers[name] += 1
        number = self.numbers[name]
        self.calls[name, self.boots[name], number] = (key, None)
        self.take(
            name,
            self.ledgers[name].claim(
                number, found.unwrap(), self.clock.monotonic()
            ),
        )

    @stateful.rule(number=PICK, which=PICK)
    def call_in_vain(self, number, which):
        self.call(number, True, which)
        self.wait(2.5)

    @stateful.precondition(lambda self: self.mail)
    @stateful.rule(number=PICK, fate=st.sampled_from('ddddl2'))
    def message(self, number, fate):
        sender, to, message = self.pick(self.mail, number)
        if fate == '2' or to in self.paused:
            self.mail.append((sender, to, message))
        if fate != 'l' and to not in self.paused:
            now = self.clock.monotonic()
            self.take(to, self.ledgers[to].handle(sender, message, now))

    @stateful.precondition(lambda self: self.effects)
    @stateful.rule(number=PICK, fate=st.sampled_from('dddddbal'))
    def store_call(self, number, fate):
        name, boot, effect = self.pick(self.effects, number)
        stored = store_calls.Failed(effect.operation)
        if fate == 'l':
            self.late.append(effect)
        elif fate != 'b':
            done = store_io.execute(self.store, effect)
            stored = done if fate == 'd' else stored
        if boot != self.boots[name]:
            return
        now = self.clock.monotonic()
        self.take(name, self.ledgers[name].handle_result(stored, now))

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(number=PICK)
    def late_write(self, number):
        store_io.execute(self.store, self.pick(self.late, number))

    @stateful.precondition(lambda self: self.granted)
    @stateful.rule(number=PICK)
    def send(self, number):
        call = self.pick(self.granted, number)
        name, boot, _ = call
        if boot != self.boots[name] or name in self.paused:
            return
        key, _ = self.calls[call]
        self.runs.setdefault(key, []).append(str(call).encode())
        assert len(self.runs[key]) == 1, f'P4: {key} ran twice'
        self.sent.append(call)

    @stateful.precondition(lambda self: self.granted or self.sent)
    @stateful.rule(number=PICK, state=st.sampled_from('rrrfn'))
    def outcome(self, number, state):
        calls = self.granted if state == 'n' else self.sent
        if not calls:
            return
        call = self.pick(calls, number)
        name, boot, sequence = call
        if boot != self.boots[name]:
            return
        reply = str(call).encode() if state == 'r' else b''
        now = self.clock.monotonic()
        self.take(
            name,
            self.ledgers[name].record(sequence, STATES(state), now, 200, reply),
        )

    @stateful.rule(seconds=st.sampled_from((0.1, 0.3, 0.6, 2.5, 120)))
    def wait(self, seconds):
        self.clock.advance(seconds)
        now = self.clock.monotonic()
        for name in ROUTERS:
            if name not in self.paused:
                outputs = self.ledgers[name].tick(now, self.clock.unix_ms())
                self.take(name, outputs)

    @stateful.rule(state=st.sampled_from('rrfnx'))
    def settle(self, state):
        for _ in range(6):
            for _ in range(len(self.effects)):
                self.store_call(0, 'd')
            for _ in range(len(self.mail)):
                self.message(0, 'd')
            self.wait(0.3)
            while self.granted and state != 'n':
                self.send(0)
            while state != 'x' and (
                self.granted if state == 'n' else self.sent
            ):
                self.outcome(0, state)

    @stateful.rule(name=st.sampled_from(ROUTERS))
    def crash(self, name):
        self.boots[name] += 1
        self.numbers[name] = 0
        self.ledgers[name] = self.new_ledger(name)

    @stateful.rule(name=st.sampled_from(ROUTERS))
    def pause_or_resume(self, name):
        self.paused ^= {name}

    @stateful.rule(
        name=st.sampled_from(ROUTERS),
        seen=st.sets(st.sampled_from(ROUTERS)),
    )
    def view(self, name, seen):
        self.ledgers[name].update_members(seen | {name})


def grant_before_commit():
    """Grants a call when its claim is sent to the store."""
    write = ledger_writer.Writer._write

    def eager(self, slot, now):
        asks = tuple(slot.requests)
        granted = [
            ledger_slot.ClaimReply(
                ask, messages.Claimed(ask.number, True, True, 'c')
            )
            for ask in asks
        ]
        return write(self, slot, now) + granted

    return mock.patch.object(ledger_writer.Writer, '_write', eager)


def ignore_attempt():
    """Reads a claim back without comparing the attempt."""
    answer = ledger_slot._answer

    def any_attempt(recorded, ask):
        own = ledger_record.Claim(recorded.key, ask.attempt, recorded.state)
        return answer(own, ask)

    return mock.patch.object(ledger_slot, '_answer', any_attempt)


def merge_any_attempt():
    """Lets "not run" of one attempt replace the claim of another."""
    return mock.patch.object(
        ledger_record, 'merge', lambda recorded, news: news
    )


def keep_briefly():
    """Deletes records while their keys are still accepted."""
    return mock.patch.object(ledger_record, 'RECORD_TTL_MS', 1000)


def reuse_numbers():
    """Uses the numbers of a crashed process again."""
    return mock.patch.object(ledger, '_BASE_BITS', 0)


def decide_twice():
    """Keeps a call open after it was refused as not run."""
    decide = ledger.Ledger._decide

    def open_ended(self, answer, now):
        pending = self._pending.get(answer.ask)
        outputs = decide(self, answer, now)
        if pending and not answer.known:
            self._pending[answer.ask] = pending
        return outputs

    return mock.patch.object(ledger.Ledger, '_decide', open_ended)


def foreign_reply():
    """Answers a repeat with the recorded answer of another call."""
    decide = ledger_slot.Slot.decide

    def crossed(self, fresh_since):
        answered = decide(self, fresh_since)
        contents = [claim.content for claim in self._claims.values()]
        return [
            ledger_slot.ClaimReply(
                one.request,
                messages.Claimed(
                    one.answer.ask,
                    one.answer.granted,
                    one.answer.known,
                    one.answer.state,
                    one.answer.status,
                    contents[0],
                ),
            )
            for one in answered
        ]

    return mock.patch.object(ledger_slot.Slot, 'decide', crossed)


FAULTS = {
    'grants before the claim is committed': grant_before_commit,
    'ignores the attempt when it reads back': ignore_attempt,
    'lets any outcome replace a claim': merge_any_attempt,
    'deletes records too early': keep_briefly,
    'uses the numbers of a crashed process again': reuse_numbers,
    'decides a call twice': decide_twice,
    'answers with the reply of another call': foreign_reply,
}
