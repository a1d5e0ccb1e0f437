"""Free ports of loopback, so that test runs can stand beside each other."""

import contextlib
import socket

_LOOPBACK = '127.0.0.1'


def free_port():
    """Return a port that nobody listens on."""
    return free_ports(_LOOPBACK, 1)[0]


def free_ports(ip, count):
    """Return different ports of an address that nobody listens on."""
    with contextlib.ExitStack() as open_until_all_are_known:
        socks = [
            open_until_all_are_known.enter_context(socket.socket())
            for _ in range(count)
        ]
        for sock in socks:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in socks]
