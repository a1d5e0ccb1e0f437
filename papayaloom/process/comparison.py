"""Comparison of the whole view between two routers.

Gossip repeats each update a bounded number of times, so a router may miss
one. The comparison finds what is missing, and it is how a new router gets
its first view.
"""

import random

from papayaloom import messages
from papayaloom.process import members

# 24 members of about 110 bytes keep a part under 3 KB.
_PART_MEMBERS = 24
_JOINING_S = 0.3


class Comparison:
    """Compares this router's view with that of random members."""

    def __init__(self, table: members.Table, rng: random.Random) -> None:
        """Start as a router that has compared with nobody."""
        self.is_settled = False
        self._table = table
        self._rng = rng
        self._next = float('-inf')

    def is_due(self, now: float, sync_s: float) -> bool:
        """Return whether to start a comparison now, and plan the next one.

        A new router compares often until it once found no difference.
        """
        if now < self._next:
            return False
        wait = sync_s if self.is_settled else _JOINING_S
        self._next = now + wait * self._rng.uniform(0.8, 1.2)
        return True

    def begin(self) -> messages.ViewDigest:
        """Return the message that starts a comparison."""
        return messages.ViewDigest(self._table.digest())

    def answer(self, asked: messages.ViewDigest) -> messages.ViewPart:
        """Return members of some buckets that differ."""
        mine = self._table.digest()
        theirs = asked.buckets
        if len(theirs) != len(mine):
            return messages.ViewPart((), (), 0, reply=False)
        differ = [
            number
            for number, digest in enumerate(mine)
            if digest != theirs[number]
        ]
        buckets = self._sample(differ)
        return messages.ViewPart(
            self._table.in_buckets(buckets),
            tuple(buckets),
            len(differ),
            reply=bool(differ),
        )

    def answered(self, part: messages.ViewPart) -> messages.ViewPart | None:
        """Return this router's members of the same buckets, when asked for.

        Call it before the members of the part are merged, so that only
        differences travel back.
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

    def _sample(self, differ: list[int]) -> list[int]:
        self._rng.shuffle(differ)
        chosen: list[int] = []
        size = 0
        for number in differ:
            size += len(self._table.in_buckets((number,)))
            if chosen and size > _PART_MEMBERS:
                break
            chosen.append(number)
        return chosen
