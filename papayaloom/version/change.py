"""One accepted change of the settings: log record, delta and digest."""

import functools
import typing

import msgspec
import xxhash

from papayaloom import errors, ids
from papayaloom.version import setting

EMPTY_DIGEST = '0' * 32
NO_VERSION = ids.SettingsVersion(0)

Values = dict[str, setting.Value]


class Delta(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """What a router needs of a change.

    :param parent: the parent that the branch names, empty for its path's.
    :param settings: all settings of the branch, flat, in declared units.
    :param digest: digest of the settings after this change; it covers the
        digest before it, so a delta fits only one predecessor.
    :param removed: the branch no longer exists.
    """

    version: ids.SettingsVersion
    branch: str
    parent: str
    settings: Values
    digest: str
    removed: bool = False


class Change(msgspec.Struct, frozen=True, omit_defaults=True):
    """Record of the settings log; its creation commits the version.

    :param edit_id: identifies the edit when the reply to its write is lost.
    :param base_version: version of the branch that the editor saw, 0 for
        a new branch.
    :param text: the branch document as the editor wrote it.
    """

    version: ids.SettingsVersion
    edit_id: str
    author: str
    at_unix_ms: int
    branch: str
    base_version: ids.SettingsVersion
    text: str
    settings: Values
    parent: str
    parent_digest: str
    digest: str
    removed: bool = False

    def delta(self) -> Delta:
        """Return the part that routers need."""
        return Delta(
            version=self.version,
            branch=self.branch,
            parent=self.parent,
            settings=self.settings,
            digest=self.digest,
            removed=self.removed,
        )


def digest(
    parent_digest: str,
    branch: str,
    parent: str,
    settings: typing.Mapping[str, setting.Value],
    *,
    removed: bool = False,
) -> str:
    """Return the digest of the settings after a change (32 hex digits).

    :param parent_digest: digest before the change.
    """
    canonical = msgspec.json.encode(
        (parent_digest, branch, parent, removed, sorted(settings.items())),
    )
    return xxhash.xxh3_128_hexdigest(canonical)


def encode(record: Change) -> bytes:
    """Return a log record as JSON."""
    return msgspec.json.encode(record)


def decode(content: bytes) -> Change:
    """Return a log record.

    :raises errors.CodecError: the content is no log record.
    """
    try:
        return _change_decoder().decode(content)
    except msgspec.DecodeError as exc:
        raise errors.CodecError(f'malformed log record: {exc}') from exc


def encode_delta(delta: Delta) -> bytes:
    """Return a delta as MessagePack."""
    return msgspec.msgpack.encode(delta)


def decode_delta(content: bytes) -> Delta:
    """Return a delta.

    :raises errors.CodecError: the content is no delta.
    """
    try:
        return _delta_decoder().decode(content)
    except msgspec.DecodeError as exc:
        raise errors.CodecError(f'malformed settings delta: {exc}') from exc


@functools.cache
def _change_decoder() -> msgspec.json.Decoder[Change]:
    return msgspec.json.Decoder(Change)


@functools.cache
def _delta_decoder() -> msgspec.msgpack.Decoder[Delta]:
    return msgspec.msgpack.Decoder(Delta)
