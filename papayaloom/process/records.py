"""Bounded ring of request records."""

import collections
import contextlib
import threading
import typing

import msgspec

from papayaloom import ids
from papayaloom.request import record


class Records:
    """The newest records of a process; safe for many threads.

    :param capacity: number of records kept; one takes about 2 KB.
    """

    def __init__(self, capacity: int = 4096) -> None:
        """Start empty."""
        self._lock = threading.Lock()
        self._ring: collections.deque[record.Record] = collections.deque(
            maxlen=capacity
        )

    def add(self, entry: record.Record) -> None:
        """Add a finished request; it must not be changed any more."""
        with self._lock:
            self._ring.append(entry)

    def find(self, request_id: str) -> list[record.Record]:
        """Return the records with this id, newest first.

        Callers choose their ids, so there may be several.
        """
        return [
            entry
            for entry in self.newest()
            if request_id in {entry.request_id, entry.upstream_id}
        ]

    def newest(self, count: int | None = None) -> list[record.Record]:
        """Return the newest records, newest first."""
        with self._lock:
            entries = list(self._ring)
        entries.reverse()
        return entries[:count]

    def take_over(self, entries: typing.Iterable[record.Record]) -> None:
        """Add the newest records of a router that stops.

        They count as older than the own ones.

        :param entries: newest first, as from :meth:`newest`.
        """
        with self._lock:
            known = {entry.upstream_id for entry in self._ring}
            room = (self._ring.maxlen or 0) - len(self._ring)
            for entry in entries:
                if room > 0 and entry.upstream_id not in known:
                    self._ring.appendleft(entry)
                    room -= 1

    def encode_newest(self, count: int) -> tuple[bytes, ...]:
        """Return the newest records for another router, newest first."""
        return tuple(msgspec.json.encode(one) for one in self.newest(count))

    def decode(self, encoded: typing.Iterable[bytes]) -> None:
        """Take over records from :meth:`encode_newest`; skips malformed ones."""
        found = []
        for content in encoded:
            with contextlib.suppress(msgspec.DecodeError):
                found.append(msgspec.json.decode(content, type=record.Record))
        self.take_over(found)

    def ids(self) -> list[ids.RequestId]:
        """Return the ids of the kept records, newest first."""
        return [entry.request_id for entry in self.newest()]
