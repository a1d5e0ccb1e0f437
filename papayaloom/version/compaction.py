"""Compaction of the settings log: the full state, and trimming.

Run by editors after an edit. The edit is committed by then, so a failure
here only leaves the work to a later edit.
"""

import typing

import msgspec

from papayaloom import errors
from papayaloom.ports import kv
from papayaloom.version import log, snapshot

# More than one full state's worth of versions, so that trimming catches up.
_TRIMMED_AT_ONCE = 64


class Cfg(msgspec.Struct, frozen=True):
    """When to write the full state and what to trim.

    :param full_every: versions between two full states.
    :param kept_versions: newest versions that trimming keeps.
    """

    full_every: int = 16
    kept_versions: int = 4096


def run(
    store: kv.Kv,
    current: snapshot.Snapshot,
    full_version: int,
    cfg: Cfg,
) -> None:
    """Write the full state and trim the log when it is time.

    :param current: the settings after the edit.
    :param full_version: version of the full state in the store, if known.
    """
    if current.version - full_version < cfg.full_every:
        return
    try:
        if _write_full(store, current):
            _trim(store, current, cfg.kept_versions)
    except errors.StoreUnavailableError:
        return


def trimmed(store: kv.Kv) -> tuple[int, int]:
    """Return the version up to which records may be deleted.

    :returns: the version and the revision of its key.
    """
    entry = store.get(log.TRIMMED_KEY)
    if entry is None:
        return 0, kv.ABSENT
    return int(entry.value), entry.revision


def _write_full(store: kv.Kv, current: snapshot.Snapshot) -> bool:
    standing = store.get(log.FULL_KEY)
    revision = kv.ABSENT
    if standing is not None:
        revision = standing.revision
        if snapshot.encoded_version(standing.value) >= current.version:
            return False
    # The expected revision is that of the older state, so this write never
    # replaces a newer one.
    return store.put(log.FULL_KEY, current.encode(), revision).done


def _trim(store: kv.Kv, current: snapshot.Snapshot, kept: int) -> None:
    floor = current.version - kept
    if floor <= 0:
        return
    # The mark goes up before a record is deleted: an editor that creates a
    # record in a deleted place then sees that it is below the mark.
    before, revision = trimmed(store)
    if before < floor:
        mark = str(floor).encode()
        if not store.put(log.TRIMMED_KEY, mark, revision).done:
            return
    newest = {log.key(state.version) for state in current.branches.values()}
    for entry in _oldest(store, floor, newest):
        store.delete(entry.key, entry.revision)


def _oldest(
    store: kv.Kv,
    floor: int,
    newest: typing.Container[str],
) -> list[kv.Entry]:
    found: list[kv.Entry] = []
    after, more = '', True
    while more and len(found) < _TRIMMED_AT_ONCE:
        listing = store.list_prefix(log.PREFIX, after, values=False)
        old = [
            entry for entry in listing.entries if entry.key <= log.key(floor)
        ]
        found.extend(entry for entry in old if entry.key not in newest)
        more = listing.more and len(old) == len(listing.entries)
        after = listing.entries[-1].key if listing.entries else after
    return found[:_TRIMMED_AT_ONCE]
