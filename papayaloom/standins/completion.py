"""Requests, tokens and texts of the engine stand-in."""

import msgspec
import xxhash

from papayaloom import ids
from papayaloom.request import prompt
from papayaloom.standins import answers


class Request(msgspec.Struct, frozen=True):
    """Request for a completion.

    :param priority: higher numbers run first.
    :param max_tokens: length of the whole answer, resumed part included.
    :param resume_offset: number of tokens that the caller already has.
    """

    request: ids.RequestId
    model: ids.ModelId
    messages: tuple[prompt.Message, ...]
    chat: ids.ChatId = ids.ChatId('')
    priority: int = 0
    max_tokens: int = 256
    resume_offset: int = 0


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a request."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class Token(msgspec.Struct, frozen=True):
    """One event of a stream; the last one has a finish reason and no text."""

    request: ids.RequestId
    offset: int
    content: str
    at: float
    finish_reason: str | None = None
    usage: Usage | None = None


class Run:
    """State of one request at one engine."""

    def __init__(self, req: Request) -> None:
        """Start before the first token."""
        self.req = req
        self.prompt = prompt_bytes(req)
        self.seed = xxhash.xxh3_64_intdigest(self.prompt)
        self.canned = answers.canned(question(req))
        self.offset = min(req.resume_offset, self.end)
        self._first = self.offset
        self.cached = 0
        self.prefill_left = 0
        self.tokens: list[Token] = []
        self.finished = False

    @property
    def end(self) -> int:
        """Offset at which the answer ends."""
        if self.canned:
            return min(len(self.canned), self.req.max_tokens)
        return self.req.max_tokens

    @property
    def reason(self) -> str:
        """Finish reason at the end."""
        whole = self.canned and self.end == len(self.canned)
        return 'stop' if whole else 'length'

    def word(self, offset: int) -> str:
        """Return the word of the answer at an offset."""
        if self.canned:
            return self.canned[offset]
        return answers.word(self.seed, offset)

    def text(self, end: int) -> str:
        """Return the answer up to an offset."""
        return ''.join(f'{self.word(index)} ' for index in range(end))

    def context(self) -> bytes:
        """Return the prompt and the answer so far."""
        answer = prompt.Message('assistant', self.text(self.offset))
        return self.prompt + prompt.flatten([answer])[:-1]

    def tokens_from(self, offset: int) -> list[Token]:
        """Return the tokens from an offset on that were produced here."""
        return self.tokens[max(offset - self._first, 0) :]

    def emit(self, now: float) -> None:
        """Produce the next token, or the end of the stream."""
        if self.offset < self.end:
            self._append(now, f'{self.word(self.offset)} ')
            self.offset += 1
        if self.offset >= self.end:
            self.finished = True
            size = prompt.estimate_tokens(self.prompt)
            usage = Usage(size, self.cached, self.offset)
            self._append(now, '', self.reason, usage)

    def _append(
        self,
        now: float,
        text: str,
        reason: str | None = None,
        usage: Usage | None = None,
    ) -> None:
        self.tokens.append(
            Token(self.req.request, self.offset, text, now, reason, usage)
        )


def question(req: Request) -> str:
    """Return the last message of the user."""
    asked = [turn.content for turn in req.messages if turn.role == 'user']
    return str(asked[-1]) if asked else ''


def prompt_bytes(req: Request) -> bytes:
    """Return the prompt without the answer that is to be resumed."""
    turns = req.messages
    if req.resume_offset and turns and turns[-1].role == 'assistant':
        turns = turns[:-1]
    return prompt.flatten(turns)


def full_text(req: Request) -> str:
    """Return the whole answer that any engine gives to a request."""
    run = Run(req)
    return run.text(run.end)
