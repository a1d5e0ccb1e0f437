"""Placement hashes: rendezvous order for hosts and a ring for engines."""

import bisect
import typing

import xxhash

VIRTUAL_NODES = 64
_Member = typing.TypeVar('_Member', bound=str)


def weight(key: str, member: str) -> int:
    """Return the rendezvous weight of a member for a key (64 bits)."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{member}'.encode())


def rank(
    key: str,
    members: typing.Iterable[_Member],
    count: int = 1,
) -> list[_Member]:
    """Order members for a key by rendezvous hashing, best first.

    Costs one hash a member, so it is meant for hosts (hundreds), not engines.

    :param count: how many members to return at the most.
    """
    weighted = sorted(
        ((weight(key, member), member) for member in members),
        reverse=True,
    )
    return [member for _, member in weighted[:count]]


def first(key: str, members: typing.Iterable[_Member]) -> _Member | None:
    """Return the best member for a key, or nothing without members."""
    return max(
        members,
        key=lambda member: (weight(key, member), member),
        default=None,
    )


class Ring(typing.Generic[_Member]):
    """Consistent hash ring; a look-up costs the logarithm of its size.

    :param members: the members, in any order.
    """

    def __init__(self, members: typing.Iterable[_Member]) -> None:
        """Sort the virtual nodes of all members."""
        points = sorted(
            (weight(str(number), member), member)
            for member in set(members)
            for number in range(VIRTUAL_NODES)
        )
        self._hashes = [point for point, _ in points]
        self._owners = [member for _, member in points]

    def candidates(self, key: str, count: int) -> list[_Member]:
        """Return up to ``count`` distinct members clockwise from the key."""
        start = bisect.bisect(
            self._hashes, xxhash.xxh3_64_intdigest(key.encode())
        )
        found: dict[_Member, None] = {}
        # Indexed from the start point: skipping to it would cost its position.
        size = len(self._owners)
        for step in range(size):
            found[self._owners[(start + step) % size]] = None
            if len(found) == count:
                break
        return list(found)
