"""Pacing of orders by the rate of the weight store."""

import msgspec

from papayaloom import ids
from papayaloom.ports import weights

# A missing version may be stored later.
_MANIFEST_S = 10


class ReadManifest(msgspec.Struct, frozen=True):
    """Read the size of a version's weights."""

    model: ids.ModelId
    version: ids.VersionId


class Pace:
    """When the next load may begin."""

    def __init__(self) -> None:
        """Start without knowledge of the store."""
        self._manifests: dict[tuple[str, str], weights.Manifest | None] = {}
        self._reading_at: dict[tuple[str, str], float] = {}
        self._free_at = float('-inf')

    def learn(
        self, model: str, version: str, found: weights.Manifest | None
    ) -> None:
        """Take a manifest."""
        self._manifests[model, version] = found

    def obstacle(
        self, model: ids.ModelId, version: ids.VersionId, now: float
    ) -> tuple[str, list[ReadManifest]]:
        """Return why a load must wait, and the read that is due."""
        known = self._manifests.get((model, version))
        if known is None:
            read_at = self._reading_at.get((model, version), now)
            if read_at > now:
                return 'the weight store has no such version', []
            self._reading_at[model, version] = now + _MANIFEST_S
            reason = 'the size of the weights is not known yet'
            return reason, [ReadManifest(model, version)]
        if now < self._free_at:
            return 'the rate of the weight store', []
        return '', []

    def start(
        self, model: str, version: str, now: float, rate_share: float
    ) -> None:
        """Count a load that begins."""
        known = self._manifests[model, version]
        if known is not None:
            taken_s = known.size / (known.bytes_per_s * rate_share)
            self._free_at = max(self._free_at, now) + taken_s
