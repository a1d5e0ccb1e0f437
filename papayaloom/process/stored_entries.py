"""Entries of the platform's store that a host serves to others as a snapshot."""

import threading
import typing

import msgspec

from papayaloom import decoding, errors


class StoredEntries:
    """Newest content of each key; thread-safe."""

    def __init__(self) -> None:
        """Start without entries."""
        self._by_key: dict[str, bytes] = {}
        self._lock = threading.Lock()

    def put(self, key: str, content: bytes) -> None:
        """Add or change an entry."""
        with self._lock:
            self._by_key[key] = content

    def remove(self, key: str) -> None:
        """Remove an entry, if it exists."""
        with self._lock:
            self._by_key.pop(key, None)

    def replace(self, prefix: str, listed: typing.Mapping[str, bytes]) -> None:
        """Replace all entries of a key prefix."""
        with self._lock:
            others = {
                key: content
                for key, content in self._by_key.items()
                if not key.startswith(prefix)
            }
            self._by_key = {**others, **listed}

    def encode(self) -> bytes:
        """Return all entries in MessagePack."""
        with self._lock:
            return msgspec.msgpack.encode(self._by_key)


def decode(content: bytes) -> dict[str, bytes]:
    """Decode the entries of another host's snapshot.

    :raises papayaloom.errors.CodecError: they cannot be decoded.
    """
    try:
        return decoding.decode_msgpack(content, dict[str, bytes])
    except msgspec.MsgspecError as exc:
        raise errors.CodecError(f'invalid snapshot: {exc}') from exc
