"""Splices the event streams of several attempts into one response.

The request id and the token offset of each event are checked.
"""

import enum

import msgspec

from papayaloom import errors
from papayaloom.connection import sse


class State(enum.Enum):
    """State of a response."""

    OPEN = 'open'
    # finish_reason and the end marker have arrived.
    FINISHED = 'finished'
    # Tokens are missing; the stream must be resumed at the expected offset.
    GAP = 'gap'
    # The end marker arrived without a finish_reason.
    TRUNCATED = 'truncated'
    # An event could not be decoded.
    MALFORMED = 'malformed'


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """Token counts that an engine reports in the last event."""

    prompt_tokens: int = 0
    cached_tokens: int = -1


class _Event(msgspec.Struct):
    id: str
    offset: int
    choices: tuple[_Choice, ...]
    usage: Usage | None = None


class Counts(msgspec.Struct):
    """Number of events that were not delivered, by reason."""

    wrong_id: int = 0
    duplicate: int = 0
    gaps: int = 0
    after_end: int = 0
    malformed: int = 0


_decode = msgspec.json.Decoder(_Event).decode


class StreamSplicer:
    """Response to one request.

    :param upstream_id: request id that events from engines must carry.
    :param caller_id: request id in the events that are sent to the caller.

    ``closing`` has the final frames of a finished response, which
    :meth:`process_event` does not return.
    """

    def __init__(self, upstream_id: str, caller_id: str) -> None:
        """Expect the first token."""
        self.state = State.OPEN
        self.next_offset = 0
        self.counts = Counts()
        self.finish_reason = ''
        self.usage = Usage()
        self.closing = b''
        self._upstream_id = upstream_id
        self._upstream_id_json = f'"{upstream_id}"'.encode()
        self._caller_id_json = f'"{caller_id}"'.encode()
        self._text_parts: list[str] = []
        self._final_frame = b''

    @property
    def text(self) -> str:
        """Return the text received so far."""
        return ''.join(self._text_parts)

    def process_event(self, content: bytes) -> bytes:
        """Process the data of one event.

        :returns: the frame for the caller; empty if there is none. Check
            :attr:`state` after each call.
        """
        if self.state is not State.OPEN:
            self.counts.after_end += 1
            return b''
        if content == sse.DONE:
            return self._finish()
        try:
            event = _decode(content)
        except (msgspec.MsgspecError, ValueError):
            return self._mark_malformed()
        if event.id != self._upstream_id:
            self.counts.wrong_id += 1
            return b''
        if event.offset == self.next_offset and event.choices:
            return self._accept_event(event, content)
        return self._out_of_order(event)

    def resume(self) -> None:
        """Prepare for another stream that starts at the expected offset."""
        self.state = State.OPEN
        self.finish_reason = ''
        self._final_frame = b''

    def _accept_event(self, event: _Event, content: bytes) -> bytes:
        choice = event.choices[0]
        if self._final_frame:
            # No event may follow the one with the finish_reason.
            self.counts.after_end += 1
            return b''
        event_frame = b'data: %b\n\n' % content.replace(
            self._upstream_id_json, self._caller_id_json, 1
        )
        if choice.finish_reason:
            # Held back until the end marker arrives. Without the marker, the
            # stream is resumed and another engine sends the last event.
            self.finish_reason = choice.finish_reason
            self._final_frame = event_frame
            self.usage = event.usage or self.usage
            return self._check_final_event(choice, event)
        self.next_offset += 1
        self._text_parts.append(choice.delta.content or '')
        return event_frame

    def _check_final_event(self, choice: _Choice, event: _Event) -> bytes:
        if choice.delta.content:
            # The protocol forbids a token in the last event, because it would
            # be lost or duplicated if the end marker is missing.
            return self._mark_malformed()
        return b''

    def _out_of_order(self, event: _Event) -> bytes:
        if not event.choices:
            return self._mark_malformed()
        if event.offset < self.next_offset:
            self.counts.duplicate += 1
            return b''
        self.counts.gaps += 1
        self.state = State.GAP
        return b''

    def _finish(self) -> bytes:
        if not self._final_frame:
            self.state = State.TRUNCATED
            return b''
        self.state = State.FINISHED
        self.closing = self._final_frame + sse.DONE_FRAME
        return b''

    def _mark_malformed(self) -> bytes:
        self.counts.malformed += 1
        self.state = State.MALFORMED
        return b''


def error_frame(problem: errors.Problem) -> bytes:
    """Return the event that terminates a response that can't be completed."""
    return sse.frame(problem.encode(), 'error')
