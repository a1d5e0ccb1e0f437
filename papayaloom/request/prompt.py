"""The body of a chat request; size and prefix hashes of its prompt.

Routers and engines compute size and hashes in this same way.
"""

import typing

import msgspec
import result
import xxhash

from papayaloom import ids

BLOCK_TOKENS = 64
# Estimate for mixed English, Sinhala, Tamil and Japanese text.
BYTES_PER_TOKEN = 4
# Bounds the size of an admission request; 64 blocks are 4,096 tokens.
MAX_BLOCKS = 64


class Message(msgspec.Struct, frozen=True):
    """One message of a chat; other members are ignored."""

    role: str
    content: str = ''


class Body(msgspec.Struct, frozen=True):
    """Body of a chat request.

    :param fields: all members besides ``messages`` and ``stream``, unchanged.
    :param messages: the messages, unchanged.
    :param prompt: bytes from :func:`flatten`.
    """

    model: ids.ModelId
    streaming: bool
    fields: dict[str, msgspec.Raw]
    messages: list[msgspec.Raw]
    prompt: bytes

    def encode(self, text: str = '') -> bytes:
        """Return the body for an engine.

        :param text: the answer so far, to be continued.
        """
        messages = list(self.messages)
        if text:
            last = Message('assistant', text)
            messages.append(msgspec.Raw(msgspec.json.encode(last)))
        return msgspec.json.encode(
            {**self.fields, 'messages': messages, 'stream': True}
        )


class _Wire(msgspec.Struct):
    model: str
    messages: list[msgspec.Raw]
    stream: bool = False
    choices: int = msgspec.field(default=1, name='n')


_fields = msgspec.json.Decoder(dict[str, msgspec.Raw]).decode
_wire = msgspec.json.Decoder(_Wire).decode
_message = msgspec.json.Decoder(Message).decode


def parse(content: bytes) -> result.Result[Body, str]:
    """Read the body of a chat request.

    :returns: the body, or why it is refused.
    """
    try:
        wire, fields = _wire(content), _fields(content)
        messages = [_message(message) for message in wire.messages]
        prompt = flatten(messages)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return result.Err(f'unreadable body: {exc}')
    if wire.choices != 1 or not messages:
        return result.Err('the body needs messages, and "n" must be 1')
    for name in ('messages', 'stream'):
        fields.pop(name, None)
    model = ids.ModelId(wire.model)
    return result.Ok(Body(model, wire.stream, fields, wire.messages, prompt))


def flatten(messages: typing.Iterable[Message]) -> bytes:
    """Return the prompt's bytes, with each message after its role."""
    return b''.join(
        f'{message.role}\0{message.content}\0'.encode() for message in messages
    )


def tokens(prompt: bytes) -> int:
    """Estimate the number of tokens of a prompt."""
    return -(-len(prompt) // BYTES_PER_TOKEN)


def prefixes(prompt: bytes) -> tuple[int, ...]:
    """Hash the whole blocks of a prompt, each chained to the one before it.

    :param prompt: bytes from :func:`flatten`.
    :returns: at most :data:`MAX_BLOCKS` hashes of 64 bits, outermost first.
    """
    size = BLOCK_TOKENS * BYTES_PER_TOKEN
    hashes: list[int] = []
    seed = 0
    for end in range(size, min(len(prompt), size * MAX_BLOCKS) + 1, size):
        seed = xxhash.xxh3_64_intdigest(prompt[end - size : end], seed=seed)
        hashes.append(seed)
    return tuple(hashes)
