import random

import behave

from features import relay_fleet
from papayaloom import clock, errors
from papayaloom.ports import kv
from papayaloom.process import (
    fleet_hosts,
    presence,
    relay,
    silent_hosts,
    store_backoff,
)
from papayaloom.routing.load import request_counts
from papayaloom.standins import kv as memory_kv


class FewHosts:
    """Fleet as :class:`presence.Presence` sees it."""

    def __init__(self, count):
        self.hosts = count
        self.known = False
        self.listed = True
        self.away = False

    def count(self):
        return self.hosts

    def has_routes(self):
        return self.known

    def lease_s(self):
        return presence.term_s(self.hosts, 1.2)

    def is_registered(self):
        return self.listed

    def is_store_unavailable(self):
        return self.away


@behave.given('a root that lists the hosts "{names}"')
def root_lists(context, names):
    context.now = 10
    context.listed = set(names.split())
    context.silence = silent_hosts.SilentHosts()


@behave.when('the root lists the hosts "{names}"')
def lists_now(context, names):
    context.listed = set(names.split())


@behave.when('"{names}" report to it')
def report(context, names):
    context.silence.record_reports(names.split(), context.now)


@behave.when('"{names}" report to it, and after {seconds:g} s "{later}" again')
def report_again(context, names, seconds, later):
    report(context, names)
    context.now += seconds
    report(context, later)


@behave.when('the other root says that it hears "{heard}" and misses "{names}"')
def other_root(context, heard, names):
    context.silence.record_peer('r2', heard.split(), names.split(), context.now)


@behave.when(
    '"{names}" report to it, and the other root says that it hears "{heard}" and misses ""'
)
def report_and_other(context, names, heard):
    report(context, names)
    other_root(context, heard, '')


@behave.when('{seconds:g} s pass at the root')
def pass_at_root(context, seconds):
    context.now += seconds


@behave.when('{seconds:g} s pass at the root, with "{names}" reporting')
def pass_reporting(context, seconds, names):
    context.now += seconds
    report(context, names)


@behave.then('no host is silent')
def none_silent(context):
    assert not context.silence.silent_in_fleet(context.listed, context.now)


@behave.then('the silent hosts are "{names}"')
def silent_are(context, names):
    found = context.silence.silent_in_fleet(context.listed, context.now)
    assert found == set(names.split()), found


@behave.given(
    'a relay with the followers "{names}" under a root that misses "{missed}"'
)
def relay_under_root(context, names, missed):
    context.relay = relay.Relay(relay_fleet.describe)
    context.relay.publish(kv.Position(1), kv.WatchResult((), 1), 0)
    for name in names.split():
        context.relay.answer(
            relay.Report(name, 1, request_counts.RequestCounts()),
            request_counts.RequestCounts(),
            0,
        )
    told = relay.Reply(
        1, (), request_counts.RequestCounts(), silent=tuple(missed.split())
    )
    context.relay.update_fleet_totals(told, 0)


@behave.then('the relay reports that it hears "{names}"')
def relay_hears(context, names):
    assert sorted(context.relay.reporting_hosts(0.5)) == names.split()


@behave.then('its followers are told that "{names}" is silent')
def followers_told(context, names):
    answer = context.relay.answer(
        relay.Report('h1', 1, request_counts.RequestCounts()),
        request_counts.RequestCounts(),
        0.5,
    )
    assert answer.silent == tuple(names.split())


@behave.given('a host that knows "{names}"')
def host_knows(context, names):
    context.now = 0
    context.hosts = fleet_hosts.FleetHosts(fleet_hosts.Host('me', 'me'))
    hosts = [fleet_hosts.Host(name, name) for name in names.split()]
    context.hosts.replace(hosts, 0)


@behave.when('it hears that "{names}" is silent')
def hears_silent(context, names):
    context.hosts.mark_silent(names.split(), context.now)


@behave.when('{seconds:g} s pass without word')
def pass_without_word(context, seconds):
    context.now += seconds


@behave.then('its directory names "{names}"')
def directory_names_these(context, names):
    found = [
        one.address
        for one in context.hosts.advertised(context.now, include_self=True)
    ]
    assert sorted(found) == names.split(), found


@behave.then('{hosts:d} hosts renew leases of {term:g} s')
def lease_terms(context, hosts, term):
    found = presence.term_s(hosts, 1.2)
    assert abs(found - term) < 0.05, found


@behave.given('a host of a fleet of {count:d} that knows no routes yet')
def host_without_routes(context, count):
    context.now = 0.0
    context.twin = memory_kv.MemoryKv(clock.SystemClock())
    context.few = FewHosts(count)
    context.presence = presence.Presence(
        context.twin, 'hosts/me', b'me', context.few, random.Random(1)
    )
    context.grants = []
    granted = context.twin.grant_lease

    def grant(term_s):
        context.grants.append(term_s)
        return granted(term_s)

    context.twin.grant_lease = grant
    context.writes = []
    put = context.twin.put

    def write(*entry):
        context.writes.append(entry)
        return put(*entry)

    context.twin.put = write


@behave.when('it learns the routes')
def learns(context):
    context.few.known = True


@behave.when("its entry vanishes from the store's view")
def vanishes(context):
    context.few.listed = False


@behave.when('its presence looks after its entry for {seconds:d} s')
def looks_after(context, seconds):
    for _ in range(seconds * 4):
        try:
            context.presence.step(context.now)
        except errors.StoreUnavailableError:
            context.presence.record_failure(context.now)
        context.now += 0.25


@behave.then('the store got no write')
def no_write(context):
    assert context.twin.get('hosts/me') is None


@behave.then('the store granted {count:d} leases and wrote its entry once')
def granted_and_wrote(context, count):
    granted_leases(context, count)
    assert len(context.writes) == 1, context.writes


@behave.then('the store granted {count:d} leases')
def granted_leases(context, count):
    assert len(context.grants) == count, context.grants


@behave.when('the store goes away')
def store_goes_away(context):
    context.twin.faults.outage = True
    context.few.away = True
    context.tries_before = len(context.grants)


@behave.when('the store is back, and the host has word of it')
def store_returns(context):
    context.twin.faults.outage = False
    context.few.away = False


@behave.then('it asked the store at most {most:d} times')
def asked_at_most(context, most):
    tries = len(context.grants) - context.tries_before
    assert 0 < tries <= most, tries


@behave.then('the store has its entry')
def has_entry(context):
    assert context.twin.get('hosts/me') is not None


@behave.then('{hosts:d} hosts try it {rate:g} times a second')
def tries_per_second(context, hosts, rate):
    pause_s = store_backoff.retry_s(hosts, 0.25, 0.5)
    assert abs(hosts / pause_s - rate) < 0.5, hosts / pause_s
