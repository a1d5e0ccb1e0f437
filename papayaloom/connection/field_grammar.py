"""Grammar of heads and their fields (RFC 9110 and RFC 9112)."""

import re
import typing

# Octets and sequences that neither a start line nor a field line may contain.
# A carriage return at the end may still be followed by a line feed.
_FORBIDDEN = re.compile(
    rb'[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r[^\n]|(?<!\r)\n|\r\n[ \t]'
)
_CONTENT_LENGTH = re.compile(rb'(?i)\r\nContent-Length:([^\r]*)')
_WHOLE_NUMBER = re.compile(rb'[0-9]+')


def find_forbidden(head: bytes, start: int = 0) -> str:
    """Return what a head contains that is not allowed, or an empty text.

    :param start: where to start; two bytes before what has been checked.
    """
    found = _FORBIDDEN.search(head, start)
    if found is None:
        return ''
    match found.group()[:1], found.group()[-1:]:
        case b'\n', _:
            return 'a line feed without a carriage return'
        case b'\r', b' ' | b'\t' if found.end() - found.start() == 3:
            return 'a folded line'
        case b'\r', _:
            return 'a carriage return without a line feed'
    return 'a control character'


def has_single_length(head: bytes) -> bool:
    """Whether a head has at most one, valid ``Content-Length``.

    A list of equal numbers is rejected too.
    """
    lengths = _CONTENT_LENGTH.findall(head)
    return not lengths or (
        len(lengths) == 1
        and _WHOLE_NUMBER.fullmatch(lengths[0].strip(b' \t')) is not None
    )


def has_field(
    headers: typing.Iterable[tuple[bytes, bytes]], name: bytes
) -> bool:
    """Whether there is a field with a name, given in lower case."""
    return any(found == name for found, _ in headers)
