"""Steps on evacuations under load, over sockets and without the store."""

import contextlib
import random
import threading
import time
import types

import behave
import msgspec

from features import forwarding_router as fleets
from features import one_router, placement_model, relay_fleet
from features.steps import evacuation_steps
from papayaloom import errors
from papayaloom.ports import kv
from papayaloom.process import feed
from papayaloom.routing import dispatch


@behave.given('{hosts:d} routers that hear of changes within {lag:g} s')
def routers(context, hosts, lag):
    context.lag = lag
    context.listed = [
        evacuation_steps.replica(zone, one)
        for zone in 'abc'
        for one in range(6)
    ]
    context.routers = []
    for seed in range(hosts):
        made = dispatch.Dispatcher(dispatch.Cfg(), random.Random(seed), hosts)
        made.replicas.replace(context.listed, 0)
        context.routers.append(made)


@behave.when(
    'zone a is evacuated from 2 s to 8 s beside three times the traffic of '
    '{kind} requests from 3 s to 6 s'
)
def burst(context, kind):
    load = placement_model.Load(
        150,
        0.3,
        {f'p{one}': 1 for one in range(200)} if kind == 'model' else {},
        slots=8,
        burst=placement_model.Burst(3, 6, 3),
    )
    names = [one.id for one in context.listed]
    context.model = placement_model.Model(
        context.routers, names, evacuation_steps.SERVICE, load, 0.4, 0.8
    )
    for number, one in enumerate(context.routers):
        lag = context.lag * number / len(context.routers)
        known = one.evacuations
        context.model.plan(2 + lag, lambda now, it=known: it.evacuate('a', now))
        context.model.plan(8 + lag, lambda now, it=known: it.end('a', now))
    context.model.run(18)


def share_of_a(context, since, until):
    counts = {
        name: sum(since <= at < until for at in times)
        for name, times in context.model.arrivals.items()
    }
    in_a = sum(n for name, n in counts.items() if name.startswith('a'))
    return in_a / sum(counts.values())


@behave.then(
    'zone a gets nothing from {since:g} s to {until:g} s, and its share grows '
    'until it is usual at {back:g} s'
)
def grows(context, since, until, back):
    assert share_of_a(context, since, until) == 0
    usual = share_of_a(context, 0, 2)
    found = [
        share_of_a(context, at, at + 1.5) / usual for at in (8, 10.5, back)
    ]
    assert found[0] < 0.35 and found[0] < found[1] < 0.95 * found[2], found
    assert found[2] > 0.75, found


@behave.then('two routers agree on the prefixes that came back by {at:g} s')
def agree(context, at):
    for one in context.routers[:2]:
        one.evacuations.evacuate('a', 7)
        one.evacuations.end('a', 8)
    listed, rng = context.listed, random.Random(1)
    found = [
        [
            one.evacuations.ramped(listed, f'p{number}', at, rng) == listed
            for number in range(200)
        ]
        for one in context.routers[:2]
    ]
    assert found[0] == found[1] and 0 < sum(found[0]) < 200, found


def entry(context, name, zone):
    known = context.fleet.twin.get(name)
    content = {**msgspec.json.decode(known.value), 'zone': zone}
    content = msgspec.json.encode(content)
    assert context.fleet.twin.put(name, content, known.revision).done


@behave.given('a forwarding router with a replica in zone a and one in b')
def two_zones(context):
    one_router.start(context, fleets.whole)
    context.fleet.add_replica(fleets.whole)
    entry(context, 'servers/i-1', 'a')
    entry(context, 'servers/i-2', 'b')
    one_router.wait_for_replicas(context)


@behave.when('the operator evacuates the zones {zones}')
def evacuate(context, zones):
    names = zones.split(', ')
    for zone in names:
        key = f'op/evacuate/{zone}'
        assert context.fleet.twin.put(key, b'{}', kv.ABSENT).done
    assert fleets.until(5, lambda: held(context.router) >= set(names))
    engines = context.fleet.replicas
    context.before = [(one.connections, len(one.requests)) for one in engines]


def held(router):
    return set(router.dump()['dispatch']['zones']['evacuated_s'])


@behave.then(
    '{count:d} callers of "{path}" get {status:d}, and zone a gets nothing'
)
def callers(context, count, path, status):
    for number in range(count):
        answer = fleets.ask(context.router, 'POST', path, request=f'n-{number}')
        assert answer.status == status, answer.content
        if status == 503:
            assert float(answer.headers['Retry-After']) > 0, answer.headers
            assert b'evacuated' in answer.content, answer.content
    one = context.fleet.replicas[0]
    assert (one.connections, len(one.requests)) == context.before[0]


@behave.given('another one that does not reach the store')
def other_router(context):
    context.other = context.fleet.start_router(
        seeds=[context.router.addresses['control']],
        store_at=('127.0.0.1', 1),
        evacuation_s=5.0,
    )
    assert fleets.until(5, lambda: context.other.dump()['version'])


@behave.then('the other one holds zone a evacuated within {seconds:d} s')
def other_holds(context, seconds):
    assert fleets.until(seconds, lambda: held(context.other) == {'a'})


@behave.when('zone a is evacuated while a request that breaks off runs there')
def breaks_off(context):
    twin = context.fleet.twin

    def script(engine, conn, *args):
        evacuate(context, 'a')
        key = 'op/evacuate/b'
        assert twin.delete(key, twin.get(key).revision).done
        assert fleets.until(2, lambda: held(context.router) == {'a'})
        return fleets.reset(engine, conn, *args)

    context.fleet.replicas[0].script = script
    context.fleet.replicas[1].script = fleets.stream(3)
    evacuate(context, 'b')
    context.answer = fleets.ask(context.router, 'POST', '/resumable/x')


@behave.then('the request is answered from zone b, and zone a is not probed')
def from_b(context):
    assert context.answer.status == 200, context.answer.content
    assert context.fleet.replicas[0].connections == context.before[0][0]


def refuse(*args):
    raise errors.StoreUnavailableError('cut off')


@behave.when('one of {count:d} hosts, a {role}, is cut from the store')
def cut(context, count, role):
    hosts = relay_fleet.stopped_hosts(count)
    names = relay_fleet.roots(hosts) or [one.name for one in hosts[:2]]
    context.fleet = relay_fleet.Fleet(hosts, names[:1])
    context.add_cleanup(context.fleet.close)
    (other,) = context.fleet.watches.values()
    other.watch(kv.Position(0))
    known = context.fleet.known(names[1])
    context.cut = context.fleet.watcher(
        names[1], known, relay_fleet.Requests(), asks_peers=True
    )
    context.cut._store = types.SimpleNamespace(watch=refuse)


@behave.then('it still learns of changes from another host')
def learns_from_other(context):
    # The third of three hosts is asked too, and does not answer.
    with contextlib.suppress(errors.StoreUnavailableError):
        context.cut.watch(kv.Position(0))
    watched = context.cut.watch(kv.Position(0))
    assert [one.value for one in watched.events] == [b'x 1'], watched


@behave.when('a host is suspended for longer than an evacuation may take')
def suspended(context):
    health = feed.Health(*[lambda *_: None] * 4)
    context.feed = feed.Feed(None, None, (), health, random.Random(1))
    context.feed._record_informed(time.monotonic() - 4)


@behave.then('a request waits until the host has asked for changes')
def waits(context):
    def answer():
        # The first answer is to a call from before the suspension.
        context.feed._record_informed(time.monotonic() - 4)
        context.feed._record_informed(time.monotonic())

    threading.Timer(0.15, answer).start()
    begun = time.monotonic()
    context.feed.wait_current(3.5)
    assert 0.1 < time.monotonic() - begun < 0.45


@behave.then('no request waits while the store is known to be away')
def nobody_waits(context):
    context.feed._record_informed(time.monotonic() - 4)
    context.feed._record_failure(errors.StoreUnavailableError('away'))
    begun = time.monotonic()
    context.feed.wait_current(3.5)
    assert time.monotonic() - begun < 0.1
