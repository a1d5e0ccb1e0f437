"""Suspicion timeouts and the quorum for declaring a member dead."""

import math

import msgspec

from papayaloom import messages
from papayaloom.process import member_table

_State = messages.MemberState
_CONFIRMED_FACTOR = 0.75
# Relative growth of the timeout for each tenfold increase of the fleet size.
# Gossip needs about one second more to reach ten times as many members.
_GROWTH_PER_DECADE = 0.25


def timeout(base_s: float, size: int, confirmers: int) -> float:
    """Return the suspicion timeout in seconds.

    It grows with the logarithm of the fleet size, like the time that the
    suspicion and its refutation need to propagate, and shrinks to three
    quarters when two routers suspect the member independently.
    """
    longest = base_s * (1 + _GROWTH_PER_DECADE * math.log10(max(size, 10) / 10))
    if confirmers >= member_table.MAX_CONFIRMERS:
        return longest * _CONFIRMED_FACTOR
    return longest


def required_confirmers(table: member_table.MemberTable) -> int:
    """Return how many routers must suspect a member to declare it dead.

    Two, so that one slow host or one broken link never causes a false death;
    fewer only when no second router is left to confirm the suspicion.
    """
    healthy = sum(
        1 for entry in table.alive() if entry.member.state is not _State.SUSPECT
    )
    return min(2, max(healthy, 1))


def expired_suspects(
    table: member_table.MemberTable, base_s: float, now: float
) -> list[member_table.Entry]:
    """Return the suspects whose suspicion timeout has expired."""
    suspects = table.suspects()
    if not suspects:
        return []
    size, required = len(table.alive()), required_confirmers(table)
    return [
        entry
        for entry in suspects
        if len(entry.confirmers) >= required
        and now - entry.since >= timeout(base_s, size, len(entry.confirmers))
    ]


def downgrade_death(
    table: member_table.MemberTable,
    update: messages.Member,
    sender: messages.ids.RouterId,
) -> list[messages.Member]:
    """Replace an unconfirmed death with suspicions.

    A death is accepted immediately from the member itself, or when enough
    routers are known to suspect the member. Otherwise the router that
    declared the death and the sender are recorded as suspecting the member.
    Without this rule a router that was isolated alone would declare the whole
    fleet dead when it reconnects.
    """
    entry = table.get(update.router)
    if update.state is not _State.DEAD or update.by == update.router:
        return [update]
    if entry is None or not entry.known or not entry.is_alive:
        return [update]
    confirmers = {update.by, sender, *entry.confirmers} - {update.router, ''}
    same = update.incarnation == entry.member.incarnation
    if entry.member.state is _State.SUSPECT and same:
        if len(confirmers) >= required_confirmers(table):
            return [update]
    return [
        msgspec.structs.replace(update, state=_State.SUSPECT, by=confirmer)
        for confirmer in sorted({update.by, sender} - {update.router, ''})
    ]
