"""Claims of non-idempotent calls: between the request path and the ledger."""

import random
import types
import typing

import msgspec
import result

from papayaloom import errors, ids, messages
from papayaloom.process import ledger, ledger_record
from papayaloom.request import core_api
from papayaloom.version import snapshot, tree

_UNAVAILABLE = 503
_RETRY_S = 5
# Room for the content type and the digest beside the body in a record.
_MAX_BODY = 360
_STATES: typing.Mapping[errors.Verdict, ledger_record.State] = (
    types.MappingProxyType(
        {
            errors.Verdict.RAN: ledger_record.State.RAN,
            errors.Verdict.MAY_HAVE_RUN: ledger_record.State.FAILED,
            errors.Verdict.NOT_RUN: ledger_record.State.NOT_RUN,
        },
    )
)
Found = result.Result[core_api.Claim, errors.Problem]


class Settled(msgspec.Struct, frozen=True):
    """Outcome of a claim, or nothing when the outcome of a call is recorded."""

    ticket: int
    outcome: Found | None


class Effects(msgspec.Struct):
    """What the actor has to carry out.

    :param store: calls of the key-value service.
    """

    sends: list[messages.Send] = msgspec.field(default_factory=list)
    store: list[ledger.ledger_writer.Effect] = msgspec.field(
        default_factory=list,
    )
    settled: list[Settled] = msgspec.field(default_factory=list)


class _Kept(msgspec.Struct, frozen=True, array_like=True):
    """Content of a record: what a repeat gets."""

    digest: str
    content_type: str
    complete: bool
    body: bytes


class _Asked(msgspec.Struct, frozen=True):
    ask: core_api.ClaimRequest
    checks_keys: bool


class Claims:
    """Claims of one router."""

    def __init__(
        self,
        cfg: ledger.Cfg,
        me: ids.RouterId,
        rng: random.Random,
    ) -> None:
        """Start without claims."""
        self.ledger = ledger.Ledger(cfg, me, rng)
        self._asked: dict[int, _Asked] = {}
        self._granted: dict[int, core_api.ClaimRequest] = {}

    def claim(
        self,
        ask: core_api.ClaimRequest,
        ticket: int,
        settings: snapshot.Snapshot,
        now: float,
        unix_ms: int,
    ) -> Effects:
        """Claim a call.

        :param ticket: number under which the outcome is reported.
        """
        target = tree.service(ask.service)
        retention = settings.resolve('ledger.retention_s').value
        location = ledger_record.locate(
            ask.organisation,
            target,
            ask.key,
            unix_ms,
            typing.cast(float, retention),
        )
        if isinstance(location, result.Err):
            return Effects(settled=[Settled(ticket, location)])
        checks = settings.resolve('service.checks_keys', target=target).value
        self._asked[ticket] = _Asked(ask, bool(checks))
        outputs = self.ledger.claim(ticket, location.ok_value, now)
        return self._effects(outputs)

    def record(
        self,
        ticket: int,
        outcome: core_api.CallOutcome,
        now: float,
    ) -> Effects:
        """Record what became of a granted call."""
        ask = self._granted.pop(ticket, None)
        if ask is None:
            return Effects()
        kept = _Kept(
            ask.body_digest,
            outcome.content_type[:64],
            len(outcome.content) <= _MAX_BODY,
            outcome.content[:_MAX_BODY],
        )
        outputs = self.ledger.record(
            ticket,
            _STATES[outcome.verdict],
            now,
            outcome.status,
            msgspec.msgpack.encode(kept),
        )
        return self._effects(outputs)

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.Message,
        now: float,
    ) -> Effects:
        """Take a message of another router."""
        return self._effects(self.ledger.handle(sender, message, now))

    def stored(
        self, stored: ledger.ledger_writer.Stored, now: float
    ) -> Effects:
        """Take the result of a store call."""
        return self._effects(self.ledger.stored(stored, now))

    def tick(self, now: float, unix_ms: int) -> Effects:
        """Do the periodic work; call it every 50 ms."""
        return self._effects(self.ledger.tick(now, unix_ms))

    def _effects(self, outputs: list[ledger.Output]) -> Effects:
        effects = Effects()
        for output in outputs:
            if isinstance(output, messages.Send):
                effects.sends.append(output)
            elif isinstance(output, ledger.Decided):
                effects.settled.append(self._settle(output))
            elif isinstance(output, ledger.Recorded):
                effects.settled.append(Settled(output.number, None))
            else:
                effects.store.append(output)
        return effects

    def _settle(self, decided: ledger.Decided) -> Settled:
        asked = self._asked.pop(decided.number)
        answer = decided.answer
        if answer.granted and answer.known:
            self._granted[decided.number] = asked.ask
            claim = core_api.Claim(decided.number, core_api.ClaimState.GRANTED)
            return Settled(decided.number, result.Ok(claim))
        return Settled(decided.number, _found(decided.number, answer, asked))


def _found(
    ticket: int,
    answer: messages.Claimed,
    asked: _Asked,
) -> Found:
    """Return what a claim found that was not granted."""
    if not answer.known:
        if asked.checks_keys:
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
                retry_after_s=_RETRY_S,
            ),
        )
    if answer.state == ledger_record.State.CLAIMED.value:
        return result.Ok(
            core_api.Claim(ticket, core_api.ClaimState.IN_PROGRESS)
        )
    if answer.state != ledger_record.State.RAN.value:
        return result.Ok(core_api.Claim(ticket, core_api.ClaimState.UNKNOWN))
    return _recorded(ticket, answer, asked.ask)


def _recorded(
    ticket: int,
    answer: messages.Claimed,
    ask: core_api.ClaimRequest,
) -> Found:
    try:
        kept = msgspec.msgpack.decode(answer.content, type=_Kept)
    except msgspec.DecodeError:
        return result.Ok(core_api.Claim(ticket, core_api.ClaimState.UNKNOWN))
    if kept.digest != ask.body_digest:
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
            kept.body,
            kept.content_type,
            kept.complete,
        ),
    )
