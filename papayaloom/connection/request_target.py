"""Request targets (RFC 9112, section 3.2) and the host that they name."""

import re

import msgspec

_HOST = rb"""
    (?:
        (?:[\w.~!$&'()*+,;=-]|%[0-9A-Fa-f]{2})*
        | \[[\w.~!$&'()*+,;=:-]+\]
    )
    (?::[0-9]*)?
"""
_TARGET = rb"""
    (?:http://(?P<host>HOST)(?=[/?]|\Z))?
    (?P<path>/(?:[\w.~!$&'()*+,;=:@/-]|%[0-9A-Fa-f]{2})*)?
    (?P<query>\?(?:[\w.~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2})*)?
"""
_HOST_RE = re.compile(_HOST, re.VERBOSE)
_TARGET_RE = re.compile(
    _TARGET.replace(b'HOST', _HOST), re.VERBOSE | re.IGNORECASE
)
_OPTIONS = b'OPTIONS'
_ANY_RESOURCE = b'*'


class Target(msgspec.Struct, frozen=True):
    """A request target.

    :param resource: path and query, or ``*``.
    :param host: host and port of an absolute form, which replace those of the
        ``Host`` header; None for the other forms.
    """

    resource: bytes
    host: bytes | None = None


def parse(method: bytes, text: bytes) -> Target | None:
    """Parse a request target; None if a gateway doesn't serve its form."""
    if text == _ANY_RESOURCE:
        return Target(text) if method == _OPTIONS else None
    found = _TARGET_RE.fullmatch(text)
    if found is None:
        return None
    host, path, query = found.group('host', 'path', 'query')
    if host == b'' or (host is None and path is None):
        return None
    return Target((path or b'/') + (query or b''), host)


def is_host(text: bytes) -> bool:
    """Whether a text is a value of the ``Host`` header."""
    return _HOST_RE.fullmatch(text) is not None
