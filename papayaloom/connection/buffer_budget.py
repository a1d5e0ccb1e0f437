"""Bound on the bodies that a process holds in memory.

The limit of a single body does not protect the process: hundreds of requests
run at the same time.

Answers the load pattern of some owners that send without end, beside others
with usual bodies: an owner may hold at most as much as is still free (dynamic
thresholds, Choudhury and Hahne, 1998), so that together they never fill the
budget. An owner that is refused while it holds more than the mean has exceeded
its part; another one has only met a full budget.
"""

import collections
import enum
import threading

import msgspec

from papayaloom import errors

# Owners whose usage is remembered; replicas get a new id at each start.
_MAX_OWNERS = 512


class Room(enum.Enum):
    """Whether an owner may hold more bytes."""

    FREE = 'free'
    OTHERS = 'the others have used it'
    EXCEEDED = 'the owner has exceeded its part'


class BufferFullError(errors.PapayaloomError):
    """There is no room for more of a body.

    :param is_excess: its owner has exceeded its part of the budget; otherwise
        other owners may be the cause.
    """

    def __init__(self, message: str, *, is_excess: bool = False) -> None:
        """Store whose fault it is with the message."""
        super().__init__(message)
        self.is_excess = is_excess


class Usage(msgspec.Struct):
    """What an owner has done with the budget.

    :param held: bytes that are counted now.
    :param peak: most bytes that were counted at once.
    :param refused: how often there was no room for more.
    """

    held: int = 0
    peak: int = 0
    refused: int = 0


class Cfg(msgspec.Struct, frozen=True):
    """Sizes in bytes.

    :param total: maximum for all bodies together.
    :param owner: maximum for the bodies of one owner, so that a faulty one
        leaves room for the others.
    :param free: part of each body that counts nowhere, so that a small body
        always has room.
    """

    total: int = 67_108_864
    owner: int = 16_777_216
    free: int = 65_536


DEFAULT = Cfg()


class BufferBudget:
    """Counts the buffered bytes of all bodies; thread-safe."""

    def __init__(self, cfg: Cfg = DEFAULT) -> None:
        """Start without buffered bytes."""
        self.cfg = cfg
        self._lock = threading.Lock()
        self._held: collections.Counter[str] = collections.Counter()
        self._usage: dict[str, Usage] = {}

    @property
    def held_bytes(self) -> int:
        """Bytes that are counted now."""
        with self._lock:
            return self._held.total()

    def usage(self) -> dict[str, Usage]:
        """Return what each owner has done that was ever counted."""
        with self._lock:
            return {
                owner: msgspec.structs.replace(one, held=self._held[owner])
                for owner, one in self._usage.items()
            }

    def take(self, owner: str, count: int) -> Room:
        """Count bytes if there is room for them; return the room found."""
        with self._lock:
            usage = self._usage_of(owner)
            held = self._held[owner] + count
            room = self._room(held, count)
            if room is Room.FREE:
                self._held[owner] = held
                usage.peak = max(usage.peak, held)
            else:
                usage.refused += 1
            return room

    def give_back(self, owner: str, count: int) -> None:
        """Stop counting bytes."""
        with self._lock:
            self._held[owner] -= count
            if not self._held[owner]:
                self._held.pop(owner)

    def _room(self, held: int, count: int) -> Room:
        """Tell whether an owner may hold this much after it has grown."""
        if held > self.cfg.owner:
            return Room.EXCEEDED
        free = self.cfg.total - self._held.total()
        # A single owner may use the whole budget.
        needed = held if self.cfg.owner < self.cfg.total else count
        if needed <= free:
            return Room.FREE
        mean = self._held.total() / max(len(self._held), 1)
        return Room.EXCEEDED if held > mean else Room.OTHERS

    def _usage_of(self, owner: str) -> Usage:
        if owner not in self._usage and len(self._usage) >= _MAX_OWNERS:
            self._usage.pop(next(iter(self._usage)))
        return self._usage.setdefault(owner, Usage())


class Buffer:
    """Bytes that one request holds, counted until they are released.

    :param owner: who sends them.
    """

    def __init__(self, budget: BufferBudget, owner: str) -> None:
        """Start without bytes."""
        self._budget = budget
        self._owner = owner
        self._held = 0
        self._counted = 0

    def grow(self, count: int) -> None:
        """Hold more bytes.

        :raises BufferFullError: there is no room for them.
        """
        self.resize(self._held + count)

    def resize(self, count: int) -> None:
        """Hold this many bytes from now on.

        :raises BufferFullError: there is no room for them.
        """
        counted = max(count - self._budget.cfg.free, 0)
        added = counted - self._counted
        if added > 0:
            self._take(added)
        if added < 0:
            self._budget.give_back(self._owner, -added)
        self._held = count
        self._counted = counted

    def release(self) -> None:
        """Release all bytes."""
        self.resize(0)

    def _take(self, count: int) -> None:
        room = self._budget.take(self._owner, count)
        if room is not Room.FREE:
            raise BufferFullError(
                f'no memory left for the body: {room.value}',
                is_excess=room is Room.EXCEEDED,
            )
