"""State of the in-memory key-value service, without faults and locks."""

import bisect
import collections
import itertools
import typing

import msgspec

from papayaloom.ports import kv

# Older changes are discarded; a watch that asks for them gets ``lost``.
MAX_EVENTS = 10_000


class _Lease(msgspec.Struct):
    term_s: float
    expires: float
    keys: set[str]


class Table:
    """Keys, revisions, changes and leases."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 0
        self.epoch = 0
        self.events: collections.deque[kv.Event] = collections.deque(
            maxlen=MAX_EVENTS,
        )
        self._entries: dict[str, kv.Entry] = {}
        self._sorted: list[str] = []
        self._leases: dict[str, _Lease] = {}
        # Time, key and previous entry of each change, for stale reads.
        self._undo: collections.deque[tuple[float, str, kv.Entry | None]] = (
            collections.deque(maxlen=MAX_EVENTS)
        )

    def entries_at(self, at: float) -> dict[str, kv.Entry]:
        """Return the entries as they were at a time."""
        past = dict(self._entries)
        for changed, key, previous in reversed(self._undo):
            if changed <= at:
                break
            if previous is None:
                past.pop(key, None)
            else:
                past[key] = previous
        return past

    def get(self, key: str) -> kv.Entry | None:
        """Return the entry of a key."""
        return self._entries.get(key)

    def list_keys(self, prefix: str, after: str) -> typing.Iterator[kv.Entry]:
        """Return the entries of a prefix after a key."""
        start = bisect.bisect_left(self._sorted, prefix)
        if after:
            start = max(start, bisect.bisect_right(self._sorted, after))
        for key in itertools.islice(self._sorted, start, None):
            if not key.startswith(prefix):
                return
            yield self._entries[key]

    def put(self, now: float, key: str, body: kv.PutBody) -> kv.WriteResult:
        """Write an entry by compare-and-swap."""
        current = self._entries.get(key)
        revision = current.revision if current else kv.ABSENT
        if revision != body.expect:
            return kv.WriteResult(done=False, current=current)
        if body.lease and body.lease not in self._leases:
            return kv.WriteResult(done=False, current=current)
        if current is None:
            bisect.insort(self._sorted, key)
        elif current.lease:
            self._leases[current.lease].keys.discard(key)
        if body.lease:
            self._leases[body.lease].keys.add(key)
        self.revision += 1
        self._entries[key] = kv.Entry(
            key, body.value, self.revision, body.lease
        )
        self._undo.append((now, key, current))
        self.events.append(kv.Event(key, self.revision, body.value))
        return kv.WriteResult(done=True, revision=self.revision)

    def delete(self, now: float, key: str, expect: int) -> kv.WriteResult:
        """Delete an entry by compare-and-swap."""
        current = self._entries.get(key)
        if current is None or current.revision != expect:
            return kv.WriteResult(done=False, current=current)
        self._entries.pop(key)
        self._sorted.pop(bisect.bisect_left(self._sorted, key))
        if current.lease:
            self._leases[current.lease].keys.discard(key)
        self.revision += 1
        self._undo.append((now, key, current))
        self.events.append(kv.Event(key, self.revision, deleted=True))
        return kv.WriteResult(done=True, revision=self.revision)

    def grant(self, now: float, term_s: float) -> kv.Lease:
        """Return a new lease."""
        self.revision += 1
        lease = f'lease-{self.revision}'
        self._leases[lease] = _Lease(term_s, now + term_s, set())
        return kv.Lease(lease, term_s)

    def keep(self, now: float, lease: str) -> bool:
        """Renew a lease; False when it has expired."""
        lease_state = self._leases.get(lease)
        if lease_state is None:
            return False
        lease_state.expires = now + lease_state.term_s
        return True

    def revoke(self, now: float, lease: str) -> None:
        """Revoke a lease and delete its keys."""
        lease_state = self._leases.get(lease)
        if lease_state is not None:
            for key in sorted(lease_state.keys):
                self.delete(now, key, self._entries[key].revision)
            self._leases.pop(lease)

    def expire(self, now: float) -> None:
        """Revoke the leases that have expired."""
        for lease, lease_state in list(self._leases.items()):
            if lease_state.expires <= now:
                self.revoke(now, lease)
