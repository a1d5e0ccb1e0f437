"""Stand-in of the weight store, with a limited total rate."""

import cheroot.wsgi

from papayaloom import clock, ids
from papayaloom.ports import weights
from papayaloom.standins import faults, wsgi


class WeightStore:
    """Model weights that all readers fetch at a shared total rate.

    :param sizes: bytes of each ``model/version``; if empty, every version
        exists and has ``default_size`` bytes.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        sizes: dict[str, int] | None = None,
        bytes_per_s: float = 1_000_000_000,
        default_size: int = 1_000_000_000,
    ) -> None:
        """Start without fetches."""
        self.faults = faults.Faults()
        self.fetches = 0
        self.longest_queue_s: float = 0
        self._clock = time_source
        self._sizes = sizes or {}
        self._bytes_per_s = bytes_per_s
        self._default_size = default_size
        self._free_at: float = 0

    def manifest(
        self, model: ids.ModelId, version: ids.VersionId
    ) -> weights.Manifest | None:
        """Return size and rate, or None for an unknown version."""
        self.faults.before()
        size = self._sizes.get(f'{model}/{version}')
        if size is None and not self._sizes:
            size = self._default_size
        self.faults.after()
        if size is None:
            return None
        return weights.Manifest(model, version, size, self._bytes_per_s)

    def fetch(self, model: ids.ModelId, version: ids.VersionId) -> float:
        """Queue a fetch.

        :returns: the clock time at which the fetch ends.
        """
        now = self._clock.monotonic()
        size = self._sizes.get(f'{model}/{version}', self._default_size)
        start = max(now, self._free_at)
        self.longest_queue_s = max(self.longest_queue_s, start - now)
        self._free_at = start + size / self._bytes_per_s
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
