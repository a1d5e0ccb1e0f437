"""Removals from the platform's store that an outage may have caused.

Leases may expire during a store outage although their holders are alive. A
removal therefore takes effect immediately only while the store is stable;
around an outage, the entry has a grace period in which it may be restored.

An outage is a time without an answer in which a live holder could not renew its
lease until it expired. Calls that fail for a shorter time are none: a removal
that the store tells of right after them was meant.
"""

import typing

_Key = typing.TypeVar('_Key', bound=str)
# Start of failures that may have begun at any time.
UNKNOWN_START = float('-inf')


class Lapses(typing.Generic[_Key]):
    """Entries whose removal may be a lapsed lease.

    :param grace_s: grace period for entries after the store has recovered.
    :param first_grace_s: grace period on a host that has seen no failed store
        call since its start: an outage may have ended just before the start,
        or there may have been none.
    :param min_outage_s: calls that fail for a shorter time are no outage.
    """

    def __init__(
        self,
        grace_s: float,
        first_grace_s: float | None = None,
        min_outage_s: float = 0,
    ) -> None:
        """Initialise with the store considered unavailable."""
        self._grace_s = grace_s
        self._first_grace_s = first_grace_s
        self._min_outage_s = min_outage_s
        self._has_seen_outage = False
        # Since when calls fail; None while the store answers.
        self._failing_since: float | None = None
        # End of the last outage, which may have ended before the first call.
        self._recovered_at: float | None = None
        # End of the last failed calls.
        self._calm_since: float | None = None
        self._deadlines: dict[_Key, float] = {}

    def update_grace(self, grace_s: float) -> None:
        """Change the grace period for later removals."""
        self._grace_s = grace_s

    def store_failed(self, since: float = UNKNOWN_START) -> None:
        """Record a failed store call.

        :param since: time since which the store may have been unavailable.
        """
        if self._failing_since is None:
            self._failing_since = since
        self._failing_since = min(self._failing_since, since)
        self._calm_since = None

    def store_answered(self, now: float) -> None:
        """Record a successful store call."""
        failing_since = self._failing_since
        self._failing_since = None
        if (
            failing_since is not None
            and now - failing_since >= self._min_outage_s
        ):
            self._has_seen_outage = True
            self._recovered_at = now
        if self._recovered_at is None:
            self._recovered_at = now
        if self._calm_since is None:
            self._calm_since = now

    def calm_s(self, now: float) -> float:
        """Return the time since the store answers; 0 while it does not."""
        return 0 if self._calm_since is None else now - self._calm_since

    def may_be_lapsed(self, key: _Key, now: float) -> bool:
        """Tell whether a removal may be a lapse; if so, track the entry."""
        grace_s = self._grace_s
        if self._first_grace_s is not None and not self._has_seen_outage:
            grace_s = min(grace_s, self._first_grace_s)
        recovered_at = self._recovered_at
        if recovered_at is None or self._failing_since is not None:
            recovered_at = now
        deadline = recovered_at + grace_s
        if now >= deadline:
            self._deadlines.pop(key, None)
            return False
        self._deadlines.setdefault(key, deadline)
        return True

    def is_overdue(self, key: _Key, now: float) -> bool:
        """Tell whether the grace period of a tracked entry has ended."""
        if self._is_away():
            return False
        return now >= self._deadlines.get(key, float('inf'))

    def mark_present(self, key: _Key) -> None:
        """Stop tracking an entry that is present again."""
        self._deadlines.pop(key, None)

    def pop_expired(self, now: float) -> list[_Key]:
        """Return and drop the entries whose grace period has ended."""
        if self._is_away():
            return []
        removed = [
            key for key, deadline in self._deadlines.items() if now >= deadline
        ]
        for key in removed:
            self._deadlines.pop(key)
        return removed

    def _is_away(self) -> bool:
        """Whether the last call failed, or there was none."""
        return self._recovered_at is None or self._failing_since is not None
