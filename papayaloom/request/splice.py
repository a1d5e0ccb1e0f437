"""Joins the event streams of several tries to one answer.

Each event is checked for the id of the request and the offset of its token.
"""

import enum

import msgspec

from papayaloom import errors
from papayaloom.connection import sse


class State(enum.Enum):
    """State of an answer."""

    OPEN = 'open'
    # finish_reason and the end mark have arrived.
    FINISHED = 'finished'
    # Tokens are missing; resume at the expected offset.
    GAP = 'gap'
    # The end mark came without a finish_reason.
    TRUNCATED = 'truncated'
    # An event could not be read.
    MALFORMED = 'malformed'


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """Token counts that an engine reports with the last event."""

    prompt_tokens: int = 0
    cached_tokens: int = -1


class _Event(msgspec.Struct):
    id: str
    offset: int
    choices: tuple[_Choice, ...]
    usage: Usage | None = None


class Counts(msgspec.Struct):
    """Events that were not delivered, by reason."""

    wrong_id: int = 0
    duplicate: int = 0
    gaps: int = 0
    after_end: int = 0
    malformed: int = 0


_decode = msgspec.json.Decoder(_Event).decode


class Splice:
    """Answer to one request.

    :param upstream_id: id that the events of the engines must carry.
    :param caller_id: id that the events carry towards the caller.

    ``closing`` holds the last frames of a finished answer, which
    :meth:`take` does not return.
    """

    def __init__(self, upstream_id: str, caller_id: str) -> None:
        """Expect the first token."""
        self.state = State.OPEN
        self.expected = 0
        self.counts = Counts()
        self.finish_reason = ''
        self.usage = Usage()
        self.closing = b''
        self._id = upstream_id
        self._old = f'"{upstream_id}"'.encode()
        self._new = f'"{caller_id}"'.encode()
        self._texts: list[str] = []
        self._last = b''

    @property
    def text(self) -> str:
        """Return the text so far."""
        return ''.join(self._texts)

    def take(self, content: bytes) -> bytes:
        """Take the data of one event.

        :returns: the frame for the caller, empty when there is none. Look at
            :attr:`state` afterwards.
        """
        if self.state is not State.OPEN:
            self.counts.after_end += 1
            return b''
        if content == sse.DONE:
            return self._done()
        try:
            event = _decode(content)
        except (msgspec.MsgspecError, ValueError):
            return self._malformed()
        if event.id != self._id:
            self.counts.wrong_id += 1
            return b''
        if event.offset == self.expected and event.choices:
            return self._next(event, content)
        return self._out_of_order(event)

    def resume(self) -> None:
        """Expect the stream of another try, from the expected offset."""
        self.state = State.OPEN
        self.finish_reason = ''
        self._last = b''

    def _next(self, event: _Event, content: bytes) -> bytes:
        choice = event.choices[0]
        if self._last:
            # Nothing may follow the event with the finish_reason.
            self.counts.after_end += 1
            return b''
        out = b'data: %b\n\n' % content.replace(self._old, self._new, 1)
        if choice.finish_reason:
            # Held back until the end mark: if that is missing, the stream is
            # resumed and ends with the event of another engine.
            self.finish_reason = choice.finish_reason
            self._last = out
            self.usage = event.usage or self.usage
            return self._held_token(choice, event)
        self.expected += 1
        self._texts.append(choice.delta.content or '')
        return out

    def _held_token(self, choice: _Choice, event: _Event) -> bytes:
        if choice.delta.content:
            # A token in the last event would be lost or doubled if the end
            # mark is missing, so the protocol forbids it.
            return self._malformed()
        return b''

    def _out_of_order(self, event: _Event) -> bytes:
        if not event.choices:
            return self._malformed()
        if event.offset < self.expected:
            self.counts.duplicate += 1
            return b''
        self.counts.gaps += 1
        self.state = State.GAP
        return b''

    def _done(self) -> bytes:
        if not self._last:
            self.state = State.TRUNCATED
            return b''
        self.state = State.FINISHED
        self.closing = self._last + sse.DONE_FRAME
        return b''

    def _malformed(self) -> bytes:
        self.counts.malformed += 1
        self.state = State.MALFORMED
        return b''


def error_frame(problem: errors.Problem) -> bytes:
    """Return the event that ends an answer which can't be finished."""
    return sse.frame(problem.encode(), 'error')
