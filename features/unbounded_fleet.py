"""A gateway process before replicas of which some send without end."""

import collections
import contextlib
import http.client
import multiprocessing
import pathlib
import re
import tempfile
import threading
import time
import types

from features import fake_engine, hostile_replica
from features import forwarding_router as fleets
from features.soak import world

_SLOTS = 400
_START_S = 10
# Long enough for most callers to be waiting for an answer at any time.
_ANSWER_S = 0.2
_EVENTS = 3
_STREAM = fleets.stream(_EVENTS)
# A failed attempt ends long before these deadlines.
_ROUTES = (
    fleets.route('/calls/', 'idempotent', maxAttempts=2, timeoutMs=8000),
    fleets.ROUTES[-1],
)
# Form: path of the requests, what the faulty replicas do.
FORMS = {
    'a body to the close': ('/calls/x', 'a body without length'),
    'large chunks': ('/calls/x', 'large chunks'),
    'a 500 with a body': ('/calls/x', 'a failed body'),
    'a 500 to the close': ('/calls/x', 'a failed body to the close'),
    'one event': ('/resumable/x', 'one event'),
    'a first event': ('/resumable/x', 'a first event'),
    'comments': ('/resumable/x', 'comments'),
    'header lines': ('/calls/x', 'header lines'),
    'further heads': ('/calls/x', 'further heads'),
    'trailers': ('/calls/x', 'trailers'),
    'a refusal': ('/calls/x', 'a refusal'),
}


def _sound(*args):
    time.sleep(_ANSWER_S)
    script = _STREAM if args[3].startswith('/resumable/') else fleets.whole
    return script(*args)


def _serve_faulty(what, count, is_spoilt, requests, pipe):
    """Serve faulty replicas, in a process that has time to send fast."""

    def script(*args):
        if not is_spoilt.is_set():
            return _sound(*args)
        with requests.get_lock():
            requests.value += 1
        return hostile_replica.FLOODS[what](*args)

    engines = [fake_engine.FakeEngine(script) for _ in range(count)]
    pipe.send([one.url for one in engines])
    pipe.recv()


class Fleet:
    """Store, replicas and one gateway process.

    :param faulty: number of replicas that are faulty once :meth:`spoil` ran.
    """

    def __init__(self, count, faulty, form):
        self.path, what = FORMS[form]
        self._faulty = faulty
        processes = multiprocessing.get_context('spawn')
        self._is_spoilt = processes.Event()
        self._requests = processes.Value('i', 0)
        self._pipe, theirs = processes.Pipe()
        self._process = processes.Process(
            target=_serve_faulty,
            args=(what, faulty, self._is_spoilt, self._requests, theirs),
            daemon=True,
        )
        self._process.start()
        self.fleet = fleets.Fleet()
        self.fleet.write(7, _ROUTES)
        for url in self._pipe.recv():
            self.fleet.list_replica(url, _SLOTS)
        for _ in range(count - faulty):
            self.fleet.add_replica(_sound, _SLOTS)
        self._folder = tempfile.TemporaryDirectory()
        self.gateway = world.Gateway(
            'g0', self.fleet.standin.server.bind_addr, self._folder.name
        )
        self.router = types.SimpleNamespace(
            addresses={'callers': self.gateway.front}
        )
        assert fleets.until(_START_S, lambda: self.ask('q') == 200), self.log()

    def spoil(self):
        """Let the faulty replicas send without end from now on."""
        self._is_spoilt.set()

    def call_for(self, callers, seconds):
        """Let callers send request after request; return their statuses."""
        end = time.monotonic() + seconds
        statuses = collections.Counter()

        def run(number):
            sent = 0
            while time.monotonic() < end:
                sent += 1
                statuses[self.ask(f'q-{number}-{sent}')] += 1

        threads = [
            threading.Thread(target=run, args=(number,), daemon=True)
            for number in range(callers)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses

    def ask(self, request):
        """Return the status of a request; 0 without a whole answer."""
        try:
            return fleets.ask(
                self.router, 'POST', self.path, request=request
            ).status
        except (OSError, http.client.HTTPException):
            return 0

    def faulty_requests(self):
        """Return how many requests the faulty replicas got since then."""
        return self._requests.value

    def faulty_names(self):
        return {f'i-{number + 1}' for number in range(self._faulty)}

    def resident_mb(self):
        """Return the memory of the gateway process."""
        status = pathlib.Path(f'/proc/{self.gateway.process.pid}/status')
        return int(re.search(r'VmRSS:\s+(\d+) kB', status.read_text())[1]) / 1e3

    def log(self):
        return (pathlib.Path(self._folder.name) / 'g0.log').read_text()

    def reasons(self):
        """Return why callers got no answer, as far as the log has lines."""
        return set(
            re.findall(r'"why": "([^"]+)", "[^}]*request ended', self.log())
        )

    def metrics(self):
        line = re.search(
            r'listen.metrics=(.*):(\d+)',
            (pathlib.Path(self._folder.name) / 'g0.conf').read_text(),
        )
        conn = http.client.HTTPConnection(line[1], int(line[2]), timeout=5)
        with contextlib.closing(conn):
            conn.request('GET', '/metrics')
            return conn.getresponse().read().decode()

    def close(self):
        self.gateway.close()
        self._process.kill()
        self._process.join()
        self.fleet.close()
        self._folder.cleanup()
