"""The settings of one version, immutable, with inheritance resolved."""

import functools
import types
import typing
import zlib

import msgspec

from papayaloom import errors, ids
from papayaloom.version import change, schema, setting, tree

DEFAULT_BRANCH = 'default'
# Bounds the memory that a malformed full state can take.
_MAX_FULL_BYTES = 64_000_000


class Resolved(msgspec.Struct, frozen=True):
    """Value of a setting and where it comes from.

    :param branch: the branch that sets it, or ``default``.
    :param version: the version that set it, 0 for a default.
    """

    value: setting.Value
    unit: setting.Unit
    branch: str
    version: ids.SettingsVersion


class Branch(msgspec.Struct, frozen=True, array_like=True):
    """State of one branch.

    :param parent: the parent that the branch names, empty for its path's.
    :param version: the version that changed the branch last.
    :param settings: value of each setting and the version that set it.
    """

    parent: str
    version: ids.SettingsVersion
    settings: dict[str, tuple[setting.Value, ids.SettingsVersion]]

    def values(self) -> change.Values:
        """Return the settings without their versions."""
        return {path: entry[0] for path, entry in self.settings.items()}


class _Full(msgspec.Struct, frozen=True, array_like=True):
    version: ids.SettingsVersion
    digest: str
    branches: dict[str, Branch]


_Own = typing.Mapping[str, Resolved]


class Snapshot:
    """All settings of one version; never changes.

    :param version: number of the version.
    :param digest: chained digest of the version.
    :param branches: state of each branch.
    """

    __slots__ = (
        '_branches',
        '_chains',
        '_defaults',
        '_own',
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
        known: schema.Schema | None = None,
    ) -> None:
        """Keep the state; values are resolved when asked for."""
        self.version = version
        self.digest = digest
        self._branches = branches
        self._parents = {
            name: branch.parent for name, branch in branches.items()
        }
        self._schema = schema.load() if known is None else known
        self._defaults = {
            path: Resolved(
                declared.default,
                declared.unit,
                DEFAULT_BRANCH,
                change.NO_VERSION,
            )
            for path, declared in self._schema.items()
        }
        # Filled on demand; both hold entries for existing branches only,
        # so names made up by callers do not take memory.
        self._own: dict[str, _Own] = {}
        self._chains: dict[str, tuple[_Own, ...]] = {}

    @property
    def branches(self) -> typing.Mapping[str, Branch]:
        """Return the state of each existing branch."""
        return types.MappingProxyType(self._branches)

    def resolve(
        self,
        path: str,
        org: ids.OrgId | str | None = None,
        target: str | None = None,
    ) -> Resolved:
        """Return the value of a setting and where it comes from.

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
        for own in self._chain(branch or tree.ROOT):
            found = own.get(path)
            if found is not None:
                return found
        return self._defaults[path]

    def resolve_at(self, path: str, branch: str) -> Resolved:
        """Return the value of a setting as seen from a branch.

        :raises errors.SettingsError: no such setting.
        """
        return self.resolve(path, branch.partition('/')[2], branch)

    def apply(self, delta: change.Delta) -> 'Snapshot':
        """Return the next version.

        :raises errors.SettingsError: the delta belongs to another
            predecessor.
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
        following = Snapshot(
            delta.version, delta.digest, branches, self._schema
        )
        following._own.update(self._own)  # noqa: SLF001
        following._own.pop(delta.branch, None)  # noqa: SLF001
        return following

    @property
    def parents(self) -> typing.Mapping[str, str]:
        """Return the parent that each branch names, maybe empty."""
        return types.MappingProxyType(self._parents)

    def encode(self) -> bytes:
        """Return the full state, compressed."""
        return zlib.compress(
            msgspec.msgpack.encode(
                _Full(self.version, self.digest, dict(self._branches)),
            ),
        )

    def _chain(self, branch: str) -> tuple[_Own, ...]:
        name = branch
        while name not in self._branches and name != tree.ROOT:
            name = tree.default_parent(name)
        found = self._chains.get(name)
        if found is None:
            found = tuple(
                self._resolve_own(ancestor)
                for ancestor in tree.chain(name, self._parents)
                if ancestor in self._branches
            )
            self._chains[name] = found
        return found

    def _resolve_own(self, name: str) -> _Own:
        own = self._own.get(name)
        if own is None:
            own = {
                path: Resolved(
                    entry[0], self._schema[path].unit, name, entry[1]
                )
                for path, entry in self._branches[name].settings.items()
                # A newer editor may know settings that this process does not.
                if path in self._schema
            }
            self._own[name] = own
        return own


def empty(known: schema.Schema | None = None) -> Snapshot:
    """Return version 0, where every setting has its default."""
    return Snapshot(change.NO_VERSION, change.EMPTY_DIGEST, {}, known)


def decode(content: bytes, known: schema.Schema | None = None) -> Snapshot:
    """Return the snapshot of an encoded full state.

    :raises errors.CodecError: the content is no full state.
    """
    full = _decode_full(content)
    return Snapshot(full.version, full.digest, full.branches, known)


def encoded_version(content: bytes) -> ids.SettingsVersion:
    """Return the version of an encoded full state.

    :raises errors.CodecError: the content is no full state.
    """
    return _decode_full(content).version


def _decode_full(content: bytes) -> _Full:
    stream = zlib.decompressobj()
    try:
        raw = stream.decompress(content, _MAX_FULL_BYTES)
        full = _full_decoder().decode(raw)
    except (zlib.error, msgspec.DecodeError) as exc:
        raise errors.CodecError(f'malformed full state: {exc}') from exc
    # Before its end, the stream has not been compared with its checksum.
    if not stream.eof or stream.unused_data:
        raise errors.CodecError('malformed full state: cut or too long')
    return full


def _next_branch(old: Branch | None, delta: change.Delta) -> Branch:
    before = old.settings if old else {}
    settings = {}
    for path, fresh in delta.settings.items():
        entry = before.get(path)
        unchanged = entry is not None and entry[0] == fresh
        settings[path] = (
            entry if entry and unchanged else (fresh, delta.version)
        )
    return Branch(delta.parent, delta.version, settings)


@functools.cache
def _full_decoder() -> msgspec.msgpack.Decoder[_Full]:
    return msgspec.msgpack.Decoder(_Full)
