"""Weight store stand-in with a total rate."""

import cheroot.wsgi

from papayaloom import clock, ids
from papayaloom.ports import weights
from papayaloom.standins import faults, wsgi


class WeightStore:
    """Weights of a few versions, served at a total rate.

    :param sizes: bytes of each ``model/version``; empty accepts every one
        with ``default_size``.
    """

    def __init__(
        self,
        ticks: clock.Clock,
        sizes: dict[str, int] | None = None,
        bytes_per_s: float = 1_000_000_000,
        default_size: int = 1_000_000_000,
    ) -> None:
        """Start without fetches."""
        self.faults = faults.Faults()
        self.fetches = 0
        self.longest_queue_s: float = 0
        self._clock = ticks
        self._sizes = sizes or {}
        self._rate = bytes_per_s
        self._default_size = default_size
        self._free_at: float = 0

    def manifest(
        self, model: ids.ModelId, version: ids.VersionId
    ) -> weights.Manifest | None:
        """Return the size and the rate, or nothing for an unknown version."""
        self.faults.before()
        size = self._sizes.get(f'{model}/{version}')
        if size is None and not self._sizes:
            size = self._default_size
        self.faults.after()
        if size is None:
            return None
        return weights.Manifest(model, version, size, self._rate)

    def fetch(self, model: ids.ModelId, version: ids.VersionId) -> float:
        """Take a place in the queue of the store.

        :returns: the time at which the fetch ends, in seconds.
        """
        now = self._clock.monotonic()
        size = self._sizes.get(f'{model}/{version}', self._default_size)
        start = max(now, self._free_at)
        self.longest_queue_s = max(self.longest_queue_s, start - now)
        self._free_at = start + size / self._rate
        self.fetches += 1
        return self._free_at


def server(store: WeightStore, address: str) -> cheroot.wsgi.Server:
    """Return a bound server of a store."""

    def handle(call: wsgi.Call) -> wsgi.Reply:
        if len(call.path) != 4 or call.path[1] != 'weights':
            return wsgi.refuse(404, 'no such resource')
        model, version = call.path[2:]
        found = store.manifest(ids.ModelId(model), ids.VersionId(version))
        if found is None:
            return wsgi.refuse(404, f'there are no weights {version!r}')
        return wsgi.json_reply(found)

    return wsgi.server(address, handle, store.faults)
