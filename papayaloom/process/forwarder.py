"""Forwards one request: attempts at replicas, streams, the answer.

Runs on a worker thread of the ingress. What follows a failure is decided in
:mod:`papayaloom.request.forwarding`, where a request goes in
:mod:`papayaloom.process.dispatch`.
"""

import msgspec
import result
import structlog

from papayaloom import errors
from papayaloom.connection import bounds, channel, idle_pool, ingress, probe
from papayaloom.process import (
    dispatch,
    dispatch_actor,
    forward_attempt,
    forward_job,
    poison,
    replicas,
    spread,
)
from papayaloom.request import forwarding, onward

_log = structlog.get_logger('forward')
_SERVER_ERROR = 500
_NOT_RUN = errors.Verdict.NOT_RUN
_MAY_HAVE_RUN = errors.Verdict.MAY_HAVE_RUN


class Parts(msgspec.Struct, frozen=True):
    """What the forwarder works with."""

    desk: dispatch_actor.Desk
    dialect: onward.Dialect
    pool: idle_pool.IdlePool
    limits: bounds.Bounds = bounds.Bounds()


class Forwarder:
    """Forwards requests; thread-safe."""

    def __init__(self, parts: Parts) -> None:
        """Keep the parts."""
        self._parts = parts

    def forward(self, job: forward_job.Job) -> int:
        """Answer a request.

        :returns: the status that the caller got.
        :raises papayaloom.errors.RefusedError: it gets a problem document.
        :raises papayaloom.connection.ingress.BrokenOffError: the answer had
            begun and can't be completed.
        :raises papayaloom.connection.channel.CallerGoneError: the caller left.
        """
        while True:
            placed = self._place(job)
            if isinstance(placed, result.Err):
                return self._give_up(job, placed.err_value)
            self._log_placed(job, placed.ok_value)
            outcome = self._attempt(job, placed.ok_value)
            if isinstance(outcome, result.Ok):
                return outcome.ok_value
            failure = outcome.err_value
            step = forwarding.after_failure(
                job.route, job.progress, failure.verdict, job.left_s()
            )
            self._log_failure(job, placed.ok_value.replica, failure, step)
            if step is forwarding.Step.FAIL:
                return self._give_up(job, forward_job.failed(job, failure))

    def _place(self, job: forward_job.Job) -> dispatch.Placed:
        wanted = dispatch.Wanted(
            job.service,
            forward_job.shared_prefix(job),
            frozenset(job.tried),
            job.progress.sends > 0,
            job.mark,
        )
        return self._parts.desk.place(wanted)

    def _attempt(
        self, job: forward_job.Job, choice: spread.Choice
    ) -> forward_attempt.Outcome:
        replica = choice.replica
        job.tried.add(replica.id)
        try:
            outcome = self._exchange(job, choice)
        except BaseException:
            left = forward_job.Failure(_MAY_HAVE_RUN, 'left')
            self._ended(job, replica, result.Err(left))
            raise
        if isinstance(outcome, result.Err):
            forward_job.count(job.progress, outcome.err_value)
        self._ended(job, replica, outcome)
        return outcome

    def _exchange(
        self, job: forward_job.Job, choice: spread.Choice
    ) -> forward_attempt.Outcome:
        replica = choice.replica
        try:
            conn = self._connect(job, replica)
        except errors.UpstreamError as exc:
            return result.Err(
                forward_job.Failure(_NOT_RUN, str(exc), is_unreachable=True)
            )
        attempt = forward_attempt.Attempt(
            job,
            choice,
            conn,
            self._parts.desk,
            self._parts.dialect,
            self._parts.limits,
        )
        try:
            outcome = attempt.run()
        except errors.UpstreamError as exc:
            conn.close()
            return result.Err(_broken(replica, exc, attempt.has_begun))
        except channel.LateError:
            conn.close()
            return result.Err(
                forward_job.Failure(_MAY_HAVE_RUN, 'no answer in time', True)
            )
        except BaseException:
            conn.close()
            raise
        if conn.is_last:
            self._parts.pool.drop(replica.id)
        if conn.finish():
            self._parts.pool.give(replica.id, conn)
        else:
            conn.close()
        return outcome

    def _connect(
        self, job: forward_job.Job, replica: replicas.Replica
    ) -> channel.Channel:
        conn = self._parts.pool.take(
            replica.id, fresh=not job.route.is_repeatable
        )
        return conn or channel.Channel(replica.address, self._parts.limits)

    def _ended(
        self,
        job: forward_job.Job,
        replica: replicas.Replica,
        outcome: forward_attempt.Outcome,
    ) -> None:
        failure = outcome.err()
        self._parts.desk.ended(
            dispatch.Outcome(
                job.service,
                replica.id,
                failure.replica_failed if failure else False,
                bool(failure and failure.is_unreachable),
                job.mark,
                _suspicion(job, replica, failure),
                is_whole=outcome.unwrap_or(_SERVER_ERROR) < _SERVER_ERROR,
            )
        )

    def _give_up(self, job: forward_job.Job, problem: errors.Problem) -> int:
        if job.progress.has_begun:
            raise ingress.BrokenOffError(problem.title)
        if job.failed is not None:
            forward_job.deliver(job, job.failed)
            return job.failed.status
        if job.progress.runs and problem.status == 503:
            problem = errors.Problem(
                problem.title, 502, verdict=_MAY_HAVE_RUN.value
            )
        raise errors.RefusedError(problem)

    def _log_placed(self, job: forward_job.Job, choice: spread.Choice) -> None:
        _log.info(
            'forward: placed',
            request=job.asked.request_id,
            fingerprint=job.mark,
            route=job.route.name,
            version=job.version,
            replica=choice.replica.id,
            prefix=forward_job.shared_prefix(job),
            load=round(choice.load, 1),
            mean=round(choice.mean, 1),
            copy_from=choice.source.id if choice.source else '',
            tried=len(job.tried),
            left_s=round(job.left_s(), 3),
        )

    def _log_failure(
        self,
        job: forward_job.Job,
        replica: replicas.Replica,
        failure: forward_job.Failure,
        step: forwarding.Step,
    ) -> None:
        _log.info(
            'forward: an attempt failed',
            request=job.asked.request_id,
            fingerprint=job.mark,
            route=job.route.name,
            replica=replica.id,
            verdict=failure.verdict.value,
            why=failure.why,
            has_ended=failure.has_ended,
            runs=job.progress.runs,
            left_s=round(job.left_s(), 3),
            step=step.value,
        )


def _suspicion(
    job: forward_job.Job,
    replica: replicas.Replica,
    failure: forward_job.Failure | None,
) -> poison.Suspicion | None:
    """Return what a replica that ended with an attempt says of the request."""
    if failure is None or not failure.has_ended:
        return None
    start = poison.start_id(replica)
    return poison.Suspicion(job.mark, start, failure.has_begun)


def _broken(
    replica: replicas.Replica,
    exc: errors.UpstreamError,
    has_begun: bool,
) -> forward_job.Failure:
    """Return the failure of an attempt whose connection broke."""
    has_run = exc.verdict is not _NOT_RUN
    return forward_job.Failure(
        exc.verdict,
        str(exc),
        has_run or None,
        has_ended=exc.crashed and probe.has_ended(replica.address),
        has_begun=has_begun,
    )
