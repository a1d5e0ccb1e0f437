"""Replicas that terminated lately, whatever ran there."""

import typing

from papayaloom.routing import replicas
from papayaloom.routing.poison import poison_suspects

_MEMORY_S = 60.0


class RecentTerminations:
    """When a host first heard of each termination."""

    def __init__(self) -> None:
        """Start without terminations."""
        self._heard_at: dict[replicas.ReplicaStart, float] = {}

    def record(self, start: replicas.ReplicaStart, now: float) -> float:
        """Record word of a termination; return when the first one came."""
        return self._heard_at.setdefault(start, now)

    def forget_old(self, now: float) -> None:
        """Forget terminations that are no longer compared with others."""
        self._heard_at = {
            start: at
            for start, at in self._heard_at.items()
            if now - at < _MEMORY_S
        }

    def others(
        self, known: typing.Container[replicas.ReplicaStart], since: float
    ) -> list[replicas.ReplicaStart]:
        """Return the terminations since a time that are not among known ones."""
        return [
            start
            for start, at in self._heard_at.items()
            if start not in known and at >= since
        ]

    def others_for_each(
        self,
        ends: poison_suspects.Terminations,
        explained: typing.Container[replicas.ReplicaStart],
    ) -> float:
        """Return how many others there were for each of some terminations.

        :param ends: terminations under a suspect; counted from the first one.
        :param explained: terminations that are not counted as others.
        """
        recent = [at for start, at in self._heard_at.items() if start in ends]
        since = min(recent, default=float('inf'))
        return len(self.others(explained, since)) / max(len(recent), 1)
