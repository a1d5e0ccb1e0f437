"""Server-sent events: incremental parser and writer of frames."""

from papayaloom import errors

DONE = b'[DONE]'
DONE_FRAME = b'data: [DONE]\n\n'
# Longest line and longest event that the parser accepts, in bytes. A token of
# a model is under 100 bytes; an engine may pack log probabilities beside it.
MAX_BYTES = 65_536
_PREFIX = b'data: '
_END = b'\n\n'


class Parser:
    """Turns chunks of a byte stream into the data of complete events.

    Comments and the fields ``event``, ``id`` and ``retry`` are skipped. Events
    without data are not reported.

    :param max_bytes: limit of a line and of the data of one event.
    """

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        """Start at the beginning of a stream."""
        self._max = max_bytes
        self._rest = b''
        self._lines: list[bytes] = []
        self._size = 0
        self._after_cr = False

    @property
    def idle(self) -> bool:
        """Tell whether no part of an event is waiting for its end."""
        return not self._rest and not self._lines

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the data of the events that this chunk completes.

        :raises papayaloom.errors.CodecError: a line or an event is longer
            than the limit; the parser can't be used any more.
        """
        # Engines send each token as one write, so nearly every chunk is
        # exactly one event.
        if self.idle and _is_one_event(chunk) and len(chunk) <= self._max:
            self._after_cr = False
            return [chunk[6:-2]]
        return self._feed_lines(chunk)

    def _feed_lines(self, chunk: bytes) -> list[bytes]:
        if self._after_cr and chunk:
            chunk = chunk.removeprefix(b'\n')
            self._after_cr = False
        if not chunk:
            return []
        self._after_cr = chunk.endswith(b'\r')
        lines = (self._rest + chunk).splitlines(keepends=True)
        self._rest = b''
        if not lines[-1].endswith((b'\n', b'\r')):
            self._rest = lines.pop()
        events = [self._line(line.rstrip(b'\r\n')) for line in lines]
        self._check(len(self._rest))
        return [event for event in events if event is not None]

    def _line(self, line: bytes) -> bytes | None:
        self._check(len(line))
        if not line:
            return self._dispatch()
        name, _, content = line.partition(b':')
        if name == b'data':
            content = content.removeprefix(b' ')
            self._size += len(content) + 1
            self._check(self._size)
            self._lines.append(content)
        return None

    def _dispatch(self) -> bytes | None:
        event = b'\n'.join(self._lines) if self._lines else None
        self._lines.clear()
        self._size = 0
        return event

    def _check(self, size: int) -> None:
        if size > self._max:
            raise errors.CodecError(
                f'an event stream has a line or event over {self._max} bytes',
            )


def frame(content: bytes, event: str = '') -> bytes:
    """Return one event.

    :param content: the data; it may have several lines.
    :param event: name of the event, empty for the default.
    """
    head = f'event: {event}\n'.encode() if event else b''
    if b'\n' not in content and b'\r' not in content:
        return b'%bdata: %b\n\n' % (head, content)
    lines = content.replace(b'\r\n', b'\n').replace(b'\r', b'\n').split(b'\n')
    return b'%b%b\n' % (head, b''.join(b'data: %b\n' % line for line in lines))


def _is_one_event(chunk: bytes) -> bool:
    return (
        chunk.startswith(_PREFIX)
        and chunk.endswith(_END)
        and chunk.find(b'\n') == len(chunk) - 2
        and b'\r' not in chunk
    )
