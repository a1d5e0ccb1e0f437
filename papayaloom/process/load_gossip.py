"""Gossips load reports to other routers within a share of the byte budget."""

import random
import typing

import msgspec

from papayaloom import ids, messages
from papayaloom.process import targets

# Encoded size of one load with names of ten characters.
_LOAD_BYTES = 40
_ENVELOPE_BYTES = 100
_Sends = list[messages.Send]


class Cfg(msgspec.Struct, frozen=True):
    """Rate and size of load reports.

    :param period_s: shortest time between two rounds.
    :param fanout: number of routers that each round is sent to.
    :param bytes_per_second: share of the byte budget for reports.
    :param loads: largest number of loads in one report; the router's own comes
        first.
    :param push_members: largest number of members that are sent a report at
        once when requests have finished; the byte budget does not allow it in
        a larger fleet.
    """

    period_s: float = 0.25
    fanout: int = 2
    bytes_per_second: float = 2000
    loads: int = 40
    push_members: int = 12


class LoadGossip:
    """Load reports of one router.

    :param me: id of this router.
    """

    def __init__(self, cfg: Cfg, me: ids.RouterId, rng: random.Random) -> None:
        """Create a gossip whose first round is due at once."""
        self._cfg = cfg
        self._me = me
        self._rng = rng
        self._due = float('-inf')

    def tick(
        self,
        models: typing.Iterable[targets.ModelState],
        routers: typing.Collection[ids.RouterId],
        now: float,
    ) -> _Sends:
        """Return the reports of a due round, or else of finished requests.

        :param routers: live routers of the region.
        """
        peers = [router for router in routers if router != self._me]
        if not peers:
            return []
        if now >= self._due:
            return self._round(models, peers, now)
        if len(routers) > self._cfg.push_members:
            return []
        return _push(models, peers, now)

    def _round(
        self,
        models: typing.Iterable[targets.ModelState],
        peers: list[ids.RouterId],
        now: float,
    ) -> _Sends:
        sends: _Sends = []
        size = 0
        for parts in models:
            report = parts.owner.report(now)
            parts.home.handle(self._me, report, now)
            trimmed = messages.LoadReport(
                self._trim(report.loads), report.covered
            )
            count = min(self._cfg.fanout, len(peers))
            for peer in self._rng.sample(peers, count):
                size += _ENVELOPE_BYTES + _LOAD_BYTES * len(trimmed.loads)
                sends.append(_send(peer, trimmed))
        wait_s = size / self._cfg.bytes_per_second
        self._due = now + max(self._cfg.period_s, wait_s)
        return sends

    def _trim(
        self,
        loads: tuple[messages.Load, ...],
    ) -> tuple[messages.Load, ...]:
        """Keep this router's load and a random sample of the others."""
        if len(loads) <= self._cfg.loads:
            return loads
        others = self._rng.sample(loads[1:], self._cfg.loads - 1)
        return (loads[0], *others)


def _push(
    models: typing.Iterable[targets.ModelState],
    peers: list[ids.RouterId],
    now: float,
) -> _Sends:
    """Report finished requests to all members of a small fleet at once.

    With few running requests each one that finishes lowers the mean, and with
    it the cap that all owners apply; the next round would be too late.
    """
    sends: _Sends = []
    for parts in models:
        if parts.owner.loads.has_unreported(parts.owner.holds.finished):
            own = messages.LoadReport(parts.owner.report(now).loads[:1])
            sends.extend(_send(peer, own) for peer in peers)
    return sends


def _send(peer: ids.RouterId, report: messages.LoadReport) -> messages.Send:
    return messages.Send(peer, report, messages.Priority.LOAD)
