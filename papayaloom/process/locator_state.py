"""State of a locator: the last view from its router and the host list."""

import random

import msgspec

from papayaloom import ids, messages
from papayaloom.ports import hosts
from papayaloom.process import addresses

# The router publishes once per second. Without a view for this long it counts
# as dead: the failure detection time less the two seconds that a restart
# takes.
VIEW_TIMEOUT_S = 8.0
_State = messages.MemberState


class Dump(msgspec.Struct, frozen=True):
    """Locator state for the dump.

    :param source: source of the answers: ``view``, ``old view`` (the router
        has stopped publishing), ``hosts`` or ``none``.
    :param view_age_s: seconds since the last view; -1 if there is none.
    """

    source: str
    view_age_s: float
    view_router: str
    view_sequence: int
    hosts_age_s: float
    ignored_views: int
    members: tuple[messages.Member, ...]


class LocatorState:
    """Answers address queries from the best available source.

    :param zone: availability zone of this host.
    :param router_port: port of the HTTP interface for callers on every entry
        host. It is used for answers from the host list, which does not
        contain the port.
    """

    def __init__(
        self,
        deployment: str,
        zone: ids.ZoneId,
        router_port: int,
        cfg: addresses.Cfg,
        rng: random.Random,
    ) -> None:
        """Create a state without a view or host list."""
        self._deployment = deployment
        self._zone = zone
        self._router_port = router_port
        self._cfg = cfg
        self._rng = rng
        self._view: messages.FleetView | None = None
        self._view_at = float('-inf')
        self._hosts: tuple[messages.Member, ...] = ()
        self._hosts_at = float('-inf')
        self._ignored_views = 0

    def update_view(self, view: messages.FleetView, now: float) -> bool:
        """Store a view unless it is older or from another deployment.

        An unchanged view still proves that its router is alive.

        :returns: whether the view was stored.
        """
        last = self._view
        is_older = last is not None and (view.boot, view.sequence) < (
            last.boot,
            last.sequence,
        )
        # Once the view is stale, even an older boot is accepted: the host's
        # clock was set back, and the router that publishes now is the one
        # that runs.
        is_older = is_older and not self._is_view_stale(now)
        if view.deployment != self._deployment or is_older:
            self._ignored_views += 1
            return False
        self._view = view
        self._view_at = now
        return True

    def update_hosts(self, listed: hosts.HostList, now: float) -> None:
        """Store a host list and its time, even if the list is unchanged."""
        self._hosts = entry_members(listed, self._router_port)
        self._hosts_at = now

    def mark_hosts_unchanged(self, now: float) -> None:
        """Record that the host list was read again and has not changed."""
        self._hosts_at = now

    def is_ready(self) -> bool:
        """Return whether any source for answers is available."""
        return self._view is not None or bool(self._hosts)

    def answer(
        self, question: addresses.Question, now: float
    ) -> addresses.Answer:
        """Return the addresses for a caller; empty without any source."""
        return addresses.answer(
            self._current_view(now), question, self._zone, self._rng
        )

    def dump(self, now: float) -> Dump:
        """Return the locator state for the dump."""
        view = self._view
        return Dump(
            source=self._source(now),
            view_age_s=-1 if view is None else round(now - self._view_at, 1),
            view_router='' if view is None else view.router,
            view_sequence=0 if view is None else view.sequence,
            hosts_age_s=round(now - self._hosts_at, 1) if self._hosts else -1,
            ignored_views=self._ignored_views,
            members=self._current_view(now).members,
        )

    def _source(self, now: float) -> str:
        if self._view is None:
            return 'hosts' if self._hosts else 'none'
        return 'old view' if self._is_view_stale(now) else 'view'

    def _is_view_stale(self, now: float) -> bool:
        return now - self._view_at > VIEW_TIMEOUT_S

    def _current_view(self, now: float) -> messages.FleetView:
        view = self._view
        if view is None:
            return messages.FleetView(
                self._deployment,
                ids.RouterId(''),
                0,
                0,
                self._hosts,
                self._cfg.ttl_s,
                self._cfg.count,
            )
        if not self._is_view_stale(now):
            return view
        return msgspec.structs.replace(view, members=self._live_members(view))

    def _live_members(
        self, view: messages.FleetView
    ) -> tuple[messages.Member, ...]:
        """Return the members of a stale view without those known to be gone.

        This removes the router that stopped publishing, and members that a
        host list read after the last view reports as leaving or omits.
        """
        listed = {
            host.router for host in self._hosts if host.state is _State.ALIVE
        }
        is_newer = self._hosts_at > self._view_at and bool(listed)
        return tuple(
            member
            for member in view.members
            if member.router != view.router
            and (member.router in listed or not is_newer)
        )


def entry_members(
    listed: hosts.HostList, router_port: int
) -> tuple[messages.Member, ...]:
    """Convert the entry hosts of a host list to members.

    A router has the name of its host.
    """
    return tuple(
        messages.Member(
            router=ids.RouterId(host.host),
            address=f'tcp://{host.address}',
            http='http://{0}:{1}'.format(
                host.address.rpartition(':')[0], router_port
            ),
            zone=host.zone,
            region=host.region,
            state=_State.LEAVING
            if host.state is hosts.HostState.LEAVING
            else _State.ALIVE,
        )
        for host in listed.hosts
        if host.kind is hosts.Kind.ENTRY
    )
