"""Replicas that refused a request and asked for a pause.

Answers overload of a replica: it wants nothing from this host until then,
repeats and trials included.
"""

import typing

import msgspec

from papayaloom.process import replicas


class _Pause(msgspec.Struct, frozen=True):
    start: tuple[int, tuple[str, int]]
    until: float


class Pauses:
    """Pauses by replica; another start of a replica ends its pause."""

    def __init__(self) -> None:
        """Start without pauses."""
        self._pauses: dict[replicas.ReplicaId, _Pause] = {}

    def add(
        self, replica: replicas.Replica, pause_s: float, now: float
    ) -> None:
        """Take a replica's word.

        :param pause_s: seconds from now on in which it wants nothing.
        """
        left_s = max(pause_s, self.left_s(replica, now))
        self._pauses = {
            name: pause
            for name, pause in self._pauses.items()
            if pause.until > now
        }
        self._pauses[replica.id] = _Pause(replica.start, now + left_s)

    def left_s(self, replica: replicas.Replica, now: float) -> float:
        """Return the rest of a replica's pause, 0 if it has none."""
        pause = self._pauses.get(replica.id)
        if pause is None or pause.start != replica.start:
            return 0
        return max(pause.until - now, 0)

    def dump(self, now: float) -> dict[str, float]:
        """Return the seconds that are left, by replica."""
        return {
            name: pause.until - now
            for name, pause in self._pauses.items()
            if pause.until > now
        }


def shortest_s(
    pauses: Pauses, waiting: typing.Iterable[replicas.Replica], now: float
) -> float:
    """Return after how long the first of some paused replicas is free."""
    return min(pauses.left_s(one, now) for one in waiting)
