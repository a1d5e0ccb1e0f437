"""Removals from the platform's store that an outage may have caused.

Leases may expire during a store outage although their holders are alive. A
removal therefore takes effect immediately only while the store is stable;
around an outage, the entry has a grace period in which it may be restored.
"""

import typing

_Key = typing.TypeVar('_Key', bound=str)


class Lapses(typing.Generic[_Key]):
    """Entries whose removal may be a lapsed lease.

    :param grace_s: grace period for entries after the store has recovered.
    :param first_grace_s: grace period on a host that has seen no failed store
        call since its start: an outage may have ended just before the start,
        or there may have been none.
    """

    def __init__(
        self, grace_s: float, first_grace_s: float | None = None
    ) -> None:
        """Initialise with the store considered unavailable."""
        self._grace_s = grace_s
        self._first_grace_s = first_grace_s
        self._has_seen_failure = False
        self._recovered_at: float | None = None
        self._deadlines: dict[_Key, float] = {}

    def update_grace(self, grace_s: float) -> None:
        """Change the grace period for later removals."""
        self._grace_s = grace_s

    def store_failed(self) -> None:
        """Record a failed store call."""
        self._has_seen_failure = True
        self._recovered_at = None

    def store_answered(self, now: float) -> None:
        """Record a successful store call."""
        if self._recovered_at is None:
            self._recovered_at = now

    def calm_s(self, now: float) -> float:
        """Return the time since the store answers; 0 while it does not."""
        return 0 if self._recovered_at is None else now - self._recovered_at

    def may_be_lapsed(self, key: _Key, now: float) -> bool:
        """Tell whether a removal may be a lapse; if so, track the entry."""
        grace_s = self._grace_s
        if self._first_grace_s is not None and not self._has_seen_failure:
            grace_s = min(grace_s, self._first_grace_s)
        recovered_at = now if self._recovered_at is None else self._recovered_at
        deadline = recovered_at + grace_s
        if now >= deadline:
            self._deadlines.pop(key, None)
            return False
        self._deadlines.setdefault(key, deadline)
        return True

    def is_overdue(self, key: _Key, now: float) -> bool:
        """Tell whether the grace period of a tracked entry has ended."""
        if self._recovered_at is None:
            return False
        return now >= self._deadlines.get(key, float('inf'))

    def mark_present(self, key: _Key) -> None:
        """Stop tracking an entry that is present again."""
        self._deadlines.pop(key, None)

    def pop_expired(self, now: float) -> list[_Key]:
        """Return and drop the entries whose grace period has ended."""
        if self._recovered_at is None:
            return []
        removed = [
            key for key, deadline in self._deadlines.items() if now >= deadline
        ]
        for key in removed:
            self._deadlines.pop(key)
        return removed
