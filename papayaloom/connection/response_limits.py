"""Size limits on the responses of a faulty upstream.

Protects against upstreams that send unlimited data: informational responses,
headers, bodies, chunk extensions, trailers, events, or responses to other
requests.
"""

import msgspec

# Charge for each parsed part, because parsing many tiny parts costs more than
# their size suggests.
PART_COST_BYTES = 512


class ResponseLimits(msgspec.Struct, frozen=True):
    """Limits on one response, in bytes read from the connection.

    Each part that the parser returns is charged :data:`PART_COST_BYTES` in
    addition to its size.

    :param head: status line and headers of one response, which the parser
        buffers.
    :param answer: a response that is read completely, including everything
        that precedes it.
    :param event: data that a stream may send without completing a new event;
        several times the longest event.
    :param informational_responses: number of responses with status 1xx before
        the final one.
    :param foreign_responses: number of responses to other requests that are
        skipped.
    """

    head: int = 16_384
    answer: int = 8_388_608
    event: int = 1_048_576
    informational_responses: int = 16
    foreign_responses: int = 8


DEFAULT = ResponseLimits()
