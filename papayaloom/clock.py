"""Clocks: the real one and a virtual one for tests and benchmarks."""

import time
import typing


class Clock(typing.Protocol):
    """Source of time for actors; decision modules receive plain numbers."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never goes backwards."""

    def unix_ms(self) -> int:
        """Return milliseconds since 1970, for times that hosts share."""


class SystemClock:
    """Clock of the host."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()

    def unix_ms(self) -> int:
        """Return milliseconds since 1970."""
        return time.time_ns() // 1_000_000


class VirtualClock:
    """Clock that moves only when told to.

    :param start: first value of :meth:`monotonic`, in seconds.
    """

    def __init__(self, start: float = 0) -> None:
        """Start at a fixed time."""
        self._now = start

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def unix_ms(self) -> int:
        """Return the virtual time in milliseconds since 1970."""
        return 1_700_000_000_000 + round(self._now * 1000)

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: how far, not negative.
        """
        self._now += max(seconds, 0)
