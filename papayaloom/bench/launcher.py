"""Starts a deployment on loopback addresses for the demo and the tests.

This is a development tool; the programs of a fleet never start processes
themselves. Each deployment gets its own network within 127.0.0.0/8, so that
every host can use the same ports, as in production.
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
_START_TIMEOUT_S = 20
_POLL_INTERVAL_S = 0.05


class DeploymentSpec(msgspec.Struct, frozen=True):
    """Configuration of a deployment.

    :param network: second octet of its addresses, 127.NETWORK.x.y.
    :param zones: availability zones, assigned to hosts round-robin.
    :param keys: bearer key by organisation.
    :param routers: number of entry hosts, each with a router and a locator.
    :param engine_options: additional options for the engine stand-ins.
    :param checks_keys: whether the service checks idempotency keys itself.
    :param orderer: whether to start an orderer on every entry host.
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
    """Processes of a deployment.

    :param directory: parent directory for settings files and logs.
    """

    def __init__(self, spec: DeploymentSpec, directory: pathlib.Path) -> None:
        """Write the settings files without starting any process."""
        self.spec = spec
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.directory = directory / spec.name
        self.directory.mkdir(parents=True, exist_ok=True)
        self.kv_url = self._platform_url(_KV_PORT)
        self.hosts_url = self._platform_url(_HOSTS_PORT)
        self.weights_url = self._platform_url(_WEIGHTS_PORT)
        self._write_settings_files()

    def router_names(self) -> list[str]:
        """Return the names of the routers."""
        return [
            f'router-{number}' for number in range(1, self.spec.routers + 1)
        ]

    def router_url(self, name: str) -> str:
        """Return the base URL that a router serves to callers."""
        return f'http://{self._entry_address(_host_number(name))}:{ROUTER_PORT}'

    def router_urls(self) -> list[str]:
        """Return the base URLs of all routers."""
        return [self.router_url(name) for name in self.router_names()]

    def locator_url(self, number: int) -> str:
        """Return the base URL of the locator on an entry host."""
        return f'http://{self._entry_address(number)}:{LOCATOR_PORT}'

    def locator_urls(self) -> list[str]:
        """Return the base URLs of the locators on all entry hosts."""
        hosts = range(1, self.spec.routers + 1)
        return [self.locator_url(number) for number in hosts]

    def engine_url(self, number: int) -> str:
        """Return the base URL of an engine."""
        return f'http://127.{self.spec.network}.1.{number}:{_ENGINE_PORT}'

    def start_platform(self) -> None:
        """Start the stand-ins for external systems."""
        spec = self.spec
        self._start_standin('kv', 'kv', self.kv_url)
        self._start_standin(
            'hosts',
            'hosts',
            self.hosts_url,
            f'--file={self.directory}/hosts.json',
            '--lag_s=0.5',
        )
        self._start_standin('weights', 'weights', self.weights_url)
        for engine in range(1, spec.engines + 1):
            self.start_engine(engine)
        addresses = ','.join(
            f'127.{spec.network}.2.{replica}:{_SERVICE_PORT}'
            for replica in range(1, spec.replicas + 1)
        )
        self.start(
            'service',
            'standin',
            'service',
            f'--addresses={addresses}',
            f'--name={spec.service}',
            f'--checks_keys={spec.checks_keys}',
        )
        for url in (self.kv_url, self.hosts_url, self.weights_url):
            wait_for(url)
        for number in range(1, spec.engines + 1):
            wait_for(self.engine_url(number))
        for address in addresses.split(','):
            wait_for(f'http://{address}')

    def start_engine(self, number: int) -> None:
        """Start the stand-in for an engine."""
        self._start_standin(
            f'engine-{number}',
            'engine',
            self.engine_url(number),
            f'--name=engine-{number}',
            f'--model={self.spec.model}',
            *self.spec.engine_options,
        )

    def start_fleet(self) -> None:
        """Start the routers, the locators and, if configured, the orderers."""
        for number, name in enumerate(self.router_names(), 1):
            self.start_router(name)
            self.start(
                f'locator-{number}',
                'locator',
                f'--settings={self.directory}/locator-{number}.json',
            )
            if self.spec.orderer:
                self.start(
                    f'orderer-{number}',
                    'orderer',
                    f'--settings={self.directory}/orderer-{number}.json',
                )
        for url in self.router_urls():
            wait_for(url)
        for host in range(1, self.spec.routers + 1):
            wait_for(self.locator_url(host))

    def start_router(self, name: str) -> None:
        """Start a router."""
        self.start(name, 'router', f'--settings={self.directory}/{name}.json')

    def start(self, name: str, command: str, *options: str) -> None:
        """Start a process that logs to ``NAME.log``."""
        log = (self.directory / f'{name}.log').open('ab')
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
        """Kill a process and wait for it to exit."""
        self.processes[name].kill()
        self.processes.pop(name).wait()

    def stop_routers(self, timeout_s: float) -> dict[str, float]:
        """Shut down all routers gracefully.

        :returns: shutdown time in seconds by router; routers that are still
            running after the timeout are omitted.
        """
        started = time.monotonic()
        for name in self.router_names():
            if name in self.processes:
                self.signal(name, signal.SIGTERM)
        durations_s = {}
        for router in self.router_names():
            process = self.processes.get(router)
            remaining_s = max(started + timeout_s - time.monotonic(), 0)
            if process is not None and _wait_for_exit(process, remaining_s):
                durations_s[router] = time.monotonic() - started
                self.processes.pop(router)
        return durations_s

    def kill_all(self) -> None:
        """Kill every remaining process without a graceful shutdown."""
        for process in self.processes.values():
            process.kill()
        for killed in self.processes.values():
            killed.wait()
        self.processes.clear()

    def settings_documents(self) -> dict[str, str]:
        """Return the document of each settings branch, with a comment."""
        documents = {
            branch: json.dumps({'settings': settings}, indent=2)
            for branch, settings in self._settings_tree().items()
        }
        return {
            branch: f'// {branch} of {self.spec.name}\n{text}\n'
            for branch, text in documents.items()
        }

    def _settings_tree(self) -> dict[str, dict[str, object]]:
        spec = self.spec
        tree: dict[str, dict[str, object]] = {
            'fleet': {
                'addresses': {'ttl_s': '2 s'},
                'stop': {'spread_s': '2 s'},
            },
            f'models/{spec.model}': {'placement': {'reuse_weight': 0.6}},
            f'services/{spec.service}': {
                'service': {'checks_keys': spec.checks_keys},
            },
        }
        for org, key in spec.keys.items():
            digest = hashlib.sha256(key.encode()).hexdigest()
            tree[f'organisations/{org}'] = {
                'organisation': {'key_hashes': [digest]},
            }
        return tree

    def _platform_url(self, port: int) -> str:
        return f'http://127.{self.spec.network}.3.1:{port}'

    def _entry_address(self, number: int) -> str:
        return f'127.{self.spec.network}.0.{number}'

    def _start_standin(
        self, name: str, kind: str, url: str, *options: str
    ) -> None:
        address = url.removeprefix('http://')
        self.start(name, 'standin', kind, f'--address={address}', *options)

    def _zone_of(self, number: int) -> str:
        return self.spec.zones[(number - 1) % len(self.spec.zones)]

    def _write_settings_files(self) -> None:
        for number in range(1, self.spec.routers + 1):
            for kind, fields in self._process_settings(number).items():
                file = self.directory / f'{kind}-{number}.json'
                common = {
                    'name': f'{kind}-{number}',
                    'deployment': self.spec.name,
                    'zone': self._zone_of(number),
                    'region': self.spec.region,
                    'hosts_url': self.hosts_url,
                }
                file.write_text(json.dumps({**common, **fields}, indent=2))
        hosts = self.directory / 'hosts.json'
        hosts.write_text(json.dumps(list(self._host_entries()), indent=2))

    def _process_settings(self, number: int) -> dict[str, dict[str, object]]:
        address = self._entry_address(number)
        local = f'{address}:{_LOCAL_PORT}'
        return {
            'router': {
                'http': f'{address}:{ROUTER_PORT}',
                'control': f'{address}:{_CONTROL_PORT}',
                'local': local,
                'kv_url': self.kv_url,
                'control_keys': [f'secret-of-{self.spec.name}'],
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

    def _host_entries(self) -> typing.Iterator[dict[str, str]]:
        spec = self.spec
        for number in range(1, spec.routers + 1):
            address = f'{self._entry_address(number)}:{_CONTROL_PORT}'
            yield self._host_entry(f'router-{number}', 'entry', address, number)
        for engine in range(1, spec.engines + 1):
            url = self.engine_url(engine)
            name = f'engine-{engine}'
            yield self._host_entry(name, 'engine', url, engine, spec.model)
        for replica in range(1, spec.replicas + 1):
            url = f'http://127.{spec.network}.2.{replica}:{_SERVICE_PORT}'
            name = f'{spec.service}-{replica}'
            yield self._host_entry(name, 'service', url, replica, spec.service)

    def _host_entry(
        self,
        host: str,
        kind: str,
        address: str,
        number: int,
        serves: str = '',
    ) -> dict[str, str]:
        return {
            'host': host,
            'kind': kind,
            'address': address,
            'zone': self._zone_of(number),
            'region': self.spec.region,
            'name': serves,
        }


def wait_for(url: str, timeout_s: float = _START_TIMEOUT_S) -> None:
    """Wait until a server accepts connections at a URL.

    :raises TimeoutError: no server did so within the timeout.
    """
    host, _, port = url.removeprefix('http://').partition(':')
    deadline = time.monotonic() + timeout_s
    while True:
        try:
            with socket.create_connection((host, int(port)), 1):
                return
        except OSError as exc:
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f'no server accepts connections at {url}'
                ) from exc
        time.sleep(_POLL_INTERVAL_S)


def _host_number(name: str) -> int:
    return int(name.rpartition('-')[2])


def _wait_for_exit(process: subprocess.Popen[bytes], timeout_s: float) -> bool:
    try:
        process.wait(timeout_s)
    except subprocess.TimeoutExpired:
        return False
    return True
