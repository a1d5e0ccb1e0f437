"""Servers that :mod:`papayaloom.bench.streaming` runs as subprocesses.

Each server prints its address, then replies to every line on standard input
with its CPU time so far, in seconds, and exits at the end of its input.
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

_WORDS = ('the', 'basking', 'bulb', 'of', 'pen', 'seven', 'went', 'off')


def token_events(request_id: str, count: int, token_s: float):
    """Yield the events of one answer at a fixed token rate."""
    next_token_at = time.monotonic()
    for offset in range(count):
        next_token_at += token_s
        time.sleep(max(next_token_at - time.monotonic(), 0))
        choice = {
            'index': 0,
            'delta': {'content': f'{_WORDS[offset % len(_WORDS)]} '},
            'finish_reason': None,
        }
        event = {'id': request_id, 'offset': offset, 'choices': [choice]}
        yield f'data: {json.dumps(event)}\n\n'.encode()
    final_choice = {
        'index': 0,
        'delta': {'content': ''},
        'finish_reason': 'stop',
    }
    event = {'id': request_id, 'offset': count, 'choices': [final_choice]}
    yield f'data: {json.dumps(event)}\n\ndata: [DONE]\n\n'.encode()


def bare(count: int, token_s: float, threads: int = 128) -> None:
    """Serve token streams from a plain cheroot server."""

    def app(environ, start_response):
        environ['wsgi.input'].read()
        start_response('200 OK', [('Content-Type', 'text/event-stream')])
        request_id = environ.get('HTTP_X_REQUEST_ID', 'direct')
        return token_events(request_id, count, token_s)

    server = wsgi.Server(
        ('127.0.0.1', 0), app, numthreads=threads, request_queue_size=256
    )
    _serve(server)


def router(engine: str, threads: int = 128) -> None:
    """Serve streams through the HTTP front end of a router.

    An in-memory core replaces the decision core.
    """
    # Log lines are rendered as usual but discarded, because standard output
    # is the channel to the benchmark process.
    devnull = open(os.devnull, 'w', encoding='utf-8')  # noqa: SIM115, WPS515
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(devnull))
    defaults = {path: entry.default for path, entry in schema.load().items()}
    decision_core = memory_core.MemoryCore(
        memory_core.FixedSettings(defaults),
        {'engine-0': engine},
        keys={streaming.API_KEY: 'bench'},
    )
    system_clock = clock.SystemClock()
    monitor = request_monitor.RequestMonitor(decision_core, system_clock)
    monitor.start()
    front = http_front.Front(
        incoming_request.Dependencies(
            core_client=decision_core,
            engines=engine_http.HttpEngines(),
            services=service_http.HttpServices(),
            clock=system_clock,
            rng=random.Random(1),
            records=records.Records(),
            monitor=monitor,
            sleep=time.sleep,
            router=ids.RouterId('bench'),
        )
    )
    limits = caller_connection.CallerLimits(threads=threads, backlog=256)
    _serve(http_front.Server(('127.0.0.1', 0), front, limits))


def _serve(server: wsgi.Server) -> None:
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    host, port = server.bind_addr
    print(f'{host} {port}', flush=True)
    for _ in itertools.takewhile(bool, iter(sys.stdin.readline, '')):
        usage = resource.getrusage(resource.RUSAGE_SELF)
        print(usage.ru_utime + usage.ru_stime, flush=True)
    server.stop()


if __name__ == '__main__':
    fire.Fire({'bare': bare, 'router': router})
