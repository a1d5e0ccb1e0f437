import concurrent.futures
import contextlib
import pathlib
import re
import socket
import time

import behave

from features import (
    fake_engine,
    hostile_replica,
    malformed_messages,
    mortal_fleet,
    one_router,
)
from features import forwarding_router as fleets
from papayaloom import errors
from papayaloom.connection import buffer_budget, response_limits, wasted_work
from papayaloom.ports import store_http

MB = 1_000_000


@behave.given(
    'a gateway process and {count:d} replicas that send {size:d} MB of a body and fall silent'
)
def flooding_fleet(context, count, size):
    orders = hostile_replica.half_body(8 * MB, size * MB)
    context.fleet = mortal_fleet.Fleet(1, count, orders=orders)
    context.add_cleanup(context.fleet.close)


@behave.when('{count:d} callers at once send "{method}" to "{path}"')
def callers_at_once(context, count, method, path):
    gateway = context.fleet.gateways[0]
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        asked = [
            pool.submit(mortal_fleet.ask, gateway, method, path, f'q-{number}')
            for number in range(count)
        ]
    context.statuses = [one.result().status for one in asked]


def send_part(address, sent, length, seconds):
    """Send part of a body; return what has come back after some time."""
    head = malformed_messages.head(f'Content-Length: {length}')
    with socket.create_connection(address, timeout=seconds) as conn:
        with contextlib.suppress(OSError):
            conn.sendall(head + bytes(sent))
            return conn.recv(65536)
    return b''


@behave.when(
    '{count:d} callers at once send {sent:d} kB of a body of {length:d} kB and wait {seconds:d} s'
)
def callers_send_part(context, count, sent, length, seconds):
    address = context.fleet.gateways[0].front
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        asked = [
            pool.submit(send_part, address, sent * 1000, length * 1000, seconds)
            for _ in range(count)
        ]
    context.statuses = [one.result() for one in asked]


@behave.then(
    'some of them were told {status:d} with a time to come back, and the others nothing'
)
def some_told(context, status):
    told = [one for one in context.statuses if one]
    assert told, 'none was rejected'
    for one in told:
        assert one.startswith(b'HTTP/1.1 %d ' % status), one
        assert b'Retry-After: ' in one, one


@behave.then('the process has never held more than {most:d} MB')
def held_at_most(context, most):
    process = context.fleet.gateways[0].process
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    peak_kb = int(re.search(r'VmHWM:\s+(\d+) kB', status)[1])
    assert peak_kb * 1024 <= most * MB, (peak_kb, context.statuses)


@behave.then('the process still answers "{path}" with {status:d}')
def still_answers(context, path, status):
    gateway = context.fleet.gateways[0]

    def answered():
        return mortal_fleet.ask(gateway, 'GET', path).status == status

    assert fleets.until(3, answered)


@behave.when('{count:d} times a caller sends "{method}" to "{path}"')
def caller_sends_times(context, count, method, path):
    for _ in range(count):
        fleets.ask(context.router, method, path)


@behave.then('the replica has sent less than {most:d} MB of its last response')
def last_response(context, most):
    engine = context.fleet.replicas[0]
    assert engine.sent_bytes < most * MB, engine.sent_bytes


@behave.given(
    'a forwarding router with a replica that streams {count:d} bytes of an event and falls silent'
)
def half_event(context, count):
    one_router.start(context, hostile_replica.half_event(count))


@behave.when('a caller asks for "{path}" and leaves after {seconds:g} s')
def asks_and_leaves(context, path, seconds):
    conn = fleets.connect(context.router, 'POST', path)
    with contextlib.closing(conn):
        time.sleep(seconds)
        context.counted = context.router.dump().get('buffered_bytes')


@behave.then(
    '{count:d} bytes were counted meanwhile, and none within {seconds:g} s'
)
def counted_meanwhile(context, count, seconds):
    assert context.counted == count, context.counted

    def none_counted():
        return context.router.dump()['buffered_bytes'] == 0

    assert fleets.until(seconds, none_counted)


@behave.given(
    'a buffer budget of {total:d} bytes, {owner:d} for each replica, and {free:d} free for each response'
)
def new_budget(context, total, owner, free):
    cfg = buffer_budget.Cfg(total=total, owner=owner, free=free)
    context.budget = buffer_budget.BufferBudget(cfg)
    context.buffers = []


@behave.when('responses of "{replicas}" grow by {count:d} bytes each')
def responses_grow(context, replicas, count):
    context.kept = []
    context.at_fault = []
    for owner in replicas.split():
        buffer = buffer_budget.Buffer(context.budget, owner)
        context.buffers.append(buffer)
        try:
            buffer.grow(count)
        except buffer_budget.BufferFullError as exc:
            if exc.is_excess:
                context.at_fault.append(owner)
        else:
            context.kept.append(owner)


@behave.then('the responses "{kept}" had room, and {held:d} bytes are counted')
def had_room(context, kept, held):
    assert context.kept == kept.split(), context.kept
    assert context.budget.held_bytes == held, context.budget.held_bytes


@behave.then('"{replicas}" exceeded their part')
def exceeded(context, replicas):
    assert context.at_fault == replicas.split(), context.at_fault


@behave.when('all responses are released')
def release_all(context):
    for buffer in context.buffers:
        buffer.release()


@behave.then('{held:d} bytes are counted')
def are_counted(context, held):
    assert context.budget.held_bytes == held


@behave.given(
    'replicas whose faulty responses may cost {allowed:d} bytes, of which {rate:d} are forgiven a second'
)
def new_waste(context, allowed, rate):
    cfg = wasted_work.Cfg(allowed=allowed, forgiven_per_s=rate)
    context.waste = wasted_work.WastedWork(cfg)


@behave.when('replica "{replica}" costs {cost:d} bytes at {now:d} s')
def replica_costs(context, replica, cost, now):
    context.waste.record(replica, cost, now)


def read_bytes(context, replica, now):
    full = response_limits.DEFAULT
    return context.waste.limits(replica, full, now).answer


@behave.then(
    'at {now:d} s the responses of "{one}" are read less far, and those of "{other}" are not'
)
def read_less(context, now, one, other):
    assert read_bytes(context, one, now) < read_bytes(context, other, now)


@behave.then(
    'at {now:d} s the responses of "{one}" are read as far as those of "{other}"'
)
def read_as_far(context, now, one, other):
    assert read_bytes(context, one, now) == read_bytes(context, other, now)


@behave.given('a server that sends {what} without end')
def endless_server(context, what):
    context.server = fake_engine.FakeEngine(hostile_replica.FLOODS[what])
    context.add_cleanup(context.server.close)


@behave.when('it is called as a store')
def call_store(context):
    client = store_http.StoreClient(context.server.url, 5, 1)
    context.add_cleanup(client.close)
    context.error = None
    try:
        client.call('GET', '/kv-range')
    except errors.StoreUnavailableError as exc:
        context.error = exc


@behave.then(
    'the call fails, and the server was cut off before it had sent {most:d} MB'
)
def call_failed(context, most):
    assert context.error is not None
    engine = context.server
    assert fleets.until(3, lambda: hasattr(engine, 'left_at')), 'still sends'
    assert engine.sent_bytes < most * MB, engine.sent_bytes
