"""Paces orders that load weights by the rate limit of the weight store."""

import msgspec

from papayaloom import ids
from papayaloom.ports import weights

# A version that is missing now may be uploaded later.
_MANIFEST_RETRY_S = 10


class ReadManifest(msgspec.Struct, frozen=True):
    """Requests the size of a version's weights."""

    model: ids.ModelId
    version: ids.VersionId


class LoadPacer:
    """Determines when the next load of weights may start."""

    def __init__(self) -> None:
        """Initialise without any manifests."""
        self._manifests: dict[tuple[str, str], weights.Manifest | None] = {}
        self._next_read_at: dict[tuple[str, str], float] = {}
        self._next_load_at = float('-inf')

    def record_manifest(
        self, model: str, version: str, manifest: weights.Manifest | None
    ) -> None:
        """Record a manifest, or ``None`` if the version does not exist."""
        self._manifests[model, version] = manifest

    def reason_to_wait(
        self, model: ids.ModelId, version: ids.VersionId, now: float
    ) -> tuple[str, list[ReadManifest]]:
        """Return why a load must wait, if it must, and any read that is due."""
        manifest = self._manifests.get((model, version))
        if manifest is None:
            next_read_at = self._next_read_at.get((model, version), now)
            if next_read_at > now:
                return 'the weight store has no such version', []
            self._next_read_at[model, version] = now + _MANIFEST_RETRY_S
            reason = 'the size of the weights is not known yet'
            return reason, [ReadManifest(model, version)]
        if now < self._next_load_at:
            return 'the rate of the weight store', []
        return '', []

    def record_load(
        self, model: str, version: str, now: float, rate_share: float
    ) -> None:
        """Account for the transfer time of a load that starts now."""
        manifest = self._manifests[model, version]
        if manifest is not None:
            load_s = manifest.size / (manifest.bytes_per_s * rate_share)
            self._next_load_at = max(self._next_load_at, now) + load_s
