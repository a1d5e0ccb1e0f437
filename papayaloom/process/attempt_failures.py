"""Failures of attempts whose response must not reach the caller."""

import result

from papayaloom import errors
from papayaloom.connection import buffer_budget, response_limits
from papayaloom.process import forward_job

Outcome = result.Result[int, forward_job.Failure]

_SERVER_ERROR = 500
# Callers may rely on these statuses to mean that the request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_MAY_HAVE_RUN = errors.Verdict.MAY_HAVE_RUN


class UndecidedStreamError(errors.UpstreamError):
    """An event may be missing; the stream goes on at another replica."""


def status_failure(
    job: forward_job.Job, buffered: forward_job.BufferedResponse
) -> forward_job.Failure | None:
    """Return the failure of a response that must not reach the caller.

    An error response is kept in the job, for the case that no other attempt
    succeeds.
    """
    if buffered.status in _NOT_RUN_STATUSES:
        # Without the "not run" mark the request may have run, so a status
        # that means the opposite must not be forwarded.
        reason = f'answered {buffered.status} and may have run the request'
        return forward_job.Failure(_MAY_HAVE_RUN, reason, replica_failed=True)
    if buffered.status < _SERVER_ERROR:
        return None
    job.error_response = buffered
    if job.progress.has_begun or not job.route.is_repeatable:
        return None
    reason = f'the replica failed with {buffered.status}'
    return forward_job.Failure(
        _MAY_HAVE_RUN, reason, replica_failed=True, is_error_response=True
    )


def no_room(exc: buffer_budget.BufferFullError) -> Outcome:
    """Return the failure of a response that found no room.

    :raises response_limits.UnboundedResponseError: its replica used the room;
        a replica that only met a full budget has not failed.
    """
    if exc.is_excess:
        raise response_limits.UnboundedResponseError(str(exc)) from exc
    return result.Err(
        forward_job.Failure(_MAY_HAVE_RUN, str(exc), lacked_room=True)
    )
