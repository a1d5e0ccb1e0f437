import collections
import random

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
    'a fleet of {strong:d} hosts with {cores:g} cores and {weak:d} hosts with {few:g} cores'
)
def unequal_fleet(context, strong, cores, weak, few):
    context.hosts = hosts('strong', strong, cores) + hosts('weak', weak, few)


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


@behave.then(
    'each of {fleets:d} fleets of 1 to {most:d} hosts of any strength has hosts named, at least {least:d} if it has them'
)
def names_some(context, fleets, most, least):
    rng = random.Random(1)
    for _ in range(fleets):
        size = rng.randint(1, most)
        fleet = [
            one
            for number in range(size)
            for one in hosts(f'n{number}', 1, rng.choice((0, 0.1, 1, 2, 9)))
        ]
        named = address_choice.choose(fleet, 64)
        assert min(least, size) <= len(named) <= 64, (size, len(named))
