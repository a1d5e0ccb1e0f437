"""Runs the soak: clients, faults in series and overlapping, and checks.

``python -m features.soak.run --seed=7 --seconds=60 --gateways=3``

Checked from outside, by what callers and replicas see:

- a success is whole, bears the replica's receipt and is the caller's own;
- a stream has every event once and in order, and looks complete only then;
- a request that must not run twice runs at most once;
- what was answered 429 or 503 has not run, and does not run later;
- in the calm at the end, requests are served again.
"""

import contextlib
import http.client
import json
import random
import signal
import sys
import threading
import time

import fire
import msgspec

from features.soak import proxy, replica, world

CLIENTS = 6
_FAULT_S = (0.3, 2.0)
_PAUSE_S = (0.05, 0.6)
_SETTLE_S = 6.0
_CALM_S = 5.0
_CALM_SHARE = 0.9
_PROMISES = (429, 503)
_KINDS = ('call', 'order', 'stream')
_STREAM = b''.join(
    b'id: %d\ndata: %d\n\n' % (number, number)
    for number in range(1, replica.EVENTS + 1)
)


class Seen(msgspec.Struct):
    """What a caller saw of one request; status 0 without an answer."""

    kind: str
    request: str
    at: float
    status: int = 0
    content: bytes = b''
    receipt: str = ''


class Clients:
    """Callers that keep their connections until these break."""

    def __init__(self, place: world.World, seed: int) -> None:
        """Prepare the threads."""
        self.seen: list[Seen] = []
        self._place = place
        self._seed = seed
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(CLIENTS)
        ]

    def start(self) -> None:
        """Begin to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End after the present requests."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        rng = random.Random(self._seed * 1000 + number)
        conn: http.client.HTTPConnection | None = None
        sent = 0
        while not self._stopping.is_set():
            kind = rng.choice(_KINDS)
            sent += 1
            one = Seen(kind, f'{kind}-{number}-{sent}', time.monotonic())
            if conn is None:
                front = rng.choice(self._place.gateways).front
                conn = http.client.HTTPConnection(*front, timeout=4)
            if not _ask(conn, one):
                conn.close()
                conn = None
            self.seen.append(one)
            time.sleep(rng.uniform(0.005, 0.03))


def _ask(conn: http.client.HTTPConnection, one: Seen) -> bool:
    """Send a request; returns whether the connection can be used again."""
    method = 'GET' if one.kind == 'call' else 'POST'
    headers = {
        'Host': world.HOST,
        'Authorization': f'Bearer {world.KEY}',
        'Papayaloom-Request-Id': one.request,
        'Papayaloom-Request-Deadline': '3000',
    }
    try:
        conn.request(method, f'/{one.kind}/x', headers=headers)
        answer = conn.getresponse()
        content = answer.read()
    except (OSError, http.client.HTTPException):
        return False
    one.content = content
    one.status = answer.status
    one.receipt = answer.headers.get('Papayaloom-Response-Seal', '')
    return not answer.will_close


def faults(place: world.World, rng: random.Random, until: float) -> list[str]:
    """Inject faults until a time; several may be in force together."""
    told = []
    ends: list[threading.Timer] = []
    while time.monotonic() < until:
        name, undo = _fault(place, rng)
        told.append(name)
        timer = threading.Timer(rng.uniform(*_FAULT_S), undo)
        timer.start()
        ends.append(timer)
        time.sleep(rng.uniform(*_PAUSE_S))
        for gateway in place.gateways:
            gateway.restart_if_ended()
    for timer in ends:
        timer.join()
    return told


def _fault(place: world.World, rng: random.Random):  # noqa: ANN202
    """Begin one fault; returns its name and what ends it."""
    kind = rng.randrange(5)
    if kind == 0:
        gateway = rng.choice(place.gateways)
        number = rng.choice((signal.SIGKILL, signal.SIGTERM))
        gateway.send(number)
        return f'{number.name} {gateway.name}', lambda: None
    if kind == 1:
        gateway = rng.choice(place.gateways)
        gateway.send(signal.SIGSTOP)
        return f'freeze {gateway.name}', lambda: gateway.send(signal.SIGCONT)
    if kind == 2:
        link = rng.choice([*place.links, *place.store_links])
        mode = rng.choice([one for one in proxy.Mode if one.value != 'pass'])
        link.mode = mode
        return f'link {mode.value}', lambda: _pass(link)
    if kind == 3:
        place.store.faults.outage = True
        return 'store outage', lambda: _calm_store(place)
    bad = rng.choice(place.replicas)
    bad.share = rng.uniform(0.2, 0.8)
    return f'grey {bad.name}', lambda: _calm_replica(bad)


def _pass(link: proxy.Proxy) -> None:
    link.mode = proxy.Mode.PASS


def _calm_store(place: world.World) -> None:
    place.store.faults.outage = False


def _calm_replica(one: replica.Replica) -> None:
    one.share = 0


def broken_promises(place: world.World, seen: list[Seen]) -> list[str]:
    """Return what callers and replicas saw against the promises."""
    broken = []
    for one in seen:
        runs = place.runs.count(one.request)
        if one.kind == 'order' and runs > 1:
            broken.append(f'{one.request} ran {runs} times')
        if one.kind == 'order' and one.status in _PROMISES and runs:
            broken.append(f'{one.request} was refused with {one.status}, ran')
        if one.status == 200:
            broken.extend(_wrong_success(one))
    return broken


def _wrong_success(one: Seen) -> list[str]:
    expected = _STREAM if one.kind == 'stream' else one.request.encode()
    wrong = []
    if one.content != expected:
        wrong.append(f'{one.request} got {one.content!r}')
    if one.receipt != f'seal-{one.request}':
        wrong.append(f'{one.request} got the receipt {one.receipt!r}')
    return wrong


def soak(
    seed: int, seconds: float = 30, gateways: int = 3
) -> dict[str, object]:
    """Run one seed and return its figures."""
    rng = random.Random(seed)
    place = world.World(gateways, rng)
    with contextlib.closing(place):
        clients = Clients(place, seed)
        clients.start()
        told = faults(place, rng, time.monotonic() + seconds)
        for gateway in place.gateways:
            gateway.restart_if_ended()
        time.sleep(_SETTLE_S)
        calm = time.monotonic()
        time.sleep(_CALM_S)
        clients.stop()
        broken = broken_promises(place, clients.seen)
    late = [one for one in clients.seen if one.at >= calm]
    served = sum(one.status == 200 for one in late) / max(len(late), 1)
    if served < _CALM_SHARE:
        broken.append(f'{served:.2f} served in the calm at the end')
    return {
        'seed': seed,
        'faults': len(told),
        'requests': len(clients.seen),
        'served': sum(one.status == 200 for one in clients.seen),
        'served_calm': round(served, 3),
        'broken': broken,
        'logs': place.folder,
    }


def run(seed: int = 1, seconds: float = 30, gateways: int = 3, seeds: int = 1):
    """Run seeds in a row; exits with 1 when a promise was broken.

    :param seed: the first seed.
    :param seconds: time of faults a seed.
    :param gateways: gateway processes.
    :param seeds: how many seeds.
    """
    is_broken = False
    for number in range(seed, seed + seeds):
        figures = soak(number, seconds, gateways)
        is_broken = is_broken or bool(figures['broken'])
        sys.stdout.write(f'{json.dumps(figures)}\n')
        sys.stdout.flush()
    sys.exit(int(is_broken))


if __name__ == '__main__':
    fire.Fire(run)
