"""The settings in force with their recent changes, for other routers.

The changes are opaque here; see :class:`Document`.
"""

import collections
import typing

from papayaloom import errors, ids, messages
from papayaloom.process import full_state


class Document(typing.Protocol):
    """The settings in force, as :class:`papayaloom.process.current.Current`."""

    def head(self) -> messages.Digest:
        """Return the version in force and its digest."""

    def version_of(self, record: bytes) -> ids.SettingsVersion:
        """Return the version that a record leads to."""

    def apply(self, record: bytes) -> None:
        """Put the next version in force."""

    def export(self) -> bytes:
        """Return the full state."""

    def replace(self, content: bytes) -> None:
        """Put a newer full state in force."""


class ChangeLog:
    """Takes changes that fit, and answers routers that are behind.

    :param document: the settings in force.
    :param chunk_bytes: size of a chunk of the full state.
    :param kept_bytes: most bytes of old changes that are kept.
    """

    def __init__(
        self, document: Document, chunk_bytes: int, kept_bytes: int
    ) -> None:
        """Start without changes."""
        self.counts: collections.Counter[str] = collections.Counter()
        # The past of this router differs from that of another; only a full
        # state of a higher version can be taken.
        self.needs_full = False
        self._document = document
        self._kept = _Kept(kept_bytes)
        self._exports = full_state.Exports(chunk_bytes)

    def head(self) -> messages.Digest:
        """Return the version in force and its digest."""
        return self._document.head()

    def version_of(self, record: bytes) -> int:
        """Return the version that a record leads to; -1 when malformed."""
        try:
            return self._document.version_of(record)
        except errors.PapayaloomError:
            return -1

    def apply(self, record: bytes) -> bool:
        """Put a change in force when it is the next one."""
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
            self.needs_full = True
            return False
        self._kept.add(version, record)
        return True

    def replace(self, content: bytes) -> bool:
        """Put a full state in force when it is newer."""
        try:
            self._document.replace(content)
        except errors.PapayaloomError:
            self.counts['full states refused'] += 1
            return False
        self._kept.clear()
        self.needs_full = False
        return True

    def last(self, count: int, limit: int) -> tuple[bytes, ...]:
        """Return the last changes, as many of them as fit."""
        newest = self.head().version
        while count > 1 and self._kept.size(newest, count) > limit:
            count -= 1
        return self._kept.after(newest - count, limit)

    def answer(
        self, have: messages.Digest, limit: int
    ) -> messages.SettingsDelta | messages.SettingsChunk | None:
        """Return what a router with some head needs next.

        :param limit: most bytes of changes.
        """
        mine = self.head()
        if have.version >= mine.version:
            return messages.SettingsDelta(())
        records = self._kept.after(have.version, limit)
        if records and have.digest:
            return messages.SettingsDelta(records)
        return self.chunk(mine, 0)

    def chunk(
        self, head: messages.Digest, index: int
    ) -> messages.SettingsChunk | None:
        """Return a chunk of a full state, or nothing when it is not kept."""
        if head == self.head():
            self._exports.add(head, self._document.export)
        return self._exports.chunk(head, index)


class _Kept:
    """Recent changes, for routers that are a little behind."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._records: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def add(self, version: int, record: bytes) -> None:
        """Keep a change; the oldest ones go when the limit is passed."""
        self._records[version] = record
        self._bytes += len(record)
        while self._bytes > self._limit:
            _, oldest = self._records.popitem(last=False)
            self._bytes -= len(oldest)

    def clear(self) -> None:
        """Forget all, because a full state came between."""
        self._records.clear()
        self._bytes = 0

    def after(self, version: int, limit: int) -> tuple[bytes, ...]:
        """Return the changes that follow a version, up to some bytes.

        At least one is returned when it is kept.
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
        """Return the bytes of the last changes."""
        return sum(
            len(self._records.get(version, b''))
            for version in range(newest - count + 1, newest + 1)
        )
