import random
import socket
import threading
import time

import behave

from papayaloom import errors
from papayaloom.platform import store
from papayaloom.ports import kv
from papayaloom.process import feed


class HangingStore:
    """Store whose first calls hang."""

    def __init__(self, hanging, seconds):
        self.left = hanging
        self.seconds = seconds


class Client:
    """Client of a store that hangs."""

    def __init__(self, hanging, timeout_s):
        self._hanging = hanging
        self._timeout_s = timeout_s

    def list_prefix(self, prefix, after='', limit=500, *, values=True):
        if self._hanging.left:
            self._hanging.left -= 1
            time.sleep(min(self._timeout_s, self._hanging.seconds))
            if self._timeout_s < self._hanging.seconds:
                raise errors.StoreUnavailableError('timed out')
        return kv.Listing((kv.Entry('a/1', b'x', 1),), False, 1)


@behave.given('a store whose first {count:d} calls hang for {seconds:g} s')
def hanging_store(context, count, seconds):
    context.store = HangingStore(count, seconds)


@behave.when(
    'a feed with a client that gives up after {quick:g} s starts to follow it'
)
def feed_starts(context, quick):
    context.listed = threading.Event()
    context.away = []
    context.begun = time.monotonic()

    def replace(entries):
        assert [one.key for one in entries] == ['a/1'], entries
        context.listed.set()

    def watch(after):
        time.sleep(0.1)
        return kv.Watched((), after)

    source = feed.Source('a/', replace, lambda *_: None, lambda _: None)
    health = feed.Health(
        lambda: None, lambda: context.away.append(1), lambda: None
    )
    part = feed.Feed(
        Client(context.store, 1),
        watch,
        (source,),
        health,
        random.Random(1),
        Client(context.store, quick),
    )
    context.add_cleanup(part.stop)
    part.start()


@behave.then('its entries are listed within {seconds:g} s')
def listed_within(context, seconds):
    assert context.listed.wait(seconds)


@behave.then('the feed has said once that the store is away')
def said_once(context):
    assert len(context.away) == 1, context.away


def listen(context, serve):
    listener = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(listener.close)
    context.address = listener.getsockname()

    def accept():
        try:
            conn = listener.accept()[0]
        except OSError:
            return
        context.add_cleanup(conn.close)
        serve(conn)

    threading.Thread(target=accept, daemon=True).start()


@behave.given('an address that takes connections and says nothing')
def silent_address(context):
    listen(context, lambda conn: None)


@behave.given(
    'a store whose listing comes in {count:d} pieces, {pause:g} s apart'
)
def slow_listing(context, count, pause):
    body = b'{"items": [], "asOf": 7}' + b' ' * 1000
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
    answer = head + body
    size = len(answer) // count + 1

    def serve(conn):
        conn.recv(65_536)
        for start in range(0, len(answer), size):
            time.sleep(pause)
            conn.sendall(answer[start : start + size])

    listen(context, serve)


@behave.when("the platform's store there is listed with the quick client")
def quick_listing(context):
    client = store.PlatformStore('%s:%d' % context.address, store.QUICK_S)
    begun = time.monotonic()
    context.listing = None
    try:
        context.listing = client.list_prefix('')
    except errors.StoreUnavailableError:
        context.took_s = time.monotonic() - begun


@behave.then('the call succeeds')
def call_succeeds(context):
    assert context.listing is not None and context.listing.revision == 7
