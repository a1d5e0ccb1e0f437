"""A router front on a loopback port, around the in-memory desk."""

import random
import threading
import urllib.parse

import urllib3

from papayaloom import clock, ids
from papayaloom.connection import caller_connection
from papayaloom.ports import engine_http, service_http
from papayaloom.process import (
    http_front,
    incoming_request,
    records,
    request_monitor,
)
from papayaloom.standins import memory_core
from papayaloom.version.declarations import requests

KEY = 'kelani-key'


def settings(**changes):
    values = {entry.path: entry.default for entry in requests.SETTINGS}
    values['organisation.key_hashes'] = ()
    values['organisation.priority_ceiling'] = 9
    values['retry.budget_ratio'] = 0.1
    values['retry.base_s'] = 0.001
    values.update(
        {path.replace('__', '.'): number for path, number in changes.items()}
    )
    return memory_core.FixedSettings(values, version=7)


class Router:
    def __init__(self, engines=(), replicas=(), limits=None, **changes):
        self.desk = memory_core.MemoryCore(
            settings(**changes),
            {f'engine-{n}': url for n, url in enumerate(engines)},
            {'reminder': tuple(replicas)},
            {KEY: 'gecko-house', 'other-key': 'python-barn'},
        )
        self.records = records.Records(64)
        source = clock.SystemClock()
        self.watch = request_monitor.RequestMonitor(self.desk, source)
        self.watch.start()
        self.front = http_front.Front(
            incoming_request.Dependencies(
                core_client=self.desk,
                engines=engine_http.HttpEngines(),
                services=service_http.HttpServices(),
                clock=source,
                rng=random.Random(1),
                records=self.records,
                monitor=self.watch,
                sleep=threading.Event().wait,
                router=ids.RouterId('router-0'),
            )
        )
        self.server = http_front.Server(
            ('127.0.0.1', 0),
            self.front,
            limits or caller_connection.CallerLimits(threads=8),
        )
        # The selector looks this often whether the server was stopped.
        self.server.expiration_interval = 0.01
        self.server.prepare()
        threading.Thread(target=self.server.serve, daemon=True).start()
        self.address = self.server.bind_addr
        self.url = 'http://%s:%d' % self.address
        self._http = urllib3.PoolManager(retries=False)

    def ask(self, method, path, body=b'', key=KEY, **headers):
        sent = {'Authorization': f'Bearer {key}'}
        sent.update(
            {name.replace('_', '-'): text for name, text in headers.items()}
        )
        return self._http.request(
            method,
            urllib.parse.urljoin(self.url, path),
            body=body,
            headers=sent,
            timeout=20,
        )

    def stop(self):
        self.watch.stop()
        self.server.stop()
