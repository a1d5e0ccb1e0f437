"""Safe reuse of upstream connections.

A connection is reused only if the response was read completely. Unread bytes
would be taken for the start of the next response, so a caller could receive
the response to another caller's request.
"""

import typing

import urllib3

# Servers usually send the end of a chunked body right after the last event.
# Opening a new connection is cheaper than a thread that waits longer for it.
END_WAIT_S = 0.01


def release_or_close(
    answer: urllib3.BaseHTTPResponse, wait_s: float = END_WAIT_S
) -> bool:
    """Return a connection to its pool, or close it.

    :param answer: a response whose payload has been read.
    :param wait_s: how long to wait for the end of the body, in seconds.
    :returns: whether the connection can be reused.
    """
    reusable = is_fully_read(answer, wait_s)
    if reusable:
        answer.release_conn()
    else:
        answer.close()
    return reusable


def is_fully_read(answer: urllib3.BaseHTTPResponse, wait_s: float) -> bool:
    """Return whether the body was read completely.

    Reads at most once more, to consume the final chunk of a chunked body.
    """
    conn = answer.connection
    sock = typing.cast('typing.Any', getattr(conn, 'sock', None))
    if sock is None:
        # urllib3 released the connection when it read the end of the body.
        return conn is None and answer.closed
    try:
        sock.settimeout(wait_s)
        return not answer.read1() and answer.closed
    except (urllib3.exceptions.HTTPError, OSError, ValueError):
        return False
