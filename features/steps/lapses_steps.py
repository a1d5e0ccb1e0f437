import random

import behave

from papayaloom import ids
from papayaloom.process import fleet_hosts
from papayaloom.routing import dispatch, dispatch_messages, replicas

NAME = replicas.ReplicaId('i-1')
LISTED = replicas.Replica(
    id=NAME, service=ids.ServiceId('pool'), address=('10.0.0.1', 80), born=1
)


def known(context):
    return context.replicas.find(NAME) is not None


@behave.given(
    'a listed replica and a store that has answered for {seconds:d} s'
)
def listed_replica(context, seconds):
    context.now = float(seconds)
    context.replicas = replicas.Replicas(replicas.Cfg())
    context.lapses = context.replicas.lapses
    context.lapses.store_answered(0)
    context.replicas.update(LISTED, 0)


@behave.given(
    'a host beside this one and a store that has answered for {seconds:d} s'
)
def host_beside(context, seconds):
    context.now = float(seconds)
    context.hosts = fleet_hosts.FleetHosts(fleet_hosts.Host('a', '10.0.0.1:1'))
    context.lapses = context.hosts.lapses
    context.lapses.store_answered(0)
    context.hosts.update(fleet_hosts.Host('b', '10.0.0.2:1'))


@behave.when('the store is away for {seconds:d} s and returns')
def store_away(context, seconds):
    context.lapses.store_failed()
    context.now += seconds
    context.lapses.store_answered(context.now)


@behave.when('calls to the store fail for {seconds:g} s')
def calls_fail(context, seconds):
    context.lapses.store_failed(context.now)
    context.now += seconds
    context.lapses.store_answered(context.now)


@behave.when('a host starts whose calls fail for {seconds:g} s')
def starts_and_fails(context, seconds):
    context.replicas = replicas.Replicas(replicas.Cfg())
    context.lapses = context.replicas.lapses
    context.lapses.store_failed()
    context.now += seconds
    context.lapses.store_answered(context.now)
    context.replicas.update(LISTED, context.now)


@behave.when('its entry is removed')
def entry_removed(context):
    context.replicas.remove(NAME, context.now)


@behave.when("the other host's entry is removed")
def host_removed(context):
    context.hosts.remove('b', context.now)


@behave.when('a listing without it arrives')
def listing_without(context):
    context.replicas.replace([], context.now)


@behave.when('its entry says that it drains')
def entry_drains(context):
    draining = replicas.Replica(
        id=NAME,
        service=LISTED.service,
        address=LISTED.address,
        state=replicas.State.DRAINING,
        born=1,
    )
    context.replicas.update(draining, context.now)


@behave.when('{seconds:d} s later its entry is back')
def entry_back(context, seconds):
    context.now += seconds
    context.replicas.update(LISTED, context.now)


@behave.when('{seconds:d} s pass after that')
def pass_after(context, seconds):
    context.now += seconds
    if hasattr(context, 'replicas'):
        context.replicas.tick(context.now)
    else:
        context.hosts.tick(context.now)


@behave.when('its entry comes with another start')
def another_start(context):
    other = replicas.Replica(
        id=NAME, service=LISTED.service, address=LISTED.address, born=2
    )
    context.is_other = context.replicas.update(other, context.now)


@behave.then('what was known of the process before is dropped')
def is_other_process(context):
    assert context.is_other


@behave.then('it is gone')
def is_gone(context):
    assert not known(context)


@behave.then('it still takes work')
def takes_work(context):
    assert context.replicas.ready(LISTED.service, context.now) == [LISTED]


@behave.then('the directory names {count:d} hosts')
def directory_names(context, count):
    named = context.hosts.advertised(0, include_self=True)
    assert len(named) == count, named


@behave.given(
    '{count:d} hosts beside this one and a store that has answered for {seconds:d} s'
)
def hosts_beside(context, count, seconds):
    host_beside(context, seconds)
    context.beside = ['b', *(f'h{number}' for number in range(1, count))]
    for name in context.beside:
        context.hosts.update(fleet_hosts.Host(name, name))
    context.hosts.tick(context.now)


@behave.when("the other hosts' entries are removed")
def hosts_removed(context):
    for name in context.beside:
        context.hosts.remove(name, context.now)


@behave.given(
    "a router that started {before:g} s before a replica's entry is removed, with the store up"
)
def just_started(context, before):
    context.router = dispatch.Dispatcher(dispatch.Cfg(), random.Random(1))
    listed = [
        replicas.Replica(
            id=replicas.ReplicaId(name),
            service=ids.ServiceId('pool'),
            address=('10.0.0.1', number),
        )
        for number, name in enumerate(('leaving', 'other'))
    ]
    context.router.replicas.lapses.store_answered(100.0)
    context.router.replicas.replace(listed, 100.0)
    context.removed_at = 100.0 + before
    context.router.replicas.remove(listed[0].id, context.removed_at)


@behave.given(
    "a router that started {before:g} s before a replica's entry is removed, with one failed call after {after:g} s"
)
def just_started_and_failed(context, before, after):
    just_started(context, before)
    # The same again, with a call that failed before the removal.
    fresh = dispatch.Dispatcher(dispatch.Cfg(), random.Random(1))
    listed = context.router.replicas.dump()
    lapses = fresh.replicas.lapses
    lapses.store_answered(100.0)
    fresh.replicas.replace(listed, 100.0)
    lapses.store_failed(100.0 + after)
    lapses.store_answered(100.0 + after + 0.25)
    fresh.replicas.remove(listed[0].id, context.removed_at)
    context.router = fresh


@behave.then('{after:g} s after the removal no request goes to that replica')
def none_goes_there(context, after):
    now = context.removed_at + after
    for _ in range(20):
        wanted = dispatch_messages.PlacementRequest(ids.ServiceId('pool'))
        choice = context.router.place(wanted, now).ok_value
        assert choice.replica.id == 'other', choice
        context.router.ended(
            dispatch_messages.AttemptResult(wanted.service, choice.replica.id),
            now,
        )
