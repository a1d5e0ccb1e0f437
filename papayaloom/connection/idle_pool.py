"""Idle connections to upstreams, newest first."""

import threading
import time

from papayaloom.connection import channel

# Share of the upstream's idle timeout for which a connection is used again;
# the upstream may close it just as the next request arrives.
_SAFE_SHARE = 0.6
_DEFAULT_IDLE_S = 4.0
# A request that must not run twice takes only a connection that was in use
# a moment ago: on an older one, a reset would leave its fate open.
_FRESH_S = 1.0
MAX_IDLE = 8


class IdlePool:
    """Idle connections by replica."""

    def __init__(self) -> None:
        """Start empty."""
        self._lock = threading.Lock()
        self._idle: dict[str, list[channel.Channel]] = {}

    def take(self, replica: str, *, fresh: bool) -> channel.Channel | None:
        """Return a usable connection to a replica, if there is one.

        :param fresh: the request must not run twice.
        """
        now = time.monotonic()
        while True:
            with self._lock:
                idle = self._idle.get(replica)
                if not idle:
                    return None
                conn = idle.pop()
            limit_s = min(conn.idle_s * _SAFE_SHARE, _DEFAULT_IDLE_S)
            if fresh:
                limit_s = min(limit_s, _FRESH_S)
            if now - conn.used_at < limit_s and conn.is_quiet():
                return conn
            conn.close()

    def give(self, replica: str, conn: channel.Channel) -> None:
        """Keep a connection that has finished its request."""
        with self._lock:
            idle = self._idle.setdefault(replica, [])
            if len(idle) < MAX_IDLE:
                idle.append(conn)
                return
        conn.close()

    def drop(self, replica: str) -> None:
        """Close the idle connections of a replica that is gone."""
        with self._lock:
            dropped = self._idle.pop(replica, [])
        for conn in dropped:
            conn.close()

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        now = time.monotonic()
        old: list[channel.Channel] = []
        with self._lock:
            for replica, idle in self._idle.items():
                fresh = [
                    conn
                    for conn in idle
                    if now - conn.used_at < conn.idle_s * _SAFE_SHARE
                ]
                old.extend(conn for conn in idle if conn not in fresh)
                self._idle[replica] = fresh
        for conn in old:
            conn.close()
