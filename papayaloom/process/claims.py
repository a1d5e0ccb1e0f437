"""Claims of non-idempotent calls; connects the request path and the ledger."""

import random
import types
import typing

import msgspec
import result

from papayaloom import decoding, errors, ids, messages
from papayaloom.process import ledger, ledger_record
from papayaloom.request import core_api
from papayaloom.version import snapshot, tree

_UNAVAILABLE = 503
_RETRY_AFTER_S = 5
# Leaves room in a record for the content type and the digest.
_MAX_BODY_BYTES = 360
_STATE_OF_VERDICT: typing.Mapping[errors.Verdict, ledger_record.State] = (
    types.MappingProxyType(
        {
            errors.Verdict.RAN: ledger_record.State.RAN,
            errors.Verdict.MAY_HAVE_RUN: ledger_record.State.FAILED,
            errors.Verdict.NOT_RUN: ledger_record.State.NOT_RUN,
        },
    )
)
ClaimOutcome = result.Result[core_api.Claim, errors.Problem]


class ClaimResult(msgspec.Struct, frozen=True):
    """Result of a claim; ``None`` once the outcome of a call is recorded."""

    ticket: int
    outcome: ClaimOutcome | None


class Effects(msgspec.Struct):
    """I/O for the actor to perform.

    :param store: calls to the key-value service.
    """

    sends: list[messages.Send] = msgspec.field(default_factory=list)
    store: list[ledger.ledger_writer.StoreCall] = msgspec.field(
        default_factory=list,
    )
    claim_results: list[ClaimResult] = msgspec.field(default_factory=list)


class _RecordedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Content of a claim: the answer that is returned for a repeated key."""

    digest: str
    content_type: str
    complete: bool
    body: bytes


class _PendingClaim(msgspec.Struct, frozen=True):
    request: core_api.ClaimRequest
    checks_keys: bool


class Claims:
    """Claims made by one router."""

    def __init__(
        self,
        cfg: ledger.Cfg,
        own_id: ids.RouterId,
        rng: random.Random,
    ) -> None:
        """Initialise without any claims."""
        self.ledger = ledger.Ledger(cfg, own_id, rng)
        self._pending: dict[int, _PendingClaim] = {}
        self._granted: dict[int, core_api.ClaimRequest] = {}

    def claim(
        self,
        request: core_api.ClaimRequest,
        ticket: int,
        settings: snapshot.Snapshot,
        now: float,
        unix_ms: int,
    ) -> Effects:
        """Claim a call.

        :param ticket: number that identifies the claim in its result.
        """
        target = tree.service(request.service)
        retention = settings.resolve('ledger.retention_s').value
        location = ledger_record.locate(
            request.organisation,
            target,
            request.key,
            unix_ms,
            typing.cast(float, retention),
        )
        if isinstance(location, result.Err):
            return Effects(claim_results=[ClaimResult(ticket, location)])
        checks_keys = settings.resolve(
            'service.checks_keys', target=target
        ).value
        self._pending[ticket] = _PendingClaim(request, bool(checks_keys))
        outputs = self.ledger.claim(ticket, location.ok_value, now)
        return self._effects(outputs)

    def record(
        self,
        ticket: int,
        outcome: core_api.CallOutcome,
        now: float,
    ) -> Effects:
        """Record the outcome of a granted call."""
        request = self._granted.pop(ticket, None)
        if request is None:
            return Effects()
        recorded = _RecordedAnswer(
            request.body_digest,
            outcome.content_type[:64],
            len(outcome.content) <= _MAX_BODY_BYTES,
            outcome.content[:_MAX_BODY_BYTES],
        )
        outputs = self.ledger.record(
            ticket,
            _STATE_OF_VERDICT[outcome.verdict],
            now,
            outcome.status,
            msgspec.msgpack.encode(recorded),
        )
        return self._effects(outputs)

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.Message,
        now: float,
    ) -> Effects:
        """Handle a message from another router."""
        return self._effects(self.ledger.handle(sender, message, now))

    def handle_result(
        self, call_result: ledger.ledger_writer.CallResult, now: float
    ) -> Effects:
        """Handle the result of a store call."""
        return self._effects(self.ledger.handle_result(call_result, now))

    def tick(self, now: float, unix_ms: int) -> Effects:
        """Perform periodic work; the router calls it every 0.1 s."""
        return self._effects(self.ledger.tick(now, unix_ms))

    def _effects(self, outputs: list[ledger.Output]) -> Effects:
        effects = Effects()
        for output in outputs:
            if isinstance(output, messages.Send):
                effects.sends.append(output)
            elif isinstance(output, ledger.Decision):
                effects.claim_results.append(self._result(output))
            elif isinstance(output, ledger.OutcomeRecorded):
                effects.claim_results.append(ClaimResult(output.number, None))
            else:
                effects.store.append(output)
        return effects

    def _result(self, decided: ledger.Decision) -> ClaimResult:
        pending = self._pending.pop(decided.number)
        answer = decided.answer
        if answer.granted and answer.known:
            self._granted[decided.number] = pending.request
            claim = core_api.Claim(decided.number, core_api.ClaimState.GRANTED)
            return ClaimResult(decided.number, result.Ok(claim))
        return ClaimResult(
            decided.number, _denied_outcome(decided.number, answer, pending)
        )


def _denied_outcome(
    ticket: int,
    answer: messages.Claimed,
    pending: _PendingClaim,
) -> ClaimOutcome:
    """Return the outcome of a claim that was not granted."""
    if not answer.known:
        if pending.checks_keys:
            return result.Ok(
                core_api.Claim(ticket, core_api.ClaimState.PASSED_ON)
            )
        return result.Err(
            errors.Problem(
                'calls cannot be recorded at the moment',
                _UNAVAILABLE,
                'this attempt was not sent; keep the key, because an earlier '
                'attempt with it may have run',
                setting='service.checks_keys',
                retry_after_s=_RETRY_AFTER_S,
            ),
        )
    if answer.state == ledger_record.State.CLAIMED.value:
        return result.Ok(
            core_api.Claim(ticket, core_api.ClaimState.IN_PROGRESS)
        )
    if answer.state != ledger_record.State.RAN.value:
        return result.Ok(core_api.Claim(ticket, core_api.ClaimState.UNKNOWN))
    return _recorded_outcome(ticket, answer, pending.request)


def _recorded_outcome(
    ticket: int,
    answer: messages.Claimed,
    request: core_api.ClaimRequest,
) -> ClaimOutcome:
    try:
        recorded = decoding.decode_msgpack(answer.content, _RecordedAnswer)
    except msgspec.DecodeError:
        return result.Ok(core_api.Claim(ticket, core_api.ClaimState.UNKNOWN))
    if recorded.digest != request.body_digest:
        return result.Err(
            errors.Problem(
                'the key was used for another call',
                422,
                'a repeat needs the same method, path and body',
            ),
        )
    return result.Ok(
        core_api.Claim(
            ticket,
            core_api.ClaimState.RAN,
            answer.status,
            recorded.body,
            recorded.content_type,
            recorded.complete,
        ),
    )
