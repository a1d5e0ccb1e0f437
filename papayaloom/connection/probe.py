"""Distinguishes a process that has exited from a broken connection."""

import socket

import structlog

_log = structlog.get_logger('probe')
_CONNECT_S = 0.25


def has_ended(address: tuple[str, int]) -> bool:
    """Return whether no process listens at an address any more.

    Only a refused connection counts. An unreachable host does not respond,
    which says nothing about the process.

    :param address: host and port.
    """
    try:
        conn = socket.create_connection(address, timeout=_CONNECT_S)
    except ConnectionRefusedError:
        return True
    except OSError as exc:
        _log.info(
            'probe: connection attempt failed', address=address, reason=str(exc)
        )
        return False
    conn.close()
    return False
