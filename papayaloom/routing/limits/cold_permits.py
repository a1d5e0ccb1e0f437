"""Which requests a router may send to a cold replica now.

All routers together must not exceed the rate that a cold replica tolerates, and
each decides alone, with a view of the fleet that may be old. A few routers own the
permits of each cold replica: the first in rank among the routers, as many as the
replica takes requests a second. Each of them sends at most one request a second,
as long as there are enough of them. The bound then allows for nearly twice as many
owners as there should be, whatever their clocks and however sudden a burst is.

A router that has just started, that is not registered, or that has not heard of
the store for some time, may be an owner in its own eyes only. It has no permits
until it has been in touch for long enough that all routers know each other.
"""

import math
import typing

import msgspec

from papayaloom import hashing
from papayaloom.routing import replicas

# With store data older than this, other routers may be missing.
_MAX_AGE_S = 3.0
# A change of the fleet reaches all routers within 2.4 s, and is taken over by each
# within another second.
_SETTLE_S = 4.0
# A router that has left may still send until it notices, at the latest when its
# data from the store is too old.
_LEFT_HOLD_S = _MAX_AGE_S + _SETTLE_S
_MAX_REPLICAS = 4096


class Cfg(msgspec.Struct, frozen=True):
    """Bound on the requests that a cold replica gets in any second.

    :param factor: multiple of the rate that it tolerates.
    :param slack: requests allowed on top of that.
    """

    factor: float
    slack: float

    def most(self, per_s: float) -> int:
        """Return the largest number of requests in a second.

        :param per_s: rate that the replica tolerates.
        """
        return math.floor(per_s * self.factor + self.slack)


class Fleet(msgspec.Struct, frozen=True):
    """The routers of the fleet as this router knows them.

    :param me: name of this router.
    :param names: names of all routers.
    :param is_registered: whether the store has an entry for this router.
    :param age_s: time since the last answer of the store, direct or relayed.
    """

    me: str
    names: typing.Collection[str]
    is_registered: bool
    age_s: float


class Pace(msgspec.Struct, frozen=True):
    """How the permits of a replica are divided.

    :param owners: number of routers that share them.
    :param interval_s: shortest time between two requests of an owner.
    """

    owners: int
    interval_s: float


def pace(per_s: float, most: int, routers: int) -> Pace:
    """Return the division of a rate among the routers.

    :param per_s: rate for all routers together.
    :param most: largest number of requests in any second; at least one.
    """
    owners = max(min(math.ceil(per_s), most, routers), 1)
    in_one_second = min(math.ceil(per_s / owners), most // owners)
    return Pace(owners, max(owners / per_s, 1 / in_one_second))


class ColdPermits:
    """Permits of one router for cold replicas."""

    def __init__(self, cfg: Cfg) -> None:
        """Initialise without permits: the fleet is not known."""
        self._cfg = cfg
        self._me = ''
        self._seen_at: dict[str, float] = {}
        self._settled_at = math.inf
        self._known_until = -math.inf
        self._ranks: dict[replicas.ReplicaId, int] = {}
        self._next_at: dict[replicas.ReplicaId, float] = {}

    def update_fleet(self, fleet: Fleet, now: float) -> None:
        """Record the routers of the fleet."""
        is_known = fleet.is_registered and fleet.age_s < _MAX_AGE_S
        if not is_known:
            self._settled_at = math.inf
        elif now >= self._known_until or self._settled_at == math.inf:
            self._settled_at = now + _SETTLE_S
        if is_known:
            self._known_until = now + _MAX_AGE_S - fleet.age_s
        self._me = fleet.me
        before = self._seen_at.keys()
        seen_at = {
            **self._seen_at,
            **dict.fromkeys((*fleet.names, fleet.me), now),
        }
        seen_at = {
            name: at for name, at in seen_at.items() if now - at < _LEFT_HOLD_S
        }
        if seen_at.keys() != before:
            self._ranks.clear()
        self._seen_at = seen_at

    def allows(
        self,
        replica: replicas.Replica,
        per_s: float,
        now: float,
        *,
        is_settled: bool = True,
    ) -> bool:
        """Tell whether a cold replica may get a request.

        :param per_s: rate that it tolerates.
        :param is_settled: whether the other routers know that it is cold. If
            not, they may send it requests without permits, and fewer routers
            have permits meanwhile.
        """
        if not self.has_permits(now):
            return False
        most = self._cfg.most(per_s)
        if most < 1 or now < self._next_at.get(replica.id, -math.inf):
            return False
        owners = pace(per_s, most, len(self._seen_at)).owners
        if not is_settled:
            owners = max(owners // 2, 1)
        return self.rank(replica.id) < owners

    def spend(
        self, replica: replicas.Replica, per_s: float, now: float
    ) -> None:
        """Count a request to a cold replica."""
        divided = pace(per_s, self._cfg.most(per_s), len(self._seen_at))
        # The least recently used replica is dropped first.
        self._next_at.pop(replica.id, None)
        self._next_at[replica.id] = now + divided.interval_s
        if len(self._next_at) > _MAX_REPLICAS:
            self._next_at.pop(next(iter(self._next_at)))

    def has_permits(self, now: float) -> bool:
        """Whether this router is in touch with the fleet for long enough."""
        return self._settled_at <= now < self._known_until

    def rank(self, replica: replicas.ReplicaId) -> int:
        """Return the rank of this router for a replica, from 0."""
        rank = self._ranks.get(replica)
        if rank is None:
            own = hashing.weight(replica, self._me), self._me
            rank = sum(
                (hashing.weight(replica, name), name) > own
                for name in self._seen_at
            )
            if len(self._ranks) >= _MAX_REPLICAS:
                self._ranks.clear()
            self._ranks[replica] = rank
        return rank
