"""Reads and writes of ledger records, batched by record.

The writer asks for store calls (:mod:`papayaloom.process.store_calls`). An
actor carries them out and hands the results back to :meth:`Writer.stored`.
"""

import typing

import msgspec

from papayaloom import errors
from papayaloom.process import ledger_record, ledger_slot, store_calls

# Records of this many deletions are listed at a time; 10 become due a sweep.
_SWEEP_KEYS = 20
_UNREADABLE_RETRY_S = 10
# One lost reply holds up its own record only.
_FAILURES_OF_OUTAGE = 2
# Up to 4 s between the probes of a router with the default pause; with 360
# routers that is 90 calls/s to a store that is down.
_MAX_DOUBLINGS = 4


class Cfg(msgspec.Struct, frozen=True):
    """Rates and times of the ledger's store calls.

    :param writes_per_s: writes a second and shard.
    :param outcome_delay_s: how long an outcome waits for calls to join it.
    :param retry_s: pause after a store call without an answer.
    :param refresh_s: how old a read may be that says "in progress".
    :param sweep_s: seconds between two deletions of old records of a shard.
    :param idle_s: how long an unused record stays in memory.
    """

    writes_per_s: float = 4
    outcome_delay_s: float = 0.25
    retry_s: float = 0.25
    refresh_s: float = 2
    sweep_s: float = 100
    idle_s: float = 60


Effect = store_calls.Call
Stored = store_calls.Stored
Failed = store_calls.Failed
Output = Effect | ledger_slot.Answered


class Counts(msgspec.Struct):
    """What the writer did since its start."""

    reads: int = 0
    writes: int = 0
    deletes: int = 0
    lists: int = 0
    conflicts: int = 0
    lost_replies: int = 0
    unreadable: int = 0
    written_bytes: int = 0


class _Gate:
    """Lets one call a pause through while the store does not answer.

    The pause doubles with each failure.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._pause_s: float = 0
        self._probe_at = float('-inf')

    def answered(self) -> None:
        """Note that the store answered."""
        self._failures = 0

    def failed(self, now: float, pause_s: float) -> None:
        """Note that the store did not answer."""
        self._failures += 1
        doublings = min(self._failures - 1, _MAX_DOUBLINGS)
        self._pause_s = pause_s * 2**doublings
        self._probe_at = now + self._pause_s

    def is_open(self, now: float) -> bool:
        """Return whether a call may be made now, and count it."""
        if self._failures < _FAILURES_OF_OUTAGE:
            return True
        if now < self._probe_at:
            return False
        self._probe_at = now + self._pause_s
        return True


class Writer:
    """Records that this router works on, and its store calls."""

    def __init__(self, cfg: Cfg) -> None:
        """Start without records."""
        self.counts = Counts()
        self._cfg = cfg
        self._slots: dict[str, ledger_slot.Slot] = {}
        self._used_at: dict[str, float] = {}
        self._operation = 0
        self._operations: dict[int, str] = {}
        self._proposals: dict[int, ledger_slot.Proposal] = {}
        self._write_at: dict[int, float] = {}
        self._unix_ms = 0
        self._sweep_at: dict[int, float] = {}
        self._gate = _Gate()

    @property
    def idle(self) -> bool:
        """Whether nothing waits to be written."""
        return all(slot.idle for slot in self._slots.values())

    def configure(self, cfg: Cfg) -> None:
        """Take new rates and times."""
        self._cfg = cfg

    def ask(
        self,
        location: ledger_record.Location,
        ask: ledger_slot.Ask,
        now: float,
    ) -> list[Output]:
        """Claim a call by its record."""
        slot = self._slot(location.shard, location.slot, now)
        if slot.full:
            return [ledger_slot.unknown(ask)]
        slot.add(ask)
        return self._work(slot, now)

    def record(
        self,
        location: ledger_record.Location,
        outcome: ledger_slot.Outcome,
        now: float,
    ) -> list[Output]:
        """Record the outcome of a call."""
        slot = self._slot(location.shard, location.slot, now)
        slot.record(outcome, now + self._cfg.outcome_delay_s)
        return self._work(slot, now)

    def stored(self, stored: store_calls.Stored, now: float) -> list[Output]:
        """Take the result of a store call."""
        key = self._operations.pop(stored.operation, '')
        if isinstance(stored, store_calls.Failed):
            self.counts.lost_replies += 1
            self._gate.failed(now, self._cfg.retry_s)
        else:
            self._gate.answered()
        if isinstance(stored, store_calls.Keys):
            return self._delete(stored)
        slot = self._slots.get(key)
        if slot is None or slot.operation != stored.operation:
            return []
        slot.operation = 0
        proposal = self._proposals.pop(stored.operation, None)
        if isinstance(stored, store_calls.Failed):
            slot.must_read = True
            slot.retry_at = now + self._cfg.retry_s
            return []
        if isinstance(stored, store_calls.Swapped):
            answered: list[Output] = []
            if proposal is not None:
                answered += slot.commit(proposal, stored.revision, now)
            return answered + self._work(slot, now)
        if isinstance(stored, store_calls.Leased):
            return []
        if isinstance(stored, store_calls.Conflict):
            # Waiting would let the other router change the record again.
            self.counts.conflicts += 1
            self._write_at.pop(slot.shard, None)
        return self._load(slot, stored, now)

    def tick(self, now: float, unix_ms: int) -> list[Output]:
        """Do the work that is due."""
        self._unix_ms = unix_ms
        outputs: list[Output] = []
        for key, slot in tuple(self._slots.items()):
            slot.expire(now)
            outputs += self._work(slot, now)
            if slot.idle and self._used_at[key] < now - self._cfg.idle_s:
                self._slots.pop(key)
                self._used_at.pop(key)
        return outputs

    def sweep(
        self,
        shards: typing.Iterable[int],
        now: float,
    ) -> list[Output]:
        """Look for the records that are past their time, when it is due.

        :param shards: the shards that this router is responsible for.
        """
        outputs: list[Output] = []
        for shard in shards:
            first = now + self._cfg.sweep_s * shard / ledger_record.SHARDS
            if self._sweep_at.setdefault(shard, first) <= now:
                self._sweep_at[shard] = now + self._cfg.sweep_s
                self.counts.lists += 1
                prefix = ledger_record.shard_prefix(shard)
                operation = self._begin(prefix)
                outputs.append(
                    store_calls.ListKeys(operation, prefix, _SWEEP_KEYS)
                )
        return outputs

    def _slot(self, shard: int, number: int, now: float) -> ledger_slot.Slot:
        key = ledger_record.record_key(shard, number)
        self._used_at[key] = now
        if key not in self._slots:
            slot = ledger_slot.Slot(shard, number)
            # A current record is written without a read; a conflict brings it.
            newest = self._unix_ms // ledger_record.SLOT_MS
            slot.must_read = number < newest - 1
            self._slots[key] = slot
        return self._slots[key]

    def _begin(self, key: str) -> int:
        self._operation += 1
        self._operations[self._operation] = key
        return self._operation

    def _work(self, slot: ledger_slot.Slot, now: float) -> list[Output]:
        if not slot.due(now):
            return []
        outputs: list[Output] = []
        if not slot.must_read:
            outputs += slot.decide(now - self._cfg.refresh_s)
        if not slot.due(now) or not self._gate.is_open(now):
            return outputs
        if slot.must_read:
            self.counts.reads += 1
            slot.operation = self._begin(slot.key)
            return [*outputs, store_calls.Read(slot.operation, slot.key)]
        if now < self._write_at.get(slot.shard, now):
            return outputs
        return outputs + self._write(slot, now)

    def _write(self, slot: ledger_slot.Slot, now: float) -> list[Output]:
        proposal = slot.propose()
        if proposal is None:
            return list(slot.settle_outcomes(len(slot.outcomes)))
        self._write_at[slot.shard] = now + 1 / self._cfg.writes_per_s
        content = ledger_record.encode(proposal.claims)
        self.counts.writes += 1
        self.counts.written_bytes += len(content)
        slot.operation = self._begin(slot.key)
        self._proposals[slot.operation] = proposal
        return [
            store_calls.CompareAndSwap(
                slot.operation, slot.key, content, slot.revision
            )
        ]

    def _load(
        self,
        slot: ledger_slot.Slot,
        entry: store_calls.Entry | store_calls.Conflict,
        now: float,
    ) -> list[Output]:
        try:
            slot.load(entry.content, entry.revision, now)
        except errors.CodecError:
            # The record is left as it is: a claim in it may have run.
            self.counts.unreadable += 1
            slot.must_read = True
            slot.retry_at = now + _UNREADABLE_RETRY_S
            return []
        return self._work(slot, now)

    def _delete(self, listed: store_calls.Keys) -> list[Output]:
        newest = (self._unix_ms - ledger_record.KEEP_MS) // (
            ledger_record.SLOT_MS
        )
        outputs: list[Output] = []
        for key, revision in listed.keys:
            if ledger_record.slot_of(key) < newest:
                self.counts.deletes += 1
                outputs.append(
                    store_calls.Delete(self._begin(key), key, revision)
                )
        return outputs
