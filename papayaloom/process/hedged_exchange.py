"""Exchange of a request that may get a second copy at another replica.

Runs on the worker thread of the request, which polls the connections of both
copies and that of the caller. What arrives is kept with its connection until
the response of a copy is complete, or the first event of a stream. That copy
then goes on as any attempt, and the other one is cancelled before the first
byte goes to the caller. If the copy that came first fails, the other one goes
on instead. Decisions are made in :mod:`papayaloom.routing.overload.hedging`.
"""

import functools
import select
import time
import typing

import msgspec
import result
import structlog

from papayaloom import errors
from papayaloom.connection import upstream_connection
from papayaloom.process import forward_attempt, forward_job, request_copy
from papayaloom.request import forwarding
from papayaloom.routing import replica_choice, replicas
from papayaloom.routing.overload import hedging

_log = structlog.get_logger('forward')
# A first response is not delayed by more than this for the connection of a
# hedge.
_CONNECT_S = 0.05
# Time for which the first event is awaited while no percentile is known.
_LEARNING_S = 1.0
_NOT_RUN = errors.Verdict.NOT_RUN
_MAY_HAVE_RUN = errors.Verdict.MAY_HAVE_RUN
_COPIES = 2


class CopySteps(msgspec.Struct, frozen=True):
    """Steps of an attempt, as the forwarder takes them."""

    place: typing.Callable[
        [forward_job.Job, replicas.ReplicaId],
        result.Result[replica_choice.Choice, errors.Problem],
    ]
    connect: typing.Callable[
        [forward_job.Job, replicas.Replica, float],
        upstream_connection.UpstreamConnection,
    ]
    new_attempt: typing.Callable[
        [
            forward_job.Job,
            replica_choice.Choice,
            upstream_connection.UpstreamConnection,
        ],
        forward_attempt.Attempt,
    ]
    complete: typing.Callable[
        [
            replicas.Replica,
            upstream_connection.UpstreamConnection,
            forward_attempt.Attempt,
            typing.Callable[[], forward_attempt.Outcome],
        ],
        forward_attempt.Outcome,
    ]
    report: typing.Callable[
        [
            forward_job.Job,
            replicas.Replica,
            forward_attempt.Outcome,
            float,
            request_copy.CopyState,
        ],
        None,
    ]


def is_allowed(job: forward_job.Job) -> bool:
    """Whether a request may run twice from now on."""
    return (
        job.route.is_repeatable
        and not job.progress.has_begun
        and job.progress.runs + _COPIES <= job.route.max_attempts
    )


class HedgedExchange:
    """The copies of one request, the first of which has been placed."""

    def __init__(
        self,
        job: forward_job.Job,
        steps: CopySteps,
        delays: hedging.HedgeDelays,
    ) -> None:
        """Prepare the exchange."""
        self._job = job
        self._steps = steps
        self._delays = delays
        self._running: list[request_copy.Copy] = []
        # Monotonic time at which the first copy was started.
        self._started_at = time.monotonic()

    def run(self, choice: replica_choice.Choice) -> forward_attempt.Outcome:
        """Send the first copy, and another one if its response is late.

        Counts and reports the copies. Raises like the attempt that goes on.

        :returns: the outcome of the copy that ended last.
        """
        try:
            return self._run(choice)
        except BaseException:
            for copy in tuple(self._running):
                copy.conn.close()
                abandoned = forward_job.Failure(
                    _MAY_HAVE_RUN, 'attempt abandoned'
                )
                self._end(copy, result.Err(abandoned))
            raise

    def _run(self, choice: replica_choice.Choice) -> forward_attempt.Outcome:
        opened = self._start(choice, is_hedge=False)
        if isinstance(opened, result.Err):
            return opened
        first = opened.ok_value
        delay_s = self._delays.delay_s(
            self._job.route.name, self._job.remaining_s(), self._started_at
        )
        hedge_at = self._started_at + (delay_s or _LEARNING_S)
        self._await_response(min(hedge_at, first.attempt.wait_deadline))
        is_due = delay_s is not None and time.monotonic() >= hedge_at
        if is_due and first.preview.is_late:
            self._send_hedge(first)
        return self._complete_copies()

    def _complete_copies(self) -> forward_attempt.Outcome:
        """Forward the response that is complete first, or else the other."""
        if len(self._running) == _COPIES:
            # Another attempt could only follow when both copies have failed.
            pending = forwarding.Progress(runs=self._job.progress.runs + 1)
            for sent in self._running:
                sent.attempt.await_response(pending)
        while True:
            copy = self._next_copy()
            outcome = self._complete(copy)
            if isinstance(outcome, result.Ok) or not self._running:
                return outcome
            self._log_failure(copy, outcome.err_value)
            self._running[0].attempt.await_response(self._job.progress)

    def _next_copy(self) -> request_copy.Copy:
        """Wait for a response; return the copy to receive next."""
        while len(self._running) == _COPIES:
            self._await_response(
                max(one.attempt.wait_deadline for one in self._running)
            )
            copy = min(self._running, key=_order)
            if not copy.skip_foreign():
                return copy
        return self._running[0]

    def _complete(self, copy: request_copy.Copy) -> forward_attempt.Outcome:
        outcome = self._steps.complete(
            copy.replica, copy.conn, copy.attempt, copy.receive
        )
        if isinstance(outcome, result.Err) and copy.is_hedge:
            outcome = result.Err(self._hedge_failure(copy, outcome.err_value))
        self._end(copy, outcome)
        return outcome

    def _hedge_failure(
        self, copy: request_copy.Copy, failure: forward_job.Failure
    ) -> forward_job.Failure:
        """Return the failure of a hedge, which had less time than usual."""
        is_overdue = self._job.remaining_s() <= 0
        return msgspec.structs.replace(
            failure,
            replica=copy.replica.id,
            replica_failed=None if is_overdue else failure.replica_failed,
        )

    def _send_hedge(self, first: request_copy.Copy) -> None:
        placement = self._steps.place(self._job, first.replica.id)
        if isinstance(placement, result.Err):
            return
        choice = placement.ok_value
        self._job.tried.add(choice.replica.id)
        if self._start(choice, is_hedge=True).is_err():
            return
        _log.info(
            'forward: hedge sent',
            request=self._job.request_info.request_id,
            route=self._job.route.name,
            replica=choice.replica.id,
            first=first.replica.id,
            after_s=round(time.monotonic() - self._started_at, 3),
            left_s=round(self._job.remaining_s(), 3),
        )

    def _start(
        self, choice: replica_choice.Choice, *, is_hedge: bool
    ) -> result.Result[request_copy.Copy, forward_job.Failure]:
        """Send a copy to the replica that it has been placed on."""
        connect_s = _CONNECT_S if is_hedge else upstream_connection.CONNECT_S
        try:
            conn = self._steps.connect(self._job, choice.replica, connect_s)
        except BaseException as exc:
            failure = forward_job.Failure(
                _NOT_RUN,
                str(exc),
                # The short timeout of a hedge says nothing about the replica.
                is_unreachable=not is_hedge,
            )
            self._steps.report(
                self._job,
                choice.replica,
                result.Err(failure),
                time.monotonic(),
                request_copy.CopyState(is_hedge),
            )
            if isinstance(exc, errors.UpstreamError):
                return result.Err(failure)
            raise
        copy = request_copy.Copy(
            choice,
            conn,
            self._steps.new_attempt(self._job, choice, conn),
            request_copy.Preview(self._job),
            time.monotonic(),
            is_hedge=is_hedge,
        )
        copy.attempt.on_first_byte = functools.partial(self._commit, copy)
        self._running.append(copy)
        copy.send()
        return result.Ok(copy)

    def _await_response(self, until: float) -> None:
        """Wait until the response of a copy is ready, or for a time."""
        while not any(copy.preview.is_ready for copy in self._running):
            left_s = until - time.monotonic()
            reading = [
                copy for copy in self._running if not copy.preview.is_full
            ]
            if left_s <= 0 or not reading:
                return
            self._poll(reading, left_s)

    def _poll(self, reading: list[request_copy.Copy], left_s: float) -> None:
        poll = select.poll()
        for copy in reading:
            poll.register(copy.conn, copy.conn.awaited_events)
        caller_fd = self._job.inbound.caller_fd
        if caller_fd >= 0:
            poll.register(caller_fd, select.POLLRDHUP)
        ready = dict(poll.poll(left_s * 1000 + 1))
        if ready.get(caller_fd, 0) & upstream_connection.CALLER_CLOSED_EVENTS:
            raise upstream_connection.CallerDisconnectedError(
                'the caller closed its connection'
            )
        for copy in reading:
            ready_events = ready.get(copy.conn.fileno(), 0)
            if ready_events:
                copy.read(ready_events)

    def _commit(self, winner: request_copy.Copy) -> None:
        """Cancel the other copy: the response of one goes to the caller."""
        now = time.monotonic()
        self._delays.record(self._job.route.name, now - self._started_at, now)
        for copy in tuple(self._running):
            if copy is not winner:
                self._cancel(copy, winner)

    def _cancel(
        self, copy: request_copy.Copy, winner: request_copy.Copy
    ) -> None:
        copy.conn.close()
        failure = forward_job.Failure(
            _MAY_HAVE_RUN if copy.conn.has_sent else _NOT_RUN,
            'the other copy was answered first',
        )
        self._end(copy, result.Err(failure), is_cancelled=True)
        _log.info(
            'forward: copy cancelled',
            request=self._job.request_info.request_id,
            route=self._job.route.name,
            replica=copy.replica.id,
            is_hedge=copy.is_hedge,
            answered_by=winner.replica.id,
            after_s=round(time.monotonic() - copy.started_at, 3),
        )

    def _end(
        self,
        copy: request_copy.Copy,
        outcome: forward_attempt.Outcome,
        *,
        is_cancelled: bool = False,
    ) -> None:
        """Count and report the end of a copy."""
        self._running.remove(copy)
        if isinstance(outcome, result.Err):
            forward_job.count_failure(self._job.progress, outcome.err_value)
        self._steps.report(
            self._job,
            copy.replica,
            outcome,
            copy.started_at,
            request_copy.CopyState(copy.is_hedge, is_cancelled),
        )

    def _log_failure(
        self, copy: request_copy.Copy, failure: forward_job.Failure
    ) -> None:
        _log.info(
            'forward: copy failed',
            request=self._job.request_info.request_id,
            route=self._job.route.name,
            replica=copy.replica.id,
            is_hedge=copy.is_hedge,
            verdict=failure.verdict.value,
            why=failure.reason,
            has_ended=failure.process_ended,
        )


def _order(copy: request_copy.Copy) -> tuple[bool, bool, bool]:
    """Order copies by which one to receive: ready ones, then first copies."""
    preview = copy.preview
    return not preview.is_ready, not preview.has_head, copy.is_hedge
