"""Processes of the soak: store, replicas, proxies and gateways."""

import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import types

from features import free_port
from papayaloom import clock
from papayaloom.ports import kv
from features.soak import proxy, replica
from papayaloom.standins import kv as memory_kv
from papayaloom.standins import platform_store

HOST = 'soak.example'
KEY = 'key-1'
REPLICAS = 3
_START_S = 15
_LISTENERS = ('front', 'ready', 'directory', 'control', 'metrics')
_ROUTE = types.MappingProxyType(
    {
        'host': HOST,
        'service': 'pool',
        'timeoutMs': 2000,
        'targetLatencyMs': 150,
    }
)
_ROUTES = (
    {'prefix': '/call/', 'kind': 'idempotent', 'maxAttempts': 2},
    {'prefix': '/order/', 'kind': 'non_idempotent', 'maxAttempts': 1},
    {
        'prefix': '/stream/',
        'kind': 'streaming',
        'maxAttempts': 3,
        'resumable': True,
        'targetGapMs': 200,
    },
)


class Gateway:
    """A gateway process and its settings file."""

    def __init__(self, name: str, store: tuple[str, int], folder: str) -> None:
        """Choose free ports and start the process."""
        self.name = name
        self._folder = pathlib.Path(folder)
        self._ip = f'127.0.0.{10 + int(name.removeprefix("g"))}'
        free = free_port.free_ports(self._ip, len(_LISTENERS))
        ports = dict(zip(_LISTENERS, free))
        self.front = (self._ip, ports['front'])
        lines = [
            f'nodeName={name}',
            f'platform.address={store[0]}:{store[1]}',
            'platform.ttlMinMs=1000',
            'bounds.graceS=4',
            *(f'listen.{one}={self._ip}:{ports[one]}' for one in _LISTENERS),
        ]
        path = self._folder / f'{name}.conf'
        path.write_text('\n'.join(lines))
        self._env = {**os.environ, 'PAPAYALOOM_SETTINGS': str(path)}
        self.process = self._launch()

    def send(self, number: signal.Signals) -> None:
        """Send a signal, to this process alone."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def restart_if_ended(self) -> None:
        """Start the process again when it has ended."""
        if self.process.poll() is not None:
            self.process = self._launch()

    def close(self) -> None:
        """End the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.process.wait()

    def _launch(self) -> subprocess.Popen[bytes]:
        with open(self._folder / f'{self.name}.log', 'ab') as log:
            return subprocess.Popen(
                [sys.executable, '-m', 'papayaloom.platform'],
                env=self._env,
                stdout=log,
                stderr=log,
            )


class World:
    """Everything that runs; closed as a context.

    :param gateways: number of gateway processes.
    """

    def __init__(self, gateways: int, rng: random.Random) -> None:
        """Start all, and wait until a request can be served."""
        self.folder = tempfile.mkdtemp(prefix='papayaloom-soak-')
        self.runs = replica.Runs()
        self.store = memory_kv.MemoryKv(clock.SystemClock(), blocking=True)
        self._standin = platform_store.PlatformStore(
            self.store, ('127.0.0.1', 0)
        )
        threading.Thread(target=self._standin.server.serve, daemon=True).start()
        self.replicas = [
            replica.Replica(f'i-{number}', self.runs, rng)
            for number in range(REPLICAS)
        ]
        self.links = [proxy.Proxy(one.address) for one in self.replicas]
        self._write()
        self.store_links = [
            proxy.Proxy(self._standin.server.bind_addr) for _ in range(gateways)
        ]
        self.gateways = [
            Gateway(f'g{number}', link.address, self.folder)
            for number, link in enumerate(self.store_links)
        ]
        for one in self.gateways:
            _await_listener(one.front)

    def close(self) -> None:
        """End the processes that were started here, by their ids."""
        for gateway in self.gateways:
            gateway.close()
        for link in (*self.links, *self.store_links):
            link.close()
        for one in self.replicas:
            one.close()
        self._standin.server.stop()

    def _write(self) -> None:
        desired = {
            'version': 1,
            'routes': [
                {'name': one['prefix'], **_ROUTE, **one} for one in _ROUTES
            ],
            'services': [{'name': 'pool'}],
            'tenants': [{'name': 'geckos', 'apiKeys': [KEY]}],
        }
        self._put('op/config', desired)
        for one, link in zip(self.replicas, self.links):
            address = f'{link.address[0]}:{link.address[1]}'
            entry = {
                'service': 'pool',
                'address': address,
                'state': 'ready',
                'slots': 8,
                'born': 1,
            }
            self._put(f'servers/{one.name}', entry)

    def _put(self, key: str, document: object) -> None:
        self.store.put(key, json.dumps(document).encode(), kv.ABSENT)


def _await_listener(address: tuple[str, int]) -> None:
    end = time.monotonic() + _START_S
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            socket.create_connection(address, timeout=1).close()
            return
        time.sleep(0.1)
    raise TimeoutError(f'no gateway listens on {address[0]}:{address[1]}')
