"""Fleet of forwarding routers, replicas and a store for tests on sockets."""

import contextlib
import http.client
import json
import socket
import threading
import time

from features import fake_engine
from features.soak import proxy
from papayaloom import clock
from papayaloom.platform import main, store
from papayaloom.ports import kv
from papayaloom.process import fleet_hosts, gateway, gateway_cfg, gateway_stop
from papayaloom.standins import kv as memory_kv
from papayaloom.standins import platform_store

HOST = 'a.example'


def route(prefix, kind, **changes):
    return {
        'name': prefix,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'service': 'pool',
        'timeoutMs': 1000,
        'targetLatencyMs': 100,
        'maxAttempts': 1,
        'priority': 3,
        **changes,
    }


ROUTES = (
    route('/calls/', 'idempotent', maxAttempts=2),
    route('/orders/', 'non_idempotent'),
    route('/plain/', 'streaming', timeoutMs=8000, targetGapMs=100),
    route(
        '/resumable/',
        'streaming',
        timeoutMs=8000,
        targetGapMs=100,
        maxAttempts=2,
        resumable=True,
        sticky=True,
    ),
)


TENANTS = (
    {'name': 'geckos', 'apiKeys': ['k1']},
    {'name': 'pythons', 'apiKeys': ['k2'], 'priority': 1},
)


def desired(version, routes=ROUTES, **changes):
    document = {
        'version': version,
        'routes': routes,
        'services': [{'name': 'pool'}],
        'tenants': TENANTS,
        **changes,
    }
    kept = {name: part for name, part in document.items() if part is not None}
    return json.dumps(kept).encode()


class Fleet:
    """One store, and routers and replicas that know it."""

    def __init__(self):
        self.twin = memory_kv.MemoryKv(clock.SystemClock(), blocking=True)
        self.standin = platform_store.PlatformStore(self.twin, ('127.0.0.1', 0))
        threading.Thread(target=self.standin.server.serve, daemon=True).start()
        self.replicas = []
        self._listed = 0
        self.routers = []
        self.proxies = []

    def is_store_up(self):
        return self.standin.server.ready

    def write(self, version, routes=ROUTES, **changes):
        known = self.twin.get('op/config')
        expect = known.revision if known else kv.ABSENT
        content = desired(version, routes, **changes)
        assert self.twin.put('op/config', content, expect).done

    def add_replica(self, script, slots=4, **options):
        engine = fake_engine.FakeEngine(script, **options)
        self.replicas.append(engine)
        self.list_replica(engine.url, slots)

    def list_replica(self, url, slots):
        """Add the entry of a replica that already listens."""
        self._listed += 1
        name = f'i-{self._listed}'
        entry = {
            'service': 'pool',
            'address': url.removeprefix('http://'),
            'state': 'ready',
            'slots': slots,
            'born': 1,
        }
        content = json.dumps(entry).encode()
        assert self.twin.put(f'servers/{name}', content, kv.ABSENT).done

    def start_proxy(self):
        """Return a way to the store that can be cut."""
        self.proxies.append(proxy.Proxy(self.standin.server.bind_addr))
        return self.proxies[-1]

    def start_router(self, seeds=(), store_at=None, **cfg):
        host, port = store_at or self.standin.server.bind_addr
        # The metrics and the control server share the port numbers of tests.
        addresses = gateway_cfg.Addresses(*[('127.0.0.1', 0)] * 5)
        name = f'host-{len(self.routers) + 1}'
        router = gateway.Gateway(
            gateway_cfg.Cfg(
                host=fleet_hosts.Host(name, f'127.0.0.1:{len(self.routers)}'),
                addresses=addresses,
                seeds=tuple(seeds),
                stop=gateway_stop.Cfg(0.5, 0.6, 3),
                **cfg,
            ),
            store.PlatformStore(f'{host}:{port}'),
            main.PLATFORM_ADAPTER,
        )
        router.start()
        self.routers.append(router)
        return router

    def close(self):
        for router in self.routers:
            router.close()
        for one in self.proxies:
            one.close()
        self.standin.server.stop()
        for engine in self.replicas:
            engine.close()


def ask(router, method, path, key='k1', request='q-1', **extra):
    """Send a request and return the answer with its body read."""
    conn = connect(router, method, path, key, request, **extra)
    with contextlib.closing(conn):
        answer = conn.getresponse()
        answer.content = answer.read()
    return answer


def connect(
    router, method, path, key='k1', request='q-1', content=b'the body', **extra
):
    host, port = router.addresses['callers']
    conn = http.client.HTTPConnection(host, port, timeout=10)
    body = content if method == 'POST' else None
    conn.request(
        method,
        path,
        body,
        {
            'Host': HOST,
            'Authorization': f'Bearer {key}',
            'Papayaloom-Request-Id': request,
            'Papayaloom-Request-Deadline': '9000',
            **extra,
        },
    )
    return conn


def read_until_end(conn):
    """Return all that comes on a connection until it is closed."""
    found = b''
    while part := conn.recv(65536):
        found += part
    return found


def until(seconds, check):
    """Wait until a check holds; returns whether it did."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return True
        time.sleep(0.02)
    return False


# --- scripts of replicas ---------------------------------------------------


def head(request, length=None, status='200 OK', **extra):
    lines = [
        f'HTTP/1.1 {status}',
        f'Papayaloom-Request-Id: {request}',
        'Papayaloom-Response-Seal: seal-1',
        'Transfer-Encoding: chunked'
        if length is None
        else f'Content-Length: {length}',
        *(f'{name}: {text}' for name, text in extra.items()),
    ]
    return '\r\n'.join([*lines, '', '']).encode()


def chunk(content):
    return b'%x\r\n%b\r\n' % (len(content), content)


def events(first, last):
    """Return the events that :func:`stream` sends."""
    return b''.join(
        b'id: %d\ndata: event %d\n\n' % (number, number)
        for number in range(first, last + 1)
    )


def whole(_, conn, method, path, asked, body):
    conn.sendall(head(asked['papayaloom-request-id'], 10) + b'whole body')
    return True


def slow(*args):
    time.sleep(0.4)
    return whole(*args)


def refuse(_, conn, method, path, asked, body):
    conn.sendall(
        b'HTTP/1.1 503 Full\r\nPapayaloom-Not-Executed: 1\r\n'
        b'Content-Length: 0\r\n\r\n'
    )
    return True


def fail(_, conn, method, path, asked, body):
    request = asked['papayaloom-request-id']
    conn.sendall(head(request, 6, '500 Broken') + b'failed')
    return True


def reset(_, conn, *args):
    linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    return False


def truncate(_, conn, method, path, asked, body):
    conn.sendall(head(asked['papayaloom-request-id'], 10) + b'whole')
    return False


def garbage(_, conn, *args):
    conn.sendall(b'\x00\xff no answer in any protocol\r\n\r\n')
    return False


def mute(engine, conn, *args):
    engine.muted_at = time.monotonic()
    conn.settimeout(8)
    conn.recv(1)
    engine.left_at = time.monotonic()
    return False


def strange(_, conn, method, path, asked, body):
    """Answer without a receipt."""
    conn.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother')
    return True


def doubled(_, conn, method, path, asked, body):
    """Answer, and answer once more when the next request is due."""
    request = asked['papayaloom-request-id']
    content = request.encode()
    answer = head(request, len(content)) + content
    conn.sendall(answer)
    time.sleep(0.02)
    late = head('an-older-one', 3) + b'old'
    threading.Timer(0.15, _send_quietly, (conn, late)).start()
    return True


def named(_, conn, method, path, asked, body):
    """Answer a request with its id as the body."""
    request = asked['papayaloom-request-id']
    conn.sendall(head(request, len(request)) + request.encode())
    return True


def _send_quietly(conn, content):
    with contextlib.suppress(OSError):
        conn.sendall(content)


def stream(count, breaks_at=None, silent_after=None):
    """Return a script that streams events from the one asked for."""

    def script(engine, conn, method, path, asked, body):
        engine.resumed_after = asked.get('last-event-id')
        first = int(asked.get('last-event-id') or 0) + 1
        conn.sendall(head(asked['papayaloom-request-id']))
        for number in range(first, count + 1):
            event = b'id: %d\ndata: event %d\n\n' % (number, number)
            if number == breaks_at:
                conn.sendall(chunk(event[:9]))
                return False
            conn.sendall(chunk(event))
            time.sleep(0.01)
            if number == silent_after:
                return mute(engine, conn)
        conn.sendall(b'0\r\n\r\n')
        return True

    return script


SCRIPTS = {
    script.__name__: script
    for script in (
        whole,
        slow,
        refuse,
        fail,
        reset,
        truncate,
        garbage,
        mute,
        strange,
        doubled,
        named,
    )
}
