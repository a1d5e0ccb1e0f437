"""Suspect requests and prompt parts, and the terminations that count for them."""

import collections
import typing

import msgspec

from papayaloom import ids
from papayaloom.routing import replicas
from papayaloom.routing.poison import poison_evidence


class Termination(msgspec.Struct, frozen=True):
    """Termination of a replica while it ran a suspect.

    :param at: monotonic time at which this host first heard of it, whatever
        ran there: it settles at the same time for all suspects.
    :param has_begun: a response had gone beyond its first event.
    :param runs_s: seconds for which requests had run; each value once, since
        reports may arrive twice.
    """

    at: float
    has_begun: bool
    runs_s: frozenset[float] = frozenset()


Terminations = dict[replicas.ReplicaStart, Termination]


class Suspect(msgspec.Struct):
    """A request or prompt part and the replicas that terminated under it.

    :param depth: position in the prompt, for a part of it.
    :param condemned_at: time at which it was condemned or last arrived; None
        if it is not condemned.
    :param reported_at: time at which its condemnation was last reported.
    """

    ends: Terminations
    depth: int = 0
    condemned_at: float | None = None
    reported_at: float = float('-inf')

    def newest(self) -> float:
        """Return the time of the newest evidence."""
        ends = [end.at for end in self.ends.values()]
        return max([self.condemned_at or float('-inf'), *ends])

    def is_expired(self, memory_s: float, now: float) -> bool:
        """Whether all evidence is older than ``memory_s``."""
        return now - self.newest() >= memory_s


Suspects = collections.OrderedDict[ids.Fingerprint, Suspect]


def termination(
    suspicion: poison_evidence.Suspicion,
    heard_at: float,
    known: Termination | None,
) -> Termination:
    """Return a termination with what a suspicion says about it.

    :param heard_at: monotonic time of the first word of the termination.
    :param known: what is known so far.
    """
    known = known or Termination(heard_at, has_begun=False)
    return Termination(
        known.at,
        known.has_begun or suspicion.has_begun,
        known.runs_s | {suspicion.ran_s},
    )


def early_ends(ends: Terminations) -> Terminations:
    """Return the terminations before a response had gone on."""
    return {start: end for start, end in ends.items() if not end.has_begun}


def explained_starts(condemned: Suspects) -> set[replicas.ReplicaStart]:
    """Return the terminated replicas that ran a condemned suspect."""
    return {start for suspect in condemned.values() for start in suspect.ends}


def explains(
    other: Suspect, suspect: Suspect, moment_s: float, least: int
) -> bool:
    """Whether a part further back explains the terminations of a suspect.

    :param moment_s: terminations within this time count once.
    :param least: number of terminations that make a suspect.
    """
    if other.depth <= suspect.depth:
        return False
    rest = {
        start: end
        for start, end in suspect.ends.items()
        if start not in other.ends
    }
    known = count_moments(suspect.ends, moment_s)
    return count_moments(rest, moment_s) < least <= known


def unexplained_ends(
    suspect: Suspect,
    explained: typing.Container[replicas.ReplicaStart],
    settled_by: float,
) -> Terminations:
    """Return the terminations that count against a suspect.

    :param explained: replica starts with another cause.
    :param settled_by: time until which a termination must have been heard of.
    """
    return {
        start: end
        for start, end in suspect.ends.items()
        if start not in explained and end.at <= settled_by
    }


def evidence(suspect: tuple[ids.Fingerprint, Suspect]) -> tuple[int, int]:
    """Return what orders suspects; the highest is condemned first."""
    return len(suspect[1].ends), suspect[1].depth


def ran_with_condemned(suspect: Suspect, suspects: Suspects) -> bool:
    """Whether a condemned suspect ran on one of the terminated replicas."""
    return any(
        suspect.ends.keys() & other.ends.keys()
        for other in suspects.values()
        if other is not suspect and other.condemned_at is not None
    )


def count_moments(ends: Terminations, moment_s: float) -> int:
    """Return the number of terminations; those close together count once."""
    count = 0
    counted_at = float('-inf')
    for at in sorted(end.at for end in ends.values()):
        if at - counted_at >= moment_s:
            count += 1
            counted_at = at
    return count
