import collections
import contextlib
import json
import random
import threading
import time
import urllib.error
import urllib.request

import behave
import msgspec

from features import free_port
from papayaloom import clock, errors, hashing, messages
from papayaloom.bench import fleet_simulation
from papayaloom.commands import locator
from papayaloom.connection import view_sockets
from papayaloom.ports import hosts
from papayaloom.process import addresses, bootstrap, locator_state

STATE = {
    'leaving': messages.MemberState.LEAVING,
    'dead': messages.MemberState.DEAD,
}
ZONE = 'zone-1'


def view_of(members, boot=1, sequence=1, deployment='d'):
    return messages.FleetView(
        deployment, members[0].router, boot, sequence, tuple(members), 30, 4
    )


def ask(context, **question):
    return addresses.answer(
        view_of(context.members),
        addresses.Question(**question),
        ZONE,
        context.rng,
    ).addresses


@behave.given('a view of {size:d} routers in 6 zones')
def view(context, size):
    context.members = [
        fleet_simulation.make_member(number, size) for number in range(size)
    ]
    context.rng = random.Random(1)


@behave.then(
    "{count:d} chats get their home and the next in rank of the caller's region"
)
def homes(context, count):
    region = next(one.region for one in context.members if one.zone == ZONE)
    local = [one.router for one in context.members if one.region == region]
    for number in range(count):
        found = [one.router for one in ask(context, chat=f'c{number}')]
        assert found[:2] == hashing.rank(f'c{number}', local, 2)
        assert len(set(found)) == 4


@behave.then(
    "{count:d} answers without a chat begin in the caller's zone and are spread"
)
def spread(context, count):
    firsts = collections.Counter()
    for _ in range(count):
        found = ask(context, zone='zone-4')
        assert found[0].zone == 'zone-4'
        firsts[found[0].router] += 1
    assert len(firsts) == 4 and max(firsts.values()) < count / 2


@behave.when('{count:d} of the routers are {state}')
def some_are(context, count, state):
    context.hidden = {one.router for one in context.members[:count]}
    context.members = [
        msgspec.structs.replace(one, state=STATE[state])
        if one.router in context.hidden
        else one
        for one in context.members
    ]


@behave.then('{count:d} answers name none of them')
def none_of_them(context, count):
    for number in range(count):
        for question in (
            {'chat': f'c{number}'},
            {'zone': f'zone-{number % 6}'},
        ):
            found = {one.router for one in ask(context, **question)}
            assert found and not found & context.hidden


@behave.when('one router goes')
def one_goes(context):
    context.homes = {
        f'c{number}': ask(context, chat=f'c{number}')[0].router
        for number in range(500)
    }
    context.gone = context.members.pop(7).router


@behave.then('only the chats whose home it was have another home')
def only_its_chats(context):
    for chat, home in context.homes.items():
        now = ask(context, chat=chat)[0].router
        assert (now != home) == (home == context.gone)


def make_locator():
    return locator_state.LocatorState(
        'd', ZONE, 8080, addresses.Cfg(), random.Random(1)
    )


@behave.given('a locator with a view of its router')
def with_view(context):
    context.members = [
        fleet_simulation.make_member(number, 6) for number in range(6)
    ]
    context.locator = make_locator()
    context.now = 100
    assert context.locator.update_view(
        view_of(context.members, boot=5, sequence=5), context.now
    )


@behave.when('the router falls silent for {seconds:d} seconds')
def silent(context, seconds):
    context.now += seconds


@behave.then('the locator answers from the old view without the silent router')
def old_view(context):
    names = {
        one.router
        for number in range(100)
        for one in context.locator.answer(
            addresses.Question(chat=f'c{number}'), context.now
        ).addresses
    }
    assert names == {one.router for one in context.members[1:]}


@behave.then('its dump says "{source}"')
def dump_says(context, source):
    assert context.locator.dump(context.now).source == source


@behave.when('the same view is published for {seconds:d} seconds')
def same_view(context, seconds):
    for _ in range(seconds):
        context.now += 1
        context.locator.update_view(
            view_of(context.members, boot=5, sequence=5), context.now
        )


def host_list(members, states):
    return hosts.HostList(
        tuple(
            hosts.Host(
                host=one.router,
                kind=hosts.Kind.ENTRY,
                address=one.address.removeprefix('tcp://'),
                zone=one.zone,
                region=one.region,
                state=state,
            )
            for one, state in zip(members, states, strict=False)
        )
    )


@behave.when(
    'the router falls silent and the host list shows two others as gone'
)
def shows_gone(context):
    context.now += 9
    states = [hosts.HostState.LIVE] * 4 + [hosts.HostState.LEAVING]
    context.locator.update_hosts(
        host_list(context.members, states), context.now
    )


@behave.then('the locator names none of the three')
def none_of_three(context):
    members = context.locator.dump(context.now).members
    assert [one.router for one in members] == [
        one.router for one in context.members[1:4]
    ]


@behave.given('a locator with a host list and no view')
def with_hosts(context):
    members = [fleet_simulation.make_member(number, 6) for number in range(6)]
    listed = host_list(
        members, [hosts.HostState.LIVE] * 3 + [hosts.HostState.LEAVING] * 3
    )
    engine = msgspec.structs.replace(listed.hosts[0], kind=hosts.Kind.ENGINE)
    context.locator = make_locator()
    context.locator.update_hosts(hosts.HostList((*listed.hosts, engine)), 100)


@behave.then('it names the live entry hosts of the list only')
def live_hosts(context):
    answer = context.locator.answer(addresses.Question(chat='c'), 100)
    assert sorted(one.url for one in answer.addresses) == [
        f'http://10.0.0.{number}:8080' for number in range(3)
    ]


@behave.when('a view arrives that is {kind}')
def other_view(context, kind):
    changed = {
        'older': {'boot': 5, 'sequence': 4},
        'of an earlier boot': {'boot': 4, 'sequence': 99},
        'of another deployment': {'boot': 9, 'deployment': 'other'},
    }
    fresh = view_of(context.members[:2], **changed[kind])
    context.taken = context.locator.update_view(fresh, context.now)


@behave.then('the locator keeps its view')
def keeps(context):
    assert not context.taken
    assert context.locator.dump(context.now).view_sequence == 5


@behave.then('the locator has taken it')
def has_taken(context):
    assert context.taken
    assert context.locator.dump(context.now).source == 'view'


@behave.given('a running locator without a view')
def running(context):
    context.port = free_port.free_port()
    file = bootstrap.Locator(
        name='l',
        zone=ZONE,
        region='region-0',
        deployment='d',
        http='127.0.0.1:0',
        local=f'127.0.0.1:{context.port}',
    )
    context.process = locator.Locator(file, clock.SystemClock())
    thread = threading.Thread(target=context.process.run)
    thread.start()
    context.add_cleanup(thread.join)
    context.add_cleanup(context.process.server.stop)
    context.url = 'http://127.0.0.1:{0}'.format(
        context.process.server.bind_addr[1]
    )


def get(context, path, method='GET'):
    req = urllib.request.Request(context.url + path, method=method)
    try:
        with urllib.request.urlopen(req, timeout=10) as reply:
            return reply.status, json.loads(reply.read()), reply.headers
    except urllib.error.HTTPError as exc:
        with exc:
            return exc.code, json.loads(exc.read()), exc.headers


@behave.then('it is healthy, not ready, and refuses with 503 and Retry-After')
def not_ready(context):
    assert get(context, '/status/health')[0] == 200
    assert get(context, '/status/ready')[0] == 503
    status, problem, headers = get(context, '/v1/address?chat=c')
    assert status == 503 and problem['verdict'] == 'not run'
    assert headers['Retry-After'] == '1'


@behave.when('the router of its host publishes a view and dies')
def publishes(context):
    members = [fleet_simulation.make_member(number, 6) for number in range(6)]
    with contextlib.closing(
        view_sockets.ViewPublisher(f'tcp://127.0.0.1:{context.port}')
    ) as sock:
        for _ in range(100):
            sock.publish(view_of(members))
            if context.process.state.is_ready():
                return
            time.sleep(0.1)


@behave.then('it is ready and its answer has addresses and a time to live')
def ready(context):
    assert get(context, '/status/ready')[0] == 200
    status, answer, _ = get(context, '/v1/address?chat=c&zone=zone-2&org=o')
    assert status == 200 and answer['ttl_s'] == 30
    assert set(answer['addresses'][0]) == {'url', 'router', 'zone'}
    assert len(answer['addresses']) == 4
    assert get(context, '/status/dump')[1]['source'] == 'view'


@behave.then('a path that does not exist and another method are refused')
def others_refused(context):
    assert get(context, '/v1/nothing')[0] == 404
    assert get(context, '/v1/address', 'POST')[0] == 405
    assert get(context, '/v1/address?chat=' + 'x' * 5000)[0] == 414


FILE = {
    'name': 'l',
    'zone': 'z',
    'region': 'r',
    'deployment': 'd',
    'http': '10.0.0.1:80',
    'local': '127.0.0.1:81',
}
FILES = {
    'a number as its zone': json.dumps(FILE | {'zone': 5}),
    'no HTTP address': json.dumps(
        {name: text for name, text in FILE.items() if name != 'http'}
    ),
    'an unknown field': json.dumps(FILE | {'htpp': 'x'}),
    'a port of 70000': json.dumps(FILE | {'router_port': 70000}),
    'a comma too few': '{name: "l" // a comment\n zone: "z"}',
    'a list at the top': '[1]',
}


@behave.given('a settings file of a locator with {fault}')
def file_with(context, fault):
    good = bootstrap.parse(
        '{/* c */ ' + json.dumps(FILE)[1:], bootstrap.Locator
    )
    assert good.router_port == 8080
    context.file_text = FILES[fault]


@behave.then('the refusal names {words}')
def refusal_names(context, words):
    try:
        bootstrap.parse(context.file_text, bootstrap.Locator, 'locator.json')
    except errors.SettingsError as exc:
        assert words in str(exc), exc
        assert '\n' not in str(exc), exc
    else:
        raise AssertionError('the file was accepted')
