"""Checks the framing of a chunked body (RFC 9112, section 7.1)."""

import enum
import re

from papayaloom import errors
from papayaloom.connection import field_grammar

_LINE_END = b'\r\n'
_LINE_END_BYTES = 2
_TOKEN = rb"[-!#$%&'*+.^_`|~0-9A-Za-z]+"
_QUOTED = rb'"(?:[\t !#-\[\]-~\x80-\xff]|\\[\t -~\x80-\xff])*"'
_EXTENSION = (
    rb';[ \t]*'
    + _TOKEN
    + rb'(?:[ \t]*=[ \t]*(?:'
    + _TOKEN
    + rb'|'
    + _QUOTED
    + rb'))?'
)
_CHUNK_HEADER = re.compile(
    rb'([0-9A-Fa-f]{1,16})((?:'
    + _EXTENSION
    + rb'(?:[ \t]*'
    + _EXTENSION
    + rb')*)?)'
)


class MalformedChunkError(errors.PapayaloomError):
    """A chunk header or trailer section that the grammar does not allow."""


class ChunkTooLongError(MalformedChunkError):
    """Extensions or a trailer section that are longer than allowed."""


class _Part(enum.Enum):
    HEADER = 'chunk header'
    CONTENT = 'chunk data'
    TRAILERS = 'trailer section'
    END = 'end of the body'


class ChunkChecker:
    """Checks one chunked body as it arrives.

    The line end after the data of a chunk is left to h11.

    :param max_bytes: maximum size of all extensions together, and of the
        trailer section.
    """

    def __init__(self, max_bytes: int) -> None:
        """Expect the header of the first chunk."""
        self._part = _Part.HEADER
        self._content_bytes = 0
        self._extension_bytes_left = max_bytes
        self._trailer_bytes_left = max_bytes

    def check(self, content: bytes) -> int:
        """Return how many bytes at the start have been checked.

        The others are the start of a line, or malformed, and must be passed
        again, with what follows them.

        :raises MalformedChunkError: the content begins with a malformed line.
        """
        start = 0
        while start < len(content) and self._part is not _Part.END:
            try:
                length = self._check_next(content, start)
            except MalformedChunkError:
                if start:
                    # What precedes it is sound and must not be lost.
                    return start
                raise
            if not length:
                return start
            start += length
        return len(content)

    def _check_next(self, content: bytes, start: int) -> int:
        """Check a line or skip data; return its length, 0 if incomplete."""
        if self._part is _Part.CONTENT:
            return self._skip_content(len(content) - start)
        end = content.find(_LINE_END, start)
        if end < 0:
            self._check_line(content[start:], is_complete=False)
            return 0
        self._check_line(content[start:end])
        return end + _LINE_END_BYTES - start

    def _skip_content(self, available: int) -> int:
        skipped = min(available, self._content_bytes)
        self._content_bytes -= skipped
        if not self._content_bytes:
            self._part = _Part.HEADER
        return skipped

    def _check_line(self, line: bytes, *, is_complete: bool = True) -> None:
        fault = field_grammar.find_forbidden(line)
        if fault:
            raise MalformedChunkError(f'a {self._part.value} has {fault}')
        if self._part is _Part.HEADER:
            self._check_chunk_header(line, is_complete=is_complete)
        else:
            self._check_trailer(line, is_complete=is_complete)

    def _check_chunk_header(self, line: bytes, *, is_complete: bool) -> None:
        if len(line) > self._extension_bytes_left:
            raise ChunkTooLongError('the chunk extensions are too long')
        if not is_complete:
            return
        parts = _CHUNK_HEADER.fullmatch(line)
        if parts is None:
            raise MalformedChunkError('a chunk header is malformed')
        size = int(parts[1], 16)
        self._extension_bytes_left -= len(parts[2])
        self._content_bytes = size + _LINE_END_BYTES
        self._part = _Part.CONTENT if size else _Part.TRAILERS

    def _check_trailer(self, line: bytes, *, is_complete: bool) -> None:
        if len(line) > self._trailer_bytes_left:
            raise ChunkTooLongError('the trailer section is too long')
        if line.startswith((b' ', b'\t')):
            raise MalformedChunkError('a trailer section has a folded line')
        if is_complete:
            self._trailer_bytes_left -= len(line) + _LINE_END_BYTES
            self._part = _Part.TRAILERS if line else _Part.END
