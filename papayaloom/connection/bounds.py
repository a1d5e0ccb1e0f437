"""Bounds on what an upstream in trouble may send.

Answers upstreams that send bytes without end: further heads, a head, a body,
chunk extensions, trailers, events, or answers to other requests.
"""

import msgspec

# Parsing many tiny parts costs more than their bytes.
PART_COST_BYTES = 512


class Bounds(msgspec.Struct, frozen=True):
    """Bounds on one answer, in bytes of the connection.

    Each part that the parser finds counts like :data:`PART_COST_BYTES` more.

    :param head: one head; the parser keeps so much of it in memory.
    :param answer: an answer that is read whole, and whatever comes before it.
    :param event: what a stream may send without a new event; several times the
        longest event.
    :param further_heads: informational heads before an answer.
    :param foreign_answers: answers to other requests that are skipped.
    """

    head: int = 16_384
    answer: int = 8_388_608
    event: int = 1_048_576
    further_heads: int = 16
    foreign_answers: int = 8


DEFAULT = Bounds()
