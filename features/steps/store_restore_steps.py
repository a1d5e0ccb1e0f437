import random
import socket
import time

import behave

from features import relay_fleet
from features.steps import feed_steps
from papayaloom import clock, errors, ids
from papayaloom.platform import store
from papayaloom.ports import kv
from papayaloom.process import (
    dispatch_actor,
    feed,
    fleet_hosts,
    poison_reports,
    presence,
    relay_plan,
)
from papayaloom.routing import dispatch, replicas
from papayaloom.routing.poison import poison_detector, poison_evidence

_STEPS = 4


class Follower:
    """Entries of the store as one host knows them."""

    def __init__(self, store, watch):
        self.entries = {}
        source = feed.Source(
            'servers/', self._replace, self._update, self.entries.pop
        )
        health = feed.Health(*[lambda *_: None] * 4)
        self._feed = feed.Feed(
            store, watch, (source,), health, random.Random(1)
        )

    def follow(self):
        for _ in range(_STEPS):
            try:
                self._feed.step()
            except errors.StoreUnavailableError:
                continue

    def _replace(self, entries):
        self.entries.clear()
        self.entries.update({one.key: one.value for one in entries})

    def _update(self, key, content):
        self.entries[key] = content


def change(context, count):
    store = context.fleet.twin
    for number in range(count):
        key = f'servers/{store.epoch}-{number}'
        assert store.put(key, b'x 1', kv.ABSENT).done


def follow(context):
    for one in context.followers:
        one.follow()


@behave.given('a relay and a host that follow the store')
def relay_and_host(context):
    hosts = relay_fleet.stopped_hosts(13)
    context.fleet = relay_fleet.Fleet(
        hosts, relay_fleet.roots(hosts)[:1], blocking=False
    )
    context.add_cleanup(context.fleet.close)
    (root,) = context.fleet.watches.values()
    leaf = relay_fleet.with_role(hosts, relay_plan.Role.LEAF)[0]
    follower = context.fleet.watcher(
        leaf, context.fleet.known(leaf), relay_fleet.Requests()
    )
    context.followers = [
        Follower(context.fleet.twin, one.watch) for one in (root, follower)
    ]
    follow(context)


@behave.given('one host that follow the store')
def one_host(context):
    hosts = relay_fleet.stopped_hosts(1)
    context.fleet = relay_fleet.Fleet(hosts, blocking=False)
    alone = context.fleet.watcher(
        'h0', context.fleet.known('h0'), relay_fleet.Requests()
    )
    context.followers = [Follower(context.fleet.twin, alone.watch)]
    follow(context)


@behave.when('the store is copied, and then changes {count:d} times')
def copied(context, count):
    context.backup = context.fleet.twin.backup()
    change(context, count)
    follow(context)


@behave.when('the store comes back from the copy and changes {count:d} times')
def restored(context, count):
    context.fleet.twin.restore(context.backup)
    change(context, count)
    follow(context)


@behave.then('all of them have what the store has')
def same_entries(context):
    listing = context.fleet.twin.list_prefix('servers/')
    expected = {one.key: one.value for one in listing.entries}
    found = [one.entries for one in context.followers]
    assert found == [expected] * len(found), (found, expected)


class Fleet:
    """Fleet of one host that has routes."""

    def __init__(self):
        self.is_registered = lambda: True
        self.has_routes = lambda: True
        self.lease_s = lambda: 10
        self.is_store_unavailable = lambda: False
        self.count = lambda: 1


def other_client(context):
    return store.PlatformStore('%s:%d' % context.standin_address)


@behave.when(
    'a host has a lease, the store comes back from an earlier copy, and another host gets the number'
)
def lease_number_again(context):
    backup = context.twin.backup()
    context.lease = context.store.grant_lease(60).id
    context.twin.restore(backup)
    other = other_client(context)
    other_lease = other.grant_lease(60).id
    assert other.put('hosts/other', b'', kv.ABSENT, other_lease).done


@behave.then(
    "the first host's lease is over, and what it does to it leaves the other host's entry alone"
)
def lease_is_over(context):
    assert not context.store.renew_lease(context.lease)
    context.store.revoke_lease(context.lease)
    assert context.twin.get('hosts/other') is not None
    try:
        context.store.put('hosts/mine', b'', kv.ABSENT, context.lease)
    except errors.StoreUnavailableError:
        return
    raise AssertionError('written under the lease of another host')


@behave.when('a host registers, and the store comes back from an earlier copy')
def registers(context):
    backup = context.twin.backup()
    context.presence = presence.Presence(
        context.store, 'hosts/mine', b'me', Fleet(), random.Random(1)
    )
    context.presence.step(time.monotonic())
    assert context.twin.get('hosts/mine') is not None
    context.twin.restore(backup)


@behave.then('the host registers with its next step')
def registers_again(context):
    context.presence.store_restored()
    context.presence.step(time.monotonic())
    assert context.twin.get('hosts/mine') is not None


def reports(context):
    return context.twin.list_prefix('poison/').entries


@behave.when(
    'a host reports a condemned request, and the store comes back from an earlier copy'
)
def reports_condemned(context):
    backup = context.twin.backup()
    start_reporter(context, fleet_hosts.FleetHosts(fleet_hosts.Host('h1', '')))
    wait_for_report(context, 2)
    context.twin.restore(backup)
    assert not reports(context)


def start_reporter(context, hosts):
    """Report a condemned request from host h1."""
    actor = dispatch_actor.DispatchActor.start(
        dispatch.Dispatcher(dispatch.Cfg(), random.Random(1)),
        clock.SystemClock(),
    )
    context.add_cleanup(actor.stop)
    desk = dispatch_actor.DispatchClient(actor)
    destination = poison_reports.Destination(
        'poison/', 'h1', hosts, lambda: False
    )
    context.reporter = poison_reports.Reporter(
        context.store, destination, desk, random.Random(1)
    )
    context.add_cleanup(context.reporter.stop)
    desk.ask(lambda dispatcher, now: condemn(dispatcher, now))
    context.reporter.wake()


@behave.when(
    'a host reports a condemned request while the store takes {seconds:g} s'
)
def reports_slowly(context, seconds):
    context.twin.faults.slow_s = seconds
    listener = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(listener.close)
    context.other_host = listener
    address = '{0}:{1}'.format(*listener.getsockname())
    hosts = fleet_hosts.FleetHosts(fleet_hosts.Host('h1', ''))
    hosts.update(fleet_hosts.Host('h2', '', control=address))
    start_reporter(context, hosts)


@behave.then('another host gets the report within {seconds:g} s')
def other_host_hears(context, seconds):
    context.other_host.settimeout(seconds)
    conn, _ = context.other_host.accept()
    with conn:
        assert conn.recv(4096).startswith(b'POST /poison ')


def condemn(dispatcher, now):
    for number in range(3):
        start = replicas.ReplicaStart(f'start-{number}')
        suspicion = poison_evidence.Suspicion(ids.Fingerprint('f'), start)
        dispatcher.poison.record_attempt(
            poison_detector.Attempt(
                poison_detector.Subject(ids.Fingerprint('f')),
                f'e{number}',
                now,
                suspicion,
                is_success=False,
            ),
            now,
        )


def wait_for_report(context, seconds):
    deadline = time.monotonic() + seconds
    while not reports(context):
        assert time.monotonic() < deadline
        time.sleep(0.05)


@behave.then('the report is in the store again within {seconds:d} s')
def report_again(context, seconds):
    context.reporter.store_restored()
    wait_for_report(context, seconds)


def replica_entry(context):
    return context.twin.get('servers/new')


def follow_view(context):
    for _ in range(2):
        context.feed.step()


@behave.when('the host follows, and the store is copied')
def follows_and_copied(context):
    follow_view(context)
    assert feed_steps.known_replicas(context) == ['new']
    context.backup = context.twin.backup()


@behave.when('the replica is removed, and the host follows')
def removed(context):
    revision = replica_entry(context).revision
    assert context.twin.delete('servers/new', revision).done
    follow_view(context)
    assert not feed_steps.known_replicas(context)


@behave.when('the store comes back from the copy, and the host follows')
def back_and_follows(context):
    context.twin.restore(context.backup)
    follow_view(context)


@behave.then('the host knows no replica')
def knows_none(context):
    assert not feed_steps.known_replicas(context)


@behave.when('the replica writes its entry again')
def writes_again(context):
    entry = replica_entry(context)
    assert context.twin.put(entry.key, entry.value, entry.revision).done


def write_version(context, number):
    content = b'{"version": %d, "routes": []}' % number
    known = context.twin.get('op/config')
    revision = known.revision if known else kv.ABSENT
    assert context.twin.put('op/config', content, revision).done
    follow_view(context)
    assert context.view.version == number


@behave.when('the operator writes version 1, and the store is copied')
def first_version(context):
    write_version(context, 1)
    context.backup = context.twin.backup()


@behave.when('the operator writes version 2, and the host follows')
def second_version(context):
    write_version(context, 2)


@behave.then('a host that starts with its snapshot has version 2')
def starts_with_snapshot(context):
    content = context.view.snapshot()
    feed_steps.knows_from_snapshot(context)
    context.view.restore(content)
    assert context.view.version == 2, context.view.version
