"""A replica spoils one event of a stream: does the consumer miss others?"""

import pathlib
import random
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

STREAMS = 480
STREAMS_PER_S = 90
EVENTS = 42
DEADLINE_MS = 12000
# garble of the site file: share 0.35 of the replicas, x 0.02 of their answers,
# for 5.5 s.
REPLICAS = 12
GARBLING = 4
ANSWERS_A_SPOILED_ONE = 50
GARBLING_S = 5.5
# A model server makes some events with each step, and writes them together.
EVENTS_A_WRITE = 6
PAUSE_S = 0.03
SPOILED_EVENT = 22
# Chats of the site file's `lamp-chat`.
SUBJECTS = 63


class Garbling:
    """Chooses which answers the garbling replicas spoil."""

    def __init__(self):
        self.spoiled = 0
        self._answers = 0
        self._lock = threading.Lock()
        self._until = float('-inf')

    def start(self):
        self._until = time.monotonic() + GARBLING_S

    def spoils(self):
        """Count an answer of these replicas; tell whether it is spoiled."""
        with self._lock:
            if time.monotonic() > self._until:
                return False
            self._answers += 1
            is_spoiled = self._answers % ANSWERS_A_SPOILED_ONE == 0
            self.spoiled += is_spoiled
            return is_spoiled


class Replica(standins.Server):
    """Streams events; resumes behind ``Last-Event-Id``."""

    def __init__(self, ip, name, record, garbling):
        self.name = name
        self._record = record
        self._garbling = garbling
        super().__init__(ip)

    def answer(self, sock, message):
        number = message.get('papayaloom-request-id')
        first = int(message.get('last-event-id', '0')) + 1
        is_spoiled = self._garbling is not None and self._garbling.spoils()
        self._record(
            f'{self.name} runs {number} from event {first}'
            f'{", and spoils one event" if is_spoiled else ""}'
        )
        sock.sendall(
            b'HTTP/1.1 200 OK\r\nPapayaloom-Request-Id: %s\r\n'
            b'Papayaloom-Response-Seal: 3e1b.%s\r\n'
            b'Content-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
            % (number.encode(), number.encode())
        )
        for begin in range(first, EVENTS + 1, EVENTS_A_WRITE):
            end = min(begin + EVENTS_A_WRITE, EVENTS + 1)
            content = b''.join(
                b'\xff' * 12 + b'\n\n'
                if is_spoiled and event == SPOILED_EVENT
                else b'id: %d\ndata: %s-%d\n\n' % (event, number.encode(), event)
                for event in range(begin, end)
            )
            sock.sendall(b'%x\r\n%s\r\n' % (len(content), content))
            time.sleep(PAUSE_S)
        sock.sendall(b'0\r\n\r\n')
        return True


def consume(world, front, missed):
    number = standins.request_id()
    subject = random.randrange(SUBJECTS)
    head = standins.request(
        'POST',
        '/lohu930/2f',
        number,
        DEADLINE_MS,
        b'question',
        Papayaloom_Model_Name='m',
        Papayaloom_Token_Counts='1460,80',
        Papayaloom_Prompt_Prefix=f'5c1e07a2:120,{subject:08x}:580,{number}:130',
    )
    world.record(f'consumer sends {number} to {front[0]}')
    content, is_complete = b'', False
    with socket.create_connection(front, 1) as sock:
        sock.settimeout(DEADLINE_MS / 1000)
        sock.sendall(head + b'question')
        reader = sock.makefile('rb')
        answer = standins.read_head(reader)
        try:
            for chunk in standins.read_chunks(reader):
                content += chunk
            is_complete = True
        except (OSError, ValueError) as exc:
            world.record(f'{number}: broken off: {exc}')
    events = [
        int(line.partition(b':')[2])
        for line in content.splitlines()
        if line.startswith(b'id:')
    ]
    world.record(
        f'{number} answered: {answer and answer.first}, complete: '
        f'{is_complete}, events {events}'
    )
    # Up to its last event; a stream that is broken off may lack its end.
    lacking = sorted(set(range(1, max(events, default=0) + 1)) - set(events))
    is_ordered = events == sorted(set(events))
    if lacking or not is_ordered:
        missed.append((number, lacking))
    return is_complete


def case(world):
    missed, garbling = [], Garbling()
    world.store.write(
        'op/config',
        standins.desired(
            7,
            [
                standins.route(
                    'lohu930',
                    '/lohu930/',
                    'streaming',
                    'pool',
                    timeoutMs=12000,
                    targetLatencyMs=600,
                    targetGapMs=800,
                    maxAttempts=2,
                    resumable=True,
                    sticky=True,
                    priority=0,
                )
            ],
        ),
    )
    for number in range(REPLICAS):
        name = f'i-{number}'
        is_garbling = standins.TROUBLE and number < GARBLING
        replica = world.add(
            Replica(
                world.ip(),
                name,
                world.record,
                garbling if is_garbling else None,
            )
        )
        world.store.write(
            f'servers/{name}', standins.entry('pool', replica.address, 64)
        )
    world.add_machines(2)
    time.sleep(3)
    garbling.start()
    threads = []
    for number in range(STREAMS):
        front = world.machines[number % 2].front
        thread = threading.Thread(target=consume, args=(world, front, missed))
        thread.start()
        threads.append(thread)
        time.sleep(1 / STREAMS_PER_S)
    for thread in threads:
        thread.join()
    if standins.TROUBLE and not garbling.spoiled:
        raise standins.CannotRunError('no answer was spoiled')
    for number, lacking in missed:
        world.record(f'ORDER: {number} lacks {lacking}')
    # The spoiled event itself is the replica's; those beside it are not.
    return any(set(lacking) - {SPOILED_EVENT} for _, lacking in missed)


if __name__ == '__main__':
    standins.main(__file__, case)
