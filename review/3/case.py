"""Requests that hide another one in their body: does a replica run it?"""

import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

REQUESTS = 60
HIDING_EACH = 10
DEADLINE_MS = 2500
WORK_S = 0.045


class Replica(standins.Server):
    """Runs every request, and tells what it ran."""

    def __init__(self, ip, name, record, ran):
        self.name = name
        self._record = record
        self._ran = ran
        super().__init__(ip)

    def answer(self, sock, message):
        number = message.get('papayaloom-request-id')
        self._ran.append(number)
        self._record(
            f'{self.name} runs {number}: {message.first}, '
            f'{len(message.body)} bytes'
        )
        time.sleep(WORK_S)
        sock.sendall(
            b'HTTP/1.1 200 OK\r\nPapayaloom-Request-Id: %s\r\n'
            b'Papayaloom-Response-Seal: 3e1b.%s\r\n'
            b'Content-Length: 6\r\n\r\nlogged'
            % (number.encode(), number.encode())
        )
        return True


def fields(number):
    return (
        f'Host: {standins.HOST}\r\nPapayaloom-Request-Id: {number}\r\n'
        f'Papayaloom-Request-Deadline: {DEADLINE_MS}\r\n'
        f'Authorization: Bearer {standins.KEY}\r\n'
    ).encode()


def hidden_request(number):
    """Return a whole request, for the inside of another one."""
    return (
        b'POST /puxa403/hidden HTTP/1.1\r\n%sContent-Length: 0\r\n\r\n'
        % fields(number)
    )


def two_lengths(number, hidden):
    """Two fields Content-Length; the first covers the hidden request."""
    other = b'Content-Length: 0\r\n' if standins.TROUBLE else b''
    return (
        b'POST /puxa403/swap HTTP/1.1\r\n%sContent-Length: %d\r\n%s\r\n%s'
        % (fields(number), len(hidden), other, hidden)
    )


def trailer(number, hidden):
    """The hidden request stands before the end of a chunked body."""
    content = b'3\r\nabc\r\n0\r\n%s' % hidden
    if not standins.TROUBLE:
        content = b'%x\r\n%s\r\n0\r\n\r\n' % (len(hidden), hidden)
    return (
        b'POST /puxa403/swap HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n%s'
        % (fields(number), content)
    )


def plain(number, _):
    return (
        b'POST /puxa403/swap HTTP/1.1\r\n%sContent-Length: 4\r\n\r\nbulb'
        % fields(number)
    )


def consume(world, front, form, hidden):
    number = standins.request_id()
    world.record(
        f'consumer sends {number} to {front[0]}: {form.__name__}'
        + (f', hides {hidden}' if form is not plain else '')
    )
    with socket.create_connection(front, 1) as sock:
        sock.settimeout(DEADLINE_MS / 1000)
        sock.sendall(form(number, hidden_request(hidden)))
        answer = standins.read_head(sock.makefile('rb'))
        world.record(f'{number} answered: {answer and answer.first}')
        time.sleep(0.1)


def case(world):
    ran, hidden = [], []
    world.store.write(
        'op/config',
        standins.desired(
            7, [standins.route('puxa403', '/puxa403/', 'non_idempotent', 'app')]
        ),
    )
    for number in range(3):
        name = f'i-{number}'
        replica = world.add(Replica(world.ip(), name, world.record, ran))
        world.store.write(
            f'servers/{name}', standins.entry('app', replica.address, 6)
        )
    world.add_machines(2)
    time.sleep(3)
    for number in range(REQUESTS):
        form = plain
        if number % HIDING_EACH == 0:
            form = (two_lengths, trailer)[number // HIDING_EACH % 2]
            hidden.append(standins.request_id())
        front = world.machines[number % 2].front
        consume(world, front, form, hidden[-1])
    time.sleep(0.5)
    if len(ran) < REQUESTS - len(hidden):
        raise standins.CannotRunError(f'only {len(ran)} requests ran')
    smuggled = [one for one in hidden if one in ran]
    for one in smuggled:
        world.record(f'UNASKED: {one} ran, smuggled inside another request')
    return bool(smuggled)


if __name__ == '__main__':
    standins.main(__file__, case)
