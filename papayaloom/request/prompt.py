"""Size and prefix hashes of a prompt, as routers and engines compute them."""

import typing

import msgspec
import xxhash

BLOCK_TOKENS = 64
# Estimate for mixed English, Sinhala, Tamil and Japanese text.
BYTES_PER_TOKEN = 4
# Bounds the size of an admission request; 64 blocks are 4,096 tokens.
MAX_BLOCKS = 64


class Message(msgspec.Struct, frozen=True):
    """One message of a chat; other members are ignored."""

    role: str
    content: str = ''


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
