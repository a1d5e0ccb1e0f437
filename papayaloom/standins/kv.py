"""In-memory key-value service with fault switches.

:class:`MemoryKv` has the interface of :class:`papayaloom.ports.kv.Kv`;
:mod:`papayaloom.standins.kv_server` serves it over HTTP.
"""

import copy
import threading
import time
import typing

import msgspec

from papayaloom import clock, errors
from papayaloom.ports import kv
from papayaloom.standins import kv_table


class Faults(msgspec.Struct):
    """Fault switches; counts are numbers of calls and count down.

    :param outage: no call takes effect or gets a response.
    :param refuse: calls refused with status 503, without effect.
    :param drop_before: calls lost before they take effect.
    :param drop_reply: calls that take effect but whose response is lost.
    :param late_writes: writes that get no response and take effect
        ``late_s`` seconds later.
    :param slow_s: duration of every call.
    :param stale_s: reads return the state of this many seconds ago.
    :param writes_per_s: rate of writes, 0 for no limit.
    :param reads_per_s: rate of reads and watches, 0 for no limit.
    :param only: ``writes`` or ``reads`` limits the counts to such calls.
    """

    outage: bool = False
    refuse: int = 0
    drop_before: int = 0
    drop_reply: int = 0
    late_writes: int = 0
    late_s: float = 1.0
    slow_s: float = 0
    stale_s: float = 0
    writes_per_s: float = 0
    reads_per_s: float = 0
    only: str = ''

    def change(self, **switches: object) -> None:
        """Set switches by name.

        :raises ValueError: a switch does not exist or its value is invalid.
        """
        fields = {**msgspec.to_builtins(self), **switches}
        unknown = set(fields) - set(self.__struct_fields__)
        if unknown:
            raise ValueError(
                'unknown fault switch {0}'.format(', '.join(unknown))
            )
        # Checks the types first, so that all switches change or none.
        checked = msgspec.convert(fields, Faults)
        for name in self.__struct_fields__:
            setattr(self, name, getattr(checked, name))

    def take(self, switch: str, *, is_write: bool) -> bool:
        """Consume one call of a counted switch; False if none is left."""
        left: int = getattr(self, switch)
        kind = 'writes' if is_write else 'reads'
        if left <= 0 or self.only not in {'', kind}:
            return False
        setattr(self, switch, left - 1)
        return True


class Counts(msgspec.Struct):
    """Calls that reached the service, including refused ones."""

    writes: int = 0
    reads: int = 0
    watches: int = 0
    waiting: int = 0


class _TokenBucket:
    """Token bucket that allows a burst of one second."""

    def __init__(self) -> None:
        self._level: float = 0
        self._updated = float('-inf')

    def take(self, now: float, rate: float) -> bool:
        """Take one token; False if there is none."""
        if rate <= 0:
            return True
        refilled = self._level + (now - self._updated) * rate
        self._level = min(max(rate, 1), refilled)
        self._updated = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


_Result = typing.TypeVar('_Result')


class MemoryKv:
    """Thread-safe in-memory key-value service.

    :param time_source: clock for leases, rates and late writes.
    :param sleep: called with the duration of a slow call; with a
        ``VirtualClock``, pass its ``advance``.
    :param blocking: whether a watch waits for a change. With a virtual
        clock it must return at once.
    :param timeout_s: a slower call raises after it has taken effect, as a
        client's timeout does.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        *,
        sleep: typing.Callable[[float], None] = time.sleep,
        blocking: bool = False,
        timeout_s: float = 2.0,
    ) -> None:
        """Start empty and without faults."""
        self.faults = Faults()
        self.counts = Counts()
        self._clock = time_source
        self._sleep = sleep
        self._blocking = blocking
        self._timeout_s = timeout_s
        self._table = kv_table.Table()
        self._changed = threading.Condition()
        self._cuts = 0
        self._write_bucket = _TokenBucket()
        self._read_bucket = _TokenBucket()
        self._late_writes: list[tuple[float, typing.Callable[[], object]]] = []

    def get(self, key: str) -> kv.Entry | None:
        """Return the entry of a key, or None."""

        def read() -> kv.Entry | None:
            if self.faults.stale_s:
                return self._stale_entries().get(key)
            return self._table.get(key)

        return self._call(read, is_write=False)

    def list_prefix(
        self,
        prefix: str,
        after: str = '',
        limit: int = 1000,
        *,
        values: bool = True,
    ) -> kv.Listing:
        """Return the entries of a prefix in lexical order."""

        def read() -> kv.Listing:
            found = list(self._list(prefix, after, limit + 1))
            if not values:
                found = [
                    msgspec.structs.replace(entry, value=b'') for entry in found
                ]
            return kv.Listing(
                tuple(found[:limit]),
                more=len(found) > limit,
                revision=self._table.revision,
                epoch=self._table.epoch,
            )

        return self._call(read, is_write=False)

    def put(
        self,
        key: str,
        value: bytes,
        expect: int,
        lease: str = '',
    ) -> kv.WriteResult:
        """Write a key if it has the expected revision."""
        if len(value) > kv.MAX_VALUE_BYTES:
            raise errors.StoreUnavailableError(
                f'value of {key} has {len(value)} bytes, over the limit',
            )
        body = kv.PutBody(value, expect, lease)
        return self._call(
            lambda: self._table.put(self._clock.monotonic(), key, body),
            is_write=True,
        )

    def delete(self, key: str, expect: int) -> kv.WriteResult:
        """Delete a key if it has the expected revision."""
        return self._call(
            lambda: self._table.delete(self._clock.monotonic(), key, expect),
            is_write=True,
        )

    def grant_lease(self, term_s: float) -> kv.Lease:
        """Return a new lease."""
        return self._call(
            lambda: self._table.grant(self._clock.monotonic(), term_s),
            is_write=True,
        )

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; False when it has expired."""
        return self._call(
            lambda: self._table.keep(self._clock.monotonic(), lease),
            is_write=True,
        )

    def revoke_lease(self, lease: str) -> None:
        """Revoke a lease and delete its keys."""
        self._call(
            lambda: self._table.revoke(self._clock.monotonic(), lease),
            is_write=True,
        )

    def watch(self, prefix: str, after: int, wait_s: float) -> kv.WatchResult:
        """Wait for changes to a prefix."""
        deadline = self._clock.monotonic() + wait_s
        cuts = self._cuts
        self.counts.watches += 1
        watched = self._call(
            lambda: self._events(prefix, after), is_write=False
        )
        while self._blocking and not watched.events and not watched.lost:
            with self._changed:
                left = deadline - self._clock.monotonic()
                if left <= 0:
                    break
                self.counts.waiting += 1
                # Leases expire without a call, so check for it periodically.
                self._changed.wait(min(left, 0.5))
                self.counts.waiting -= 1
                if self._cuts > cuts:
                    raise errors.StoreDisconnectedError('the watch was cut')
                self._apply_due_changes()
                watched = self._events(prefix, after)
        return watched

    def cut_watches(self) -> None:
        """Close the connections of all watches that wait."""
        with self._changed:
            self._cuts += 1
            self._changed.notify_all()

    @property
    def epoch(self) -> int:
        """Number of times that the service returned to an earlier state."""
        return self._table.epoch

    def backup(self) -> kv_table.Table:
        """Return a copy of the state, for :meth:`restore`."""
        with self._changed:
            return copy.deepcopy(self._table)

    def restore(self, backup: kv_table.Table) -> None:
        """Return to an earlier state; later changes and leases are lost."""
        with self._changed:
            restored = copy.deepcopy(backup)
            restored.epoch = self._table.epoch + 1
            self._table = restored
            self._changed.notify_all()

    def _call(
        self,
        effect: typing.Callable[[], _Result],
        *,
        is_write: bool,
    ) -> _Result:
        with self._changed:
            self._apply_due_changes()
            self._admit(is_write=is_write)
            if is_write and self.faults.take('late_writes', is_write=True):
                due = self._clock.monotonic() + self.faults.late_s
                self._late_writes.append((due, effect))
                raise errors.StoreUnavailableError('no answer in time')
            answer = effect()
            lost = self.faults.take('drop_reply', is_write=is_write)
            self._changed.notify_all()
        if self.faults.slow_s:
            self._sleep(min(self.faults.slow_s, self._timeout_s))
        if lost or self.faults.slow_s >= self._timeout_s:
            raise errors.StoreUnavailableError('no answer in time')
        return answer

    def _admit(self, *, is_write: bool) -> None:
        now = self._clock.monotonic()
        if is_write:
            self.counts.writes += 1
            within = self._write_bucket.take(now, self.faults.writes_per_s)
        else:
            self.counts.reads += 1
            within = self._read_bucket.take(now, self.faults.reads_per_s)
        lost = self.faults.outage or self.faults.take(
            'drop_before', is_write=is_write
        )
        if lost:
            raise errors.StoreUnavailableError('no answer in time')
        if not within:
            raise errors.StoreUnavailableError('over the rate')
        if self.faults.take('refuse', is_write=is_write):
            raise errors.StoreUnavailableError('refused')

    def _apply_due_changes(self) -> None:
        now = self._clock.monotonic()
        due = [write for write in self._late_writes if write[0] <= now]
        for write in due:
            self._late_writes.remove(write)
            write[1]()
        self._table.expire(now)

    def _stale_entries(self) -> dict[str, kv.Entry]:
        return self._table.entries_at(
            self._clock.monotonic() - self.faults.stale_s,
        )

    def _list(self, prefix: str, after: str, limit: int) -> list[kv.Entry]:
        if self.faults.stale_s:
            past = self._stale_entries()
            keys = sorted(
                key for key in past if key.startswith(prefix) and key > after
            )
            return [past[key] for key in keys[:limit]]
        found = self._table.list_keys(prefix, after)
        return [entry for _, entry in zip(range(limit), found, strict=False)]

    def _events(self, prefix: str, after: int) -> kv.WatchResult:
        table = self._table
        # Every revision has one event, except that of a granted lease.
        is_discarded = (
            len(table.events) == kv_table.MAX_EVENTS
            and table.events[0].revision > after + 1
        )
        lost = is_discarded or after > table.revision
        fresh = tuple(
            event
            for event in table.events
            if event.revision > after and event.key.startswith(prefix)
        )
        return kv.WatchResult(
            () if lost else fresh, table.revision, lost, table.epoch
        )
