"""Starts the real programs on loopback addresses, for the demo and the tests.

This is a tool of developers: no program of the fleet starts a process. Each
deployment gets a network of its own below 127.0.0.0/8, so that every host has
the same ports, as in production.
"""

import hashlib
import json
import os
import pathlib
import signal
import socket
import subprocess  # noqa: S404
import sys
import time
import typing

import msgspec

ROUTER_PORT = 8080
LOCATOR_PORT = 8081
ORDERER_PORT = 8082
_CONTROL_PORT = 7100
_LOCAL_PORT = 7101
_ENGINE_PORT = 9000
_SERVICE_PORT = 9000
_KV_PORT = 9100
_HOSTS_PORT = 9101
_WEIGHTS_PORT = 9102
_START_S = 20
_POLL_S = 0.05


class Plan(msgspec.Struct, frozen=True):
    """One deployment.

    :param network: second number of its addresses, 127.NETWORK.x.y.
    :param zones: availability zones; hosts are spread over them in turn.
    :param keys: bearer key of each organisation.
    :param engine_options: further options of the engine stand-ins.
    :param checks_keys: the service checks idempotency keys itself.
    """

    name: str
    network: int
    region: str
    zones: tuple[str, ...]
    model: str
    service: str
    keys: dict[str, str]
    routers: int = 3
    engines: int = 5
    replicas: int = 3
    engine_options: tuple[str, ...] = ()
    checks_keys: bool = False
    orderer: bool = False


class Deployment:
    """Processes of one deployment.

    :param folder: for settings files and logs.
    """

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        """Write the settings files; starts nothing."""
        self.plan = plan
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.folder = folder / plan.name
        self.folder.mkdir(parents=True, exist_ok=True)
        self.kv_url = self._platform(_KV_PORT)
        self.hosts_url = self._platform(_HOSTS_PORT)
        self.weights_url = self._platform(_WEIGHTS_PORT)
        self._write_files()

    def routers(self) -> list[str]:
        """Return the names of the routers."""
        return [f'router-{one}' for one in range(1, self.plan.routers + 1)]

    def router_url(self, name: str) -> str:
        """Return the base URL of a router towards callers."""
        return f'http://{self._entry(_number(name))}:{ROUTER_PORT}'

    def router_urls(self) -> list[str]:
        """Return the base URLs of all routers."""
        return [self.router_url(name) for name in self.routers()]

    def locator_url(self, number: int) -> str:
        """Return the base URL of the locator of an entry host."""
        return f'http://{self._entry(number)}:{LOCATOR_PORT}'

    def locator_urls(self) -> list[str]:
        """Return the base URLs of the locators of all entry hosts."""
        hosts = range(1, self.plan.routers + 1)
        return [self.locator_url(number) for number in hosts]

    def engine_url(self, number: int) -> str:
        """Return the base URL of an engine."""
        return f'http://127.{self.plan.network}.1.{number}:{_ENGINE_PORT}'

    def start_platform(self) -> None:
        """Start the stand-ins of the outside systems."""
        plan = self.plan
        self._standin('kv', 'kv', self.kv_url)
        self._standin(
            'hosts',
            'hosts',
            self.hosts_url,
            f'--file={self.folder}/hosts.json',
            '--lag_s=0.5',
        )
        self._standin('weights', 'weights', self.weights_url)
        for engine in range(1, plan.engines + 1):
            self.start_engine(engine)
        addresses = ','.join(
            f'127.{plan.network}.2.{replica}:{_SERVICE_PORT}'
            for replica in range(1, plan.replicas + 1)
        )
        self.start(
            'service',
            'standin',
            'service',
            f'--addresses={addresses}',
            f'--name={plan.service}',
            f'--checks_keys={plan.checks_keys}',
        )
        for url in (self.kv_url, self.hosts_url, self.weights_url):
            wait_for(url)
        for number in range(1, plan.engines + 1):
            wait_for(self.engine_url(number))
        for address in addresses.split(','):
            wait_for(f'http://{address}')

    def start_engine(self, number: int) -> None:
        """Start the stand-in of an engine."""
        self._standin(
            f'engine-{number}',
            'engine',
            self.engine_url(number),
            f'--name=engine-{number}',
            f'--model={self.plan.model}',
            *self.plan.engine_options,
        )

    def start_fleet(self) -> None:
        """Start routers, locators and, if wanted, orderers."""
        for number, name in enumerate(self.routers(), 1):
            self.start_router(name)
            self.start(
                f'locator-{number}',
                'locator',
                f'--settings={self.folder}/locator-{number}.json',
            )
            if self.plan.orderer:
                self.start(
                    f'orderer-{number}',
                    'orderer',
                    f'--settings={self.folder}/orderer-{number}.json',
                )
        for url in self.router_urls():
            wait_for(url)
        for host in range(1, self.plan.routers + 1):
            wait_for(self.locator_url(host))

    def start_router(self, name: str) -> None:
        """Start a router."""
        self.start(name, 'router', f'--settings={self.folder}/{name}.json')

    def start(self, name: str, command: str, *options: str) -> None:
        """Start a process; its output goes to a file of its name."""
        log = (self.folder / f'{name}.log').open('ab')
        self.processes[name] = subprocess.Popen(  # noqa: S603
            [sys.executable, '-m', f'papayaloom.commands.{command}', *options],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )
        log.close()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.processes[name].kill()
        self.processes.pop(name).wait()

    def stop_routers(self, timeout_s: float) -> dict[str, float]:
        """Stop all routers as planned.

        :returns: seconds that each router took; nothing for those that were
            still running after the timeout.
        """
        began = time.monotonic()
        for name in self.routers():
            if name in self.processes:
                self.signal(name, signal.SIGTERM)
        took = {}
        for router in self.routers():
            process = self.processes.get(router)
            left = max(began + timeout_s - time.monotonic(), 0)
            if process is not None and _ended(process, left):
                took[router] = time.monotonic() - began
                self.processes.pop(router)
        return took

    def stop(self) -> None:
        """End every process that still runs, without a planned stop."""
        for process in self.processes.values():
            process.kill()
        for killed in self.processes.values():
            killed.wait()
        self.processes.clear()

    def branches(self) -> dict[str, str]:
        """Return the documents of the settings tree, with comments."""
        documents = {
            branch: json.dumps({'settings': settings}, indent=2)
            for branch, settings in self._tree().items()
        }
        return {
            branch: f'// {branch} of {self.plan.name}\n{text}\n'
            for branch, text in documents.items()
        }

    def _tree(self) -> dict[str, dict[str, object]]:
        plan = self.plan
        tree: dict[str, dict[str, object]] = {
            'fleet': {
                'addresses': {'ttl_s': '2 s'},
                'stop': {'spread_s': '2 s'},
            },
            f'models/{plan.model}': {'placement': {'reuse_weight': 0.6}},
            f'services/{plan.service}': {
                'service': {'checks_keys': plan.checks_keys},
            },
        }
        for org, key in plan.keys.items():
            digest = hashlib.sha256(key.encode()).hexdigest()
            tree[f'organisations/{org}'] = {
                'organisation': {'key_hashes': [digest]},
            }
        return tree

    def _platform(self, port: int) -> str:
        return f'http://127.{self.plan.network}.3.1:{port}'

    def _entry(self, number: int) -> str:
        return f'127.{self.plan.network}.0.{number}'

    def _standin(self, name: str, kind: str, url: str, *options: str) -> None:
        address = url.removeprefix('http://')
        self.start(name, 'standin', kind, f'--address={address}', *options)

    def _zone(self, number: int) -> str:
        return self.plan.zones[(number - 1) % len(self.plan.zones)]

    def _write_files(self) -> None:
        for number in range(1, self.plan.routers + 1):
            for kind, fields in self._process_files(number).items():
                file = self.folder / f'{kind}-{number}.json'
                common = {
                    'name': f'{kind}-{number}',
                    'deployment': self.plan.name,
                    'zone': self._zone(number),
                    'region': self.plan.region,
                    'hosts_url': self.hosts_url,
                }
                file.write_text(json.dumps({**common, **fields}, indent=2))
        hosts = self.folder / 'hosts.json'
        hosts.write_text(json.dumps(list(self._hosts()), indent=2))

    def _process_files(self, number: int) -> dict[str, dict[str, object]]:
        address = self._entry(number)
        local = f'{address}:{_LOCAL_PORT}'
        return {
            'router': {
                'http': f'{address}:{ROUTER_PORT}',
                'control': f'{address}:{_CONTROL_PORT}',
                'local': local,
                'kv_url': self.kv_url,
                'control_keys': [f'secret-of-{self.plan.name}'],
            },
            'locator': {
                'http': f'{address}:{LOCATOR_PORT}',
                'local': local,
                'router_port': ROUTER_PORT,
            },
            'orderer': {
                'http': f'{address}:{ORDERER_PORT}',
                'kv_url': self.kv_url,
                'weights_url': self.weights_url,
            },
        }

    def _hosts(self) -> typing.Iterator[dict[str, str]]:
        plan = self.plan
        for one in range(1, plan.routers + 1):
            address = f'{self._entry(one)}:{_CONTROL_PORT}'
            yield self._host(f'router-{one}', 'entry', address, one)
        for engine in range(1, plan.engines + 1):
            url = self.engine_url(engine)
            name = f'engine-{engine}'
            yield self._host(name, 'engine', url, engine, plan.model)
        for replica in range(1, plan.replicas + 1):
            url = f'http://127.{plan.network}.2.{replica}:{_SERVICE_PORT}'
            name = f'{plan.service}-{replica}'
            yield self._host(name, 'service', url, replica, plan.service)

    def _host(
        self,
        host: str,
        kind: str,
        address: str,
        number: int,
        served: str = '',
    ) -> dict[str, str]:
        return {
            'host': host,
            'kind': kind,
            'address': address,
            'zone': self._zone(number),
            'region': self.plan.region,
            'name': served,
        }


def wait_for(url: str, timeout_s: float = _START_S) -> None:
    """Wait until something listens at a URL.

    :raises TimeoutError: nothing did in time.
    """
    host, _, port = url.removeprefix('http://').partition(':')
    until = time.monotonic() + timeout_s
    while True:
        try:
            with socket.create_connection((host, int(port)), 1):
                return
        except OSError as exc:
            if time.monotonic() > until:
                raise TimeoutError(f'nothing listens at {url}') from exc
        time.sleep(_POLL_S)


def _number(name: str) -> int:
    return int(name.rpartition('-')[2])


def _ended(process: subprocess.Popen[bytes], timeout_s: float) -> bool:
    try:
        process.wait(timeout_s)
    except subprocess.TimeoutExpired:
        return False
    return True
