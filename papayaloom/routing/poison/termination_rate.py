"""How likely it is that replicas terminated under a prompt part by chance.

Answers replicas that crash for reasons of their own while they run many
streams: under each second of a stream, whatever its parts, its replica then
terminates with the same probability. A part that causes terminations sees many
more of them in the time that requests with it have run.
"""

import math
import typing

# Time over which earlier requests fade.
_FADE_S = 30.0
# What is assumed before any request: one termination in this time.
_PRIOR_S = 30.0


class TerminationRate:
    """Terminations under the requests of one host, for each second they ran."""

    def __init__(self) -> None:
        """Start without requests."""
        self._terminations: float = 0
        self._ran_s: float = 0
        self._faded_at: float = 0

    def record(self, ran_s: float, now: float, *, is_terminated: bool) -> None:
        """Record a request that has ended.

        :param ran_s: seconds for which it ran.
        :param is_terminated: whether its replica terminated.
        """
        self._fade(now)
        self._ran_s += ran_s
        self._terminations += is_terminated

    def per_second(self, now: float) -> float:
        """Return the terminations for each second that a request runs."""
        self._fade(now)
        return (self._terminations + 1) / (self._ran_s + _PRIOR_S)

    def chance(
        self, count: int, runs_s: typing.Iterable[float], now: float
    ) -> float:
        """Return the probability of so many terminations by chance.

        :param count: number of terminations.
        :param runs_s: seconds for which the requests under them had run.
        """
        expected = self.per_second(now) * sum(runs_s)
        # The terms of a Poisson distribution, each from the one before.
        term = math.exp(-expected)
        fewer = term
        for number in range(1, count):
            term *= expected / number
            fewer += term
        return max(1 - fewer, 0)

    def _fade(self, now: float) -> None:
        share = math.exp(min(self._faded_at - now, 0) / _FADE_S)
        self._terminations *= share
        self._ran_s *= share
        self._faded_at = now
