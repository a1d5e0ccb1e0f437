"""Promises between the first and the second router in the rank of an engine.

The second promises not to admit for a time. The promise travels in the
answer to a probe of the first, which counts it from the moment when it sent
that probe. So it ends at the first before it ends at the second, however
long the messages took.
"""

import typing

from papayaloom import ids

# Part of a promise that is not used, for clocks that run at different rates.
_DRIFT = 0.01


class Promises:
    """Promises given and held, as times on this router's own clock."""

    def __init__(self) -> None:
        """Start without promises."""
        self._given: dict[ids.RouterId, float] = {}
        self._held: dict[ids.RouterId, float] = {}
        self.partners: frozenset[ids.RouterId] = frozenset()

    def want(self, partners: typing.Iterable[ids.RouterId]) -> None:
        """Say whose promises are needed: the seconds of one's own engines."""
        self.partners = frozenset(partners)

    def give(self, router: ids.RouterId, length_s: float, now: float) -> None:
        """Record a promise that goes out now."""
        self._given[router] = max(self._given.get(router, now), now + length_s)

    def hold(self, router: ids.RouterId, length_s: float, asked: float) -> None:
        """Record a promise that answers a probe sent at ``asked``."""
        until = asked + length_s * (1 - _DRIFT)
        self._held[router] = max(self._held.get(router, until), until)

    def given_until(self, router: ids.RouterId) -> float:
        """Return until when this router must not admit in place of another.

        Never promised means the distant past.
        """
        return self._given.get(router, float('-inf'))

    def held_until(self, router: ids.RouterId) -> float:
        """Return until when another router will not admit in place of this."""
        return self._held.get(router, float('-inf'))

    def expire(self, now: float) -> None:
        """Forget promises that are over."""
        self._given = {
            router: until
            for router, until in self._given.items()
            if until > now
        }
        self._held = {
            router: until for router, until in self._held.items() if until > now
        }
