"""Splits event streams into complete events and joins resumed streams."""

import re

import msgspec

from papayaloom import decoding
from papayaloom.request import event_numbering

MAX_EVENT_BYTES = 262_144
# Enough for 64 bits, so for times in nanoseconds.
_MAX_ID_DIGITS = 20
_EVENT_TERMINATOR = re.compile(rb'\n\n|\r\n\r\n')


class Event(msgspec.Struct, frozen=True):
    """One event as received, including the terminating blank line.

    :param number: event id, or None if it has no numeric id.
    """

    content: bytes
    number: int | None


class Joined(msgspec.Struct, frozen=True):
    """What received bytes add to a stream.

    :param content: complete new events, up to the first faulty one.
    :param problem: why the stream can't go on after them; empty if it can.
    :param is_too_long: the problem is an event without an end.
    """

    content: bytes
    problem: str = ''
    is_too_long: bool = False


class EventJoiner:
    """Joins the event streams that together answer one request.

    Ids increase. Where they count the events, a gap means that one is missing;
    :mod:`papayaloom.request.event_numbering` judges whether they do.

    Only complete events are returned, so that a stream that breaks within an
    event can be resumed at another replica without a partial or duplicate
    event.

    ``progress`` counts new events, excluding comments, which replicas send as
    keep-alives.

    ``steps`` are those between the ids of the events.

    :param last: id of the last event already delivered to the caller.
    """

    def __init__(self, last: int | None = None) -> None:
        """Start after the last delivered event."""
        self.last = last
        self.progress = 0
        self.steps = event_numbering.IdSteps()
        self._buffer = b''

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    @property
    def buffered_bytes(self) -> int:
        """Size of the incomplete event that is buffered."""
        return len(self._buffer)

    def restart(self) -> None:
        """Drop an incomplete event, for a stream of another replica."""
        self._buffer = b''
        self.steps.restart()

    def feed(self, chunk: bytes) -> Joined:
        """Add received bytes and return the complete new events.

        The events before a faulty one must be delivered too: another replica
        is asked to resume after them.
        """
        self._buffer += chunk
        new_events: list[bytes] = []
        problem = ''
        is_too_long = False
        start = 0
        while not problem:
            terminator = _EVENT_TERMINATOR.search(self._buffer, start)
            if terminator is None:
                problem = self._length_problem(start)
                is_too_long = bool(problem)
                break
            content = self._buffer[start : terminator.end()]
            start = terminator.end()
            problem = self._accept(content, new_events)
        self._buffer = self._buffer[start:]
        return Joined(b''.join(new_events), problem, is_too_long)

    def _accept(self, content: bytes, new_events: list[bytes]) -> str:
        """Add an event if it is new; return why it is faulty, or nothing."""
        ids = _event_ids(content)
        if len(ids) > 1:
            # The blank line between two events was lost.
            return f'an event with {len(ids)} ids follows event {self.last}'
        event = Event(content, ids[0] if ids else None)
        if event.number is None:
            if not _is_comment(event.content):
                return f'an event without an id follows event {self.last}'
            new_events.append(event.content)
            return ''
        if self.last is not None and event.number <= self.last:
            return ''
        if not self._may_follow(event.number):
            return f'event {event.number} follows event {self.last}'
        self.last = event.number
        self.progress += 1
        new_events.append(event.content)
        return ''

    def _may_follow(self, number: int) -> bool:
        return self.last is None or self.steps.take(self.last, number)

    def _length_problem(self, start: int) -> str:
        if len(self._buffer) - start > MAX_EVENT_BYTES:
            return f'an event is longer than {MAX_EVENT_BYTES} bytes'
        return ''


def parse_id(text: str | bytes) -> int | None:
    """Return an event id; None if it is not a whole number of 20 digits."""
    return decoding.parse_whole(text, _MAX_ID_DIGITS)


def _is_comment(content: bytes) -> bool:
    return all(
        not line or line.startswith(b':') for line in content.splitlines()
    )


def _event_ids(content: bytes) -> list[int | None]:
    """Return the id of each ``id`` line; None if it is not numeric."""
    return [
        parse_id(line[3:].strip())
        for line in content.splitlines()
        if line.startswith(b'id:')
    ]
