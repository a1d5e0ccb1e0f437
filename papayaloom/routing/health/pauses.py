"""Pauses that overloaded replicas requested when they refused a request.

Until its pause ends, this host sends a replica no requests at all, neither
retries nor the trial requests that follow an ejection.
"""

import typing

import msgspec

from papayaloom.routing import replicas


class _Pause(msgspec.Struct, frozen=True):
    incarnation: tuple[int, tuple[str, int]]
    until: float


class Pauses:
    """Pauses by replica; a restart of the replica ends its pause."""

    def __init__(self) -> None:
        """Initialise without pauses."""
        self._pauses: dict[replicas.ReplicaId, _Pause] = {}

    def add(
        self, replica: replicas.Replica, pause_s: float, now: float
    ) -> None:
        """Pause a replica; a shorter pause does not cut a longer one short.

        :param pause_s: seconds from now during which it accepts no requests.
        """
        left_s = max(pause_s, self.left_s(replica, now))
        self._pauses = {
            name: pause
            for name, pause in self._pauses.items()
            if pause.until > now
        }
        self._pauses[replica.id] = _Pause(replica.incarnation, now + left_s)

    def left_s(self, replica: replicas.Replica, now: float) -> float:
        """Return the remaining pause of a replica, or 0 if it has none."""
        pause = self._pauses.get(replica.id)
        if pause is None or pause.incarnation != replica.incarnation:
            return 0
        return max(pause.until - now, 0)

    def dump(self, now: float) -> dict[str, float]:
        """Return the remaining seconds of each active pause, by replica."""
        return {
            name: pause.until - now
            for name, pause in self._pauses.items()
            if pause.until > now
        }


def shortest_s(
    pauses: Pauses, paused: typing.Iterable[replicas.Replica], now: float
) -> float:
    """Return the time until the first of these paused replicas resumes."""
    return min(pauses.left_s(one, now) for one in paused)
