"""Describes failed HTTP calls for operators."""

import urllib3


def describe(exc: Exception) -> str:
    """Return a short text for an exception of urllib3."""
    text = str(exc)
    if isinstance(exc, urllib3.exceptions.NewConnectionError):
        return text.rpartition('Errno')[2].partition(']')[2].strip()
    if isinstance(exc, urllib3.exceptions.TimeoutError):
        return 'timed out'
    if isinstance(exc, urllib3.exceptions.ProtocolError):
        return 'the connection was closed'
    return text
