"""Hosts of the fleet that serve callers, for the directory."""

import typing

import msgspec

from papayaloom.process import lapses

# Up to this size every host watches the store itself.
MOST_WATCHING = 12
# Longer than a live host takes to list itself again.
_GRACE_S = 1.0
# Word of the store's return passes over two other hosts first.
_LARGE_FLEET_GRACE_S = 3.0
# Word of silent hosts comes every 0.4 s; without it, all are named again.
_SILENCE_S = 2.0


class Host(msgspec.Struct, frozen=True):
    """A host that serves callers.

    :param address: ``IP:PORT`` towards callers.
    :param control: ``IP:PORT`` towards other hosts.
    :param capacity: what it can do besides serving, in processor cores; a
        thin link counts like a slow processor.
    """

    name: str
    address: str
    zone: str = ''
    control: str = ''
    capacity: float = 1


class FleetHosts:
    """Hosts with a live lease, as this host knows them.

    :param me: this host; it is named as long as it serves.
    """

    def __init__(self, me: Host) -> None:
        """Know this host alone."""
        self._me = me
        self.lapses: lapses.Lapses[str] = lapses.Lapses(_GRACE_S)
        self._others: dict[str, Host] = {}
        self._silent: frozenset[str] = frozenset()
        self._silent_at = float('-inf')

    def update(self, host: Host) -> None:
        """Take a host."""
        self._others[host.name] = host
        self.lapses.returned(host.name)

    def remove(self, name: str, now: float) -> None:
        """Drop a host whose lease has ended."""
        if name in self._others and not self.lapses.is_doubtful(name, now):
            self._others.pop(name)

    def replace(self, hosts: typing.Iterable[Host], now: float) -> None:
        """Take the whole list."""
        listed = {host.name: host for host in hosts}
        for host in listed.values():
            self.update(host)
        absent = self._others.keys() - listed.keys()
        for name in absent:
            self.remove(name, now)

    def tick(self, now: float) -> None:
        """Drop hosts whose entry did not come back."""
        is_large = self.count() > MOST_WATCHING
        self.lapses.wait_for(_LARGE_FLEET_GRACE_S if is_large else _GRACE_S)
        for name in self.lapses.expired(now):
            self._others.pop(name, None)

    def take_silent(self, names: typing.Iterable[str], now: float) -> None:
        """Take the hosts that the fleet does not hear any more.

        They keep their entries, but callers are not sent there.
        """
        self._silent = frozenset(names)
        self._silent_at = now

    def named(self, now: float, *, with_me: bool) -> list[Host]:
        """Return the hosts that callers may use, in no order.

        :param with_me: whether this host takes new callers.
        """
        is_fresh = now - self._silent_at < _SILENCE_S
        silent = self._silent if is_fresh else frozenset()
        named = {
            name: host
            for name, host in self._others.items()
            if name not in silent
        }
        named.pop(self._me.name, None)
        if with_me or not named:
            named[self._me.name] = self._me
        return list(named.values())

    def is_listed(self) -> bool:
        """Whether the store has an entry of this host."""
        return self._me.name in self._others

    def all(self) -> list[Host]:
        """Return all hosts, this one included."""
        return list({**self._others, self._me.name: self._me}.values())

    def count(self) -> int:
        """Return the number of hosts, this one included."""
        return len({*self._others, self._me.name})
