import contextlib
import random
import time

import behave
import msgspec

from features import broken_replica, fake_engine
from papayaloom import errors, ids
from papayaloom.ports import hosts, status, weights
from papayaloom.process import fleet_hosts, relay, relay_watch, snapshot_client
from papayaloom.routing.load import request_counts


class _Requests:
    """Takes the rate limits that a relay names."""

    def apply_rate_limit_reports(self, reports, received_at):
        pass


def read_snapshot(url):
    host, _, port = url.removeprefix('http://').partition(':')
    client = snapshot_client.SnapshotClient((), None)
    return client._fetch(host, int(port))


def poll_relay(url):
    known = fleet_hosts.Host('b', '', control=url.removeprefix('http://'))
    watch = relay_watch.RelayWatch(
        None, 'a', None, _Requests(), None, random.Random(1)
    )
    report = relay.Report('a', 1, request_counts.RequestCounts())
    return watch._exchange(known, report)


def read_hosts(url):
    return hosts.HttpHosts(url).read()


def read_weights(url):
    client = weights.HttpWeights(url)
    return client.manifest(ids.ModelId('m'), ids.VersionId('v'))


def read_status(url):
    return status.Client().dumps([url])[0].ok()


CLIENTS = {
    'snapshots': (read_snapshot, b'any content'),
    'relays': (poll_relay, msgspec.msgpack.encode(relay.Reply(1, (), None))),
    'host lists': (read_hosts, b'{"hosts":[]}'),
    'weights': (
        read_weights,
        b'{"model":"m","version":"v","size":1,"bytes_per_s":1}',
    ),
    'status resources': (read_status, b'{"router":{}}'),
}


def answering(what, content):
    """Return a script that sends the whole content behind some head."""
    length = f'Content-Length: {len(content)}\r\n'
    fields = {
        'a sound answer': length,
        'a blank in a name': f'X A: b\r\n{length}',
        'no length and a reset': '',
    }[what]

    def script(engine, conn, *args):
        conn.sendall(f'HTTP/1.1 200 OK\r\n{fields}\r\n'.encode() + content)
        time.sleep(0.05)
        if what == 'no length and a reset':
            broken_replica.reset(conn)
        return False

    return script


@behave.given('a server that sends {what} to the client of {content}')
def server_for_client(context, what, content):
    client, sent = CLIENTS[content]
    server = fake_engine.FakeEngine(answering(what, sent))
    context.found = None
    with contextlib.closing(server), contextlib.suppress(errors.UpstreamError):
        context.found = client(server.url)
    assert server.requests, 'the server was not asked'


@behave.then('the client {outcome} it')
def client_takes(context, outcome):
    assert (context.found is not None) == (outcome == 'takes'), context.found
