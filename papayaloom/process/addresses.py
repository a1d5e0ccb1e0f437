"""The answer to "which router should this caller use"."""

import random
import typing

import msgspec

from papayaloom import hashing, ids, messages

_State = messages.MemberState
# The home of a chat and the router that becomes its home next.
_RANKED = 2


class Cfg(msgspec.Struct, frozen=True):
    """Settings of address answers.

    :param ttl_s: how long callers may keep an answer.
    :param count: most addresses in an answer.
    """

    ttl_s: float = 30
    count: int = 4


class Address(msgspec.Struct, frozen=True):
    """One router that the caller may use."""

    url: str
    router: ids.RouterId
    zone: ids.ZoneId


class Answer(msgspec.Struct, frozen=True):
    """Addresses in the order of preference."""

    addresses: tuple[Address, ...]
    ttl_s: float


class Question(msgspec.Struct, frozen=True):
    """Who asks.

    :param chat: chat to continue; empty for none.
    :param zone: availability zone of the caller; empty when unknown.
    :param region: region of the caller; that of its zone when empty.
    :param org: organisation; does not change the answer, since chat ids
        alone decide the home.
    """

    chat: str = ''
    zone: str = ''
    region: str = ''
    org: str = ''


def usable(
    members: typing.Iterable[messages.Member],
) -> list[messages.Member]:
    """Return the members that an answer may name: no leaving or dead ones."""
    return [
        member
        for member in members
        if member.state in {_State.ALIVE, _State.SUSPECT} and member.http
    ]


def answer(
    view: messages.FleetView,
    question: Question,
    zone: ids.ZoneId,
    rng: random.Random,
) -> Answer:
    """Return the routers that a caller should try, best first.

    For a chat: its home in the caller's region, the next in rank, then
    routers of the caller's zone. Without a chat: routers of the caller's
    zone at random, then others of its region. Other regions come last.

    :param zone: zone of the answering host, for callers that name none.
    """
    members = usable(view.members)
    rng.shuffle(members)
    own_zone = question.zone or zone
    region = question.region or _region_of(own_zone, members)
    near = sorted(
        members, key=lambda member: _distance(member, own_zone, region)
    )
    if question.chat:
        local = [one for one in near if one.region == region] or near
        order = hashing.rank(
            question.chat, (one.router for one in local), _RANKED
        )
        firsts = [
            one for router in order for one in near if one.router == router
        ]
        near = firsts + [one for one in near if one not in firsts]
    chosen = near[: max(view.count, 1)]
    return Answer(
        tuple(Address(one.http, one.router, one.zone) for one in chosen),
        view.ttl_s,
    )


def _region_of(zone: str, members: list[messages.Member]) -> str:
    return next((one.region for one in members if one.zone == zone), '')


def _distance(
    member: messages.Member, zone: str, region: str
) -> tuple[bool, bool, bool]:
    # A suspect is worth a try only after all others of its zone.
    suspect = member.state is _State.SUSPECT
    return member.region != region, member.zone != zone, suspect
