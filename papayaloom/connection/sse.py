"""Server-sent events: incremental parser and frame encoder."""

from papayaloom import errors

DONE = b'[DONE]'
DONE_FRAME = b'data: [DONE]\n\n'
# Maximum size of a line and of an event in bytes. The token of a model has less
# than 100 bytes, but an engine may add log probabilities.
MAX_BYTES = 65_536
_DATA_PREFIX = b'data: '
_EVENT_TERMINATOR = b'\n\n'


class Parser:
    """Extracts the data of complete events from chunks of a byte stream.

    Comments and the fields ``event``, ``id`` and ``retry`` are ignored. Events
    without data are skipped.

    :param max_bytes: maximum size of a line and of the data of one event.
    """

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        """Start at the beginning of a stream."""
        self._max_bytes = max_bytes
        self._incomplete_line = b''
        self._data_lines: list[bytes] = []
        self._data_bytes = 0
        self._after_cr = False

    @property
    def idle(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._incomplete_line and not self._data_lines

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the data of the events that this chunk completes.

        :raises papayaloom.errors.CodecError: a line or an event exceeds the
            limit; the parser must not be used any more.
        """
        # Fast path: engines write each token separately, so almost every chunk
        # is exactly one event.
        if self.idle and _is_one_event(chunk) and len(chunk) <= self._max_bytes:
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
        lines = (self._incomplete_line + chunk).splitlines(keepends=True)
        self._incomplete_line = b''
        if not lines[-1].endswith((b'\n', b'\r')):
            self._incomplete_line = lines.pop()
        events = [self._process_line(line.rstrip(b'\r\n')) for line in lines]
        self._check_size(len(self._incomplete_line))
        return [event for event in events if event is not None]

    def _process_line(self, line: bytes) -> bytes | None:
        self._check_size(len(line))
        if not line:
            return self._dispatch()
        name, _, content = line.partition(b':')
        if name == b'data':
            content = content.removeprefix(b' ')
            self._data_bytes += len(content) + 1
            self._check_size(self._data_bytes)
            self._data_lines.append(content)
        return None

    def _dispatch(self) -> bytes | None:
        event = b'\n'.join(self._data_lines) if self._data_lines else None
        self._data_lines.clear()
        self._data_bytes = 0
        return event

    def _check_size(self, size: int) -> None:
        if size > self._max_bytes:
            raise errors.CodecError(
                f'an event stream has a line or event over '
                f'{self._max_bytes} bytes',
            )


def frame(content: bytes, event: str = '') -> bytes:
    """Encode one event.

    :param content: the data, which may have several lines.
    :param event: event type; empty for the default.
    """
    head = f'event: {event}\n'.encode() if event else b''
    if b'\n' not in content and b'\r' not in content:
        return b'%bdata: %b\n\n' % (head, content)
    lines = content.replace(b'\r\n', b'\n').replace(b'\r', b'\n').split(b'\n')
    return b'%b%b\n' % (head, b''.join(b'data: %b\n' % line for line in lines))


def _is_one_event(chunk: bytes) -> bool:
    return (
        chunk.startswith(_DATA_PREFIX)
        and chunk.endswith(_EVENT_TERMINATOR)
        and chunk.find(b'\n') == len(chunk) - 2
        and b'\r' not in chunk
    )
