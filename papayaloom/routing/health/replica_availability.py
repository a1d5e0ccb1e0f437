"""Which replicas of a service a router may send requests to.

A replica is out of use while it is ejected, after a failed connection, and
during a pause that it requested.
"""

import enum
import random
import typing

from papayaloom import ids
from papayaloom.routing import replicas
from papayaloom.routing.health import ejection, pauses

# Time for which a replica gets no requests after a failed connection.
_UNREACHABLE_HOLD_S = 2.0
# Jitter as a share of the pause, so that callers do not all return at once.
_PAUSE_JITTER = 0.25


class Unavailability(enum.Enum):
    """Why a replica gets no requests for the moment."""

    PAUSED = 'pauses at its own request'
    UNREACHABLE = 'a connection to it has just failed'
    EJECTED = 'ejected after failures'


class ReplicaAvailability:
    """Ejections, failed connections and pauses, as seen by one router."""

    def __init__(self, ejecting: ejection.Cfg, rng: random.Random) -> None:
        """Initialise with all replicas available."""
        self._ejecting = ejecting
        self._rng = rng
        self._ejections: dict[ids.ServiceId, ejection.Ejection] = {}
        self._unreachable_until: dict[str, float] = {}
        self._pauses = pauses.Pauses()

    def ejections(self, service: ids.ServiceId) -> ejection.Ejection:
        """Return the ejections of a service."""
        return self._ejections.setdefault(
            service, ejection.Ejection(self._ejecting, self._rng)
        )

    def pause(
        self, replica: replicas.Replica, pause_s: float, now: float
    ) -> None:
        """Pause a replica that asked for it."""
        self._pauses.add(replica, pause_s, now)

    def record_unreachable(self, replica: str, now: float) -> None:
        """Record that no connection to a replica could be made."""
        self._unreachable_until[replica] = now + _UNREACHABLE_HOLD_S

    def is_reachable(self, replica: str, now: float) -> bool:
        """Whether no connection to a replica has just failed."""
        return self._unreachable_until.get(replica, 0) <= now

    def forget(self, replica: str) -> None:
        """Drop the state of a replica that was removed or restarted."""
        self._unreachable_until.pop(replica, None)

    def candidates(
        self,
        service: ids.ServiceId,
        ready: typing.Iterable[replicas.Replica],
        tried: typing.Container[str],
        now: float,
    ) -> list[replicas.Replica]:
        """Return the replicas that may get a request.

        Without any that are reachable and not ejected, the restrictions are
        lifted one by one, ejection first.

        :param tried: replicas that had the request before.
        """
        untried = [
            one
            for one in ready
            if one.id not in tried and not self._pauses.left_s(one, now)
        ]
        reachable = [one for one in untried if self.is_reachable(one.id, now)]
        ejections = self.ejections(service)
        not_ejected = [
            one
            for one in reachable
            if ejections.status(one.id, now) is not ejection.Status.EJECTED
        ]
        return not_ejected or reachable or untried

    def unavailability(
        self, replica: replicas.Replica, now: float
    ) -> Unavailability | None:
        """Return why a replica gets no requests; None if it gets some."""
        if self._pauses.left_s(replica, now):
            return Unavailability.PAUSED
        if not self.is_reachable(replica.id, now):
            return Unavailability.UNREACHABLE
        ejections = self.ejections(replica.service)
        if ejections.status(replica.id, now) is ejection.Status.EJECTED:
            return Unavailability.EJECTED
        return None

    def pause_retry_s(
        self, ready: typing.Iterable[replicas.Replica], now: float
    ) -> float:
        """Return the retry delay while all replicas of a service pause."""
        shortest_s = pauses.shortest_s(self._pauses, ready, now)
        return shortest_s * self._rng.uniform(1, 1 + _PAUSE_JITTER)

    def dump(self, now: float) -> dict[str, object]:
        """Return the state for the operator's dump."""
        return {
            'unreachable': dict(self._unreachable_until),
            'paused_s': self._pauses.dump(now),
            'ejections': {
                service: part.dump(now)
                for service, part in self._ejections.items()
            },
        }
