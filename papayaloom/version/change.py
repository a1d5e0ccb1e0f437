"""A committed change of the settings: log record, delta and digest."""

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
    """The part of a change that routers need.

    :param parent: explicit parent of the branch; empty for the default one.
    :param settings: all settings of the branch by path, in declared units.
    :param digest: digest of the settings after this change. It covers the
        previous digest, so a delta applies to a single predecessor only.
    :param removed: whether the change removes the branch.
    """

    version: ids.SettingsVersion
    branch: str
    parent: str
    settings: Values
    digest: str
    removed: bool = False


class Change(msgspec.Struct, frozen=True, omit_defaults=True):
    """Record of the settings log; creating it commits the version.

    :param edit_id: identifies the edit if the reply to its write is lost.
    :param base_version: version of the branch that the edit is based on;
        0 for a new branch.
    :param text: the branch document as submitted.
    :param parent_digest: digest of the settings before the change.
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
        """Return the delta of this change."""
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

    :param parent_digest: digest of the settings before the change.
    """
    canonical = msgspec.json.encode(
        (parent_digest, branch, parent, removed, sorted(settings.items())),
    )
    return xxhash.xxh3_128_hexdigest(canonical)


def encode(record: Change) -> bytes:
    """Encode a log record as JSON."""
    return msgspec.json.encode(record)


def decode(content: bytes) -> Change:
    """Decode a log record.

    :raises errors.CodecError: the content is not a log record.
    """
    try:
        return _change_decoder().decode(content)
    except msgspec.DecodeError as exc:
        raise errors.CodecError(f'malformed log record: {exc}') from exc


def encode_delta(delta: Delta) -> bytes:
    """Encode a delta as MessagePack."""
    return msgspec.msgpack.encode(delta)


def decode_delta(content: bytes) -> Delta:
    """Decode a delta.

    :raises errors.CodecError: the content is not a delta.
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
