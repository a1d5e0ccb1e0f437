"""Steps on evacuated zones."""

import random

import behave
import msgspec
import structlog

from features.steps import feed_steps
from papayaloom import ids
from papayaloom.ports import kv
from papayaloom.process import relay
from papayaloom.routing import dispatch, dispatch_messages, replicas
from papayaloom.routing.load import request_counts
from papayaloom.routing.overload import budgets

SERVICE = ids.ServiceId('models')
_PLACEMENTS = 300
_CONTENTS = {
    '{}': b'{}',
    'nothing': b'',
    '5': b'5',
    'nested': b'[' * 100_000,
    'not UTF-8': b'\xff\xfe',
}


def replica(zone, number, **changes):
    return replicas.Replica(
        replicas.ReplicaId(f'{zone}{number}'),
        SERVICE,
        (f'10.0.0.{ord(zone)}', 9000 + number),
        zone=zone,
        slots=64,
        **changes,
    )


@behave.given('a router with 3 replicas in each of the zones a, b and c')
def router(context):
    context.now = 100.0
    cfg = dispatch.Cfg(repeats=budgets.RetryBound(slack=10_000))
    context.made = dispatch.Dispatcher(cfg, random.Random(3))
    context.made.replicas.lapses.store_answered(0)
    context.listed = [replica(zone, one) for zone in 'abc' for one in range(3)]
    context.made.replicas.replace(context.listed, context.now)


@behave.when('it learns of {events}')
def learns(context, events):
    for event in events.split(', '):
        context.now += 20
        apply(context, *event.split())


def apply(context, kind, *words):
    known = context.made.evacuations
    if kind == 'evacuate':
        known.evacuate(words[0], context.now)
    elif kind == 'end':
        known.end(words[0], context.now)
    elif kind in {'older', 'newer'}:
        zones = [one for one in words[2:] if one != 'none']
        known.replace(zones, context.now, is_older=kind == 'older')
    elif kind == 'store':
        context.made.replicas.lapses.store_failed()
    elif kind == 'entries':
        context.made.replicas.replace([], context.now)
        context.made.replicas.replace(context.listed, context.now)
    else:
        one = replica(words[-1], 9, born=7)
        context.made.replicas.update(one, context.now)
    # Time passes, so that a returned zone has got back all its traffic.
    context.now += 20


def place(context, number):
    """Place a plain request, one with a prefix, and a repeat of each."""
    prefix = f'prefix {number}' if number % 2 else ''
    wanted = dispatch_messages.PlacementRequest(SERVICE, prefix)
    first = context.made.place(wanted, context.now)
    if first.is_err():
        return [first]
    name = first.ok_value.replica.id
    ended = dispatch_messages.AttemptResult(SERVICE, name, is_failure=False)
    context.made.ended(ended, context.now)
    again = dispatch_messages.PlacementRequest(
        SERVICE, prefix, tried=frozenset([name]), is_retry=True
    )
    second = context.made.place(again, context.now)
    if second.is_ok():
        name = second.ok_value.replica.id
        ended = dispatch_messages.AttemptResult(SERVICE, name)
        context.made.ended(ended, context.now)
    return [first, second]


@behave.then('first attempts, repeats and copies reach the zones {zones} only')
def reach(context, zones):
    chosen, sources = set(), set()
    for number in range(_PLACEMENTS):
        for one in place(context, number):
            choice = one.unwrap()
            chosen.add(choice.replica.zone)
            if choice.source:
                sources.add(choice.source.zone)
    assert chosen == sources == set(zones.split(', ')), (chosen, sources)


@behave.then('requests are rejected with 503 because all zones are evacuated')
def rejected(context):
    (placed,) = place(context, 1)
    problem = placed.unwrap_err()
    assert problem.status == 503 and problem.retry_after_s > 0, problem
    assert 'evacuated' in problem.title, problem
    dumped = context.made.dump(context.now)
    assert dumped['decisions']['rejected_all_zones_evacuated'] == 1, dumped


def write(context, key, content):
    known = context.twin.get(key)
    expect = known.revision if known else kv.ABSENT
    assert context.twin.put(key, content, expect).done
    with structlog.testing.capture_logs() as lines:
        context.feed.step()
        context.view.tick()
        evacuated(context)
    context.lines = [*getattr(context, 'lines', ()), *lines]


def evacuated(context):
    return context.desk.ask(lambda made, _: sorted(made.evacuations.zones))


@behave.when('the operator evacuates "{zone}"')
def evacuates(context, zone):
    write(context, f'op/evacuate/{zone}', b'{}')


@behave.when('the operator writes {content} to "{key}"')
def writes(context, content, key):
    write(context, key, _CONTENTS[content])


@behave.when('the operator ends the evacuation of "{zone}"')
def ends(context, zone):
    key = f'op/evacuate/{zone}'
    revision = context.twin.get(key).revision
    assert context.twin.delete(key, revision).done
    context.feed.step()


@behave.when('the store is copied, and the operator evacuates "{zone}"')
def copied_before(context, zone):
    context.backup = context.twin.backup()
    evacuates(context, zone)


@behave.then('the host holds "{zones}" evacuated')
def holds(context, zones):
    assert evacuated(context) == zones.split(', '), evacuated(context)


@behave.then('a host that starts with its snapshot holds "{zones}" evacuated')
def starts_with_snapshot(context, zones):
    write(context, 'op/config', b'{"version": 1, "routes": []}')
    kept = context.view, context.desk
    content = context.view.snapshot()
    feed_steps.knows_from_snapshot(context)
    context.view.restore(content)
    holds(context, zones)
    # The listing may be older than the snapshot.
    for source in context.view.sources():
        source.replace([])
    holds(context, zones)
    context.view, context.desk = kept


@behave.then(
    'it relays an evacuation that is written twice with the same value twice'
)
def relays_twice(context):
    relayed = relay.Relay(context.view.describe)
    for revision in (1, 2):
        event = kv.Event('op/evacuate/a', revision, b'{}')
        watched = kv.WatchResult((event,), revision)
        relayed.publish(kv.Position(revision - 1), watched, 0)
    report = relay.Report('h2', 0, request_counts.RequestCounts())
    own = request_counts.RequestCounts()
    changes = relayed.answer(report, own, 0).events
    assert [one.revision for one in changes] == [1, 2], changes


@behave.then('it logs "{line}"')
def logs(context, line):
    assert line in {one['event'] for one in context.lines}, context.lines


@behave.then('the host holds "" evacuated')
def holds_none(context):
    assert not evacuated(context), evacuated(context)


@behave.when('the store is calm for {seconds:d} s')
def calm(context, seconds):
    def step(made, now):
        made.replicas.lapses.store_failed()
        made.replicas.lapses.store_answered(now - seconds)

    context.desk.ask(step)
    if context.view.evacuations.needs_listing(random.Random(1)):
        context.feed.list_again()
    context.feed.step()


@behave.when('the snapshot of another host has "{zone}" evacuated')
def in_snapshot(context, zone):
    content = msgspec.msgpack.encode({f'op/evacuate/{zone}': b'{}'})
    context.view.evacuations.restore(content)
