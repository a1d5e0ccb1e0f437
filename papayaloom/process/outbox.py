"""Outgoing control messages under a byte budget, in priority order."""

import collections
import enum
import typing

import msgspec

from papayaloom import ids, messages


class Drop(enum.Enum):
    """Why a message left the outbox unsent."""

    FULL = 'queue full'
    OLD = 'waited too long'
    LARGE = 'larger than the burst'


class Cfg(msgspec.Struct, frozen=True):
    """Settings of the outbox.

    :param bytes_per_second: refill of the budget.
    :param burst_bytes: most bytes that may be sent at once.
    :param queue_bytes: most bytes that may wait.
    :param max_wait_s: a message that waited longer is dropped, because its
        content is out of date; hand-over and full state wait as long as
        needed.
    """

    bytes_per_second: float = 6000
    burst_bytes: float = 12000
    queue_bytes: int = 262144
    max_wait_s: float = 3


class Codec(typing.Protocol):
    """What the outbox needs of :class:`papayaloom.connection.codec.Codec`."""

    overhead: int

    def encode(self, message: messages.Message) -> bytes:
        """Return the body of a message."""

    def seal(self, body: bytes, receiver: ids.RouterId) -> bytes:
        """Wrap a body for its receiver."""


class Packet(msgspec.Struct, frozen=True):
    """A sealed message, ready for the socket."""

    to: ids.RouterId
    content: bytes


class Dump(msgspec.Struct, frozen=True):
    """State of the outbox for the dump.

    :param waiting: messages that wait, by priority.
    """

    waiting: dict[str, int]
    waiting_bytes: int
    sent_bytes: dict[str, int]
    dropped: dict[str, int]
    delayed: int
    budget_bytes: float


class _Waiting(msgspec.Struct, frozen=True):
    to: ids.RouterId
    body: bytes
    size: int
    since: float


_PATIENT = (messages.Priority.HANDOVER, messages.Priority.BULK)


class Outbox:
    """Queue of control messages towards all other routers.

    Messages are sealed when they leave, so that waiting never makes a
    sequence number old.
    """

    def __init__(self, cfg: Cfg, codec: Codec, now: float) -> None:
        """Start with a full budget."""
        self._cfg = cfg
        self._codec = codec
        self._tokens = cfg.burst_bytes
        self._refilled = now
        self._bytes = 0
        self._delayed = 0
        self._queues: dict[messages.Priority, collections.deque[_Waiting]] = {
            priority: collections.deque() for priority in messages.Priority
        }
        self._sent: collections.Counter[str] = collections.Counter()
        self._dropped: collections.Counter[Drop] = collections.Counter()

    def configure(self, cfg: Cfg) -> None:
        """Take a new budget; waiting messages stay."""
        self._cfg = cfg

    def put(self, sends: typing.Iterable[messages.Send], now: float) -> None:
        """Queue messages; when full, the least important ones go first."""
        for send in sends:
            body = self._codec.encode(send.message)
            size = len(body) + self._codec.overhead
            if size > self._cfg.burst_bytes:
                self._dropped[Drop.LARGE] += 1
            elif self._make_room(size, send.priority):
                self._bytes += size
                self._queues[send.priority].append(
                    _Waiting(send.to, body, size, now)
                )
            else:
                self._dropped[Drop.FULL] += 1

    def take(self, now: float) -> list[Packet]:
        """Return the messages that the budget allows now, most urgent first.

        A message that does not fit holds back all less urgent ones, so that
        small bulk messages cannot starve a large urgent one.
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
        """Return how many bytes of one priority wait."""
        return sum(waiting.size for waiting in self._queues[priority])

    def dump(self, now: float) -> Dump:
        """Return the state for the dump."""
        self._refill(now)
        return Dump(
            waiting={
                priority.name.lower(): len(queue)
                for priority, queue in self._queues.items()
            },
            waiting_bytes=self._bytes,
            sent_bytes=dict(self._sent),
            dropped={
                reason.value: count for reason, count in self._dropped.items()
            },
            delayed=self._delayed,
            budget_bytes=round(self._tokens, 1),
        )

    def _refill(self, now: float) -> None:
        gained = (now - self._refilled) * self._cfg.bytes_per_second
        self._tokens = min(self._tokens + gained, self._cfg.burst_bytes)
        self._refilled = now

    def _pop(
        self,
        priority: messages.Priority,
        queue: collections.deque[_Waiting],
    ) -> Packet:
        waiting = queue.popleft()
        self._bytes -= waiting.size
        packet = self._codec.seal(waiting.body, waiting.to)
        self._tokens -= len(packet)
        self._sent[priority.name.lower()] += len(packet)
        return Packet(waiting.to, packet)

    def _expire(
        self,
        priority: messages.Priority,
        queue: collections.deque[_Waiting],
        now: float,
    ) -> None:
        if priority in _PATIENT:
            return
        while queue and queue[0].since < now - self._cfg.max_wait_s:
            self._bytes -= queue.popleft().size
            self._dropped[Drop.OLD] += 1

    def _make_room(self, size: int, priority: messages.Priority) -> bool:
        for other in reversed(messages.Priority):
            queue = self._queues[other]
            while other > priority and queue and self._over(size):
                self._bytes -= queue.pop().size
                self._dropped[Drop.FULL] += 1
        return not self._over(size)

    def _over(self, size: int) -> bool:
        return self._bytes + size > self._cfg.queue_bytes
