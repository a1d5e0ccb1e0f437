"""At-most-once ledger for non-idempotent calls.

A user of this module claims a call with :meth:`Ledger.claim`, sends it only
after a :class:`Decision` for its number with ``granted`` set, and reports the
outcome with :meth:`Ledger.record`. Each claim is a separate attempt with a
unique id that is never reused, not even after a restart.

The router ranked first for a shard is responsible for it and batches its
writes. A router that gets no reply from it writes the record itself; writes use
compare-and-swap, so concurrent writers are safe. Only the router that owns an
attempt may report that it did not run, and it never sends the attempt
afterwards.
"""

import collections
import random
import typing

import msgspec

from papayaloom import hashing, ids, messages
from papayaloom.process import (
    ledger_record,
    ledger_slot,
    ledger_writer,
    store_calls,
)

# Number of past decisions kept to handle grants that arrive late.
_MAX_KEPT_DECISIONS = 10_000
# An unconfirmed outcome is resent at these ages, chosen for a message loss of
# 5%. After that this router writes the record itself.
_OUTCOME_RESEND_S = (1, 3)
_RECORD_LOCALLY_S = 6
# Leaves room to add the call number without exceeding 2**64.
_BASE_BITS = 63


class Cfg(msgspec.Struct, frozen=True):
    """Timeouts of the ledger.

    :param claim_timeout_s: maximum time to wait for a decision.
    :param forward_timeout_s: time to wait for the responsible router before
        this router writes the record itself. The claim is resent after half of
        it, because a lost message is more likely than a failed router.
    """

    claim_timeout_s: float = 2
    forward_timeout_s: float = 0.5
    writer: ledger_writer.Cfg = ledger_writer.Cfg()


class Decision(msgspec.Struct, frozen=True):
    """Decision on a call that this router claimed.

    :param number: number under which the call was claimed.
    :param answer: the call may be sent only if ``granted`` is set. If ``known``
        is not set, this attempt is guaranteed not to have sent the call.
    """

    number: int
    answer: messages.Claimed


class OutcomeRecorded(msgspec.Struct, frozen=True):
    """Confirms that the outcome of a call has been recorded."""

    number: int


Output = messages.Send | store_calls.Call | Decision | OutcomeRecorded


class Dump(msgspec.Struct, frozen=True):
    """Ledger section of the state dump.

    :param waiting: number of claims without a decision.
    :param shards: shards that this router is responsible for.
    """

    waiting: int
    shards: tuple[int, ...]
    idle: bool
    counts: ledger_writer.Counts


class _PendingClaim(msgspec.Struct):
    location: ledger_record.Location
    request: ledger_slot.ClaimRequest
    claim_locally_at: float
    resend_at: float


class _OutcomeResend(msgspec.Struct, frozen=True):
    due_at: float
    number: int
    outcome: messages.Outcome
    is_last: bool = False


class Ledger:
    """Ledger component of one router.

    :param own_id: id of this router.
    """

    def __init__(
        self,
        cfg: Cfg,
        own_id: ids.RouterId,
        rng: random.Random,
    ) -> None:
        """Initialise the ledger with this router as the only member."""
        # Distinguishes replies addressed to an earlier process of this router.
        self._number_base = rng.getrandbits(_BASE_BITS)
        self._cfg = cfg
        self._own_id = own_id
        self._responsible: tuple[ids.RouterId, ...] = ()
        self._own_shards: tuple[int, ...] = ()
        self._writer = ledger_writer.Writer(cfg.writer)
        self._pending: dict[int, _PendingClaim] = {}
        self._decisions: collections.OrderedDict[
            int, tuple[_PendingClaim, bool]
        ]
        self._decisions = collections.OrderedDict()
        self._resends: list[_OutcomeResend] = []
        self.update_members((own_id,))

    @property
    def is_idle(self) -> bool:
        """Whether the process can stop without losing unwritten changes."""
        return self._writer.is_idle and not (self._pending or self._resends)

    def configure(self, cfg: Cfg) -> None:
        """Apply a new configuration."""
        self._cfg = cfg
        self._writer.configure(cfg.writer)

    def update_members(self, members: typing.Iterable[ids.RouterId]) -> None:
        """Update the list of live routers, which includes this one."""
        alive = tuple(members)
        self._responsible = tuple(
            hashing.highest_ranked(f'ledger/{shard}', alive) or self._own_id
            for shard in range(ledger_record.SHARDS)
        )
        self._own_shards = tuple(
            shard
            for shard, router in enumerate(self._responsible)
            if router == self._own_id
        )

    def claim(
        self,
        number: int,
        location: ledger_record.Location,
        now: float,
    ) -> list[Output]:
        """Claim a call; the decision is output now or later.

        :param number: unique within this process, below 2**32.
        """
        wire_number = self._number_base + number
        request = ledger_slot.ClaimRequest(
            self._own_id,
            wire_number,
            location.key,
            f'{wire_number:x}',
            now + self._cfg.claim_timeout_s,
        )
        wait_s = self._cfg.forward_timeout_s
        pending = _PendingClaim(
            location, request, now + wait_s, now + wait_s / 2
        )
        self._pending[wire_number] = pending
        if self._responsible[location.shard] == self._own_id:
            return self._claim_locally(pending, now)
        return [self._claim_message(pending)]

    def record(
        self,
        number: int,
        state: ledger_record.State,
        now: float,
        status: int = 0,
        content: bytes = b'',
    ) -> list[Output]:
        """Record the outcome of a granted call.

        The confirmation, :class:`OutcomeRecorded`, is output now or later.
        There is none if the store or the responsible router is unreachable, so
        callers should wait for it only for a limited time.

        :param number: number under which the call was claimed.
        :param state: outcome of the call, not ``CLAIMED``.
        :param content: encoded answer; truncated to the size limit.
        """
        wire_number = self._number_base + number
        if wire_number not in self._decisions:
            return []
        pending, _ = self._decisions[wire_number]
        return self._record_outcome(pending, state, now, status, content)

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.Message,
        now: float,
    ) -> list[Output]:
        """Handle a message from another router."""
        if isinstance(message, messages.Claimed):
            pending = self._pending.get(message.ask)
            if pending is None or message.known:
                return self._decide(message, now)
            pending.claim_locally_at = min(pending.claim_locally_at, now)
            return []
        writer_outputs: list[ledger_writer.Output] = []
        if isinstance(message, messages.Outcome):
            outcome = _parse_outcome(sender, message)
            if outcome:
                writer_outputs += self._writer.record(*outcome, now)
        elif isinstance(message, messages.Claim):
            claim = _parse_claim(
                sender, message, now + self._cfg.claim_timeout_s
            )
            if claim:
                writer_outputs += self._writer.claim(*claim, now)
        return self._route_replies(writer_outputs, now)

    def handle_result(
        self, call_result: store_calls.CallResult, now: float
    ) -> list[Output]:
        """Handle the result of a store call."""
        return self._route_replies(
            self._writer.handle_result(call_result, now), now
        )

    def tick(self, now: float, unix_ms: int) -> list[Output]:
        """Perform periodic work; the router calls it every 0.1 s."""
        outputs = self._route_replies(self._writer.tick(now, unix_ms), now)
        for pending in tuple(self._pending.values()):
            if pending.request.deadline <= now:
                outputs += self._decide(
                    ledger_slot.undecided_reply(pending.request).answer, now
                )
            elif pending.claim_locally_at <= now:
                outputs += self._claim_locally(pending, now)
            elif pending.resend_at <= now:
                pending.resend_at = float('inf')
                outputs.append(self._claim_message(pending))
        for resend in tuple(self._resends):
            if resend.due_at <= now:
                self._resends.remove(resend)
                outputs += self._deliver_outcome(resend, now)
        return outputs + self._route_replies(
            self._writer.sweep(self._own_shards, now), now
        )

    def dump(self) -> Dump:
        """Return the state of the ledger."""
        return Dump(
            len(self._pending),
            self._own_shards,
            self.is_idle,
            msgspec.structs.replace(self._writer.counts),
        )

    def _claim_message(self, pending: _PendingClaim) -> messages.Send:
        location = pending.location
        claim = messages.Claim(
            pending.request.number,
            location.shard,
            location.slot,
            location.key,
            pending.request.attempt,
        )
        return _send(self._responsible[location.shard], claim)

    def _claim_locally(
        self, pending: _PendingClaim, now: float
    ) -> list[Output]:
        pending.claim_locally_at = float('inf')
        pending.resend_at = float('inf')
        outputs = self._writer.claim(pending.location, pending.request, now)
        return self._route_replies(outputs, now)

    def _route_replies(
        self,
        outputs: typing.Iterable[ledger_writer.Output],
        now: float,
    ) -> list[Output]:
        routed: list[Output] = []
        for output in outputs:
            if not isinstance(output, ledger_slot.ClaimReply):
                routed.append(output)
            elif output.request.origin == self._own_id:
                routed += self._decide(output.answer, now)
            else:
                routed.append(_send(output.request.origin, output.answer))
        return routed

    def _decide(self, answer: messages.Claimed, now: float) -> list[Output]:
        pending = self._pending.pop(answer.ask, None)
        if pending is None:
            return self._handle_late_answer(answer, now)
        if answer.granted and pending.request.deadline <= now:
            # The process may have been paused until after the record expired.
            answer = ledger_slot.undecided_reply(pending.request).answer
        self._decisions[answer.ask] = (pending, answer.granted)
        if len(self._decisions) > _MAX_KEPT_DECISIONS:
            self._decisions.popitem(last=False)
        outputs: list[Output] = [
            Decision(answer.ask - self._number_base, answer)
        ]
        if not answer.known:
            # The claim may have been recorded or may still be; as this attempt
            # is never sent, it is reported as not run.
            outputs += self._record_outcome(
                pending, ledger_record.State.NOT_RUN, now
            )
        return outputs

    def _handle_late_answer(
        self, answer: messages.Claimed, now: float
    ) -> list[Output]:
        pending, granted = self._decisions.get(answer.ask, (None, True))
        if pending is None or not answer.known:
            return []
        if answer.granted:
            not_run = ledger_record.State.NOT_RUN
            return (
                [] if granted else self._record_outcome(pending, not_run, now)
            )
        if answer.state == ledger_record.State.CLAIMED.value:
            return []
        self._resends = [
            resend for resend in self._resends if resend.number != answer.ask
        ]
        return [OutcomeRecorded(answer.ask - self._number_base)]

    def _record_outcome(
        self,
        pending: _PendingClaim,
        state: ledger_record.State,
        now: float,
        status: int = 0,
        content: bytes = b'',
    ) -> list[Output]:
        location = pending.location
        outcome = messages.Outcome(
            location.shard,
            location.slot,
            location.key,
            pending.request.attempt,
            state.value,
            status,
            content[: ledger_record.MAX_CONTENT_BYTES],
        )
        number = pending.request.number
        if self._responsible[location.shard] == self._own_id:
            return self.handle(self._own_id, outcome, now)
        for age_s in _OUTCOME_RESEND_S:
            self._resends.append(_OutcomeResend(now + age_s, number, outcome))
        last = _OutcomeResend(
            now + _RECORD_LOCALLY_S, number, outcome, is_last=True
        )
        self._resends.append(last)
        return self._deliver_outcome(_OutcomeResend(now, number, outcome), now)

    def _deliver_outcome(
        self, resend: _OutcomeResend, now: float
    ) -> list[Output]:
        responsible = self._responsible[resend.outcome.shard]
        if resend.is_last or responsible == self._own_id:
            return self.handle(self._own_id, resend.outcome, now)
        return [_send(responsible, resend.outcome)]


def _parse_claim(
    sender: ids.RouterId,
    message: messages.Claim,
    deadline: float,
) -> tuple[ledger_record.Location, ledger_slot.ClaimRequest] | None:
    location = ledger_record.Location(message.shard, message.slot, message.key)
    claim = ledger_record.Claim(message.key, message.attempt)
    if not ledger_record.is_valid(location, claim):
        return None
    request = ledger_slot.ClaimRequest(
        sender, message.ask, message.key, message.attempt, deadline
    )
    return location, request


def _parse_outcome(
    sender: ids.RouterId,
    outcome: messages.Outcome,
) -> tuple[ledger_record.Location, ledger_slot.Outcome] | None:
    location = ledger_record.Location(outcome.shard, outcome.slot, outcome.key)
    try:
        state = ledger_record.State(outcome.state)
        number = int(outcome.attempt, 16)
    except ValueError:
        return None
    claim = ledger_record.Claim(
        outcome.key, outcome.attempt, state, outcome.status, outcome.content
    )
    if not ledger_record.is_valid(location, claim):
        return None
    return location, ledger_slot.Outcome(sender, number, claim)


def _send(to: ids.RouterId, message: messages.Message) -> messages.Send:
    return messages.Send(to, message, messages.Priority.ADMISSION)
