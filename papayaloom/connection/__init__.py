"""Connections, sockets and protocol framing."""
