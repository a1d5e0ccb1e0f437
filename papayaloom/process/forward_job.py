"""A request that is being forwarded: its state and what is read from it."""

import time

import h11
import msgspec

from papayaloom import errors, ids
from papayaloom.connection import channel, ingress
from papayaloom.process import replicas
from papayaloom.request import events, forwarding, onward
from papayaloom.version import routes

LATE_RETRY_S = 0.5


class Answer(msgspec.Struct, frozen=True):
    """A whole answer of a replica."""

    status: int
    headers: onward.Headers
    content: bytes


class Job(msgspec.Struct):
    """A request that is being forwarded.

    :param deadline: monotonic time at which the caller gets a final answer.
    :param version: version of the route table that judges it.
    :param mark: equal for requests of equal organisation, target and body,
        whatever their ids.
    :param failed: a replica's own failure, kept in case no other does better.
    :param joiner: events so far; nothing for a plain call.
    """

    inbound: ingress.Inbound
    asked: onward.Asked
    route: routes.Route
    service: ids.ServiceId
    organisation: str
    priority: int | None
    deadline: float
    joiner: events.Joiner
    mark: ids.Fingerprint = ids.Fingerprint('')
    version: int = 0
    progress: forwarding.Progress = msgspec.field(
        default_factory=forwarding.Progress
    )
    tried: set[str] = msgspec.field(default_factory=set)
    failed: Answer | None = None

    def left_s(self) -> float:
        """Return the time left."""
        return self.deadline - time.monotonic()


class Failure(msgspec.Struct, frozen=True):
    """A failed attempt.

    :param replica_failed: whether the replica is to blame; None if not known.
    :param has_ended: the replica's process ended with the attempt.
    :param has_begun: its answer had gone beyond the first event.
    """

    verdict: errors.Verdict
    why: str
    replica_failed: bool | None = None
    is_unreachable: bool = False
    has_ended: bool = False
    has_begun: bool = False


def count(progress: forwarding.Progress, failure: Failure) -> None:
    """Count a failed attempt."""
    if failure.is_unreachable:
        return
    progress.sends += 1
    if failure.verdict is not errors.Verdict.NOT_RUN:
        progress.runs += 1


def address(replica: replicas.Replica | None) -> str:
    """Return ``IP:PORT`` of a replica, or nothing."""
    return f'{replica.address[0]}:{replica.address[1]}' if replica else ''


def shared_prefix(job: Job) -> str:
    """Return the longest prefix of a prompt that other requests share."""
    if not job.route.is_sticky or len(job.asked.parts) < 2:
        return ''
    return job.asked.parts[-2].name


def is_event_stream(job: Job, response: h11.Response) -> bool:
    """Tell whether an answer is passed on event by event."""
    return (
        job.route.kind is routes.Kind.STREAM
        and response.status_code // 100 == 2
    )


def deliver(job: Job, answer: Answer) -> None:
    """Send a whole answer to the caller.

    :raises papayaloom.connection.channel.CallerGoneError: it left.
    """
    try:
        job.inbound.answer(answer.status, answer.headers, answer.content)
    except OSError as exc:
        raise channel.CallerGoneError(f'not written: {exc}') from exc


def failed(job: Job, failure: Failure) -> errors.Problem:
    """Return what the caller is told when the last attempt failed."""
    is_late = job.left_s() <= 0
    if job.progress.runs:
        return errors.Problem(
            failure.why,
            504 if is_late else 502,
            verdict=errors.Verdict.MAY_HAVE_RUN.value,
        )
    return errors.Problem(failure.why, 503, retry_after_s=LATE_RETRY_S)
