"""Pool of idle upstream connections, most recently used first."""

import threading
import time

from papayaloom.connection import upstream_connection

# Share of the upstream's keep-alive timeout after which a connection is no
# longer reused, because the upstream may close it just as a request is sent.
_REUSE_TIMEOUT_SHARE = 0.6
_MAX_REUSE_IDLE_S = 4.0
# A non-idempotent request uses only a recently used connection. If an older
# one is reset, it is unknown whether the request has run.
_NON_IDEMPOTENT_IDLE_S = 1.0
MAX_IDLE = 8


class IdlePool:
    """Thread-safe pool of idle connections by replica."""

    def __init__(self) -> None:
        """Start empty."""
        self._lock = threading.Lock()
        self._idle: dict[str, list[upstream_connection.UpstreamConnection]] = {}

    def acquire(
        self, replica: str, *, fresh: bool
    ) -> upstream_connection.UpstreamConnection | None:
        """Remove and return a usable connection to a replica, if any.

        :param fresh: accept only recently used connections, for a request that
            must not run twice.
        """
        now = time.monotonic()
        while True:
            with self._lock:
                idle = self._idle.get(replica)
                if not idle:
                    return None
                conn = idle.pop()
            limit_s = min(conn.idle_s * _REUSE_TIMEOUT_SHARE, _MAX_REUSE_IDLE_S)
            if fresh:
                limit_s = min(limit_s, _NON_IDEMPOTENT_IDLE_S)
            if now - conn.used_at < limit_s and conn.is_reusable():
                return conn
            conn.close()

    def release(
        self, replica: str, conn: upstream_connection.UpstreamConnection
    ) -> None:
        """Return a connection to the pool after its request has finished."""
        with self._lock:
            idle = self._idle.setdefault(replica, [])
            if len(idle) < MAX_IDLE:
                idle.append(conn)
                return
        conn.close()

    def discard(self, replica: str) -> None:
        """Close the idle connections of a replica that was removed."""
        with self._lock:
            dropped = self._idle.pop(replica, [])
        for conn in dropped:
            conn.close()

    def close_expired(self) -> None:
        """Close connections whose idle time exceeds the limit."""
        now = time.monotonic()
        expired: list[upstream_connection.UpstreamConnection] = []
        with self._lock:
            for replica, idle in self._idle.items():
                fresh = [
                    conn
                    for conn in idle
                    if now - conn.used_at < conn.idle_s * _REUSE_TIMEOUT_SHARE
                ]
                expired.extend(conn for conn in idle if conn not in fresh)
                self._idle[replica] = fresh
        for conn in expired:
            conn.close()
