import contextlib
import os
import signal
import threading
import time

import behave

from features import forwarding_router as fleets
from papayaloom.commands import stop_signals


def send(context, method, path):
    """Send a request, and note its answer and how long it took."""
    begun = time.monotonic()
    with contextlib.closing(
        fleets.connect(context.router, method, path)
    ) as conn:
        context.answer = conn.getresponse()
        context.answer.content = context.answer.read()
    context.took_s = time.monotonic() - begun


@behave.when(
    'the operator writes version {version:d} with {seconds:d} s for "{prefix}"'
)
def writes_timeout(context, version, seconds, prefix):
    changed = [
        {**one, 'timeoutMs': 1000 * seconds} if one['prefix'] == prefix else one
        for one in fleets.ROUTES
    ]
    context.fleet.write(version, changed)
    deadline = time.monotonic() + 3
    while context.router.dump()['version'] != version:
        assert time.monotonic() < deadline
        time.sleep(0.05)


@behave.when(
    'a caller sends "{method}" to "{path}" {seconds:g} s after a stop has begun'
)
def sends_during_stop(context, method, path, seconds):
    context.router.begin_stop()
    time.sleep(seconds)
    send(context, method, path)


@behave.when(
    'one request runs and a caller sends "{method}" to "{path}" {seconds:g} s after a stop has begun'
)
def sends_beside(context, method, path, seconds):
    conn = fleets.connect(context.router, method, path, request='q-0')
    context.add_cleanup(conn.close)
    time.sleep(0.1)
    sends_during_stop(context, method, path, seconds)


@behave.when(
    'all gateway processes freeze, get a SIGTERM and wake {seconds:g} s later'
)
def stop_frozen(context, seconds):
    for number in (signal.SIGSTOP, signal.SIGTERM, signal.SIGCONT):
        for gateway in context.fleet.gateways:
            gateway.send(number)
        time.sleep(seconds)


@behave.then('all of them end within {seconds:g} s')
def all_end(context, seconds):
    processes = [gateway.process for gateway in context.fleet.gateways]
    assert fleets.until(
        seconds, lambda: all(one.poll() is not None for one in processes)
    ), [one.poll() for one in processes]


@behave.when('a stop that takes a lock is interrupted by another SIGTERM')
def second_signal(context):
    for number in (signal.SIGTERM, signal.SIGINT):
        context.add_cleanup(signal.signal, number, signal.getsignal(number))
    lock, context.stops = threading.Lock(), []

    def stop():
        is_free = lock.acquire(timeout=1)
        if not context.stops:
            os.kill(os.getpid(), signal.SIGTERM)
            time.sleep(0.2)
        context.stops.append(is_free)
        lock.release()

    stop_signals.subscribe(stop)
    os.kill(os.getpid(), signal.SIGTERM)


@behave.then('both have been carried out within {seconds:g} s')
def both_carried_out(context, seconds):
    assert fleets.until(seconds, lambda: len(context.stops) == 2), context.stops
    assert all(context.stops), context.stops
