import collections

import behave

from features import relay_fleet
from papayaloom.process import fleet_hosts, relay_plan


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
    middle = relay_fleet.with_role(context.hosts, relay_plan.Role.RELAY)
    leaf = relay_fleet.with_role(context.hosts, relay_plan.Role.LEAF)[0]
    asked = relay_plan.plan(leaf, context.hosts, set(middle)).sources
    assert asked
    assert {one.name for one in asked} == set(relay_fleet.roots(context.hosts))


@behave.then('a root that avoids the other one tells nobody')
def avoids_peer(context):
    first, second = relay_fleet.roots(context.hosts)
    assert relay_plan.plan(first, context.hosts).peers
    assert not relay_plan.plan(first, context.hosts, {second}).peers
