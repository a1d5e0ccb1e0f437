"""State of a request that is being forwarded, and helpers that read it."""

import time

import h11
import msgspec

from papayaloom import errors, ids
from papayaloom.connection import buffer_budget, ingress, upstream_connection
from papayaloom.routing import replica_choice, replicas
from papayaloom.request import event_joiner, forwarding, header_dialect
from papayaloom.version import routes

FAILED_RETRY_S = 0.5
# Callers may rely on these statuses to mean that the request has not run.
_REJECTIONS = frozenset((429, 503))


class BufferedResponse(msgspec.Struct, frozen=True):
    """A complete response of a replica, held in memory."""

    status: int
    headers: header_dialect.Headers
    content: bytes | bytearray


class Job(msgspec.Struct):
    """A request that is being forwarded.

    :param deadline: monotonic time by which the caller gets a final response.
    :param version: version of the route table that the request was matched in.
    :param fingerprint: equal for requests with equal organisation, target and
        body, whatever their ids.
    :param error_response: error response of a replica, which the caller gets if
        no other attempt succeeds.
    :param buffers: bytes held for the responses of the attempts.
    :param proven_since: start of the last attempt if it shows that a replica
        sends without end; the next replica must have succeeded since then.
    :param resumption: where the next attempt has been placed, if the last one
        ended for it.
    :param received_at: when the last part of a response was received.
    :param joiner: joins the event streams of the attempts; unused for plain
        calls.
    """

    inbound: ingress.InboundRequest
    request_info: header_dialect.RequestMetadata
    route: routes.Route
    service: ids.ServiceId
    organisation: str
    priority: int | None
    deadline: float
    joiner: event_joiner.EventJoiner
    fingerprint: ids.Fingerprint = ids.Fingerprint('')
    version: int = 0
    progress: forwarding.Progress = msgspec.field(
        default_factory=forwarding.Progress
    )
    tried: set[str] = msgspec.field(default_factory=set)
    error_response: BufferedResponse | None = None
    buffers: list[buffer_budget.Buffer] = msgspec.field(default_factory=list)
    proven_since: float | None = None
    resumption: replica_choice.Choice | None = None
    received_at: float | None = None

    def remaining_s(self) -> float:
        """Return the time until the deadline."""
        return self.deadline - time.monotonic()


class Failure(msgspec.Struct, frozen=True):
    """A failed attempt.

    :param replica_failed: whether the replica is at fault; None if unknown.
    :param process_ended: the replica's process ended during the attempt.
    :param has_begun: the response had gone beyond its first event.
    :param is_error_response: the replica answered with an error status.
    :param replica: the replica if it is not the one of the first copy.
    :param is_refused: the replica was full and did not run the request.
    :param is_unbounded: the replica sent more than it may.
    :param lacked_room: other replicas, which send without end, used the memory.
    """

    verdict: errors.Verdict
    reason: str
    replica_failed: bool | None = None
    is_unreachable: bool = False
    process_ended: bool = False
    has_begun: bool = False
    is_error_response: bool = False
    replica: replicas.ReplicaId | None = None
    is_refused: bool = False
    is_unbounded: bool = False
    lacked_room: bool = False


def count_failure(progress: forwarding.Progress, failure: Failure) -> None:
    """Add a failed attempt to the progress of its request."""
    progress.is_resumed = progress.has_begun
    if failure.is_unreachable:
        return
    progress.sends += 1
    if failure.verdict is not errors.Verdict.NOT_RUN:
        progress.runs += 1


def format_address(replica: replicas.Replica | None) -> str:
    """Return ``IP:PORT`` of a replica, or an empty string without one."""
    return f'{replica.address[0]}:{replica.address[1]}' if replica else ''


def rank(job: Job) -> tuple[int, int]:
    """Return the priority of the organisation or route, and of the route."""
    route_priority = job.route.priority
    if job.priority is None:
        return route_priority, route_priority
    return job.priority, route_priority


def shared_prefix(job: Job) -> str:
    """Return the name of the longest prompt prefix shared with others."""
    if not job.route.is_sticky or len(job.request_info.parts) < 2:
        return ''
    return job.request_info.parts[-2].name


def shared_parts(job: Job) -> tuple[ids.Fingerprint, ...]:
    """Return the names of the prompt parts that other requests may share."""
    return tuple(
        ids.Fingerprint(part.name) for part in job.request_info.parts[:-1]
    )


def shared_tokens(job: Job) -> int:
    """Return the length of that prefix in tokens."""
    if not shared_prefix(job):
        return 0
    return sum(part.tokens for part in job.request_info.parts[:-1])


def is_event_stream(job: Job, response: h11.Response) -> bool:
    """Tell whether a response is forwarded event by event."""
    return (
        job.route.kind is routes.Kind.STREAM
        and response.status_code // 100 == 2
    )


def deliver(job: Job, response: BufferedResponse) -> None:
    """Send a complete response to the caller.

    :raises upstream_connection.CallerDisconnectedError: the caller has
        disconnected.
    """
    try:
        job.inbound.answer(response.status, response.headers, response.content)
    except OSError as exc:
        raise upstream_connection.CallerDisconnectedError(
            f'not written: {exc}'
        ) from exc


def final_problem(job: Job, problem: errors.Problem) -> errors.Problem:
    """Return the problem for the caller when no further attempt is made.

    A rejected retry must not read as "not run" if an earlier attempt may have
    run.
    """
    if job.progress.runs and problem.status in _REJECTIONS:
        return errors.Problem(
            problem.title, 502, verdict=errors.Verdict.MAY_HAVE_RUN.value
        )
    return problem


def failure_problem(job: Job, failure: Failure) -> errors.Problem:
    """Return the problem for the caller after the last failed attempt."""
    is_overdue = job.remaining_s() <= 0
    if job.progress.runs:
        return errors.Problem(
            failure.reason,
            504 if is_overdue else 502,
            verdict=errors.Verdict.MAY_HAVE_RUN.value,
        )
    return errors.Problem(failure.reason, 503, retry_after_s=FAILED_RETRY_S)
