"""Upstreams that announced their own shutdown."""

import typing

# After this time the host list also shows that the upstream is leaving.
_TTL_S = 120


class LeavingUpstreams:
    """Names of upstreams that are shutting down, with an expiry time each."""

    def __init__(self) -> None:
        """Start with no upstreams."""
        self._expires_at: dict[str, float] = {}

    def add(self, upstream: str, now: float) -> bool:
        """Record an announcement; return whether it is new."""
        is_new = upstream not in self._expires_at
        self._expires_at[upstream] = now + _TTL_S
        return is_new

    def current(self, now: float) -> typing.Container[str]:
        """Drop expired names and return the others."""
        self._expires_at = {
            name: expires_at
            for name, expires_at in self._expires_at.items()
            if expires_at > now
        }
        return self._expires_at.keys()
