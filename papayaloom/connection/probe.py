"""Tells a process that has ended from a connection that broke."""

import socket

import structlog

_log = structlog.get_logger('probe')
_CONNECT_S = 0.25


def has_ended(address: tuple[str, int]) -> bool:
    """Tell whether nothing listens at an address any more.

    A host that can't be reached does not answer: that is no sign of an end.

    :param address: host and port.
    """
    try:
        conn = socket.create_connection(address, timeout=_CONNECT_S)
    except ConnectionRefusedError:
        return True
    except OSError as exc:
        _log.info('probe: no answer', address=address, reason=str(exc))
        return False
    conn.close()
    return False
