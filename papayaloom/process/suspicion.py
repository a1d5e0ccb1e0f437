"""How long a member is suspected before it is declared dead."""

import math

import msgspec

from papayaloom import messages
from papayaloom.process import members

_State = messages.MemberState
_SHORTEST_SHARE = 0.75
# Growth with each factor of ten in the fleet's size. News reaches ten times
# as many members within about one second more.
_GROWTH = 0.25


def timeout(base_s: float, size: int, confirmers: int) -> float:
    """Return the suspicion time in seconds.

    It grows with the logarithm of the fleet's size, because the news and the
    refutation need that long to travel, and shrinks to three quarters when
    two routers suspect the member independently.
    """
    longest = base_s * (1 + _GROWTH * math.log10(max(size, 10) / 10))
    if confirmers >= members.MAX_CONFIRMERS:
        return longest * _SHORTEST_SHARE
    return longest


def needed(table: members.Table) -> int:
    """Return how many routers must suspect a member to declare it dead.

    Two, so that one slow host or one broken link kills nobody; fewer only
    when no second router is left that could agree.
    """
    healthy = sum(
        1 for entry in table.alive() if entry.member.state is not _State.SUSPECT
    )
    return min(2, max(healthy, 1))


def expired(
    table: members.Table, base_s: float, now: float
) -> list[members.Entry]:
    """Return the suspects whose time is over."""
    suspects = table.suspects()
    if not suspects:
        return []
    size, enough = len(table.alive()), needed(table)
    return [
        entry
        for entry in suspects
        if len(entry.confirmers) >= enough
        and now - entry.since >= timeout(base_s, size, len(entry.confirmers))
    ]


def soften(
    table: members.Table, update: messages.Member, sender: messages.ids.RouterId
) -> list[messages.Member]:
    """Turn the news of a death into suspicions unless it is plausible here.

    A death is taken at once from the member itself, or when enough routers
    are known to suspect the member. Otherwise the router that declared it and
    the sender count as suspecting it: a router that was cut off alone would
    else bring the death of the whole fleet when it returns.
    """
    entry = table.get(update.router)
    if update.state is not _State.DEAD or update.by == update.router:
        return [update]
    if entry is None or not entry.known or not entry.is_alive:
        return [update]
    voices = {update.by, sender, *entry.confirmers} - {update.router, ''}
    same = update.incarnation == entry.member.incarnation
    if entry.member.state is _State.SUSPECT and same:
        if len(voices) >= needed(table):
            return [update]
    return [
        msgspec.structs.replace(update, state=_State.SUSPECT, by=voice)
        for voice in sorted({update.by, sender} - {update.router, ''})
    ]
