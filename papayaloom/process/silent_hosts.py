"""Detects hosts of a large fleet that have stopped reporting.

In a large fleet, short leases would make all hosts together renew many times a
second, while long ones leave dead hosts listed, and each caller sent to a host
without power loses a second. So leases are long, and the roots announce the
hosts from which they no longer receive reports.
"""

import typing

import msgspec

# Hosts report every 0.4 s, or a second later if a relay did not answer.
_SILENT_AFTER_S = 2.5
# Lifetime of a report from another root.
_PEER_TTL_S = 1.5
# If a larger share of the hosts is silent, this host has more likely lost its
# own connection.
_MAX_SILENT_SHARE = 0.7


class _Peer(msgspec.Struct, frozen=True):
    at: float
    heard: frozenset[str]
    silent: frozenset[str]


class SilentHosts:
    """Times at which a root last received a report of each host.

    Each root judges only the hosts that report to it, and a host that reports
    to any root is not silent. So a partition between roots makes no host
    silent.
    """

    def __init__(self) -> None:
        """Start without hosts; a host that never reported is not silent."""
        self._reported_at: dict[str, float] = {}
        self._peers: dict[str, _Peer] = {}

    def record_reports(self, names: typing.Iterable[str], now: float) -> None:
        """Record hosts that have just reported, directly or through relays."""
        self._reported_at.update(dict.fromkeys(names, now))

    def record_peer(
        self,
        root: str,
        heard: typing.Iterable[str],
        silent: typing.Iterable[str],
        now: float,
    ) -> None:
        """Record which hosts report, or no longer report, to another root."""
        self._peers[root] = _Peer(now, frozenset(heard), frozenset(silent))

    def silent_followers(
        self, listed: typing.Collection[str], now: float
    ) -> frozenset[str]:
        """Return the silent hosts among those that reported to this one.

        :param listed: hosts with an entry in the store.
        """
        self._reported_at = {
            name: at for name, at in self._reported_at.items() if name in listed
        }
        silent = frozenset(
            name
            for name, at in self._reported_at.items()
            if now - at > _SILENT_AFTER_S
        )
        return frozenset() if self._exceeds_share(silent, listed) else silent

    def silent_in_fleet(
        self, listed: typing.Collection[str], now: float
    ) -> frozenset[str]:
        """Return the silent hosts of the whole fleet."""
        silent = set(self.silent_followers(listed, now))
        fresh = [
            peer for peer in self._peers.values() if now - peer.at < _PEER_TTL_S
        ]
        for peer in fresh:
            silent |= peer.silent.intersection(listed)
        for peer in fresh:
            silent -= peer.heard
        silent -= {
            name
            for name, at in self._reported_at.items()
            if now - at <= _SILENT_AFTER_S
        }
        if self._exceeds_share(silent, listed):
            return frozenset()
        return frozenset(silent)

    def _exceeds_share(
        self, silent: typing.Collection[str], listed: typing.Collection[str]
    ) -> bool:
        return len(silent) > _MAX_SILENT_SHARE * len(listed)
