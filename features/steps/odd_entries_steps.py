import random
import re
import zlib

import behave

from features import forwarding_router as fleets
from features import relay_fleet
from features.steps import feed_steps
from papayaloom import clock, errors
from papayaloom.platform import headers
from papayaloom.ports import kv
from papayaloom.process import feed, fleet_hosts, relay
from papayaloom.routing.poison import poison_evidence
from papayaloom.standins import kv as memory_kv

_REPLICA = (
    '{"service": "pool", "address": "10.0.0.1:%s", "state": "ready", '
    '"slots": %s, "born": %s}'
)


def odd_content(text):
    number = text.split()[-1].encode()
    if text.startswith('lists'):
        return b'[' * 100_000
    if text.startswith('an entry'):
        return b'{"x": ' + b'[' * 100_000 + b']' * 100_000 + b'}'
    if 'port' in text:
        return (_REPLICA % (number.decode(), 1, 1)).encode()
    if 'slots' in text:
        slots = re.search('with (.*) slots', text).group(1)
        return (_REPLICA % (80, slots, 1)).encode()
    return (_REPLICA % (80, 1, number.decode())).encode()


@behave.given('a host that follows the store')
def follows(context):
    feed_steps.knows_from_snapshot(context)
    context.twin = memory_kv.MemoryKv(clock.SystemClock())
    context.feed = feed.Feed(
        context.twin,
        lambda position: context.twin.watch('', position.revision, 0),
        context.view.sources(),
        feed.Health(*[lambda *_: None] * 3, context.view.store_restored),
        random.Random(1),
    )
    context.feed.step()


@behave.when('another writer leaves {content} at "{key}"')
def leaves(context, content, key):
    context.twin.put(key, odd_content(content), kv.ABSENT)


_ODD_NAMES = {
    'a name with CR LF': 'odd\r\ny',
    'a name with a space': 'odd y',
    'a name with a NUL': 'odd\0',
    'a name beyond ASCII': 'ödd',
    'no name': '',
}


@behave.when('another writer leaves a sound entry at "servers/" and {name}')
def leaves_at(context, name):
    content = (_REPLICA % (80, 1, 1)).encode()
    key = f'servers/{_ODD_NAMES[name]}'
    context.twin.put(key, content, kv.ABSENT)


@behave.when('the operator names an organisation with a line break')
def odd_organisation(context):
    context.fleet.write(9, tenants=[{'name': 'a\nb', 'apiKeys': ['k1']}])
    assert fleets.until(2, lambda: context.router.dump()['version'] == 9)


@behave.when('a replica registers')
def registers(context):
    context.twin.put('servers/new', feed_steps.replica_entry(2), kv.ABSENT)


@behave.then('the host knows the replica and no other')
def knows(context):
    context.feed.step()
    assert feed_steps.known_replicas(context) == ['new']


@behave.when('another host sends a value {what} as a change')
def sends_change(context, what):
    deflated = zlib.compress(bytes(64_000_000))
    if what == 'that is cut off':
        deflated = zlib.compress(bytes(2000))[:-1]
    change = relay.Change('k', 1, deflated, is_deflated=True)
    context.failure = None
    try:
        relay.unpack(change)
    except errors.CodecError as exc:
        context.failure = exc


@behave.when('another host sends maps nested too deep as {kind}')
def sends(context, kind):
    hosts = relay_fleet.stopped_hosts(1)
    me = fleet_hosts.Host('h0', '')
    place = relay_fleet.Fleet(hosts)
    watch = place.watcher(
        me.name, fleet_hosts.FleetHosts(me), relay_fleet.Requests()
    )
    feed_steps.knows_from_snapshot(context)
    content = b'\x81\xa1x' + b'\x91' * 100_000
    decoders = {
        'a report of loads': lambda: watch.answer(content),
        'a poison report': lambda: poison_evidence.decode(
            b'{"x": ' + b'[' * 100_000
        ),
        'a snapshot': lambda: context.view.restore(content),
    }
    context.failure = None
    try:
        decoders[kind]()
    except errors.CodecError as exc:
        context.failure = exc


@behave.then('it is refused as malformed')
def refused(context):
    assert context.failure is not None


_TEMPLATES = {
    'Papayaloom-Prompt-Prefix': 'a:%s',
    'Papayaloom-Token-Counts': '%s,1',
    'papayaloom-replica-load': '%s,1,2',
    'keep-alive': 'timeout=%s',
}


def read(name, text):
    dialect = headers.PlatformDialect()
    pair = name.encode(), text.encode('latin-1')
    return dialect.read_request(dict([pair])), dialect.read_answer(200, [pair])


@behave.when('the header "{name}" is read, with {number} in it')
def read_header(context, name, number):
    text = '9' * 5000 if number == '5000 digits' else number
    context.found = read(name, _TEMPLATES[name] % text)


@behave.then('it is read as if it were not there')
def as_if_absent(context):
    assert context.found == read('x-other', ''), context.found
