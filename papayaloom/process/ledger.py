"""At-most-once ledger: claims of non-idempotent calls.

A caller of this part claims a call with :meth:`Ledger.claim`, sends it only
after a :class:`Decided` for its number with ``granted`` true, and reports what
became of it with :meth:`Ledger.record`. Each claim is an attempt with an id of
its own that is never used again, also not after a restart.

The router that is first in rank for a shard batches its writes. A router that
gets no answer from it writes the record itself; compare-and-swap keeps both
right. Only the router that owns an attempt says that it did not run, and it
never sends an attempt after it said so.
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

# Decisions that are remembered to answer a grant that comes late.
_KEPT_DECISIONS = 10_000
# An outcome without an answer is sent again at these ages, for a loss of
# messages of 5%, and is then recorded by this router itself.
_REPEATS_S = (1, 3)
_RECORD_HERE_S = 6
# Leaves room for the counted part below 2**64.
_BASE_BITS = 63


class Cfg(msgspec.Struct, frozen=True):
    """Times of the ledger.

    :param claim_timeout_s: longest wait for the decision on a call.
    :param forward_timeout_s: wait for the responsible router, after which
        this router writes the record itself; the claim is sent again after
        half of it, because a lost message is likelier than a lost router.
    """

    claim_timeout_s: float = 2
    forward_timeout_s: float = 0.5
    writer: ledger_writer.Cfg = ledger_writer.Cfg()


class Decided(msgspec.Struct, frozen=True):
    """The decision on a call that was claimed here.

    :param number: the number that it was claimed with.
    :param answer: the call may be sent only when this says "granted". When it
        is not "known", the call provably was not sent by this attempt.
    """

    number: int
    answer: messages.Claimed


class Recorded(msgspec.Struct, frozen=True):
    """The outcome of a call that was claimed here is recorded."""

    number: int


Output = messages.Send | store_calls.Call | Decided | Recorded


class Dump(msgspec.Struct, frozen=True):
    """State of the ledger for the state dump.

    :param waiting: calls without a decision.
    :param shards: shards that this router is responsible for.
    """

    waiting: int
    shards: tuple[int, ...]
    idle: bool
    counts: ledger_writer.Counts


class _Pending(msgspec.Struct):
    location: ledger_record.Location
    ask: ledger_slot.Ask
    local_at: float
    resend_at: float


class _Repeat(msgspec.Struct, frozen=True):
    due: float
    number: int
    outcome: messages.Outcome
    is_last: bool = False


class Ledger:
    """The ledger's part in one router.

    :param me: this router.
    """

    def __init__(
        self,
        cfg: Cfg,
        me: ids.RouterId,
        rng: random.Random,
    ) -> None:
        """Start alone in the fleet."""
        # Keeps answers to an earlier process of this router apart.
        self._base = rng.getrandbits(_BASE_BITS)
        self._cfg = cfg
        self._me = me
        self._responsible: tuple[ids.RouterId, ...] = ()
        self._mine: tuple[int, ...] = ()
        self._writer = ledger_writer.Writer(cfg.writer)
        self._pending: dict[int, _Pending] = {}
        self._decided: collections.OrderedDict[int, tuple[_Pending, bool]]
        self._decided = collections.OrderedDict()
        self._repeats: list[_Repeat] = []
        self.update_members((me,))

    @property
    def idle(self) -> bool:
        """Whether a stop loses nothing that waits to be written."""
        return self._writer.idle and not (self._pending or self._repeats)

    def configure(self, cfg: Cfg) -> None:
        """Take new times."""
        self._cfg = cfg
        self._writer.configure(cfg.writer)

    def update_members(self, members: typing.Iterable[ids.RouterId]) -> None:
        """Take the routers that are alive, this one among them."""
        alive = tuple(members)
        self._responsible = tuple(
            hashing.highest_ranked(f'ledger/{shard}', alive) or self._me
            for shard in range(ledger_record.SHARDS)
        )
        self._mine = tuple(
            shard
            for shard, router in enumerate(self._responsible)
            if router == self._me
        )

    def claim(
        self,
        number: int,
        location: ledger_record.Location,
        now: float,
    ) -> list[Output]:
        """Claim a call; the answer is among the outputs now or later.

        :param number: unique within this process, below 2**32.
        """
        wire = self._base + number
        ask = ledger_slot.Ask(
            self._me,
            wire,
            location.key,
            f'{wire:x}',
            now + self._cfg.claim_timeout_s,
        )
        wait_s = self._cfg.forward_timeout_s
        pending = _Pending(location, ask, now + wait_s, now + wait_s / 2)
        self._pending[wire] = pending
        if self._responsible[location.shard] == self._me:
            return self._ask_here(pending, now)
        return [self._forward(pending)]

    def record(
        self,
        number: int,
        state: ledger_record.State,
        now: float,
        status: int = 0,
        content: bytes = b'',
    ) -> list[Output]:
        """Record what became of a call that was granted.

        A :class:`Recorded` follows now or later. It does not when the store or
        the responsible router is out of reach, so a caller waits for it only
        for a limited time.

        :param number: the number that it was claimed with.
        :param state: what is known of the call, not ``CLAIMED``.
        :param content: the answer's body; what fits is kept.
        """
        wire = self._base + number
        if wire not in self._decided:
            return []
        pending, _ = self._decided[wire]
        return self._record(pending, state, now, status, content)

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.Message,
        now: float,
    ) -> list[Output]:
        """Take a message of another router."""
        if isinstance(message, messages.Claimed):
            pending = self._pending.get(message.ask)
            if pending is None or message.known:
                return self._decide(message, now)
            pending.local_at = min(pending.local_at, now)
            return []
        written: list[ledger_writer.Output] = []
        if isinstance(message, messages.Outcome):
            parts = _parts(sender, message)
            if parts:
                written += self._writer.record(*parts, now)
        elif isinstance(message, messages.Claim):
            asked = _asked(sender, message, now + self._cfg.claim_timeout_s)
            if asked:
                written += self._writer.ask(*asked, now)
        return self._route(written, now)

    def stored(self, stored: store_calls.Stored, now: float) -> list[Output]:
        """Take the result of a store call."""
        return self._route(self._writer.stored(stored, now), now)

    def tick(self, now: float, unix_ms: int) -> list[Output]:
        """Do what is due; meant to be called every 50 ms."""
        outputs = self._route(self._writer.tick(now, unix_ms), now)
        for pending in tuple(self._pending.values()):
            if pending.ask.until <= now:
                outputs += self._decide(
                    ledger_slot.unknown(pending.ask).answer, now
                )
            elif pending.local_at <= now:
                outputs += self._ask_here(pending, now)
            elif pending.resend_at <= now:
                pending.resend_at = float('inf')
                outputs.append(self._forward(pending))
        for repeat in tuple(self._repeats):
            if repeat.due <= now:
                self._repeats.remove(repeat)
                outputs += self._deliver(repeat, now)
        return outputs + self._route(self._writer.sweep(self._mine, now), now)

    def dump(self) -> Dump:
        """Return the state of the ledger."""
        return Dump(
            len(self._pending),
            self._mine,
            self.idle,
            msgspec.structs.replace(self._writer.counts),
        )

    def _forward(self, pending: _Pending) -> messages.Send:
        location = pending.location
        claim = messages.Claim(
            pending.ask.number,
            location.shard,
            location.slot,
            location.key,
            pending.ask.attempt,
        )
        return _send(self._responsible[location.shard], claim)

    def _ask_here(self, pending: _Pending, now: float) -> list[Output]:
        pending.local_at = float('inf')
        pending.resend_at = float('inf')
        outputs = self._writer.ask(pending.location, pending.ask, now)
        return self._route(outputs, now)

    def _route(
        self,
        outputs: typing.Iterable[ledger_writer.Output],
        now: float,
    ) -> list[Output]:
        routed: list[Output] = []
        for output in outputs:
            if not isinstance(output, ledger_slot.Answered):
                routed.append(output)
            elif output.ask.origin == self._me:
                routed += self._decide(output.answer, now)
            else:
                routed.append(_send(output.ask.origin, output.answer))
        return routed

    def _decide(self, answer: messages.Claimed, now: float) -> list[Output]:
        pending = self._pending.pop(answer.ask, None)
        if pending is None:
            return self._late(answer, now)
        if answer.granted and pending.ask.until <= now:
            # A paused router may have slept past the life of the record.
            answer = ledger_slot.unknown(pending.ask).answer
        self._decided[answer.ask] = (pending, answer.granted)
        if len(self._decided) > _KEPT_DECISIONS:
            self._decided.popitem(last=False)
        outputs: list[Output] = [Decided(answer.ask - self._base, answer)]
        if not answer.known:
            # The claim may stand or come to stand; this attempt is not sent.
            outputs += self._record(pending, ledger_record.State.NOT_RUN, now)
        return outputs

    def _late(self, answer: messages.Claimed, now: float) -> list[Output]:
        pending, granted = self._decided.get(answer.ask, (None, True))
        if pending is None or not answer.known:
            return []
        if answer.granted:
            not_run = ledger_record.State.NOT_RUN
            return [] if granted else self._record(pending, not_run, now)
        if answer.state == ledger_record.State.CLAIMED.value:
            return []
        self._repeats = [
            repeat for repeat in self._repeats if repeat.number != answer.ask
        ]
        return [Recorded(answer.ask - self._base)]

    def _record(
        self,
        pending: _Pending,
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
            pending.ask.attempt,
            state.value,
            status,
            content[: ledger_record.MAX_CONTENT],
        )
        number = pending.ask.number
        if self._responsible[location.shard] == self._me:
            return self.handle(self._me, outcome, now)
        for age_s in _REPEATS_S:
            self._repeats.append(_Repeat(now + age_s, number, outcome))
        last = _Repeat(now + _RECORD_HERE_S, number, outcome, is_last=True)
        self._repeats.append(last)
        return self._deliver(_Repeat(now, number, outcome), now)

    def _deliver(self, repeat: _Repeat, now: float) -> list[Output]:
        responsible = self._responsible[repeat.outcome.shard]
        if repeat.is_last or responsible == self._me:
            return self.handle(self._me, repeat.outcome, now)
        return [_send(responsible, repeat.outcome)]


def _asked(
    sender: ids.RouterId,
    message: messages.Claim,
    until: float,
) -> tuple[ledger_record.Location, ledger_slot.Ask] | None:
    location = ledger_record.Location(message.shard, message.slot, message.key)
    claim = ledger_record.Claim(message.key, message.attempt)
    if not ledger_record.valid(location, claim):
        return None
    ask = ledger_slot.Ask(
        sender, message.ask, message.key, message.attempt, until
    )
    return location, ask


def _parts(
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
    if not ledger_record.valid(location, claim):
        return None
    return location, ledger_slot.Outcome(sender, number, claim)


def _send(to: ids.RouterId, message: messages.Message) -> messages.Send:
    return messages.Send(to, message, messages.Priority.ADMISSION)
