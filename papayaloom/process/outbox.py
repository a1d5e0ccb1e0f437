"""Priority queue of outgoing control messages with a byte budget."""

import collections
import enum
import typing

import msgspec

from papayaloom import ids, messages


class Drop(enum.Enum):
    """Reason why a message was dropped without being sent."""

    QUEUE_FULL = 'queue full'
    EXPIRED = 'waited too long'
    TOO_LARGE = 'larger than the burst'


class Cfg(msgspec.Struct, frozen=True):
    """Settings of the outbox.

    :param bytes_per_second: refill rate of the byte budget.
    :param burst_bytes: maximum number of bytes sent at once.
    :param queue_bytes: maximum number of queued bytes.
    :param max_wait_s: a message queued for longer is dropped, because its
        content is out of date. Hand-over and full-state messages do not
        expire.
    """

    bytes_per_second: float = 6000
    burst_bytes: float = 12000
    queue_bytes: int = 262144
    max_wait_s: float = 3


class Codec(typing.Protocol):
    """Interface of :class:`papayaloom.connection.codec.Codec` used here."""

    overhead: int

    def encode(self, message: messages.Message) -> bytes:
        """Return the encoded body of a message."""

    def seal(self, body: bytes, receiver: ids.RouterId) -> bytes:
        """Wrap an encoded body for its receiver."""


class Packet(msgspec.Struct, frozen=True):
    """A sealed message, ready for the socket."""

    to: ids.RouterId
    content: bytes


class Dump(msgspec.Struct, frozen=True):
    """Outbox state for the dump.

    :param waiting: number of queued messages, by priority.
    """

    waiting: dict[str, int]
    waiting_bytes: int
    sent_bytes: dict[str, int]
    dropped: dict[str, int]
    delayed: int
    budget_bytes: float


class _QueuedMessage(msgspec.Struct, frozen=True):
    to: ids.RouterId
    body: bytes
    size: int
    queued_at: float


_NON_EXPIRING = (messages.Priority.HANDOVER, messages.Priority.BULK)


class Outbox:
    """Queue of control messages to all other routers.

    Messages are sealed when they are taken from the queue, so that sequence
    numbers are always recent.
    """

    def __init__(self, cfg: Cfg, codec: Codec, now: float) -> None:
        """Create an empty outbox with a full budget."""
        self._cfg = cfg
        self._codec = codec
        self._tokens = cfg.burst_bytes
        self._last_refill = now
        self._queued_bytes = 0
        self._delayed = 0
        self._queues: dict[
            messages.Priority, collections.deque[_QueuedMessage]
        ] = {priority: collections.deque() for priority in messages.Priority}
        self._sent: collections.Counter[str] = collections.Counter()
        self._dropped: collections.Counter[Drop] = collections.Counter()

    def configure(self, cfg: Cfg) -> None:
        """Apply new settings; queued messages are kept."""
        self._cfg = cfg

    def put(self, sends: typing.Iterable[messages.Send], now: float) -> None:
        """Queue messages; a full queue drops the least urgent ones first."""
        for send in sends:
            body = self._codec.encode(send.message)
            size = len(body) + self._codec.overhead
            if size > self._cfg.burst_bytes:
                self._dropped[Drop.TOO_LARGE] += 1
            elif self._make_room(size, send.priority):
                self._queued_bytes += size
                self._queues[send.priority].append(
                    _QueuedMessage(send.to, body, size, now)
                )
            else:
                self._dropped[Drop.QUEUE_FULL] += 1

    def take(self, now: float) -> list[Packet]:
        """Return the messages that fit the current budget, most urgent first.

        A message that does not fit blocks all less urgent ones, so that small
        bulk messages cannot starve a large urgent one.
        """
        self._refill(now)
        packets: list[Packet] = []
        for priority, queue in self._queues.items():
            self._expire(priority, queue, now)
            while queue and queue[0].size <= self._tokens:
                packets.append(self._pop(priority, queue))
            if queue:
                self._delayed += 1
                break
        return packets

    def waiting_bytes(self, priority: messages.Priority) -> int:
        """Return the number of queued bytes of one priority."""
        return sum(queued.size for queued in self._queues[priority])

    def dump(self, now: float) -> Dump:
        """Return the outbox state for the dump."""
        self._refill(now)
        return Dump(
            waiting={
                priority.name.lower(): len(queue)
                for priority, queue in self._queues.items()
            },
            waiting_bytes=self._queued_bytes,
            sent_bytes=dict(self._sent),
            dropped={
                reason.value: count for reason, count in self._dropped.items()
            },
            delayed=self._delayed,
            budget_bytes=round(self._tokens, 1),
        )

    def _refill(self, now: float) -> None:
        refill = (now - self._last_refill) * self._cfg.bytes_per_second
        self._tokens = min(self._tokens + refill, self._cfg.burst_bytes)
        self._last_refill = now

    def _pop(
        self,
        priority: messages.Priority,
        queue: collections.deque[_QueuedMessage],
    ) -> Packet:
        queued = queue.popleft()
        self._queued_bytes -= queued.size
        packet = self._codec.seal(queued.body, queued.to)
        self._tokens -= len(packet)
        self._sent[priority.name.lower()] += len(packet)
        return Packet(queued.to, packet)

    def _expire(
        self,
        priority: messages.Priority,
        queue: collections.deque[_QueuedMessage],
        now: float,
    ) -> None:
        if priority in _NON_EXPIRING:
            return
        while queue and queue[0].queued_at < now - self._cfg.max_wait_s:
            self._queued_bytes -= queue.popleft().size
            self._dropped[Drop.EXPIRED] += 1

    def _make_room(self, size: int, priority: messages.Priority) -> bool:
        for other in reversed(messages.Priority):
            queue = self._queues[other]
            while other > priority and queue and self._exceeds_limit(size):
                self._queued_bytes -= queue.pop().size
                self._dropped[Drop.QUEUE_FULL] += 1
        return not self._exceeds_limit(size)

    def _exceeds_limit(self, size: int) -> bool:
        return self._queued_bytes + size > self._cfg.queue_bytes
