"""Gossip queue: member updates with a bounded number of transmissions."""

import heapq
import math
import random
import typing

import msgspec

from papayaloom import ids, messages
from papayaloom.process import member_table

_State = messages.MemberState
_WITHOUT_ADDRESSES = frozenset((_State.SUSPECT, _State.DEAD))


class GossipQueue:
    """Queued updates with their remaining number of transmissions.

    :param repeat_factor: transmissions of an update, as a multiple of
        log10(members + 1).
    """

    def __init__(
        self,
        table: member_table.MemberTable,
        me: ids.RouterId,
        repeat_factor: float,
        rng: random.Random,
    ) -> None:
        """Create an empty queue."""
        self.repeat_factor = repeat_factor
        self._table = table
        self._me = me
        self._rng = rng
        self._remaining: dict[ids.RouterId, int] = {}

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._remaining)

    def add(self, router: ids.RouterId) -> None:
        """Queue the current state of a member."""
        size = len(self._table.entries)
        self._remaining[router] = math.ceil(
            self.repeat_factor * math.log10(size + 1)
        )

    def drop(self, router: ids.RouterId) -> None:
        """Remove a member from the queue."""
        self._remaining.pop(router, None)

    def select(
        self, receiver: ids.RouterId, limit: int
    ) -> tuple[messages.Member, ...]:
        """Select the updates for one message, least transmitted first.

        A receiver that is suspected or dead always gets its own state, so
        that it can refute it. The sender includes its own entry for a host
        that no router has heard of. Updates about the sender itself have
        priority, because they may be refutations.
        """
        chosen: dict[ids.RouterId, None] = {}
        entry = self._table.get(receiver)
        if entry is None or not entry.known or self._me in self._remaining:
            chosen[self._me] = None
        if entry is not None and entry.member.state in _WITHOUT_ADDRESSES:
            chosen[receiver] = None
        least_sent = heapq.nlargest(
            limit - len(chosen),
            self._remaining,
            key=self._remaining.__getitem__,
        )
        chosen.update(dict.fromkeys(least_sent))
        self._count_transmission(chosen)
        entries = map(self._table.get, chosen)
        return tuple(self._to_update(known) for known in entries if known)

    def _count_transmission(
        self, chosen: typing.Iterable[ids.RouterId]
    ) -> None:
        for router in chosen:
            remaining = self._remaining.get(router, 1) - 1
            if remaining:
                self._remaining[router] = remaining
            else:
                self._remaining.pop(router, None)

    def _to_update(self, entry: member_table.Entry) -> messages.Member:
        member = entry.member
        if member.state not in _WITHOUT_ADDRESSES:
            return member
        if member.state is _State.SUSPECT and entry.confirmers:
            by = self._me
            if by not in entry.confirmers:
                by = self._rng.choice(entry.confirmers)
            member = msgspec.structs.replace(member, by=by)
        return member_table.without_addresses(member)
