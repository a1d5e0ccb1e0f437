import collections
import functools
import json
import socket
import threading
import time

import behave
import msgspec

from papayaloom import clock, errors
from papayaloom.connection import caller, ingress
from papayaloom.ports import kv
from papayaloom.process import (
    census,
    fleet_hosts,
    relay,
    relay_plan,
    relay_watch,
)
from papayaloom.standins import kv as memory_kv


def describe(key, content):
    """Return the content without its counter."""
    return content.split()[0]


def event(text, revision):
    return kv.Event('servers/a', revision, text.encode())


def ask(context, revision, host='h1', loads=None, is_root=False):
    report = relay.Report(host, revision, census.Census(loads or {}), is_root)
    return context.relay.answer(report, census.Census(), context.now)


@behave.given('a relay that watches from revision {revision:d}')
def relay_from(context, revision):
    context.now = 0.0
    context.relay = relay.Relay(describe)
    context.relay.lead(is_root=True)
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
        is_root = row['role'] == 'root'
        ask(context, 10, row['host'], {name: int(count)}, is_root)


@behave.then(
    'with {own:d} of its own the relay\'s total for "{name}" is {total:d} and its subtotal {subtotal:d}'
)
def sums(context, own, name, total, subtotal):
    mine = census.Census({name: own})
    totals = context.relay.totals(mine, context.now)
    assert totals.running[name] == total
    followers = context.relay.subtotal(mine, context.now)
    assert followers.running[name] == subtotal


class Loads:
    """Loads of a host, without a decision state behind them."""

    def __init__(self):
        self.totals = None

    def own_census(self):
        return census.Census({'a': 1})

    def share_census(self, totals):
        self.totals = totals


def watcher(context, name, loads):
    hosts = fleet_hosts.FleetHosts(
        next(h for h in context.hosts if h.name == name)
    )
    hosts.replace(context.hosts, 0)
    return relay_watch.RelayWatch(context.twin, name, hosts, loads, describe)


def roots(hosts):
    return [
        host.name
        for host in hosts
        if relay_plan.plan(host.name, hosts).role is relay_plan.Role.ROOT
    ]


def serve_exchange(context, watch):
    """Return the address at which a host answers others."""

    def serve(received):
        inbound = ingress.Inbound(received)
        content = watch().answer(inbound.body)
        inbound.answer(200 if content else 503, [], content)

    server = ingress.Ingress(('127.0.0.1', 0), serve, caller.Limits(threads=2))
    server.prepare()
    # A server that still serves would keep the test run from ending.
    context.add_cleanup(server.stop)
    threading.Thread(target=server.serve, daemon=True).start()
    context.servers.append(server)
    return '%s:%d' % server.bind_addr


@behave.given('{count:d} listed hosts, of which one runs as the only relay')
def listed_hosts(context, count):
    context.twin = memory_kv.MemoryKv(clock.SystemClock(), blocking=True)
    context.servers = []
    unnamed = [
        # Hosts that do not run refuse connections.
        fleet_hosts.Host(f'h{number}', '', control='127.0.0.1:1')
        for number in range(count)
    ]
    relays = roots(unnamed)
    address = serve_exchange(context, lambda: context.served)
    context.hosts = [
        msgspec.structs.replace(host, control=address)
        if host.name == relays[0]
        else host
        for host in unnamed
    ]
    names = [host.name for host in context.hosts]
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
    assert context.follower_loads.totals.running == {'a': 2}


@behave.when("the relay's process ends")
def relay_ends(context):
    for server in context.servers:
        server.stop()


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


@behave.given('a fleet of {count:d} hosts, every second one weak')
def mixed_fleet(context, count):
    context.hosts = [
        fleet_hosts.Host(
            f'h{number}', '', control=f'h{number}:1', capacity=1 + number % 2
        )
        for number in range(count)
    ]


@behave.when('each host plans whom it asks')
def each_plans(context):
    context.plans = {
        host.name: relay_plan.plan(host.name, context.hosts)
        for host in context.hosts
    }


@behave.then('{count:d} strong hosts watch the store')
def strong_watch(context, count):
    asking = [name for name, one in context.plans.items() if not one.sources]
    assert len(asking) == count, asking
    assert all(int(name[1:]) % 2 for name in asking), asking


@behave.then('{count:d} hosts watch the store themselves')
def all_watch(context, count):
    roles = [one.role for one in context.plans.values()]
    assert roles == [relay_plan.Role.ALONE] * count, roles


@behave.then('each host is asked first by at most {most:d} others')
def asked_by(context, most):
    first = collections.Counter(
        one.sources[0].name for one in context.plans.values() if one.sources
    )
    assert max(first.values(), default=0) <= most, first


@behave.then('a change reaches every host over at most {most:d} others')
def depth(context, most):
    def hops(name):
        sources = context.plans[name].sources
        return 1 + max(hops(one.name) for one in sources) if sources else 0

    assert max(hops(name) for name in context.plans) == most


@behave.then('a host that avoids all relays asks the roots')
def avoids_relays(context):
    middle = {
        name
        for name, one in context.plans.items()
        if one.role is relay_plan.Role.RELAY
    }
    leaf = next(
        name
        for name, one in context.plans.items()
        if one.role is relay_plan.Role.LEAF
    )
    asked = relay_plan.plan(leaf, context.hosts, middle).sources
    assert asked
    assert {one.name for one in asked} == set(roots(context.hosts))


@behave.then('a root that avoids the other one tells nobody')
def avoids_peer(context):
    first, second = roots(context.hosts)
    assert relay_plan.plan(first, context.hosts).peers
    assert not relay_plan.plan(first, context.hosts, {second}).peers


@behave.given('a relay that follows a host whose knowledge is {age:g} s old')
def follows_old(context, age):
    context.now = 10.0
    context.relay = relay.Relay(describe)
    context.relay.publish(10, kv.Watched((), 10), context.now - age)


@behave.then('the totals that it passes on are {totals}')
def passes_totals(context, totals):
    digest = ask(context, 10, loads={'a': 3})
    running = digest.totals.running if digest.totals else {}
    assert running == json.loads(totals), digest.totals


@behave.when('the host that it follows says that the fleet has {totals}')
def follows_totals(context, totals):
    totals = census.Census(json.loads(totals))
    context.relay.take_totals(totals, context.now)


@behave.when('the store changes a value of {size:d} similar bytes')
def long_value(context, size):
    context.value = (b'{"name": "route-1"}' * size)[:size]
    change = kv.Event('op/config', 11, context.value)
    context.relay.publish(10, kv.Watched((change,), 11), context.now)


@behave.then('a host gets the value whole in less than {size:d} bytes')
def value_is_whole(context, size):
    digest = ask(context, 10)
    assert len(msgspec.msgpack.encode(digest)) < size
    assert relay.unpack(digest.events[0]).value == context.value


@behave.given(
    '{count:d} listed hosts, of which a root and a relay run, the relay cut from the store'
)
def root_and_relay(context, count):
    context.twin = memory_kv.MemoryKv(clock.SystemClock(), blocking=True)
    context.servers = []
    unnamed = [
        fleet_hosts.Host(f'h{number}', '', control='127.0.0.1:1')
        for number in range(count)
    ]
    root = roots(unnamed)[0]
    follower, relays = next(
        (host.name, plan.sources)
        for host in unnamed
        if (plan := relay_plan.plan(host.name, unnamed)).role
        is relay_plan.Role.LEAF
    )
    middle = relays[0].name
    watches = {}
    running = {
        name: serve_exchange(context, functools.partial(watches.get, name))
        for name in (root, middle)
    }
    context.hosts = [
        msgspec.structs.replace(
            host, control=running.get(host.name, host.control)
        )
        for host in unnamed
    ]
    context.follower_loads = Loads()
    for name in running:
        watches[name] = watcher(context, name, Loads())
    context.twin.put('servers/a', b'x 1', kv.ABSENT)
    watches[root].watch(0)
    context.twin.faults.outage = True
    watches[middle].watch(0)
    # The root answers with what it knows, the store not at all.
    context.follower = watcher(context, follower, context.follower_loads)


@behave.then('it gets its changes through the relay')
def through_relay(context):
    assert context.watched is not None
    assert [one.value for one in context.watched.events] == [b'x 1']


@behave.given('a root whose only peer accepts connections and never answers')
def hanging_peer(context):
    context.twin = memory_kv.MemoryKv(clock.SystemClock(), blocking=True)
    context.twin.put('servers/a', b'x 1', kv.ABSENT)
    silent = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(silent.close)
    address = '%s:%d' % silent.getsockname()
    context.hosts = [
        fleet_hosts.Host(f'h{number}', '', control=address)
        for number in range(13)
    ]
    context.root = watcher(context, roots(context.hosts)[0], Loads())


@behave.then(
    'of {count:d} watches only the first takes more than {seconds:g} s'
)
def watches_take(context, count, seconds):
    taken = []
    for _ in range(count):
        begun = time.monotonic()
        context.root.watch(0)
        taken.append(time.monotonic() - begun)
    assert taken[0] > seconds, taken
    assert max(taken[1:]) < seconds, taken


@behave.given('{count:d} listed hosts, of which both roots run')
def both_roots(context, count):
    context.twin = memory_kv.MemoryKv(clock.SystemClock(), blocking=True)
    context.servers = []
    unnamed = [
        fleet_hosts.Host(f'h{number}', '', control='127.0.0.1:1')
        for number in range(count)
    ]
    context.watches = {}
    running = {
        name: serve_exchange(
            context, functools.partial(context.watches.get, name)
        )
        for name in roots(unnamed)
    }
    context.hosts = [
        msgspec.structs.replace(
            host, control=running.get(host.name, host.control)
        )
        for host in unnamed
    ]
    context.twin.put('servers/a', b'x 1', kv.ABSENT)
    for name in running:
        context.watches[name] = watcher(context, name, Loads())
        context.watches[name].watch(0)
    name = next(host.name for host in context.hosts if host.name not in running)
    known = fleet_hosts.FleetHosts(
        next(host for host in context.hosts if host.name == name)
    )
    known.replace(context.hosts, 0)
    # Removals count at once while the store is calm.
    known.lapses.store_answered(-60)
    context.known = known
    context.follower_loads = Loads()
    context.follower = relay_watch.RelayWatch(
        context.twin, name, known, context.follower_loads, describe
    )


def counting(context):
    """Return the roots that count more than their own request."""
    return [
        name
        for name, watch in context.watches.items()
        if watch._relay.subtotal(census.Census(), time.monotonic()).running
    ]


@behave.then('one root counts it')
def one_root_counts(context):
    context.first = counting(context)
    assert len(context.first) == 1, context.first


@behave.when('the root that it asked leaves the list')
def asked_leaves(context):
    context.known.remove(context.first[0], time.monotonic())
    # One more host keeps the fleet large.
    context.known.update(fleet_hosts.Host('h99', '', control='127.0.0.1:1'))


@behave.then('the other root counts it')
def other_counts(context):
    now = counting(context)
    assert len(now) == 1 and now != context.first, (context.first, now)
