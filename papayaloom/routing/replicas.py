"""Replicas of the services, from the platform's listing and their own status.

During a store outage, the entries of live replicas lapse and are restored
shortly after, so a removal takes effect immediately only while the store is
stable.

A replica that shuts down announces it in its entry or in a response, whichever
comes first, and never revokes it: only its next start takes new work again. An
entry with the state "ready" is therefore overridden by either announcement of
the same start, and an entry of an earlier start does not affect the present one.
"""

import collections
import enum
import typing

import msgspec

from papayaloom import ids
from papayaloom.routing.health import lapses

ReplicaId = typing.NewType('ReplicaId', str)
ReplicaStart = typing.NewType('ReplicaStart', str)
# Announced shutdowns and removed starts to remember.
_MAX_REMEMBERED = 4096


class State(enum.Enum):
    """State that a replica reports."""

    READY = 'ready'
    DRAINING = 'draining'


class Replica(msgspec.Struct, frozen=True):
    """A listed replica.

    :param address: host and port.
    :param slots: number of requests that it runs concurrently; 0 if unknown.
    :param born: start of its process, Unix milliseconds; 0 if unknown.
    :param cold_s: rest of its warm-up when its entry was written; None if that
        field is malformed.
    """

    id: ReplicaId
    service: ids.ServiceId
    address: tuple[str, int]
    zone: str = ''
    slots: int = 0
    state: State = State.READY
    born: int = 0
    cold_s: float | None = 0

    @property
    def incarnation(self) -> tuple[int, tuple[str, int]]:
        """Identity of one start of the replica."""
        return self.born, self.address


def start_id(replica: Replica) -> ReplicaStart:
    """Return an identifier for one start of a replica."""
    host, port = replica.address
    return ReplicaStart(f'{replica.id}/{replica.born}/{host}:{port}')


OnEntry = typing.Callable[[Replica | None, Replica, bool, float], object]


class Cfg(msgspec.Struct, frozen=True):
    """Grace periods for entries.

    :param lapse_s: time after an outage within which lapsed entries return.
    :param first_lapse_s: the same for a host that has just started; must be
        below the time within which a removal must take effect while the store
        is stable.
    :param min_outage_s: calls to the store that fail for a shorter time let no
        entry of a live replica lapse. That takes two liveness reports, 1.2 s
        apart, of which a host behind relays may notice 1.2 s less.
    :param newcomer_s: a replica known for less than this time is assumed to
        have an empty cache.
    """

    lapse_s: float = 2.2
    first_lapse_s: float = 1.7
    min_outage_s: float = 1.0
    newcomer_s: float = 8


class Replicas:
    """Replicas known to one router."""

    def __init__(self, cfg: Cfg) -> None:
        """Initialise without replicas, with the store considered unavailable."""
        self._cfg = cfg
        self._known: dict[ReplicaId, Replica] = {}
        self._first_seen: dict[ReplicaId, float] = {}
        # Starts that announced their shutdown, the latest announcement last.
        self._leaving: collections.OrderedDict[
            ReplicaId, tuple[int, tuple[str, int]]
        ] = collections.OrderedDict()
        # Starts that were removed, the latest removal last.
        self._removed: collections.OrderedDict[
            ReplicaId, tuple[int, tuple[str, int]]
        ] = collections.OrderedDict()
        self._is_listed = False
        # Called for each entry with what was known of the replica before, and
        # whether it is a start that this router has not known.
        self.on_entry: OnEntry = _ignore_entry
        self.lapses: lapses.Lapses[ReplicaId] = lapses.Lapses(
            cfg.lapse_s, cfg.first_lapse_s, cfg.min_outage_s
        )

    def update(self, replica: Replica, now: float) -> bool:
        """Apply an entry of the listing.

        :returns: whether the replica has restarted.
        """
        known = self._known.get(replica.id)
        if known is not None and replica.born < known.born:
            return False
        if known is None or known.born != replica.born:
            self._first_seen[replica.id] = now
        self.on_entry(known, replica, self._is_new_start(replica), now)
        self._known[replica.id] = self._with_announced_state(replica)
        self._removed.pop(replica.id, None)
        self.lapses.mark_present(replica.id)
        return known is not None and known.incarnation != replica.incarnation

    def mark_leaving(self, replica: Replica) -> bool:
        """Record that a replica announced its shutdown in a response.

        :param replica: the start that announced it, which may not be the
            present one if the response was late.
        :returns: whether the announcement is new.
        """
        known = self._known.get(replica.id)
        if known is None:
            # Its entry may have lapsed and be restored later.
            self._remember_leaving(replica)
            return True
        if known.incarnation != replica.incarnation:
            return False
        self._remember_leaving(replica)
        self._known[replica.id] = self._with_announced_state(known)
        return known.state is not State.DRAINING

    def remove(self, replica: ReplicaId, now: float) -> bool:
        """Apply the removal of an entry.

        :returns: whether the replica was removed, not kept as a possible lapse.
        """
        known = self._known.get(replica)
        if known is None:
            return False
        is_leaving = known.state is State.DRAINING
        if is_leaving or not self.lapses.may_be_lapsed(replica, now):
            self._forget(replica)
            return True
        return False

    def replace(
        self,
        listed: typing.Iterable[Replica],
        now: float,
        *,
        is_older: bool = False,
    ) -> list[ReplicaId]:
        """Apply a complete listing.

        :param is_older: the listing may be older than what is known, so it does
            not bring back a start that was removed; a later change does.
        :returns: replicas that were removed or have restarted.
        """
        entries = {
            one.id: one
            for one in listed
            if not is_older or self._removed.get(one.id) != one.incarnation
        }
        changed = [one.id for one in entries.values() if self.update(one, now)]
        self._is_listed = True
        absent = [one for one in self._known if one not in entries]
        return changed + [one for one in absent if self.remove(one, now)]

    def tick(self, now: float) -> list[ReplicaId]:
        """Remove and return the replicas whose grace period has ended."""
        removed = self.lapses.pop_expired(now)
        for replica in removed:
            self._forget(replica)
        return removed

    def ready(self, service: ids.ServiceId, now: float) -> list[Replica]:
        """Return the replicas of a service that accept new requests."""
        return [
            one
            for one in self._known.values()
            if one.service == service
            and one.state is State.READY
            and not self.lapses.is_overdue(one.id, now)
        ]

    def listed(self, service: ids.ServiceId) -> list[Replica]:
        """Return all replicas of a service, including draining ones."""
        return [one for one in self._known.values() if one.service == service]

    def recently_started(
        self, service: ids.ServiceId, now: float
    ) -> frozenset[str]:
        """Return the replicas of a service that started recently.

        Returns none if all are recent: then it is the view of this router that
        is new.
        """
        recent = frozenset(
            one.id
            for one in self.listed(service)
            if now - self._first_seen[one.id] < self._cfg.newcomer_s
        )
        all_ids = {one.id for one in self.listed(service)}
        return frozenset() if recent == all_ids else recent

    def find(self, replica: ReplicaId) -> Replica | None:
        """Return a replica, which may be draining."""
        return self._known.get(replica)

    def dump(self) -> list[Replica]:
        """Return all replicas."""
        return list(self._known.values())

    def _is_new_start(self, replica: Replica) -> bool:
        """Whether an entry is of a start that this router has not known.

        Not those of its first listing, and not those that return after an
        outage of the store.
        """
        known = self._known.get(replica.id)
        incarnation = known.incarnation if known else None
        return self._is_listed and replica.incarnation not in {
            incarnation,
            self._removed.get(replica.id),
        }

    def _with_announced_state(self, replica: Replica) -> Replica:
        """Return an entry as draining if its start announced a shutdown."""
        if replica.state is State.DRAINING:
            self._remember_leaving(replica)
            return replica
        if self._leaving.get(replica.id) != replica.incarnation:
            return replica
        return msgspec.structs.replace(replica, state=State.DRAINING)

    def _remember_leaving(self, replica: Replica) -> None:
        remembered = self._leaving.get(replica.id, replica.incarnation)
        if replica.incarnation < remembered:
            return
        self._leaving[replica.id] = replica.incarnation
        self._leaving.move_to_end(replica.id)
        while len(self._leaving) > _MAX_REMEMBERED:
            self._leaving.popitem(last=False)

    def _forget(self, replica: ReplicaId) -> None:
        known = self._known.pop(replica, None)
        if known is not None:
            self._removed[replica] = known.incarnation
            self._removed.move_to_end(replica)
        while len(self._removed) > _MAX_REMEMBERED:
            self._removed.popitem(last=False)
        self._first_seen.pop(replica, None)
        self.lapses.mark_present(replica)


def _ignore_entry(
    before: Replica | None, replica: Replica, is_new_start: bool, now: float
) -> None:
    """Do nothing."""
