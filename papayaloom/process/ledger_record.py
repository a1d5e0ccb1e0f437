"""Keys, claims and records of the at-most-once ledger.

A record holds the claims of ten seconds of key time in one of 16 shards. Its
value is MessagePack: ``[format, [claim, ...]]``, a claim being
``[key hash, attempt, state, status, content]`` without trailing defaults.
"""

import enum
import typing
import uuid

import msgspec
import result
import xxhash

from papayaloom import errors

SHARDS = 16
SLOT_MS = 10_000
# Largest share of an answer that a record keeps.
MAX_CONTENT = 512
# The store takes 1 MB: 900 claims with and 3,100 without an answer, with the
# longest attempts, take 840,000 bytes. The planned 200 calls/s make 125.
MAX_CLAIMS = 4000
MAX_ANSWERS = 900
# Covers clocks of callers that run ahead.
FUTURE_MS = 300_000
# Upper end of the range of `ledger.retention_s`. Records are kept longer than
# this, whatever the setting says, so an edit of it never lets a key through
# whose record is gone.
LONGEST_RETENTION_S = 86_400
KEEP_MS = LONGEST_RETENTION_S * 1000 + 2 * FUTURE_MS
_FORMAT = 1
_HASH_BYTES = 16
_MAX_ATTEMPT = 64
_UUID_VERSION = 7
_MAX_TYPE = 128
_TIME_BITS = 80


class State(enum.Enum):
    """State of a claimed call."""

    CLAIMED = 'c'
    RAN = 'r'
    FAILED = 'f'
    NOT_RUN = 'n'


class Claim(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Claim of one call by one attempt.

    :param key: 16 bytes from :func:`locate`.
    :param status: HTTP status of the recorded answer.
    :param content: first bytes of the recorded answer.
    """

    key: bytes
    attempt: str
    state: State = State.CLAIMED
    status: int = 0
    content: bytes = b''


class Reply(msgspec.Struct, frozen=True, array_like=True):
    """Answer of a call as the content of its claim.

    :param digest: hash of the request, to notice a key used for another one.
    :param complete: ``body`` is the whole body.
    """

    digest: str = ''
    content_type: str = ''
    complete: bool = True
    body: bytes = b''


class Location(msgspec.Struct, frozen=True):
    """Where the claim of a call is recorded."""

    shard: int
    slot: int
    key: bytes


Claims = typing.Mapping[bytes, Claim]


def locate(
    org: str,
    target: str,
    call_key: str,
    unix_ms: int,
    retention_s: float = LONGEST_RETENTION_S,
) -> result.Result[Location, errors.Problem]:
    """Find the record of a call by its idempotency key.

    The organisation and the target are part of the hash, so equal keys of two
    organisations are two calls.

    :param call_key: a UUID of version 7.
    :returns: the location, or the problem document of the refusal.
    """
    try:
        parsed = uuid.UUID(call_key)
    except ValueError:
        parsed = uuid.UUID(int=0)
    if parsed.version != _UUID_VERSION:
        return result.Err(_refusal('The key is no UUID of version 7'))
    made_ms = parsed.int >> _TIME_BITS
    if made_ms > unix_ms + FUTURE_MS:
        return result.Err(_refusal('The time of the key is in the future'))
    if made_ms < unix_ms - retention_s * 1000:
        return result.Err(
            errors.Problem(
                title='The key is older than the ledger',
                status=409,
                verdict=errors.Verdict.MAY_HAVE_RUN.value,
                setting='ledger.retention_s',
            )
        )
    text = f'{org}\0{target}\0{parsed}'
    digest = xxhash.xxh3_128_digest(text.encode())
    return result.Ok(Location(digest[0] % SHARDS, made_ms // SLOT_MS, digest))


def record_key(shard: int, slot: int) -> str:
    """Return the key of a record; keys of a shard sort by time."""
    return f'{shard_prefix(shard)}{slot:012}'


def shard_prefix(shard: int) -> str:
    """Return the common prefix of the keys of a shard's records."""
    return f'ledger/{shard:02}/'


def slot_of(key: str) -> int:
    """Return the slot of a record's key."""
    return int(key.rpartition('/')[2])


def encode(claims: Claims) -> bytes:
    """Return the value of a record."""
    return msgspec.msgpack.encode((_FORMAT, tuple(claims.values())))


def decode(content: bytes) -> dict[bytes, Claim]:
    """Read the value of a record.

    :raises errors.CodecError: it is not a record of this format.
    """
    try:
        found, claims = msgspec.msgpack.decode(
            content, type=tuple[int, tuple[Claim, ...]]
        )
    except msgspec.MsgspecError as exc:
        raise errors.CodecError(f'a ledger record is malformed: {exc}') from exc
    if found != _FORMAT:
        raise errors.CodecError(f'a ledger record has format {found}')
    by_key = {claim.key: claim for claim in claims}
    if len(by_key) < len(claims) or not all(map(_fits, claims)):
        raise errors.CodecError('a ledger record holds a wrong claim')
    return by_key


def valid(location: Location, claim: Claim) -> bool:
    """Return whether a claim of another router can be recorded."""
    known_shard = 0 <= location.shard < SHARDS
    return known_shard and location.slot >= 0 and _fits(claim)


def pack(digest: str, content_type: str, body: bytes) -> bytes:
    """Return an answer as the content of a claim; a long body is left out."""
    whole = msgspec.msgpack.encode(Reply(digest, content_type, True, body))
    if len(whole) <= MAX_CONTENT:
        return whole
    short = Reply(digest, content_type[:_MAX_TYPE], False)
    return msgspec.msgpack.encode(short)


def unpack(content: bytes) -> Reply:
    """Return an answer from the content of a claim, incomplete if unknown."""
    try:
        return msgspec.msgpack.decode(content, type=Reply)
    except msgspec.MsgspecError:
        return Reply(complete=False)


def merge(recorded: Claim | None, news: Claim) -> Claim:
    """Return the claim that stands after an outcome became known.

    What ran stays recorded as such. "Not run" says something about its own
    attempt only. A failed attempt may have run, so it never gives way to
    "not run" or to a claim.
    """
    if recorded is None:
        return news
    for decisive in (State.RAN, State.FAILED):
        if recorded.state is decisive:
            return recorded
        if news.state is decisive:
            return news
    claimed = recorded.state is State.CLAIMED
    return news if claimed and news.attempt == recorded.attempt else recorded


def _refusal(title: str) -> errors.Problem:
    return errors.Problem(title=title, status=400)


def _fits(claim: Claim) -> bool:
    return (
        len(claim.key) == _HASH_BYTES
        and 0 < len(claim.attempt) <= _MAX_ATTEMPT
        and len(claim.content) <= MAX_CONTENT
    )
