"""Member table and the precedence rules for membership updates."""

import typing

import msgspec
import xxhash

from papayaloom import ids, messages

BUCKETS = 32
# Two confirmers suffice to declare a member dead. Gossiping a third and a
# fourth one took a third of the bytes under churn at 360 members.
MAX_CONFIRMERS = 2
_State = messages.MemberState
_PRECEDENCE = (_State.ALIVE, _State.LEAVING, _State.SUSPECT, _State.DEAD)


class Entry(msgspec.Struct):
    """Table entry for one member.

    :param since: time at which the member entered its current state.
    :param heard: time of the last message from the member itself; -1 if there
        was none.
    :param known: whether any router has heard of the member; false for a host
        that appears only in the host list.
    :param leaving: the member announced a stop in this or a later
        incarnation.
    :param gone: the member is confirmed gone: it announced so itself, it has
        been dead for long, or it is dead and not in the host list.
    :param confirmers: routers that suspect the member.
    """

    member: messages.Member
    since: float
    heard: float = -1
    known: bool = True
    leaving: bool = False
    gone: bool = False
    confirmers: tuple[ids.RouterId, ...] = ()

    @property
    def is_alive(self) -> bool:
        """Whether the member counts as alive, including suspects."""
        return self.known and self.member.state is not _State.DEAD


class MemberTable:
    """All members by name, including dead ones until they are removed."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.entries: dict[ids.RouterId, Entry] = {}
        # Incremented with every change, so that readers can cache rankings
        # derived from the table.
        self.revision = 0
        # Entries grouped by state, cached per revision. A scan of all entries
        # at every tick took a third of the CPU time at 360 members.
        self._groups = _Groups([], [], [], -1)
        self._digest: tuple[int, tuple[int, ...]] = (-1, ())

    def get(self, router: ids.RouterId) -> Entry | None:
        """Return the entry of a member, or None."""
        return self.entries.get(router)

    def knows(self, router: ids.RouterId) -> bool:
        """Return whether any router has heard of a member."""
        entry = self.entries.get(router)
        return entry is not None and entry.known

    def alive(self) -> list[Entry]:
        """Return the members that count as alive; do not modify the list."""
        return self._grouped().alive

    def suspects(self) -> list[Entry]:
        """Return the suspects; do not modify the list."""
        return self._grouped().suspects

    def down(self) -> list[Entry]:
        """Return dead and seeded-only members; do not modify the list."""
        return self._grouped().down

    def seed(self, member: messages.Member, now: float) -> None:
        """Add a host from the host list that no router has heard of yet."""
        if member.router not in self.entries:
            seeded = msgspec.structs.replace(
                member, incarnation=0, state=_State.ALIVE
            )
            self.entries[member.router] = Entry(seeded, now, known=False)
            self.revision += 1

    def merge(self, update: messages.Member, now: float) -> bool:
        """Apply an update if it supersedes the current entry.

        A higher incarnation wins. Within one incarnation a state replaces
        only states of lower precedence; the order from low to high is alive,
        leaving, suspect, dead.

        :returns: whether the update was new and should be gossiped.
        """
        entry = self.entries.get(update.router)
        if entry is None:
            return self._add(update, now)
        if not entry.known and update.address:
            self.entries.pop(update.router)
            return self._add(update, now)
        if _is_newer(update, entry.member):
            _apply(entry, update, now)
            self.revision += 1
            return True
        return _add_confirmer(entry, update)

    def confirm_gone(self, entry: Entry) -> None:
        """Mark a dead member as gone, which removes it from rankings."""
        if not entry.gone:
            entry.gone = True
            self.revision += 1

    def remove(self, router: ids.RouterId) -> None:
        """Remove a member."""
        self.entries.pop(router, None)
        self.revision += 1

    def digest(self) -> tuple[int, ...]:
        """Return one hash for each bucket of names.

        Suspicions and dead members are excluded: suspicions are short-lived,
        and routers remove dead members at different times.
        """
        if self._digest[0] == self.revision:
            return self._digest[1]
        buckets = [0 for _ in range(BUCKETS)]
        for router, entry in self.entries.items():
            if entry.is_alive:
                text = f'{router} {entry.member.incarnation} {entry.leaving}'
                buckets[bucket_of(router)] ^= xxhash.xxh32_intdigest(
                    text.encode()
                )
        self._digest = (self.revision, tuple(buckets))
        return self._digest[1]

    def in_buckets(
        self, buckets: typing.Collection[int]
    ) -> tuple[messages.Member, ...]:
        """Return the known members of some buckets, including dead ones."""
        return tuple(
            entry.member
            for router, entry in self.entries.items()
            if entry.known and bucket_of(router) in buckets
        )

    def _grouped(self) -> '_Groups':
        if self._groups.revision != self.revision:
            groups = _Groups([], [], [], self.revision)
            for entry in self.entries.values():
                group = groups.alive if entry.is_alive else groups.down
                group.append(entry)
                if entry.member.state is _State.SUSPECT:
                    groups.suspects.append(entry)
            self._groups = groups
        return self._groups

    def _add(self, update: messages.Member, now: float) -> bool:
        # An update without addresses cannot create an entry; anti-entropy
        # delivers the full entry later.
        if not update.address:
            return False
        entry = Entry(update, now)
        _apply(entry, update, now)
        self.entries[update.router] = entry
        self.revision += 1
        return True


class _Groups(msgspec.Struct, frozen=True):
    alive: list[Entry]
    suspects: list[Entry]
    down: list[Entry]
    revision: int


def bucket_of(router: ids.RouterId) -> int:
    """Return the anti-entropy bucket of a name."""
    return xxhash.xxh32_intdigest(router.encode()) % BUCKETS


def without_addresses(member: messages.Member) -> messages.Member:
    """Drop the fields that every router already knows."""
    return messages.Member(
        router=member.router,
        address='',
        http='',
        zone=ids.ZoneId(''),
        region=ids.RegionId(''),
        incarnation=member.incarnation,
        state=member.state,
        by=member.by,
    )


def _is_newer(update: messages.Member, known: messages.Member) -> bool:
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return _PRECEDENCE.index(update.state) > _PRECEDENCE.index(known.state)


def _apply(entry: Entry, update: messages.Member, now: float) -> None:
    if not update.address:
        update = msgspec.structs.replace(
            entry.member,
            incarnation=update.incarnation,
            state=update.state,
            by=update.by,
        )
    if update.state is _State.LEAVING:
        entry.leaving = True
    elif update.state is _State.ALIVE:
        entry.leaving = False
    entry.gone = update.state is _State.DEAD and update.by == update.router
    entry.confirmers = (
        (update.by,) if update.state is _State.SUSPECT and update.by else ()
    )
    entry.member = update
    entry.since = now


def _add_confirmer(entry: Entry, update: messages.Member) -> bool:
    same = (
        update.state is _State.SUSPECT
        and entry.member.state is _State.SUSPECT
        and update.incarnation == entry.member.incarnation
    )
    if not same or update.by in entry.confirmers or not update.by:
        return False
    if len(entry.confirmers) >= MAX_CONFIRMERS:
        return False
    entry.confirmers += (update.by,)
    return True
