"""Splits event streams into complete events and joins resumed streams."""

import re

import msgspec

from papayaloom import decoding
from papayaloom.request import event_numbering

MAX_EVENT_BYTES = 262_144
# Enough for 64 bits, so for times in nanoseconds.
_MAX_ID_DIGITS = 20
_EVENT_TERMINATOR = re.compile(rb'\n\n|\r\n\r\n')
# A line of an event: a field, with a value unless it is one of the format's.
_EVENT_LINE = re.compile(rb'(?:data|event|id|retry|[!-9;-~]*:.*)', re.DOTALL)


class Joined(msgspec.Struct, frozen=True):
    """What received bytes add to a stream.

    :param content: complete new events, up to the first faulty one.
    :param problem: why the stream can't go on after them; empty if it can.
    :param is_too_long: the problem is an event without an end.
    :param is_doubtful: the problem is an event before which another one may be
        missing. It stays in the buffer, and is accepted with the next part
        unless the stream is restarted.
    """

    content: bytes
    problem: str = ''
    is_too_long: bool = False
    is_doubtful: bool = False


class EventJoiner:
    """Joins the event streams that together answer one request.

    Ids increase. :mod:`papayaloom.request.event_numbering` judges whether a
    step by more than one may mean that an event is missing.

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
        self._first = last
        # Id of the last event of the present replica's stream.
        self._last_received: int | None = None
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

    def restart(self, source: str) -> None:
        """Drop an incomplete event, for another stream.

        :param source: the replica that sends it.
        """
        self._buffer = b''
        self._last_received = None
        self.steps.restart(source)

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
            problem = self._accept(content, new_events)
            if not self.steps.is_doubtful:
                start = terminator.end()
        self._buffer = self._buffer[start:]
        return Joined(
            b''.join(new_events), problem, is_too_long, self.steps.is_doubtful
        )

    def _accept(self, content: bytes, new_events: list[bytes]) -> str:
        """Add an event if it is new; return why it is faulty, or nothing."""
        ids = _event_ids(content)
        if len(ids) > 1:
            # The blank line between two events was lost.
            return f'an event with {len(ids)} ids follows event {self.last}'
        number = ids[0] if ids else None
        if number is None and not _is_comment(content):
            return f'an event without an id follows event {self.last}'
        if number is not None:
            before = self._last_received
            self._last_received = number
            if self.last is not None and number <= self.last:
                return self._order_problem(number, before)
            if not self._may_follow(number, content):
                return f'event {number} follows event {self.last}'
            self._advance(number)
        new_events.append(content)
        return ''

    def _advance(self, number: int) -> None:
        if self._first is None:
            self._first = number
        self.last = number
        self.progress += 1

    def _order_problem(self, number: int, before: int | None) -> str:
        """Return why an event that is not new is faulty, or nothing.

        A replica may repeat events at the start of its stream. Later on, an id
        that is lower than the one before belongs to an event out of order,
        unless all ids up to the last one have been delivered.

        :param before: id of the event before in the same stream.
        """
        if before is None or number >= before:
            return ''
        if self.steps.is_gapless and number >= (self._first or 0):
            return ''
        return f'event {number} follows event {before}'

    def _may_follow(self, number: int, content: bytes) -> bool:
        if self.last is None:
            return True
        if number > self.last + 1 and _is_spoiled(content):
            # What is left of the event between the two ids.
            return False
        self.steps.take(self.last, number)
        return not self.steps.is_doubtful

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


def _is_spoiled(content: bytes) -> bool:
    """Whether an event has bytes that are no field."""
    return not all(
        _EVENT_LINE.fullmatch(line) for line in content.splitlines() if line
    )


def _event_ids(content: bytes) -> list[int | None]:
    """Return the id of each ``id`` line; None if it is not numeric."""
    return [
        parse_id(line[3:].strip())
        for line in content.splitlines()
        if line.startswith(b'id:')
    ]
