"""Connections that accept a response only with its complete head.

:mod:`http.client` takes the end of the connection for the end of the headers. A
server that stops in the middle of its head would thus seem to have sent a
response without a length and with an empty body.
"""

import http.client
import typing

import urllib3

_HEAD_ENDS = frozenset((b'\r\n', b'\n'))


class _LineReader:
    """Reader that keeps the last line; passes all else on."""

    def __init__(self, source: typing.Any) -> None:
        """Wrap a reader."""
        self.source = source
        self.last_line = b''

    def __getattr__(self, name: str) -> typing.Any:
        """Return an attribute of the wrapped reader."""
        return getattr(self.source, name)

    def readline(self, limit: int = -1) -> bytes:
        """Read a line."""
        self.last_line = self.source.readline(limit)
        return self.last_line


class Response(http.client.HTTPResponse):
    """Response whose head must end with an empty line."""

    def begin(self) -> None:
        """Read the head.

        :raises http.client.HTTPException: the head is malformed or incomplete.
        """
        reader = _LineReader(self.fp)
        self.fp = typing.cast('typing.Any', reader)
        super().begin()
        if typing.cast('typing.Any', self.fp) is reader:
            self.fp = reader.source
        if reader.last_line not in _HEAD_ENDS:
            raise http.client.HTTPException('the head of the answer is cut off')


class Connection(urllib3.connection.HTTPConnection):
    """Connection of urllib3 for :class:`Response`."""

    response_class = Response
