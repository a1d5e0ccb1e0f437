import behave
import msgspec

from features.machines import membership_machine
from papayaloom import messages
from papayaloom.bench import fleet_simulation

FIRST, SECOND = 'router-000', 'router-001'


@behave.given('a fleet of {size:d} routers with {percent:d}% loss')
def fleet(context, size, percent):
    context.fleet = fleet_simulation.Fleet(size, percent / 100, seed=3)
    context.fleet.run(3)


def one_way(sender, receiver):
    return (sender, receiver) == (FIRST, SECOND)


def both_ways(sender, receiver):
    return {sender, receiver} == {FIRST, SECOND}


def pause_often(fleet, seconds):
    for start in range(0, seconds, 5):
        fleet.call_at(fleet.now + start, lambda: fleet.pause(FIRST, 1.8))


@behave.when('there is {fault} for {seconds:d} seconds')
def fault_for(context, fault, seconds):
    if 'late' in fault:
        context.fleet.extra_delay_s[FIRST] = 1.0
    elif 'one-way' in fault:
        context.fleet.is_blocked = one_way
    elif 'both ways' in fault:
        context.fleet.is_blocked = both_ways
    else:
        pause_often(context.fleet, seconds)
    context.fleet.run(context.fleet.now + seconds)


@behave.then('no router believed a living member dead')
def no_false_death(context):
    assert context.fleet.false_deaths == 0


@behave.when('one router is cut off for {seconds:d} seconds and returns')
def cut_off(context, seconds):
    context.false = []
    for name, router in context.fleet.routers.items():
        if name != FIRST:
            router.membership.subscribe(
                lambda member: (
                    context.false.append(member)
                    if member.state is messages.MemberState.DEAD
                    and member.router != FIRST
                    else None
                )
            )
    context.fleet.is_blocked = lambda one, other: FIRST in {one, other}
    context.fleet.run(context.fleet.now + seconds)
    context.fleet.is_blocked = lambda *_: False
    context.fleet.run(context.fleet.now + 20)


@behave.then('no router among the others believed another of them dead')
def none_of_the_others(context):
    assert not context.false


@behave.then('within {seconds:d} seconds all routers have the same members')
def same_members(context, seconds):
    context.fleet.run(context.fleet.now + seconds)
    running = set(context.fleet.routers)
    for name, router in context.fleet.routers.items():
        alive = {one.router for one in router.membership.alive()}
        assert alive == running, (name, running ^ alive)


@behave.when('a router crashes')
def crash(context):
    context.victim = context.fleet.crash(SECOND)


@behave.then('all others have it dead within {seconds:d} seconds')
def all_have_dead(context, seconds):
    context.fleet.run(context.fleet.now + seconds)
    for router in context.fleet.routers.values():
        assert not router.membership.table.get(SECOND).is_alive


@behave.when('the network is partitioned for {seconds:d} seconds')
def partition(context, seconds):
    context.fleet.is_blocked = lambda one, other: (
        (one < 'router-003') != (other < 'router-003')
    )
    context.fleet.run(context.fleet.now + seconds)
    for router in context.fleet.routers.values():
        assert len(router.membership.alive()) == 3
    context.fleet.is_blocked = lambda *_: False


@behave.when('a router crashes and an old message of it arrives late')
def late_message(context):
    old = context.fleet.crash(SECOND).me
    context.fleet.run(context.fleet.now + 10)
    for router in context.fleet.routers.values():
        gossip = messages.Gossip((old,), router.current.head())
        router.membership.handle(SECOND, gossip, context.fleet.now)
    context.fleet.run(context.fleet.now + 5)


@behave.then('it stays dead')
def stays_dead(context):
    all_have_dead(context, 0)


@behave.when('a router crashes and starts again with a higher incarnation')
def restart(context):
    old = context.fleet.crash(SECOND).me
    context.fleet.run(context.fleet.now + 2)
    context.fleet.start(
        msgspec.structs.replace(old, incarnation=old.incarnation + 2)
    )


@behave.when('a router crashes and the host list names neither it nor another')
def host_list(context):
    context.fleet.crash(SECOND)
    listed = context.fleet.host_list[2:]
    for router in context.fleet.routers.values():
        router.membership.update_host_list(listed, context.fleet.now)
    context.fleet.run(context.fleet.now + 8)


@behave.then('the dead one is gone and holds no rank, and the other is alive')
def confirmed(context):
    for router in context.fleet.routers.values():
        assert router.membership.is_gone(SECOND)
        assert SECOND not in router.membership.ranked('engine-1', 6)
        assert not router.membership.is_gone(FIRST)
        assert router.membership.table.get(FIRST).is_alive


@behave.when('a router leaves and later stops')
def leave(context):
    fleet = context.fleet
    leaving = fleet.routers[SECOND]
    sends = leaving.membership.announce_leaving(fleet.now)
    fleet.deliver(leaving, leaving.send(sends, fleet.now))
    fleet.run(fleet.now + 3)
    context.shown = [
        router.membership.alive(leaving=False)
        for router in fleet.routers.values()
    ]
    assert all(
        router.membership.table.get(SECOND).is_alive
        for router in fleet.routers.values()
    )
    sends = leaving.membership.announce_stopped(fleet.now)
    fleet.deliver(leaving, leaving.send(sends, fleet.now))
    fleet.crash(SECOND)


@behave.then(
    'it was shown as leaving before and is gone within {seconds:d} seconds'
)
def gone(context, seconds):
    for members in context.shown:
        assert SECOND not in {member.router for member in members}
    context.fleet.run(context.fleet.now + seconds)
    for router in context.fleet.routers.values():
        assert router.membership.is_gone(SECOND)


@behave.when('a router starts that knows two hosts only')
def joins(context):
    fleet = context.fleet
    listed, fleet.host_list = fleet.host_list, fleet.host_list[:2]
    fleet.start(fleet_simulation.make_member(24, 24))
    fleet.host_list = listed


@behave.then('the membership machine passes')
def machine_passes(context):
    membership_machine.run()


@behave.then('the membership machine fails with {fault}')
def machine_fails(context, fault):
    try:
        membership_machine.run(fault)
    except AssertionError:
        return
    raise AssertionError(f'{fault} was not found')
