"""Decodes what other programs wrote.

:mod:`msgspec` raises :class:`RecursionError` on input that is nested too deep,
also in fields that the type does not have. Here it is malformed input like any
other.
"""

import typing

import msgspec

_Type = typing.TypeVar('_Type')
# More digits than any length, count or revision has.
_MAX_DIGITS = 18


def decode_json(content: bytes, expected: type[_Type]) -> _Type:
    """Decode JSON into a type.

    :raises msgspec.MsgspecError: the content is malformed.
    """
    return _decode(msgspec.json.decode, content, expected)


def decode_msgpack(content: bytes, expected: type[_Type]) -> _Type:
    """Decode MessagePack into a type.

    :raises msgspec.MsgspecError: the content is malformed.
    """
    return _decode(msgspec.msgpack.decode, content, expected)


def parse_whole(text: str | bytes, max_digits: int = _MAX_DIGITS) -> int | None:
    """Return a whole number of ASCII digits; None if the text is none.

    :class:`int` takes more than that, and raises on thousands of digits.
    """
    if isinstance(text, bytes):
        text = text.decode('latin-1')
    if not text.isascii() or not text.isdecimal() or len(text) > max_digits:
        return None
    return int(text)


def _decode(
    decode: typing.Callable[..., _Type], content: bytes, expected: type[_Type]
) -> _Type:
    try:
        return decode(content, type=expected)
    except RecursionError as exc:
        raise msgspec.DecodeError('nested too deep') from exc
