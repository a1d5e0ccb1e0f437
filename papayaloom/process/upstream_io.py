"""Performs the I/O for the state machines of chat requests and calls."""

import typing

import result

from papayaloom import clock, errors
from papayaloom.ports import engine, service
from papayaloom.process import request_monitor
from papayaloom.request import calls, chat, core_api


class CallerGoneError(Exception):
    """The caller closed its connection and no longer awaits an answer."""


class RequestExecutor:
    """Runs requests between callers, the decision core and upstreams.

    :param sleep: blocks for a number of seconds.
    """

    def __init__(
        self,
        core_client: core_api.CoreApi,
        engines: engine.Engines,
        services: service.Services,
        source: clock.Clock,
        monitor: request_monitor.RequestMonitor,
        sleep: typing.Callable[[float], None],
    ) -> None:
        """Store the collaborators."""
        self._core_client = core_client
        self._engines = engines
        self._services = services
        self._clock = source
        self._monitor = monitor
        self._sleep = sleep

    def run_chat(
        self, machine: chat.Chat, open_request: request_monitor.OpenRequest
    ) -> typing.Iterator[bytes]:
        """Run a chat request.

        :param open_request: monitored state of the request.
        :returns: iterator of frames for the caller, without
            ``machine.answer.closing``. The HTTP front sends that frame after
            the grant is released and the record is stored, so that both are
            visible once the caller has the complete answer.
        :raises papayaloom.errors.RefusedError: the answer cannot be completed.
        :raises CallerGoneError: the caller disconnected.
        """
        step: chat.Step = machine.admit(self._clock.monotonic())
        while not isinstance(step, chat.Finish):
            if (
                open_request.stop_reason
                is request_monitor.StopReason.CALLER_GONE
            ):
                raise CallerGoneError
            if isinstance(step, chat.Fail):
                raise errors.RefusedError(step.problem)
            if isinstance(step, chat.Open):
                step = yield from self._run_stream(machine, step, open_request)
            else:
                step = self._admit_or_pause(machine, step)

    def run_call(self, machine: calls.Call) -> calls.Finish:
        """Run a service call.

        :returns: the answer, after its outcome has been recorded.
        :raises papayaloom.errors.RefusedError: rate limits or the quarantine
            refused the call.
        """
        claim: core_api.Claim | None = None
        facts = machine.facts
        problem = self._core_client.admit_call(
            facts.organisation, facts.fingerprint
        )
        if problem is not None:
            raise errors.RefusedError(problem)
        step: calls.Step = machine.start(self._clock.monotonic())
        while not isinstance(step, calls.Finish):
            if isinstance(step, calls.Claim):
                claimed = self._core_client.claim(step.ask)
                claim = claimed.ok()
                step = _match_result(claimed, machine.claimed, machine.refused)
            elif isinstance(step, calls.Pause):
                self._sleep(step.seconds)
                step = machine.resume_after_pause()
            else:
                step = self._choose_or_send(machine, step)
        if claim is not None and step.outcome is not None:
            self._core_client.record(claim, step.outcome)
        return step

    def _admit_or_pause(
        self, machine: chat.Chat, step: chat.Admit | chat.Pause
    ) -> chat.Step:
        if isinstance(step, chat.Pause):
            self._sleep(step.seconds)
            return machine.admit(self._clock.monotonic())
        admitted = self._core_client.admit(step.ask)
        if isinstance(admitted, result.Err):
            return machine.refused(admitted.err_value)
        return machine.granted(admitted.ok_value, self._clock.monotonic())

    def _run_stream(
        self,
        machine: chat.Chat,
        step: chat.Open,
        open_request: request_monitor.OpenRequest,
    ) -> typing.Generator[bytes, None, chat.Step]:
        open_request.grant = step.grant
        outcome = core_api.Outcome(core_api.AttemptEnd.ABANDONED)
        next_step: chat.Step | None = None
        try:
            exc = yield from self._forward_stream(machine, step, open_request)
            if (
                open_request.stop_reason is request_monitor.StopReason.NONE
                or not machine.is_streaming
            ):
                outcome, next_step = machine.ended(exc, self._clock.monotonic())
        finally:
            # Also reached when the HTTP front closes this generator after the
            # caller's connection broke.
            if next_step is None:
                outcome = machine.abandoned(self._clock.monotonic())
            self._finish_stream(machine, step.grant, outcome, open_request)
        return next_step or machine.expire()

    def _forward_stream(
        self,
        machine: chat.Chat,
        step: chat.Open,
        open_request: request_monitor.OpenRequest,
    ) -> typing.Generator[bytes, None, errors.PapayaloomError | None]:
        try:
            stream = self._engines.stream(
                step.grant.url, step.completion, step.timeouts
            )
        except (errors.UpstreamError, errors.RefusedError) as exc:
            return exc
        open_request.stream = stream
        awaiting_first_token = True
        try:
            while (
                machine.is_streaming
                and open_request.stop_reason is request_monitor.StopReason.NONE
            ):
                chunk = stream.read()
                if not chunk:
                    break
                frame = machine.received(chunk)
                if frame:
                    yield frame
                if awaiting_first_token and frame:
                    awaiting_first_token = False
                    stream.set_read_timeout(machine.idle_s)
        except errors.UpstreamError as exc:
            return exc
        return None

    def _finish_stream(
        self,
        machine: chat.Chat,
        grant: core_api.Grant,
        outcome: core_api.Outcome,
        open_request: request_monitor.OpenRequest,
    ) -> None:
        stream = open_request.stream
        open_request.stream = None
        open_request.grant = None
        self._core_client.release(grant, outcome)
        if stream is not None:
            stream.close()
        if outcome.end in {
            core_api.AttemptEnd.ABANDONED,
            core_api.AttemptEnd.FAILED,
        }:
            self._monitor.cancel(
                self._engines, grant.url, machine.facts.upstream_id
            )
        if outcome.end not in {
            core_api.AttemptEnd.ABANDONED,
            core_api.AttemptEnd.FINISHED,
        }:
            facts = machine.facts
            self._core_client.report_failure(
                core_api.Failure(
                    upstream=grant.engine,
                    target=f'models/{facts.body.model}',
                    end=outcome.end,
                    request=facts.upstream_id,
                    fingerprint=facts.fingerprint,
                    leaving=outcome.leaving,
                )
            )

    def _choose_or_send(
        self, machine: calls.Call, step: calls.Choose | calls.Send
    ) -> calls.Step:
        now = self._clock.monotonic()
        if isinstance(step, calls.Choose):
            return _match_result(
                self._core_client.replica(machine.facts.service, step.avoid),
                lambda replica: machine.chosen(replica, now),
                machine.refused,
            )
        try:
            reply = self._services.call(
                step.replica.url, step.call, step.timeouts
            )
        except (errors.UpstreamError, errors.RefusedError) as exc:
            return self._handle_call_error(machine, step.replica, exc)
        now = self._clock.monotonic()
        next_step = machine.answered(reply, now)
        seconds = machine.tries[-1].seconds
        self._core_client.report_attempt_end(
            step.replica, core_api.AttemptEnd.FINISHED, seconds
        )
        return next_step

    def _handle_call_error(
        self,
        machine: calls.Call,
        replica: core_api.Replica,
        exc: errors.PapayaloomError,
    ) -> calls.Step:
        end, next_step = machine.failed(exc, self._clock.monotonic())
        facts = machine.facts
        self._core_client.report_attempt_end(
            replica, end, machine.tries[-1].seconds
        )
        self._core_client.report_failure(
            core_api.Failure(
                upstream=replica.upstream,
                target=f'services/{facts.service}',
                end=end,
                request=facts.upstream_id,
                fingerprint=facts.fingerprint,
                leaving=isinstance(exc, errors.RefusedError)
                and exc.problem.type == engine.LEAVING,
            )
        )
        return next_step


_Value = typing.TypeVar('_Value')
_Step = typing.TypeVar('_Step')


def _match_result(
    outcome: result.Result[_Value, errors.Problem],
    on_ok: typing.Callable[[_Value], _Step],
    on_err: typing.Callable[[errors.Problem], _Step],
) -> _Step:
    if isinstance(outcome, result.Ok):
        return on_ok(outcome.ok_value)
    return on_err(outcome.err_value)
