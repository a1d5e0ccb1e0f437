"""Sends load reports to other routers within a share of the byte budget."""

import random
import typing

import msgspec

from papayaloom import ids, messages

# Bytes of one load on the wire, names of ten characters included.
_LOAD_BYTES = 40
_ENVELOPE_BYTES = 100


class Cfg(msgspec.Struct, frozen=True):
    """How often reports are sent.

    :param period_s: shortest time between two rounds.
    :param fanout: routers that each round goes to.
    :param bytes_per_second: share of the byte budget for reports.
    :param loads: most loads in one report; own ones go first.
    """

    period_s: float = 0.25
    fanout: int = 2
    bytes_per_second: float = 2000
    loads: int = 40


class LoadGossip:
    """Rounds of load reports of one router."""

    def __init__(self, cfg: Cfg, rng: random.Random) -> None:
        """Start with a round at once."""
        self._cfg = cfg
        self._rng = rng
        self._due = float('-inf')

    def tick(
        self,
        reports: typing.Iterable[messages.LoadReport],
        peers: typing.Sequence[ids.RouterId],
        now: float,
    ) -> list[messages.Send]:
        """Return the reports of a round that is due.

        :param reports: one for each model, own load first.
        :param peers: routers of the region that are alive, without this one.
        """
        if now < self._due or not peers:
            return []
        sends = []
        size = 0
        for report in reports:
            trimmed = messages.LoadReport(
                self._trim(report.loads), report.covered
            )
            count = min(self._cfg.fanout, len(peers))
            for peer in self._rng.sample(list(peers), count):
                size += _ENVELOPE_BYTES + _LOAD_BYTES * len(trimmed.loads)
                sends.append(
                    messages.Send(peer, trimmed, messages.Priority.LOAD),
                )
        wait_s = size / self._cfg.bytes_per_second
        self._due = now + max(self._cfg.period_s, wait_s)
        return sends

    def _trim(
        self,
        loads: tuple[messages.Load, ...],
    ) -> tuple[messages.Load, ...]:
        """Keep the own load and a random choice of the others."""
        if len(loads) <= self._cfg.loads:
            return loads
        others = self._rng.sample(loads[1:], self._cfg.loads - 1)
        return (loads[0], *others)
