"""Cheroot server with limits on caller connections."""

import contextlib
import math
import socket
import time
import typing

from cheroot import server

from papayaloom.connection import (
    buffer_budget,
    caller_connection,
    worker_pool,
)

_IDLE_POLL_S = 0.01
# Bodies of requests that all callers together may have in memory, in bytes.
_BODY_BYTES = 33_554_432


class LimitedServer(server.HTTPServer):
    """Cheroot server that applies limits to caller connections."""

    ConnectionClass = caller_connection.CallerConnection
    limits: caller_connection.CallerLimits
    requests: worker_pool.WorkerPool

    def set_up(self, limits: caller_connection.CallerLimits) -> None:
        """Apply the initial limits; called once, after the constructor."""
        self._idle_conns: dict[typing.Any, None] = {}
        self._is_stopped = False
        self.body_budget = buffer_budget.BufferBudget(
            buffer_budget.Cfg(total=_BODY_BYTES, owner=_BODY_BYTES)
        )
        self.requests = worker_pool.WorkerPool(self, limits.threads)
        self.configure(limits)

    def configure(self, limits: caller_connection.CallerLimits) -> None:
        """Apply new limits; the backlog is not changed."""
        self.limits = limits
        self.timeout = math.ceil(limits.idle_s)
        self.max_request_header_size = limits.header_bytes
        self.max_request_body_size = limits.body_bytes
        self.keep_alive_conn_limit = limits.idle
        self.requests.max = limits.threads

    def trim(self) -> None:
        """End threads that have been idle for some time."""
        self.requests.trim()

    def close_idle(self) -> None:
        """Disable keep-alive, for a graceful shutdown."""
        self.keep_alive_conn_limit = 0

    def stop_reading(self) -> None:
        """Stop reading requests; those already read are still answered."""
        self._is_stopped = True

    def wait_idle(self, seconds: float) -> bool:
        """Wait until no request is in progress; return whether it succeeded."""
        until = time.monotonic() + seconds
        while not self.requests.is_idle():
            if time.monotonic() > until:
                return False
            time.sleep(_IDLE_POLL_S)
        return True

    def process_conn(self, conn: typing.Any) -> None:
        """Pass a connection to a worker once its first byte has arrived.

        Cheroot passes a new connection to a worker immediately, so idle
        connections could occupy all workers.
        """
        if self._is_stopped:
            # The request is unread, so the caller can safely send it elsewhere.
            conn.close()
            return
        if conn.has_awaited_request:
            self._idle_conns.pop(conn, None)
            super().process_conn(conn)
            return
        conn.has_awaited_request = True
        self._idle_conns[conn] = None
        if len(self._idle_conns) > self.limits.idle:
            oldest = next(iter(self._idle_conns))
            self._idle_conns.pop(oldest)
            # Makes the socket readable. Closing it here would break the
            # selector, where it is still registered.
            with contextlib.suppress(OSError):
                oldest.socket.shutdown(socket.SHUT_RD)
        self.put_conn(conn)

    def _serve_unservicable(self) -> None:
        """Do nothing, because the queue of connections is unbounded."""
