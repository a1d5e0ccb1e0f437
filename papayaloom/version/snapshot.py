"""Immutable settings of one version, with inheritance."""

import functools
import types
import typing
import zlib

import msgspec

from papayaloom import errors, ids
from papayaloom.version import change, schema, setting, tree

DEFAULT_BRANCH = 'default'
# Limits the memory that decoding a malformed full state can take.
_MAX_FULL_BYTES = 64_000_000


class ResolvedSetting(msgspec.Struct, frozen=True):
    """Resolved value of a setting and its origin.

    :param branch: branch that sets the value, or ``default``.
    :param version: version that set the value; 0 for a default.
    """

    value: setting.Value
    unit: setting.Unit
    branch: str
    version: ids.SettingsVersion


class Branch(msgspec.Struct, frozen=True, array_like=True):
    """State of one branch.

    :param parent: explicit parent of the branch; empty for the default one.
    :param version: version that last changed the branch.
    :param settings: value of each setting and the version that set it.
    """

    parent: str
    version: ids.SettingsVersion
    settings: dict[str, tuple[setting.Value, ids.SettingsVersion]]

    def values(self) -> change.Values:
        """Return the settings without their versions."""
        return {path: entry[0] for path, entry in self.settings.items()}


class _FullState(msgspec.Struct, frozen=True, array_like=True):
    version: ids.SettingsVersion
    digest: str
    branches: dict[str, Branch]


_BranchSettings = typing.Mapping[str, ResolvedSetting]


class Snapshot:
    """All settings of one version; immutable.

    :param version: version number.
    :param digest: digest of the version, chained to its predecessor.
    :param branches: state of each branch.
    """

    __slots__ = (
        '_branches',
        '_ancestor_settings',
        '_defaults',
        '_own_settings',
        '_parents',
        '_schema',
        'digest',
        'version',
    )

    def __init__(
        self,
        version: ids.SettingsVersion,
        digest: str,
        branches: typing.Mapping[str, Branch],
        declared_settings: schema.Schema | None = None,
    ) -> None:
        """Keep the state; values are resolved on demand."""
        self.version = version
        self.digest = digest
        self._branches = branches
        self._parents = {
            name: branch.parent for name, branch in branches.items()
        }
        self._schema = (
            schema.load() if declared_settings is None else declared_settings
        )
        self._defaults = {
            path: ResolvedSetting(
                declared.default,
                declared.unit,
                DEFAULT_BRANCH,
                change.NO_VERSION,
            )
            for path, declared in self._schema.items()
        }
        # Caches, filled on demand. They contain existing branches only, so
        # that callers cannot use up memory by sending unknown names.
        self._own_settings: dict[str, _BranchSettings] = {}
        self._ancestor_settings: dict[str, tuple[_BranchSettings, ...]] = {}

    @property
    def branches(self) -> typing.Mapping[str, Branch]:
        """Return the state of each existing branch."""
        return types.MappingProxyType(self._branches)

    def resolve(
        self,
        path: str,
        org: ids.OrgId | str | None = None,
        target: str | None = None,
    ) -> ResolvedSetting:
        """Return the value of a setting and its origin.

        :param org: name of the organisation, for settings of that axis.
        :param target: branch of a service, a model or a version of a model
            (see :func:`tree.service` and :func:`tree.model`).
        :raises errors.SettingsError: no such setting.
        """
        declared = self._schema.get(path) or schema.find(path, self._schema)
        branch = None
        if declared.axis is setting.Axis.ORGANISATION:
            branch = f'organisations/{org}' if org else None
        elif declared.axis is not setting.Axis.FLEET:
            branch = target
        for own in self._settings_chain(branch or tree.ROOT):
            resolved = own.get(path)
            if resolved is not None:
                return resolved
        return self._defaults[path]

    def resolve_at(self, path: str, branch: str) -> ResolvedSetting:
        """Return the value of a setting that applies in a branch.

        :raises errors.SettingsError: no such setting.
        """
        return self.resolve(path, branch.partition('/')[2], branch)

    def apply(self, delta: change.Delta) -> 'Snapshot':
        """Return the next version.

        :raises errors.SettingsError: the delta does not follow this
            version.
        """
        expected = change.digest(
            self.digest,
            delta.branch,
            delta.parent,
            delta.settings,
            removed=delta.removed,
        )
        if delta.version != self.version + 1 or delta.digest != expected:
            raise errors.SettingsError(
                f'change {delta.version} does not follow version '
                f'{self.version} with digest {self.digest}',
            )
        branches = dict(self._branches)
        old = branches.pop(delta.branch, None)
        if not delta.removed:
            branches[delta.branch] = _next_branch(old, delta)
        successor = Snapshot(
            delta.version, delta.digest, branches, self._schema
        )
        successor._own_settings.update(self._own_settings)  # noqa: SLF001
        successor._own_settings.pop(delta.branch, None)  # noqa: SLF001
        return successor

    @property
    def parents(self) -> typing.Mapping[str, str]:
        """Return the explicit parent, possibly empty, of each branch."""
        return types.MappingProxyType(self._parents)

    def encode(self) -> bytes:
        """Encode the full state, compressed."""
        return zlib.compress(
            msgspec.msgpack.encode(
                _FullState(self.version, self.digest, dict(self._branches)),
            ),
        )

    def _settings_chain(self, branch: str) -> tuple[_BranchSettings, ...]:
        name = branch
        while name not in self._branches and name != tree.ROOT:
            name = tree.default_parent(name)
        chain = self._ancestor_settings.get(name)
        if chain is None:
            chain = tuple(
                self._resolve_branch(ancestor)
                for ancestor in tree.chain(name, self._parents)
                if ancestor in self._branches
            )
            self._ancestor_settings[name] = chain
        return chain

    def _resolve_branch(self, name: str) -> _BranchSettings:
        own = self._own_settings.get(name)
        if own is None:
            own = {
                path: ResolvedSetting(
                    entry[0], self._schema[path].unit, name, entry[1]
                )
                for path, entry in self._branches[name].settings.items()
                # A newer editor may know settings that this process does not.
                if path in self._schema
            }
            self._own_settings[name] = own
        return own


def empty(declared_settings: schema.Schema | None = None) -> Snapshot:
    """Return version 0, in which every setting has its default value."""
    return Snapshot(
        change.NO_VERSION, change.EMPTY_DIGEST, {}, declared_settings
    )


def decode(
    content: bytes, declared_settings: schema.Schema | None = None
) -> Snapshot:
    """Decode the snapshot of a full state.

    :raises errors.CodecError: the content is not a full state.
    """
    full = _decode_full_state(content)
    return Snapshot(full.version, full.digest, full.branches, declared_settings)


def encoded_version(content: bytes) -> ids.SettingsVersion:
    """Return the version of an encoded full state.

    :raises errors.CodecError: the content is not a full state.
    """
    return _decode_full_state(content).version


def _decode_full_state(content: bytes) -> _FullState:
    stream = zlib.decompressobj()
    try:
        raw = stream.decompress(content, _MAX_FULL_BYTES)
        full = _full_state_decoder().decode(raw)
    except (zlib.error, msgspec.DecodeError) as exc:
        raise errors.CodecError(f'malformed full state: {exc}') from exc
    # The checksum is verified only when the end of the stream is reached.
    if not stream.eof or stream.unused_data:
        raise errors.CodecError('malformed full state: truncated or too long')
    return full


def _next_branch(old: Branch | None, delta: change.Delta) -> Branch:
    before = old.settings if old else {}
    settings = {}
    for path, new_value in delta.settings.items():
        entry = before.get(path)
        unchanged = entry is not None and entry[0] == new_value
        settings[path] = (
            entry if entry and unchanged else (new_value, delta.version)
        )
    return Branch(delta.parent, delta.version, settings)


@functools.cache
def _full_state_decoder() -> msgspec.msgpack.Decoder[_FullState]:
    return msgspec.msgpack.Decoder(_FullState)
