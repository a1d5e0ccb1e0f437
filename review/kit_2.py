"""Stand-ins of the platform's store, replicas and consumers for the cases.

Needs nothing but the standard library. Everything listens on loopback.
"""

import base64
import http.client
import http.server
import itertools
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
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
HEARTBEAT_S = 1.2
CONTACT_S = 3.0
DRAIN_S = 2.0
START_S = 30.0
ERA = time.monotonic()


class CannotRunError(Exception):
    """The case could not run."""


class Record:
    """Lines of what was sent, answered and run."""

    def __init__(self, folder):
        self._lock = threading.Lock()
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')

    def write(self, text):
        with self._lock:
            self._file.write(f'{time.monotonic() - ERA:8.3f} {text}\n')

    def close(self):
        with self._lock:
            self._file.close()


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self):
        self.changed = threading.Condition()
        self._items = {}
        self._events = []
        self._revision = 100
        self._lease_numbers = itertools.count(7000)
        self._leases = {}
        self._cut = 0
        self._waiting = 0
        self.cut_watches = 0
        self._server = _server(_StoreCall, self)
        self.address = self._server.server_address
        threading.Thread(target=self._expire, daemon=True).start()

    def move(self):
        """Serve at a new address too; return a function that ends the old one."""
        before = self._server
        self._server = _server(_StoreCall, self)
        self.address = self._server.server_address

        def end_old():
            before.shutdown()
            before.server_close()
            for conn in list(before.conns):
                _break(conn)

        return end_old

    def put(self, key, content, lease=0):
        """Write a key; return the time of the acknowledgement."""
        with self.changed:
            self._put(key, content, lease)
            return time.monotonic()

    def remove(self, key):
        """Remove a key; return the time of the acknowledgement."""
        with self.changed:
            self._remove(key)
            return time.monotonic()

    def await_waiting_watches(self, count, timeout_s):
        """Wait until this many watches wait; return how many do."""
        end = time.monotonic() + timeout_s
        while self._waiting < count and time.monotonic() < end:
            time.sleep(0.01)
        return self._waiting

    def cut_waiting_watches(self):
        """Close the channels of all watches that wait now."""
        with self.changed:
            self._cut += 1
            self.changed.notify_all()

    def close(self):
        self._server.shutdown()
        self._server.server_close()

    def call(self, method, path, query, body):
        """Return status and body; None if the channel is cut."""
        name, _, argument = path.removeprefix('/kv-').partition('/')
        if name == 'watch':
            return self._watch(query)
        with self.changed:
            if name == 'key':
                item = self._items.get(query['key'])
                return (200, {**item, 'asOf': self._revision}) if item else (404, {})
            if name == 'range':
                return self._range(query)
            if name == 'txn':
                return self._transact(json.loads(body))
            if name == 'lease':
                number = next(self._lease_numbers)
                ttl_ms = json.loads(body)['ttlMs']
                self._leases[number] = [ttl_ms, time.monotonic() + ttl_ms / 1000]
                return 200, {'lease': number, 'ttlMs': ttl_ms}
            if name == 'keep':
                lease = self._leases.get(int(argument))
                if lease is None:
                    return 404, {}
                lease[1] = time.monotonic() + lease[0] / 1000
                return 200, {'ttlMs': lease[0]}
            if name == 'lease-end':
                if int(argument) not in self._leases:
                    return 404, {}
                self._end_lease(int(argument))
                return 200, {}
        return 404, {}

    def _watch(self, query):
        prefix, after = query.get('prefix', ''), int(query['after'])
        end = time.monotonic() + int(query['waitMs']) / 1000
        with self.changed:
            cut = self._cut
            while True:
                found = [
                    one
                    for one in self._events
                    if one['revision'] > after and one['key'].startswith(prefix)
                ]
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {'events': found, 'asOf': self._revision}
                self._waiting += 1
                self.changed.wait(left)
                self._waiting -= 1
                if self._cut != cut:
                    self.cut_watches += 1
                    return None

    def _range(self, query):
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query.get('prefix', '')) and key > query.get('after', '')
        )
        return 200, {
            'items': [self._items[key] for key in keys[:500]],
            'morePages': len(keys) > 500,
            'asOf': self._revision,
        }

    def _transact(self, change):
        for one in change['expectedRev']:
            item = self._items.get(one['key'])
            if (item['revision'] if item else 0) != one['revision']:
                found = [
                    self._items[each['key']]
                    for each in change['expectedRev']
                    if each['key'] in self._items
                ]
                return 412, {'items': found}
        for one in change['puts']:
            if one.get('lease', 0) and one['lease'] not in self._leases:
                return 404, {}
        for one in change['puts']:
            self._put(one['key'], base64.b64decode(one['value']), one.get('lease', 0))
        for key in change['remove']:
            self._remove(key)
        return 200, {'revision': self._revision}

    def _put(self, key, content, lease):
        self._revision += 1
        before = self._items.get(key)
        self._items[key] = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self._revision,
            'createdRev': before['createdRev'] if before else self._revision,
            'lease': lease,
        }
        self._events.append(self._items[key])
        self.changed.notify_all()

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._events.append(
                {'key': key, 'revision': self._revision, 'removed': True}
            )
            self.changed.notify_all()

    def _end_lease(self, number):
        self._leases.pop(number)
        for key in [k for k, one in self._items.items() if one['lease'] == number]:
            self._remove(key)

    def _expire(self):
        while True:
            time.sleep(0.1)
            with self.changed:
                now = time.monotonic()
                for number, (_, until) in list(self._leases.items()):
                    if until < now:
                        self._end_lease(number)


class _StoreCall(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def log_message(self, *_):
        """Log nothing."""

    def _answer(self):
        parts = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        body = self.rfile.read(int(self.headers.get('Content-Length', 0)))
        answer = self.server.owner.call(self.command, parts.path, query, body)
        if answer is None:
            self.close_connection = True
            return
        content = json.dumps(answer[1]).encode()
        self.send_response(answer[0])
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    do_GET = do_POST = do_DELETE = _answer


class Replica:
    """A sound replica: registers itself, beats, and serves one route's kind.

    :param runs: list that takes (time, replica, service, request id, path).
    """

    def __init__(self, store, record, name, service, runs, work_s=0.045, slots=6):
        self.name, self.service = name, service
        self._store, self._record, self._runs = store, record, runs
        self._work_s, self._slots = work_s, slots
        self._seq = 0
        self._beating = threading.Event()
        self._beating.set()
        self._lock = threading.Lock()
        self._server = _server(_ReplicaCall, self)
        self.address = self._server.server_address
        self.born = time.time_ns() // 1_000_000
        self._beat()
        threading.Thread(target=self._run_beats, daemon=True).start()

    @property
    def key(self):
        return f'servers/{self.name}'

    def leave_without_draining(self):
        """Let the entry go, and serve on; return when the store accepted it."""
        with self._lock:
            self._beating.clear()
            at = self._store.remove(self.key)
        self._record.write(f'store: entry of {self.name} removed')
        return at

    def end(self):
        """End the process: listener and channels close."""
        self._beating.clear()
        self._server.shutdown()
        self._server.server_close()
        for conn in list(self._server.conns):
            _break(conn)
        self._record.write(f'replica {self.name} ended')

    def _run_beats(self):
        while True:
            time.sleep(HEARTBEAT_S)
            if not self._beating.is_set():
                return
            self._beat()

    def _beat(self):
        with self._lock:
            if not self._beating.is_set():
                return
            self._seq += 1
            self._store.put(self.key, json.dumps(self._entry()).encode())

    def _entry(self):
        return {
            'service': self.service,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': 'lk-west-a',
            'version': 'v1',
            'slots': self._slots,
            'state': 'ready',
            'coldRemainingMs': 0,
            'seq': self._seq,
            'born': self.born,
        }

    def run(self, headers, method, path):
        """Run a request; return status, headers and body, as bytes or in parts."""
        request = headers.get('Papayaloom-Request-Id', '')
        expected = headers.get('Papayaloom-Expected-Replica', self.name)
        if expected != self.name:
            self._record.write(f'replica {self.name}: 421 to {request}')
            return 421, {'Papayaloom-Replica-Id': self.name}, b''
        self._runs.append((time.monotonic(), self.name, self.service, request, path))
        self._record.write(f'replica {self.name} ({self.service}) runs {request} {method} {path}')
        time.sleep(self._work_s)
        answer = {
            'Papayaloom-Request-Id': request,
            'Papayaloom-Response-Seal': f'seal-{self.name}-{request}',
        }
        return 200, answer, self.content(headers, request)

    def content(self, headers, request):
        """Return the body of an answer."""
        return f'{self.service} {request}'.encode()


class _ReplicaCall(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def log_message(self, *_):
        """Log nothing."""

    def _answer(self):
        self.rfile.read(int(self.headers.get('Content-Length', 0)))
        status, headers, content = self.server.owner.run(
            self.headers, self.command, self.path
        )
        self.send_response(status)
        for name, text in headers.items():
            self.send_header(name, text)
        if isinstance(content, bytes):
            self.send_header('Content-Length', str(len(content)))
            self.end_headers()
            self.wfile.write(content)
            return
        self.send_header('Content-Type', 'text/event-stream')
        self.send_header('Transfer-Encoding', 'chunked')
        self.end_headers()
        for part in content:
            self.wfile.write(b'%x\r\n%b\r\n' % (len(part), part))
        self.wfile.write(b'0\r\n\r\n')

    do_GET = do_POST = _answer


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    conns: set

    def process_request(self, request, client_address):
        self.conns.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.conns.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Ignore channels that break."""


def _break(conn):
    try:
        conn.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def _server(handler, owner):
    server = _Server(('127.0.0.1', 0), handler)
    server.owner = owner
    server.conns = set()
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Fleet:
    """Processes of the deploy file's role, one for each machine."""

    def __init__(self, store, count):
        self._store = store
        self._folder = tempfile.mkdtemp(prefix='papayaloom-review-')
        # An address of its own for each machine, as the metrics port is fixed.
        self._net = f'127.{random.randint(60, 250)}.{random.randint(1, 250)}'
        self._command = _deploy_command()
        self.machines = [self._configure(number) for number in range(count)]

    def start(self):
        for machine in self.machines:
            self.launch(machine)
        for machine in self.machines:
            self.await_ready(machine)

    def launch(self, machine):
        environ = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environ['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environ['PAPAYALOOM_SETTINGS'] = machine['settings']
        with open(machine['log'], 'ab') as log:
            machine['process'] = subprocess.Popen(
                self._command, cwd=ROOT, env=environ, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
            )

    def await_ready(self, machine):
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            if machine['process'].poll() is not None:
                raise CannotRunError(f'{machine["name"]} ended: {self.log(machine)}')
            if is_ready(machine):
                return
            time.sleep(0.05)
        raise CannotRunError(f'{machine["name"]} is not ready')

    def log(self, machine):
        return pathlib.Path(machine['log']).read_text(errors='replace')

    def close(self):
        for machine in self.machines:
            process = machine.get('process')
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            if process is not None:
                process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)

    def _configure(self, number):
        ip = f'{self._net}.{number + 1}'
        names = ('front', 'ready', 'control', 'directory')
        ports = dict(zip(names, _free_ports(ip, len(names))))
        name = f'front-lk-west-a-{number + 1}'
        path = f'{self._folder}/{name}.conf'
        machine = {
            'name': name, 'ip': ip, 'settings': path, 'log': f'{self._folder}/{name}.log',
            **{one: (ip, ports[one]) for one in names},
        }
        machine['write'] = lambda: self._write(machine, names, ports, seeds=ip)
        machine['write']()
        return machine

    def _write(self, machine, names, ports, seeds):
        """Write the settings file of a machine."""
        name, ip = machine['name'], machine['ip']
        lines = [
            f'nodeName={name}', 'role=router', 'machineClass=front',
            'serves=front,control,directory', f'ip={ip}', 'zone=lk-west-a',
            'region=lk-west', 'zones.lk-west-a=lk-west',
            *(f'listen.{one}={ip}:{ports[one]}' for one in names),
            'internalPorts=7340,7355', f'seeds={seeds}:{ports["control"]}',
            'bootstrap=true', 'faultCounted=false', 'limits.cpuShare=0.537',
            'limits.cores=2', 'limits.memoryMb=300', 'limits.maxFds=4100',
            'limits.linkMbps=1000.0', 'limits.diskMb=0', 'discovery=platform',
            'entry=directory', 'heartbeatMs=1200',
            'contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform',
            'faultTolerance.machines=1', 'bounds.seedLagS=3', 'bounds.reuseAfterS=2',
            'bounds.contactMs=3000', 'bounds.ackMs=4000', 'bounds.catchUpS=4',
            'bounds.drainMs=2000', 'bounds.graceS=8', 'bounds.lossSlackMs=200',
            'bounds.configApplyMs=2000', 'bounds.rollbackSlackMs=250',
            'bounds.stretchMaxMs=5000', 'bounds.strictRevoke=false',
            'bounds.revokeMs=5000', 'bounds.budgetRatio=0.2', 'bounds.budgetWindowS=10',
            'bounds.budgetSlack=52', 'bounds.recoverS=12', 'bounds.passMs=120',
            'bounds.reuseWindowS=10', 'bounds.capFactor=2', 'bounds.ttl_max_s=5',
            f'platform.address={self._store.address[0]}:{self._store.address[1]}',
            'platform.form=kv', 'platform.writesPerS=400', 'platform.readsPerS=2000',
            'platform.historyS=20', 'platform.valueBytes=1048576', 'platform.ttlMinMs=1000',
        ]
        path = pathlib.Path(machine['settings'])
        temporary = path.with_suffix('.new')
        temporary.write_text('\n'.join(lines) + '\n')
        temporary.replace(path)


def _deploy_command():
    """Return the command of the only role in deploy/system.toml."""
    for line in (ROOT / 'deploy' / 'system.toml').read_text().splitlines():
        if line.startswith('run = '):
            return line.partition('=')[2].strip().strip('"').split()
    raise CannotRunError('deploy/system.toml names no command')


def _free_ports(ip, count):
    socks = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def is_ready(machine):
    """Ask the readiness check."""
    try:
        conn = http.client.HTTPConnection(*machine['ready'], timeout=1)
        conn.request('GET', '/readiness')
        status = conn.getresponse().status
        conn.close()
    except (OSError, http.client.HTTPException):
        return False
    return status == 200


def route(name, service, kind, attempts=1, timeout_ms=1200, **more):
    return {
        'name': f'r-{name}', 'host': HOST, 'prefix': f'/{name}/', 'kind': kind,
        'timeoutMs': timeout_ms, 'targetLatencyMs': 150, 'priority': 2,
        'service': service, 'maxAttempts': attempts, 'anonymous': False,
        'sticky': False, 'resumable': False, **more,
    }


def desired_state(version, routes, keys=(KEY,)):
    services = sorted({one['service'] for one in routes})
    return json.dumps({
        'version': version,
        'routes': routes,
        'services': [
            {'name': one, 'healthPath': '/health', 'maxConnections': 96,
             'protocol': 'h1', 'tls': False}
            for one in services
        ],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                   'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
        'tenants': [{'name': TENANT, 'apiKeys': list(keys), 'priority': 1}],
    }).encode()


_numbers = itertools.count(1)


def ask(machine, method, path, record, body=b'', timeout_s=2.5, key=KEY):
    """Send a request on a new channel; return (id, status, headers, body)."""
    request = f'{next(_numbers):016x}'
    headers = {
        'Host': HOST, 'Authorization': f'Bearer {key}',
        'Papayaloom-Request-Id': request,
        'Papayaloom-Request-Deadline': f'{timeout_s * 1000:.0f}',
    }
    if body:
        headers['Content-Length'] = str(len(body))
    try:
        conn = http.client.HTTPConnection(*machine['front'], timeout=timeout_s)
        conn.request(method, path, body or None, headers)
        answer = conn.getresponse()
        found = request, answer.status, dict(answer.getheaders()), answer.read()
        conn.close()
    except (OSError, http.client.HTTPException) as exc:
        found = request, 0, {}, repr(exc).encode()
    record.write(f'consumer: {request} {method} {path} at {machine["name"]}: {found[1]}')
    return found


class Load:
    """Consumers that send at a steady rate until they are stopped."""

    def __init__(self, fleet, record, asked, per_s, threads=16):
        self.answers = []
        self._stopping = threading.Event()
        self._threads = []
        pause_s = threads / per_s

        def run(number):
            rng = random.Random(number)
            time.sleep(pause_s * number / threads)
            while not self._stopping.is_set():
                begun = time.monotonic()
                method, path = rng.choice(asked)
                machine = rng.choice(fleet.machines)
                body = b'x' * 600 if method == 'POST' else b''
                self.answers.append((begun, *ask(machine, method, path, record, body)))
                self._stopping.wait(max(pause_s - (time.monotonic() - begun), 0))

        for number in range(threads):
            thread = threading.Thread(target=run, args=(number,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self):
        self._stopping.set()
        for thread in self._threads:
            thread.join(5)


def main(folder, case):
    """Run a case: it returns whether the rule was broken."""
    record = Record(folder)
    closing = []
    try:
        is_broken = case(record, closing)
    except CannotRunError as exc:
        record.write(f'could not run: {exc}')
        print(f'could not run: {exc}', file=sys.stderr)
        code = 2
    except Exception:
        # An error of the case itself says nothing about the rule.
        record.write(f'could not run: {traceback.format_exc()}')
        traceback.print_exc()
        code = 2
    else:
        code = 1 if is_broken else 0
    finally:
        for close in reversed(closing):
            close()
    record.write(f'exit {code}')
    record.close()
    sys.exit(code)
