"""Results of attempts, as the dispatcher records them."""

import time

from papayaloom import errors
from papayaloom.process import forward_attempt, forward_job, request_copy
from papayaloom.routing import dispatch_messages, replicas
from papayaloom.routing.poison import poison_evidence

_SERVER_ERROR = 500
_NOT_RUN = errors.Verdict.NOT_RUN


def attempt_result(
    job: forward_job.Job,
    replica: replicas.Replica,
    outcome: forward_attempt.Outcome,
    started_at: float,
    copy: request_copy.CopyState = request_copy.ONLY_COPY,
) -> dispatch_messages.AttemptResult:
    """Return what an attempt that has just ended says of its replica.

    :param started_at: monotonic time at which the attempt began.
    :param copy: which copy of its request it was.
    """
    failure = outcome.err()
    is_not_run = failure is not None and failure.verdict is _NOT_RUN
    return dispatch_messages.AttemptResult(
        job.service,
        replica.id,
        failure.replica_failed if failure else False,
        bool(failure and failure.is_unreachable),
        job.fingerprint,
        _suspicion(job, replica, failure),
        is_success=outcome.unwrap_or(_SERVER_ERROR) < _SERVER_ERROR,
        organisation=job.organisation,
        duration_s=None if is_not_run else time.monotonic() - started_at,
        is_error_response=bool(failure and failure.is_error_response),
        is_unbounded=bool(failure and failure.is_unbounded),
        received_at=job.received_at,
        parts=forward_job.shared_parts(job),
        is_hedge=copy.is_hedge,
        is_cancelled=copy.is_cancelled,
        is_refused=bool(failure and failure.is_refused),
        is_remainder=job.progress.is_resumed
        or bool(job.request_info.last_event_id),
    )


def _suspicion(
    job: forward_job.Job,
    replica: replicas.Replica,
    failure: forward_job.Failure | None,
) -> poison_evidence.Suspicion | None:
    """Return a suspicion if the replica's process ended during the attempt."""
    if failure is None or not failure.process_ended:
        return None
    start = replicas.start_id(replica)
    return poison_evidence.Suspicion(job.fingerprint, start, failure.has_begun)
