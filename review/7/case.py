"""Streams whose event ids increase, but not by one; a machine is stopped."""

import http.client
import itertools
import pathlib
import signal
import subprocess
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit_2  # noqa: E402

SERVICE = 'loom-pool'
MACHINES = 2
CONSUMERS = 8
EVENTS = 12
PAUSE_S = 0.02
# Tokens in an event of a stream; an id is the number of tokens before it.
STRIDE = 7 if kit_2.TROUBLE else 1
GRACE_S = 8.0


class Engine(kit_2.Replica):
    """A replica whose event ids are the offsets of their first tokens."""

    def content(self, headers, request):
        last = headers.get('Last-Event-Id', '')
        first = int(last) // STRIDE + 1 if last else 0
        for number in range(first, EVENTS):
            time.sleep(PAUSE_S)
            yield f'id: {number * STRIDE}\ndata: {request} {number}\n\n'.encode()


class Consumer:
    """Keeps its channel and asks for one stream after the other."""

    def __init__(self, machine, path, record):
        self.streams = []
        self._machine, self._path, self._record = machine, path, record
        self._conn = None
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self):
        self._stopping.set()
        self._thread.join(15)

    def _run(self):
        while not self._stopping.is_set():
            self.streams.append(self._ask())
            self._stopping.wait(0.05)

    def _ask(self):
        """Return (sent at, ended at, id, status, events, whether complete)."""
        request = f'{next(NUMBERS):016x}'
        sent_at = time.monotonic()
        status, content, is_complete, why = 0, b'', False, ''
        self._conn = self._conn or http.client.HTTPConnection(*self._machine['front'], timeout=12)
        try:
            self._conn.request('POST', self._path, b'x' * 200, {
                'Host': kit_2.HOST, 'Authorization': f'Bearer {kit_2.KEY}',
                'Papayaloom-Request-Id': request, 'Papayaloom-Request-Deadline': '12000',
                'Papayaloom-Model-Name': 'm', 'Papayaloom-Token-Counts': '130,84',
                'Papayaloom-Prompt-Prefix': f'5c1e07a2:100,{request}:30',
            })
            answer = self._conn.getresponse()
            status = answer.status
            content = answer.read()
            is_complete = True
            if answer.getheader('Connection') == 'close':
                self._close()
        except http.client.IncompleteRead as exc:
            content, why = exc.partial, 'cut off'
            self._close()
        except (OSError, http.client.HTTPException) as exc:
            why = repr(exc)
            self._close()
        events = content.count(b'\n\n')
        self._record.write(
            f'consumer: {request} {self._path} at {self._machine["name"]}: {status}, '
            f'{events} of {EVENTS} events, {"complete" if is_complete else why}'
        )
        return sent_at, time.monotonic(), request, status, events, is_complete

    def _close(self):
        self._conn.close()
        self._conn = None


NUMBERS = itertools.count(1)


def case(record, closing):
    store = kit_2.Store()
    closing.append(lambda: store.close())
    streams = {'timeout_ms': 12000, 'targetGapMs': 800, 'sticky': True}
    routes = [
        kit_2.route('tag', SERVICE, 'streaming', **streams),
        kit_2.route('chat', SERVICE, 'streaming', 2, **streams, resumable=True),
    ]
    for one in routes:
        one['targetLatencyMs'] = 600
    store.put('op/config', kit_2.desired_state(7, routes))
    runs = []
    replicas = [
        Engine(store, record, f'i-{number}', SERVICE, runs, work_s=0.02, slots=64)
        for number in range(3)
    ]
    closing.append(lambda: [one.end() for one in replicas])
    fleet = kit_2.Fleet(store, MACHINES)
    closing.append(fleet.close)
    fleet.start()
    time.sleep(kit_2.CONTACT_S)
    stopped = fleet.machines[0]
    consumers = [
        Consumer(machine, path, record)
        for number in range(CONSUMERS // 2)
        for machine in fleet.machines
        for path in ('/tag/2f', '/chat/2f')
    ]
    time.sleep(3)
    signalled = time.monotonic()
    stopped['process'].send_signal(signal.SIGTERM)
    record.write(f'platform: SIGTERM to {stopped["name"]}')
    try:
        stopped['process'].wait(GRACE_S)
    except subprocess.TimeoutExpired as exc:
        raise kit_2.CannotRunError('the process does not stop') from exc
    for consumer in consumers:
        consumer.stop()
    ran = {request for *_, request, _ in runs}
    # Passed on to a replica, and the channel ended without a complete answer.
    cut = [
        one for consumer in consumers for one in consumer.streams
        if one[2] in ran and not one[5]
    ]
    planned = [
        one for consumer in consumers if consumer._machine is stopped
        for one in consumer.streams
        if one in cut and signalled <= one[1] and one[0] <= signalled + 2
    ]
    whole = sum(one[5] and one[3] == 200 for consumer in consumers for one in consumer.streams)
    record.write(
        f'{whole} streams complete, {len(cut)} cut off by the machines, {len(planned)} '
        f'of these within 2 s after the SIGTERM of their machine'
    )
    print(f'{whole} streams complete, {len(cut)} cut off, {len(planned)} around the stop')
    return bool(planned)


kit_2.main(FOLDER, case)
