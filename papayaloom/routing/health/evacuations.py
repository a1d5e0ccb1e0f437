"""Availability zones that operators have evacuated.

Handles this load pattern: the traffic of a zone moves to the other zones at
once, and returns to replicas with empty caches. A sudden return would make all
of them process their prefixes at the same time, so it takes some seconds. All
routers move the same prefixes at the same time, without communicating.
"""

import random
import typing

import msgspec

from papayaloom import hashing
from papayaloom.routing import replicas

# Time in which the replicas of a returned zone get back all their prefixes.
_RAMP_S = 5.0
# Time from the return in which replicas are no source of prompt caches.
_UNCACHED_S = 8.0
# Longer than any replica stays cold after the return.
_REMEMBERED_S = 600.0
_HASHES = 2**64


class Changes(msgspec.Struct, frozen=True):
    """Zones whose state a listing changed."""

    evacuated: tuple[str, ...] = ()
    returned: tuple[str, ...] = ()


class Evacuations:
    """Evacuated zones, as known to one router."""

    def __init__(self) -> None:
        """Initialise with all zones in service."""
        self._evacuated_at: dict[str, float] = {}
        self._returned_at: dict[str, float] = {}
        # Evacuated zones that a possibly older listing lacked, or that only a
        # snapshot had.
        self._unconfirmed: set[str] = set()

    @property
    def zones(self) -> frozenset[str]:
        """Evacuated zones."""
        return frozenset(self._evacuated_at)

    @property
    def unconfirmed(self) -> frozenset[str]:
        """Evacuated zones that only a newer listing can confirm or end."""
        return frozenset(self._unconfirmed)

    def evacuate(self, zone: str, now: float) -> bool:
        """Take a zone out of service.

        :returns: whether it was in service.
        """
        self._unconfirmed.discard(zone)
        self._returned_at.pop(zone, None)
        if zone in self._evacuated_at:
            return False
        self._evacuated_at[zone] = now
        return True

    def end(self, zone: str, now: float) -> bool:
        """Bring a zone back into service.

        :returns: whether it was evacuated.
        """
        self._unconfirmed.discard(zone)
        if self._evacuated_at.pop(zone, None) is None:
            return False
        self._returned_at = {
            one: at
            for one, at in self._returned_at.items()
            if now - at < _REMEMBERED_S
        }
        self._returned_at[zone] = now
        return True

    def replace(
        self,
        zones: typing.Iterable[str],
        now: float,
        *,
        is_older: bool,
        is_snapshot: bool = False,
    ) -> Changes:
        """Apply a complete listing of the evacuated zones.

        :param is_older: the listing may be older than what is known, so it ends
            no evacuation.
        :param is_snapshot: the listing comes from another router, so what it
            evacuates may have ended.
        """
        listed = set(zones)
        unconfirmed = frozenset(self._unconfirmed)
        absent = sorted(self._evacuated_at.keys() - listed)
        evacuated = [one for one in sorted(listed) if self.evacuate(one, now)]
        if is_snapshot:
            self._unconfirmed.update(unconfirmed, evacuated)
        if is_older:
            self._unconfirmed.update(absent)
            return Changes(tuple(evacuated))
        return Changes(
            tuple(evacuated), tuple(one for one in absent if self.end(one, now))
        )

    def is_evacuated(self, zone: str) -> bool:
        """Whether nothing may be sent to the replicas of a zone."""
        return zone in self._evacuated_at

    def returned_s(self, zone: str, now: float) -> float:
        """Return the time since the return of a zone; infinity without one."""
        return now - self._returned_at.get(zone, float('-inf'))

    def in_service(
        self, listed: list[replicas.Replica]
    ) -> list[replicas.Replica]:
        """Return the replicas that are not in an evacuated zone."""
        if not self._evacuated_at:
            return listed
        return [one for one in listed if one.zone not in self._evacuated_at]

    def evacuated_replicas(
        self, listed: typing.Iterable[replicas.Replica]
    ) -> list[replicas.ReplicaId]:
        """Return the replicas to which no connection is kept."""
        if not self._evacuated_at:
            return []
        return [one.id for one in listed if one.zone in self._evacuated_at]

    def ramped(
        self,
        candidates: list[replicas.Replica],
        prefix: str,
        now: float,
        rng: random.Random,
    ) -> list[replicas.Replica]:
        """Leave out candidates of returned zones that have not got all back.

        Returns all of them if none would be left.
        """
        partial = [
            zone for zone in self._returned_at if self._share(zone, now) < 1
        ]
        excluded = {
            zone
            for zone in partial
            if _point(prefix, zone, rng) >= self._share(zone, now)
        }
        if not excluded:
            return candidates
        return [
            one for one in candidates if one.zone not in excluded
        ] or candidates

    def uncached(
        self, listed: typing.Iterable[replicas.Replica], now: float
    ) -> frozenset[str]:
        """Return the replicas that have little cached since the return."""
        zones = {
            zone
            for zone in self._returned_at
            if self.returned_s(zone, now) < _UNCACHED_S
        }
        if not zones:
            return frozenset()
        return frozenset(one.id for one in listed if one.zone in zones)

    def dump(self, now: float) -> dict[str, object]:
        """Return the state for the operator's dump, in seconds."""
        return {
            'evacuated_s': {
                zone: now - at for zone, at in self._evacuated_at.items()
            },
            'returned_s': {
                zone: now - at for zone, at in self._returned_at.items()
            },
            'unconfirmed': sorted(self._unconfirmed),
        }

    def _share(self, zone: str, now: float) -> float:
        """Return the share of its prefixes that a returned zone gets."""
        return self.returned_s(zone, now) / _RAMP_S


def _point(prefix: str, zone: str, rng: random.Random) -> float:
    """Return the share from which on a zone gets a request, in [0, 1)."""
    if not prefix:
        return rng.random()
    return hashing.weight(f'return of {zone}', prefix) / _HASHES
