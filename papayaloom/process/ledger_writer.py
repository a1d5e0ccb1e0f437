"""Reads and writes ledger records, batching the changes to each record.

The writer returns store calls (:mod:`papayaloom.process.store_calls`). An actor
executes them and passes the results to :meth:`Writer.handle_result`.
"""

import typing

import msgspec

from papayaloom import errors
from papayaloom.process import ledger_record, ledger_slot, store_calls

# Maximum keys listed per sweep of a shard; 10 records expire per sweep.
_SWEEP_PAGE_KEYS = 20
_UNREADABLE_RETRY_S = 10
# A single lost reply delays only its own record.
_OUTAGE_FAILURES = 2
# With the default retry interval, a router calls an unavailable store at most
# every 4 s. 360 routers then make 90 calls/s.
_MAX_DOUBLINGS = 4


class Cfg(msgspec.Struct, frozen=True):
    """Rates and intervals of the ledger's store calls.

    :param writes_per_s: maximum write rate per shard.
    :param outcome_delay_s: delay before an outcome is written on its own, so
        that it can be batched with claims.
    :param retry_s: delay after a store call that got no reply.
    :param refresh_s: maximum age of a read that reports a call as in progress.
    :param sweep_s: interval between sweeps for expired records of a shard.
    :param idle_s: how long an unused record stays in memory.
    """

    writes_per_s: float = 4
    outcome_delay_s: float = 0.25
    retry_s: float = 0.25
    refresh_s: float = 2
    sweep_s: float = 100
    idle_s: float = 60


StoreCall = store_calls.Call
CallResult = store_calls.CallResult
Failed = store_calls.Failed
Output = StoreCall | ledger_slot.ClaimReply


class Counts(msgspec.Struct):
    """Counters since the start of the process."""

    reads: int = 0
    writes: int = 0
    deletes: int = 0
    lists: int = 0
    conflicts: int = 0
    lost_replies: int = 0
    unreadable: int = 0
    written_bytes: int = 0


class _StoreBackoff:
    """Limits calls to an unavailable store to one per backoff interval.

    The interval doubles with each failure, up to a limit.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._interval_s: float = 0
        self._next_call_at = float('-inf')

    def record_success(self) -> None:
        """Reset the failure count after a reply from the store."""
        self._failures = 0

    def record_failure(self, now: float, interval_s: float) -> None:
        """Count a call without a reply and double the interval."""
        self._failures += 1
        doublings = min(self._failures - 1, _MAX_DOUBLINGS)
        self._interval_s = interval_s * 2**doublings
        self._next_call_at = now + self._interval_s

    def allow_call(self, now: float) -> bool:
        """Return whether a call may be made now; reserves the interval."""
        if self._failures < _OUTAGE_FAILURES:
            return True
        if now < self._next_call_at:
            return False
        self._next_call_at = now + self._interval_s
        return True


class Writer:
    """Records with pending work at this router, and their store calls."""

    def __init__(self, cfg: Cfg) -> None:
        """Initialise the writer without any records."""
        self.counts = Counts()
        self._cfg = cfg
        self._slots: dict[str, ledger_slot.Slot] = {}
        self._last_used_at: dict[str, float] = {}
        self._last_operation = 0
        self._operation_keys: dict[int, str] = {}
        self._proposals: dict[int, ledger_slot.Proposal] = {}
        self._next_write_at: dict[int, float] = {}
        self._unix_ms = 0
        self._next_sweep_at: dict[int, float] = {}
        self._backoff = _StoreBackoff()

    @property
    def is_idle(self) -> bool:
        """Whether no record has pending work."""
        return all(slot.is_idle for slot in self._slots.values())

    def configure(self, cfg: Cfg) -> None:
        """Apply a new configuration."""
        self._cfg = cfg

    def claim(
        self,
        location: ledger_record.Location,
        request: ledger_slot.ClaimRequest,
        now: float,
    ) -> list[Output]:
        """Queue a claim request for its record."""
        slot = self._slot(location.shard, location.slot, now)
        if slot.is_full:
            return [ledger_slot.undecided_reply(request)]
        slot.add(request)
        return self._advance(slot, now)

    def record(
        self,
        location: ledger_record.Location,
        outcome: ledger_slot.Outcome,
        now: float,
    ) -> list[Output]:
        """Queue the outcome of a call for its record."""
        slot = self._slot(location.shard, location.slot, now)
        slot.record(outcome, now + self._cfg.outcome_delay_s)
        return self._advance(slot, now)

    def handle_result(
        self, call_result: store_calls.CallResult, now: float
    ) -> list[Output]:
        """Handle the result of a store call."""
        record_key = self._operation_keys.pop(call_result.operation, '')
        if isinstance(call_result, store_calls.Failed):
            self.counts.lost_replies += 1
            self._backoff.record_failure(now, self._cfg.retry_s)
        else:
            self._backoff.record_success()
        if isinstance(call_result, store_calls.KeyList):
            return self._delete_expired(call_result)
        slot = self._slots.get(record_key)
        if slot is None or slot.operation != call_result.operation:
            return []
        slot.operation = 0
        proposal = self._proposals.pop(call_result.operation, None)
        if isinstance(call_result, store_calls.Failed):
            slot.must_read = True
            slot.retry_at = now + self._cfg.retry_s
            return []
        if isinstance(call_result, store_calls.Applied):
            answered: list[Output] = []
            if proposal is not None:
                answered += slot.commit(proposal, call_result.revision, now)
            return answered + self._advance(slot, now)
        if isinstance(call_result, store_calls.LeaseResult):
            return []
        if isinstance(call_result, store_calls.Conflict):
            # Retry immediately: after a delay, the other router may have
            # changed the record again.
            self.counts.conflicts += 1
            self._next_write_at.pop(slot.shard, None)
        return self._load_record(slot, call_result, now)

    def tick(self, now: float, unix_ms: int) -> list[Output]:
        """Perform the work that is due."""
        self._unix_ms = unix_ms
        outputs: list[Output] = []
        for key, slot in tuple(self._slots.items()):
            slot.expire(now)
            outputs += self._advance(slot, now)
            if (
                slot.is_idle
                and self._last_used_at[key] < now - self._cfg.idle_s
            ):
                self._slots.pop(key)
                self._last_used_at.pop(key)
        return outputs

    def sweep(
        self,
        shards: typing.Iterable[int],
        now: float,
    ) -> list[Output]:
        """List records of the given shards to find expired ones, if due.

        :param shards: shards that this router is responsible for.
        """
        outputs: list[Output] = []
        for shard in shards:
            first = now + self._cfg.sweep_s * shard / ledger_record.SHARDS
            if self._next_sweep_at.setdefault(shard, first) <= now:
                self._next_sweep_at[shard] = now + self._cfg.sweep_s
                self.counts.lists += 1
                prefix = ledger_record.shard_prefix(shard)
                operation = self._new_operation(prefix)
                outputs.append(
                    store_calls.ListKeys(operation, prefix, _SWEEP_PAGE_KEYS)
                )
        return outputs

    def _slot(self, shard: int, number: int, now: float) -> ledger_slot.Slot:
        key = ledger_record.record_key(shard, number)
        self._last_used_at[key] = now
        if key not in self._slots:
            slot = ledger_slot.Slot(shard, number)
            # A recent record is written without reading it first; on a
            # conflict the store returns its contents.
            current_slot = self._unix_ms // ledger_record.SLOT_MS
            slot.must_read = number < current_slot - 1
            self._slots[key] = slot
        return self._slots[key]

    def _new_operation(self, key: str) -> int:
        self._last_operation += 1
        self._operation_keys[self._last_operation] = key
        return self._last_operation

    def _advance(self, slot: ledger_slot.Slot, now: float) -> list[Output]:
        if not slot.is_due(now):
            return []
        outputs: list[Output] = []
        if not slot.must_read:
            outputs += slot.decide(now - self._cfg.refresh_s)
        if not slot.is_due(now) or not self._backoff.allow_call(now):
            return outputs
        if slot.must_read:
            self.counts.reads += 1
            slot.operation = self._new_operation(slot.key)
            return [*outputs, store_calls.Read(slot.operation, slot.key)]
        if now < self._next_write_at.get(slot.shard, now):
            return outputs
        return outputs + self._write(slot, now)

    def _write(self, slot: ledger_slot.Slot, now: float) -> list[Output]:
        proposal = slot.propose()
        if proposal is None:
            return list(slot.settle_outcomes(len(slot.outcomes)))
        self._next_write_at[slot.shard] = now + 1 / self._cfg.writes_per_s
        content = ledger_record.encode(proposal.claims)
        self.counts.writes += 1
        self.counts.written_bytes += len(content)
        slot.operation = self._new_operation(slot.key)
        self._proposals[slot.operation] = proposal
        return [
            store_calls.CompareAndSwap(
                slot.operation, slot.key, content, slot.revision
            )
        ]

    def _load_record(
        self,
        slot: ledger_slot.Slot,
        entry: store_calls.Entry | store_calls.Conflict,
        now: float,
    ) -> list[Output]:
        try:
            slot.load(entry.content, entry.revision, now)
        except errors.CodecError:
            # The record is not overwritten: a call claimed in it may have run.
            self.counts.unreadable += 1
            slot.must_read = True
            slot.retry_at = now + _UNREADABLE_RETRY_S
            return []
        return self._advance(slot, now)

    def _delete_expired(self, listed: store_calls.KeyList) -> list[Output]:
        first_kept_slot = (self._unix_ms - ledger_record.RECORD_TTL_MS) // (
            ledger_record.SLOT_MS
        )
        outputs: list[Output] = []
        for key, revision in listed.keys:
            if ledger_record.slot_of(key) < first_kept_slot:
                self.counts.deletes += 1
                outputs.append(
                    store_calls.Delete(self._new_operation(key), key, revision)
                )
        return outputs
