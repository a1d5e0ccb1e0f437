"""Address queries: selection of the routers that a caller should use."""

import random
import typing

import msgspec

from papayaloom import hashing, ids, messages

_State = messages.MemberState
# The home router of a chat and the router that takes over as its next home.
_MAX_RANKED = 2


class Cfg(msgspec.Struct, frozen=True):
    """Settings of address answers.

    :param ttl_s: how long callers may cache an answer.
    :param count: maximum number of addresses in an answer.
    """

    ttl_s: float = 30
    count: int = 4


class Address(msgspec.Struct, frozen=True):
    """Address of one router that the caller may use."""

    url: str
    router: ids.RouterId
    zone: ids.ZoneId


class Answer(msgspec.Struct, frozen=True):
    """Addresses in order of preference."""

    addresses: tuple[Address, ...]
    ttl_s: float


class Question(msgspec.Struct, frozen=True):
    """Parameters of an address query.

    :param chat: chat to continue; empty for none.
    :param zone: availability zone of the caller; empty if unknown.
    :param region: region of the caller; defaults to the region of its zone.
    :param org: organisation of the caller. It does not affect the answer,
        because the home router depends on the chat id alone.
    """

    chat: str = ''
    zone: str = ''
    region: str = ''
    org: str = ''


def usable(
    members: typing.Iterable[messages.Member],
) -> list[messages.Member]:
    """Return the members that answers may contain: not leaving or dead."""
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

    With a chat: the home router in the caller's region, the next-ranked
    router, then routers in the caller's zone. Without a chat: routers in the
    caller's zone in random order, then others in its region. Other regions
    come last.

    :param zone: zone of the answering host, used for callers that send none.
    """
    members = usable(view.members)
    rng.shuffle(members)
    own_zone = question.zone or zone
    region = question.region or _region_of(own_zone, members)
    nearest = sorted(
        members, key=lambda member: _sort_key(member, own_zone, region)
    )
    if question.chat:
        local = [
            member for member in nearest if member.region == region
        ] or nearest
        order = hashing.rank(
            question.chat, (member.router for member in local), _MAX_RANKED
        )
        ranked = [
            member
            for router in order
            for member in nearest
            if member.router == router
        ]
        nearest = ranked + [
            member for member in nearest if member not in ranked
        ]
    chosen = nearest[: max(view.count, 1)]
    return Answer(
        tuple(
            Address(member.http, member.router, member.zone)
            for member in chosen
        ),
        view.ttl_s,
    )


def _region_of(zone: str, members: list[messages.Member]) -> str:
    return next(
        (member.region for member in members if member.zone == zone), ''
    )


def _sort_key(
    member: messages.Member, zone: str, region: str
) -> tuple[bool, bool, bool]:
    # Suspects come after all other members of their zone.
    is_suspect = member.state is _State.SUSPECT
    return member.region != region, member.zone != zone, is_suspect
