"""Steps on second copies of late requests."""

import random
import re
import threading
import time
import types

import behave

from features import forwarding_router as fleets
from features import broken_replica, hostile_replica, one_router
from papayaloom import errors, ids
from papayaloom.platform import settings
from papayaloom.process import hedged_exchange
from papayaloom.request import header_dialect
from papayaloom.routing import dispatch, dispatch_messages, replicas
from papayaloom.routing.overload import budgets, hedging
from papayaloom.routing.poison import poison_evidence

# More than the sockets of the two sides hold.
UPLOAD_BYTES = 8_000_000
SERVICE = ids.ServiceId('models')
SUSPECT = ids.Fingerprint('suspect')
OFFSETS = (0, 7, 14, 21)
COUNTS_AT_FIRST = (1, 2, 3, 10, 17)
ADDRESSES = ('listen.front', 'listen.ready', 'listen.directory')
FIELDS = {
    'nodeName': 'front-1',
    'platform.address': '10.9.0.1:84',
    **dict.fromkeys((*ADDRESSES, 'listen.control'), '10.0.0.1:80'),
}


@behave.given('hedging of {percent:g} in 100 requests')
def hedging_of(context, percent):
    cfg = hedging.Cfg(extra_percent=percent)
    context.delays = hedging.HedgeDelays(cfg)
    context.now = 0


@behave.given(
    'response times of {low:d} - {high:d} ms, evenly spread over {count:d} requests'
)
def response_times(context, low, high, count):
    times = [low + (high - low) * n // max(count - 1, 1) for n in range(count)]
    random.Random(4).shuffle(times)
    for one in times:
        context.delays.record('r', one / 1000, context.now)


@behave.when('{seconds:d} s have passed')
def passed(context, seconds):
    context.now += seconds


@behave.then('a request with {left:g} s left is late after {delay}')
def late_after(context, left, delay):
    found = context.delays.delay_s('r', left, context.now)
    expected = None if delay == 'nothing' else int(delay.split()[0])
    found_ms = None if found is None else round(found * 1000)
    if expected is None or found_ms is None:
        assert expected == found_ms, found
    else:
        assert abs(found_ms - expected) <= 1, found


@behave.given(
    'a router that hedges {percent:g} in 100 requests to {count:d} replicas'
)
def hedging_dispatcher(context, percent, count):
    cfg = dispatch.Cfg(
        hedges=hedging.Cfg(extra_percent=percent),
        repeats=budgets.RetryBound(ratio=1, slack=4),
    )
    context.dispatcher = dispatch.Dispatcher(cfg, random.Random(1), hosts=1)
    for number in range(count):
        add(context, f'r{number}', 16)
    context.now, context.sent, context.noted = 0, 0, 0


def add(context, name, slots, born=1):
    one = replicas.Replica(
        replicas.ReplicaId(name), SERVICE, ('10.0.0.1', 1), '', slots, born=born
    )
    context.dispatcher.replicas.update(one, 0)
    return one


def place(context, **facts):
    request = dispatch_messages.PlacementRequest(SERVICE, **facts)
    return context.dispatcher.place(request, context.now)


def end(context, replica, **facts):
    done = dispatch_messages.AttemptResult(SERVICE, replica, **facts)
    context.dispatcher.ended(done, context.now)


def hedge(context, first, **facts):
    """Place a hedge; return its replica, or None."""
    chosen = place(context, tried=frozenset((first,)), hedge_of=first, **facts)
    return chosen.map(lambda one: one.replica.id).unwrap_or(None)


@behave.when('{count:d} requests succeed, {which} of them late')
def succeed(context, count, which):
    for _ in range(count):
        context.now += 0.001
        first = place(context).unwrap().replica.id
        second = hedge(context, first) if which == 'each' else None
        if second:
            context.sent += 1
            end(context, second, is_hedge=True, is_cancelled=True)
        end(context, first, is_failure=False, is_success=True)


@behave.then('{low:d} to {high:d} hedges are sent')
def hedges_are_sent(context, low, high):
    assert low <= context.sent <= high, context.sent


@behave.then('a retry is sent')
def retry_sent(context):
    # As many as the budget has, without regard to hedges.
    while place(context, is_retry=True, may_have_run=True).is_ok():
        context.noted += 1
    assert context.noted >= 2
    context.noted = context.sent


@behave.then('{which} hedge is sent')
@behave.then('{which} hedges are sent')
def further(context, which):
    assert (context.sent > context.noted) == (which == 'further')


def report(running, slots=16, slowdown=1):
    def state(context, other):
        load = header_dialect.Load(running, 0, slots, slowdown)
        context.dispatcher.record_load(other.id, load, context.now)

    return state


def limited(context, other):
    context.dispatcher.rate_limits.record(other, 9, context.now)


def ejected(context, other):
    # A third replica that is full, since one of two is never ejected.
    add(context, 'r2', 1)
    report(9, 1)(context, add(context, 'r2', 1))
    place(context)
    for _ in range(9):
        end(context, other.id, is_failure=True)


def suspect(context, other):
    start = replicas.start_id(other)
    suspicion = poison_evidence.Suspicion(SUSPECT, start, False)
    found = poison_evidence.Report((suspicion,))
    context.dispatcher.poison.apply_report(found, context.now)


def always_first(context, other):
    for _ in range(3):
        end(context, 'r0', is_cancelled=True)


STATES = {
    'runs 16 of 16 requests': report(16),
    'runs 14 of 16 requests': report(14),
    'does not tell its slots': lambda context, _: add(context, 'r1', 0),
    'is on a slow machine': report(0, slowdown=2),
    'cannot be reached': lambda context, other: end(
        context, other.id, is_unreachable=True
    ),
    'names a rate limit': limited,
    'is ejected': ejected,
    'ended under the request': suspect,
    'is the only one to answer': always_first,
}


@behave.when('the other replica {state}')
def other_replica(context, state):
    listed = {one.id: one for one in context.dispatcher.replicas.dump()}
    STATES[state](context, listed['r1'])


@behave.then('a late request is not hedged because "{reason}"')
def not_hedged(context, reason):
    counted = context.dispatcher.dump(context.now)['decisions'][reason]
    found = hedge(context, replicas.ReplicaId('r0'), fingerprint=SUSPECT)
    assert found is None, found
    counts = context.dispatcher.dump(context.now)['decisions']
    assert counts[reason] == counted + 1, counts


@behave.then('a second copy is {allowed}')
def second_copy(context, allowed):
    job = types.SimpleNamespace(route=context.route, progress=context.progress)
    assert hedged_exchange.is_allowed(job) == (allowed == 'allowed')
    context.progress.has_begun = True
    assert not hedged_exchange.is_allowed(job)


@behave.given(
    'the hedging limit {field} in the settings and {variable} in the environment'
)
def limit(context, field, variable):
    field, variable = (one.replace('none', '') for one in (field, variable))
    fields = {**FIELDS, 'hedging.extraPercent': field}
    environ = {'PAPAYALOOM_HEDGING_EXTRA_PERCENT': variable}
    try:
        loaded = settings.from_fields(settings.overridden(fields, environ))
        context.outcome = f'{loaded.process.placing.hedges.extra_percent:g}'
    except errors.SettingsError as exc:
        context.outcome = str(exc)


@behave.then('the settings are {outcome}')
def settings_are(context, outcome):
    wanted = outcome.removeprefix('refused with ')
    if wanted == outcome:
        assert context.outcome == outcome, context.outcome
        return
    for part in (wanted, 'hedging.extraPercent', '0', '20'):
        assert part in context.outcome, context.outcome


# --- sockets ---------------------------------------------------------------


class Copies:
    """Script of all replicas; late requests are answered by arrival."""

    def __init__(self, behaviours):
        self.behaviours = behaviours
        self.arrivals = 0
        self.left_ms = []
        self.cancelled = set()
        self._lock = threading.Lock()

    def __call__(self, engine, conn, method, path, asked, body):
        if asked['papayaloom-request-id'] != 'late':
            time.sleep(0.002)
            if path.startswith('/calls/'):
                return fleets.named(engine, conn, method, path, asked, body)
            return fleets.stream(2)(engine, conn, method, path, asked, body)
        with self._lock:
            self.left_ms.append(int(asked['papayaloom-request-deadline']))
            self.arrivals += 1
            number = self.arrivals
        # A further attempt is answered like the second copy.
        behaviour = self.behaviours[min(number, 2) - 1]
        what, _, after = behaviour.partition(' after ')
        time.sleep(float(after.split()[0]) if after else 0)
        found = BEHAVIOURS[what.removesuffix(' at once')]
        if found(engine, conn, method, path, asked, body):
            return True
        return self._await_cancellation(conn, number)

    def _await_cancellation(self, conn, number):
        conn.settimeout(5)
        if conn.recv(1) == b'':
            self.cancelled.add(f'copy {number}')
        return False


def silence(*args):
    return False


def half(_, conn, method, path, asked, body):
    conn.sendall(fleets.head('late', 6) + b'cop')
    return False


def older(_, conn, *args):
    conn.sendall(fleets.head('early-9', 3) + b'old')
    return False


def half_event(_, conn, *args):
    conn.sendall(fleets.head('late') + fleets.chunk(b': here\n\nid: 1\nda'))
    return False


def refusal(_, conn, *args):
    mark = {'Papayaloom-Not-Executed': '1'}
    conn.sendall(fleets.head('late', 0, '503 Full', **mark))
    return True


def copy_of(number):
    def answer(_, conn, *args):
        conn.sendall(fleets.head('late', 6) + b'copy %d' % number)
        return True

    return answer


def begun(framing):
    """Return a script that sends half an answer, and resets the connection."""

    def script(engine, conn, *args):
        whole = broken_replica.answer(framing, 'late')
        conn.sendall(broken_replica.part_of(whole, 'half the body'))
        time.sleep(0.1)
        return broken(engine, conn)

    return script


def broken(engine, conn, *args):
    fleets.reset(engine, conn)
    raise OSError('the connection is reset')


BEHAVIOURS = {
    'silence': silence,
    'half a body': half,
    'an older answer': older,
    'a comment and half an event': half_event,
    'copy 1': copy_of(1),
    'copy 2': copy_of(2),
    'a stream': fleets.stream(5),
    'a stream with offsets': hostile_replica.numbered(OFFSETS),
    'a stream that counts at first': hostile_replica.numbered(COUNTS_AT_FIRST),
    'a refusal': refusal,
    'an error': fleets.fail,
    'a reset': broken,
    'half a body and a reset': begun('a length'),
    'half a body without a length and a reset': begun('no length'),
}


def events_of(numbers):
    return b''.join(b'id: %d\ndata: event %d\n\n' % (n, n) for n in numbers)


ANSWERS = {
    'copy 1': (200, b'copy 1'),
    'copy 2': (200, b'copy 2'),
    'all events': (200, fleets.events(1, 5)),
    'all offsets': (200, events_of(OFFSETS)),
    'all that counts at first': (200, events_of(COUNTS_AT_FIRST)),
}


@behave.given(
    'a hedging router whose replicas answer a late request by "{first}" and "{second}"'
)
def hedging_router(context, first, second, **options):
    context.copies = Copies((first, second))
    fleet = one_router.fleet(context)
    fleet.write(7, limits={'maxBodyBytes': 2 * UPLOAD_BYTES})
    for _ in range(3):
        fleet.add_replica(context.copies, **options)
    context.router = fleet.start_router(
        placing=dispatch.Cfg(
            hedges=hedging.Cfg(extra_percent=20),
            repeats=budgets.RetryBound(ratio=1, slack=1),
        )
    )
    one_router.wait_for_replicas(context)
    for number in range(30):
        for method, path in (('GET', '/calls/x'), ('POST', '/resumable/x')):
            name = f'early-{number}'
            found = fleets.ask(context.router, method, path, request=name)
            assert found.status == 200, found.status


@behave.given(
    'a hedging router whose replicas read no upload and answer a late one by "{first}" and "{second}"'
)
def hedging_uploads(context, first, second):
    hedging_router(context, first, second, reads_uploads=False)


@behave.when('a late upload goes to "{path}"')
def late_upload(context, path):
    context.answer = fleets.ask(
        context.router,
        'POST',
        path,
        request='late',
        content=bytes(UPLOAD_BYTES),
    )


@behave.when('a late request goes to "{path}"')
def late_request(context, path):
    method = 'GET' if path.startswith('/calls') else 'POST'
    context.answer = fleets.ask(context.router, method, path, request='late')


@behave.when('a late request goes to "{path}" and its caller leaves')
def caller_leaves(context, path):
    conn = fleets.connect(context.router, 'GET', path, request='late')
    assert fleets.until(3, lambda: context.copies.arrivals == 2)
    conn.close()


@behave.then('the caller gets the answer "{answer}"')
def gets_answer(context, answer):
    found = (context.answer.status, context.answer.content)
    assert found == ANSWERS[answer], found


@behave.then('{cancelled} is cancelled, and each placement has ended')
def is_cancelled(context, cancelled):
    expected = set(re.findall(r'copy \d', cancelled))
    assert fleets.until(2, lambda: context.copies.cancelled == expected), (
        context.copies.cancelled
    )

    def has_ended():
        dump = context.router.dump()['dispatch']
        # A connection closed after a timeout is no cancellation.
        counted = dump['decisions']['hedge_copy_cancelled']
        is_told = 'answer' not in context or counted == len(expected)
        is_idle = not dump['running'] and not any(dump['loads'].values())
        return is_told and is_idle

    assert fleets.until(2, has_ended), context.router.dump()
    left_ms = context.copies.left_ms
    assert left_ms == sorted(set(left_ms), reverse=True), left_ms


@behave.then('later requests get their own answers')
def own_answers(context):
    for number in range(12):
        name = f'later-{number}'
        found = fleets.ask(context.router, 'GET', '/calls/x', request=name)
        assert found.content == name.encode(), found.content
