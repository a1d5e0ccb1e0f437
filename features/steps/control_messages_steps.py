import collections
import queue
import random
import time

import behave
import msgspec
import pynng

from features import free_port
from papayaloom import ids, messages
from papayaloom.connection import codec, peer_sockets
from papayaloom.process import outbox

KEY, NEW_KEY = b'first key of the test', b'second key of the test'
GONE = messages.Release(ask=1, engine=ids.EngineId('e'), finished=True)


def make(name, keys=(KEY,), deployment='d', boot=1):
    return codec.Codec(codec.Cfg(deployment, keys), ids.RouterId(name), boot)


def seal(sender, to='b', message=GONE):
    return sender.seal(sender.encode(message), ids.RouterId(to))


@behave.given('two routers with the same key')
def two_routers(context):
    context.sender, context.receiver = make('a'), make('b')


def replayed(context):
    packet = seal(context.sender)
    context.receiver.open(packet)
    return packet


def of_earlier_boot(context):
    context.receiver.open(seal(make('a', boot=2)))
    return seal(context.sender)


def older_than_window(context):
    old = seal(context.sender)
    for _ in range(1024):
        context.receiver.open(seal(context.sender))
    return old


def flipped(packet, bit):
    changed = bytearray(packet)
    changed[bit // 8] ^= 1 << bit % 8
    return bytes(changed)


BAD = {
    'truncated': lambda context: seal(context.sender)[:-1],
    'cut to three bytes': lambda context: seal(context.sender)[:3],
    'random bytes': lambda _: random.Random(1).randbytes(90),
    'of a newer format': lambda context: b'PL\x02' + seal(context.sender)[3:],
    'of another deployment': lambda _: seal(make('a', deployment='other')),
    'signed with another key': lambda _: seal(make('a', (NEW_KEY,))),
    'meant for a third router': lambda context: seal(context.sender, 'c'),
    'changed in one bit': lambda context: flipped(seal(context.sender), 300),
    'replayed': replayed,
    'of an earlier boot': of_earlier_boot,
    'older than the window': older_than_window,
    'of an unknown type': lambda context: context.sender.seal(
        msgspec.msgpack.encode(['NoSuchMessage', 1]), ids.RouterId('b')
    ),
}


@behave.when('a message arrives that is {kind}')
def bad_message(context, kind):
    packet = BAD[kind](context)
    try:
        context.opened = context.receiver.open(packet)
    except codec.DroppedError as exc:
        context.opened = exc.reason


@behave.then('it is dropped for the reason "{reason}"')
def dropped_for(context, reason):
    assert context.opened is codec.Reason(reason), context.opened
    assert context.receiver.dropped[codec.Reason(reason)] == 1


@behave.then('messages in any order are taken once each')
def any_order(context):
    packets = [seal(context.sender) for _ in range(1000)]
    random.Random(1).shuffle(packets)
    for packet in packets:
        assert context.receiver.open(packet).sender == 'a'
    for packet in packets:
        try:
            context.receiver.open(packet)
        except codec.DroppedError as exc:
            assert exc.reason is codec.Reason.REPLAY
        else:
            raise AssertionError('a message was taken twice')


@behave.when(
    'the sender signs with a new key that the receiver knows as its second'
)
def new_key(context):
    context.receiver.configure(codec.Cfg('d', (KEY, NEW_KEY)))
    context.sender.configure(codec.Cfg('d', (NEW_KEY, KEY)))


@behave.then('the next message is taken')
def next_taken(context):
    assert context.receiver.open(seal(context.sender)).message == GONE


@behave.then('{count:d} changed packets are dropped with a reason')
def fuzz(context, count):
    rng = random.Random(7)
    for number in range(count):
        packet = seal(context.sender)
        where = rng.randrange(len(packet))
        changed = rng.choice(
            (
                lambda p, w: flipped(p, 8 * w),
                lambda p, w: p[:w],
                lambda p, w: p[:w] + rng.randbytes(5) + p[w:],
                lambda p, w: rng.randbytes(w),
                lambda p, w: p[:3] + b'\x91' * 2000 + p[w:],
            )
        )(packet, where)
        try:
            context.receiver.open(changed)
        except codec.DroppedError:
            continue
        raise AssertionError(f'packet {number} was taken')
    assert sum(context.receiver.dropped.values()) == count


@behave.given('an outbox with {rate:d} bytes a second and a burst of {burst:d}')
def new_outbox(context, rate, burst):
    context.cfg = outbox.Cfg(bytes_per_second=rate, burst_bytes=burst)
    context.codec = make('a')
    context.outbox = outbox.Outbox(context.cfg, context.codec, 0)


def send(priority, size=200):
    chunk = messages.SettingsChunk(1, 'd', 0, 1, bytes(size))
    return messages.Send(ids.RouterId('b'), chunk, priority)


@behave.when(
    '{count:d} messages of every priority arrive each second for 60 seconds'
)
def flood(context, count):
    context.sent = collections.Counter()
    for step in range(600):
        now = step / 10
        if step % 10 == 0:
            for priority in messages.Priority:
                # Admission alone stays below the budget.
                few = 5 if priority is messages.Priority.ADMISSION else count
                context.outbox.put([send(priority)] * few, now)
        for packet in context.outbox.take(now):
            context.sent[step] += len(packet.content)
        context.largest = context.outbox.dump(now).waiting_bytes
        assert context.largest <= context.cfg.queue_bytes


@behave.then(
    'no second, and no time from the start, has more bytes than the budget'
)
def within_budget(context):
    rate, burst = context.cfg.bytes_per_second, context.cfg.burst_bytes
    for start in range(600):
        for steps in (10, 600 - start):
            sent = sum(context.sent[start + step] for step in range(steps))
            assert sent <= burst + rate * steps / 10, (start, steps, sent)


@behave.then('every message of the highest priority was sent')
def highest_sent(context):
    dump = context.outbox.dump(60)
    assert dump.waiting['admission'] == 0
    assert dump.sent_bytes['admission'] > 300 * 200


@behave.then('the waiting bytes stay within the queue')
def waiting_bytes(context):
    dump = context.outbox.dump(60)
    assert dump.dropped['queue full'] > 0
    assert dump.waiting_bytes <= context.cfg.queue_bytes


@behave.when('the budget is used up for longer than the longest wait')
def used_up(context):
    flood_messages = [send(messages.Priority.ADMISSION, 2000)] * 30
    context.outbox.put(flood_messages, 0)
    context.outbox.put([send(messages.Priority.MEMBERSHIP)] * 10, 0)
    context.outbox.put([send(messages.Priority.HANDOVER)] * 10, 0)
    for now in range(1, 40):
        context.outbox.take(now)


@behave.then('waiting probes are dropped and waiting hand-overs are sent')
def probes_dropped(context):
    dump = context.outbox.dump(40)
    assert dump.dropped['waited too long'] >= 10
    assert 'membership' not in dump.sent_bytes
    assert dump.sent_bytes['handover'] > 10 * 200


@behave.given('an inbox on loopback')
def inbox(context):
    context.received = queue.Queue()
    context.address = f'tcp://127.0.0.1:{free_port.free_port()}'
    context.peers = peer_sockets.PeerSockets(
        context.address, context.received.put
    )
    context.peers.start()
    context.add_cleanup(context.peers.close)


@behave.when('packets are sent to it and to 40 addresses where nobody listens')
def send_packets(context):
    began = time.monotonic()
    for number in range(40):
        context.peers.send(f'tcp://127.0.0.{number + 2}:9', b'nobody')
        if number % 8 == 0:
            assert context.peers.send(context.address, b'hello')
    context.took_s = time.monotonic() - began


@behave.then('the inbox has received its packets')
def has_received(context):
    for _ in range(5):
        assert context.received.get(timeout=10) == b'hello'


@behave.then('no more than 32 connections are open and no send took long')
def bounded(context):
    assert context.peers.connections() == peer_sockets.MAX_CONNECTIONS
    # Each of these connections would time out after seconds.
    assert context.took_s < 5


@behave.then('a closed socket refuses to send')
def closed(context):
    context.peers.close()
    assert not context.peers.send(context.address, b'late')


@behave.then('a second inbox on the same address fails')
def taken(context):
    try:
        peer_sockets.PeerSockets(context.address, context.received.put)
    except pynng.exceptions.AddressInUse:
        return
    raise AssertionError('two inboxes listen on one address')
