"""One service call as a state machine: claim, send, record, answer.

A call with a key that must not be repeated is sent only after its claim is
committed, and answered only after its outcome was given to the ledger.
"""

import random
import typing

import msgspec

from papayaloom import errors, ids
from papayaloom.ports import engine, service
from papayaloom.request import attempts, desk, record

# HTTP methods that are safe by definition; every other call is repeated only
# when its caller says that it may be.
_SAFE = frozenset(('GET', 'HEAD', 'OPTIONS'))


class Cfg(msgspec.Struct, frozen=True):
    """Limits of one service call.

    :param reply_bytes: longest accepted answer.
    """

    retries: attempts.Cfg = attempts.Cfg()
    connect_s: float = 1
    reply_s: float = 30
    reply_bytes: int = 4_194_304


class Facts(msgspec.Struct, frozen=True):
    """What the caller asked for.

    :param key: the ``Idempotency-Key``, empty when absent.
    :param repeatable: the caller's ``X-Repeatable``; nothing when absent.
    :param path: path and query at the service.
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
        """Tell whether running twice does no harm."""
        if self.repeatable is None:
            return self.method in _SAFE and not self.key
        return self.repeatable


class Claim(msgspec.Struct, frozen=True):
    """Claim the key before anything is sent."""

    ask: desk.CallAsk


class Choose(msgspec.Struct, frozen=True):
    """Choose a replica."""

    avoid: tuple[str, ...]


class Send(msgspec.Struct, frozen=True):
    """Send the call once."""

    replica: desk.Replica
    call: service.Call
    timeouts: engine.Timeouts


class Pause(msgspec.Struct, frozen=True):
    """Wait, then choose a replica again."""

    seconds: float


class Finish(msgspec.Struct, frozen=True):
    """Record the outcome, then answer.

    :param outcome: for the ledger; nothing when no claim is held.
    :param answer: what the caller receives.
    :param repeated: the answer is that of an earlier attempt.
    """

    outcome: desk.CallOutcome | None
    answer: service.Reply | errors.Problem
    repeated: bool = False


Step = Claim | Choose | Send | Pause | Finish


class Call:
    """State of one service call.

    :param budget: takes a retry from the budgets of a replica that failed.
    """

    def __init__(
        self,
        facts: Facts,
        cfg: Cfg,
        rng: random.Random,
        budget: typing.Callable[[str], bool],
    ) -> None:
        """Start with nothing claimed and nothing sent."""
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
                desk.CallAsk(
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

    def claimed(self, claim: desk.Claim) -> Choose | Finish:
        """Take the answer to the claim."""
        if claim.state is desk.ClaimState.GRANTED:
            self._holds_claim = True
            return Choose(())
        if claim.state is desk.ClaimState.PASSED_ON:
            return Choose(())
        if claim.state is desk.ClaimState.RAN:
            self.verdict = errors.Verdict.RAN
            return Finish(None, _recorded(claim), repeated=True)
        self.verdict = errors.Verdict.MAY_HAVE_RUN
        running = claim.state is desk.ClaimState.IN_PROGRESS
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
        """Take a refusal of the desk: no claim or no replica."""
        if self.tries:
            problem = msgspec.structs.replace(
                problem, verdict=self.verdict.value
            )
        else:
            self.verdict = errors.Verdict(problem.verdict)
        return self._finish(problem)

    def chosen(self, replica: desk.Replica, now: float) -> Send | Finish:
        """Use a replica."""
        facts = self.facts
        left = facts.deadline - now
        if left <= 0:
            return self._give_up(attempts.Reason.DEADLINE)
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
        """Take the service's answer."""
        self._close_try(desk.End.FINISHED, errors.Verdict.RAN, now)
        return self._finish(reply)

    def failed(
        self, exc: errors.PapayaloomError, now: float
    ) -> tuple[desk.End, Pause | Finish]:
        """Take a failed send.

        :returns: how the try ended, and the next step.
        """
        verdict, end = _judge(exc)
        self._close_try(end, verdict, now)
        attempt = self.tries[-1]
        step = attempts.following(
            self._cfg.retries,
            attempts.Failure(
                verdict=verdict,
                tries=len(self.tries),
                deadline=self.facts.deadline,
                repeatable=self.facts.may_repeat,
                refused=end is desk.End.REFUSED,
            ),
            now,
            self._rng,
            lambda: self._budget(attempt.upstream),
        )
        if isinstance(step, attempts.Retry):
            return end, Pause(step.pause_s)
        return end, self._give_up(step.reason)

    def again(self) -> Choose:
        """Return the step after a pause."""
        return Choose(tuple(attempt.upstream for attempt in self.tries))

    def _close_try(
        self, end: desk.End, verdict: errors.Verdict, now: float
    ) -> None:
        attempt = self.tries[-1]
        attempt.seconds = now - self.facts.arrived - attempt.started_s
        attempt.outcome = end.value
        attempt.verdict = verdict.value
        if verdict is not errors.Verdict.NOT_RUN:
            self.verdict = verdict

    def _give_up(self, reason: attempts.Reason) -> Finish:
        title, setting = reason.value
        late = reason is attempts.Reason.DEADLINE
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
        outcome = desk.CallOutcome(self.verdict)
        if isinstance(answer, service.Reply):
            outcome = desk.CallOutcome(
                self.verdict, answer.status, answer.body, answer.content_type
            )
        return Finish(outcome, answer)


def _recorded(claim: desk.Claim) -> service.Reply | errors.Problem:
    if claim.complete:
        return service.Reply(claim.status, claim.content, claim.content_type)
    return errors.Problem(
        title='the call ran, but its answer was too long to be kept',
        status=409,
        detail=f'the service had answered with status {claim.status}',
        verdict=errors.Verdict.RAN.value,
    )


def _judge(exc: errors.PapayaloomError) -> tuple[errors.Verdict, desk.End]:
    if isinstance(exc, errors.RefusedError):
        return errors.Verdict(exc.problem.verdict), desk.End.REFUSED
    if isinstance(exc, errors.UpstreamError):
        if exc.verdict is errors.Verdict.NOT_RUN:
            return exc.verdict, desk.End.UNREACHABLE
        end = desk.End.CRASHED if exc.crashed else desk.End.FAILED
        return exc.verdict, end
    return errors.Verdict.MAY_HAVE_RUN, desk.End.FAILED
