"""Forwards a request to replicas, with retries, and returns the response.

Runs on a worker thread of the ingress. :mod:`papayaloom.request.forwarding`
decides on retries, and :mod:`papayaloom.routing.dispatch` chooses the replicas.
"""

import functools
import time
import typing

import msgspec
import result

from papayaloom import errors, ids
from papayaloom.connection import (
    buffer_budget,
    idle_pool,
    ingress,
    probe,
    response_limits,
    upstream_connection,
    wasted_work,
)
from papayaloom.process import (
    attempt_failures,
    attempt_results,
    dispatch_actor,
    forward_attempt,
    forward_job,
    forward_log,
    hedged_exchange,
    request_copy,
)
from papayaloom.routing import (
    dispatch,
    dispatch_messages,
    placement_problems,
    replica_choice,
    replicas,
)
from papayaloom.routing.overload import hedging, rank_admission
from papayaloom.request import event_numbering, forwarding, header_dialect

# How often a retry after an unbounded response is tried again, and for how long
# at most, also as a share of the time left, so that it can still be answered.
_POLL_S = 0.1
_MAX_WAIT_S = 3.0
_MAX_WAIT_SHARE = 0.5
_UNPROVEN = placement_problems.unproven()
_WAITABLE = (_UNPROVEN, placement_problems.budget_spent())
_NOT_RUN = errors.Verdict.NOT_RUN
_MAY_HAVE_RUN = errors.Verdict.MAY_HAVE_RUN


class Dependencies(msgspec.Struct, frozen=True):
    """Components that the forwarder uses.

    :param hedge_delays: None if requests are not hedged.
    """

    dispatch_client: dispatch_actor.DispatchClient
    dialect: header_dialect.HeaderDialect
    pool: idle_pool.IdlePool
    limits: response_limits.ResponseLimits = response_limits.ResponseLimits()
    buffers: buffer_budget.BufferBudget = msgspec.field(
        default_factory=buffer_budget.BufferBudget
    )
    waste: wasted_work.WastedWork = msgspec.field(
        default_factory=wasted_work.WastedWork
    )
    hedge_delays: hedging.HedgeDelays | None = None


class Forwarder:
    """Forwards requests; thread-safe."""

    def __init__(self, deps: Dependencies) -> None:
        """Use the given components."""
        self._deps = deps
        self._numberings: dict[
            ids.ServiceId, event_numbering.ServiceNumbering
        ] = {}
        self._copy_steps = hedged_exchange.CopySteps(
            self._place,
            self._connect,
            self._new_attempt,
            self._complete,
            self._report_outcome,
        )

    @property
    def buffered_bytes(self) -> int:
        """Bytes of responses that are held, beyond the free part of each."""
        return self._deps.buffers.held_bytes

    def buffer_usage(self) -> dict[str, buffer_budget.Usage]:
        """Return what the responses of each replica have held."""
        return self._deps.buffers.usage()

    def forward(self, job: forward_job.Job) -> int:
        """Forward a request and send the response to the caller.

        :returns: the status that the caller got.
        :raises papayaloom.errors.RefusedError: the caller must get a problem
            document.
        :raises ingress.ResponseAbortedError: the response has
            begun and cannot be completed.
        :raises upstream_connection.CallerDisconnectedError: the caller
            disconnected.
        """
        numbering = self._numberings.setdefault(
            job.service, event_numbering.ServiceNumbering()
        )
        is_known = numbering.skips_ids
        job.joiner.steps = event_numbering.IdSteps(numbering)
        try:
            return self._forward(job)
        finally:
            if job.joiner.steps.proves_skips and not is_known:
                forward_log.ids_skip(job)
            self._release(job)

    def _release(self, job: forward_job.Job) -> None:
        """Give back what a request that has ended still holds."""
        if job.resumption is not None:
            unsent = forward_job.Failure(_NOT_RUN, 'not sent')
            self._report_outcome(
                job,
                job.resumption.replica,
                result.Err(unsent),
                time.monotonic(),
            )
        for buffer in job.buffers:
            buffer.release()

    def _forward(self, job: forward_job.Job) -> int:
        while True:
            placement = self._next_placement(job)
            if isinstance(placement, result.Err):
                return self._give_up(job, placement.err_value)
            forward_log.placed(job, placement.ok_value)
            outcome = self._attempt(job, placement.ok_value)
            if isinstance(outcome, result.Ok):
                return outcome.ok_value
            failure = outcome.err_value
            step = forwarding.after_failure(
                job.route, job.progress, failure.verdict, job.remaining_s()
            )
            forward_log.failed(job, placement.ok_value.replica, failure, step)
            if step is forwarding.Step.FAIL:
                return self._give_up(
                    job, forward_job.failure_problem(job, failure)
                )

    def _next_placement(self, job: forward_job.Job) -> dispatch.PlacementResult:
        if job.resumption is None:
            return self._place_patiently(job)
        choice = job.resumption
        job.resumption = None
        return result.Ok(choice)

    def _prepare_resumption(
        self, job: forward_job.Job, replica: replicas.ReplicaId
    ) -> bool:
        """Place the attempt that goes on with a stream at another replica.

        :param replica: the present one. It is not at fault, so it may be asked
            again if the other one refuses.
        :returns: whether the request may be sent to one.
        """
        progress = forwarding.Progress(
            job.progress.runs + 1, job.progress.sends + 1, has_begun=True
        )
        step = forwarding.after_failure(
            job.route, progress, _MAY_HAVE_RUN, job.remaining_s()
        )
        if step is forwarding.Step.FAIL:
            return False
        resumed = msgspec.structs.replace(job, progress=progress)
        job.resumption = self._place(resumed).ok()
        if job.resumption is None:
            return False
        job.tried.discard(replica)
        return True

    def _place_patiently(
        self, job: forward_job.Job
    ) -> dispatch.PlacementResult:
        """Place an attempt; one after an unbounded response may wait a moment.

        Many requests are at a replica when it begins to send without end, and
        others may begin at the same time. The successes of the sound ones show
        which these are, and pay for retries beyond what the budget has saved.
        """
        placement = self._place(job)
        if job.proven_since is None:
            return placement
        left_s = job.remaining_s() * _MAX_WAIT_SHARE
        wait_until = time.monotonic() + min(left_s, _MAX_WAIT_S)
        while placement.err() in _WAITABLE and time.monotonic() < wait_until:
            time.sleep(_POLL_S)
            placement = self._place(job)
        if placement.err() == _UNPROVEN:
            job.proven_since = None
            placement = self._place(job)
        return placement

    def _place(
        self,
        job: forward_job.Job,
        hedge_of: replicas.ReplicaId | None = None,
    ) -> dispatch.PlacementResult:
        request = dispatch_messages.PlacementRequest(
            service=job.service,
            prefix=forward_job.shared_prefix(job),
            tried=frozenset(job.tried),
            is_retry=job.progress.sends > 0,
            fingerprint=job.fingerprint,
            organisation=job.organisation,
            may_have_run=job.progress.runs > 0,
            objective_s=job.route.objective_s,
            left_s=job.remaining_s(),
            parts=forward_job.shared_parts(job),
            hedge_of=hedge_of,
            rank=forward_job.rank(job),
            waited_s=max(job.route.timeout_s - job.remaining_s(), 0),
            draw=rank_admission.draw(job.fingerprint, time.time()),
            proven_since=job.proven_since,
        )
        return self._deps.dispatch_client.place(request)

    def _attempt(
        self, job: forward_job.Job, choice: replica_choice.Choice
    ) -> forward_attempt.Outcome:
        replica = choice.replica
        job.tried.add(replica.id)
        job.proven_since = None
        delays = self._deps.hedge_delays
        if delays is not None and hedged_exchange.is_allowed(job):
            return hedged_exchange.HedgedExchange(
                job, self._copy_steps, delays
            ).run(choice)
        started_at = time.monotonic()
        try:
            outcome = self._exchange(job, choice)
        except BaseException:
            abandoned = forward_job.Failure(_MAY_HAVE_RUN, 'attempt abandoned')
            self._report_outcome(
                job, replica, result.Err(abandoned), started_at
            )
            raise
        if isinstance(outcome, result.Err):
            failure = outcome.err_value
            forward_job.count_failure(job.progress, failure)
            if not (failure.is_error_response or failure.is_unreachable):
                # What was received is dropped, so others may use the room.
                job.buffers[-1].release()
        self._report_outcome(job, replica, outcome, started_at)
        return outcome

    def _exchange(
        self, job: forward_job.Job, choice: replica_choice.Choice
    ) -> forward_attempt.Outcome:
        replica = choice.replica
        try:
            conn = self._connect(job, replica)
        except errors.UpstreamError as exc:
            return result.Err(
                forward_job.Failure(_NOT_RUN, str(exc), is_unreachable=True)
            )
        attempt = self._new_attempt(job, choice, conn)
        return self._complete(replica, conn, attempt, attempt.run)

    def _complete(
        self,
        replica: replicas.Replica,
        conn: upstream_connection.UpstreamConnection,
        attempt: forward_attempt.Attempt,
        exchange: typing.Callable[[], forward_attempt.Outcome],
    ) -> forward_attempt.Outcome:
        """Run an exchange to its end, and reuse or close its connection."""
        try:
            outcome = exchange()
        except errors.UpstreamError as exc:
            conn.close()
            self._deps.waste.record(
                replica.id, conn.cost_bytes, time.monotonic()
            )
            return result.Err(
                self._connection_failure(replica, exc, attempt.has_begun)
            )
        except upstream_connection.ResponseTimeoutError:
            conn.close()
            return result.Err(
                forward_job.Failure(_MAY_HAVE_RUN, 'no answer in time', True)
            )
        except BaseException:
            conn.close()
            raise
        if conn.is_last:
            self._deps.pool.discard(replica.id)
        if conn.prepare_reuse():
            self._deps.pool.release(replica.id, conn)
        else:
            conn.close()
        return outcome

    def _connection_failure(
        self,
        replica: replicas.Replica,
        exc: errors.UpstreamError,
        has_begun: bool,
    ) -> forward_job.Failure:
        """Return the failure of an attempt whose connection failed."""
        is_at_fault = exc.verdict is not _NOT_RUN and not isinstance(
            exc, attempt_failures.UndecidedStreamError
        )
        return forward_job.Failure(
            exc.verdict,
            str(exc),
            is_at_fault or None,
            process_ended=exc.crashed
            and self._deps.dispatch_client.may_contact(replica)
            and probe.has_ended(replica.address),
            has_begun=has_begun,
            is_unbounded=isinstance(
                exc, response_limits.UnboundedResponseError
            ),
        )

    def _new_attempt(
        self,
        job: forward_job.Job,
        choice: replica_choice.Choice,
        conn: upstream_connection.UpstreamConnection,
    ) -> forward_attempt.Attempt:
        replica = choice.replica.id
        buffer = buffer_budget.Buffer(self._deps.buffers, replica)
        job.buffers.append(buffer)
        attempt = forward_attempt.Attempt(
            job,
            choice,
            conn,
            self._deps.dispatch_client,
            self._deps.dialect,
            self._deps.waste.limits(
                replica, self._deps.limits, time.monotonic()
            ),
            buffer,
        )
        attempt.prepare_resumption = functools.partial(
            self._prepare_resumption, job, replica
        )
        return attempt

    def _connect(
        self,
        job: forward_job.Job,
        replica: replicas.Replica,
        connect_s: float = upstream_connection.CONNECT_S,
    ) -> upstream_connection.UpstreamConnection:
        conn = self._deps.pool.acquire(
            replica.id, fresh=not job.route.is_repeatable
        )
        return conn or upstream_connection.UpstreamConnection(
            replica.address, self._deps.limits, connect_s
        )

    def _report_outcome(
        self,
        job: forward_job.Job,
        replica: replicas.Replica,
        outcome: forward_attempt.Outcome,
        started_at: float,
        copy: request_copy.CopyState = request_copy.ONLY_COPY,
    ) -> None:
        failure = outcome.err()
        if failure is not None and (
            failure.is_unbounded or failure.lacked_room
        ):
            job.proven_since = started_at
            forward_log.exceeded(replica, failure, self._deps.buffers)
        self._deps.dispatch_client.ended(
            attempt_results.attempt_result(
                job, replica, outcome, started_at, copy
            )
        )

    def _give_up(self, job: forward_job.Job, problem: errors.Problem) -> int:
        if job.progress.has_begun:
            raise ingress.ResponseAbortedError(problem.title)
        if job.error_response is not None:
            forward_job.deliver(job, job.error_response)
            return job.error_response.status
        raise errors.RefusedError(forward_job.final_problem(job, problem))
