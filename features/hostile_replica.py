"""Scripts of replicas in trouble, for :mod:`features.fake_engine`."""

import contextlib
import threading
import time

from features import forwarding_router as fleets

FLOOD = 16_384
_TRICKLE_S = 0.1


def flood(opening, piece, pause_s=0):
    """Return a script that sends a piece again and again until it is closed."""

    def script(engine, conn, method, path, asked, body):
        engine.sent_bytes = 0
        conn.settimeout(20)
        try:
            conn.sendall(opening(asked))
            while True:
                conn.sendall(piece)
                engine.sent_bytes += len(piece)
                time.sleep(pause_s)
        except OSError:
            engine.left_at = time.monotonic()
        return False

    return script


def trickle(opening, piece):
    """Return a script that sends a short piece now and then until closed."""

    def script(engine, conn, method, path, asked, body):
        conn.sendall(opening(asked))
        with contextlib.suppress(OSError):
            while True:
                conn.sendall(piece)
                time.sleep(_TRICKLE_S)
        engine.left_at = time.monotonic()
        return False

    return script


def nothing(_asked):
    return b''


def begun_head(_asked):
    return b'HTTP/1.1 200 OK\r\n'


def own_head(asked):
    return fleets.head(asked['papayaloom-request-id'])


def head_without_length(asked):
    return own_head(asked).replace(b'Transfer-Encoding: chunked\r\n', b'')


def failed_head(asked):
    return own_head(asked).replace(b'200 OK', b'500 Broken')


def failed_without_length(asked):
    return head_without_length(asked).replace(b'200 OK', b'500 Broken')


def refusal_head(asked):
    extra = {'Papayaloom-Not-Executed': '1'}
    return fleets.head(
        asked['papayaloom-request-id'], None, '503 Full', **extra
    )


def one_event(asked):
    return own_head(asked) + fleets.chunk(b'id: 1\ndata: event 1\n\n')


def last_chunk(asked):
    return own_head(asked) + fleets.chunk(b'whole body') + b'0\r\n'


def extension(asked):
    return own_head(asked) + b'5;'


def plain_head(_asked):
    return b'HTTP/1.1 200 OK\r\n\r\n'


def plain_chunked(_asked):
    return b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


def plain_last_chunk(asked):
    return plain_chunked(asked) + b'0\r\n'


FOREIGN = fleets.head('somebody-elses', 3) + b'old'
FLOODS = {
    'further heads': flood(nothing, b'HTTP/1.1 100 Continue\r\n\r\n' * 64),
    'header lines': flood(begun_head, b'X-More: yes\r\n' * 64),
    'one header line': flood(begun_head, b'x' * FLOOD),
    'a chunk extension': flood(extension, b'x' * FLOOD),
    'trailers': flood(last_chunk, b'X-More: yes\r\n' * 64),
    'a body without length': flood(head_without_length, b'x' * FLOOD),
    'a plain body': flood(plain_head, b'x' * FLOOD),
    'a plain body in chunks': flood(plain_chunked, fleets.chunk(b'x' * FLOOD)),
    'plain trailers': flood(plain_last_chunk, b'X-More: yes\r\n' * 64),
    # Pauses, so that little of it waits in the buffers of the sockets.
    'a body in portions': flood(head_without_length, b'x' * 4 * FLOOD, 0.002),
    'a body in tiny chunks': flood(own_head, fleets.chunk(b'x') * 512),
    'answers to others': flood(nothing, FOREIGN * 16),
    'comments': flood(own_head, fleets.chunk(b': still here\n\n') * 64),
    'one event': flood(one_event, fleets.chunk(b'x' * FLOOD)),
    'a first event': flood(own_head, fleets.chunk(b'x' * FLOOD)),
    'large chunks': flood(own_head, fleets.chunk(b'x' * 64 * FLOOD)),
    'a failed body': flood(failed_head, fleets.chunk(b'x' * FLOOD)),
    'a failed body to the close': flood(failed_without_length, b'x' * FLOOD),
    'a refusal': flood(refusal_head, fleets.chunk(b'x' * FLOOD)),
}
TRICKLES = {
    'half events': trickle(one_event, fleets.chunk(b'x')),
    'comments': trickle(one_event, fleets.chunk(b': still here\n\n')),
    'header lines': trickle(begun_head, b'X-More: yes\r\n'),
    'further heads': trickle(nothing, b'HTTP/1.1 100 Continue\r\n\r\n'),
}


def continued(_, conn, method, path, asked, body):
    """Answer at once after an informational head, in one packet."""
    own = fleets.head(asked['papayaloom-request-id'], 10) + b'whole body'
    conn.sendall(b'HTTP/1.1 100 Continue\r\n\r\n' + own)
    return True


def longer(_, conn, method, path, asked, body):
    """Go on after the end of the answer."""
    request = asked['papayaloom-request-id']
    own = fleets.head(request, len(request)) + request.encode()
    conn.sendall(own + b'and more of it')
    return True


def doubled_nameless(_, conn, method, path, asked, body):
    """Send a late second answer that names no request."""
    request = asked['papayaloom-request-id']
    conn.sendall(fleets.head(request, len(request)) + request.encode())
    late = (
        b'HTTP/1.1 200 OK\r\nPapayaloom-Response-Seal: seal-1\r\n'
        b'Content-Length: 3\r\n\r\nold'
    )
    threading.Timer(0.15, _send_quietly, (conn, late)).start()
    return True


def _send_quietly(conn, content):
    with contextlib.suppress(OSError):
        conn.sendall(content)


def one_packet(*events):
    """Return a script that streams events in a single chunk."""

    def script(engine, conn, method, path, asked, body):
        conn.sendall(own_head(asked) + fleets.chunk(b''.join(events)))
        conn.sendall(b'0\r\n\r\n')
        return True

    return script


def numbered(numbers, how='one by one', stops_within=None):
    """Return a script that streams events with these ids, or a part of them."""

    def script(engine, conn, method, path, asked, body):
        after = int(asked.get('last-event-id') or -1)
        if how == 'from the start':
            after = -1
        sent = [
            b'id: %d\ndata: event %d\n\n' % (number, number)
            for number in numbers
            if number > after and number != stops_within
        ]
        conn.sendall(own_head(asked))
        if stops_within is not None:
            whole = numbers.index(stops_within)
            conn.sendall(fleets.chunk(b''.join([*sent[:whole], b'id: 9'])))
            return False
        for piece in _pieces(sent, how):
            conn.sendall(fleets.chunk(piece))
        conn.sendall(b'0\r\n\r\n')
        return True

    return script


def _pieces(events, how):
    """Return the chunks in which events are sent."""
    whole = b''.join(events)
    if how == 'at once':
        return [whole]
    if how == 'in pieces of 5 bytes':
        return [whole[at : at + 5] for at in range(0, len(whole), 5)]
    return events


def malformed_chunk(number):
    """Return a script that streams events, then a malformed chunk at once."""

    def script(engine, conn, method, path, asked, body):
        sound = fleets.chunk(fleets.events(1, number))
        conn.sendall(own_head(asked) + sound + b'no size\r\n')
        return False

    return script


def spoiled_events(count, number, spoiled):
    """Return a script that streams events, one of them replaced."""
    return one_packet(
        fleets.events(1, number - 1), spoiled, fleets.events(number + 1, count)
    )


SPOILED = {
    'bytes that are no event': b'\xff' * 12 + b'\n\n',
    'an event without an id': b'data: event\n\n',
    # In place of event 4: what follows is taken for a part of it.
    'an event without its blank line': b'id: 4\ndata: event 4\n',
    'two events in one': b'id: 3\ndata: event 3\nid: 4\ndata: event 4\n\n',
    'nothing': b'',
    'bytes before the next event': b'\xff' * 12 + b'\n',
    'half a line before the next': b'event 4\n',
    'two lines before the next': b'data: event 4\n\xff\xfe: 4\n',
    'an event too long': b'x' * 300_000,
}


def slow_events(count, pause_s):
    """Return a script that streams events with a pause before each."""

    def script(engine, conn, method, path, asked, body):
        conn.sendall(own_head(asked))
        first = int(asked.get('last-event-id') or 0) + 1
        for number in range(first, count + 1):
            time.sleep(pause_s)
            event = b'id: %d\ndata: event %d\n\n' % (number, number)
            conn.sendall(fleets.chunk(event))
        conn.sendall(b'0\r\n\r\n')
        return True

    return script


def half_body(length, sent_bytes):
    """Return a script that sends part of a long body and falls silent."""

    def script(engine, conn, method, path, asked, body):
        conn.sendall(fleets.head(asked['papayaloom-request-id'], length))
        conn.sendall(bytes(sent_bytes))
        conn.settimeout(3)
        with contextlib.suppress(TimeoutError):
            conn.recv(1)
        return False

    return script


def half_event(sent_bytes):
    """Return a script that sends part of a long event and falls silent."""

    def script(engine, conn, method, path, asked, body):
        conn.sendall(own_head(asked) + fleets.chunk(b'x' * sent_bytes))
        conn.settimeout(3)
        with contextlib.suppress(TimeoutError):
            conn.recv(1)
        return False

    return script


def promising(status):
    """Return a script that fails with a status that promises "not run"."""

    def script(_, conn, method, path, asked, body):
        request = asked['papayaloom-request-id']
        conn.sendall(fleets.head(request, 4, f'{status} Busy') + b'busy')
        return True

    return script


def leaving(_, conn, method, path, asked, body):
    """Answer and say that this replica leaves."""
    request = asked['papayaloom-request-id']
    extra = {'Server-Leaving': '1'}
    conn.sendall(fleets.head(request, 10, **extra) + b'whole body')
    return True


def pausing(seconds):
    """Return a script that refuses and asks for a pause."""

    def script(_, conn, method, path, asked, body):
        conn.sendall(
            b'HTTP/1.1 503 Busy\r\nPapayaloom-Not-Executed: 1\r\n'
            b'Retry-After: %s\r\nContent-Length: 0\r\n\r\n'
            % str(seconds).encode()
        )
        return True

    return script


def half_head(_, conn, method, path, asked, body):
    """Stop in the middle of the head of the answer, behind a header line."""
    own = fleets.head(asked['papayaloom-request-id'], 10)
    conn.sendall(own.partition(b'Content-Length')[0])
    return False


def refusal_repeated(engine, conn, method, path, asked, body):
    """Refuse, and later write that refusal once more on the connection."""
    request = asked['papayaloom-request-id']
    earlier = getattr(engine, 'refusals', {}).get(conn)
    if earlier is not None:
        conn.sendall(earlier)
        own = fleets.head(request, len(request)) + request.encode()
        conn.sendall(own)
        return True
    extra = {'Papayaloom-Not-Executed': '1'}
    engine.refusals = {
        conn: fleets.head(request, 4, '503 Full', **extra) + b'full'
    }
    conn.sendall(engine.refusals[conn])
    return True


ODD = {
    script.__name__: script
    for script in (
        continued,
        longer,
        doubled_nameless,
        leaving,
        half_head,
        refusal_repeated,
    )
}
