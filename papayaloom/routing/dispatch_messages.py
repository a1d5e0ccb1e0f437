"""Messages between the forwarder and the dispatcher."""

import msgspec

from papayaloom import ids
from papayaloom.routing import replicas
from papayaloom.routing.poison import poison_detector, poison_evidence


class PlacementRequest(msgspec.Struct, frozen=True):
    """A request that needs a replica.

    :param prefix: name of its shared prompt prefix, or empty.
    :param fingerprint: equal for repetitions of the request.
    :param tried: replicas of earlier attempts.
    :param is_retry: whether a replica has already received the request.
    :param may_have_run: an earlier attempt may have run.
    :param objective_s: target time to the response or the first event.
    :param left_s: time left until the deadline.
    :param parts: names of the prompt parts that other requests may share.
    :param hedge_of: replica that runs the first copy; None if the request is
        not a hedge.
    :param rank: priority of its organisation, or else of its route, and
        priority of its route; 0 is the most urgent.
    :param waited_s: part of the timeout of its route that has passed, before the
        request arrived here or in earlier attempts.
    :param draw: 0 to 1, the same for its repetitions; None to draw at random.
    :param proven_since: place it only on replicas that have succeeded since
        this time while such a success can be expected, because others may have
        begun to fail as the last one did.
    """

    service: ids.ServiceId
    prefix: str = ''
    tried: frozenset[str] = frozenset()
    is_retry: bool = False
    fingerprint: ids.Fingerprint = ids.Fingerprint('')
    organisation: str = ''
    may_have_run: bool = False
    objective_s: float = 1
    left_s: float = 10
    parts: tuple[ids.Fingerprint, ...] = ()
    hedge_of: replicas.ReplicaId | None = None
    rank: tuple[int, int] = (0, 0)
    waited_s: float = 0
    draw: float | None = None
    proven_since: float | None = None


class AttemptResult(msgspec.Struct, frozen=True):
    """Result of an attempt.

    :param is_failure: whether the replica failed; None if it was neither a
        success nor the replica's fault.
    :param is_unreachable: no connection to the replica could be made.
    :param fingerprint: equal for repetitions of the request.
    :param suspicion: set if the replica's process ended during the attempt.
    :param is_success: the caller got a complete response that is no error.
    :param duration_s: time for which the replica had the request; None if it
        did not run it.
    :param is_error_response: the replica answered with an error status, which
        may be the fault of the request.
    :param parts: names of the prompt parts that other requests may share.
    :param is_hedge: the attempt was the second copy of a request.
    :param is_cancelled: the other copy of the request was answered first.
    :param is_refused: the replica was full and did not run it.
    :param is_unbounded: the replica sent more than it may.
    :param is_remainder: the rest of a stream that had begun before, at another
        replica or for an earlier request of the caller.
    :param received_at: when the last part of the response was received, which
        may be long before this report on a busy host.
    """

    service: ids.ServiceId
    replica: replicas.ReplicaId
    is_failure: bool | None = None
    is_unreachable: bool = False
    fingerprint: ids.Fingerprint = ids.Fingerprint('')
    suspicion: poison_evidence.Suspicion | None = None
    is_success: bool = False
    organisation: str = ''
    duration_s: float | None = None
    is_error_response: bool = False
    parts: tuple[ids.Fingerprint, ...] = ()
    is_hedge: bool = False
    is_cancelled: bool = False
    is_refused: bool = False
    is_unbounded: bool = False
    received_at: float | None = None
    is_remainder: bool = False


def subject(
    request: PlacementRequest | AttemptResult,
) -> poison_detector.Subject:
    """Return what a request or attempt has in common with others."""
    return poison_detector.Subject(request.fingerprint, request.parts)


def ended_attempt(
    attempt_result: AttemptResult, now: float
) -> poison_detector.Attempt:
    """Return an attempt that has just ended, for the detection of poison."""
    return poison_detector.Attempt(
        subject(attempt_result),
        attempt_result.replica,
        now - (attempt_result.duration_s or 0),
        attempt_result.suspicion,
        attempt_result.is_success and not attempt_result.is_remainder,
    )
