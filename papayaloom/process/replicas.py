"""Replicas of the services, as the platform lists them.

Answers outages of the store: entries of live replicas lapse with it and come
back shortly after, so a removal counts at once only while the store is calm.
"""

import enum
import typing

import msgspec

from papayaloom import ids

ReplicaId = typing.NewType('ReplicaId', str)


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


class Cfg(msgspec.Struct, frozen=True):
    """Bounds on lapsed entries.

    :param lapse_s: time after an outage within which lapsed entries return.
    """

    lapse_s: float = 2.2


class Replicas:
    """Replicas known to one router."""

    def __init__(self, cfg: Cfg) -> None:
        """Start without replicas and with the store away."""
        self._cfg = cfg
        self._known: dict[ReplicaId, Replica] = {}
        # Replicas whose entry lapsed in an outage, with the end of the grace.
        self._missing: dict[ReplicaId, float] = {}
        self._back_at: float | None = None

    def store_failed(self) -> None:
        """Note that the store does not answer."""
        self._back_at = None

    def store_answered(self, now: float) -> None:
        """Note an answer of the store."""
        if self._back_at is None:
            self._back_at = now

    def update(self, replica: Replica) -> bool:
        """Take an entry.

        :returns: whether it is another process than before.
        """
        known = self._known.get(replica.id)
        self._known[replica.id] = replica
        self._missing.pop(replica.id, None)
        return known is not None and (
            (known.born, known.address) != (replica.born, replica.address)
        )

    def remove(self, replica: ReplicaId, now: float) -> bool:
        """Take the removal of an entry.

        :returns: whether the replica is gone for good.
        """
        known = self._known.get(replica)
        if known is None:
            return False
        until = self._grace_end(now)
        if until is None or known.state is State.DRAINING:
            self._forget(replica)
            return True
        self._missing.setdefault(replica, until)
        return False

    def replace(
        self, listed: typing.Iterable[Replica], now: float
    ) -> list[ReplicaId]:
        """Take a whole listing.

        :returns: replicas that are gone or are another process now.
        """
        entries = {one.id: one for one in listed}
        changed = [one.id for one in entries.values() if self.update(one)]
        absent = [one for one in self._known if one not in entries]
        return changed + [one for one in absent if self.remove(one, now)]

    def tick(self, now: float) -> list[ReplicaId]:
        """Drop replicas whose entry did not come back; returns them."""
        if self._back_at is None:
            return []
        gone = [one for one, until in self._missing.items() if now >= until]
        for replica in gone:
            self._forget(replica)
        return gone

    def ready(self, service: ids.ServiceId) -> list[Replica]:
        """Return the replicas of a service that take new work."""
        return [
            one
            for one in self._known.values()
            if one.service == service and one.state is State.READY
        ]

    def find(self, replica: ReplicaId) -> Replica | None:
        """Return a replica, draining ones included."""
        return self._known.get(replica)

    def dump(self) -> list[Replica]:
        """Return all replicas."""
        return list(self._known.values())

    def _grace_end(self, now: float) -> float | None:
        """Return how long a removal is doubted; None if it counts at once."""
        if self._back_at is None:
            return now + self._cfg.lapse_s
        end = self._back_at + self._cfg.lapse_s
        return end if now < end else None

    def _forget(self, replica: ReplicaId) -> None:
        self._known.pop(replica, None)
        self._missing.pop(replica, None)
