"""System clock, and a virtual clock for tests and benchmarks."""

import time
import typing


class Clock(typing.Protocol):
    """Source of time for actors; decision modules get times as arguments."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never decreases."""

    def unix_ms(self) -> int:
        """Return Unix time in milliseconds, for times shared between hosts."""


class SystemClock:
    """Clock of the host."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()

    def unix_ms(self) -> int:
        """Return Unix time in milliseconds."""
        return time.time_ns() // 1_000_000


class VirtualClock:
    """Clock that only advances by :meth:`advance`.

    :param start: first value of :meth:`monotonic`, in seconds.
    """

    def __init__(self, start: float = 0) -> None:
        """Start at the given time."""
        self._now = start

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def unix_ms(self) -> int:
        """Return the virtual time as Unix time in milliseconds."""
        return 1_700_000_000_000 + round(self._now * 1000)

    def advance(self, seconds: float) -> None:
        """Advance the clock.

        :param seconds: duration; a negative one is ignored.
        """
        self._now += max(seconds, 0)
