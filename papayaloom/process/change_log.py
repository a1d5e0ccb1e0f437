"""Change log: current settings and recent changes, served to other routers.

The changes are opaque to this module; see :class:`Document`.
"""

import collections
import typing

from papayaloom import errors, ids, messages
from papayaloom.process import full_state


class Document(typing.Protocol):
    """Interface of the current settings.

    Implemented by :class:`papayaloom.process.current_settings.CurrentSettings`.
    """

    def head(self) -> messages.Digest:
        """Return the version in force and its digest."""

    def version_of(self, record: bytes) -> ids.SettingsVersion:
        """Return the settings version that a record produces."""

    def apply(self, record: bytes) -> None:
        """Apply the next version."""

    def export(self) -> bytes:
        """Return the full state."""

    def replace(self, content: bytes) -> None:
        """Apply a newer full state."""


class ChangeLog:
    """Applies consecutive changes and serves routers that are behind.

    :param document: the current settings.
    :param chunk_bytes: size of a chunk of the full state.
    :param kept_bytes: maximum size of the recent changes that are kept.
    """

    def __init__(
        self, document: Document, chunk_bytes: int, kept_bytes: int
    ) -> None:
        """Create a log without recent changes."""
        self.counts: collections.Counter[str] = collections.Counter()
        # This router's history has diverged from that of another router; only
        # a full state with a higher version can be applied.
        self.needs_full_state = False
        self._document = document
        self._recent = _RecentChanges(kept_bytes)
        self._exports = full_state.ExportCache(chunk_bytes)

    def head(self) -> messages.Digest:
        """Return the version in force and its digest."""
        return self._document.head()

    def version_of(self, record: bytes) -> int:
        """Return the version that a record produces; -1 if malformed."""
        try:
            return self._document.version_of(record)
        except errors.PapayaloomError:
            return -1

    def apply(self, record: bytes) -> bool:
        """Apply a change if it is the next one; return whether it was."""
        version = self.version_of(record)
        if version < 0:
            self.counts['malformed changes'] += 1
            return False
        mine = self._document.head().version
        if version != mine + 1:
            reason = 'old changes' if version <= mine else 'early changes'
            self.counts[reason] += 1
            return False
        try:
            self._document.apply(record)
        except errors.PapayaloomError:
            self.counts['changes that do not follow'] += 1
            self.needs_full_state = True
            return False
        self._recent.add(version, record)
        return True

    def replace(self, content: bytes) -> bool:
        """Apply a full state if it is newer; return whether it was."""
        try:
            self._document.replace(content)
        except errors.PapayaloomError:
            self.counts['full states refused'] += 1
            return False
        self._recent.clear()
        self.needs_full_state = False
        return True

    def latest(self, count: int, limit: int) -> tuple[bytes, ...]:
        """Return the latest changes, as many as fit the limit."""
        newest = self.head().version
        while count > 1 and self._recent.size(newest, count) > limit:
            count -= 1
        return self._recent.after(newest - count, limit)

    def answer(
        self, have: messages.Digest, limit: int
    ) -> messages.SettingsDelta | messages.SettingsChunk | None:
        """Return what a router with the given head needs next.

        :param limit: maximum size of the changes in bytes.
        """
        mine = self.head()
        if have.version >= mine.version:
            return messages.SettingsDelta(())
        records = self._recent.after(have.version, limit)
        if records and have.digest:
            return messages.SettingsDelta(records)
        return self.chunk(mine, 0)

    def chunk(
        self, head: messages.Digest, index: int
    ) -> messages.SettingsChunk | None:
        """Return a chunk of a full state, or None if it is not cached."""
        if head == self.head():
            self._exports.add(head, self._document.export)
        return self._exports.chunk(head, index)


class _RecentChanges:
    """Recent changes, for routers that are a few versions behind."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._records: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def add(self, version: int, record: bytes) -> None:
        """Add a change; evicts the oldest changes above the limit."""
        self._records[version] = record
        self._bytes += len(record)
        while self._bytes > self._limit:
            _, oldest = self._records.popitem(last=False)
            self._bytes -= len(oldest)

    def clear(self) -> None:
        """Remove all changes after a full state was applied."""
        self._records.clear()
        self._bytes = 0

    def after(self, version: int, limit: int) -> tuple[bytes, ...]:
        """Return the changes that follow a version, up to a size limit.

        At least one change is returned if it is available.
        """
        found: list[bytes] = []
        size = 0
        record = self._records.get(version + 1)
        while record is not None:
            size += len(record)
            if found and size > limit:
                break
            found.append(record)
            record = self._records.get(version + len(found) + 1)
        return tuple(found)

    def size(self, newest: int, count: int) -> int:
        """Return the total size of the latest changes in bytes."""
        return sum(
            len(self._records.get(version, b''))
            for version in range(newest - count + 1, newest + 1)
        )
