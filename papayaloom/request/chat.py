"""State machine of a chat request, without I/O.

:mod:`papayaloom.process.upstream_io` executes each step and reports the result
to the state machine.
"""

import random
import typing

import msgspec

from papayaloom import errors, ids
from papayaloom.connection import sse
from papayaloom.ports import engine
from papayaloom.request import (
    core_api,
    prompt,
    record,
    retry_policy,
    stream_splicer,
)

# Status codes of a refusal after which another engine may accept the request.
_RETRYABLE_STATUSES = frozenset((409, 429, 503))


class Cfg(msgspec.Struct, frozen=True):
    """Limits of one chat request.

    :param first_token_s: timeout for the first token of an engine.
    :param idle_s: timeout for each further token.
    :param resumes: maximum number of resumes after the response has started.
    """

    retries: retry_policy.Cfg = retry_policy.Cfg()
    connect_s: float = 1
    first_token_s: float = 30
    idle_s: float = 10
    resumes: int = 5


class Facts(msgspec.Struct, frozen=True):
    """The caller's request.

    :param request_id: the caller's id, used in the response and its events.
    :param upstream_id: unique id as sent to engines.
    :param arrived: arrival in seconds of monotonic time.
    :param deadline: deadline in seconds of monotonic time.
    """

    request_id: ids.RequestId
    upstream_id: ids.RequestId
    organisation: ids.OrgId
    chat: ids.ChatId
    priority: int
    arrived: float
    deadline: float
    fingerprint: ids.Fingerprint
    body: prompt.Body


class Admit(msgspec.Struct, frozen=True):
    """Request a grant for an engine."""

    ask: core_api.AdmissionRequest


class Pause(msgspec.Struct, frozen=True):
    """Wait before the next attempt."""

    seconds: float


class Open(msgspec.Struct, frozen=True):
    """Open a stream at an engine."""

    grant: core_api.Grant
    completion: engine.Completion
    timeouts: engine.Timeouts


class Finish(msgspec.Struct, frozen=True):
    """The complete response was delivered."""


class Fail(msgspec.Struct, frozen=True):
    """The request fails with a problem document."""

    problem: errors.Problem


Step = Admit | Pause | Open | Finish | Fail


class Chat:
    """State of one chat request.

    :param budget: consumes one retry from the budgets of the failed engine.
    """

    def __init__(
        self,
        facts: Facts,
        cfg: Cfg,
        rng: random.Random,
        budget: typing.Callable[[str], bool],
    ) -> None:
        """Start without any attempts."""
        self.facts = facts
        self.answer = stream_splicer.StreamSplicer(
            facts.upstream_id, facts.request_id
        )
        self.tries: list[record.Try] = []
        self.verdict = errors.Verdict.NOT_RUN
        # Settings that influenced the choice of engines, as path and target.
        self.decided: list[tuple[str, str]] = []
        self._cfg = cfg
        self._rng = rng
        self._budget = budget
        self._avoid: tuple[ids.EngineId, ...] = ()
        self._tries_without_progress = 0
        self._resumes = 0
        self._parser = sse.Parser()

    def admit(self, now: float) -> Admit | Fail:
        """Return the first step, or the next step after a pause."""
        facts = self.facts
        left = facts.deadline - now
        if left <= 0:
            return self._fail(504, retry_policy.GiveUpReason.DEADLINE)
        text = self.answer.text.encode()
        return Admit(
            core_api.AdmissionRequest(
                request=facts.upstream_id,
                organisation=facts.organisation,
                chat=facts.chat,
                model=facts.body.model,
                fingerprint=facts.fingerprint,
                priority=facts.priority,
                deadline_s=left,
                prompt_tokens=prompt.estimate_tokens(facts.body.prompt + text),
                prefixes=prompt.prefix_hashes(facts.body.prompt),
                avoid=self._avoid,
                resumed=self.answer.next_offset > 0,
            )
        )

    def granted(self, grant: core_api.Grant, now: float) -> Open:
        """Start an attempt under a grant."""
        facts = self.facts
        self.tries.append(
            record.Try(
                upstream=grant.engine,
                reason=grant.reason,
                offset=self.answer.next_offset,
                started_s=now - facts.arrived,
                cached_tokens=grant.cached_tokens,
            )
        )
        self.decided.extend(grant.decided)
        self.answer.resume()
        self._parser = sse.Parser()
        left = max(facts.deadline - now, 0.001)
        completion = engine.Completion(
            request=facts.upstream_id,
            body=facts.body.encode(self.answer.text),
            chat=facts.chat,
            offset=self.answer.next_offset,
            priority=facts.priority,
            deadline_s=left,
        )
        timeouts = engine.Timeouts(
            min(self._cfg.connect_s, left),
            min(self._cfg.first_token_s, left),
        )
        return Open(grant, completion, timeouts)

    def refused(self, problem: errors.Problem) -> Fail:
        """Handle a refused admission.

        The verdict of a refusal covers a single attempt; it is replaced by the
        verdict of the whole request for the caller.
        """
        return Fail(
            msgspec.structs.replace(problem, verdict=self._verdict_text())
        )

    def received(self, chunk: bytes) -> bytes:
        """Process bytes of the open stream.

        :returns: frames for the caller. If :attr:`is_streaming` is false
            afterwards, the stream is no longer needed.
        """
        try:
            events = self._parser.feed(chunk)
        except errors.CodecError:
            self.answer.counts.malformed += 1
            self.answer.state = stream_splicer.State.MALFORMED
            return b''
        if len(events) == 1:
            return self.answer.process_event(events[0])
        return b''.join([self.answer.process_event(event) for event in events])

    @property
    def is_streaming(self) -> bool:
        """Whether more of the response can be read from the open stream."""
        return self.answer.state is stream_splicer.State.OPEN

    @property
    def idle_s(self) -> float:
        """Return the timeout between two tokens."""
        return self._cfg.idle_s

    def ended(
        self, exc: errors.PapayaloomError | None, now: float
    ) -> tuple[core_api.Outcome, Step]:
        """Handle the end of the open stream.

        :param exc: the error that ended it; None if the engine closed it.
        :returns: the outcome of the attempt, and the next step.
        """
        attempt = self.tries[-1]
        attempt.seconds = now - self.facts.arrived - attempt.started_s
        outcome = self._outcome(exc, attempt)
        attempt.outcome = outcome.end.value
        if outcome.end is core_api.AttemptEnd.FINISHED:
            self._note_verdict(errors.Verdict.RAN)
            return outcome, Finish()
        self._note_verdict(_verdict_of(exc))
        return outcome, self._step_after_failure(exc, outcome, now)

    def abandoned(self, now: float) -> core_api.Outcome:
        """Handle a caller that disconnected while a stream was open."""
        attempt = self.tries[-1]
        attempt.seconds = now - self.facts.arrived - attempt.started_s
        attempt.outcome = core_api.AttemptEnd.ABANDONED.value
        self._note_verdict(errors.Verdict.MAY_HAVE_RUN)
        return core_api.Outcome(
            core_api.AttemptEnd.ABANDONED, seconds=attempt.seconds
        )

    def expire(self) -> Fail:
        """Handle an expired deadline."""
        return self._fail(504, retry_policy.GiveUpReason.DEADLINE)

    def _outcome(
        self, exc: errors.PapayaloomError | None, attempt: record.Try
    ) -> core_api.Outcome:
        answer = self.answer
        prompt_tokens = prompt.estimate_tokens(self.facts.body.prompt)
        return core_api.Outcome(
            end=_end_of(exc, answer.state),
            tokens=prompt_tokens + answer.next_offset,
            cached_tokens=answer.usage.cached_tokens,
            leaving=(
                isinstance(exc, errors.RefusedError)
                and exc.problem.type == engine.LEAVING
            ),
            seconds=attempt.seconds,
        )

    def _step_after_failure(
        self,
        exc: errors.PapayaloomError | None,
        outcome: core_api.Outcome,
        now: float,
    ) -> Step:
        attempt = self.tries[-1]
        if isinstance(exc, errors.RefusedError):
            if exc.problem.status not in _RETRYABLE_STATUSES:
                return self.refused(exc.problem)
        progress = self.answer.next_offset > attempt.offset
        self._tries_without_progress = (
            1 if progress else self._tries_without_progress + 1
        )
        self._resumes += bool(self.answer.next_offset)
        if self._resumes > self._cfg.resumes:
            return self._fail(502, retry_policy.GiveUpReason.RESUMES)
        self._avoid = (*self._avoid, ids.EngineId(attempt.upstream))
        step = retry_policy.next_step(
            self._cfg.retries,
            retry_policy.Failure(
                verdict=_verdict_of(exc),
                tries=self._tries_without_progress,
                deadline=self.facts.deadline,
                repeatable=True,
                refused=outcome.end is core_api.AttemptEnd.REFUSED,
            ),
            now,
            self._rng,
            lambda: self._budget(attempt.upstream),
        )
        if isinstance(step, retry_policy.Retry):
            return Pause(step.pause_s)
        late = step.reason is retry_policy.GiveUpReason.DEADLINE
        return self._fail(504 if late else 502, step.reason)

    def _note_verdict(self, verdict: errors.Verdict) -> None:
        self.tries[-1].verdict = verdict.value
        if verdict is not errors.Verdict.NOT_RUN:
            self.verdict = verdict

    def _verdict_text(self) -> str:
        return self.verdict.value

    def _fail(self, status: int, reason: retry_policy.GiveUpReason) -> Fail:
        title, setting = reason.value
        last = self.tries[-1].outcome if self.tries else 'none made'
        return Fail(
            errors.Problem(
                title=title,
                status=status,
                detail=f'{len(self.tries)} tries, the last one: {last}',
                verdict=self._verdict_text(),
                setting=setting,
            )
        )


def _verdict_of(exc: errors.PapayaloomError | None) -> errors.Verdict:
    if isinstance(exc, errors.UpstreamError):
        return exc.verdict
    if isinstance(exc, errors.RefusedError):
        return errors.Verdict(exc.problem.verdict)
    return errors.Verdict.MAY_HAVE_RUN


def _end_of(
    exc: errors.PapayaloomError | None, state: stream_splicer.State
) -> core_api.AttemptEnd:
    if isinstance(exc, errors.RefusedError):
        ran = exc.problem.verdict != errors.Verdict.NOT_RUN.value
        return (
            core_api.AttemptEnd.FAILED if ran else core_api.AttemptEnd.REFUSED
        )
    if isinstance(exc, errors.UpstreamError):
        if exc.verdict is errors.Verdict.NOT_RUN:
            return core_api.AttemptEnd.UNREACHABLE
        return (
            core_api.AttemptEnd.CRASHED
            if exc.crashed
            else core_api.AttemptEnd.FAILED
        )
    finished = state is stream_splicer.State.FINISHED
    return (
        core_api.AttemptEnd.FINISHED if finished else core_api.AttemptEnd.FAILED
    )
