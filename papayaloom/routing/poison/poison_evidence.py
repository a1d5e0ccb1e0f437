"""Evidence on poison requests that hosts exchange."""

import itertools
import typing

import msgspec

from papayaloom import decoding, errors, ids
from papayaloom.routing import replicas


class Suspicion(msgspec.Struct, frozen=True):
    """Termination of a replica while it ran a request.

    :param fingerprint: fingerprint of the request.
    :param start: identifies one start of the replica.
    :param has_begun: the response had gone beyond its first event.
    :param depth: position in the prompt, for a part of it; of several parts, the
        last is in the fewest requests.
    :param ran_s: seconds for which the request had run there, for a part of its
        prompt; of several requests with it, the sum.
    """

    fingerprint: ids.Fingerprint = msgspec.field(name='mark')
    start: replicas.ReplicaStart
    has_begun: bool = False
    depth: int = 0
    ran_s: float = 0


class Report(msgspec.Struct, frozen=True):
    """Report that hosts send each other.

    :param condemned: requests that must not run again.
    :param cleared: requests that ran to a complete response despite suspicions.
    :param parts: the same for parts of prompts.
    :param released: were condemned until terminations under another suspect
        explained theirs.
    """

    suspicions: tuple[Suspicion, ...] = ()
    condemned: tuple[ids.Fingerprint, ...] = ()
    cleared: tuple[ids.Fingerprint, ...] = ()
    parts: 'Report | None' = None
    released: tuple[ids.Fingerprint, ...] = ()


def decode(content: bytes) -> Report:
    """Decode a report.

    :raises papayaloom.errors.CodecError: the report cannot be decoded.
    """
    try:
        return decoding.decode_json(content, Report)
    except msgspec.MsgspecError as exc:
        raise errors.CodecError(f'invalid poison report: {exc}') from exc


def join(reports: typing.Iterable[Report]) -> Report:
    """Merge several reports of one host."""
    parts = list(reports)
    cleared = _unique(one.cleared for one in parts)
    released = _unique(one.released for one in parts)
    suspicions = _merged(
        suspicion
        for one in parts
        for suspicion in one.suspicions
        if suspicion.fingerprint not in cleared
    )
    condemned = tuple(
        fingerprint
        for one in parts
        for fingerprint in one.condemned
        if fingerprint not in (*cleared, *released)
    )
    return Report(suspicions, condemned, cleared, released=released)


def _merged(found: typing.Iterable[Suspicion]) -> tuple[Suspicion, ...]:
    """Return one suspicion for each part and start of a replica."""
    merged: dict[tuple[ids.Fingerprint, replicas.ReplicaStart], Suspicion] = {}
    for one in found:
        known = merged.setdefault((one.fingerprint, one.start), one)
        if known is not one:
            merged[one.fingerprint, one.start] = msgspec.structs.replace(
                known,
                has_begun=known.has_begun or one.has_begun,
                ran_s=known.ran_s + one.ran_s,
            )
    return tuple(merged.values())


def _unique(
    names: typing.Iterable[tuple[ids.Fingerprint, ...]],
) -> tuple[ids.Fingerprint, ...]:
    """Return the fingerprints of several reports, each once."""
    return tuple(dict.fromkeys(itertools.chain.from_iterable(names)))
