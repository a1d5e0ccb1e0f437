"""The settings in the key-value service: the log, the full state, reading.

========================  ==================================================
key                       value
========================  ==================================================
``settings/log/<n>``      :class:`change.Change` of version n (12 digits)
``settings/full``         full state of a version, compressed
``settings/trimmed``      no record above this version was ever deleted
========================  ==================================================

Trimming keeps the newest versions, every version above the full state, and
the newest version of each branch, which holds the text of the branch.
"""

import typing

import msgspec

from papayaloom import errors, ids
from papayaloom.ports import kv
from papayaloom.version import change, schema, setting, snapshot

PREFIX = 'settings/log/'
FULL_KEY = 'settings/full'
TRIMMED_KEY = 'settings/trimmed'
_PAGE = 200
# The full state can be replaced while the log is read, but hardly twice.
_MAX_RELOADS = 4


class State(msgspec.Struct, frozen=True):
    """The newest settings in the store.

    :param deltas: the changes that were replayed, oldest first; they follow
        the snapshot that the reader had, or the full state.
    :param full_version: version of the full state, 0 when it was not read.
    """

    snapshot: snapshot.Snapshot
    deltas: tuple[change.Delta, ...]
    full_version: ids.SettingsVersion


class Difference(msgspec.Struct, frozen=True):
    """One setting, or the parent, of a branch that differs."""

    branch: str
    path: str
    old: setting.Value | None
    new: setting.Value | None


def key(version: int) -> str:
    """Return the key of a version's record."""
    return f'{PREFIX}{version:012}'


def read(
    store: kv.Kv,
    since: snapshot.Snapshot | None = None,
    known: schema.Schema | None = None,
) -> State:
    """Return the newest settings; never older ones than the reader has.

    Costs one read when the reader is behind by less than a page, two
    without a snapshot.

    :param since: the snapshot that the reader has.
    :raises errors.StoreUnavailableError: the store did not answer.
    :raises errors.SettingsError: the log has a gap.
    """
    current = since or full_state(store, known)[0]
    full_version = change.NO_VERSION if since else current.version
    for _ in range(_MAX_RELOADS):
        current, deltas, is_whole = _replay(store, current)
        if is_whole:
            return State(current, deltas, full_version)
        # The records after this snapshot were trimmed, or it is not one of
        # this log: only a newer full state helps.
        full, _ = full_state(store, known)
        if full.version > current.version:
            current, full_version = full, full.version
    raise errors.SettingsError(
        f'the settings log has a gap after version {current.version}',
    )


def full_state(
    store: kv.Kv,
    known: schema.Schema | None = None,
) -> tuple[snapshot.Snapshot, int]:
    """Return the full state in the store and the revision of its key.

    Without one, that is version 0 and the expectation "absent".
    """
    entry = store.get(FULL_KEY)
    if entry is None:
        return snapshot.empty(known), kv.ABSENT
    return snapshot.decode(entry.value, known), entry.revision


def record(store: kv.Kv, version: int) -> change.Change:
    """Return the record of a version.

    :raises errors.SettingsError: the version does not exist any more, or
        not yet.
    """
    entry = store.get(key(version))
    if entry is None:
        raise errors.SettingsError(f'version {version} is not in the log')
    return change.decode(entry.value)


def text(store: kv.Kv, current: snapshot.Snapshot, branch: str) -> str:
    """Return the document of a branch, empty when it does not exist."""
    state = current.branches.get(branch)
    if state is None:
        return ''
    return record(store, state.version).text


def history(
    store: kv.Kv,
    current: snapshot.Snapshot,
    branch: str | None = None,
    limit: int = 20,
) -> list[change.Change]:
    """Return the newest changes, newest first.

    :param branch: return only changes of this branch; costs a read each.
    :param limit: how many changes to return at the most.
    """
    if branch is not None:
        return _branch_history(store, current, branch, limit)
    after = key(max(current.version - limit, 0))
    entries = store.list_prefix(PREFIX, after, limit).entries
    return [change.decode(entry.value) for entry in reversed(entries)]


def diff(store: kv.Kv, old: int, new: int) -> list[Difference]:
    """Return what differs between two versions.

    :param old: the lower version; the records after it must be kept.
    :param new: the higher version.
    :raises errors.SettingsError: a version is not in the log.
    """
    first: dict[str, change.Change] = {}
    last: dict[str, change.Change] = {}
    for version in range(old + 1, new + 1):
        made = record(store, version)
        first.setdefault(made.branch, made)
        last[made.branch] = made
    found: list[Difference] = []
    for branch, made in sorted(first.items()):
        before: change.Values = {}
        if made.base_version:
            before = _flat(record(store, made.base_version))
        after = _flat(last[branch])
        found.extend(
            Difference(branch, path, before.get(path), after.get(path))
            for path in sorted({*before, *after})
            if before.get(path) != after.get(path)
        )
    return found


def _flat(made: change.Change) -> change.Values:
    parent: change.Values = {'parent': made.parent} if made.parent else {}
    return parent | made.settings


def _branch_history(
    store: kv.Kv,
    current: snapshot.Snapshot,
    branch: str,
    limit: int,
) -> list[change.Change]:
    found: list[change.Change] = []
    state = current.branches.get(branch)
    version = state.version if state else 0
    while version and len(found) < limit:
        entry = store.get(key(version))
        if entry is None:
            break
        found.append(change.decode(entry.value))
        version = found[-1].base_version
    return found


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
    after = key(version)
    more = True
    while more:
        listing = store.list_prefix(PREFIX, after, _PAGE)
        yield from listing.entries
        more = listing.more
        after = listing.entries[-1].key if listing.entries else after
