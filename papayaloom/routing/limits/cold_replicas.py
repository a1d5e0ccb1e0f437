"""Which replicas are cold, and until when, as one router knows it.

Answers the load pattern of replicas that need a warm-up after a start, and at
times later: under their usual load they would crash. What a router knows is up to
some seconds old. The rest of a warm-up counts from the receipt of the report, so
that a router never takes a replica for warm too early. A replica that has become
warm gets its usual load in steps.
"""

import collections
import enum
import math
import random
import typing

import msgspec

from papayaloom import hashing, ids
from papayaloom.routing import replicas
from papayaloom.version import routes

# Steps in which a replica that has become warm gets its usual load: its share of
# the requests, and the multiple of its cold rate that it may get beyond them.
_RAMP_SHARES = (0.25, 0.5, 0.75)
_RAMP_RATES = (2, 3, 4)
_RAMP_STEP_S = 1.0
_RAMP_S = _RAMP_STEP_S * len(_RAMP_SHARES)
# Longest time after which all routers have heard of a cold replica.
_PROPAGATION_S = 2.5
_HASHES = 2**64
# Changes that are kept for the log.
_MAX_CHANGES = 256


class Source(enum.Enum):
    """What said that a replica is cold."""

    START = 'start'
    ENTRY = 'entry'
    RESPONSE = 'response'
    END = 'end'


class Change(msgspec.Struct, frozen=True):
    """A replica that was found to be cold, for the log.

    :param cold_s: rest of its warm-up; None if its entry states a malformed one,
        which is ignored.
    """

    replica: replicas.ReplicaId
    born: int
    cold_s: float | None
    source: Source


class _WarmUp(msgspec.Struct, frozen=True):
    """The warm-up of a replica.

    :param until: monotonic time of its end.
    :param settled_at: time from which all routers have heard of it, likely.
    """

    incarnation: tuple[int, tuple[str, int]]
    until: float
    settled_at: float


class Split(msgspec.Struct, frozen=True):
    """Replicas by what they may get.

    :param warm: warm replicas; of those that have just become warm the ones
        whose share this request belongs to.
    :param ramping: the other replicas that have just become warm.
    :param cold: replicas that get nothing without a permit.
    """

    warm: list[replicas.Replica]
    ramping: list[replicas.Replica]
    cold: list[replicas.Replica]


def never_returned(zone: str, now: float) -> float:
    """Return infinity: no zone has been evacuated."""
    return math.inf


ReturnedS = typing.Callable[[str, float], float]


class ColdReplicas:
    """Warm-ups of the replicas of all services.

    :param returned_s: returns the time since a zone was returned after an
        evacuation, or infinity.
    """

    def __init__(self, rng: random.Random, returned_s: ReturnedS) -> None:
        """Initialise without cold replicas."""
        self._rng = rng
        self._returned_s = returned_s
        self._services: dict[ids.ServiceId, routes.Service] = {}
        self._warm_ups: dict[replicas.ReplicaId, _WarmUp] = {}
        self._changes: collections.deque[Change] = collections.deque(
            maxlen=_MAX_CHANGES
        )

    def configure(self, services: typing.Iterable[routes.Service]) -> None:
        """Set the services whose replicas need a warm-up."""
        self._services = {
            one.name: one for one in services if one.cold_per_s > 0
        }

    def has_warm_ups(self, service: ids.ServiceId) -> bool:
        """Whether the replicas of a service need a warm-up."""
        return service in self._services

    def record_entry(
        self,
        before: replicas.Replica | None,
        replica: replicas.Replica,
        is_new_start: bool,
        now: float,
    ) -> None:
        """Record the entry of a replica.

        An entry that says the same as the one before may have been written
        long ago.

        :param before: what was known of the replica; None if nothing.
        :param is_new_start: this start was not known, and is not among those
            that the router found when it started itself.
        """
        if replica.cold_s is None and (
            before is None or before.cold_s is not None
        ):
            self._changes.append(
                Change(replica.id, replica.born, None, Source.ENTRY)
            )
        cold_s = replica.cold_s or 0
        if is_new_start:
            known = self._services.get(replica.service)
            after_start_s = known.cold_s if known else 0
            is_at_same_place = (
                before is not None and before.address == replica.address
            )
            self._extend(
                replica,
                max(cold_s, after_start_s),
                Source.START,
                now,
                # Another address is known to no router that has not heard.
                now + _PROPAGATION_S if is_at_same_place else now,
            )
        elif before is None or before.cold_s != replica.cold_s:
            self._extend(
                replica, cold_s, Source.ENTRY, now, now + _PROPAGATION_S
            )

    def record_response(
        self, replica: replicas.Replica, cold_s: float, now: float
    ) -> None:
        """Record the rest of the warm-up that a response states.

        It is exact, and may shorten what is known.
        """
        known = self._warm_ups.get(replica.id)
        if known is not None and known.incarnation == replica.incarnation:
            if now < known.until:
                self._warm_ups[replica.id] = msgspec.structs.replace(
                    known, until=now + cold_s
                )
                return
        elif known is not None and known.incarnation > replica.incarnation:
            return
        self._extend(
            replica, cold_s, Source.RESPONSE, now, now + _PROPAGATION_S
        )

    def record_end(self, replica: replicas.Replica | None, now: float) -> None:
        """Record that the process of a replica ended during an attempt.

        Its next start is cold, and its entry may arrive later than requests
        reach that start.
        """
        service = self._services.get(replica.service) if replica else None
        if replica is not None and service is not None:
            settled_at = now + _PROPAGATION_S
            self._extend(replica, service.cold_s, Source.END, now, settled_at)

    def split(
        self,
        candidates: typing.Sequence[replicas.Replica],
        prefix: str,
        now: float,
    ) -> Split:
        """Divide the candidates for a request by what they may get."""
        zones = {one.zone for one in candidates}
        since_return_s = {zone: self._returned_s(zone, now) for zone in zones}
        if self._warm_ups:
            self._drop_ended(now)
        if not self._warm_ups and min(since_return_s.values()) == math.inf:
            return Split(list(candidates), [], [])
        split = Split([], [], [])
        for one in candidates:
            warm_s = self._warm_s(one, since_return_s[one.zone], now)
            if warm_s < 0:
                split.cold.append(one)
            elif warm_s >= _RAMP_S or self._is_in_step(one, prefix, warm_s):
                split.warm.append(one)
            else:
                split.ramping.append(one)
        return split

    def is_cold(self, replica: replicas.Replica, now: float) -> bool:
        """Whether a replica of a service with a cold rate is cold."""
        if replica.service not in self._services:
            return False
        returned_s = self._returned_s(replica.zone, now)
        return self._warm_s(replica, returned_s, now) < 0

    def permitted_per_s(self, replica: replicas.Replica, now: float) -> float:
        """Return the rate for which there are permits."""
        per_s = self._services[replica.service].cold_per_s
        returned_s = self._returned_s(replica.zone, now)
        warm_s = self._warm_s(replica, returned_s, now)
        if warm_s < 0:
            return per_s
        step = min(int(warm_s / _RAMP_STEP_S), len(_RAMP_RATES) - 1)
        return per_s * _RAMP_RATES[step]

    def is_settled(self, replica: replicas.Replica, now: float) -> bool:
        """Whether all routers know by now, likely, that a replica is cold."""
        known = self._warm_ups.get(replica.id)
        return known is None or now >= known.settled_at

    def pop_changes(self) -> list[Change]:
        """Return and drop what has changed since the last call."""
        changes = list(self._changes)
        self._changes.clear()
        return changes

    def dump(self, now: float) -> dict[str, float]:
        """Return the rest of each warm-up in seconds."""
        return {
            name: round(known.until - now, 3)
            for name, known in self._warm_ups.items()
            if now < known.until
        }

    def _extend(
        self,
        replica: replicas.Replica,
        cold_s: float,
        source: Source,
        now: float,
        settled_at: float,
    ) -> None:
        """Record that a replica is cold for some time at least."""
        known = self._warm_ups.get(replica.id)
        is_known_start = (
            known is not None and known.incarnation == replica.incarnation
        )
        if not is_known_start:
            self._warm_ups.pop(replica.id, None)
            known = None
        if cold_s <= 0:
            return
        until = now + cold_s
        if known is not None and now < known.until:
            until = max(until, known.until)
            settled_at = known.settled_at
        else:
            self._drop_ended(now)
            self._changes.append(
                Change(replica.id, replica.born, cold_s, source)
            )
        self._warm_ups[replica.id] = _WarmUp(
            replica.incarnation, until, settled_at
        )

    def _warm_s(
        self, replica: replicas.Replica, returned_s: float, now: float
    ) -> float:
        """Return for how long a replica has been warm; negative while cold."""
        known = self._warm_ups.get(replica.id)
        warm_s = math.inf if known is None else now - known.until
        service = self._services.get(replica.service)
        if service is None:
            return warm_s
        return min(warm_s, returned_s - service.cold_s)

    def _is_in_step(
        self, replica: replicas.Replica, prefix: str, warm_s: float
    ) -> bool:
        """Whether a request is in the share of a replica that warmed up.

        The share of a prefix grows with each step, so that a replica keeps the
        prefixes that it has.
        """
        share = _RAMP_SHARES[int(warm_s / _RAMP_STEP_S)]
        if not prefix:
            return self._rng.random() < share
        return hashing.weight(prefix, f'step {replica.id}') < share * _HASHES

    def _drop_ended(self, now: float) -> None:
        self._warm_ups = {
            name: known
            for name, known in self._warm_ups.items()
            if now - known.until < _RAMP_S
        }
