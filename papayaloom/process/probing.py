"""Probes under way and the order in which members are probed."""

import random
import typing

import msgspec

from papayaloom import ids

_NONCE_BITS = 48


class Probe(msgspec.Struct):
    """A probe that waits for its answer.

    :param sent: when it was first sent.
    :param accuses: its failure makes the target a suspect.
    """

    target: ids.RouterId
    sent: float
    indirect_at: float
    fail_at: float
    accuses: bool
    indirect: bool = False


class Probes:
    """Probes of one router.

    :param rng: source of the order and of the nonces.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start without probes."""
        self._rng = rng
        self._pending: dict[int, Probe] = {}
        self._order: list[ids.RouterId] = []

    def next_target(
        self, candidates: typing.Collection[ids.RouterId]
    ) -> ids.RouterId | None:
        """Return the next member of a random order that covers all.

        Each member is reached within one round, which bounds the time until
        a failure is seen even when only one router is left to see it.
        """
        while self._order:
            target = self._order.pop()
            if target in candidates:
                return target
        self._order = sorted(candidates)
        self._rng.shuffle(self._order)
        return self._order.pop() if self._order else None

    def begin(self, probe: Probe) -> int:
        """Remember a probe.

        :returns: its nonce, which no other boot of this router uses.
        """
        nonce = self._rng.getrandbits(_NONCE_BITS)
        self._pending[nonce] = probe
        return nonce

    def answered(self, nonce: int, target: ids.RouterId) -> Probe | None:
        """Return and end the probe that an answer belongs to, if any."""
        probe = self._pending.get(nonce)
        if probe is None or probe.target != target:
            return None
        return self._pending.pop(nonce)

    def late(self, now: float) -> list[tuple[int, Probe]]:
        """Return the probes that need indirect help, each once."""
        late = [
            (nonce, probe)
            for nonce, probe in self._pending.items()
            if not probe.indirect and now >= probe.indirect_at
        ]
        for _, probe in late:
            probe.indirect = True
        return late

    def failed(self, now: float) -> list[Probe]:
        """Return and end the probes without an answer in time."""
        expired = [
            nonce
            for nonce, probe in self._pending.items()
            if now >= probe.fail_at
        ]
        return [self._pending.pop(nonce) for nonce in expired]

    def clear(self) -> None:
        """Drop all probes, because this process was paused."""
        self._pending.clear()
