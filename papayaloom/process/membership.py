"""Membership of the fleet: who is alive, who ranks first, who is gone.

SWIM-like, with the full view in every router; see docs/notes/membership.md.
The failure detection itself is in :mod:`papayaloom.process.detection`.
"""

import random
import typing

import msgspec

from papayaloom import hashing, ids, messages
from papayaloom.process import comparison, detection, members, view

Cfg = detection.Cfg
_State = messages.MemberState
_Sends = list[messages.Send]
# The dead are few, so looking at them this often costs nothing measurable.
_FORGET_PERIOD_S = 0.5
# A stop is told to this many members directly; gossip brings it to the rest.
_FAREWELLS = 6
# One order for each engine and organisation that this router serves.
_MAX_RANKED = 16384


class MemberDump(msgspec.Struct, frozen=True):
    """One member in the dump.

    :param heard_s: seconds since its last own message; -1 never.
    :param listed: the platform's host list names it.
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
    """State of membership for the dump.

    :param settled: the view was once found equal to another router's.
    :param news: updates that still have to be passed on.
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

    :param me: this router; its incarnation must grow with every start, such
        as the seconds since 1970.
    :param head: returns the version and digest of this router's settings,
        which travel with the probes.
    """

    def __init__(
        self,
        cfg: Cfg,
        me: messages.Member,
        rng: random.Random,
        head: typing.Callable[[], messages.Digest],
    ) -> None:
        """Start with a view of this router alone."""
        self._cfg = cfg
        self._view = view.View(me, cfg.repeat_factor, rng)
        self._detector = detection.Detector(cfg, self._view, rng, head)
        self.table = self._view.table
        self._compare = comparison.Comparison(self.table, rng)
        self._ranked: dict[str, list[ids.RouterId]] = {}
        self._ranked_at = -1
        self._alive: dict[bool, tuple[int, list[messages.Member]]] = {}
        self._forget_at = float('-inf')

    def subscribe(
        self, subscriber: typing.Callable[[messages.Member], object]
    ) -> None:
        """Call a function with every member whose state changes."""
        self._view.subscribers.append(subscriber)

    @property
    def me(self) -> messages.Member:
        """This router's own entry."""
        return self._view.me

    def configure(self, cfg: Cfg) -> None:
        """Take new settings; the view stays."""
        self._cfg = cfg
        self._detector.configure(cfg)

    def host_list(
        self, listed: typing.Iterable[messages.Member], now: float
    ) -> None:
        """Take a fresh host list: a seed, and a confirmation of deaths.

        It never removes a member that answers.
        """
        hosts = tuple(listed)
        self._view.listed = frozenset(host.router for host in hosts)
        for host in hosts:
            self.table.seed(host, now)

    def tick(self, now: float) -> _Sends:
        """Do the periodic work; call it every 0.1 s."""
        sends = self._detector.tick(now)
        if self._compare.is_due(now, self._cfg.sync_s):
            digest = self._compare.begin()
            sends += [_send(to, digest) for to in self._view.random(1)]
        if now >= self._forget_at:
            self._forget_at = now + _FORGET_PERIOD_S
            _forget(self.table, self._view.listed, self._cfg, now)
        return sends

    def handle(
        self, sender: ids.RouterId, message: messages.Message, now: float
    ) -> _Sends:
        """Take a message of another router; ignores those of other parts."""
        handlers = {
            messages.Ping: self._detector.answer,
            messages.Ack: self._detector.acked,
            messages.PingRequest: self._detector.relay,
            messages.ViewPart: self._merge_part,
        }
        handler: typing.Any = handlers.get(type(message))
        sends: _Sends = []
        if handler is not None:
            sends = handler(sender, message, now)
        elif isinstance(message, messages.Gossip):
            sends = self._detector.take(message.updates, sender, now)
        elif isinstance(message, messages.Leave):
            sends = self._detector.take((message.member,), sender, now)
        elif isinstance(message, messages.ViewDigest):
            sends = [_send(sender, self._compare.answer(message))]
        entry = self.table.get(sender)
        if entry is not None:
            entry.heard = now
            if entry.member.state is _State.SUSPECT:
                # It lives, only slowly; its refutation is on the way.
                entry.since = now
        return sends

    def leave(self, now: float) -> _Sends:
        """Set the leave mark; this router still finishes its requests."""
        return self._farewell(_State.LEAVING, now)

    def stopped(self, now: float) -> _Sends:
        """Say that this router is gone; send this before the process ends."""
        return self._farewell(_State.DEAD, now)

    def alive(self, *, leaving: bool = True) -> list[messages.Member]:
        """Return the members that count as alive, this router included.

        Suspects count as alive; a suspect that announced a stop is shown as
        leaving. The same list is returned until something
        changes, so that callers can tell a change; don't change the list.

        :param leaving: include those that announced a stop.
        """
        revision, members_alive = self._alive.get(leaving, (-1, []))
        if revision != self.table.revision:
            members_alive = [
                _shown(entry)
                for entry in self.table.alive()
                if leaving or not entry.leaving
            ]
            self._alive[leaving] = (self.table.revision, members_alive)
        return members_alive

    def ranked(self, key: str, count: int = 2) -> list[ids.RouterId]:
        """Return the first members in rank for a key that are not gone.

        Suspects and the recently dead keep their rank; see :meth:`is_gone`.
        """
        if self._ranked_at != self.table.revision:
            self._ranked = {}
            self._ranked_at = self.table.revision
        order = self._ranked.get(key)
        if order is None or len(order) < count:
            candidates = [
                router
                for router, entry in self.table.entries.items()
                if entry.known and not entry.gone
            ]
            order = hashing.rank(key, candidates, count)
            if len(self._ranked) >= _MAX_RANKED:
                self._ranked.clear()
            self._ranked[key] = order
        return order[:count]

    def is_gone(self, router: ids.RouterId) -> bool:
        """Return whether a member is confirmed gone.

        It said that it stopped, or it is dead and either off the host list
        or dead for longer than the confirm time. Unknown names are gone.
        """
        entry = self.table.get(router)
        return entry is None or entry.gone

    def is_settled(self) -> bool:
        """Return whether the view was once equal to another router's."""
        return self._compare.is_settled

    def dump(self, now: float) -> Dump:
        """Return the state for the dump."""
        listed = self._view.listed or frozenset()
        return Dump(
            me=self.me.router,
            incarnation=self.me.incarnation,
            settled=self._compare.is_settled,
            alive=len(self.table.alive()),
            listed=len(listed),
            news=len(self._view.news),
            counts=dict(self._view.counts),
            members=tuple(
                _dump_entry(entry, now, router in listed)
                for router, entry in sorted(self.table.entries.items())
            ),
        )

    def _merge_part(
        self, sender: ids.RouterId, part: messages.ViewPart, now: float
    ) -> _Sends:
        answer = self._compare.answered(part)
        sends = self._detector.take(part.members, sender, now, is_copy=True)
        if answer is not None:
            sends.append(_send(sender, answer))
        return sends

    def _farewell(self, state: _State, now: float) -> _Sends:
        me = msgspec.structs.replace(
            self.me,
            incarnation=self.me.incarnation + 1,
            state=state,
            by=self.me.router,
        )
        self._view.announce(me, now)
        return [
            _send(to, messages.Leave(me))
            for to in self._view.random(_FAREWELLS)
        ]


def _forget(
    table: members.Table,
    listed: frozenset[ids.RouterId] | None,
    cfg: Cfg,
    now: float,
) -> None:
    """Confirm deaths and forget hosts that are gone for long."""
    for entry in table.down():
        router = entry.member.router
        off_list = listed is not None and router not in listed
        if entry.known:
            _age(table, entry, off_list, cfg, now)
        elif off_list:
            table.remove(router)


def _age(
    table: members.Table,
    entry: members.Entry,
    off_list: bool,
    cfg: Cfg,
    now: float,
) -> None:
    dead_s = now - entry.since
    if dead_s > cfg.forget_s:
        table.remove(entry.member.router)
    elif off_list or dead_s > cfg.confirm_s:
        table.confirm_gone(entry)


def _shown(entry: members.Entry) -> messages.Member:
    if not entry.leaving or entry.member.state is _State.LEAVING:
        return entry.member
    return msgspec.structs.replace(entry.member, state=_State.LEAVING)


def _dump_entry(entry: members.Entry, now: float, listed: bool) -> MemberDump:
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
