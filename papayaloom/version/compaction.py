"""Compaction of the settings log: writing the full state, and trimming.

Editors run the compaction after an edit. The edit is already committed, so a
failure only postpones the compaction to a later edit.
"""

import typing

import msgspec

from papayaloom import errors
from papayaloom.ports import kv
from papayaloom.version import settings_log, snapshot

# More than the versions between two full states, so that trimming can catch
# up.
_MAX_TRIMMED_PER_RUN = 64


class Cfg(msgspec.Struct, frozen=True):
    """When to write the full state and what to trim.

    :param full_every: number of versions between two full states.
    :param kept_versions: number of newest versions that trimming keeps.
    """

    full_every: int = 16
    kept_versions: int = 4096


def run(
    store: kv.Kv,
    current: snapshot.Snapshot,
    full_version: int,
    cfg: Cfg,
) -> None:
    """Write the full state and trim the log if they are due.

    :param current: settings after the edit.
    :param full_version: version of the full state in the store; 0 if it is
        unknown.
    """
    if current.version - full_version < cfg.full_every:
        return
    try:
        if _write_full(store, current):
            _trim(store, current, cfg.kept_versions)
    except errors.StoreUnavailableError:
        return


def read_trimmed_version(store: kv.Kv) -> tuple[int, int]:
    """Return the version up to which records may have been deleted.

    :returns: the version, and the revision of its key.
    """
    entry = store.get(settings_log.TRIMMED_KEY)
    if entry is None:
        return 0, kv.ABSENT
    return int(entry.value), entry.revision


def _write_full(store: kv.Kv, current: snapshot.Snapshot) -> bool:
    existing = store.get(settings_log.FULL_KEY)
    revision = kv.ABSENT
    if existing is not None:
        revision = existing.revision
        if snapshot.encoded_version(existing.value) >= current.version:
            return False
    # The expected revision is that of the older state, so this write can
    # never replace a newer one.
    return store.put(settings_log.FULL_KEY, current.encode(), revision).done


def _trim(store: kv.Kv, current: snapshot.Snapshot, kept: int) -> None:
    floor = current.version - kept
    if floor <= 0:
        return
    # The trimmed version is raised before any record is deleted. An editor
    # that recreates a deleted record then detects that it was trimmed.
    trimmed_version, revision = read_trimmed_version(store)
    if trimmed_version < floor:
        encoded = str(floor).encode()
        if not store.put(settings_log.TRIMMED_KEY, encoded, revision).done:
            return
    newest = {
        settings_log.record_key(state.version)
        for state in current.branches.values()
    }
    for entry in _oldest_deletable(store, floor, newest):
        store.delete(entry.key, entry.revision)


def _oldest_deletable(
    store: kv.Kv,
    floor: int,
    newest: typing.Container[str],
) -> list[kv.Entry]:
    deletable: list[kv.Entry] = []
    after, has_more = '', True
    while has_more and len(deletable) < _MAX_TRIMMED_PER_RUN:
        listing = store.list_prefix(settings_log.PREFIX, after, values=False)
        old = [
            entry
            for entry in listing.entries
            if entry.key <= settings_log.record_key(floor)
        ]
        deletable.extend(entry for entry in old if entry.key not in newest)
        has_more = listing.more and len(old) == len(listing.entries)
        after = listing.entries[-1].key if listing.entries else after
    return deletable[:_MAX_TRIMMED_PER_RUN]
