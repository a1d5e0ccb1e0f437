"""Upstreams that said themselves that they are leaving."""

import typing

# By this time the host list has caught up with an upstream's own word.
_KEPT_S = 120


class Leaving:
    """Names of leaving upstreams, each kept for a while."""

    def __init__(self) -> None:
        """Start without names."""
        self._until: dict[str, float] = {}

    def note(self, upstream: str, now: float) -> bool:
        """Note an upstream's word; true when it is news."""
        is_news = upstream not in self._until
        self._until[upstream] = now + _KEPT_S
        return is_news

    def names(self, now: float) -> typing.Container[str]:
        """Return the names that still count."""
        self._until = {
            name: until for name, until in self._until.items() if until > now
        }
        return self._until.keys()
