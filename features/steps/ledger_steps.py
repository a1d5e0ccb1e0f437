import random
import uuid

import behave
import hypothesis
from hypothesis import strategies as st

from features.machines import deterministic, ledger_machine
from papayaloom import clock, errors
from papayaloom.process import ledger, ledger_record, store_io
from papayaloom.standins import kv

HOUR_MS = 3_600_000


def key_at(unix_ms, number=0):
    return str(uuid.UUID(int=unix_ms << 80 | 7 << 76 | 2 << 62 | number))


@behave.when('a call comes with a key {kind}')
def call_with_key(context, kind):
    now_ms = clock.VirtualClock().unix_ms()
    keys = {
        'that is no UUID': 'order-17',
        'of a random UUID': str(uuid.UUID(int=1 << 78, version=4)),
        'made 6 minutes from now': key_at(now_ms + HOUR_MS // 10),
        'made 25 hours ago': key_at(now_ms - 25 * HOUR_MS),
    }
    context.found = ledger_record.locate('org', 'desk', keys[kind], now_ms)


@behave.then('it is refused with the verdict {verdict}')
def refused_with(context, verdict):
    assert context.found.unwrap_err().verdict == verdict


@behave.then('the same key of two organisations has two different hashes')
def two_hashes(context):
    key = key_at(HOUR_MS)
    hashes = {
        ledger_record.locate(org, 'desk', key, HOUR_MS).unwrap().key
        for org in ('a', 'b')
    }
    assert len(hashes) == 2


@behave.given('a router with a ledger')
def router(context):
    context.clock = clock.VirtualClock(100_000)
    context.store = kv.MemoryKv(context.clock, sleep=context.clock.advance)
    context.ledger = ledger.Ledger(ledger.Cfg(), 'r1', random.Random(1))
    context.answers = {}
    context.largest = 0
    advance(context, 0.1)


def take(context, outputs):
    for output in outputs:
        if isinstance(output, ledger.Decision):
            context.answers[output.number] = output.answer
        if isinstance(output, (ledger.Decision, ledger.OutcomeRecorded)):
            continue
        size = len(getattr(output, 'content', b''))
        context.largest = max(context.largest, size)
        stored = store_io.execute(context.store, output)
        now = context.clock.monotonic()
        take(context, context.ledger.handle_result(stored, now))


def advance(context, seconds):
    for _ in range(round(seconds * 20)):
        context.clock.advance(0.05)
        now = context.clock.monotonic()
        take(context, context.ledger.tick(now, context.clock.unix_ms()))


def claim(context, number, key):
    location = ledger_record.locate(
        'org', 'desk', key, context.clock.unix_ms()
    ).unwrap()
    now = context.clock.monotonic()
    take(context, context.ledger.claim(number, location, now))


def claim_in_one_record(context, count):
    location = ledger_record.locate(
        'org', 'desk', key_at(context.clock.unix_ms()), context.clock.unix_ms()
    ).unwrap()
    for number in range(count):
        key = number.to_bytes(16, 'big')
        one = ledger_record.Location(location.shard, location.slot, key)
        now = context.clock.monotonic()
        take(context, context.ledger.claim(number, one, now))


@behave.when('a call runs, and its key comes again {hours:d} hours later')
def repeat(context, hours):
    key = key_at(context.clock.unix_ms())
    claim(context, 1, key)
    assert context.answers[1].granted
    now = context.clock.monotonic()
    ran = ledger_record.State.RAN
    take(context, context.ledger.record(1, ran, now, 201, b'tray 9'))
    advance(context, 70)
    context.clock.advance(hours * 3600)
    advance(context, 0.1)
    context.counts = (
        context.store.counts.reads,
        context.store.counts.writes,
    )
    claim(context, 2, key)


@behave.then('the repeat gets the recorded answer')
def recorded(context):
    answer = context.answers[2]
    assert answer.known and not answer.granted
    assert (answer.status, answer.content) == (201, b'tray 9')


@behave.then('the repeat cost one read and no write')
def cost(context):
    reads, writes = context.counts
    counts = context.store.counts
    assert (counts.reads, counts.writes) == (reads + 1, writes)


@behave.when('{count:d} calls of one record come in one second')
def in_one_second(context, count):
    context.count = count
    claim_in_one_record(context, count)
    advance(context, 1)


@behave.then('all of them are granted with at most {writes:d} writes')
def granted_with(context, writes):
    assert len(context.answers) == context.count
    assert all(answer.granted for answer in context.answers.values())
    assert context.store.counts.writes <= writes


@behave.when('{count:d} calls of one record come at once')
def at_once(context, count):
    claim_in_one_record(context, count)
    advance(context, 1)
    now = context.clock.monotonic()
    for number in range(count - 1):
        outputs = context.ledger.record(
            number, ledger_record.State.RAN, now, 200, b'x' * 512
        )
        take(context, outputs)
        if number % 100 == 0:
            advance(context, 1.5)
    advance(context, 3)


@behave.then('one call is refused as not run')
def one_refused(context):
    refused = [one for one in context.answers.values() if not one.granted]
    assert len(refused) == 1
    assert not refused[0].known


@behave.then("the largest record is under the store's limit")
def under_limit(context):
    assert 500_000 < context.largest < 1_000_000


@behave.when(
    'the store is down for {seconds:d} seconds and {rate:d} calls come a'
    ' second',
)
def outage(context, seconds, rate):
    before = context.store.counts.reads + context.store.counts.writes
    context.store.faults.outage = True
    for second in range(seconds):
        for call in range(rate):
            number = second * rate + call
            key = key_at(context.clock.unix_ms(), number)
            claim(context, number, key)
        advance(context, 1)
    advance(context, 2)
    counts = context.store.counts
    context.calls_per_s = (counts.reads + counts.writes - before) / seconds
    context.first_key = key_at(100_000_000 + 1_700_000_000_000)


@behave.then('no call is granted in that time')
def none_granted(context):
    assert len(context.answers) == 1200
    assert not any(
        answer.granted or answer.known for answer in context.answers.values()
    )


@behave.then('the store gets at most {count:d} calls a second')
def few_calls(context, count):
    assert context.calls_per_s <= count, context.calls_per_s


@behave.then('after the outage a key that was refused is granted')
def granted_again(context):
    context.store.faults.outage = False
    advance(context, 60)
    claim(context, 5000, context.first_key)
    advance(context, 1)
    assert context.answers[5000].granted


@behave.when('a call comes whose record holds garbage')
def garbage(context):
    key = key_at(context.clock.unix_ms())
    location = ledger_record.locate(
        'org', 'desk', key, context.clock.unix_ms()
    ).unwrap()
    context.record = ledger_record.record_key(location.shard, location.slot)
    context.store.put(context.record, b'garbage', 0)
    claim(context, 1, key)
    advance(context, 3)


@behave.then('the call is refused as not run')
def not_run(context):
    answer = context.answers[1]
    assert not answer.granted and not answer.known


@behave.then('the garbage is still there')
def still_there(context):
    assert context.store.get(context.record).value == b'garbage'


@behave.then(
    '{count:d} random or damaged records are decoded or refused as malformed',
)
def fuzz_decoder(context, count):
    claims = {
        bytes([number] * 16): ledger_record.Claim(bytes([number] * 16), 'a1')
        for number in range(3)
    }
    record = ledger_record.encode(claims)
    assert ledger_record.decode(record) == claims

    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=count
    )
    @hypothesis.given(st.binary(), st.integers(0, len(record)))
    def damaged(noise, at):
        for content in (noise, record[:at] + noise + record[at + len(noise) :]):
            try:
                decoded = ledger_record.decode(content)
            except errors.CodecError:
                continue
            assert ledger_record.decode(ledger_record.encode(decoded))

    damaged()


@behave.then(
    'the ledger machine finds no broken property in {runs:d} runs of'
    ' {steps:d} steps',
)
def machine_clean(context, runs, steps):
    deterministic.run(ledger_machine.LedgerMachine, steps, runs)


@behave.then('the ledger machine finds a broken property when a ledger {fault}')
def machine_finds(context, fault):
    assert deterministic.finds(
        ledger_machine.LedgerMachine,
        60,
        800,
        ledger_machine.FAULTS[fault],
    )
