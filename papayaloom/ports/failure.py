"""Why a call over HTTP failed, in words for operators."""

import urllib3


def reason(exc: Exception) -> str:
    """Return the part of an error of urllib3 that operators need."""
    text = str(exc)
    if isinstance(exc, urllib3.exceptions.NewConnectionError):
        return text.rpartition('Errno')[2].partition(']')[2].strip()
    if isinstance(exc, urllib3.exceptions.TimeoutError):
        return 'timed out'
    if isinstance(exc, urllib3.exceptions.ProtocolError):
        return 'the connection was closed'
    return text
