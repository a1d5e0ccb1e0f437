"""Bounded in-memory buffer of request records."""

import collections
import contextlib
import threading
import typing

import msgspec

from papayaloom import decoding, ids
from papayaloom.request import record


class Records:
    """Keeps the newest records of a process; thread-safe.

    :param capacity: maximum number of records; each takes about 2 KB.
    """

    def __init__(self, capacity: int = 4096) -> None:
        """Start empty."""
        self._lock = threading.Lock()
        self._buffer: collections.deque[record.Record] = collections.deque(
            maxlen=capacity
        )

    def add(self, entry: record.Record) -> None:
        """Add the record of a finished request; it must not change any more."""
        with self._lock:
            self._buffer.append(entry)

    def find(self, request_id: str) -> list[record.Record]:
        """Return the records with this id, newest first.

        Callers choose their own request ids, so several records may match.
        """
        return [
            entry
            for entry in self.newest()
            if request_id in {entry.request_id, entry.upstream_id}
        ]

    def newest(self, count: int | None = None) -> list[record.Record]:
        """Return up to ``count`` records, newest first."""
        with self._lock:
            entries = list(self._buffer)
        entries.reverse()
        return entries[:count]

    def merge_from_peer(self, entries: typing.Iterable[record.Record]) -> None:
        """Merge the newest records of a router that is shutting down.

        They are inserted as older than this router's own records.

        :param entries: records, newest first, as returned by :meth:`newest`.
        """
        with self._lock:
            known = {entry.upstream_id for entry in self._buffer}
            free_slots = (self._buffer.maxlen or 0) - len(self._buffer)
            for entry in entries:
                if free_slots > 0 and entry.upstream_id not in known:
                    self._buffer.appendleft(entry)
                    free_slots -= 1

    def encode_newest(self, count: int) -> tuple[bytes, ...]:
        """Encode the newest records for another router, newest first."""
        return tuple(msgspec.json.encode(entry) for entry in self.newest(count))

    def merge_encoded(self, encoded: typing.Iterable[bytes]) -> None:
        """Merge records from :meth:`encode_newest`, skipping malformed ones."""
        decoded = []
        for content in encoded:
            with contextlib.suppress(msgspec.DecodeError):
                decoded.append(decoding.decode_json(content, record.Record))
        self.merge_from_peer(decoded)

    def ids(self) -> list[ids.RequestId]:
        """Return the request ids of the buffered records, newest first."""
        return [entry.request_id for entry in self.newest()]
