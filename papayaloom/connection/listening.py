"""Listening part of a cheroot server with limits on callers."""

import contextlib
import math
import socket
import time
import typing

from cheroot import server

from papayaloom.connection import caller, workers

_IDLE_TICK_S = 0.01


class LimitedServer(server.HTTPServer):
    """Cheroot server with limits on callers."""

    ConnectionClass = caller.Connection
    limits: caller.Limits
    requests: workers.Workers

    def set_up(self, limits: caller.Limits) -> None:
        """Take the first limits; called once, after the constructor."""
        self._waiting: dict[typing.Any, None] = {}
        self._is_shut = False
        self.requests = workers.Workers(self, limits.threads)
        self.configure(limits)

    def configure(self, limits: caller.Limits) -> None:
        """Take new limits; the backlog stays."""
        self.limits = limits
        self.timeout = math.ceil(limits.idle_s)
        self.max_request_header_size = limits.header_bytes
        self.max_request_body_size = limits.body_bytes
        self.keep_alive_conn_limit = limits.idle
        self.requests.max = limits.threads

    def trim(self) -> None:
        """End threads that nobody needed for some time."""
        self.requests.trim()

    def close_idle(self) -> None:
        """Close each connection after its answer, for a planned stop."""
        self.keep_alive_conn_limit = 0

    def shut(self) -> None:
        """Read no further request; what was read is still answered."""
        self._is_shut = True

    def wait_idle(self, seconds: float) -> bool:
        """Wait until no request is read or answered; tell whether it is so."""
        until = time.monotonic() + seconds
        while not self.requests.is_idle():
            if time.monotonic() > until:
                return False
            time.sleep(_IDLE_TICK_S)
        return True

    def process_conn(self, conn: typing.Any) -> None:
        """Give a connection to a worker when its first byte has arrived.

        Cheroot gives a new connection to a worker at once, so idle
        connections could take all workers.
        """
        if self._is_shut:
            # Closed with its request unread, so that it can be sent elsewhere.
            conn.close()
            return
        if conn.awaited:
            self._waiting.pop(conn, None)
            super().process_conn(conn)
            return
        conn.awaited = True
        self._waiting[conn] = None
        if len(self._waiting) > self.limits.idle:
            oldest = next(iter(self._waiting))
            self._waiting.pop(oldest)
            # Ends its wait; closing it here would confuse the selector.
            with contextlib.suppress(OSError):
                oldest.socket.shutdown(socket.SHUT_RD)
        self.put_conn(conn)

    def _serve_unservicable(self) -> None:
        """Do nothing: connections wait without a bound, none is left over."""
