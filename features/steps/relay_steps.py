import json

import behave
import msgspec

from features import relay_fleet
from papayaloom.ports import kv
from papayaloom.process import relay
from papayaloom.routing.load import request_counts


def event(text, revision):
    return kv.Event('servers/a', revision, text.encode())


def ask(context, revision, host='h1', loads=None, is_root=False):
    report = relay.Report(
        host, revision, request_counts.RequestCounts(loads or {}), is_root
    )
    return context.relay.answer(
        report, request_counts.RequestCounts(), context.now
    )


@behave.given('a relay that watches from revision {revision:d}')
def relay_from(context, revision):
    context.now = 0.0
    context.relay = relay.Relay(relay_fleet.describe)
    context.relay.assign_role(is_root=True)
    context.relay.publish(
        kv.Position(revision), kv.WatchResult((), revision), context.now
    )


@behave.when(
    'the store changes "{key}" to "{one}" at {first:d}, to "{two}" at {second:d} and to "{three}" at {third:d}'
)
def store_changes(context, key, one, first, two, second, three, third):
    events = (event(one, first), event(two, second), event(three, third))
    context.relay.publish(
        kv.Position(10), kv.WatchResult(events, third), context.now
    )


@behave.when('the relay lists the store again and goes on from {revision:d}')
def lists_again(context, revision):
    context.relay.publish(
        kv.Position(revision), kv.WatchResult((), revision + 1), context.now
    )


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
    mine = request_counts.RequestCounts({name: own})
    totals = context.relay.totals(mine, context.now)
    assert totals.running[name] == total
    followers = context.relay.subtotal(mine, context.now)
    assert followers.running[name] == subtotal


@behave.when('the store does not answer the relay')
def store_silent(context):
    context.relay.record_store_failure()


@behave.when("the relay's history is lost")
def history_lost(context):
    lost = kv.WatchResult((), 10, lost=True)
    context.relay.publish(kv.Position(10), lost, context.now)


@behave.given('a relay that follows a host whose knowledge is {age:g} s old')
def follows_old(context, age):
    context.now = 10.0
    context.relay = relay.Relay(relay_fleet.describe)
    context.relay.publish(
        kv.Position(10), kv.WatchResult((), 10), context.now - age
    )


@behave.then('the totals that it passes on are {totals}')
def passes_totals(context, totals):
    digest = ask(context, 10, loads={'a': 3})
    running = digest.totals.running if digest.totals else {}
    assert running == json.loads(totals), digest.totals


@behave.when('the host that it follows says that the fleet has {totals}')
def follows_totals(context, totals):
    totals = request_counts.RequestCounts(json.loads(totals))
    digest = relay.Reply(0, (), totals)
    context.relay.update_fleet_totals(digest, context.now)


@behave.when('the store changes a value of {size:d} similar bytes')
def long_value(context, size):
    context.value = (b'{"name": "route-1"}' * size)[:size]
    change = kv.Event('op/config', 11, context.value)
    context.relay.publish(
        kv.Position(10), kv.WatchResult((change,), 11), context.now
    )


@behave.then('a host gets the value whole in less than {size:d} bytes')
def value_is_whole(context, size):
    digest = ask(context, 10)
    assert len(msgspec.msgpack.encode(digest)) < size
    assert relay.unpack(digest.events[0]).value == context.value
