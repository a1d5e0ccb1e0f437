import random
import socket
import threading
import time

import behave
import msgspec

from papayaloom import clock, errors
from papayaloom.platform import main, store
from papayaloom.ports import kv
from papayaloom.process import dispatch_actor, feed, fleet_hosts, store_view
from papayaloom.routing import dispatch


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
def feed_starts(context, quick, first_listing_s=None):
    context.listed = threading.Event()
    context.away = []
    context.begun = time.monotonic()

    def replace(entries):
        assert [one.key for one in entries] == ['a/1'], entries
        context.listed.set()

    def watch(after):
        time.sleep(0.1)
        return kv.WatchResult((), after)

    source = feed.Source('a/', replace, lambda *_: None, lambda _: None)
    health = feed.Health(
        lambda: None,
        lambda since: context.away.append(since),
        lambda: None,
        lambda: None,
    )
    if first_listing_s is not None:
        usual_s = feed._FIRST_LISTING_S
        feed._FIRST_LISTING_S = first_listing_s
        context.add_cleanup(setattr, feed, '_FIRST_LISTING_S', usual_s)
    part = feed.Feed(
        Client(context.store, 1),
        watch,
        (source,),
        health,
        random.Random(1),
        Client(context.store, quick),
    )
    context.add_cleanup(part.stop)
    context.feed = part
    part.start()


@behave.when('a feed whose first listing may take {seconds:g} s follows it')
def patient_feed_starts(context, seconds):
    feed_starts(context, 1, seconds)


@behave.then('its entries are listed within {seconds:g} s')
def listed_within(context, seconds):
    assert context.listed.wait(seconds)


@behave.then('the feed has said once that the store is away')
def said_once(context):
    assert len(context.away) == 1, context.away


@behave.then('a request that waits for the first listing sees it')
def waits_for_listing(context):
    assert context.feed.wait_listed()


@behave.then(
    'a request that waits for the first listing is told within {seconds:g} s that there is none'
)
def waits_in_vain(context, seconds):
    begun = time.monotonic()
    assert not context.feed.wait_listed()
    assert time.monotonic() - begun < seconds


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
    client = store.PlatformStore(
        '%s:%d' % context.address, store.SHORT_TIMEOUT_S
    )
    begun = time.monotonic()
    context.listing = None
    try:
        context.listing = client.list_prefix('')
    except errors.StoreUnavailableError:
        context.took_s = time.monotonic() - begun


@behave.then('the call succeeds')
def call_succeeds(context):
    assert context.listing is not None and context.listing.revision == 7


def replica_entry(port):
    return (
        b'{"service": "pool", "address": "10.0.0.1:%d", "state": "ready"}'
        % port
    )


@behave.given("a host that knows a replica from a neighbour's snapshot")
def knows_from_snapshot(context):
    actor = dispatch_actor.DispatchActor.start(
        dispatch.Dispatcher(dispatch.Cfg(), random.Random(1)),
        clock.SystemClock(),
    )
    context.add_cleanup(actor.stop)
    context.desk = dispatch_actor.DispatchClient(actor)
    context.view = store_view.StoreView(
        fleet_hosts.Host('h1', ''),
        main.PLATFORM_ADAPTER,
        context.desk,
        lambda replica: None,
        lambda limits: None,
    )
    context.desk.tell(
        lambda decisions, now: decisions.replicas.lapses.store_answered(-60)
    )
    context.snapshot = msgspec.msgpack.encode({'servers/old': replica_entry(1)})
    context.view.restore(context.snapshot)
    assert known_replicas(context) == ['old']


@behave.when('its feed lists the store without that replica')
def lists_without(context):
    for source in context.view.sources():
        entries = [kv.Entry('servers/new', replica_entry(2), 5)]
        source.replace(
            [one for one in entries if one.key.startswith(source.prefix)]
        )


@behave.when('the same snapshot comes once more')
def snapshot_again(context):
    context.view.restore(context.snapshot)


@behave.then('the host knows the replicas of the listing alone')
def knows_listing(context):
    assert known_replicas(context) == ['new'], known_replicas(context)


def known_replicas(context):
    listed = context.desk.ask(lambda decisions, _: decisions.replicas.dump())
    return [one.id for one in listed]
