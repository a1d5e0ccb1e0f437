"""Hosts of the fleet that serve callers, as listed in the directory."""

import typing

import msgspec

from papayaloom.routing.health import lapses

# In fleets of up to this many hosts, every host watches the store directly.
MAX_DIRECT_WATCHERS = 12
# Longer than a live host takes to register again.
_GRACE_S = 1.0
# In a large fleet, news of the store's return travels over two other hosts.
_LARGE_FLEET_GRACE_S = 3.0
# Lists of silent hosts arrive every 0.4 s; if none arrives for this long, all
# hosts are advertised again.
_SILENT_LIST_TTL_S = 2.0


class Host(msgspec.Struct, frozen=True):
    """A host that serves callers.

    :param address: ``IP:PORT`` for callers.
    :param control: ``IP:PORT`` for other hosts.
    :param capacity: capacity for work other than serving, in processor cores;
        a slow network link counts like a slow processor.
    """

    name: str
    address: str
    zone: str = ''
    control: str = ''
    capacity: float = 1


class FleetHosts:
    """Hosts with a live lease, as known to this host.

    :param me: this host; it is advertised as long as it serves.
    """

    def __init__(self, me: Host) -> None:
        """Start with this host alone."""
        self._me = me
        self.lapses: lapses.Lapses[str] = lapses.Lapses(_GRACE_S)
        self._others: dict[str, Host] = {}
        self._silent: frozenset[str] = frozenset()
        self._silent_at = float('-inf')

    def update(self, host: Host) -> None:
        """Add or update a host."""
        self._others[host.name] = host
        self.lapses.mark_present(host.name)

    def remove(self, name: str, now: float) -> None:
        """Remove a host whose lease has ended."""
        if name in self._others and not self.lapses.may_be_lapsed(name, now):
            self._others.pop(name)

    def replace(self, hosts: typing.Iterable[Host], now: float) -> None:
        """Replace all hosts after a listing."""
        listed = {host.name: host for host in hosts}
        for host in listed.values():
            self.update(host)
        absent = self._others.keys() - listed.keys()
        for name in absent:
            self.remove(name, now)

    def tick(self, now: float) -> None:
        """Remove hosts whose entry was not restored in time."""
        is_large = self.count() > MAX_DIRECT_WATCHERS
        self.lapses.update_grace(_LARGE_FLEET_GRACE_S if is_large else _GRACE_S)
        for name in self.lapses.pop_expired(now):
            self._others.pop(name, None)

    def mark_silent(self, names: typing.Iterable[str], now: float) -> None:
        """Set the hosts that no longer report to the fleet.

        They keep their entries, but are not advertised to callers.
        """
        self._silent = frozenset(names)
        self._silent_at = now

    def advertised(self, now: float, *, include_self: bool) -> list[Host]:
        """Return the hosts to advertise to callers, in no particular order.

        :param include_self: whether this host accepts new callers.
        """
        is_fresh = now - self._silent_at < _SILENT_LIST_TTL_S
        silent = self._silent if is_fresh else frozenset()
        named = {
            name: host
            for name, host in self._others.items()
            if name not in silent
        }
        named.pop(self._me.name, None)
        if include_self or not named:
            named[self._me.name] = self._me
        return list(named.values())

    def is_registered(self) -> bool:
        """Whether the store has an entry for this host."""
        return self._me.name in self._others

    def all(self) -> list[Host]:
        """Return all hosts, this one included."""
        return list({**self._others, self._me.name: self._me}.values())

    def count(self) -> int:
        """Return the number of hosts, this one included."""
        return len({*self._others, self._me.name})
