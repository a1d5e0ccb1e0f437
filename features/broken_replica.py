"""Scripts of replicas whose answers break off, for :mod:`features.fake_engine`."""

import contextlib
import socket
import time

from features import forwarding_router as fleets

# Until then the caller has read what was sent, and waits for more.
_ARRIVAL_S = 0.05
_NO_LINGER = b'\x01\x00\x00\x00\x00\x00\x00\x00'
FIELDS = {
    'no length': '',
    'a length': 'Content-Length: 10\r\n',
    'chunks': 'Transfer-Encoding: chunked\r\n',
}
_EVENTS = fleets.events(1, 2)
STREAMS = {
    'no length': _EVENTS,
    'chunks': fleets.chunk(_EVENTS),
}


def answer(framing, request='', content=b'whole body'):
    """Return the bytes of a sound answer."""
    head = (
        'HTTP/1.1 200 OK\r\n'
        f'Papayaloom-Request-Id: {request}\r\n'
        'Papayaloom-Response-Seal: seal-1\r\n'
        f'{FIELDS[framing]}\r\n'
    )
    if framing == 'chunks':
        chunks = fleets.chunk(content[:5]) + fleets.chunk(content[5:])
        content = chunks + b'0\r\nX-Checked: yes\r\n\r\n'
    return head.encode() + content


def part_of(raw, part):
    """Return the start of an answer."""
    ends = {
        'nothing': lambda: 0,
        'half a status line': lambda: 9,
        'half a head': lambda: raw.index(b'Papayaloom-Response'),
        'the head': lambda: raw.index(b'\r\n\r\n') + 4,
        'half the body': lambda: raw.index(b'whole') + 5,
        'no last chunk': lambda: raw.index(b'0\r\nX-Checked'),
        'half the trailers': lambda: len(raw) - 2,
        'everything': lambda: len(raw),
    }
    return raw[: ends[part]()]


def reset(conn):
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def leave_unread(conn):
    """Do nothing: a socket that is closed with unread bytes is reset."""


def close(conn):
    conn.shutdown(socket.SHUT_WR)
    with contextlib.suppress(OSError):
        while conn.recv(65536):
            pass


def close_and_reset(conn):
    conn.shutdown(socket.SHUT_WR)
    reset(conn)


ENDS = {
    'a reset': reset,
    'unread bytes': leave_unread,
    'a proper close': close,
    'a proper close and a reset': close_and_reset,
}


def breaking_off(framing, part, end):
    """Return a script that sends part of an answer and ends its connection."""

    def script(engine, conn, method, path, asked, body):
        request = asked.get('papayaloom-request-id', '')
        conn.sendall(part_of(answer(framing, request), part))
        time.sleep(_ARRIVAL_S)
        ENDS[end](conn)
        return False

    return script


def refusing(framing, part, end):
    """Return a script that refuses a request as not run, and ends likewise."""

    def script(engine, conn, method, path, asked, body):
        raw = answer(framing, asked['papayaloom-request-id'])
        mark = b'503 Full\r\nPapayaloom-Not-Executed: 1'
        conn.sendall(part_of(raw.replace(b'200 OK', mark, 1), part))
        time.sleep(_ARRIVAL_S)
        ENDS[end](conn)
        return False

    return script


def breaking_stream(framing, end):
    """Return a script that sends two events and ends its connection."""

    def script(engine, conn, method, path, asked, body):
        head = part_of(
            answer(framing, asked['papayaloom-request-id']), 'the head'
        )
        conn.sendall(head + STREAMS[framing])
        time.sleep(_ARRIVAL_S)
        ENDS[end](conn)
        return False

    return script
