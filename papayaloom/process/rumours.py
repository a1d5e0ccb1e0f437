"""News about members, passed on a bounded number of times."""

import heapq
import math
import random
import typing

import msgspec

from papayaloom import ids, messages
from papayaloom.process import members

_State = messages.MemberState
_BRIEF = frozenset((_State.SUSPECT, _State.DEAD))


class Rumours:
    """Updates that still have to be passed on, and how often.

    :param repeat_factor: repeats of an update, times log10(members + 1).
    """

    def __init__(
        self,
        table: members.Table,
        me: ids.RouterId,
        repeat_factor: float,
        rng: random.Random,
    ) -> None:
        """Start without news."""
        self.repeat_factor = repeat_factor
        self._table = table
        self._me = me
        self._rng = rng
        self._left: dict[ids.RouterId, int] = {}

    def __len__(self) -> int:
        """Return how many updates still have to be passed on."""
        return len(self._left)

    def add(self, router: ids.RouterId) -> None:
        """Pass on the newest state of a member, from now on."""
        size = len(self._table.entries)
        self._left[router] = math.ceil(
            self.repeat_factor * math.log10(size + 1)
        )

    def drop(self, router: ids.RouterId) -> None:
        """Pass a member's state on no more."""
        self._left.pop(router, None)

    def pick(
        self, receiver: ids.RouterId, limit: int
    ) -> tuple[messages.Member, ...]:
        """Choose the updates of one message, the least repeated first.

        A receiver that is not plainly alive always hears of its own state, so
        that it can refute it. A sender introduces itself to a host that
        nobody has heard of. News of the sender itself goes first: it may be
        a refutation.
        """
        chosen: dict[ids.RouterId, None] = {}
        entry = self._table.get(receiver)
        if entry is None or not entry.known or self._me in self._left:
            chosen[self._me] = None
        if entry is not None and entry.member.state in _BRIEF:
            chosen[receiver] = None
        freshest = heapq.nlargest(
            limit - len(chosen), self._left, key=self._left.__getitem__
        )
        chosen.update(dict.fromkeys(freshest))
        self._count(chosen)
        entries = map(self._table.get, chosen)
        return tuple(self._form(known) for known in entries if known)

    def _count(self, chosen: typing.Iterable[ids.RouterId]) -> None:
        for router in chosen:
            left = self._left.get(router, 1) - 1
            if left:
                self._left[router] = left
            else:
                self._left.pop(router, None)

    def _form(self, entry: members.Entry) -> messages.Member:
        member = entry.member
        if member.state not in _BRIEF:
            return member
        if member.state is _State.SUSPECT and entry.confirmers:
            by = self._me
            if by not in entry.confirmers:
                by = self._rng.choice(entry.confirmers)
            member = msgspec.structs.replace(member, by=by)
        return members.brief(member)
