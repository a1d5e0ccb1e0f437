"""Strict incremental parser of HTTP/1.1 messages (RFC 9112), for both sides.

:mod:`h11` parses the messages. It tolerates forms that the grammar does not
allow and that the next hop could interpret differently (request smuggling):
lines that end with a bare line feed, folded headers, control characters, white
space and arbitrary text behind a chunk size, several or conflicting body
lengths. Here such a message is rejected.

:func:`request_parser` and :func:`response_parser` create the parsers.
"""

import typing

import h11

from papayaloom import errors
from papayaloom.connection import chunk_checker, field_grammar, request_target

_BAD_REQUEST = 400
_TOO_LARGE = 413
_VERSION_NOT_SUPPORTED = 505
_HEAD_END = b'\r\n\r\n'
_LINE_END = b'\r\n'
_HTTP11 = b'1.1'
_VERSIONS = frozenset((b'1.0', _HTTP11))
_MAX_STATUS = 599
_ANY_HOST = (b'Host', b'upstream')

Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class MalformedMessageError(errors.PapayaloomError):
    """A message that RFC 9112 does not allow, or whose head is too long.

    :param status: status of the response if the message is a request.
    :param is_too_long: a part of it is longer than allowed.
    """

    def __init__(
        self,
        why: str,
        status: int = _BAD_REQUEST,
        *,
        is_too_long: bool = False,
    ) -> None:
        """Describe what is wrong."""
        super().__init__(why)
        self.status = status
        self.is_too_long = is_too_long or status == _TOO_LARGE


class MessageParser:
    """Checks received bytes and passes them to an h11 connection.

    :param parser: the h11 connection, at the start of a message.
    :param max_head_bytes: maximum size of a head, of the chunk extensions of a
        body, and of a trailer section.
    """

    def __init__(self, parser: h11.Connection, max_head_bytes: int) -> None:
        """Expect the head of a message."""
        self._parser = parser
        self._max_head_bytes = max_head_bytes
        # An empty line before a request line is ignored (RFC 9112, 2.2).
        self._may_skip_line = parser.our_role is h11.SERVER
        self._is_closed = False
        self._unchecked = b''
        self._start_message()

    @property
    def trailing_bytes(self) -> bytes:
        """Received bytes that follow the message."""
        return bytes(self._parser.trailing_data[0]) + self._unchecked

    @property
    def is_closed(self) -> bool:
        """Whether the peer has closed the connection."""
        return self._is_closed

    @property
    def is_last_message(self) -> bool:
        """Whether the head that was received announces the last message."""
        return self._parser.our_state is h11.MUST_CLOSE

    def expect_response(self, method: bytes) -> None:
        """Expect the response to a request that was sent by other means."""
        self._parser.send(
            h11.Request(method=method, target=b'/', headers=[_ANY_HOST])
        )
        self._parser.send(h11.EndOfMessage())

    def send(self, event: h11.Event) -> bytes:
        """Return the bytes of an event that is sent to the peer."""
        return self._parser.send(event) or b''

    def receive_data(self, content: bytes) -> None:
        """Add received bytes; empty at the end of the connection."""
        self._unchecked += content
        self._is_closed = self._is_closed or not content

    def next_event(self) -> Event:
        """Return the next event, or :data:`h11.NEED_DATA`.

        :raises MalformedMessageError: the message is malformed or cut off.
        """
        try:
            return (
                self._parse_head() if self._is_in_head else self._parse_body()
            )
        except h11.RemoteProtocolError as exc:
            # What follows the colon is part of the message, perhaps a key.
            raise MalformedMessageError(str(exc).partition(':')[0]) from exc
        except chunk_checker.ChunkTooLongError as exc:
            raise MalformedMessageError(str(exc), is_too_long=True) from exc
        except chunk_checker.MalformedChunkError as exc:
            raise MalformedMessageError(str(exc)) from exc

    def start_next_message(self) -> bool:
        """Expect another message; return whether the connection allows it."""
        if self._parser.our_state is not h11.DONE:
            return False
        if self._parser.their_state is not h11.DONE:
            return False
        self._parser.start_next_cycle()
        self._start_message()
        return True

    def _start_message(self) -> None:
        self._searched_bytes = 0
        self._is_in_head = True
        self._chunks: chunk_checker.ChunkChecker | None = None

    def _parse_head(self) -> Event:
        if self._may_skip_line and self._unchecked.startswith(_LINE_END):
            self._unchecked = self._unchecked.removeprefix(_LINE_END)
            self._may_skip_line = False
        end = self._unchecked.find(_HEAD_END, max(self._searched_bytes - 3, 0))
        head = self._unchecked
        if end >= 0:
            head = self._unchecked[: end + len(_HEAD_END)]
        self._check_octets(head)
        if end < 0:
            self._searched_bytes = len(head)
            return self._await_head(head)
        self._unchecked = self._unchecked[len(head) :]
        self._searched_bytes = 0
        if not field_grammar.has_single_length(head):
            raise MalformedMessageError('Content-Length is ambiguous')
        self._parser.receive_data(head)
        event = self._parser.next_event()
        self._accept_head(event)
        return event

    def _await_head(self, head: bytes) -> Event:
        if not self._is_closed:
            return h11.NEED_DATA
        if head:
            raise MalformedMessageError('the head is cut off')
        self._parser.receive_data(b'')
        return self._parser.next_event()

    def _check_octets(self, head: bytes) -> None:
        start = max(self._searched_bytes - 2, 0)
        fault = field_grammar.find_forbidden(head, start)
        if fault:
            raise MalformedMessageError(f'the head has {fault}')
        if len(head) > self._max_head_bytes:
            raise MalformedMessageError('the head is too long', _TOO_LARGE)

    def _accept_head(self, event: typing.Any) -> None:
        is_chunked = field_grammar.has_field(
            event.headers, b'transfer-encoding'
        )
        if is_chunked and event.http_version < _HTTP11:
            raise MalformedMessageError('HTTP/1.0 has no Transfer-Encoding')
        if is_chunked and field_grammar.has_field(
            event.headers, b'content-length'
        ):
            raise MalformedMessageError(
                'both Content-Length and Transfer-Encoding are given'
            )
        if isinstance(event, h11.Request):
            _check_request(event)
        else:
            _check_response(event)
        if not isinstance(event, h11.InformationalResponse):
            self._is_in_head = False
            if is_chunked:
                self._chunks = chunk_checker.ChunkChecker(self._max_head_bytes)

    def _parse_body(self) -> Event:
        event = self._parser.next_event()
        # More is checked only now, so that a malformed part does not hide the
        # sound ones before it.
        while event is h11.NEED_DATA and self._pass_checked():
            event = self._parser.next_event()
        if event is h11.NEED_DATA and self._is_closed:
            self._parser.receive_data(b'')
            event = self._parser.next_event()
        return event

    def _pass_checked(self) -> bool:
        """Pass checked bytes on; return whether there were any."""
        length = len(self._unchecked)
        if self._chunks is not None and length:
            length = self._chunks.check(self._unchecked)
        if not length:
            return False
        self._parser.receive_data(self._unchecked[:length])
        self._unchecked = self._unchecked[length:]
        return True


def request_parser(max_head_bytes: int) -> MessageParser:
    """Return a parser for one request."""
    parser = h11.Connection(
        h11.SERVER, max_incomplete_event_size=max_head_bytes
    )
    return MessageParser(parser, max_head_bytes)


def response_parser(max_head_bytes: int) -> MessageParser:
    """Return a parser for the responses on a connection."""
    parser = h11.Connection(
        h11.CLIENT, max_incomplete_event_size=max_head_bytes
    )
    return MessageParser(parser, max_head_bytes)


def _check_request(request: h11.Request) -> None:
    if not request.http_version.startswith(b'1.'):
        raise MalformedMessageError(
            'only HTTP/1.0 and HTTP/1.1 are supported', _VERSION_NOT_SUPPORTED
        )
    if request_target.parse(request.method, request.target) is None:
        raise MalformedMessageError('the request target is malformed')
    for name, host in request.headers:
        if name == b'host' and not request_target.is_host(host):
            raise MalformedMessageError('Host is malformed')


def _check_response(
    response: h11.Response | h11.InformationalResponse,
) -> None:
    if response.http_version not in _VERSIONS:
        raise MalformedMessageError('the version is not HTTP/1.0 or HTTP/1.1')
    if response.status_code > _MAX_STATUS:
        raise MalformedMessageError('the status code is out of range')
