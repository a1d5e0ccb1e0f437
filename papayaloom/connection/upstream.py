"""Rule for the reuse of a connection to an upstream.

A connection is reused only when the answer was read to its very end. Bytes
that are left on a connection would become the beginning of the next answer,
so a caller could get the answer to another caller's request.
"""

import typing

import urllib3

# The end of a chunked body follows its last event at once. A server that takes
# longer costs a new connection, which is cheaper than a waiting thread.
END_WAIT_S = 0.01


def settle(
    answer: urllib3.BaseHTTPResponse, wait_s: float = END_WAIT_S
) -> bool:
    """Give a connection back to its pool, or close it.

    :param answer: an answer whose useful part was read.
    :param wait_s: how long to wait for the end of the body, in seconds.
    :returns: whether the connection can be reused.
    """
    reusable = at_end(answer, wait_s)
    if reusable:
        answer.release_conn()
    else:
        answer.close()
    return reusable


def at_end(answer: urllib3.BaseHTTPResponse, wait_s: float) -> bool:
    """Return whether the body was read to its end.

    Reads at most once more, to consume the end mark of a chunked body.
    """
    conn = answer.connection
    sock = typing.cast('typing.Any', getattr(conn, 'sock', None))
    if sock is None:
        # urllib3 gave the connection back when it read the end of the body.
        return conn is None and answer.closed
    try:
        sock.settimeout(wait_s)
        return not answer.read1() and answer.closed
    except (urllib3.exceptions.HTTPError, OSError, ValueError):
        return False
