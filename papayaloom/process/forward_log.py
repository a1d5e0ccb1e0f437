"""Log lines of the forwarder."""

import structlog

from papayaloom.connection import buffer_budget
from papayaloom.process import forward_job
from papayaloom.request import forwarding
from papayaloom.routing import replica_choice, replicas

_log = structlog.get_logger('forward')


def placed(job: forward_job.Job, choice: replica_choice.Choice) -> None:
    """Log which replica a request was placed on, and why."""
    _log.info(
        'forward: request placed',
        request=job.request_info.request_id,
        fingerprint=job.fingerprint,
        route=job.route.name,
        version=job.version,
        replica=choice.replica.id,
        prefix=forward_job.shared_prefix(job),
        prefix_tokens=forward_job.shared_tokens(job),
        load=round(choice.estimate.total, 1),
        mean=round(choice.mean, 1),
        bound=round(choice.bound, 1),
        report_age_s=round(choice.estimate.age_s, 2),
        preferred_per_s=round(choice.preferred_per_s, 1),
        copy_from=choice.source.id if choice.source else '',
        tried=len(job.tried),
        left_s=round(job.remaining_s(), 3),
    )


def exceeded(
    replica: replicas.Replica,
    failure: forward_job.Failure,
    buffers: buffer_budget.BufferBudget,
) -> None:
    """Log that a response exceeded a bound on memory."""
    usage = buffers.usage().get(replica.id, buffer_budget.Usage())
    _log.info(
        'forward: a response exceeded a bound',
        replica=replica.id,
        is_at_fault=failure.is_unbounded,
        why=failure.reason,
        held_bytes=usage.held,
        all_held_bytes=buffers.held_bytes,
        refused=usage.refused,
    )


def failed(
    job: forward_job.Job,
    replica: replicas.Replica,
    failure: forward_job.Failure,
    step: forwarding.Step,
) -> None:
    """Log a failed attempt and the step that follows it."""
    _log.info(
        'forward: attempt failed',
        request=job.request_info.request_id,
        fingerprint=job.fingerprint,
        route=job.route.name,
        replica=failure.replica or replica.id,
        verdict=failure.verdict.value,
        why=failure.reason,
        has_ended=failure.process_ended,
        has_begun=failure.has_begun,
        parts=_suspect_parts(job, failure),
        runs=job.progress.runs,
        after_event=job.joiner.last,
        left_s=round(job.remaining_s(), 3),
        step=step.value,
    )


def ids_skip(job: forward_job.Job) -> None:
    """Log that the event ids of a service are shown not to count its events."""
    _log.info(
        'forward: event ids of a service do not count its events',
        service=job.service,
        request=job.request_info.request_id,
        route=job.route.name,
        last_event=job.joiner.last,
    )


def _suspect_parts(
    job: forward_job.Job, failure: forward_job.Failure
) -> tuple[str, ...]:
    """Return the prompt parts that may have terminated the replica."""
    if not failure.process_ended:
        return ()
    return forward_job.shared_parts(job)
