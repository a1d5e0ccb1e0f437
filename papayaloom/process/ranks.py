"""Rank of the routers for each engine, over members not confirmed gone."""

import typing

import msgspec

from papayaloom import hashing, ids, messages

_PRESENT = frozenset(
    (
        messages.MemberState.ALIVE,
        messages.MemberState.SUSPECT,
        messages.MemberState.LEAVING,
    )
)


class Cfg(msgspec.Struct, frozen=True):
    """Limits of the rank.

    :param confirm_s: seconds for which a dead member keeps its rank.
    """

    confirm_s: float = 30


class Ranks:
    """Ranks members for engines and knows whether a majority is present.

    ``version`` grows with each change of the ranked members.

    :param router: own identity.
    """

    def __init__(self, cfg: Cfg, router: ids.RouterId) -> None:
        """Start as the only member."""
        self._cfg = cfg
        self._router = router
        self._dead_since: dict[ids.RouterId, float] = {}
        self._left: set[ids.RouterId] = set()
        self._ranked: frozenset[ids.RouterId] = frozenset((router,))
        self._quorate = True
        self._orders: dict[ids.EngineId, tuple[ids.RouterId, ...]] = {}
        self.version = 0

    def configure(self, cfg: Cfg) -> None:
        """Take new limits."""
        self._cfg = cfg

    @property
    def ranked(self) -> frozenset[ids.RouterId]:
        """Members that hold a rank."""
        return self._ranked

    @property
    def quorate(self) -> bool:
        """Whether more than half of the members are present.

        Only a side with a majority admits: otherwise both sides of a network
        partition would confirm the other as gone and admit the whole cap.
        """
        return self._quorate

    def update(
        self,
        members: typing.Iterable[messages.Member],
        listed: typing.Collection[ids.RouterId] | None,
        now: float,
    ) -> None:
        """Take the newest view of the membership.

        :param members: all members of the region, dead ones included.
        :param listed: the platform's host list, nothing when unknown.
        """
        base: set[ids.RouterId] = {self._router}
        present: set[ids.RouterId] = {self._router}
        for member in members:
            alive = member.state in _PRESENT
            if member.state == messages.MemberState.ALIVE:
                self._left.discard(member.router)
            if member.router in self._left:
                continue
            if alive:
                present.add(member.router)
            if alive or listed is None or member.router in listed:
                base.add(member.router)
        self._dead_since = {
            router: self._dead_since.get(router, now)
            for router in base - present
        }
        self._quorate = _majority(present, base)
        self._set_ranked(
            frozenset(
                router
                for router in base
                if now - self._dead_since.get(router, now) < self._cfg.confirm_s
            ),
        )

    def leave(self, router: ids.RouterId) -> None:
        """Drop the rank of a router that has handed over and stops."""
        self._left.add(router)
        self._set_ranked(self._ranked - {router})

    def has_left(self, router: ids.RouterId) -> bool:
        """Tell whether a router has handed over and stopped."""
        return router in self._left

    def target(
        self,
        engine: ids.EngineId,
        *,
        other: bool = False,
    ) -> ids.RouterId:
        """Return the router to ask for an engine.

        It is the first in rank, or the second while the first does not answer.

        :param other: return the other one of the two.
        """
        order = self.order(engine)
        turned = order[0] in self._dead_since and (
            order[-1] not in self._dead_since
        )
        return order[-1 if turned != other else 0]

    def order(self, engine: ids.EngineId) -> tuple[ids.RouterId, ...]:
        """Return the first and the second in rank for an engine."""
        found = self._orders.get(engine)
        if found is None:
            found = tuple(hashing.rank(engine, self._ranked, 2))
            self._orders[engine] = found
        return found

    def precedes(
        self,
        one: ids.RouterId,
        other: ids.RouterId,
        engine: ids.EngineId,
    ) -> bool:
        """Tell whether a router ranks before another, known or not."""
        return hashing.rank(engine, (one, other))[0] == one

    def _set_ranked(self, ranked: frozenset[ids.RouterId]) -> None:
        """Take the ranked members and mend only the orders that change."""
        if ranked == self._ranked:
            return
        joined = ranked - self._ranked
        gone = self._ranked - ranked
        self._ranked = ranked
        self.version += 1
        for engine, order in list(self._orders.items()):
            if not gone.isdisjoint(order):
                self._orders.pop(engine)
            elif joined:
                self._orders[engine] = tuple(
                    hashing.rank(engine, joined.union(order), 2),
                )


def _majority(
    present: set[ids.RouterId],
    base: set[ids.RouterId],
) -> bool:
    """Tell whether present members are a majority; the lowest id breaks ties."""
    doubled = 2 * len(present)
    if doubled == len(base):
        return min(base) in present
    return doubled > len(base)
