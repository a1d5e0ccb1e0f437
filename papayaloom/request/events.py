"""Event streams as bytes: complete events, their ids, and joined streams."""

import msgspec

from papayaloom import errors

MAX_EVENT_BYTES = 262_144
_ENDS = (b'\n\n', b'\r\n\r\n')


class Event(msgspec.Struct, frozen=True):
    """One event as it came, with the blank line that ends it.

    :param number: its id, or None when it has no numeric id.
    """

    content: bytes
    number: int | None


class Joiner:
    """Complete events of the streams that answer one request.

    Only whole events are returned, so that a stream that breaks in the middle
    of an event can go on at another replica without a torn or doubled event.

    ``progress`` counts the events that the caller did not have, without
    comments, which replicas send to keep a connection open.

    :param last: id of the last event that the caller already has.
    """

    def __init__(self, last: int | None = None) -> None:
        """Expect the event after the last one."""
        self.last = last
        self.progress = 0
        self._rest = b''

    @property
    def is_torn(self) -> bool:
        """Whether a part of an event waits for its end."""
        return bool(self._rest.strip())

    def restart(self) -> None:
        """Expect the stream of another replica."""
        self._rest = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the new complete events.

        :raises papayaloom.errors.CodecError: an event is missing or too long.
        """
        self._rest += chunk
        found = []
        while True:
            content = self._cut()
            if content is None:
                break
            event = Event(content, _number(content))
            if self._is_new(event):
                found.append(event.content)
                self.progress += not _is_comment(content)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise errors.CodecError(
                f'an event is longer than {MAX_EVENT_BYTES} bytes'
            )
        return b''.join(found)

    def _cut(self) -> bytes | None:
        ends = [
            at + len(end) for end in _ENDS if (at := self._rest.find(end)) >= 0
        ]
        if not ends:
            return None
        content = self._rest[: min(ends)]
        self._rest = self._rest[min(ends) :]
        return content

    def _is_new(self, event: Event) -> bool:
        if event.number is None:
            return True
        if self.last is not None:
            if event.number <= self.last:
                return False
            if event.number > self.last + 1:
                raise errors.CodecError(
                    f'event {event.number} follows event {self.last}'
                )
        self.last = event.number
        return True


def _is_comment(content: bytes) -> bool:
    return all(
        not line or line.startswith(b':') for line in content.splitlines()
    )


def _number(content: bytes) -> int | None:
    for line in content.splitlines():
        if line.startswith(b'id:'):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
