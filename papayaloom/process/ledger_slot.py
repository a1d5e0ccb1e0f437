"""In-memory state of one ledger record and the requests waiting for it."""

import msgspec

from papayaloom import ids, messages
from papayaloom.process import ledger_record

ABSENT_REVISION = 0


class ClaimRequest(msgspec.Struct, frozen=True):
    """Request to claim a call, waiting for a decision.

    :param origin: router that made the request; it owns the attempt.
    :param number: identifies the request at that router.
    :param deadline: time at which the request expires.
    """

    origin: ids.RouterId
    number: int
    key: bytes
    attempt: str
    deadline: float


class ClaimReply(msgspec.Struct, frozen=True):
    """Reply to a claim request or to a reported outcome."""

    request: ClaimRequest
    answer: messages.Claimed


class Outcome(msgspec.Struct, frozen=True):
    """Outcome of a claimed call, waiting to be recorded.

    :param origin: router that owns the attempt.
    :param number: identifies the claim request at that router.
    """

    origin: ids.RouterId
    number: int
    claim: ledger_record.Claim


class Proposal(msgspec.Struct, frozen=True):
    """New contents of a record, about to be written.

    :param outcomes: number of waiting outcomes that are included.
    """

    claims: dict[bytes, ledger_record.Claim]
    outcomes: int


def recorded_reply(outcome: Outcome) -> ClaimReply:
    """Return the reply that confirms a recorded outcome."""
    claim = outcome.claim
    request = ClaimRequest(
        outcome.origin, outcome.number, claim.key, claim.attempt, 0
    )
    answer = messages.Claimed(request.number, False, True, claim.state.value)
    return ClaimReply(request, answer)


def undecided_reply(request: ClaimRequest) -> ClaimReply:
    """Return the reply to a request whose claim may or may not be recorded."""
    return ClaimReply(request, messages.Claimed(request.number, False, False))


class Slot:
    """State of one record, with the requests and outcomes waiting for it.

    The claims are those of the last confirmed read or write. A call is granted
    only when its own attempt is among them.
    """

    def __init__(self, shard: int, number: int) -> None:
        """Initialise the slot; assumes that the record does not exist."""
        self.shard = shard
        self.number = number
        self.key = ledger_record.record_key(shard, number)
        self.revision = ABSENT_REVISION
        self.must_read = False
        self.read_at = float('-inf')
        self.operation = 0
        self.retry_at = float('-inf')
        self.requests: list[ClaimRequest] = []
        self._claims: dict[bytes, ledger_record.Claim] = {}
        self.outcomes: list[Outcome] = []
        self._outcomes_due_at = float('inf')

    @property
    def is_idle(self) -> bool:
        """Whether no request, outcome or store call is pending."""
        return not (self.requests or self.outcomes or self.operation)

    @property
    def is_full(self) -> bool:
        """Whether the record has no room for another claim."""
        count = len(self._claims) + len(self.requests)
        return count >= ledger_record.MAX_CLAIMS_PER_RECORD

    def is_due(self, now: float) -> bool:
        """Return whether there is work to do now."""
        if self.operation or now < self.retry_at:
            return False
        return bool(self.requests) or now >= self._outcomes_due_at

    def add(self, request: ClaimRequest) -> None:
        """Queue a claim request unless it is already queued."""
        queued = {(other.origin, other.attempt) for other in self.requests}
        if (request.origin, request.attempt) not in queued:
            self.requests.append(request)

    def record(self, outcome: Outcome, due: float) -> None:
        """Queue an outcome; delay it until ``due`` to batch it with claims."""
        if outcome not in self.outcomes:
            self.outcomes.append(outcome)
            self._outcomes_due_at = min(self._outcomes_due_at, due)

    def load(self, content: bytes | None, revision: int, now: float) -> None:
        """Replace the claims with the record read from the store.

        :raises errors.CodecError: if the record cannot be decoded.
        """
        self._claims = ledger_record.decode(content) if content else {}
        self.revision = revision
        self.must_read = False
        self.read_at = now

    def commit(
        self,
        proposal: Proposal,
        revision: int,
        now: float,
    ) -> list[ClaimReply]:
        """Replace the claims with a proposal that was written.

        :returns: replies to the outcomes that it includes.
        """
        self._claims = proposal.claims
        self.revision = revision
        self.read_at = now
        return self.settle_outcomes(proposal.outcomes)

    def settle_outcomes(self, count: int) -> list[ClaimReply]:
        """Remove the first outcomes, now recorded, and return their replies."""
        settled = self.outcomes[:count]
        self.outcomes = self.outcomes[count:]
        if not self.outcomes:
            self._outcomes_due_at = float('inf')
        return [recorded_reply(outcome) for outcome in settled]

    def expire(self, now: float) -> list[ClaimRequest]:
        """Remove and return the claim requests past their deadline."""
        expired = [
            request for request in self.requests if request.deadline <= now
        ]
        self.requests = [
            request for request in self.requests if request.deadline > now
        ]
        return expired

    def decide(self, fresh_since: float) -> list[ClaimReply]:
        """Return replies to the requests that the recorded claims decide.

        :param fresh_since: "in progress" is reported only from a record read
            after this time; an older one sets :attr:`must_read`.
        """
        replies: list[ClaimReply] = []
        waiting: list[ClaimRequest] = []
        for request in self.requests:
            recorded = self._claims.get(request.key)
            if recorded is None or _may_take_over(recorded, request):
                waiting.append(request)
            elif self._is_stale(recorded, request, fresh_since):
                self.must_read = True
                waiting.append(request)
            else:
                replies.append(ClaimReply(request, _answer(recorded, request)))
        self.requests = waiting
        return replies

    def propose(self) -> Proposal | None:
        """Return the record with waiting requests and outcomes applied.

        Returns ``None`` if nothing changes; the waiting outcomes are then
        already recorded.

        If several attempts wait for the same key, only the first is proposed.
        The others are decided after it is committed.
        """
        claims = dict(self._claims)
        answer_count = sum(bool(claim.content) for claim in claims.values())
        for outcome in self.outcomes:
            update = outcome.claim
            if answer_count >= ledger_record.MAX_ANSWERS_PER_RECORD:
                update = msgspec.structs.replace(update, content=b'')
            answer_count += bool(update.content)
            merged = ledger_record.merge(claims.get(update.key), update)
            claims[update.key] = merged
        for request in self.requests:
            existing = claims.get(request.key)
            if existing is None or _may_take_over(existing, request):
                claims[request.key] = ledger_record.Claim(
                    request.key, request.attempt
                )
        if claims == self._claims and self.read_at > float('-inf'):
            return None
        return Proposal(claims, len(self.outcomes))

    def _is_stale(
        self,
        recorded: ledger_record.Claim,
        request: ClaimRequest,
        fresh_since: float,
    ) -> bool:
        is_in_progress = recorded.state is ledger_record.State.CLAIMED
        is_other_attempt = recorded.attempt != request.attempt
        return (
            is_in_progress and is_other_attempt and self.read_at < fresh_since
        )


def _may_take_over(
    recorded: ledger_record.Claim, request: ClaimRequest
) -> bool:
    is_not_run = recorded.state is ledger_record.State.NOT_RUN
    return is_not_run and recorded.attempt != request.attempt


def _answer(
    recorded: ledger_record.Claim,
    request: ClaimRequest,
) -> messages.Claimed:
    is_claimed = recorded.state is ledger_record.State.CLAIMED
    return messages.Claimed(
        ask=request.number,
        granted=is_claimed and recorded.attempt == request.attempt,
        known=True,
        state=recorded.state.value,
        status=recorded.status,
        content=recorded.content,
    )
