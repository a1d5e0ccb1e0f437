"""This router's view of the fleet: member table, gossip queue, own entry."""

import collections
import random
import typing

import msgspec

from papayaloom import ids, messages
from papayaloom.process import gossip_queue, member_table, suspicion

_State = messages.MemberState
# Expected number of routers that probe a suspect after hearing of the
# suspicion through gossip.
_CONFIRMING_PROBES = 4


class View:
    """Merges and gossips updates, and refutes wrong ones about this router.

    :param me: this router.
    """

    def __init__(
        self, me: messages.Member, repeat_factor: float, rng: random.Random
    ) -> None:
        """Start with a view that contains only this router."""
        self.me = me
        self.table = member_table.MemberTable()
        self.listed: frozenset[ids.RouterId] | None = None
        self.counts: collections.Counter[str] = collections.Counter()
        self.news = gossip_queue.GossipQueue(
            self.table, me.router, repeat_factor, rng
        )
        self.subscribers: list[typing.Callable[[messages.Member], object]] = []
        self._rng = rng
        self.announce(me, 0)

    def announce(self, me: messages.Member, now: float) -> None:
        """Replace this router's own entry and queue it for gossip."""
        self.me = me
        self.table.merge(me, now)
        self.news.add(me.router)

    def merge_all(
        self,
        updates: typing.Iterable[messages.Member],
        sender: ids.RouterId,
        now: float,
        *,
        is_copy: bool = False,
    ) -> list[ids.RouterId]:
        """Merge updates from another router.

        :param is_copy: the updates are a copy of the sender's view; members
            that are new only to this router are not gossiped.
        :returns: suspects that this router should probe itself.
        """
        to_probe: list[ids.RouterId] = []
        for update in updates:
            if update.router == self.me.router:
                self._refute(update, now)
                continue
            is_new = not self.table.knows(update.router)
            accepted = suspicion.downgrade_death(self.table, update, sender)
            is_suspect = [self.merge(one, now) for one in accepted]
            if any(is_suspect) and self._should_probe():
                to_probe.append(update.router)
            if is_copy and is_new:
                self.news.drop(update.router)
        return to_probe

    def merge(self, update: messages.Member, now: float) -> bool:
        """Merge one update.

        :returns: whether the update made the member a suspect.
        """
        before = self.table.get(update.router)
        old_state = before.member.state if before and before.known else None
        if not self.table.merge(update, now):
            return False
        self.news.add(update.router)
        if update.state is old_state:
            return False
        self.counts[f'became {update.state.name.lower()}'] += 1
        for subscriber in self.subscribers:
            subscriber(self.table.entries[update.router].member)
        return update.state is _State.SUSPECT

    def declare(
        self, entry: member_table.Entry, state: _State, now: float
    ) -> None:
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

    def random_members(self, count: int) -> list[ids.RouterId]:
        """Return random members, or listed hosts if no other is alive."""
        alive = self.table.alive()
        known = alive if len(alive) > 1 else list(self.table.entries.values())
        # Sample one more, because the sample may include this router.
        sample = self._rng.sample(known, min(count + 1, len(known)))
        others = [entry.member.router for entry in sample]
        return [name for name in others if name != self.me.router][:count]

    def unreachable(self) -> list[ids.RouterId]:
        """Return the dead members that may recover."""
        return [
            entry.member.router
            for entry in self.table.down()
            if entry.known
            and (self.listed is None or entry.member.router in self.listed)
        ]

    def _should_probe(self) -> bool:
        size = max(len(self.table.entries), 1)
        return self._rng.random() < _CONFIRMING_PROBES / size

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
