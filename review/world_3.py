"""Stand-ins and helpers of the scripts of the third review; standard library.

A store, replicas, a proxy and consumers as the users' pages describe them, and
the start of the project's own program with the command of the deploy file.
Everything runs on loopback addresses and on the real clock.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(
    os.path.join(os.path.dirname(os.path.abspath(__file__)), '..')
)
REASONS = {200: 'OK', 404: 'Not Found', 410: 'Gone', 412: 'Failed',
           421: 'Misdirected Request', 500: 'Internal Server Error',
           503: 'Service Unavailable'}
BOUNDS = """\
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
faultTolerance.machines=1
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.stretchMaxMs=5000
bounds.strictRevoke=false
bounds.revokeMs=5000
bounds.budgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=52
bounds.recoverS=12
bounds.passMs=120
bounds.reuseWindowS=10
bounds.capFactor=2
bounds.ttl_max_s=5
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
"""


class Record:
    """The file record.txt, with the time since the start of the script."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self._file = open(os.path.join(folder, 'record.txt'), 'w')

    def now(self):
        return time.monotonic() - self.started_at

    def note(self, *words):
        line = f'{self.now():8.3f} ' + ' '.join(str(one) for one in words)
        # A stand-in may still end its channels after the record is complete.
        if not self._file.closed:
            self._file.write(line + '\n')

    def say(self, *words):
        self.note(*words)
        print(*words, flush=True)

    def close(self):
        self._file.close()


async def read_head(reader):
    """Return the first line and the fields, by lower-case name."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, found, text = line.partition(':')
        if found:
            fields[name.strip().lower()] = text.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
            body += part
    return await reader.readexactly(int(fields.get('content-length', 0)))


def answer(status, body=b'', fields=()):
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "X")}']
    lines += [f'{name}: {text}' for name, text in fields]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class HttpServer:
    """Serves requests one after the other on each channel."""

    def __init__(self, handler):
        self._handler = handler
        self._writers = set()
        self._server = None
        self.address = None

    async def start(self, host, port=0):
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self.address

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(' ')
                keep = await self._handler(method, target, fields, body, writer)
                await writer.drain()
                if keep is False:
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(RuntimeError):
                # At the end of the script the event loop may be closed.
                writer.close()

    def stop(self):
        """End as a process that exits: the listener and all channels."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()


class Store:
    """The platform's store (PROTOCOL.md, The platform's metadata store)."""

    def __init__(self, record):
        self._record = record
        self.revision = 100
        self._items = {}
        self._events = []
        self._leases = {}
        self._numbers = itertools.count(1000)
        self._changed = asyncio.Condition()
        self.server = HttpServer(self._handle)

    async def put(self, key, value, lease=0):
        """Write as the operator or a replica does; return the ack's time."""
        async with self._changed:
            self._put(key, value, lease)
            self._changed.notify_all()
        return time.monotonic()

    async def remove(self, key):
        async with self._changed:
            self._remove(key)
            self._changed.notify_all()
        return time.monotonic()

    def keys(self, prefix):
        return sorted(key for key in self._items if key.startswith(prefix))

    def _put(self, key, value, lease):
        self.revision += 1
        created = self._items.get(key, {}).get('createdRev', self.revision)
        item = {'key': key, 'value': base64.b64encode(value).decode(),
                'revision': self.revision, 'createdRev': created,
                'lease': lease}
        self._items[key] = item
        self._events.append(item)

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._events.append(
                {'key': key, 'revision': self.revision, 'removed': True})

    async def _handle(self, method, target, fields, body, writer):
        await asyncio.sleep(0.004)
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(
            parts.query, keep_blank_values=True))
        status, content = await self._reply(method, parts.path, query, body)
        writer.write(answer(status, json.dumps(content).encode(),
                            [('Content-Type', 'application/json')]))

    async def _reply(self, method, path, query, body):
        if path == '/kv-key':
            item = self._items.get(query['key'])
            return (200, {**item, 'asOf': self.revision}) if item else (404, {})
        if path == '/kv-range':
            after = query.get('after', '')
            items = [self._items[key] for key in self.keys(query.get('prefix', ''))
                     if key > after]
            return 200, {'items': items[:500], 'morePages': len(items) > 500,
                         'asOf': self.revision}
        if path == '/kv-watch':
            return await self._watch(query)
        if path == '/kv-txn':
            return await self._transact(json.loads(body))
        if path == '/kv-lease':
            ttl_ms = max(json.loads(body)['ttlMs'], 1000)
            number = next(self._numbers)
            self._leases[number] = [time.monotonic() + ttl_ms / 1000, ttl_ms]
            asyncio.ensure_future(self._expire(number))
            return 200, {'lease': number, 'ttlMs': ttl_ms}
        number = int(path.rpartition('/')[2])
        if number not in self._leases:
            return 404, {}
        if path.startswith('/kv-keep/'):
            lease = self._leases[number]
            lease[0] = time.monotonic() + lease[1] / 1000
            return 200, {'ttlMs': lease[1]}
        await self._end_lease(number)
        return 200, {}

    async def _watch(self, query):
        after = int(query['after'])
        until = time.monotonic() + int(query['waitMs']) / 1000
        prefix = query.get('prefix', '')

        def events():
            return [one for one in self._events
                    if one['revision'] > after
                    and one['key'].startswith(prefix)]

        async with self._changed:
            while not events() and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self._changed.wait(),
                                           until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            return 200, {'events': events(), 'asOf': self.revision}

    async def _transact(self, change):
        async with self._changed:
            rows = change.get('expectedRev', [])
            current = {row['key']: self._items.get(row['key']) for row in rows}
            held = all((current[row['key']] or {}).get('revision', 0)
                       == row['revision'] for row in rows)
            if not held:
                items = [one or {'key': key, 'revision': 0}
                         for key, one in current.items()]
                return 412, {'items': items}
            puts = change.get('puts', [])
            if any(put.get('lease') and put['lease'] not in self._leases
                   for put in puts):
                return 404, {}
            for put in puts:
                self._put(put['key'], base64.b64decode(put['value']),
                          put.get('lease', 0))
            for key in change.get('remove', []):
                self._remove(key)
            self._changed.notify_all()
            return 200, {'revision': self.revision}

    async def _expire(self, number):
        while number in self._leases:
            left = self._leases[number][0] - time.monotonic()
            if left <= 0:
                await self._end_lease(number)
                return
            await asyncio.sleep(left)

    async def _end_lease(self, number):
        self._leases.pop(number, None)
        async with self._changed:
            for key in [key for key, item in self._items.items()
                        if item['lease'] == number]:
                self._remove(key)
            self._changed.notify_all()


class Proxy:
    """Forwards channels to an address; open ones can go silent for good."""

    def __init__(self, target):
        self._target = target
        self._open = set()
        self._server = None
        self.address = None

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def silence(self):
        """Let nothing more through on the open channels; return how many."""
        count = len(self._open)
        for channel in self._open:
            channel['silent'] = True
        self._open.clear()
        return count

    async def _serve(self, reader, writer):
        channel = {'silent': False}
        self._open.add(channel_key := _Key(channel))
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._pump(reader, far_writer, channel),
                             self._pump(far_reader, writer, channel))
        self._open.discard(channel_key)

    async def _pump(self, reader, writer, channel):
        try:
            while True:
                part = await reader.read(65536)
                if channel['silent']:
                    # Nothing passes any more, the end of the channel neither.
                    await asyncio.sleep(3600)
                if not part:
                    break
                writer.write(part)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        if not channel['silent']:
            writer.close()


class _Key:
    def __init__(self, channel):
        self._channel = channel

    def __setitem__(self, name, text):
        self._channel[name] = text


class Replica:
    """A replica of a service; ``arrivals`` holds what reached it."""

    def __init__(self, record, store, service, zone, work_s=0.03, slots=6):
        self.id = f'i-{random.getrandbits(40):010x}'
        self.service = service
        self._record = record
        self._store = store
        self.zone = zone
        self._work_s = work_s
        self._slots = slots
        self._seq = 0
        self._beats = None
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.arrivals = []
        self.server = HttpServer(self._handle)
        # Called with the method, the target and the id; may end the replica.
        self.on_run = None

    @property
    def key(self):
        return f'servers/{self.id}'

    async def start(self, host, port=0):
        await self.server.start(host, port)
        await self.beat()
        self._beats = asyncio.ensure_future(self._run_beats())

    async def beat(self):
        self._seq += 1
        host, port = self.server.address
        entry = {'service': self.service, 'address': f'{host}:{port}',
                 'zone': self.zone, 'version': 'v1', 'slots': self._slots,
                 'state': self.state, 'coldRemainingMs': 0, 'seq': self._seq,
                 'born': self.born}
        return await self._store.put(self.key, json.dumps(entry).encode())

    async def _run_beats(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    async def leave_unannounced(self):
        """Remove the entry without draining; return the time of the ack."""
        self._beats.cancel()
        return await self._store.remove(self.key)

    def stop(self):
        if self._beats:
            self._beats.cancel()
        self.server.stop()

    async def _handle(self, method, target, fields, body, writer):
        name = fields.get('papayaloom-request-id', '')
        if target == '/health':
            writer.write(answer(200, b'', [('Papayaloom-Replica-Id', self.id)]))
            return None
        expected = fields.get('papayaloom-expected-replica', self.id)
        if expected != self.id:
            writer.write(answer(421, b'', [('Papayaloom-Replica-Id', self.id)]))
            return None
        self.arrivals.append((time.monotonic(), name, method, target))
        self._record.note('replica', self.id, 'runs', name, method, target)
        if self.on_run is not None and self.on_run(method, target, name):
            return False
        await asyncio.sleep(self._work_s)
        content = random.randbytes(400).hex().encode()
        writer.write(answer(200, content, [
            ('Papayaloom-Request-Id', name),
            ('Papayaloom-Response-Seal', f'{self.id}.{name}')]))
        return None


class Gateway:
    """One process of the deploy file on a machine of its own address."""

    def __init__(self, record, folder, name, ip, store, seeds, zone):
        self._record = record
        self.name = name
        self.ip = ip
        self.ports = dict(zip(('front', 'ready', 'directory', 'control'),
                              free_ports(ip, 4)))
        self._path = os.path.join(folder, f'{name}.conf')
        self._log_path = os.path.join(folder, f'{name}.log')
        self._store = store
        self._zone = zone
        self.seeds = seeds
        self.process = None

    def start(self):
        listen = '\n'.join(f'listen.{name}={self.ip}:{port}'
                           for name, port in self.ports.items())
        text = (f'nodeName={self.name}\nrole=router\nmachineClass=front\n'
                f'serves=front,control,directory\nip={self.ip}\n'
                f'zone={self._zone}\nregion=lk-west\n'
                'zones.lk-west-a=lk-west\nzones.lk-west-b=lk-west\n'
                'zones.lk-west-c=lk-west\n'
                f'{listen}\ninternalPorts=7340,7355\n'
                f'seeds={",".join(self.seeds)}\nbootstrap=true\n'
                'faultCounted=false\nlimits.cpuShare=0.537\nlimits.cores=2\n'
                'limits.memoryMb=300\nlimits.maxFds=4100\n'
                'limits.linkMbps=1000.0\nlimits.diskMb=0\n'
                'discovery=platform\nentry=directory\n'
                f'{BOUNDS}platform.address={self._store[0]}:{self._store[1]}\n')
        with open(self._path, 'w') as settings:
            settings.write(text)
        environment = {name: os.environ[name]
                       for name in ('PATH', 'HOME', 'LANG')
                       if name in os.environ}
        environment['PYTHONPATH'] = os.path.join(ROOT, 'target', 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['PAPAYALOOM_SETTINGS'] = self._path
        log = open(self._log_path, 'a')
        self.process = subprocess.Popen(
            run_command(), cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        log.close()
        self._record.note('gateway', self.name, 'started', self.process.pid)

    def front(self):
        return self.ip, self.ports['front']

    def log(self):
        with open(self._log_path) as lines:
            return lines.read()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.ports['ready'])
            writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\n'
                         b'Connection: close\r\n\r\n')
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return ' 200 ' in line
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        self._record.note('signal', number, 'to', self.name)
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def run_command():
    """Return the words of ``run`` in the deploy file."""
    with open(os.path.join(ROOT, 'deploy', 'system.toml'), 'rb') as deploy:
        roles = tomllib.load(deploy)['roles']
    words = next(iter(roles.values()))['run'].split(' ')
    return [shutil.which(words[0]) or words[0], *words[1:]]


def free_ports(ip, count):
    """Return free ports of an address."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def free_network():
    """Return the first three numbers of loopback addresses that are free.

    The program serves its metrics at a fixed port of its address.
    """
    for _ in range(50):
        network = f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'
        try:
            for last in range(1, 9):
                sock = socket.socket()
                sock.bind((f'{network}.{last}', 9464))
                sock.close()
        except OSError:
            continue
        return network
    raise RuntimeError('no free loopback addresses')


class Answer:
    """What a consumer got; ``status`` is 0 without a complete answer."""

    def __init__(self, status, fields, body, why=''):
        self.status = status
        self.fields = fields
        self.body = body
        self.why = why


async def ask(address, method, path, name, deadline_s, key, body=b'',
              extra=()):
    """Send one request on a new channel and return the answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address), 1)
        fields = [('Host', 'ficu95.example'), ('Papayaloom-Request-Id', name),
                  ('Papayaloom-Request-Deadline', str(int(deadline_s * 1000))),
                  ('Authorization', f'Bearer {key}'), *extra]
        if method != 'GET':
            fields.append(('Content-Length', str(len(body))))
        head = f'{method} {path} HTTP/1.1\r\n' + ''.join(
            f'{one}: {text}\r\n' for one, text in fields) + '\r\n'
        writer.write(head.encode() + body)

        async def receive():
            line, found = await read_head(reader)
            return Answer(int(line.split(' ')[1]), found,
                          await read_body(reader, found))

        return await asyncio.wait_for(receive(), deadline_s)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
            ValueError) as exc:
        return Answer(0, {}, b'', repr(exc))
    finally:
        if writer is not None:
            writer.close()


def request_id():
    return f'{random.getrandbits(64):016x}'


def config(version, routes, tenants):
    services = sorted({route['service'] for route in routes})
    return json.dumps({
        'version': version, 'routes': routes,
        'services': [{'name': one, 'healthPath': '/health',
                      'maxConnections': 96, 'protocol': 'h1', 'tls': False}
                     for one in services],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                   'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
        'tenants': tenants}).encode()


def route(name, prefix, service, kind, **more):
    return {'name': name, 'host': 'ficu95.example', 'prefix': prefix,
            'kind': kind, 'timeoutMs': 1200, 'targetLatencyMs': 150,
            'priority': 2, 'service': service, 'maxAttempts': 1,
            'anonymous': False, 'sticky': False, 'resumable': False,
            'targetGapMs': 0, **more}


KEY = 'n2ctnfzs989anu6wsjnb'
TENANTS = [{'name': 'hule930', 'apiKeys': [KEY], 'priority': 1}]


def main(scenario):
    """Run a scenario; exit with 0 (held), 1 (broken) or 2 (not run)."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(folder)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    gateways = []
    status = 2
    # A script that is stopped ends its processes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory() as scratch:
        try:
            status = asyncio.run(_run(
                scenario(record, scratch, gateways, trouble), record))
        except (Exception, asyncio.TimeoutError) as exc:
            record.say('the case could not run:', repr(exc))
        finally:
            for gateway in gateways:
                gateway.end()
            for gateway in gateways:
                for line in gateway.log().splitlines():
                    # What became of each request is recorded above.
                    if 'forward: ' in line or 'request ended' in line:
                        continue
                    record.note('log', gateway.name, line.replace(ROOT, '.'))
    record.say({0: 'held', 1: 'BROKEN', 2: 'could not run'}[status])
    record.close()
    sys.exit(status)


async def _run(scenario, record):
    loop = asyncio.get_running_loop()
    # Channels that are open at the end are of no interest.
    loop.set_exception_handler(
        lambda _, context: record.note(
            'stand-in:', type(context.get('exception')).__name__))
    return await asyncio.wait_for(scenario, 110)


async def until(condition, seconds, step_s=0.1):
    """Wait for a condition; return whether it came."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return True
        await asyncio.sleep(step_s)
    return False


async def all_ready(gateways):
    return all([await one.is_ready() for one in gateways])


HUP = signal.SIGHUP
TERM = signal.SIGTERM
KILL = signal.SIGKILL


class ModelReplica(Replica):
    """A replica that streams events, and crashes on a part of a prompt.

    :param deadly: names of the parts that crash it; shared by all replicas.
    :param on_crash: called with the replica when it has crashed.
    :param crash_after: events that it writes before it crashes.
    :param event_id: returns the id of an event by its number, from 1.
    """

    def __init__(self, record, store, service, zone, deadly, on_crash,
                 events=20, gap_s=0.02, prefill_s=0.06, crash_after=0,
                 event_id=int):
        super().__init__(record, store, service, zone, slots=64)
        self._deadly = deadly
        self._on_crash = on_crash
        self._events = events
        self._gap_s = gap_s
        self._prefill_s = prefill_s
        self._crash_after = crash_after
        self._event_id = event_id
        self.running = 0

    async def _handle(self, method, target, fields, body, writer):
        name = fields.get('papayaloom-request-id', '')
        if target == '/health':
            writer.write(answer(200, b'', [('Papayaloom-Replica-Id', self.id)]))
            return None
        expected = fields.get('papayaloom-expected-replica', self.id)
        if expected != self.id:
            writer.write(answer(421, b'', [('Papayaloom-Replica-Id', self.id)]))
            return None
        prefix = fields.get('papayaloom-prompt-prefix', '')
        parts = {one.partition(':')[0] for one in prefix.split(',')}
        self.arrivals.append((time.monotonic(), name, method, parts))
        self._record.note('replica', self.id, 'runs', name, prefix)
        self.running += 1
        try:
            await asyncio.sleep(self._prefill_s)
            is_deadly = parts & self._deadly
            if is_deadly and not self._crash_after:
                self.crash()
                return False
            writer.write((
                'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                f'Papayaloom-Request-Id: {name}\r\n'
                f'Papayaloom-Response-Seal: {self.id}.{name}\r\n'
                'Transfer-Encoding: chunked\r\n\r\n').encode())
            for number in range(1, self._events + 1):
                event = (f'id: {self._event_id(number)}\n'
                         f'data: {name}\n\n').encode()
                writer.write(b'%x\r\n%b\r\n' % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self._gap_s)
                if is_deadly and number == self._crash_after:
                    self.crash()
                    return False
            writer.write(b'0\r\n\r\n')
        finally:
            self.running -= 1
        return None

    has_crashed = False

    def crash(self):
        if self.has_crashed:
            return
        self.has_crashed = True
        self._record.note('replica', self.id, 'crashes, running', self.running)
        self.stop()
        self._on_crash(self)


class Pool:
    """Replicas of a service; one that has crashed is back after a time.

    :param make: returns a new replica for a zone.
    """

    def __init__(self, record, store, make, back_s):
        self._record = record
        self._store = store
        self._make = make
        self._back_s = back_s
        self.replicas = []
        self.crashes = []

    async def start(self, zones):
        for zone in zones:
            await self._add(zone)

    async def _add(self, zone):
        replica = self._make(zone, self._crashed)
        self.replicas.append(replica)
        await replica.start('127.0.0.1')

    def _crashed(self, replica):
        self.crashes.append(time.monotonic())
        asyncio.ensure_future(self._replace(replica))

    async def _replace(self, replica):
        """Start the replica again, under a new id, after some seconds.

        The entry of the old one goes after three beats of silence.
        """
        await asyncio.sleep(self._back_s)
        await self._add(replica.zone)
        await asyncio.sleep(max(3.6 - self._back_s, 0))
        await self._store.remove(replica.key)

    def arrivals(self):
        return sorted((one for replica in self.replicas
                       for one in replica.arrivals), key=lambda one: one[0])


def model_fields(parts):
    """Return the fields of a request whose prompt has these parts."""
    prefix = ','.join(f'{name}:{tokens}' for name, tokens in parts)
    return [('Papayaloom-Model-Name', 'm'),
            ('Papayaloom-Token-Counts',
             f'{sum(tokens for _, tokens in parts)},80'),
            ('Papayaloom-Prompt-Prefix', prefix)]
