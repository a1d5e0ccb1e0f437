"""Stand-ins for the review scripts: store, replicas, consumers, processes.

Standard library only, loopback addresses only. The store follows PROTOCOL.md,
"The platform's metadata store"; replicas and consumers are written in the
cases, on top of the small HTTP helpers here.
"""

import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
_START_S = 40
_HEARTBEAT_S = 1.2


class Record:
    """Writes ``record.txt`` beside the script."""

    def __init__(self, script):
        self._file = open(
            pathlib.Path(script).resolve().parent / 'record.txt', 'w'
        )
        self._lock = threading.Lock()
        self._started_at = time.monotonic()
        self(f'trouble: {TROUBLE}')

    def __call__(self, text):
        at = time.monotonic() - self._started_at
        with self._lock:
            print(f'{at:8.3f} {text}', file=self._file, flush=True)


class Message:
    """A request or response head with its body."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers
        self.body = b''

    def get(self, name, default=''):
        return self.headers.get(name.lower(), default)


def read_head(reader):
    """Return the next message head; None at the end of the channel."""
    line = reader.readline(65536)
    if not line.endswith(b'\n'):
        return None
    first = line.decode('latin-1').strip()
    headers = {}
    while True:
        line = reader.readline(65536)
        if not line.endswith(b'\n'):
            return None
        if line in (b'\r\n', b'\n'):
            return Message(first, headers)
        name, _, text = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = text.strip()


def read_chunks(reader):
    """Yield the chunks of a chunked body; ConnectionError if it breaks off."""
    while True:
        line = reader.readline(1024)
        if not line.endswith(b'\n'):
            raise ConnectionError('broke off')
        size = int(line.partition(b';')[0], 16)
        if not size:
            while reader.readline(1024).strip():
                """Skip the trailers."""
            return
        chunk = reader.read(size)
        if len(chunk) < size:
            raise ConnectionError('broke off')
        reader.readline(16)
        yield chunk


def read_body(reader, message):
    """Return the body of a message; ConnectionError if it breaks off."""
    if 'chunked' in message.get('transfer-encoding'):
        return b''.join(read_chunks(reader))
    length = int(message.get('content-length', '0'))
    body = reader.read(length) if length else b''
    if len(body) < length:
        raise ConnectionError('broke off')
    return body


class Server:
    """Accepts channels and serves each in a thread of its own."""

    def __init__(self, ip, port=0):
        self.listener = socket.create_server((ip, port), backlog=512)
        self.ip, self.port = self.listener.getsockname()
        self.address = f'{self.ip}:{self.port}'
        self.is_closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self.is_closed = True
        self.listener.close()

    def _accept(self):
        while not self.is_closed:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve_quietly, args=(sock,), daemon=True
            ).start()

    def _serve_quietly(self, sock):
        try:
            self.serve(sock)
        except (OSError, ValueError):
            """The other side is gone."""
        finally:
            sock.close()

    def serve(self, sock):
        reader = sock.makefile('rb')
        while True:
            message = read_head(reader)
            if message is None:
                return
            message.body = read_body(reader, message)
            if not self.answer(sock, message):
                return

    def answer(self, sock, message):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, ip):
        self._changed = threading.Condition()
        self._items = {}
        self._events = []
        self._revision = 1
        self._leases = {}
        self._next_lease = 1
        super().__init__(ip)
        threading.Thread(target=self._expire, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def write(self, key, document):
        """Write as the operator or a replica does; return when it is acked."""
        with self._changed:
            self._put(key, json.dumps(document).encode(), 0)

    def delete(self, key):
        with self._changed:
            self._remove(key)

    def _put(self, key, value, lease):
        self._revision += 1
        known = self._items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self._revision,
            'createdRev': known['createdRev'] if known else self._revision,
            'lease': lease,
        }
        self._items[key] = item
        self._events.append(item)
        self._changed.notify_all()

    def _remove(self, key):
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._events.append(
            {'key': key, 'revision': self._revision, 'removed': True}
        )
        self._changed.notify_all()

    def _end(self, lease):
        self._leases.pop(lease, None)
        for key, item in list(self._items.items()):
            if item['lease'] == lease:
                self._remove(key)

    def _expire(self):
        while not self.is_closed:
            time.sleep(0.05)
            now = time.monotonic()
            with self._changed:
                for lease, (_, until) in list(self._leases.items()):
                    if until < now:
                        self._end(lease)

    def _beat(self):
        """Write the replicas' entries again, as they do every heartbeatMs."""
        while not self.is_closed:
            time.sleep(_HEARTBEAT_S)
            with self._changed:
                for key, item in list(self._items.items()):
                    if key.startswith('servers/'):
                        document = json.loads(base64.b64decode(item['value']))
                        document['seq'] += 1
                        self._put(key, json.dumps(document).encode(), 0)

    def answer(self, sock, message):
        method, target, _ = message.first.split(' ', 2)
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        status, document = self._call(method, parts.path, query, message.body)
        body = json.dumps(document).encode()
        sock.sendall(
            b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%s' % (status, len(body), body)
        )
        return True

    def _call(self, method, path, query, body):
        name = path.strip('/').partition('/')
        if name[0] == 'kv-watch':
            return self._watch(query)
        with self._changed:
            if name[0] == 'kv-key':
                item = self._items.get(query['key'])
                return (200, item) if item else (404, {})
            if name[0] == 'kv-range':
                return self._range(query)
            if name[0] == 'kv-txn':
                return self._transact(json.loads(body))
            if name[0] == 'kv-lease':
                ttl_ms = max(json.loads(body)['ttlMs'], 1000)
                lease = self._next_lease
                self._next_lease += 1
                until = time.monotonic() + ttl_ms / 1000
                self._leases[lease] = ttl_ms, until
                return 200, {'lease': lease, 'ttlMs': ttl_ms}
            if name[0] == 'kv-keep':
                return self._keep(int(name[2]))
            if name[0] == 'kv-lease-end':
                if int(name[2]) not in self._leases:
                    return 404, {}
                self._end(int(name[2]))
                return 200, {}
        return 404, {}

    def _keep(self, lease):
        if lease not in self._leases:
            return 404, {}
        ttl_ms = self._leases[lease][0]
        self._leases[lease] = ttl_ms, time.monotonic() + ttl_ms / 1000
        return 200, {'lease': lease, 'ttlMs': ttl_ms}

    def _range(self, query):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            key
            for key in self._items
            if key.startswith(prefix) and key > after
        )
        return 200, {
            'items': [self._items[key] for key in keys[:500]],
            'morePages': len(keys) > 500,
            'asOf': self._revision,
        }

    def _transact(self, change):
        for row in change.get('expectedRev', ()):
            item = self._items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                found = [
                    self._items[one['key']]
                    for one in change['expectedRev']
                    if one['key'] in self._items
                ]
                return 412, {'items': found}
        for put in change.get('puts', ()):
            if put.get('lease') and put['lease'] not in self._leases:
                return 404, {}
        for put in change.get('puts', ()):
            value = base64.b64decode(put['value'])
            self._put(put['key'], value, put.get('lease', 0))
        for key in change.get('remove', ()):
            self._remove(key)
        return 200, {'revision': self._revision}

    def _watch(self, query):
        prefix, after = query.get('prefix', ''), int(query['after'])
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        with self._changed:
            while True:
                events = [
                    one
                    for one in self._events
                    if one['revision'] > after
                    and one['key'].startswith(prefix)
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {'events': events, 'asOf': self._revision}
                self._changed.wait(left)


class Machine:
    """One machine with its process of the deploy file's only role."""

    def __init__(self, number, ips, store, folder, record, seeds=()):
        self.name = f'front-lk-west-a-{number}'
        self.ip = ips()
        self._record = record
        self._log = folder / f'{self.name}.log'
        self._settings = folder / f'{self.name}.conf'
        ports = _free_ports(self.ip, 4)
        self.front, self.ready, self.control, self.directory = (
            (self.ip, port) for port in ports
        )
        fields = {
            'nodeName': self.name,
            'role': 'router',
            'machineClass': 'front',
            'serves': 'front,control,directory',
            'ip': self.ip,
            'zone': 'lk-west-a',
            'region': 'lk-west',
            'zones.lk-west-a': 'lk-west',
            'listen.front': _text(self.front),
            'listen.ready': _text(self.ready),
            'listen.control': _text(self.control),
            'listen.directory': _text(self.directory),
            'internalPorts': '7340,7355',
            'seeds': ','.join(seeds),
            'bootstrap': 'true',
            'limits.cpuShare': '0.537',
            'limits.cores': '2',
            'limits.memoryMb': '300',
            'limits.maxFds': '4100',
            'limits.linkMbps': '1000.0',
            'discovery': 'platform',
            'entry': 'directory',
            'heartbeatMs': '1200',
            'bounds.reuseAfterS': '2',
            'bounds.contactMs': '3000',
            'bounds.drainMs': '2000',
            'bounds.graceS': '8',
            'bounds.lossSlackMs': '200',
            'bounds.configApplyMs': '2000',
            'bounds.rollbackSlackMs': '250',
            'bounds.budgetRatio': '0.2',
            'bounds.budgetWindowS': '10',
            'bounds.budgetSlack': '52',
            'bounds.capFactor': '2',
            'bounds.ttl_max_s': '5',
            'platform.address': store.address,
            'platform.form': 'kv',
            'platform.writesPerS': '400',
            'platform.readsPerS': '2000',
            'platform.historyS': '20',
            'platform.valueBytes': '1048576',
            'platform.ttlMinMs': '1000',
        }
        self._settings.write_text(
            ''.join(f'{name}={text}\n' for name, text in fields.items())
        )
        self.start()

    def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = next(iter(deploy['roles'].values()))
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['PAPAYALOOM_SETTINGS'] = str(self._settings)
        with open(self._log, 'ab') as log:
            self.process = subprocess.Popen(
                role['run'].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._record(f'{self.name}: started at {_text(self.front)}')

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.process.wait()

    def is_ready(self):
        try:
            with socket.create_connection(self.ready, 1) as sock:
                sock.settimeout(1)
                sock.sendall(
                    b'GET /readiness HTTP/1.1\r\nHost: x\r\n'
                    b'Connection: close\r\n\r\n'
                )
                return b' 200 ' in sock.recv(64)
        except OSError:
            return False

    def log(self):
        return self._log.read_text(errors='replace')


class World:
    """Folder, loopback addresses, store and machines; closed as a context."""

    def __init__(self, script):
        self.record = Record(script)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.machines = []
        self.servers = []
        self._used = set()
        self.store = self.add(Store(self.ip()))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for machine in self.machines:
            machine.kill()
        for server in self.servers:
            server.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def ip(self):
        """Return a loopback address on which the metrics port is free."""
        while True:
            rng = random.SystemRandom()
            ip = f'127.{rng.randint(90, 240)}.{rng.randint(1, 250)}'
            ip = f'{ip}.{rng.randint(2, 250)}'
            if ip not in self._used:
                try:
                    socket.create_server((ip, 9464)).close()
                except OSError:
                    continue
                self._used.add(ip)
                return ip

    def add(self, server):
        self.servers.append(server)
        return server

    def add_machines(self, count):
        """Start processes and wait until all are ready."""
        for number in range(len(self.machines) + 1, len(self.machines) + count + 1):
            self.machines.append(
                Machine(number, self.ip, self.store, self.folder, self.record)
            )
        if not until(_START_S, lambda: all(
            one.is_ready() for one in self.machines
        )):
            for one in self.machines:
                self.record(one.log()[-2000:])
            raise CannotRunError('the processes do not become ready')


class CannotRunError(Exception):
    """The case could not run."""


def route(name, prefix, kind, service, **more):
    """Return a route of the desired state."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'service': service,
        'timeoutMs': 1200,
        'targetLatencyMs': 150,
        'maxAttempts': 1,
        'priority': 2,
        **more,
    }


def desired(version, routes, **more):
    """Return a desired state with one tenant."""
    services = sorted({one['service'] for one in routes})
    return {
        'version': version,
        'routes': list(routes),
        'services': [{'name': name} for name in services],
        'tenants': [{'name': TENANT, 'apiKeys': [KEY]}],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        **more,
    }


def entry(service, address, slots, state='ready', **more):
    """Return the entry of a replica."""
    return {
        'service': service,
        'address': address,
        'zone': 'lk-west-a',
        'version': '1',
        'slots': slots,
        'state': state,
        'coldRemainingMs': 0,
        'seq': 1,
        'born': int(time.time() * 1000),
        **more,
    }


def request_id():
    return f'{random.getrandbits(64):016x}'


def request(method, path, number, deadline_ms, body=b'', **headers):
    """Return the bytes of a consumer's request head."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Papayaloom-Request-Id: {number}',
        f'Papayaloom-Request-Deadline: {deadline_ms}',
        f'Authorization: Bearer {KEY}',
    ]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    lines += [f'{name.replace("_", "-")}: {x}' for name, x in headers.items()]
    return '\r\n'.join([*lines, '', '']).encode()


def until(seconds, condition):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.1)
    return False


def main(script, case):
    """Run a case and exit: 1 broken, 0 held, 2 could not run."""
    try:
        with World(script) as world:
            broken = case(world)
            world.record(f'rule broken: {broken}')
    except Exception as exc:
        print(f'could not run: {exc!r}', file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if broken else 0)


def _text(address):
    return f'{address[0]}:{address[1]}'


def _free_ports(ip, count):
    held = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports
