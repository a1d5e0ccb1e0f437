import socket
import threading
import time

import behave

from features import relay_fleet
from papayaloom import errors, ids
from papayaloom.ports import kv
from papayaloom.process import fleet_hosts, relay_plan
from papayaloom.routing import replicas
from papayaloom.routing.load import request_counts


def fleet(context, count, running):
    """Run some hosts of a fleet; its first leaf is the one that watches."""
    hosts = relay_fleet.stopped_hosts(count)
    context.fleet = relay_fleet.Fleet(hosts, running(hosts))
    context.add_cleanup(context.fleet.close)
    name = relay_fleet.with_role(hosts, relay_plan.Role.LEAF)[0]
    context.known = context.fleet.known(name)
    context.follower_requests = relay_fleet.Requests()
    context.follower = context.fleet.watcher(
        name, context.known, context.follower_requests
    )


@behave.given('{count:d} listed hosts, of which one runs as the only relay')
def listed_hosts(context, count):
    fleet(context, count, lambda hosts: relay_fleet.roots(hosts)[:1])
    (context.served,) = context.fleet.watches.values()
    context.served.watch(kv.Position(0))


@behave.when('a host that is no relay watches')
def no_relay_watches(context):
    context.reads_before = context.fleet.twin.counts.reads
    try:
        context.watched = context.follower.watch(kv.Position(0))
    except errors.StoreUnavailableError:
        context.watched = None


@behave.then(
    'it gets its changes from the relay, and the store was asked nothing'
)
def from_relay(context):
    assert [one.value for one in context.watched.events] == [b'x 1']
    assert context.fleet.twin.counts.reads == context.reads_before
    assert context.follower_requests.totals.running == {'a': 2}


@behave.when("the relay's process ends")
def relay_ends(context):
    context.fleet.close()


@behave.then('it gets its changes from the store')
def from_store(context):
    assert [one.value for one in context.watched.events] == [b'x 1']
    assert context.fleet.twin.counts.reads > context.reads_before


@behave.when('the store is down and the relay watches')
def down_and_watches(context):
    context.fleet.twin.faults.outage = True
    try:
        context.served.watch(kv.Position(1))
    except errors.StoreUnavailableError:
        return
    raise AssertionError('the outage was not noticed')


@behave.then('it learns that neither relay nor store answers')
def neither_answers(context):
    assert context.watched is None


@behave.when("the store cuts the relay's watch")
def cuts_watch(context):
    cut = threading.Timer(0.1, context.fleet.twin.cut_watches)
    cut.start()
    try:
        context.served.watch(kv.Position(1))
    except errors.WatchCutError:
        return
    raise AssertionError('the watch was not cut')


def root_and_first_relay(hosts):
    leaf = relay_fleet.with_role(hosts, relay_plan.Role.LEAF)[0]
    asked = relay_plan.plan(leaf, hosts).sources[0]
    return relay_fleet.roots(hosts)[0], asked.name


@behave.given(
    '{count:d} listed hosts, of which a root and a relay run, the relay cut from the store'
)
def root_and_relay(context, count):
    fleet(context, count, root_and_first_relay)
    root, middle = context.fleet.watches.values()
    root.watch(kv.Position(0))
    # The root answers with what it knows, the store not at all.
    context.fleet.twin.faults.outage = True
    middle.watch(kv.Position(0))


@behave.then('it gets its changes through the relay')
def through_relay(context):
    assert context.watched is not None
    assert [one.value for one in context.watched.events] == [b'x 1']


@behave.given('a root whose only peer accepts connections and never answers')
def hanging_peer(context):
    silent = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(silent.close)
    hosts = relay_fleet.stopped_hosts(13, '%s:%d' % silent.getsockname())
    place = relay_fleet.Fleet(hosts)
    root = relay_fleet.roots(hosts)[0]
    context.root = place.watcher(
        root, place.known(root), relay_fleet.Requests()
    )


@behave.then(
    'of {count:d} watches only the first takes more than {seconds:g} s'
)
def watches_take(context, count, seconds):
    taken = []
    for _ in range(count):
        begun = time.monotonic()
        context.root.watch(kv.Position(0))
        taken.append(time.monotonic() - begun)
    assert taken[0] > seconds, taken
    assert max(taken[1:]) < seconds, taken


@behave.given('{count:d} listed hosts, of which both roots run')
def both_roots(context, count):
    fleet(context, count, relay_fleet.roots)
    for watch in context.fleet.watches.values():
        watch.watch(kv.Position(0))


def counting(context):
    """Return the roots that count more than their own request."""
    return [
        name
        for name, watch in context.fleet.watches.items()
        if watch._relay.subtotal(
            request_counts.RequestCounts(), time.monotonic()
        ).running
    ]


@behave.then('one root counts it')
def one_root_counts(context):
    context.first = counting(context)
    assert len(context.first) == 1, context.first


@behave.when('the root that it asked leaves the list')
def asked_leaves(context):
    context.known.remove(context.first[0], time.monotonic())
    # One more host keeps the fleet large.
    context.known.update(
        fleet_hosts.Host('h99', '', control=relay_fleet.REFUSING)
    )


@behave.then('the other root counts it')
def other_counts(context):
    now = counting(context)
    assert len(now) == 1 and now != context.first, (context.first, now)


def replica(name):
    return replicas.Replica(
        replicas.ReplicaId(name), ids.ServiceId('pool'), ('10.0.0.1', 80)
    )


@behave.when(
    'a host that is no relay hears that the replica "{name}" takes {per_s:g} a second'
)
def follower_hears(context, name, per_s):
    limits = context.follower_requests.limits
    limits.record(replica(name), per_s, time.monotonic())


@behave.when(
    'the relay hears that the replica "{name}" takes {per_s:g} a second'
)
def relay_hears(context, name, per_s):
    (requests,) = context.fleet.requests.values()
    requests.limits.record(replica(name), per_s, time.monotonic())


@behave.then('both know the limits "{expected}"')
def both_know(context, expected):
    (requests,) = context.fleet.requests.values()
    now = time.monotonic()
    for known in (requests.limits, context.follower_requests.limits):
        found = ', '.join(
            f'{name}={known.per_s(replica(name), now):g}' for name in 'ab'
        )
        assert found == expected, found
