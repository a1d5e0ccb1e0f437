"""Lease that allows one process to send orders, and its fencing token.

The holder computes the expiry from the time just before it sent the call that
started the term, so for the holder the lease ends earlier than in the store.
"""

import enum

import msgspec

from papayaloom import ids
from papayaloom.process import store_calls

KEY = 'orders/lease'


class Cfg(msgspec.Struct, frozen=True):
    """Timing of the lease.

    :param lease_s: term of the lease.
    :param send_margin_s: minimum remaining term for sending an order.
    :param takeover_wait_s: delay before a new holder sends its first order.
    :param longest_send_s: maximum time from the check before a send until the
        order arrives at the engine.
    :param retry_s: delay after a store call that failed or conflicted.
    """

    lease_s: float = 10
    send_margin_s: float = 3
    takeover_wait_s: float = 15
    longest_send_s: float = 2
    retry_s: float = 1

    @property
    def wait_s(self) -> float:
        """The takeover wait, at least the lease term plus the longest send."""
        return max(self.takeover_wait_s, self.lease_s + self.longest_send_s)

    @property
    def margin_s(self) -> float:
        """The send margin, at most half of the lease term.

        A lease is renewed after a third of its term, so a larger margin could
        leave no time to send orders.
        """
        return min(self.send_margin_s, self.lease_s / 2)

    @property
    def arrival_s(self) -> float:
        """Maximum time from a lease check until the order arrives.

        An order that arrives within this time precedes those of the next
        holder.
        """
        return self.margin_s + self.wait_s


class State(enum.Enum):
    """State of this process regarding the lease."""

    IDLE = 'idle'
    LOOKING = 'looking'
    FREE = 'free'
    GRANTING = 'granting'
    ACQUIRING = 'acquiring'
    READING = 'reading back'
    HELD = 'held'


class Dump(msgspec.Struct, frozen=True):
    """Lease section of the state dump.

    :param left_s: remaining term of the lease, by the clock of this process.
    :param waiting_s: remaining takeover wait.
    """

    state: str
    fencing: int
    left_s: float
    waiting_s: float


class Lease:
    """Acquires and renews the lease for one process.

    By ``ready_at``, all orders of the previous holder have arrived.

    :param own_name: name of this process, unique for each start.
    """

    def __init__(self, cfg: Cfg, own_name: ids.HostId) -> None:
        """Initialise without holding the lease."""
        self.state = State.IDLE
        self.fencing = 0
        self._cfg = cfg
        self._own_name = own_name
        self._lease = ''
        self._expires_at = float('-inf')
        self.ready_at = float('inf')
        self._next_call_at = float('-inf')
        self._operation = 0
        self._sent_at = float('-inf')

    def configure(self, cfg: Cfg) -> None:
        """Apply a new configuration; the current term keeps its length."""
        self._cfg = cfg

    def holds(self, now: float) -> bool:
        """Return whether this process holds an unexpired lease."""
        return self.state is State.HELD and now < self._expires_at

    def may_send(self, now: float) -> bool:
        """Return whether an order may be sent at this moment."""
        left_s = self._expires_at - now
        ready = self.holds(now) and now >= self.ready_at
        return ready and left_s > self._cfg.margin_s

    def give_up(self, now: float) -> None:
        """Stop using the lease, for example after an engine refused its token."""
        self.state = State.IDLE
        self.fencing = 0
        self._operation = 0
        self._expires_at = float('-inf')
        self.ready_at = float('inf')
        self._next_call_at = now + self._cfg.retry_s

    def tick(self, now: float, operation: int) -> list[store_calls.Call]:
        """Acquire or renew the lease when it is due.

        :param operation: operation number for a store call, if one is made.
        """
        if self.state is State.HELD and now >= self._expires_at:
            self.give_up(now)
        if self._operation or now < self._next_call_at:
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
                    operation, KEY, self._holder_value, 0, self._lease
                )
            ]
        if self.state is State.IDLE:
            # One read tells most processes that another one holds the lease.
            self.state = State.LOOKING
            return [store_calls.Read(operation, KEY)]
        self.state = State.GRANTING
        # Until the first renewal, the expiry is computed from this time.
        self._expires_at = now + self._cfg.lease_s
        return [store_calls.GrantLease(operation, self._cfg.lease_s)]

    def handle_result(
        self, call_result: store_calls.CallResult, now: float
    ) -> None:
        """Handle the result of a store call; ignore those of other calls."""
        if call_result.operation != self._operation:
            return
        self._operation = 0
        if self.state is State.LOOKING:
            self._handle_check(call_result, now)
        elif self.state is State.GRANTING:
            self._handle_grant(call_result, now)
        elif self.state is State.HELD:
            self._handle_renewal(call_result, now)
        else:
            self._handle_acquisition(call_result, now)

    def dump(self, now: float) -> Dump:
        """Return the state of the lease."""
        held = self.state is State.HELD
        return Dump(
            self.state.value,
            self.fencing,
            round(max(self._expires_at - now, 0), 3) if held else 0,
            round(max(self.ready_at - now, 0), 3) if held else 0,
        )

    @property
    def _holder_value(self) -> bytes:
        # Includes the lease id, to recognise an earlier acquisition of this
        # process that takes effect late.
        return f'{self._own_name} {self._lease}'.encode()

    def _handle_check(
        self, call_result: store_calls.CallResult, now: float
    ) -> None:
        self.give_up(now)
        if isinstance(call_result, store_calls.Entry):
            is_free = call_result.content is None
            self.state = State.FREE if is_free else State.IDLE
            self._next_call_at = now if is_free else now + self._cfg.lease_s

    def _handle_grant(
        self, call_result: store_calls.CallResult, now: float
    ) -> None:
        if isinstance(call_result, store_calls.LeaseResult):
            self._lease = call_result.lease
            self.state = State.ACQUIRING
        else:
            self.give_up(now)

    def _handle_acquisition(
        self, call_result: store_calls.CallResult, now: float
    ) -> None:
        if isinstance(call_result, store_calls.Failed):
            # The write may have taken effect; the stored value names the holder.
            self.state = State.READING
            self._next_call_at = now + self._cfg.retry_s
            return
        is_own = isinstance(call_result, store_calls.Applied)
        if isinstance(call_result, (store_calls.Entry, store_calls.Conflict)):
            is_own = call_result.content == self._holder_value
        if not is_own or now >= self._expires_at:
            self.give_up(now)
            return
        self.state = State.HELD
        self.fencing = _revision(call_result)
        self.ready_at = now + self._cfg.wait_s
        self._next_call_at = self._sent_at + self._cfg.lease_s / 3

    def _handle_renewal(
        self, call_result: store_calls.CallResult, now: float
    ) -> None:
        if isinstance(call_result, store_calls.Failed):
            self._next_call_at = now + self._cfg.retry_s
        elif (
            isinstance(call_result, store_calls.LeaseResult)
            and call_result.lease
        ):
            self._expires_at = self._sent_at + self._cfg.lease_s
            self._next_call_at = self._sent_at + self._cfg.lease_s / 3
        else:
            self.give_up(now)


def _revision(call_result: store_calls.CallResult) -> int:
    if isinstance(
        call_result,
        (store_calls.Applied, store_calls.Entry, store_calls.Conflict),
    ):
        return call_result.revision
    return 0
