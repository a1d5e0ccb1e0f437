"""Replica of the soak: counts runs, and misbehaves on request."""

import random
import threading
import time
import typing

from papayaloom.connection import caller_connection, ingress
from papayaloom.request import header_dialect

EVENTS = 6
_THREADS = 24
_WORK_S = 0.03
_EVENT_S = 0.02
_ID = b'Papayaloom-Request-Id'


class Runs:
    """Requests that any replica began to run; thread-safe."""

    def __init__(self) -> None:
        """Start without runs."""
        self._lock = threading.Lock()
        self._counts: dict[str, int] = {}

    def began(self, request: str) -> None:
        """Count a run."""
        with self._lock:
            self._counts[request] = self._counts.get(request, 0) + 1

    def count(self, request: str) -> int:
        """Return how often a request ran."""
        with self._lock:
            return self._counts.get(request, 0)


class Replica:
    """HTTP server that answers calls and streams.

    :param share: share of the requests that it refuses, loses or breaks off.
    """

    def __init__(self, name: str, runs: Runs, rng: random.Random) -> None:
        """Listen on a free port."""
        self.name = name
        self.share = float(0)
        self._runs = runs
        self._rng = rng
        self._server = ingress.Ingress(
            ('127.0.0.1', 0),
            self._serve,
            caller_connection.CallerLimits(threads=_THREADS),
        )
        self._server.prepare()
        self.address: tuple[str, int] = self._server.bind_addr
        threading.Thread(target=self._server.serve, daemon=True).start()

    def close(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _serve(self, received: typing.Any) -> None:
        inbound = ingress.InboundRequest(received)
        request = inbound.headers[_ID].decode()
        marks: header_dialect.Headers = [
            (_ID, request.encode()),
            (b'Papayaloom-Response-Seal', f'seal-{request}'.encode()),
        ]
        is_bad = self._rng.random() < self.share
        if is_bad and self._rng.random() < 0.3:
            inbound.answer(503, [(b'Papayaloom-Not-Executed', b'1')], b'')
            return
        self._runs.began(request)
        time.sleep(_WORK_S)
        if is_bad and self._rng.random() < 0.5:
            ingress.abort_response(received)
            return
        if not inbound.path.startswith('/stream/'):
            inbound.answer(200, marks, request.encode())
            return
        inbound.begin(200, marks)
        self._stream(inbound, received, is_bad)

    def _stream(
        self,
        inbound: ingress.InboundRequest,
        received: typing.Any,
        is_bad: bool,
    ) -> None:
        first = int(inbound.headers.get(b'Last-Event-Id', b'0')) + 1
        breaks_at = self._rng.randint(1, EVENTS) if is_bad else 0
        for number in range(first, EVENTS + 1):
            event = b'id: %d\ndata: %d\n\n' % (number, number)
            if number == breaks_at:
                inbound.write(event[:7])
                ingress.abort_response(received)
                return
            inbound.write(event)
            time.sleep(_EVENT_S)
