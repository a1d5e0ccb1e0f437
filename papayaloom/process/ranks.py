"""Ranks the routers for each engine by rendezvous hashing.

A member keeps its rank until it is confirmed gone.
"""

import typing

import msgspec

from papayaloom import hashing, ids, messages

_PRESENT_STATES = frozenset(
    (
        messages.MemberState.ALIVE,
        messages.MemberState.SUSPECT,
        messages.MemberState.LEAVING,
    )
)


class Cfg(msgspec.Struct, frozen=True):
    """Timing of ranks.

    :param confirm_s: seconds for which a dead member keeps its rank.
    """

    confirm_s: float = 30


class Ranks:
    """Ranks members for engines and tracks whether a majority is present.

    ``version`` increases with each change of the ranked members.

    :param router: id of this router.
    """

    def __init__(self, cfg: Cfg, router: ids.RouterId) -> None:
        """Create ranks with this router as the only member."""
        self._cfg = cfg
        self._router = router
        self._dead_since: dict[ids.RouterId, float] = {}
        self._left: set[ids.RouterId] = set()
        self._ranked: frozenset[ids.RouterId] = frozenset((router,))
        self._quorate = True
        self._orders: dict[ids.EngineId, tuple[ids.RouterId, ...]] = {}
        self.version = 0

    def configure(self, cfg: Cfg) -> None:
        """Apply new timing."""
        self._cfg = cfg

    @property
    def ranked(self) -> frozenset[ids.RouterId]:
        """Members that have a rank."""
        return self._ranked

    @property
    def quorate(self) -> bool:
        """Whether more than half of the members are present.

        Only a majority admits requests. Otherwise each side of a network
        partition would confirm the other as gone and use the whole cap.
        """
        return self._quorate

    def update(
        self,
        members: typing.Iterable[messages.Member],
        listed: typing.Collection[ids.RouterId] | None,
        now: float,
    ) -> None:
        """Apply a new view of the membership.

        :param members: all members of the region, including dead ones.
        :param listed: routers in the platform's host list, None if unknown.
        """
        known: set[ids.RouterId] = {self._router}
        present: set[ids.RouterId] = {self._router}
        for member in members:
            is_present = member.state in _PRESENT_STATES
            if member.state == messages.MemberState.ALIVE:
                self._left.discard(member.router)
            if member.router in self._left:
                continue
            if is_present:
                present.add(member.router)
            if is_present or listed is None or member.router in listed:
                known.add(member.router)
        self._dead_since = {
            router: self._dead_since.get(router, now)
            for router in known - present
        }
        self._quorate = _majority(present, known)
        self._set_ranked(
            frozenset(
                router
                for router in known
                if now - self._dead_since.get(router, now) < self._cfg.confirm_s
            ),
        )

    def mark_left(self, router: ids.RouterId) -> None:
        """Remove the rank of a router that has handed over and is stopping."""
        self._left.add(router)
        self._set_ranked(self._ranked - {router})

    def has_left(self, router: ids.RouterId) -> bool:
        """Return whether a router has handed over and is stopping."""
        return router in self._left

    def target(
        self,
        engine: ids.EngineId,
        *,
        other: bool = False,
    ) -> ids.RouterId:
        """Return the router to ask for admission to an engine.

        It is the first in rank, or the second while only the first is dead.

        :param other: return the other of the two.
        """
        order = self.order(engine)
        prefers_second = order[0] in self._dead_since and (
            order[-1] not in self._dead_since
        )
        return order[-1 if prefers_second != other else 0]

    def order(self, engine: ids.EngineId) -> tuple[ids.RouterId, ...]:
        """Return the first and the second in rank for an engine."""
        ranked = self._orders.get(engine)
        if ranked is None:
            ranked = tuple(hashing.rank(engine, self._ranked, 2))
            self._orders[engine] = ranked
        return ranked

    def precedes(
        self,
        router: ids.RouterId,
        other: ids.RouterId,
        engine: ids.EngineId,
    ) -> bool:
        """Return whether a router ranks before another, members or not."""
        return hashing.rank(engine, (router, other))[0] == router

    def _set_ranked(self, ranked: frozenset[ids.RouterId]) -> None:
        """Replace the ranked members and update only the affected orders."""
        if ranked == self._ranked:
            return
        joined = ranked - self._ranked
        departed = self._ranked - ranked
        self._ranked = ranked
        self.version += 1
        for engine, order in list(self._orders.items()):
            if not departed.isdisjoint(order):
                self._orders.pop(engine)
            elif joined:
                self._orders[engine] = tuple(
                    hashing.rank(engine, joined.union(order), 2),
                )


def _majority(
    present: set[ids.RouterId],
    known: set[ids.RouterId],
) -> bool:
    """Return whether the present members are a majority.

    Of two equal halves, the one with the lowest id counts as the majority.
    """
    doubled = 2 * len(present)
    if doubled == len(known):
        return min(known) in present
    return doubled > len(known)
