"""Placement hashes: rendezvous hashing for hosts, a hash ring for engines."""

import bisect
import math
import typing

import xxhash

VIRTUAL_NODES = 64
# Above the largest hash, so that its logarithm is not 0.
_HASHES = 2**64 + 1
_Member = typing.TypeVar('_Member', bound=str)


def weight(key: str, member: str) -> int:
    """Return the rendezvous weight of a member for a key (64 bits)."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{member}'.encode())


def rank(
    key: str,
    members: typing.Iterable[_Member],
    count: int = 1,
) -> list[_Member]:
    """Rank members for a key by rendezvous hashing, highest weight first.

    Computes one hash per member, so it suits hosts (hundreds), not engines.

    :param count: maximum number of members to return.
    """
    weighted = sorted(
        ((weight(key, member), member) for member in members),
        reverse=True,
    )
    return [member for _, member in weighted[:count]]


def weighted_rank(
    key: str, shares: typing.Mapping[_Member, float]
) -> list[_Member]:
    """Rank members for a key by weighted rendezvous hashing.

    A member comes first for a part of the keys in proportion to its share. Equal
    shares give the order of :func:`rank`.

    :param shares: positive share of each member.
    """
    scores = {
        member: share / -math.log((weight(key, member) + 1) / _HASHES)
        for member, share in shares.items()
    }
    return sorted(shares, key=lambda member: scores[member], reverse=True)


def highest_ranked(
    key: str, members: typing.Iterable[_Member]
) -> _Member | None:
    """Return the member with the highest weight, or None without members."""
    return max(
        members,
        key=lambda member: (weight(key, member), member),
        default=None,
    )


class Ring(typing.Generic[_Member]):
    """Consistent hash ring; a look-up takes logarithmic time.

    :param members: the members, in any order.
    """

    def __init__(self, members: typing.Iterable[_Member]) -> None:
        """Sort the virtual nodes of all members by hash."""
        nodes = sorted(
            (weight(str(replica), member), member)
            for member in set(members)
            for replica in range(VIRTUAL_NODES)
        )
        self._hashes = [node_hash for node_hash, _ in nodes]
        self._owners = [member for _, member in nodes]

    def candidates(self, key: str, count: int) -> list[_Member]:
        """Return up to ``count`` distinct members clockwise from the key."""
        start = bisect.bisect(
            self._hashes, xxhash.xxh3_64_intdigest(key.encode())
        )
        distinct: dict[_Member, None] = {}
        # Index from the start point; iterating up to it would take linear time.
        size = len(self._owners)
        for offset in range(size):
            distinct[self._owners[(start + offset) % size]] = None
            if len(distinct) == count:
                break
        return list(distinct)
