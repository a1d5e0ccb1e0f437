"""Keys, claims and records of the at-most-once ledger.

A record holds the claims of one shard (of 16) whose keys were created within
the same ten seconds. Its value is MessagePack: ``[format, [claim, ...]]``. A
claim is ``[key hash, attempt, state, status, content]``; trailing fields with
their default values are omitted.
"""

import enum
import typing
import uuid

import msgspec
import result
import xxhash

from papayaloom import decoding, errors

SHARDS = 16
SLOT_MS = 10_000
# A record stores at most this many bytes of an encoded answer.
MAX_CONTENT_BYTES = 512
# The store accepts values of up to 1 MB. 900 claims with an answer and 3,100
# without, all with attempt ids of maximum length, take 840,000 bytes. The
# planned 200 calls/s produce 125 claims per record.
MAX_CLAIMS_PER_RECORD = 4000
MAX_ANSWERS_PER_RECORD = 900
# Tolerates callers whose clocks run ahead.
MAX_CLOCK_LEAD_MS = 300_000
# Upper limit of the setting `ledger.retention_s`. Records are always kept
# longer than this, whatever the setting, so changing it can never cause a key
# to be accepted whose record has already been deleted.
MAX_RETENTION_S = 86_400
RECORD_TTL_MS = MAX_RETENTION_S * 1000 + 2 * MAX_CLOCK_LEAD_MS
_FORMAT = 1
_HASH_BYTES = 16
_MAX_ATTEMPT_LENGTH = 64
_UUID_VERSION = 7
_MAX_CONTENT_TYPE_LENGTH = 128
_UUID_TIME_SHIFT = 80


class State(enum.Enum):
    """Recorded state of a call."""

    CLAIMED = 'c'
    RAN = 'r'
    FAILED = 'f'
    NOT_RUN = 'n'


class Claim(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Claim of a call by one attempt.

    :param key: 16-byte hash computed by :func:`locate`.
    :param status: HTTP status code of the recorded answer.
    :param content: encoded answer, possibly truncated.
    """

    key: bytes
    attempt: str
    state: State = State.CLAIMED
    status: int = 0
    content: bytes = b''


class Reply(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a call, stored as the content of its claim.

    :param digest: hash of the request; detects reuse of the key for a
        different request.
    :param complete: whether ``body`` is the entire body.
    """

    digest: str = ''
    content_type: str = ''
    complete: bool = True
    body: bytes = b''


class Location(msgspec.Struct, frozen=True):
    """Record and key under which the claim of a call is stored."""

    shard: int
    slot: int
    key: bytes


Claims = typing.Mapping[bytes, Claim]


def locate(
    org: str,
    target: str,
    call_key: str,
    unix_ms: int,
    retention_s: float = MAX_RETENTION_S,
) -> result.Result[Location, errors.Problem]:
    """Return the location of a call's claim from its idempotency key.

    The hash includes the organisation and the target, so the same key used by
    two organisations identifies two different calls.

    :param call_key: UUID version 7.
    :returns: the location, or a problem document if the key is rejected.
    """
    try:
        key_uuid = uuid.UUID(call_key)
    except ValueError:
        key_uuid = uuid.UUID(int=0)
    if key_uuid.version != _UUID_VERSION:
        return result.Err(_bad_key('The key is no UUID of version 7'))
    created_ms = key_uuid.int >> _UUID_TIME_SHIFT
    if created_ms > unix_ms + MAX_CLOCK_LEAD_MS:
        return result.Err(_bad_key('The time of the key is in the future'))
    if created_ms < unix_ms - retention_s * 1000:
        return result.Err(
            errors.Problem(
                title='The key is older than the ledger',
                status=409,
                verdict=errors.Verdict.MAY_HAVE_RUN.value,
                setting='ledger.retention_s',
            )
        )
    text = f'{org}\0{target}\0{key_uuid}'
    digest = xxhash.xxh3_128_digest(text.encode())
    return result.Ok(
        Location(digest[0] % SHARDS, created_ms // SLOT_MS, digest)
    )


def record_key(shard: int, slot: int) -> str:
    """Return the store key of a record; a shard's keys sort by time."""
    return f'{shard_prefix(shard)}{slot:012}'


def shard_prefix(shard: int) -> str:
    """Return the store key prefix of a shard's records."""
    return f'ledger/{shard:02}/'


def slot_of(key: str) -> int:
    """Return the slot number in a record's store key."""
    return int(key.rpartition('/')[2])


def encode(claims: Claims) -> bytes:
    """Encode the claims of a record."""
    return msgspec.msgpack.encode((_FORMAT, tuple(claims.values())))


def decode(content: bytes) -> dict[bytes, Claim]:
    """Decode the claims of a record.

    :raises errors.CodecError: if the content is malformed or has an unknown
        format.
    """
    try:
        record_format, claims = decoding.decode_msgpack(
            content, tuple[int, tuple[Claim, ...]]
        )
    except msgspec.MsgspecError as exc:
        raise errors.CodecError(f'malformed ledger record: {exc}') from exc
    if record_format != _FORMAT:
        raise errors.CodecError(f'unknown ledger record format {record_format}')
    by_key = {claim.key: claim for claim in claims}
    if len(by_key) < len(claims) or not all(map(_is_well_formed, claims)):
        raise errors.CodecError(
            'ledger record contains a duplicate or invalid claim'
        )
    return by_key


def is_valid(location: Location, claim: Claim) -> bool:
    """Return whether a claim received from another router is valid."""
    is_known_shard = 0 <= location.shard < SHARDS
    return is_known_shard and location.slot >= 0 and _is_well_formed(claim)


def encode_reply(digest: str, content_type: str, body: bytes) -> bytes:
    """Encode an answer as claim content; omit a body that is too long."""
    complete_reply = msgspec.msgpack.encode(
        Reply(digest, content_type, True, body)
    )
    if len(complete_reply) <= MAX_CONTENT_BYTES:
        return complete_reply
    truncated_reply = Reply(
        digest, content_type[:_MAX_CONTENT_TYPE_LENGTH], False
    )
    return msgspec.msgpack.encode(truncated_reply)


def decode_reply(content: bytes) -> Reply:
    """Decode claim content; return an incomplete reply if it is malformed."""
    try:
        return decoding.decode_msgpack(content, Reply)
    except msgspec.MsgspecError:
        return Reply(complete=False)


def merge(recorded: Claim | None, update: Claim) -> Claim:
    """Merge a reported outcome into the recorded claim.

    ``RAN`` is final. A failed attempt may have run, so only ``RAN`` replaces
    ``FAILED``; ``NOT_RUN`` and new claims do not. ``NOT_RUN`` applies only to
    the attempt that reported it.
    """
    if recorded is None:
        return update
    for decisive in (State.RAN, State.FAILED):
        if recorded.state is decisive:
            return recorded
        if update.state is decisive:
            return update
    claimed = recorded.state is State.CLAIMED
    return (
        update if claimed and update.attempt == recorded.attempt else recorded
    )


def _bad_key(title: str) -> errors.Problem:
    return errors.Problem(title=title, status=400)


def _is_well_formed(claim: Claim) -> bool:
    return (
        len(claim.key) == _HASH_BYTES
        and 0 < len(claim.attempt) <= _MAX_ATTEMPT_LENGTH
        and len(claim.content) <= MAX_CONTENT_BYTES
    )
