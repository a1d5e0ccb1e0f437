"""Hosts of the fleet that serve callers, for the directory."""

import typing

import msgspec


class Host(msgspec.Struct, frozen=True):
    """A host that serves callers.

    :param address: ``IP:PORT`` towards callers.
    """

    name: str
    address: str
    zone: str = ''


class FleetHosts:
    """Hosts with a live lease, as this host knows them.

    :param me: this host; it is named as long as it serves.
    """

    def __init__(self, me: Host) -> None:
        """Know this host alone."""
        self._me = me
        self._others: dict[str, Host] = {}

    def update(self, host: Host) -> None:
        """Take a host."""
        self._others[host.name] = host

    def remove(self, name: str) -> None:
        """Drop a host whose lease has ended."""
        self._others.pop(name, None)

    def replace(self, hosts: typing.Iterable[Host]) -> None:
        """Take the whole list."""
        self._others = {host.name: host for host in hosts}

    def addresses(self, most: int, *, with_me: bool) -> list[str]:
        """Return the addresses that callers may use.

        :param with_me: whether this host takes new callers.
        """
        known = {**self._others}
        known.pop(self._me.name, None)
        if with_me:
            known[self._me.name] = self._me
        if not known:
            known[self._me.name] = self._me
        return sorted(host.address for host in known.values())[:most]

    def count(self) -> int:
        """Return the number of hosts, this one included."""
        return len({*self._others, self._me.name})
