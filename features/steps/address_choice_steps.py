import collections

import behave

from papayaloom.process import address_choice, fleet_hosts

ZONES = 5


def hosts(kind, count, capacity):
    return [
        fleet_hosts.Host(
            f'{kind}-{number}',
            f'10.{number % ZONES}.0.{number}:80',
            zone=f'z{number % ZONES}',
            capacity=capacity,
        )
        for number in range(count)
    ]


@behave.given(
    'a fleet of {strong:d} hosts with {cores:g} cores and {weak:d} hosts with 0.5 cores'
)
def unequal_fleet(context, strong, cores, weak):
    context.hosts = hosts('strong', strong, cores) + hosts('weak', weak, 0.5)


@behave.when('the directory may name {most:d} hosts')
def may_name(context, most):
    context.most = most
    context.named = address_choice.choose(context.hosts, most)


@behave.then(
    'it names {strong:d} of the strong ones and {weak:d} of the weak ones'
)
def names(context, strong, weak):
    kinds = collections.Counter(
        one.name.partition('-')[0] for one in context.named
    )
    assert (kinds['strong'], kinds['weak']) == (strong, weak), kinds


@behave.then('each of {count:d} zones has at least {least:d} of them')
def each_zone(context, count, least):
    zones = collections.Counter(one.zone for one in context.named)
    assert len(zones) == count and min(zones.values()) >= least, zones


@behave.then('another order of the list changes nothing')
def other_order(context):
    turned = address_choice.choose(context.hosts[::-1], context.most)
    assert turned == context.named
