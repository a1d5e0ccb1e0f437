"""Replicas of the services, as the platform lists them and as they say.

Answers outages of the store: entries of live replicas lapse with it and come
back shortly after, so a removal counts at once only while the store is calm.

A replica that leaves says so in its entry or in its answers, whichever comes
first, and never takes it back: only another start of it takes new work again.
So an entry that says "ready" loses against either word of the same start, and
an entry of an earlier start says nothing about the present one.
"""

import collections
import enum
import typing

import msgspec

from papayaloom import ids
from papayaloom.process import lapses

ReplicaId = typing.NewType('ReplicaId', str)
# Leaving replicas that are remembered after their entries are gone.
_KEPT_LEAVING = 4096


class State(enum.Enum):
    """What a replica says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


class Replica(msgspec.Struct, frozen=True):
    """A listed replica.

    :param address: host and port.
    :param slots: requests that it runs at once.
    :param born: start of its process, Unix milliseconds; 0 if it is not told.
    """

    id: ReplicaId
    service: ids.ServiceId
    address: tuple[str, int]
    zone: str = ''
    slots: int = 1
    state: State = State.READY
    born: int = 0

    @property
    def start(self) -> tuple[int, tuple[str, int]]:
        """What tells one start of a replica from another."""
        return self.born, self.address


class Cfg(msgspec.Struct, frozen=True):
    """Bounds on lapsed entries.

    :param lapse_s: time after an outage within which lapsed entries return.
    :param first_lapse_s: the same for a host that has just started; below the
        time within which a removal has to be heeded while the store is calm.
    :param newcomer_s: a replica known for less than that has an empty cache.
    """

    lapse_s: float = 2.2
    first_lapse_s: float = 1.7
    newcomer_s: float = 8


class Replicas:
    """Replicas known to one router."""

    def __init__(self, cfg: Cfg) -> None:
        """Start without replicas and with the store away."""
        self._cfg = cfg
        self._known: dict[ReplicaId, Replica] = {}
        self._since: dict[ReplicaId, float] = {}
        # Starts that said that they leave, the latest word last.
        self._leaving: collections.OrderedDict[
            ReplicaId, tuple[int, tuple[str, int]]
        ] = collections.OrderedDict()
        self.lapses: lapses.Lapses[ReplicaId] = lapses.Lapses(
            cfg.lapse_s, cfg.first_lapse_s
        )

    def update(self, replica: Replica, now: float) -> bool:
        """Take an entry.

        :returns: whether it is another process than before.
        """
        known = self._known.get(replica.id)
        if known is not None and replica.born < known.born:
            return False
        if known is None or known.born != replica.born:
            self._since[replica.id] = now
        self._known[replica.id] = self._with_own_word(replica)
        self.lapses.returned(replica.id)
        return known is not None and known.start != replica.start

    def leave(self, replica: Replica) -> bool:
        """Take a replica's own word that it leaves.

        :param replica: the start that said so; an answer may come late.
        :returns: whether it is news.
        """
        known = self._known.get(replica.id)
        if known is None:
            # Its entry may have lapsed, and may come back.
            self._remember_leaving(replica)
            return True
        if known.start != replica.start:
            return False
        self._remember_leaving(replica)
        self._known[replica.id] = self._with_own_word(known)
        return known.state is not State.DRAINING

    def remove(self, replica: ReplicaId, now: float) -> bool:
        """Take the removal of an entry.

        :returns: whether the replica is gone for good.
        """
        known = self._known.get(replica)
        if known is None:
            return False
        is_leaving = known.state is State.DRAINING
        if is_leaving or not self.lapses.is_doubtful(replica, now):
            self._forget(replica)
            return True
        return False

    def replace(
        self, listed: typing.Iterable[Replica], now: float
    ) -> list[ReplicaId]:
        """Take a whole listing.

        :returns: replicas that are gone or are another process now.
        """
        entries = {one.id: one for one in listed}
        changed = [one.id for one in entries.values() if self.update(one, now)]
        absent = [one for one in self._known if one not in entries]
        return changed + [one for one in absent if self.remove(one, now)]

    def tick(self, now: float) -> list[ReplicaId]:
        """Drop replicas whose entry did not come back; returns them."""
        gone = self.lapses.expired(now)
        for replica in gone:
            self._forget(replica)
        return gone

    def ready(self, service: ids.ServiceId, now: float) -> list[Replica]:
        """Return the replicas of a service that take new work."""
        return [
            one
            for one in self._known.values()
            if one.service == service
            and one.state is State.READY
            and not self.lapses.is_overdue(one.id, now)
        ]

    def listed(self, service: ids.ServiceId) -> list[Replica]:
        """Return all replicas of a service, draining ones included."""
        return [one for one in self._known.values() if one.service == service]

    def newcomers(self, service: ids.ServiceId, now: float) -> frozenset[str]:
        """Return the replicas of a service that have just started.

        When all are new, they are as old as this router's own view.
        """
        young = frozenset(
            one.id
            for one in self.listed(service)
            if now - self._since[one.id] < self._cfg.newcomer_s
        )
        everyone = {one.id for one in self.listed(service)}
        return frozenset() if young == everyone else young

    def find(self, replica: ReplicaId) -> Replica | None:
        """Return a replica, draining ones included."""
        return self._known.get(replica)

    def dump(self) -> list[Replica]:
        """Return all replicas."""
        return list(self._known.values())

    def _with_own_word(self, replica: Replica) -> Replica:
        """Return an entry with what this start has said before."""
        if replica.state is State.DRAINING:
            self._remember_leaving(replica)
            return replica
        if self._leaving.get(replica.id) != replica.start:
            return replica
        return msgspec.structs.replace(replica, state=State.DRAINING)

    def _remember_leaving(self, replica: Replica) -> None:
        remembered = self._leaving.get(replica.id, replica.start)
        if replica.start < remembered:
            return
        self._leaving[replica.id] = replica.start
        self._leaving.move_to_end(replica.id)
        while len(self._leaving) > _KEPT_LEAVING:
            self._leaving.popitem(last=False)

    def _forget(self, replica: ReplicaId) -> None:
        self._known.pop(replica, None)
        self._since.pop(replica, None)
        self.lapses.returned(replica)
