"""State machine of a service call: claim, send, record, answer.

A non-idempotent call with a key is sent only after its claim is committed, and
answered only after its outcome was passed to the ledger.
"""

import random
import typing

import msgspec

from papayaloom import errors, ids
from papayaloom.ports import engine, service
from papayaloom.request import core_api, record, retry_policy

# HTTP methods that are safe by definition. Other calls are repeated only if the
# caller permits it.
_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


class Cfg(msgspec.Struct, frozen=True):
    """Limits of one service call.

    :param reply_bytes: maximum size of a response.
    """

    retries: retry_policy.Cfg = retry_policy.Cfg()
    connect_s: float = 1
    reply_s: float = 30
    reply_bytes: int = 4_194_304


class Facts(msgspec.Struct, frozen=True):
    """The caller's request.

    :param key: the ``Idempotency-Key``; empty if absent.
    :param repeatable: the caller's ``X-Repeatable``; None if absent.
    :param path: path and query string to request from the service.
    """

    request_id: ids.RequestId
    upstream_id: ids.RequestId
    organisation: ids.OrgId
    service: ids.ServiceId
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    key: ids.CallKey
    repeatable: bool | None
    arrived: float
    deadline: float
    fingerprint: ids.Fingerprint

    @property
    def may_repeat(self) -> bool:
        """Whether the call may safely run more than once."""
        if self.repeatable is None:
            return self.method in _SAFE_METHODS and not self.key
        return self.repeatable


class Claim(msgspec.Struct, frozen=True):
    """Claim the key before the call is sent."""

    ask: core_api.ClaimRequest


class Choose(msgspec.Struct, frozen=True):
    """Choose a replica."""

    avoid: tuple[str, ...]


class Send(msgspec.Struct, frozen=True):
    """Make one attempt at a replica."""

    replica: core_api.Replica
    call: service.Call
    timeouts: engine.Timeouts


class Pause(msgspec.Struct, frozen=True):
    """Wait before choosing a replica again."""

    seconds: float


class Finish(msgspec.Struct, frozen=True):
    """Record the outcome, then answer the caller.

    :param outcome: outcome for the ledger; None if no claim is held.
    :param answer: response or problem document for the caller.
    :param repeated: the response is that of an earlier attempt.
    """

    outcome: core_api.CallOutcome | None
    answer: service.Reply | errors.Problem
    repeated: bool = False


Step = Claim | Choose | Send | Pause | Finish


class Call:
    """State of one service call.

    :param budget: consumes one retry from the budgets of the failed replica.
    """

    def __init__(
        self,
        facts: Facts,
        cfg: Cfg,
        rng: random.Random,
        budget: typing.Callable[[str], bool],
    ) -> None:
        """Start without a claim and without any attempts."""
        self.facts = facts
        self.tries: list[record.Try] = []
        self.verdict = errors.Verdict.NOT_RUN
        self._cfg = cfg
        self._rng = rng
        self._budget = budget
        self._holds_claim = False

    def start(self, now: float) -> Claim | Choose | Finish:
        """Return the first step."""
        facts = self.facts
        if facts.may_repeat:
            return Choose(())
        if facts.key:
            return Claim(
                core_api.ClaimRequest(
                    key=facts.key,
                    attempt=facts.upstream_id,
                    organisation=facts.organisation,
                    service=facts.service,
                    deadline_s=max(facts.deadline - now, 0),
                    body_digest=facts.fingerprint,
                )
            )
        if facts.repeatable is None:
            return Choose(())
        return Finish(
            None,
            errors.Problem(
                title='a call that must not be repeated needs a key',
                status=400,
                detail='send an Idempotency-Key (UUID version 7)',
            ),
        )

    def claimed(self, claim: core_api.Claim) -> Choose | Finish:
        """Handle the result of the claim."""
        if claim.state is core_api.ClaimState.GRANTED:
            self._holds_claim = True
            return Choose(())
        if claim.state is core_api.ClaimState.PASSED_ON:
            return Choose(())
        if claim.state is core_api.ClaimState.RAN:
            self.verdict = errors.Verdict.RAN
            return Finish(None, _recorded_answer(claim), repeated=True)
        self.verdict = errors.Verdict.MAY_HAVE_RUN
        running = claim.state is core_api.ClaimState.IN_PROGRESS
        return Finish(
            None,
            errors.Problem(
                title=(
                    'a call with this key is in progress'
                    if running
                    else 'an earlier call with this key may have run'
                ),
                status=409,
                verdict=self.verdict.value,
                retry_after_s=1 if running else 0,
            ),
        )

    def refused(self, problem: errors.Problem) -> Finish:
        """Handle a refused claim or a missing replica."""
        if self.tries:
            problem = msgspec.structs.replace(
                problem, verdict=self.verdict.value
            )
        else:
            self.verdict = errors.Verdict(problem.verdict)
        return self._finish(problem)

    def chosen(self, replica: core_api.Replica, now: float) -> Send | Finish:
        """Start an attempt at a replica."""
        facts = self.facts
        left = facts.deadline - now
        if left <= 0:
            return self._give_up(retry_policy.GiveUpReason.DEADLINE)
        self.tries.append(
            record.Try(
                upstream=replica.upstream,
                reason=replica.reason,
                started_s=now - facts.arrived,
            )
        )
        headers = {
            **facts.headers,
            'X-Request-Id': facts.upstream_id,
            'X-Organisation': facts.organisation,
            'X-Deadline-Ms': str(int(left * 1000)),
        }
        if facts.key:
            headers['Idempotency-Key'] = facts.key
        return Send(
            replica,
            service.Call(
                facts.method,
                facts.path,
                headers,
                facts.body,
                self._cfg.reply_bytes,
            ),
            engine.Timeouts(
                min(self._cfg.connect_s, left), min(self._cfg.reply_s, left)
            ),
        )

    def answered(self, reply: service.Reply, now: float) -> Finish:
        """Handle the response of the service."""
        self._close_attempt(
            core_api.AttemptEnd.FINISHED, errors.Verdict.RAN, now
        )
        return self._finish(reply)

    def failed(
        self, exc: errors.PapayaloomError, now: float
    ) -> tuple[core_api.AttemptEnd, Pause | Finish]:
        """Handle a failed attempt.

        :returns: how the attempt ended, and the next step.
        """
        verdict, end = _classify(exc)
        self._close_attempt(end, verdict, now)
        attempt = self.tries[-1]
        step = retry_policy.next_step(
            self._cfg.retries,
            retry_policy.Failure(
                verdict=verdict,
                tries=len(self.tries),
                deadline=self.facts.deadline,
                repeatable=self.facts.may_repeat,
                refused=end is core_api.AttemptEnd.REFUSED,
            ),
            now,
            self._rng,
            lambda: self._budget(attempt.upstream),
        )
        if isinstance(step, retry_policy.Retry):
            return end, Pause(step.pause_s)
        return end, self._give_up(step.reason)

    def resume_after_pause(self) -> Choose:
        """Return the next step after a pause."""
        return Choose(tuple(attempt.upstream for attempt in self.tries))

    def _close_attempt(
        self, end: core_api.AttemptEnd, verdict: errors.Verdict, now: float
    ) -> None:
        attempt = self.tries[-1]
        attempt.seconds = now - self.facts.arrived - attempt.started_s
        attempt.outcome = end.value
        attempt.verdict = verdict.value
        if verdict is not errors.Verdict.NOT_RUN:
            self.verdict = verdict

    def _give_up(self, reason: retry_policy.GiveUpReason) -> Finish:
        title, setting = reason.value
        late = reason is retry_policy.GiveUpReason.DEADLINE
        return self._finish(
            errors.Problem(
                title=title,
                status=504 if late else 502,
                detail=f'{len(self.tries)} tries',
                verdict=self.verdict.value,
                setting=setting,
            )
        )

    def _finish(self, answer: service.Reply | errors.Problem) -> Finish:
        if not self._holds_claim:
            return Finish(None, answer)
        outcome = core_api.CallOutcome(self.verdict)
        if isinstance(answer, service.Reply):
            outcome = core_api.CallOutcome(
                self.verdict, answer.status, answer.body, answer.content_type
            )
        return Finish(outcome, answer)


def _recorded_answer(claim: core_api.Claim) -> service.Reply | errors.Problem:
    if claim.complete:
        return service.Reply(claim.status, claim.content, claim.content_type)
    return errors.Problem(
        title='the call ran, but its answer was too long to be kept',
        status=409,
        detail=f'the service had answered with status {claim.status}',
        verdict=errors.Verdict.RAN.value,
    )


def _classify(
    exc: errors.PapayaloomError,
) -> tuple[errors.Verdict, core_api.AttemptEnd]:
    if isinstance(exc, errors.RefusedError):
        return errors.Verdict(exc.problem.verdict), core_api.AttemptEnd.REFUSED
    if isinstance(exc, errors.UpstreamError):
        if exc.verdict is errors.Verdict.NOT_RUN:
            return exc.verdict, core_api.AttemptEnd.UNREACHABLE
        end = (
            core_api.AttemptEnd.CRASHED
            if exc.crashed
            else core_api.AttemptEnd.FAILED
        )
        return exc.verdict, end
    return errors.Verdict.MAY_HAVE_RUN, core_api.AttemptEnd.FAILED
