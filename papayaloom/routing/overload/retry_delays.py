"""Retry delays of rejected callers.

Answers two load patterns. During an overload, the more requests are rejected,
the longer it takes until there is room, so callers that return early would only
be rejected again. During an outage of unknown length, a caller is served most
likely if it returns as late as it accepts. In both cases the delays are spread,
so that callers do not all return at the same moment.
"""

import random

# Callers do not wait longer than this share of the time that they have left.
_MAX_SHARE_OF_LEFT = 1 / 3
_MIN_S = 0.25
# Bounds the delay of callers with very long deadlines.
_MAX_S = 10.0
# Share of rejected requests from which callers get the longest delay.
_LONGEST_FROM_SHARE = 0.5
# Delays are uniformly distributed between this share and the whole.
_MIN_SPREAD = 0.75
_RANKED_MIN_SPREAD = 0.5


def overload_s(
    rejected_share: float, left_s: float, rng: random.Random
) -> float:
    """Return the delay of a caller that an overloaded service rejects.

    :param rejected_share: share of the requests that are rejected, 0 to 1.
    :param left_s: time left until the caller's deadline.
    """
    longest_s = _MAX_SHARE_OF_LEFT * left_s
    delay_s = longest_s * min(rejected_share / _LONGEST_FROM_SHARE, 1)
    return _spread(max(delay_s, min(_MIN_S, longest_s)), rng)


def ranked_s(rejected_share: float, left_s: float, rng: random.Random) -> float:
    """Return the delay of a caller whose rank an overloaded service rejects.

    Many are rejected in the moment in which a burst begins, and room comes free
    over the time that requests run, so their returns are spread further.

    :param rejected_share: share of the requests that are rejected, 0 to 1.
    :param left_s: time left until the caller's deadline.
    """
    longest_s = overload_s(rejected_share, left_s, rng)
    return longest_s * rng.uniform(_RANKED_MIN_SPREAD, 1)


def outage_s(left_s: float, rng: random.Random) -> float:
    """Return the delay of a caller that is rejected during an outage.

    :param left_s: time left until the caller's deadline.
    """
    return _spread(max(_MAX_SHARE_OF_LEFT * left_s, _MIN_S), rng)


def _spread(delay_s: float, rng: random.Random) -> float:
    return min(delay_s, _MAX_S) * rng.uniform(_MIN_SPREAD, 1)
