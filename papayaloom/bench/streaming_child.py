"""Servers that :mod:`papayaloom.bench.streaming` runs as own processes.

Each prints its address, then answers every line on its standard input with the
processor seconds that it has used, and ends with its input.
"""

import itertools
import json
import os
import random
import resource
import sys
import threading
import time

import fire
import structlog
from cheroot import wsgi

from papayaloom import clock, ids
from papayaloom.bench import streaming
from papayaloom.connection import caller_connection
from papayaloom.ports import engine_http, service_http
from papayaloom.process import (
    http_front,
    incoming_request,
    records,
    request_monitor,
)
from papayaloom.standins import memory_core
from papayaloom.version import schema

WORDS = ('the', 'basking', 'bulb', 'of', 'pen', 'seven', 'went', 'off')


def tokens(request: str, count: int, token_s: float):
    """Yield the events of one answer at the pace of an engine."""
    due = time.monotonic()
    for offset in range(count):
        due += token_s
        time.sleep(max(due - time.monotonic(), 0))
        choice = {
            'index': 0,
            'delta': {'content': f'{WORDS[offset % len(WORDS)]} '},
            'finish_reason': None,
        }
        event = {'id': request, 'offset': offset, 'choices': [choice]}
        yield f'data: {json.dumps(event)}\n\n'.encode()
    last = {'index': 0, 'delta': {'content': ''}, 'finish_reason': 'stop'}
    event = {'id': request, 'offset': count, 'choices': [last]}
    yield f'data: {json.dumps(event)}\n\ndata: [DONE]\n\n'.encode()


def bare(count: int, token_s: float, threads: int = 128) -> None:
    """Serve streams from a plain cheroot server."""

    def app(environ, start_response):
        environ['wsgi.input'].read()
        start_response('200 OK', [('Content-Type', 'text/event-stream')])
        request = environ.get('HTTP_X_REQUEST_ID', 'direct')
        return tokens(request, count, token_s)

    server = wsgi.Server(
        ('127.0.0.1', 0), app, numthreads=threads, request_queue_size=256
    )
    _run(server)


def router(engine: str, threads: int = 128) -> None:
    """Serve streams through a router front with the in-memory desk."""
    # The log lines are made, but standard output belongs to the bench.
    sink = open(os.devnull, 'w', encoding='utf-8')  # noqa: SIM115, WPS515
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sink))
    values = {path: entry.default for path, entry in schema.load().items()}
    office = memory_core.MemoryCore(
        memory_core.FixedSettings(values),
        {'engine-0': engine},
        keys={streaming.KEY: 'bench'},
    )
    source = clock.SystemClock()
    watcher = request_monitor.RequestMonitor(office, source)
    watcher.start()
    front = http_front.Front(
        incoming_request.Dependencies(
            core_client=office,
            engines=engine_http.HttpEngines(),
            services=service_http.HttpServices(),
            clock=source,
            rng=random.Random(1),
            records=records.Records(),
            monitor=watcher,
            sleep=time.sleep,
            router=ids.RouterId('bench'),
        )
    )
    limits = caller_connection.CallerLimits(threads=threads, backlog=256)
    _run(http_front.Server(('127.0.0.1', 0), front, limits))


def _run(server: wsgi.Server) -> None:
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    host, port = server.bind_addr
    print(f'{host} {port}', flush=True)
    for _ in itertools.takewhile(bool, iter(sys.stdin.readline, '')):
        used = resource.getrusage(resource.RUSAGE_SELF)
        print(used.ru_utime + used.ru_stime, flush=True)
    server.stop()


if __name__ == '__main__':
    fire.Fire({'bare': bare, 'router': router})
