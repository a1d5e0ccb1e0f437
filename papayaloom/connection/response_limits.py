"""Size limits on the responses of a faulty upstream.

Protects against upstreams that send unlimited data: informational responses,
headers, bodies, chunk extensions, trailers, events, or responses to other
requests.
"""

import msgspec

from papayaloom import errors

# Charge for each parsed part, because parsing many tiny parts costs more than
# their size suggests.
PART_COST_BYTES = 512


class UnboundedResponseError(errors.UpstreamError):
    """An upstream sent more than a response, or its part of a budget, allows.

    This is its own fault, and says nothing about whether its process runs.
    """

    def __init__(self, message: str) -> None:
        """The request may have run."""
        super().__init__(message, errors.Verdict.MAY_HAVE_RUN)


class ResponseLimits(msgspec.Struct, frozen=True):
    """Limits on one response, in bytes read from the connection.

    Each part that the parser returns is charged :data:`PART_COST_BYTES` in
    addition to its size.

    :param head: status line and headers of one response, which the parser
        buffers.
    :param answer: a response that is read completely, including everything
        that precedes it.
    :param event: data that a stream may send without completing a new event,
        several times the longest event; also the body of a refusal.
    :param informational_responses: number of responses with status 1xx before
        the final one.
    :param foreign_responses: number of responses to other requests that are
        skipped.
    :param comments: parts of a stream that end with comments, which are passed
        on as keep-alives, before a new event.
    """

    head: int = 16_384
    answer: int = 8_388_608
    event: int = 1_048_576
    informational_responses: int = 16
    foreign_responses: int = 8
    comments: int = 512


DEFAULT = ResponseLimits()
