"""Pending probes and the probe order of the members."""

import random
import typing

import msgspec

from papayaloom import ids

_NONCE_BITS = 48


class Probe(msgspec.Struct):
    """A probe that waits for its ack.

    :param sent: time of the first transmission.
    :param suspects_target: whether a failure makes the target a suspect.
    :param indirect: whether indirect probes were sent, or are not wanted.
    """

    target: ids.RouterId
    sent: float
    indirect_at: float
    fail_at: float
    suspects_target: bool
    indirect: bool = False


class Probes:
    """Pending probes of one router.

    :param rng: source of the probe order and the nonces.
    """

    def __init__(self, rng: random.Random) -> None:
        """Create a set without pending probes."""
        self._rng = rng
        self._pending: dict[int, Probe] = {}
        self._order: list[ids.RouterId] = []

    def next_target(
        self, candidates: typing.Collection[ids.RouterId]
    ) -> ids.RouterId | None:
        """Return the next member in a random round-robin order.

        Each member is probed once per round. This bounds the detection time
        of a failure even when only one router is left to detect it.
        """
        while self._order:
            target = self._order.pop()
            if target in candidates:
                return target
        self._order = sorted(candidates)
        self._rng.shuffle(self._order)
        return self._order.pop() if self._order else None

    def add(self, probe: Probe) -> int:
        """Register a probe.

        :returns: its random nonce, which no other boot of this router uses.
        """
        nonce = self._rng.getrandbits(_NONCE_BITS)
        self._pending[nonce] = probe
        return nonce

    def complete(self, nonce: int, target: ids.RouterId) -> Probe | None:
        """Remove and return the probe that an ack belongs to, if any."""
        probe = self._pending.get(nonce)
        if probe is None or probe.target != target:
            return None
        return self._pending.pop(nonce)

    def mark_late(self, now: float) -> list[tuple[int, Probe]]:
        """Return each probe once that needs indirect probes."""
        late = [
            (nonce, probe)
            for nonce, probe in self._pending.items()
            if not probe.indirect and now >= probe.indirect_at
        ]
        for _, probe in late:
            probe.indirect = True
        return late

    def pop_failed(self, now: float) -> list[Probe]:
        """Remove and return the probes that timed out."""
        expired = [
            nonce
            for nonce, probe in self._pending.items()
            if now >= probe.fail_at
        ]
        return [self._pending.pop(nonce) for nonce in expired]

    def clear(self) -> None:
        """Drop all probes after a pause of this process."""
        self._pending.clear()
