"""Requests, tokens and generated text of the engine stand-in."""

import msgspec
import xxhash

from papayaloom import ids
from papayaloom.request import prompt
from papayaloom.standins import answers


class Request(msgspec.Struct, frozen=True):
    """Chat completion request.

    :param priority: requests with higher numbers run first.
    :param max_tokens: length of the whole answer, including the resumed part.
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
    """One stream event; the last one has a finish reason and no text."""

    request: ids.RequestId
    offset: int
    content: str
    at: float
    finish_reason: str | None = None
    usage: Usage | None = None


class Run:
    """State of one request on one engine."""

    def __init__(self, req: Request) -> None:
        """Start before the first token."""
        self.req = req
        self.prompt = prompt_bytes(req)
        self.seed = xxhash.xxh3_64_intdigest(self.prompt)
        self.fixed_words = answers.fixed_answer(last_user_message(req))
        self.offset = min(req.resume_offset, self.end)
        self._first_offset = self.offset
        self.cached_tokens = 0
        self.prefill_remaining = 0
        self.tokens: list[Token] = []
        self.finished = False

    @property
    def end(self) -> int:
        """Offset at which the answer ends."""
        if self.fixed_words:
            return min(len(self.fixed_words), self.req.max_tokens)
        return self.req.max_tokens

    @property
    def finish_reason(self) -> str:
        """Finish reason at the end."""
        is_complete = self.fixed_words and self.end == len(self.fixed_words)
        return 'stop' if is_complete else 'length'

    def word(self, offset: int) -> str:
        """Return the word of the answer at an offset."""
        if self.fixed_words:
            return self.fixed_words[offset]
        return answers.word(self.seed, offset)

    def text(self, end: int) -> str:
        """Return the answer up to an offset."""
        return ''.join(f'{self.word(index)} ' for index in range(end))

    def context(self) -> bytes:
        """Return the prompt followed by the answer so far."""
        answer = prompt.Message('assistant', self.text(self.offset))
        return self.prompt + prompt.flatten([answer])[:-1]

    def tokens_from(self, offset: int) -> list[Token]:
        """Return the tokens from an offset that this engine produced."""
        return self.tokens[max(offset - self._first_offset, 0) :]

    def emit(self, now: float) -> None:
        """Produce the next token, or the end of the stream."""
        if self.offset < self.end:
            self._append(now, f'{self.word(self.offset)} ')
            self.offset += 1
        if self.offset >= self.end:
            self.finished = True
            prompt_tokens = prompt.estimate_tokens(self.prompt)
            usage = Usage(prompt_tokens, self.cached_tokens, self.offset)
            self._append(now, '', self.finish_reason, usage)

    def _append(
        self,
        now: float,
        text: str,
        finish_reason: str | None = None,
        usage: Usage | None = None,
    ) -> None:
        self.tokens.append(
            Token(
                self.req.request, self.offset, text, now, finish_reason, usage
            )
        )


def last_user_message(req: Request) -> str:
    """Return the content of the last user message."""
    user_messages = [
        message.content for message in req.messages if message.role == 'user'
    ]
    return str(user_messages[-1]) if user_messages else ''


def prompt_bytes(req: Request) -> bytes:
    """Return the prompt without the partial answer to resume."""
    messages = req.messages
    if req.resume_offset and messages and messages[-1].role == 'assistant':
        messages = messages[:-1]
    return prompt.flatten(messages)


def full_text(req: Request) -> str:
    """Return the complete answer, which is the same on every engine."""
    run = Run(req)
    return run.text(run.end)
