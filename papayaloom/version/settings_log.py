"""Settings log and full state in the key-value service.

========================  ==================================================
key                       value
========================  ==================================================
``settings/log/<n>``      :class:`change.Change` of version n (12 digits)
``settings/full``         full state of a version, compressed
``settings/trimmed``      no record above this version was ever deleted
========================  ==================================================

Trimming keeps the newest versions, all versions after the full state, and the
newest version of each branch, because it contains the text of the branch.
"""

import typing

import msgspec

from papayaloom import errors, ids
from papayaloom.ports import kv
from papayaloom.version import change, schema, setting, snapshot

PREFIX = 'settings/log/'
FULL_KEY = 'settings/full'
TRIMMED_KEY = 'settings/trimmed'
_PAGE_SIZE = 200
# The full state may be replaced while the log is being read, but it is
# unlikely to be replaced more than once.
_MAX_RELOADS = 4


class State(msgspec.Struct, frozen=True):
    """The newest settings in the store.

    :param deltas: replayed changes, oldest first; they follow the snapshot
        passed by the reader, or the full state.
    :param full_version: version of the full state; 0 if it was not read.
    """

    snapshot: snapshot.Snapshot
    deltas: tuple[change.Delta, ...]
    full_version: ids.SettingsVersion


class Difference(msgspec.Struct, frozen=True):
    """Difference in a setting, or in the parent, of a branch."""

    branch: str
    path: str
    old: setting.Value | None
    new: setting.Value | None


def record_key(version: int) -> str:
    """Return the store key of the record of a version."""
    return f'{PREFIX}{version:012}'


def read(
    store: kv.Kv,
    since: snapshot.Snapshot | None = None,
    declared_settings: schema.Schema | None = None,
) -> State:
    """Return the newest settings, never older than those of the reader.

    Takes one read if the reader is less than a page behind, and two if it
    has no snapshot.

    :param since: the current snapshot of the reader.
    :raises errors.StoreUnavailableError: the store did not answer.
    :raises errors.SettingsError: the log has a gap.
    """
    current = since or read_full_state(store, declared_settings)[0]
    full_version = change.NO_VERSION if since else current.version
    for _ in range(_MAX_RELOADS):
        current, deltas, is_complete = _replay(store, current)
        if is_complete:
            return State(current, deltas, full_version)
        # Either the records after this snapshot were trimmed, or the
        # snapshot belongs to another log; only a newer full state helps.
        full, _ = read_full_state(store, declared_settings)
        if full.version > current.version:
            current, full_version = full, full.version
    raise errors.SettingsError(
        f'the settings log has a gap after version {current.version}',
    )


def read_full_state(
    store: kv.Kv,
    declared_settings: schema.Schema | None = None,
) -> tuple[snapshot.Snapshot, int]:
    """Return the full state in the store and the revision of its key.

    If there is none, returns version 0 and the revision of an absent key.
    """
    entry = store.get(FULL_KEY)
    if entry is None:
        return snapshot.empty(declared_settings), kv.ABSENT
    return snapshot.decode(entry.value, declared_settings), entry.revision


def read_record(store: kv.Kv, version: int) -> change.Change:
    """Return the record of a version.

    :raises errors.SettingsError: the record was trimmed or does not exist
        yet.
    """
    entry = store.get(record_key(version))
    if entry is None:
        raise errors.SettingsError(f'version {version} is not in the log')
    return change.decode(entry.value)


def read_text(store: kv.Kv, current: snapshot.Snapshot, branch: str) -> str:
    """Return the document of a branch; empty if the branch does not exist."""
    state = current.branches.get(branch)
    if state is None:
        return ''
    return read_record(store, state.version).text


def history(
    store: kv.Kv,
    current: snapshot.Snapshot,
    branch: str | None = None,
    limit: int = 20,
) -> list[change.Change]:
    """Return the newest changes, newest first.

    :param branch: return only changes of this branch; takes one read per
        change.
    :param limit: maximum number of changes to return.
    """
    if branch is not None:
        return _branch_history(store, current, branch, limit)
    after = record_key(max(current.version - limit, 0))
    entries = store.list_prefix(PREFIX, after, limit).entries
    return [change.decode(entry.value) for entry in reversed(entries)]


def diff(store: kv.Kv, old: int, new: int) -> list[Difference]:
    """Return the differences between two versions.

    :param old: the lower version; the log must still contain the records
        after it.
    :param new: the higher version.
    :raises errors.SettingsError: a version is not in the log.
    """
    first: dict[str, change.Change] = {}
    last: dict[str, change.Change] = {}
    for version in range(old + 1, new + 1):
        committed = read_record(store, version)
        first.setdefault(committed.branch, committed)
        last[committed.branch] = committed
    differences: list[Difference] = []
    for branch, committed in sorted(first.items()):
        before: change.Values = {}
        if committed.base_version:
            before = _with_parent(read_record(store, committed.base_version))
        after = _with_parent(last[branch])
        differences.extend(
            Difference(branch, path, before.get(path), after.get(path))
            for path in sorted({*before, *after})
            if before.get(path) != after.get(path)
        )
    return differences


def _with_parent(committed: change.Change) -> change.Values:
    parent: change.Values = (
        {'parent': committed.parent} if committed.parent else {}
    )
    return parent | committed.settings


def _branch_history(
    store: kv.Kv,
    current: snapshot.Snapshot,
    branch: str,
    limit: int,
) -> list[change.Change]:
    changes: list[change.Change] = []
    state = current.branches.get(branch)
    version = state.version if state else 0
    while version and len(changes) < limit:
        entry = store.get(record_key(version))
        if entry is None:
            break
        changes.append(change.decode(entry.value))
        version = changes[-1].base_version
    return changes


def _replay(
    store: kv.Kv,
    current: snapshot.Snapshot,
) -> tuple[snapshot.Snapshot, tuple[change.Delta, ...], bool]:
    deltas: list[change.Delta] = []
    for entry in _entries(store, current.version):
        delta = change.decode(entry.value).delta()
        try:
            current = current.apply(delta)
        except errors.SettingsError:
            return current, tuple(deltas), False
        deltas.append(delta)
    return current, tuple(deltas), True


def _entries(store: kv.Kv, version: int) -> typing.Iterator[kv.Entry]:
    after = record_key(version)
    has_more = True
    while has_more:
        listing = store.list_prefix(PREFIX, after, _PAGE_SIZE)
        yield from listing.entries
        has_more = listing.more
        after = listing.entries[-1].key if listing.entries else after
