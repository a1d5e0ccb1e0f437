"""Work that the faulty responses of each replica have cost lately.

A response is read up to its limits before it proves to be faulty. A replica
that sends nothing else would cost that again and again, so it is read less far
once it has cost too much.
"""

import threading

import msgspec

from papayaloom.connection import response_limits

_MIB = 1_048_576


class Cfg(msgspec.Struct, frozen=True):
    """Sizes in bytes, as charged by the response limits.

    :param allowed: cost of faulty responses from which on a replica's responses
        are read less far.
    :param forgiven_per_s: by how much the cost of a replica falls in a second.
    :param reduced: limit of a response and of an event from then on.
    """

    allowed: int = 16 * _MIB
    forgiven_per_s: int = _MIB
    reduced: int = 65_536


DEFAULT = Cfg()


class _Waste(msgspec.Struct):
    cost: float
    at: float


class WastedWork:
    """Cost of faulty responses by replica; thread-safe."""

    def __init__(self, cfg: Cfg = DEFAULT) -> None:
        """Start without costs."""
        self._cfg = cfg
        self._lock = threading.Lock()
        self._waste: dict[str, _Waste] = {}

    def record(self, replica: str, cost: int, now: float) -> None:
        """Add the cost of a faulty response, and drop what is forgiven."""
        with self._lock:
            costs = {known: self._cost(known, now) for known in self._waste}
            costs[replica] = costs.get(replica, 0) + cost
            self._waste = {
                known: _Waste(total, now)
                for known, total in costs.items()
                if total
            }

    def limits(
        self, replica: str, full: response_limits.ResponseLimits, now: float
    ) -> response_limits.ResponseLimits:
        """Return the limits for the next response of a replica."""
        with self._lock:
            if self._cost(replica, now) < self._cfg.allowed:
                return full
        return msgspec.structs.replace(
            full,
            answer=min(full.answer, self._cfg.reduced),
            event=min(full.event, self._cfg.reduced),
        )

    def _cost(self, replica: str, now: float) -> float:
        waste = self._waste.get(replica)
        if waste is None:
            return 0
        forgiven = (now - waste.at) * self._cfg.forgiven_per_s
        return max(waste.cost - forgiven, 0)
