"""This router's view of the fleet: the table, its news and its own entry."""

import collections
import random
import typing

import msgspec

from papayaloom import ids, messages
from papayaloom.process import members, rumours, suspicion

_State = messages.MemberState
# Hearsay of a suspicion makes about this many routers probe the suspect.
_SECOND_OPINIONS = 4


class View:
    """Merges updates, refutes those about this router, and spreads news.

    :param me: this router.
    """

    def __init__(
        self, me: messages.Member, repeat_factor: float, rng: random.Random
    ) -> None:
        """Start with this router alone."""
        self.me = me
        self.table = members.Table()
        self.listed: frozenset[ids.RouterId] | None = None
        self.counts: collections.Counter[str] = collections.Counter()
        self.news = rumours.Rumours(self.table, me.router, repeat_factor, rng)
        self.subscribers: list[typing.Callable[[messages.Member], object]] = []
        self._rng = rng
        self.announce(me, 0)

    def announce(self, me: messages.Member, now: float) -> None:
        """Replace this router's own entry and pass it on."""
        self.me = me
        self.table.merge(me, now)
        self.news.add(me.router)

    def take(
        self,
        updates: typing.Iterable[messages.Member],
        sender: ids.RouterId,
        now: float,
        *,
        is_copy: bool = False,
    ) -> list[ids.RouterId]:
        """Merge updates of another router.

        :param is_copy: the updates are a copy of the sender's view; members
            that are new to this router only are not passed on.
        :returns: suspects on which this router should give its own opinion.
        """
        doubtful: list[ids.RouterId] = []
        for update in updates:
            if update.router == self.me.router:
                self._refute(update, now)
                continue
            is_new = not self.table.knows(update.router)
            softened = suspicion.soften(self.table, update, sender)
            suspect = [self.merge(one, now) for one in softened]
            if any(suspect) and self._is_asked():
                doubtful.append(update.router)
            if is_copy and is_new:
                self.news.drop(update.router)
        return doubtful

    def merge(self, update: messages.Member, now: float) -> bool:
        """Take one update.

        :returns: whether it made the member a suspect.
        """
        before = self.table.get(update.router)
        was = before.member.state if before and before.known else None
        if not self.table.merge(update, now):
            return False
        self.news.add(update.router)
        if update.state is was:
            return False
        self.counts[f'became {update.state.name.lower()}'] += 1
        for subscriber in self.subscribers:
            subscriber(self.table.entries[update.router].member)
        return update.state is _State.SUSPECT

    def judge(self, entry: members.Entry, state: _State, now: float) -> None:
        """Declare a member a suspect or dead."""
        self.merge(
            msgspec.structs.replace(
                entry.member, state=state, by=self.me.router
            ),
            now,
        )

    def others(self) -> list[ids.RouterId]:
        """Return the other members that count as alive."""
        return [
            entry.member.router
            for entry in self.table.alive()
            if entry.member.router != self.me.router
        ]

    def random(self, count: int) -> list[ids.RouterId]:
        """Return some random members; hosts of the list while alone."""
        alive = self.table.alive()
        known = alive if len(alive) > 1 else list(self.table.entries.values())
        # One more, because this router itself may be among them.
        sample = self._rng.sample(known, min(count + 1, len(known)))
        others = [entry.member.router for entry in sample]
        return [name for name in others if name != self.me.router][:count]

    def unreachable(self) -> list[ids.RouterId]:
        """Return the dead members that may come back."""
        return [
            entry.member.router
            for entry in self.table.down()
            if entry.known
            and (self.listed is None or entry.member.router in self.listed)
        ]

    def _is_asked(self) -> bool:
        size = max(len(self.table.entries), 1)
        return self._rng.random() < _SECOND_OPINIONS / size

    def _refute(self, update: messages.Member, now: float) -> None:
        same = update.incarnation == self.me.incarnation
        harmless = {_State.ALIVE, self.me.state}
        if update.incarnation < self.me.incarnation:
            return
        if same and update.state in harmless or self.me.state is _State.DEAD:
            return
        self.counts['refuted'] += 1
        self.announce(
            msgspec.structs.replace(
                self.me, incarnation=update.incarnation + 1
            ),
            now,
        )
