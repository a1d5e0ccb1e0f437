"""State of the fleet that determines how this host registers itself."""

import typing

import msgspec

from papayaloom.process import presence, store_view


class FleetStatus(msgspec.Struct, frozen=True):
    """Implements :class:`papayaloom.process.presence.Fleet` on a store view.

    :param least_s: term of a lease in a small fleet.
    :param is_unavailable: whether neither the store nor a relay
        answered the last call.
    """

    view: store_view.StoreView
    least_s: float
    is_unavailable: typing.Callable[[], bool]

    def has_routes(self) -> bool:
        """Whether this host has a route table."""
        return self.view.table is not None

    def lease_s(self) -> float:
        """Return the desired term of this host's lease."""
        return presence.term_s(self.count(), self.least_s)

    def is_registered(self) -> bool:
        """Whether this host's entry is in its own view of the store."""
        return self.view.hosts.is_registered()

    def is_store_unavailable(self) -> bool:
        """Whether neither the store nor a relay answered the last call."""
        return self.is_unavailable()

    def count(self) -> int:
        """Return the number of hosts in the fleet."""
        return self.view.hosts.count()
