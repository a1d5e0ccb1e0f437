import threading

import behave

from papayaloom import clock, errors, hashing
from papayaloom.connection import caller, ingress
from papayaloom.ports import kv
from papayaloom.process import fleet_hosts, relay, relay_watch
from papayaloom.standins import kv as memory_kv


def describe(key, content):
    """Return the content without its counter."""
    return content.split()[0]


def event(text, revision):
    return kv.Event('servers/a', revision, text.encode())


def ask(context, revision, host='h1', loads=None, is_relay=False):
    report = relay.Report(host, revision, loads or {}, is_relay)
    return context.relay.answer(report, {}, context.now)


@behave.given('a relay that watches from revision {revision:d}')
def relay_from(context, revision):
    context.now = 0.0
    context.relay = relay.Relay(describe)
    context.relay.publish(revision, kv.Watched((), revision), context.now)


@behave.when(
    'the store changes "{key}" to "{one}" at {first:d}, to "{two}" at {second:d} and to "{three}" at {third:d}'
)
def store_changes(context, key, one, first, two, second, three, third):
    events = (event(one, first), event(two, second), event(three, third))
    context.relay.publish(10, kv.Watched(events, third), context.now)


@behave.when('the relay lists the store again and goes on from {revision:d}')
def lists_again(context, revision):
    context.relay.publish(revision, kv.Watched((), revision + 1), context.now)


@behave.when('{seconds:d} s pass at the relay without an answer of the store')
def silent_store(context, seconds):
    context.now += seconds


@behave.then(
    'a host at revision {revision:d} gets the changes {changes} and goes on from {after:d}'
)
def gets_changes(context, revision, changes, after):
    digest = ask(context, revision)
    found = [one.revision for one in digest.events]
    assert found == [int(one) for one in changes.split(', ')], found
    assert digest.revision == after and not digest.is_lost


@behave.then(
    'a host at revision {revision:d} gets no changes and goes on from {after:d}'
)
def gets_nothing(context, revision, after):
    digest = ask(context, revision)
    assert not digest.events and digest.revision == after


@behave.then('a host at revision {revision:d} is told that changes are missing')
def told_missing(context, revision):
    assert ask(context, revision).is_lost


@behave.then('a host at revision {revision:d} is sent away')
def sent_away(context, revision):
    assert ask(context, revision) is None


@behave.when('the hosts report')
def hosts_report(context):
    for row in context.table:
        name, _, count = row['loads'].partition('=')
        is_relay = row['role'] == 'relay'
        ask(context, 10, row['host'], {name: int(count)}, is_relay)


@behave.then(
    'with {own:d} of its own the relay\'s total for "{name}" is {total:d} and its subtotal {subtotal:d}'
)
def sums(context, own, name, total, subtotal):
    loads = {name: own}
    assert context.relay.totals(loads, context.now)[name] == total
    assert context.relay.subtotal(loads, context.now)[name] == subtotal


class Loads:
    """Loads of a host, without a decision state behind them."""

    def __init__(self):
        self.totals = {}

    def own_loads(self):
        return {'a': 1}

    def share_loads(self, totals):
        self.totals = totals


def watcher(context, name, loads):
    hosts = fleet_hosts.FleetHosts(
        next(h for h in context.hosts if h.name == name)
    )
    hosts.replace(context.hosts, 0)
    return relay_watch.RelayWatch(context.twin, name, hosts, loads, describe)


def first_relay(names):
    return hashing.rank('relay', names, relay.RELAYS)


@behave.given('{count:d} listed hosts, of which one runs as the only relay')
def listed_hosts(context, count):
    context.twin = memory_kv.MemoryKv(clock.SystemClock(), blocking=True)
    names = [f'h{number}' for number in range(count)]
    relays = first_relay(names)

    def serve(received):
        inbound = ingress.Inbound(received)
        inbound.answer(200, [], context.served.answer(inbound.body))

    context.server = ingress.Ingress(
        ('127.0.0.1', 0), serve, caller.Limits(threads=2)
    )
    context.server.prepare()
    # A server that still serves would keep the test run from ending.
    context.add_cleanup(context.server.stop)
    threading.Thread(target=context.server.serve, daemon=True).start()
    address = '%s:%d' % context.server.bind_addr
    # Relays that do not run refuse connections.
    context.hosts = [
        fleet_hosts.Host(
            name, '', control=address if name == relays[0] else '127.0.0.1:1'
        )
        for name in names
    ]
    context.served = watcher(context, relays[0], Loads())
    revision = context.twin.put('servers/a', b'x 1', kv.ABSENT).revision
    context.served.watch(revision - 1)
    context.follower_loads = Loads()
    follower = next(name for name in names if name not in relays)
    context.follower = watcher(context, follower, context.follower_loads)


@behave.when('a host that is no relay watches')
def no_relay_watches(context):
    context.reads_before = context.twin.counts.reads
    try:
        context.watched = context.follower.watch(0)
    except errors.StoreUnavailableError:
        context.watched = None


@behave.then(
    'it gets its changes from the relay, and the store was asked nothing'
)
def from_relay(context):
    assert [one.value for one in context.watched.events] == [b'x 1']
    assert context.twin.counts.reads == context.reads_before
    assert context.follower_loads.totals == {'a': 2}


@behave.when("the relay's process ends")
def relay_ends(context):
    context.server.stop()


@behave.then('it gets its changes from the store')
def from_store(context):
    assert [one.value for one in context.watched.events] == [b'x 1']
    assert context.twin.counts.reads > context.reads_before


@behave.when('the store does not answer the relay')
def store_silent(context):
    context.relay.fail()


@behave.when("the relay's history is lost")
def history_lost(context):
    lost = kv.Watched((), 10, lost=True)
    context.relay.publish(10, lost, context.now)


@behave.when('the store is down and the relay watches')
def down_and_watches(context):
    context.twin.faults.outage = True
    try:
        context.served.watch(1)
    except errors.StoreUnavailableError:
        return
    raise AssertionError('the outage was not noticed')


@behave.then('it learns that neither relay nor store answers')
def neither_answers(context):
    assert context.watched is None
