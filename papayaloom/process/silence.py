"""Hosts of a large fleet that have fallen silent.

Answers two loads of a large fleet: leases that end soon would have to be
renewed many times a second by all hosts together, and callers that are sent to
a host without power lose a second each. So leases are long, and the roots tell
the others of which hosts they do not hear any more.
"""

import typing

import msgspec

# Hosts report every 0.4 s, or a second later when a relay has not answered.
_SILENT_S = 2.5
# What another root said counts for so long.
_PEER_S = 1.5
# When more are silent, this host is more likely to be cut off.
_MOST_SILENT = 0.7


class _Peer(msgspec.Struct, frozen=True):
    at: float
    heard: frozenset[str]
    silent: frozenset[str]


class Silence:
    """When a root has last heard of each host beneath it.

    Each root speaks for the hosts that report to it; whoever another root
    hears is not silent. So a cut between roots makes nobody silent.
    """

    def __init__(self) -> None:
        """Start without hosts; one that was never heard is not silent."""
        self._heard_at: dict[str, float] = {}
        self._peers: dict[str, _Peer] = {}

    def heard(self, names: typing.Iterable[str], now: float) -> None:
        """Note hosts that have just reported, directly or through others."""
        self._heard_at.update(dict.fromkeys(names, now))

    def told(
        self,
        root: str,
        heard: typing.Iterable[str],
        silent: typing.Iterable[str],
        now: float,
    ) -> None:
        """Take what another root says of the hosts beneath it."""
        self._peers[root] = _Peer(now, frozenset(heard), frozenset(silent))

    def own(self, listed: typing.Collection[str], now: float) -> frozenset[str]:
        """Return the silent ones of the hosts that have reported here.

        :param listed: hosts with an entry in the store.
        """
        self._heard_at = {
            name: at for name, at in self._heard_at.items() if name in listed
        }
        silent = frozenset(
            name for name, at in self._heard_at.items() if now - at > _SILENT_S
        )
        return frozenset() if self._are_too_many(silent, listed) else silent

    def all(self, listed: typing.Collection[str], now: float) -> frozenset[str]:
        """Return the silent hosts of the whole fleet."""
        silent = set(self.own(listed, now))
        fresh = [
            peer for peer in self._peers.values() if now - peer.at < _PEER_S
        ]
        for peer in fresh:
            silent |= peer.silent.intersection(listed)
        for peer in fresh:
            silent -= peer.heard
        silent -= {
            name for name, at in self._heard_at.items() if now - at <= _SILENT_S
        }
        if self._are_too_many(silent, listed):
            return frozenset()
        return frozenset(silent)

    def _are_too_many(
        self, silent: typing.Collection[str], listed: typing.Collection[str]
    ) -> bool:
        return len(silent) > _MOST_SILENT * len(listed)
