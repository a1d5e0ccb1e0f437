"""Settings versions of the peers, as known to this router."""

from papayaloom import ids

_REQUEST_INTERVAL_S = 0.5
_MAX_PEERS = 4096


class PeerVersions:
    """Latest known settings versions of the other routers."""

    def __init__(self) -> None:
        """Create a record without any versions."""
        self.newest = 0
        self._versions: dict[ids.RouterId, int] = {}
        self._last_request = float('-inf')

    def note(self, router: ids.RouterId, version: int) -> None:
        """Record the version of a router."""
        self.newest = max(self.newest, version)
        if len(self._versions) > _MAX_PEERS:
            self._versions.clear()
        self._versions[router] = version

    def has_reached(self, router: ids.RouterId, version: int) -> bool:
        """Return whether a router is known to be at or past a version."""
        return self._versions.get(router, -1) >= version

    def holders(
        self, version: int, excluded: ids.RouterId
    ) -> list[ids.RouterId]:
        """Return the routers known to be at exactly this version."""
        return [
            other
            for other, peer_version in self._versions.items()
            if peer_version == version and other != excluded
        ]

    def may_ask(self, now: float) -> bool:
        """Return whether a request for changes is allowed now.

        Requests are rate limited.
        """
        if now - self._last_request < _REQUEST_INTERVAL_S:
            return False
        self._last_request = now
        return True
