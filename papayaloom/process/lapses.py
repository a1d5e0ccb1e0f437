"""Removals from the platform's store that an outage may have caused.

Leases may run out while the store is away, although their holders live. So a
removal counts at once only while the store is calm; else the entry has some
time to come back.
"""

import typing

_Name = typing.TypeVar('_Name', bound=str)


class Lapses(typing.Generic[_Name]):
    """Entries whose removal is in doubt.

    :param grace_s: time after the store's return for entries to come back.
    :param first_grace_s: the same for a host whose first call was answered: an
        outage may have ended before it started, or not have been at all.
    """

    def __init__(
        self, grace_s: float, first_grace_s: float | None = None
    ) -> None:
        """Start with the store away."""
        self._grace_s = grace_s
        self._first_grace_s = first_grace_s
        self._has_failed = False
        self._back_at: float | None = None
        self._missing: dict[_Name, float] = {}

    def wait_for(self, grace_s: float) -> None:
        """Take another time for entries to come back."""
        self._grace_s = grace_s

    def store_failed(self) -> None:
        """Note that the store does not answer."""
        self._has_failed = True
        self._back_at = None

    def store_answered(self, now: float) -> None:
        """Note an answer of the store."""
        if self._back_at is None:
            self._back_at = now

    def is_doubtful(self, name: _Name, now: float) -> bool:
        """Tell whether a removal may be a lapse, and keep it in mind."""
        grace_s = self._grace_s
        if self._first_grace_s is not None and not self._has_failed:
            grace_s = min(grace_s, self._first_grace_s)
        back_at = now if self._back_at is None else self._back_at
        end = back_at + grace_s
        if now >= end:
            self._missing.pop(name, None)
            return False
        self._missing.setdefault(name, end)
        return True

    def is_overdue(self, name: _Name, now: float) -> bool:
        """Tell whether an entry should have come back by now."""
        if self._back_at is None:
            return False
        return now >= self._missing.get(name, float('inf'))

    def returned(self, name: _Name) -> None:
        """Note that an entry is there."""
        self._missing.pop(name, None)

    def expired(self, now: float) -> list[_Name]:
        """Return entries that did not come back, once."""
        if self._back_at is None:
            return []
        gone = [name for name, end in self._missing.items() if now >= end]
        for name in gone:
            self._missing.pop(name)
        return gone
