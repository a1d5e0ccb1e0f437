"""Chat request bodies; size estimate and prefix hashes of their prompts.

Routers and engines must compute sizes and hashes identically.
"""

import typing

import msgspec
import result
import xxhash

from papayaloom import ids

BLOCK_TOKENS = 64
# Estimate for mixed English, Sinhala, Tamil and Japanese text.
BYTES_PER_TOKEN = 4
# Limits the size of an admission request; 64 blocks are 4,096 tokens.
MAX_BLOCKS = 64


class Message(msgspec.Struct, frozen=True):
    """One message of a chat; other JSON members are ignored."""

    role: str
    content: str = ''


class Body(msgspec.Struct, frozen=True):
    """Body of a chat request.

    :param fields: all JSON members except ``messages`` and ``stream``, as
        received.
    :param messages: the messages, as received.
    :param prompt: bytes from :func:`flatten`.
    """

    model: ids.ModelId
    streaming: bool
    fields: dict[str, msgspec.Raw]
    messages: list[msgspec.Raw]
    prompt: bytes

    def encode(self, text: str = '') -> bytes:
        """Return the request body to send to an engine.

        :param text: the response text so far, which the engine continues.
        """
        messages = list(self.messages)
        if text:
            last = Message('assistant', text)
            messages.append(msgspec.Raw(msgspec.json.encode(last)))
        return msgspec.json.encode(
            {**self.fields, 'messages': messages, 'stream': True}
        )


class _BodyFields(msgspec.Struct):
    model: str
    messages: list[msgspec.Raw]
    stream: bool = False
    choices: int = msgspec.field(default=1, name='n')


_decode_members = msgspec.json.Decoder(dict[str, msgspec.Raw]).decode
_decode_fields = msgspec.json.Decoder(_BodyFields).decode
_decode_message = msgspec.json.Decoder(Message).decode


def parse(content: bytes) -> result.Result[Body, str]:
    """Parse the body of a chat request.

    :returns: the body, or the reason why it is rejected.
    """
    try:
        parsed, fields = _decode_fields(content), _decode_members(content)
        messages = [_decode_message(message) for message in parsed.messages]
        prompt = flatten(messages)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return result.Err(f'unreadable body: {exc}')
    if parsed.choices != 1 or not messages:
        return result.Err('the body needs messages, and "n" must be 1')
    for name in ('messages', 'stream'):
        fields.pop(name, None)
    model = ids.ModelId(parsed.model)
    return result.Ok(
        Body(model, parsed.stream, fields, parsed.messages, prompt)
    )


def flatten(messages: typing.Iterable[Message]) -> bytes:
    """Return the prompt as bytes: the role and content of each message."""
    return b''.join(
        f'{message.role}\0{message.content}\0'.encode() for message in messages
    )


def estimate_tokens(prompt: bytes) -> int:
    """Estimate the number of tokens of a prompt."""
    return -(-len(prompt) // BYTES_PER_TOKEN)


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Hash the complete blocks of a prompt, each chained to the previous one.

    :param prompt: bytes from :func:`flatten`.
    :returns: at most :data:`MAX_BLOCKS` 64-bit hashes, shortest prefix first.
    """
    size = BLOCK_TOKENS * BYTES_PER_TOKEN
    hashes: list[int] = []
    seed = 0
    for end in range(size, min(len(prompt), size * MAX_BLOCKS) + 1, size):
        seed = xxhash.xxh3_64_intdigest(prompt[end - size : end], seed=seed)
        hashes.append(seed)
    return tuple(hashes)
