import socket
import time

import behave

from features import forwarding_router as fleets
from features import malformed_messages, one_router

ORDERS = malformed_messages.head('Content-Length: 8') + b'the body'


def talk(context, content, finish=False):
    """Send bytes on a connection and return all that comes until its end."""
    address = context.router.addresses['callers']
    with socket.create_connection(address, timeout=5) as conn:
        conn.sendall(content)
        if finish:
            conn.shutdown(socket.SHUT_WR)
        return fleets.read_until_end(conn)


def is_refused_once(raw):
    head, _, rest = raw.partition(b'\r\n\r\n')
    is_last = b'Connection: close' in head and b'\r\n\r\n' not in rest
    return head.startswith(b'HTTP/1.1 400 ') and is_last


@behave.when('a caller sends a request that hides another one {where}')
def sends_hiding(context, where):
    context.raw = talk(context, malformed_messages.HIDING[where])


@behave.when('a caller sends {sent} of a body {how} and closes its side')
def sends_cut(context, sent, how):
    framed = {
        'with a length': malformed_messages.head('Content-Length: 8'),
        'in chunks': malformed_messages.CHUNKED + b'8\r\n',
    }[how]
    part = b'the ' if sent == 'half' else b''
    context.raw = talk(context, framed + part, finish=True)


@behave.then('the caller is told 400 once and the connection is closed')
def refused_once(context):
    assert is_refused_once(context.raw), context.raw


@behave.then('no replica got a request')
def none_got(context):
    assert not one_router.requests(context), one_router.requests(context)


@behave.when('callers send each malformed request')
def send_malformed(context):
    context.raws = {
        what: talk(context, content)
        for what, content in malformed_messages.MALFORMED.items()
    }


@behave.then('each of them is told 400 once and its connection is closed')
def each_refused(context):
    wrong = {
        what: raw
        for what, raw in context.raws.items()
        if not is_refused_once(raw)
    }
    assert not wrong, wrong


@behave.then('no answer shows a key')
def no_key_shown(context):
    for what, raw in context.raws.items():
        assert b'k1' not in raw, (what, raw)


@behave.when('callers send each odd but sound request')
def send_sound(context):
    context.raws = {}
    for what, content in malformed_messages.SOUND.items():
        last = content.replace(b'Host:', b'Connection: close\r\nHost:', 1)
        context.raws[what] = talk(context, last)


@behave.then(
    'each of them gets 200, and the replica got "{method}" "{path}" with "{body}"'
)
def each_served(context, method, path, body):
    for what, raw in context.raws.items():
        assert raw.startswith(b'HTTP/1.1 200 '), (what, raw)
    found = [one[:2] for one in one_router.requests(context)]
    assert found == [(method, path)] * len(context.raws), found
    bodies = one_router.bodies(context)
    assert bodies == [body.encode()] * len(context.raws), bodies


@behave.when('the operator allows {seconds:g} s for the headers of a request')
def allows(context, seconds):
    context.fleet.write(9, limits={'headerTimeoutMs': seconds * 1000})
    assert fleets.until(2, lambda: context.router.dump()['version'] == 9)


@behave.when('a caller sends a chunked request and waits {seconds:g} s')
def sends_and_waits(context, seconds):
    address = context.router.addresses['callers']
    context.conn = socket.create_connection(address, timeout=5)
    context.add_cleanup(context.conn.close)
    chunked = malformed_messages.CHUNKED + b'8\r\nthe body\r\n0\r\n\r\n'
    context.conn.sendall(chunked)
    time.sleep(seconds)


@behave.then(
    'nothing came after the answer, and the next request is answered with 200'
)
def nothing_after(context):
    came = context.conn.recv(65536)
    assert came.count(b'HTTP/1.1') == 1, came
    context.conn.sendall(ORDERS)
    assert context.conn.recv(65536).startswith(b'HTTP/1.1 200 ')


@behave.when('a caller sends {count:d} chunked requests at once')
def sends_at_once(context, count):
    requests = [
        malformed_messages.CHUNKED.replace(b'q-1', b'q-%d' % number)
        + b'8\r\nthe body\r\n0\r\n\r\n'
        for number in range(count)
    ]
    requests[-1] = requests[-1].replace(
        b'Host:', b'Connection: close\r\nHost:', 1
    )
    context.raw = talk(context, b''.join(requests))


@behave.then('it gets the {count:d} answers in order')
def in_order(context, count):
    ids = [
        line.partition(b': ')[2].strip()
        for line in context.raw.splitlines()
        if line.startswith(b'Papayaloom-Request-Id')
    ]
    assert ids == [b'q-%d' % number for number in range(count)], context.raw


@behave.given('a forwarding router whose replicas send each malformed answer')
def malformed_answers(context):
    scripts = iter(malformed_messages.ANSWERS.values())

    def next_answer(*args):
        return next(scripts)(*args)

    one_router.start(context, next_answer)


@behave.when('for each of them a caller sends "{method}" to "{path}"')
def each_sends(context, method, path):
    context.statuses = {
        what: fleets.ask(context.router, method, path).status
        for what in malformed_messages.ANSWERS
    }


@behave.then('each caller gets {status:d}')
def each_gets(context, status):
    assert set(context.statuses.values()) == {status}, context.statuses


@behave.when(
    'a caller sends {count:d} bytes in chunks with {size:d} KB of extensions'
)
def sends_extensions(context, count, size):
    extension = b'b' * (size * 1024 // count)
    chunks = b'1;a=%b\r\nx\r\n' % extension * count
    content = malformed_messages.CHUNKED + chunks + b'0\r\n\r\n'
    context.raw = talk(context, content)
