"""Request deadlines.

``X-Deadline-Ms`` is a duration that starts when the request arrives, so that
the clocks of callers and hosts need not be synchronised.
"""

import msgspec
import result


class Cfg(msgspec.Struct, frozen=True):
    """Deadline limits.

    :param default_s: used if the caller states no deadline.
    :param longest_s: upper limit; longer deadlines are reduced to it.
    """

    default_s: float = 60
    longest_s: float = 600


def parse(text: str, cfg: Cfg, now: float) -> result.Result[float, str]:
    """Return the deadline in seconds of monotonic time.

    :param text: value of the header; empty if absent.
    :returns: the deadline, or the reason why the header is rejected.
    """
    if not text:
        return result.Ok(now + cfg.default_s)
    # 12 digits cover 31 years; parsing much longer numbers is expensive.
    if not text.isascii() or not text.isdigit() or len(text) > 12:
        return result.Err('X-Deadline-Ms is not a whole number')
    return result.Ok(now + min(int(text) / 1000, cfg.longest_s))
