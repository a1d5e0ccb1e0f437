"""Gateway processes, and replicas that end under a poison request."""

import contextlib
import http.client
import json
import pathlib
import random
import socket
import tempfile
import threading
import time
import types

from features import fake_engine
from features import forwarding_router as fleets
from features.soak import world
from papayaloom import clock, errors
from papayaloom.ports import kv
from papayaloom.standins import kv as memory_kv
from papayaloom.standins import platform_store

POISON = 'poison'
# Names of prompt parts in hexadecimal.
SHARED_PART = 'aa01'
POISON_PART = 'dead'
ANYWHERE = -1
_PARTS_HEADER = 'Papayaloom-Prompt-Prefix'
_BACK_S = 0.8
_REGISTER_S = 0.2
_EVENTS = 5
_START_S = 10


class _Engine(fake_engine.FakeEngine):
    """Engine whose connections end with it."""

    def __init__(self, script):
        self._conns = set()
        super().__init__(script)

    def end(self):
        self.close()
        for conn in list(self._conns):
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)

    def _serve(self, conn):
        self._conns.add(conn)
        try:
            super()._serve(conn)
        finally:
            self._conns.discard(conn)


class Replica:
    """A replica that ends when it begins to run a poison request.

    It is back a moment later as another start.

    :param runs_to: event of a poison stream at which the replica ends; another
        one each time if it is ``ANYWHERE``.
    :param events: number of events of a sound stream.
    :param orders: script for the route ``/orders/``.
    """

    def __init__(
        self,
        twin,
        name,
        sent,
        *,
        keeps_id=False,
        runs_to=0,
        orders=fleets.slow,
        events=_EVENTS,
    ):
        self._events = events
        self._twin = twin
        self._name = name
        self._sent = sent
        self._keeps_id = keeps_id
        self._runs_to = runs_to
        self._orders = orders
        self._starts = 0
        self._timer = None
        self.is_closed = False
        self._start()

    @property
    def key(self):
        start = 0 if self._keeps_id else self._starts
        return f'servers/{self._name}-{start}'

    def end(self):
        self._engine.end()
        self._later(_BACK_S, self._start)

    def close(self):
        self.is_closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer.join()
        self._engine.end()

    def _later(self, seconds, step):
        if not self.is_closed:
            self._timer = threading.Timer(seconds, step)
            self._timer.start()

    def _start(self):
        self._listed = self.key if self._starts else ''
        self._starts += 1
        self._born = time.time_ns() // 1_000_000
        self._engine = _Engine(self._script)
        self._register()

    def _register(self):
        """Replace the entry of the start before, as soon as the store is up."""
        address = self._engine.url.removeprefix('http://')
        entry = {
            'service': 'pool',
            'address': address,
            'state': 'ready',
            'slots': 16,
            'born': self._born,
        }
        try:
            self._remove(self._listed)
            self._twin.put(self.key, json.dumps(entry).encode(), kv.ABSENT)
        except errors.StoreUnavailableError:
            self._later(_REGISTER_S, self._register)

    def _remove(self, key):
        known = self._twin.get(key) if key else None
        if known is not None:
            self._twin.delete(key, known.revision)

    def _script(self, engine, conn, method, path, asked, body):
        request = asked['papayaloom-request-id']
        parts = asked.get(_PARTS_HEADER.lower(), '')
        self._sent.append((time.monotonic(), path + parts, request))
        if POISON_PART in parts:
            self._break_off(engine, conn, method, path, asked, body)
            return False
        if POISON in path:
            self._break_off(engine, conn, method, path, asked, body)
            return False
        if path.startswith(('/resumable/', '/plain/')):
            script = fleets.stream(self._events)
            return script(engine, conn, method, path, asked, body)
        script = self._orders if path.startswith('/orders/') else fleets.slow
        return script(engine, conn, method, path, asked, body)

    def _break_off(self, engine, conn, method, path, asked, body):
        """End, at an event if there is one."""
        number = self._runs_to
        if number == ANYWHERE:
            number = random.randrange(_EVENTS)
        if number:
            script = fleets.stream(number + 1, number)
            script(engine, conn, method, path, asked, body)
        self.end()


class Fleet:
    """Store, replicas and gateway processes; closed as a context.

    ``sent`` has the time, path and id of each request that reached a replica.
    """

    def __init__(self, gateways, replicas, **ways):
        self.twin = memory_kv.MemoryKv(clock.SystemClock(), blocking=True)
        self.sent = []
        self._standin = platform_store.PlatformStore(
            self.twin, ('127.0.0.1', 0)
        )
        threading.Thread(target=self._standin.server.serve, daemon=True).start()
        self.twin.put('op/config', fleets.desired(7), kv.ABSENT)
        self.replicas = [
            Replica(self.twin, f'i-{number}', self.sent, **ways)
            for number in range(replicas)
        ]
        self._folder = tempfile.TemporaryDirectory()
        self.gateways = []
        with contextlib.ExitStack() as unless_all_serve:
            unless_all_serve.callback(self.close)
            for _ in range(gateways):
                self.add_gateway()
            unless_all_serve.pop_all()

    def add_gateway(self):
        """Start one more process, and wait until it serves."""
        gateway = world.Gateway(
            f'g{len(self.gateways)}',
            self._standin.server.bind_addr,
            self._folder.name,
        )
        self.gateways.append(gateway)
        self._await_serving(gateway)
        return gateway

    def restart(self, gateway):
        """Kill a process and start it again: it has forgotten all."""
        gateway.close()
        gateway.restart_if_ended()
        self._await_serving(gateway)

    def poisoned(self):
        """Return when a poison request or part reached a replica."""
        return [
            at
            for at, path, _ in self.sent
            if POISON in path or POISON_PART in path
        ]

    def end_next_replica(self):
        """End the replica that has run for longest, for a reason of its own."""
        self.replicas.append(self.replicas.pop(0))
        self.replicas[-1].end()

    def store_calls(self):
        """Return the paths of all calls to the store."""
        return list(self._standin.calls)

    def logs(self):
        """Return what all gateways have logged."""
        folder = pathlib.Path(self._folder.name)
        return ''.join(path.read_text() for path in folder.glob('*.log'))

    def close(self):
        for gateway in self.gateways:
            gateway.close()
        for replica in self.replicas:
            replica.close()
        self._standin.server.stop()
        self._folder.cleanup()

    def _await_serving(self, gateway):
        assert fleets.until(_START_S, lambda: self._serves(gateway)), (
            f'{gateway.name} does not serve: {self.logs()}'
        )

    def _serves(self, gateway):
        return ask(gateway, 'GET', '/calls/x').status == http.client.OK


def ask(gateway, method, path, request='q-1', parts=''):
    """Send a request; status 0 without a whole answer.

    :param parts: names of the parts of its prompt.
    """
    router = types.SimpleNamespace(addresses={'callers': gateway.front})
    prompt = {_PARTS_HEADER: parts} if parts else {}
    try:
        return fleets.ask(router, method, path, request=request, **prompt)
    except (OSError, http.client.HTTPException):
        return types.SimpleNamespace(status=0, headers={})


class Callers:
    """Callers that send the same request again and again, at any gateway.

    :param pause_s: pause after each answer.
    :param part: part of the prompts; the requests then differ in all else.
    """

    def __init__(self, fleet, method, path, count=2, pause_s=0.15, part=''):
        self.answers = []
        self._fleet = fleet
        self._asked = (method, path)
        self._pause_s = pause_s
        self._part = part
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number):
        rng = random.Random(number)
        sent = 0
        while not self._stopping.is_set():
            sent += 1
            gateway = rng.choice(self._fleet.gateways)
            request = f'{self._asked[1]}-{number}-{sent}'
            answer = self._ask(gateway, request)
            self.answers.append((time.monotonic(), answer))
            self._stopping.wait(self._pause_s)

    def _ask(self, gateway, request):
        method, path = self._asked
        if not self._part:
            return ask(gateway, method, path, request)
        own = f'{abs(hash(request)):x}'
        parts = f'{SHARED_PART}:10,{self._part}:5,{own}:3'
        return ask(gateway, method, f'{path}?{own}', request, parts)
