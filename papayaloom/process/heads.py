"""What this router knows of the settings versions of others."""

from papayaloom import ids

_RETRY_S = 0.5
_MAX_SEEN = 4096


class Heads:
    """Versions of other routers, as far as this router knows."""

    def __init__(self) -> None:
        """Start without knowledge."""
        self.newest = 0
        self._versions: dict[ids.RouterId, int] = {}
        self._asked = float('-inf')

    def note(self, router: ids.RouterId, version: int) -> None:
        """Note the version of a router."""
        self.newest = max(self.newest, version)
        if len(self._versions) > _MAX_SEEN:
            self._versions.clear()
        self._versions[router] = version

    def has(self, router: ids.RouterId, version: int) -> bool:
        """Return whether a router is known to have a version."""
        return self._versions.get(router, -1) >= version

    def holders(
        self, version: int, without: ids.RouterId
    ) -> list[ids.RouterId]:
        """Return the routers that have exactly this version."""
        return [
            other
            for other, theirs in self._versions.items()
            if theirs == version and other != without
        ]

    def may_ask(self, now: float) -> bool:
        """Return whether to ask for changes now; limits the requests."""
        if now - self._asked < _RETRY_S:
            return False
        self._asked = now
        return True
