"""Anti-entropy: synchronises the whole view between two routers.

Gossip transmits each update a bounded number of times, so a router may miss
one. Anti-entropy repairs such gaps and gives a new router its first view.
"""

import random

from papayaloom import messages
from papayaloom.process import member_table

# 24 members of about 110 bytes each keep a message under 3 KB.
_MAX_PART_MEMBERS = 24
_INITIAL_INTERVAL_S = 0.3


class AntiEntropy:
    """Compares this router's view with the views of random members."""

    def __init__(
        self, table: member_table.MemberTable, rng: random.Random
    ) -> None:
        """Start without any completed exchange."""
        self.is_settled = False
        self._table = table
        self._rng = rng
        self._next = float('-inf')

    def is_due(self, now: float, sync_s: float) -> bool:
        """Return whether to start an exchange now, and schedule the next one.

        A new router uses a short interval until it has found a view without
        differences.
        """
        if now < self._next:
            return False
        interval_s = sync_s if self.is_settled else _INITIAL_INTERVAL_S
        self._next = now + interval_s * self._rng.uniform(0.8, 1.2)
        return True

    def begin(self) -> messages.ViewDigest:
        """Return the message that starts an exchange."""
        return messages.ViewDigest(self._table.digest())

    def answer_digest(self, request: messages.ViewDigest) -> messages.ViewPart:
        """Return this router's members of some differing buckets."""
        mine = self._table.digest()
        theirs = request.buckets
        if len(theirs) != len(mine):
            return messages.ViewPart((), (), 0, reply=False)
        differ = [
            number
            for number, digest in enumerate(mine)
            if digest != theirs[number]
        ]
        buckets = self._choose_buckets(differ)
        return messages.ViewPart(
            self._table.in_buckets(buckets),
            tuple(buckets),
            len(differ),
            reply=bool(differ),
        )

    def handle_part(self, part: messages.ViewPart) -> messages.ViewPart | None:
        """Return this router's members of the same buckets, if requested.

        Must be called before the members of the part are merged, so that only
        differences are sent back.
        """
        if not part.reply:
            self.is_settled = self.is_settled or not part.differ
            return None
        theirs = set(part.members)
        buckets = frozenset(part.buckets)
        mine = tuple(
            member
            for member in self._table.in_buckets(buckets)
            if member not in theirs
        )
        if not mine:
            return None
        return messages.ViewPart(mine, (), len(buckets), reply=False)

    def _choose_buckets(self, differ: list[int]) -> list[int]:
        self._rng.shuffle(differ)
        chosen: list[int] = []
        size = 0
        for number in differ:
            size += len(self._table.in_buckets((number,)))
            if chosen and size > _MAX_PART_MEMBERS:
                break
            chosen.append(number)
        return chosen
