"""Deadline of a request.

A caller states in ``X-Deadline-Ms`` how long it waits, counted from the
arrival of the request, so that clocks of callers and hosts don't matter.
"""

import msgspec
import result


class Cfg(msgspec.Struct, frozen=True):
    """Limits of deadlines.

    :param default_s: for callers that state none.
    :param longest_s: longer wishes are cut to this.
    """

    default_s: float = 60
    longest_s: float = 600


def parse(text: str, cfg: Cfg, now: float) -> result.Result[float, str]:
    """Return the monotonic time of the deadline in seconds.

    :param text: value of the header, empty when absent.
    :returns: the time, or why the header is refused.
    """
    if not text:
        return result.Ok(now + cfg.default_s)
    # 12 digits are 31 years; int() of longer texts costs time.
    if not text.isascii() or not text.isdigit() or len(text) > 12:
        return result.Err('X-Deadline-Ms is not a whole number')
    return result.Ok(now + min(int(text) / 1000, cfg.longest_s))
