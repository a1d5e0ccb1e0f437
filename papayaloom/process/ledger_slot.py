"""Claims of one record of the ledger, while calls are decided on them."""

import msgspec

from papayaloom import ids, messages
from papayaloom.process import ledger_record

ABSENT = 0


class Ask(msgspec.Struct, frozen=True):
    """A call that waits for the decision on its claim.

    :param origin: the router that asked; it owns the attempt.
    :param until: time at which the decision comes too late.
    """

    origin: ids.RouterId
    number: int
    key: bytes
    attempt: str
    until: float


class Answered(msgspec.Struct, frozen=True):
    """The decision on a call."""

    ask: Ask
    answer: messages.Claimed


class Outcome(msgspec.Struct, frozen=True):
    """What became of a claimed call, until it is recorded.

    :param origin: the router that owns the attempt.
    :param number: its number of the call.
    """

    origin: ids.RouterId
    number: int
    claim: ledger_record.Claim


class Proposal(msgspec.Struct, frozen=True):
    """A record that is being written.

    :param outcomes: how many of the waiting outcomes it holds.
    """

    claims: dict[bytes, ledger_record.Claim]
    outcomes: int


def recorded(outcome: Outcome) -> Answered:
    """Return the answer that an outcome is recorded."""
    claim = outcome.claim
    ask = Ask(outcome.origin, outcome.number, claim.key, claim.attempt, 0)
    answer = messages.Claimed(ask.number, False, True, claim.state.value)
    return Answered(ask, answer)


def unknown(ask: Ask) -> Answered:
    """Return the decision on a call whose claim is not known to stand."""
    return Answered(ask, messages.Claimed(ask.number, False, False))


class Slot:
    """One record: what is known of it, and what waits for it.

    The claims are those of the last certain read or write, so a call is
    granted on them only when its attempt is recorded.
    """

    def __init__(self, shard: int, number: int) -> None:
        """Presume that the record does not exist."""
        self.shard = shard
        self.number = number
        self.key = ledger_record.record_key(shard, number)
        self.revision = ABSENT
        self.must_read = False
        self.read_at = float('-inf')
        self.operation = 0
        self.retry_at = float('-inf')
        self.asks: list[Ask] = []
        self._claims: dict[bytes, ledger_record.Claim] = {}
        self.outcomes: list[Outcome] = []
        self._outcomes_at = float('inf')

    @property
    def idle(self) -> bool:
        """Whether nothing waits for this record."""
        return not (self.asks or self.outcomes or self.operation)

    @property
    def full(self) -> bool:
        """Whether the record has no room for another call."""
        count = len(self._claims) + len(self.asks)
        return count >= ledger_record.MAX_CLAIMS

    def due(self, now: float) -> bool:
        """Return whether the record has work now."""
        if self.operation or now < self.retry_at:
            return False
        return bool(self.asks) or now >= self._outcomes_at

    def add(self, ask: Ask) -> None:
        """Let a call wait, unless it waits already."""
        waiting = {(known.origin, known.attempt) for known in self.asks}
        if (ask.origin, ask.attempt) not in waiting:
            self.asks.append(ask)

    def record(self, outcome: Outcome, due: float) -> None:
        """Let an outcome wait until some time for calls to join it."""
        if outcome not in self.outcomes:
            self.outcomes.append(outcome)
            self._outcomes_at = min(self._outcomes_at, due)

    def load(self, content: bytes | None, revision: int, now: float) -> None:
        """Take over the record as the store has it.

        :raises errors.CodecError: the record cannot be read.
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
    ) -> list[Answered]:
        """Take over a record that was written.

        :returns: the answers to the outcomes in it.
        """
        self._claims = proposal.claims
        self.revision = revision
        self.read_at = now
        return self.settle_outcomes(proposal.outcomes)

    def settle_outcomes(self, count: int) -> list[Answered]:
        """Answer and forget the first outcomes; they are recorded."""
        settled = self.outcomes[:count]
        self.outcomes = self.outcomes[count:]
        if not self.outcomes:
            self._outcomes_at = float('inf')
        return [recorded(outcome) for outcome in settled]

    def expire(self, now: float) -> list[Ask]:
        """Return the calls that waited too long, and forget them."""
        late = [ask for ask in self.asks if ask.until <= now]
        self.asks = [ask for ask in self.asks if ask.until > now]
        return late

    def decide(self, fresh_since: float) -> list[Answered]:
        """Answer the calls that the recorded claims decide.

        :param fresh_since: a call is told to be in progress only by what was
            read after this time; older knowledge makes :attr:`must_read` true.
        """
        answered: list[Answered] = []
        waiting: list[Ask] = []
        for ask in self.asks:
            recorded = self._claims.get(ask.key)
            if recorded is None or _may_take_over(recorded, ask):
                waiting.append(ask)
            elif self._is_stale(recorded, ask, fresh_since):
                self.must_read = True
                waiting.append(ask)
            else:
                answered.append(Answered(ask, _answer(recorded, ask)))
        self.asks = waiting
        return answered

    def propose(self) -> Proposal | None:
        """Return the record with the waiting calls and outcomes, if it differs.

        Without a difference the waiting outcomes are recorded already.

        Of several attempts at one key, the first one is proposed; the others
        are decided when it stands.
        """
        claims = dict(self._claims)
        answers = sum(bool(claim.content) for claim in claims.values())
        for outcome in self.outcomes:
            news = outcome.claim
            if answers >= ledger_record.MAX_ANSWERS:
                news = msgspec.structs.replace(news, content=b'')
            answers += bool(news.content)
            merged = ledger_record.merge(claims.get(news.key), news)
            claims[news.key] = merged
        for ask in self.asks:
            recorded_claim = claims.get(ask.key)
            if recorded_claim is None or _may_take_over(recorded_claim, ask):
                claims[ask.key] = ledger_record.Claim(ask.key, ask.attempt)
        if claims == self._claims and self.read_at > float('-inf'):
            return None
        return Proposal(claims, len(self.outcomes))

    def _is_stale(
        self,
        recorded: ledger_record.Claim,
        ask: Ask,
        fresh_since: float,
    ) -> bool:
        in_progress = recorded.state is ledger_record.State.CLAIMED
        foreign = recorded.attempt != ask.attempt
        return in_progress and foreign and self.read_at < fresh_since


def _may_take_over(recorded: ledger_record.Claim, ask: Ask) -> bool:
    not_run = recorded.state is ledger_record.State.NOT_RUN
    return not_run and recorded.attempt != ask.attempt


def _answer(
    recorded: ledger_record.Claim,
    ask: Ask,
) -> messages.Claimed:
    claimed = recorded.state is ledger_record.State.CLAIMED
    return messages.Claimed(
        ask=ask.number,
        granted=claimed and recorded.attempt == ask.attempt,
        known=True,
        state=recorded.state.value,
        status=recorded.status,
        content=recorded.content,
    )
