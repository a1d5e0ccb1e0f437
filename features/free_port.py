"""Free ports of loopback, so that test runs can stand beside each other."""

import socket


def free_port():
    """Return a port that nobody listens on."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]
