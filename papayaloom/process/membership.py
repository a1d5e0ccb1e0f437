"""Fleet membership: liveness and ranking of the members.

A SWIM-like protocol in which every router holds the full view; see
docs/notes/membership.md. Failure detection is implemented in
:mod:`papayaloom.process.failure_detector`.
"""

import random
import typing

import msgspec

from papayaloom import hashing, ids, messages
from papayaloom.process import (
    anti_entropy,
    failure_detector,
    member_table,
    view,
)

Cfg = failure_detector.Cfg
_State = messages.MemberState
_Sends = list[messages.Send]
# Dead members are few, so a scan at this interval has no measurable cost.
_CLEANUP_PERIOD_S = 0.5
# A stop is sent to this many members directly; gossip delivers it to the rest.
_LEAVE_RECIPIENTS = 6
# Bounds the ranking cache, which holds one entry for each engine and
# organisation that this router serves.
_MAX_CACHED_RANKINGS = 16384


class MemberDump(msgspec.Struct, frozen=True):
    """One member in the dump.

    :param heard_s: seconds since the last message from the member itself; -1
        if there was none.
    :param listed: whether the platform's host list contains the member.
    """

    router: str
    zone: str
    state: str
    incarnation: int
    leaving: bool
    since_s: float
    heard_s: float
    listed: bool
    suspected_by: tuple[str, ...]


class Dump(msgspec.Struct, frozen=True):
    """Membership state for the dump.

    :param settled: whether the view has ever matched another router's view.
    :param news: number of updates still queued for gossip.
    """

    me: str
    incarnation: int
    settled: bool
    alive: int
    listed: int
    news: int
    counts: dict[str, int]
    members: tuple[MemberDump, ...]


class Membership:
    """This router's view of the fleet.

    :param me: this router; its incarnation must increase with every start,
        for example the seconds since the Unix epoch.
    :param head: returns the version and digest of this router's settings,
        which are piggybacked on probes.
    """

    def __init__(
        self,
        cfg: Cfg,
        me: messages.Member,
        rng: random.Random,
        head: typing.Callable[[], messages.Digest],
    ) -> None:
        """Start with a view that contains only this router."""
        self._cfg = cfg
        self._view = view.View(me, cfg.repeat_factor, rng)
        self._detector = failure_detector.FailureDetector(
            cfg, self._view, rng, head
        )
        self.table = self._view.table
        self._anti_entropy = anti_entropy.AntiEntropy(self.table, rng)
        self._ranked: dict[str, list[ids.RouterId]] = {}
        self._ranked_revision = -1
        self._alive_cache: dict[bool, tuple[int, list[messages.Member]]] = {}
        self._next_cleanup = float('-inf')

    def subscribe(
        self, subscriber: typing.Callable[[messages.Member], object]
    ) -> None:
        """Register a callback for member state changes."""
        self._view.subscribers.append(subscriber)

    @property
    def me(self) -> messages.Member:
        """This router's own entry."""
        return self._view.me

    def configure(self, cfg: Cfg) -> None:
        """Apply new settings; the view is kept."""
        self._cfg = cfg
        self._detector.configure(cfg)

    def update_host_list(
        self, listed: typing.Iterable[messages.Member], now: float
    ) -> None:
        """Apply a new host list.

        The list seeds the member table and confirms that dead members are
        gone. It never removes a member that responds.
        """
        hosts = tuple(listed)
        self._view.listed = frozenset(host.router for host in hosts)
        for host in hosts:
            self.table.seed(host, now)

    def tick(self, now: float) -> _Sends:
        """Run periodic work; must be called every 0.1 s."""
        sends = self._detector.tick(now)
        if self._anti_entropy.is_due(now, self._cfg.sync_s):
            digest = self._anti_entropy.begin()
            sends += [_send(to, digest) for to in self._view.random_members(1)]
        if now >= self._next_cleanup:
            self._next_cleanup = now + _CLEANUP_PERIOD_S
            _clean_up_dead(self.table, self._view.listed, self._cfg, now)
        return sends

    def handle(
        self, sender: ids.RouterId, message: messages.Message, now: float
    ) -> _Sends:
        """Handle a membership message; ignores all other message types."""
        handlers = {
            messages.Ping: self._detector.handle_ping,
            messages.Ack: self._detector.handle_ack,
            messages.PingRequest: self._detector.handle_ping_request,
            messages.ViewPart: self._handle_view_part,
        }
        handler: typing.Any = handlers.get(type(message))
        sends: _Sends = []
        if handler is not None:
            sends = handler(sender, message, now)
        elif isinstance(message, messages.Gossip):
            sends = self._detector.merge_updates(message.updates, sender, now)
        elif isinstance(message, messages.Leave):
            sends = self._detector.merge_updates((message.member,), sender, now)
        elif isinstance(message, messages.ViewDigest):
            sends = [_send(sender, self._anti_entropy.answer_digest(message))]
        entry = self.table.get(sender)
        if entry is not None:
            entry.heard = now
            if entry.member.state is _State.SUSPECT:
                # The member is alive but slow. Restart its suspicion timeout
                # to leave time for the refutation to arrive.
                entry.since = now
        return sends

    def announce_leaving(self, now: float) -> _Sends:
        """Announce that this router is leaving; open requests still finish."""
        return self._announce_state(_State.LEAVING, now)

    def announce_stopped(self, now: float) -> _Sends:
        """Announce that this router has stopped, before the process exits."""
        return self._announce_state(_State.DEAD, now)

    def alive(self, *, leaving: bool = True) -> list[messages.Member]:
        """Return the members that count as alive, including this router.

        Suspects count as alive; a suspect that announced a stop is reported
        as leaving. The same list object is returned until the table changes,
        so that callers can detect changes by identity. Callers must not
        modify the list.

        :param leaving: whether to include members that announced a stop.
        """
        revision, members_alive = self._alive_cache.get(leaving, (-1, []))
        if revision != self.table.revision:
            members_alive = [
                _with_leaving_state(entry)
                for entry in self.table.alive()
                if leaving or not entry.leaving
            ]
            self._alive_cache[leaving] = (self.table.revision, members_alive)
        return members_alive

    def ranked(self, key: str, count: int = 2) -> list[ids.RouterId]:
        """Return the highest-ranked members for a key that are not gone.

        Suspects and recently dead members keep their rank; see
        :meth:`is_gone`.
        """
        if self._ranked_revision != self.table.revision:
            self._ranked = {}
            self._ranked_revision = self.table.revision
        order = self._ranked.get(key)
        if order is None or len(order) < count:
            candidates = [
                router
                for router, entry in self.table.entries.items()
                if entry.known and not entry.gone
            ]
            order = hashing.rank(key, candidates, count)
            if len(self._ranked) >= _MAX_CACHED_RANKINGS:
                self._ranked.clear()
            self._ranked[key] = order
        return order[:count]

    def is_gone(self, router: ids.RouterId) -> bool:
        """Return whether a member is confirmed gone.

        A member is gone when it announced that it stopped, or when it is dead
        and either missing from the host list or dead for longer than
        ``confirm_s``. Unknown names count as gone.
        """
        entry = self.table.get(router)
        return entry is None or entry.gone

    def is_settled(self) -> bool:
        """Return whether the view has ever matched another router's view."""
        return self._anti_entropy.is_settled

    def dump(self, now: float) -> Dump:
        """Return the membership state for the dump."""
        listed = self._view.listed or frozenset()
        return Dump(
            me=self.me.router,
            incarnation=self.me.incarnation,
            settled=self._anti_entropy.is_settled,
            alive=len(self.table.alive()),
            listed=len(listed),
            news=len(self._view.news),
            counts=dict(self._view.counts),
            members=tuple(
                _dump_entry(entry, now, router in listed)
                for router, entry in sorted(self.table.entries.items())
            ),
        )

    def _handle_view_part(
        self, sender: ids.RouterId, part: messages.ViewPart, now: float
    ) -> _Sends:
        reply = self._anti_entropy.handle_part(part)
        sends = self._detector.merge_updates(
            part.members, sender, now, is_copy=True
        )
        if reply is not None:
            sends.append(_send(sender, reply))
        return sends

    def _announce_state(self, state: _State, now: float) -> _Sends:
        me = msgspec.structs.replace(
            self.me,
            incarnation=self.me.incarnation + 1,
            state=state,
            by=self.me.router,
        )
        self._view.announce(me, now)
        return [
            _send(to, messages.Leave(me))
            for to in self._view.random_members(_LEAVE_RECIPIENTS)
        ]


def _clean_up_dead(
    table: member_table.MemberTable,
    listed: frozenset[ids.RouterId] | None,
    cfg: Cfg,
    now: float,
) -> None:
    """Confirm dead members as gone and remove expired entries."""
    for entry in table.down():
        router = entry.member.router
        off_list = listed is not None and router not in listed
        if entry.known:
            _age_dead_member(table, entry, off_list, cfg, now)
        elif off_list:
            table.remove(router)


def _age_dead_member(
    table: member_table.MemberTable,
    entry: member_table.Entry,
    off_list: bool,
    cfg: Cfg,
    now: float,
) -> None:
    dead_s = now - entry.since
    if dead_s > cfg.forget_s:
        table.remove(entry.member.router)
    elif off_list or dead_s > cfg.confirm_s:
        table.confirm_gone(entry)


def _with_leaving_state(entry: member_table.Entry) -> messages.Member:
    if not entry.leaving or entry.member.state is _State.LEAVING:
        return entry.member
    return msgspec.structs.replace(entry.member, state=_State.LEAVING)


def _dump_entry(
    entry: member_table.Entry, now: float, listed: bool
) -> MemberDump:
    return MemberDump(
        router=entry.member.router,
        zone=entry.member.zone,
        state=entry.member.state.name.lower() if entry.known else 'unheard',
        incarnation=entry.member.incarnation,
        leaving=entry.leaving,
        since_s=round(now - entry.since, 1),
        heard_s=-1 if entry.heard < 0 else round(now - entry.heard, 1),
        listed=listed,
        suspected_by=entry.confirmers,
    )


def _send(to: ids.RouterId, message: messages.Message) -> messages.Send:
    return messages.Send(to, message, messages.Priority.MEMBERSHIP)
