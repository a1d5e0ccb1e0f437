"""The lease of the holder who gives orders, and its fencing token.

The end of the lease is counted from before the call that started its term was
sent, so the holder believes in it for a shorter time than the store does.
"""

import enum

import msgspec

from papayaloom import ids
from papayaloom.process import store_calls

KEY = 'orders/lease'


class Cfg(msgspec.Struct, frozen=True):
    """Times of the lease.

    :param lease_s: term of the lease.
    :param send_margin_s: what must be left of the lease at each send.
    :param takeover_wait_s: wait of a new holder before its first order.
    :param longest_send_s: longest time from the check before a send until the
        order is at the engine.
    :param retry_s: pause after a store call that failed or lost a race.
    """

    lease_s: float = 10
    send_margin_s: float = 3
    takeover_wait_s: float = 15
    longest_send_s: float = 2
    retry_s: float = 1

    @property
    def wait_s(self) -> float:
        """The takeover wait, at least the term and the longest send."""
        return max(self.takeover_wait_s, self.lease_s + self.longest_send_s)

    @property
    def margin_s(self) -> float:
        """The send margin, at most half of the term.

        A lease is renewed after a third of its term, so a larger margin could
        leave no time to send in.
        """
        return min(self.send_margin_s, self.lease_s / 2)

    @property
    def arrival_s(self) -> float:
        """Longest time from a check until the order is at the engine.

        Up to here a send of an old holder comes before its successor's.
        """
        return self.margin_s + self.wait_s


class State(enum.Enum):
    """Where this process stands with the lease."""

    IDLE = 'idle'
    LOOKING = 'looking'
    FREE = 'free'
    GRANTING = 'granting'
    ACQUIRING = 'acquiring'
    READING = 'reading back'
    HELD = 'held'


class Dump(msgspec.Struct, frozen=True):
    """State of the lease for the dump.

    :param left_s: what is left of the lease, by this process's clock.
    :param waiting_s: what is left of the takeover wait.
    """

    state: str
    fencing: int
    left_s: float
    waiting_s: float


class Lease:
    """One process's part in the lease.

    What a predecessor sent is at the engines by ``ready_at``.

    :param me: name of this process, unique for each start.
    """

    def __init__(self, cfg: Cfg, me: ids.HostId) -> None:
        """Start without the lease."""
        self.state = State.IDLE
        self.fencing = 0
        self._cfg = cfg
        self._me = me
        self._lease = ''
        self._until = float('-inf')
        self.ready_at = float('inf')
        self._due = float('-inf')
        self._operation = 0
        self._sent_at = float('-inf')

    def configure(self, cfg: Cfg) -> None:
        """Take new times; a term that began keeps its length."""
        self._cfg = cfg

    def holds(self, now: float) -> bool:
        """Return whether the lease is held and not over."""
        return self.state is State.HELD and now < self._until

    def may_send(self, now: float) -> bool:
        """Return whether an order may be sent at this moment."""
        left_s = self._until - now
        ready = self.holds(now) and now >= self.ready_at
        return ready and left_s > self._cfg.margin_s

    def lose(self, now: float) -> None:
        """Give up the lease, for example when an engine refused its token."""
        self.state = State.IDLE
        self.fencing = 0
        self._operation = 0
        self._until = float('-inf')
        self.ready_at = float('inf')
        self._due = now + self._cfg.retry_s

    def tick(self, now: float, operation: int) -> list[store_calls.Call]:
        """Acquire or renew the lease when it is due.

        :param operation: number for the call that may be made.
        """
        if self.state is State.HELD and now >= self._until:
            self.lose(now)
        if self._operation or now < self._due:
            return []
        self._operation = operation
        self._sent_at = now
        if self.state is State.HELD:
            return [store_calls.KeepLease(operation, self._lease)]
        if self.state is State.READING:
            return [store_calls.Read(operation, KEY)]
        if self.state is State.ACQUIRING:
            return [
                store_calls.CompareAndSwap(
                    operation, KEY, self._value, 0, self._lease
                )
            ]
        if self.state is State.IDLE:
            # A read tells most processes that another one holds the lease.
            self.state = State.LOOKING
            return [store_calls.Read(operation, KEY)]
        self.state = State.GRANTING
        # The end of the term counts from here until the first renewal.
        self._until = now + self._cfg.lease_s
        return [store_calls.GrantLease(operation, self._cfg.lease_s)]

    def stored(self, call_result: store_calls.Stored, now: float) -> None:
        """Take the result of a store call; others are ignored."""
        if call_result.operation != self._operation:
            return
        self._operation = 0
        if self.state is State.LOOKING:
            self._looked(call_result, now)
        elif self.state is State.GRANTING:
            self._granted(call_result, now)
        elif self.state is State.HELD:
            self._kept(call_result, now)
        else:
            self._acquired(call_result, now)

    def dump(self, now: float) -> Dump:
        """Return the state of the lease."""
        held = self.state is State.HELD
        return Dump(
            self.state.value,
            self.fencing,
            round(max(self._until - now, 0), 3) if held else 0,
            round(max(self.ready_at - now, 0), 3) if held else 0,
        )

    @property
    def _value(self) -> bytes:
        # An acquisition that comes into effect late has another lease.
        return f'{self._me} {self._lease}'.encode()

    def _looked(self, call_result: store_calls.Stored, now: float) -> None:
        self.lose(now)
        if isinstance(call_result, store_calls.Entry):
            is_free = call_result.content is None
            self.state = State.FREE if is_free else State.IDLE
            self._due = now if is_free else now + self._cfg.lease_s

    def _granted(self, call_result: store_calls.Stored, now: float) -> None:
        if isinstance(call_result, store_calls.LeaseResult):
            self._lease = call_result.lease
            self.state = State.ACQUIRING
        else:
            self.lose(now)

    def _acquired(self, call_result: store_calls.Stored, now: float) -> None:
        if isinstance(call_result, store_calls.Failed):
            # The write may have taken effect: its value tells whose it is.
            self.state = State.READING
            self._due = now + self._cfg.retry_s
            return
        own = isinstance(call_result, store_calls.Applied)
        if isinstance(call_result, (store_calls.Entry, store_calls.Conflict)):
            own = call_result.content == self._value
        if not own or now >= self._until:
            self.lose(now)
            return
        self.state = State.HELD
        self.fencing = _revision(call_result)
        self.ready_at = now + self._cfg.wait_s
        self._due = self._sent_at + self._cfg.lease_s / 3

    def _kept(self, call_result: store_calls.Stored, now: float) -> None:
        if isinstance(call_result, store_calls.Failed):
            self._due = now + self._cfg.retry_s
        elif (
            isinstance(call_result, store_calls.LeaseResult)
            and call_result.lease
        ):
            self._until = self._sent_at + self._cfg.lease_s
            self._due = self._sent_at + self._cfg.lease_s / 3
        else:
            self.lose(now)


def _revision(call_result: store_calls.Stored) -> int:
    if isinstance(
        call_result,
        (store_calls.Applied, store_calls.Entry, store_calls.Conflict),
    ):
        return call_result.revision
    return 0
