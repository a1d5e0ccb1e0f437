"""What a locator knows: the last view of its router, and the host list."""

import random

import msgspec

from papayaloom import ids, messages
from papayaloom.ports import hosts
from papayaloom.process import addresses

# The router publishes once a second. After this silence it counts as dead:
# the detection time less the two seconds that a restart takes.
SILENT_S = 8.0
_State = messages.MemberState


class Dump(msgspec.Struct, frozen=True):
    """State of a locator for the dump.

    :param source: ``view``, ``old view`` (its router is silent), ``hosts``
        or ``none``.
    :param view_age_s: seconds since the last view; -1 without one.
    """

    source: str
    view_age_s: float
    view_router: str
    view_sequence: int
    hosts_age_s: float
    ignored_views: int
    members: tuple[messages.Member, ...]


class Location:
    """Answers address questions from the best source that is left.

    :param zone: zone of this host.
    :param router_port: port of the callers' interface on every entry host,
        for answers from the host list, which does not name it.
    """

    def __init__(
        self,
        deployment: str,
        zone: ids.ZoneId,
        router_port: int,
        cfg: addresses.Cfg,
        rng: random.Random,
    ) -> None:
        """Start without a view and without a host list."""
        self._deployment = deployment
        self._zone = zone
        self._port = router_port
        self._cfg = cfg
        self._rng = rng
        self._view: messages.FleetView | None = None
        self._view_at = float('-inf')
        self._hosts: tuple[messages.Member, ...] = ()
        self._hosts_at = float('-inf')
        self._ignored = 0

    def take_view(self, view: messages.FleetView, now: float) -> bool:
        """Take a view unless it is foreign or older than the last one.

        An unchanged view still says that its router is alive.
        """
        old = self._view
        is_older = old is not None and (view.boot, view.sequence) < (
            old.boot,
            old.sequence,
        )
        # After a silence even an older boot is taken: the clock of the host
        # went back, and the router that publishes now is the one that runs.
        is_older = is_older and not self._is_silent(now)
        if view.deployment != self._deployment or is_older:
            self._ignored += 1
            return False
        self._view = view
        self._view_at = now
        return True

    def take_hosts(self, listed: hosts.HostList, now: float) -> None:
        """Take a host list; one that did not change is taken again."""
        self._hosts = seeds(listed, self._port)
        self._hosts_at = now

    def hosts_unchanged(self, now: float) -> None:
        """Note that the host list was read again and is the same."""
        self._hosts_at = now

    def is_ready(self) -> bool:
        """Return whether there is anything to answer from."""
        return self._view is not None or bool(self._hosts)

    def answer(
        self, question: addresses.Question, now: float
    ) -> addresses.Answer:
        """Return the addresses for a caller; none without any source."""
        return addresses.answer(
            self._current(now), question, self._zone, self._rng
        )

    def dump(self, now: float) -> Dump:
        """Return the state for the dump."""
        view = self._view
        return Dump(
            source=self._source(now),
            view_age_s=-1 if view is None else round(now - self._view_at, 1),
            view_router='' if view is None else view.router,
            view_sequence=0 if view is None else view.sequence,
            hosts_age_s=round(now - self._hosts_at, 1) if self._hosts else -1,
            ignored_views=self._ignored,
            members=self._current(now).members,
        )

    def _source(self, now: float) -> str:
        if self._view is None:
            return 'hosts' if self._hosts else 'none'
        return 'old view' if self._is_silent(now) else 'view'

    def _is_silent(self, now: float) -> bool:
        return now - self._view_at > SILENT_S

    def _current(self, now: float) -> messages.FleetView:
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
        if not self._is_silent(now):
            return view
        return msgspec.structs.replace(view, members=self._without_dead(view))

    def _without_dead(
        self, view: messages.FleetView
    ) -> tuple[messages.Member, ...]:
        """Leave out what is known to be gone since the router fell silent.

        That is the silent router itself, and members that a host list read
        after the last view shows as leaving or no longer shows.
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


def seeds(
    listed: hosts.HostList, router_port: int
) -> tuple[messages.Member, ...]:
    """Return the entry hosts of a host list as members.

    The name of the host is the name of its router.
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
