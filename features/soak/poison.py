"""Soak of poison requests: gateways die, freeze and stop, the store goes away.

``python -m features.soak.poison --seed=1 --seconds=10 --seeds=5``

Checked from outside, by what callers and replicas see:

- later than 3 s after the third replica has ended under a request, hosts that
  were calm for so long, with a calm store, send it to three replicas at most;
- a request that ends no replica is not refused as one that does;
- in the calm at the end, requests are served at every host, and each host
  refuses the poison request.
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

from features import forwarding_router as fleets
from features import mortal_fleet

_ENDS = 3
_TOUCH_S = 3.0
_MOST_LATE = 3
_SETTLE_S = 5.0
_FAULT_S = (0.3, 2.0)
_PAUSE_S = (0.2, 1.0)
_REFUSAL = b'replicas ended'
# Faults of one gateway overlap; it is started once.
_RESTARTING = threading.Lock()


class Disturbed:
    """When each gateway and the store were last disturbed."""

    def __init__(self) -> None:
        """Start calm."""
        self._spans: list[tuple[str, float, float]] = []

    def add(self, what: str, begun: float) -> None:
        """Note a fault that ends now; ``''`` is the store."""
        self._spans.append((what, begun, time.monotonic()))

    def is_calm(self, gateway: str, at: float) -> bool:
        """Whether a gateway and the store were calm before a time."""
        return not any(
            what in {'', gateway} and begun <= at <= end + _TOUCH_S
            for what, begun, end in self._spans
        )


class Callers:
    """Callers of the poison request, and others; ids name the gateway."""

    def __init__(self, fleet: mortal_fleet.Fleet, seed: int) -> None:
        """Prepare the threads."""
        self.others: list[tuple[str, object]] = []
        self._fleet = fleet
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run, args=(seed * 10 + number, number < 2)
            )
            for number in range(4)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End after the present requests."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, seed: int, is_poison: bool) -> None:
        rng = random.Random(seed)
        sent = 0
        while not self._stopping.is_set():
            sent += 1
            gateway = rng.choice(self._fleet.gateways)
            path = f'/calls/{rng.choice(("x", f"own-{seed}-{sent}"))}'
            if is_poison:
                path = f'/calls/{mortal_fleet.POISON}'
            request = f'{gateway.name}-{seed}-{sent}'
            answer = mortal_fleet.ask(gateway, 'GET', path, request)
            if not is_poison:
                self.others.append((path, answer))
            self._stopping.wait(rng.uniform(0.05, 0.2))


def _fault(fleet: mortal_fleet.Fleet, rng: random.Random, seen: Disturbed):
    """Begin a fault; returns its name and what ends it."""
    begun = time.monotonic()
    if rng.random() < 0.3:
        fleet.twin.faults.outage = True

        def calm_store() -> None:
            fleet.twin.faults.outage = False
            seen.add('', begun)

        return 'store outage', calm_store
    gateway = rng.choice(fleet.gateways)
    number = rng.choice((signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP))
    process = gateway.process
    gateway.send(number)

    def recover() -> None:
        gateway.send(signal.SIGCONT)
        if number is not signal.SIGSTOP:
            process.wait()
            with _RESTARTING:
                gateway.restart_if_ended()
        seen.add(gateway.name, begun)

    return f'{number.name} {gateway.name}', recover


def _broken(fleet, callers, seen) -> list[str]:
    """Return what callers and replicas saw against the promises."""
    broken = []
    runs = [
        (at, request.partition('-')[0])
        for at, path, request in list(fleet.sent)
        if mortal_fleet.POISON in path
    ]
    late = [
        at
        for at, gateway in runs[_ENDS:]
        if at > runs[_ENDS - 1][0] + _TOUCH_S and seen.is_calm(gateway, at)
    ]
    if len(late) > _MOST_LATE:
        broken.append(f'{len(late)} late sends, {len(runs)} ends')
    condemned = {
        path
        for path, answer in callers.others
        if _REFUSAL in getattr(answer, 'content', b'')
    }
    broken.extend(f'{path} was condemned' for path in sorted(condemned))
    return broken


def soak(seed: int, seconds: float) -> dict[str, object]:
    """Run one seed and return its figures."""
    rng = random.Random(seed)
    fleet = mortal_fleet.Fleet(3, 6)
    with contextlib.closing(fleet):
        seen = Disturbed()
        callers = Callers(fleet, seed)
        told, threads = [], []
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            name, undo = _fault(fleet, rng, seen)
            told.append(name)
            threads.append(threading.Timer(rng.uniform(*_FAULT_S), undo))
            threads[-1].start()
            time.sleep(rng.uniform(*_PAUSE_S))
        for thread in threads:
            thread.join()
        time.sleep(_SETTLE_S)
        callers.stop()
        broken = _broken(fleet, callers, seen)
        broken.extend(_not_calm(fleet))
        ends = len(fleet.poisoned())
    return {
        'seed': seed,
        'faults': told,
        'others': len(callers.others),
        'ends': ends,
        'broken': broken,
    }


def _not_calm(fleet: mortal_fleet.Fleet) -> list[str]:
    broken = []
    for gateway in fleet.gateways:
        fleets.until(10, lambda: _status(gateway, 'x') == http.client.OK)
        if _status(gateway, 'x') != http.client.OK:
            broken.append(f'{gateway.name} does not serve')
        if _status(gateway, mortal_fleet.POISON) != 503:
            broken.append(f'{gateway.name} sends the poison request on')
    return broken


def _status(gateway, name: str) -> int:
    return mortal_fleet.ask(gateway, 'GET', f'/calls/{name}').status


def run(seed: int = 1, seconds: float = 10, seeds: int = 1) -> None:
    """Run seeds in a row; exits with 1 when a promise was broken.

    :param seed: the first seed.
    :param seconds: time of faults a seed.
    :param seeds: how many seeds.
    """
    is_broken = False
    for number in range(seed, seed + seeds):
        figures = soak(number, seconds)
        is_broken = is_broken or bool(figures['broken'])
        sys.stdout.write(f'{json.dumps(figures)}\n')
        sys.stdout.flush()
    sys.exit(int(is_broken))


if __name__ == '__main__':
    fire.Fire(run)
