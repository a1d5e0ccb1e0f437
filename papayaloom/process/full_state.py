"""Transfer of a full state of the settings between routers, in chunks."""

import collections
import random
import typing

import msgspec

from papayaloom import ids, messages

# A sender keeps the state of this many versions, so that a transfer goes on
# when a change arrives in the middle of it.
_KEPT = 2
# Chunks asked for at once from one sender: about one second of its budget.
_WINDOW = 3
_SOURCES = 3


class Exports:
    """Encoded full states that this router hands out.

    :param chunk_bytes: size of a chunk.
    """

    def __init__(self, chunk_bytes: int) -> None:
        """Start without states; each is encoded when first asked for."""
        self._chunk_bytes = chunk_bytes
        self._states: collections.OrderedDict[messages.Digest, bytes] = (
            collections.OrderedDict()
        )

    def add(
        self, head: messages.Digest, export: typing.Callable[[], bytes]
    ) -> None:
        """Make the present state available."""
        if head not in self._states:
            self._states[head] = export()
            if len(self._states) > _KEPT:
                self._states.popitem(last=False)

    def chunk(
        self, head: messages.Digest, index: int
    ) -> messages.SettingsChunk | None:
        """Return a chunk of a state, or nothing when it is not kept."""
        content = self._states.get(head)
        if content is None:
            return None
        count = -(-len(content) // self._chunk_bytes)
        if not 0 <= index < count:
            return None
        start = index * self._chunk_bytes
        return messages.SettingsChunk(
            head.version,
            head.digest,
            index,
            count,
            content[start : start + self._chunk_bytes],
        )


class _Asked(msgspec.Struct):
    at: float
    source: ids.RouterId


class Transfer:
    """Incoming full state.

    :param first: the chunk that announced it.
    :param source: its sender.
    :param others: routers that may have the same state.
    """

    def __init__(
        self,
        first: messages.SettingsChunk,
        source: ids.RouterId,
        others: typing.Iterable[ids.RouterId],
        rng: random.Random,
    ) -> None:
        """Start with the first chunk."""
        self.head = messages.Digest(first.version, first.digest)
        self.count = first.count
        self.progress = float('-inf')
        self._chunks: dict[int, bytes] = {}
        self._asked: dict[int, _Asked] = {}
        self._source = source
        self._sources = [source, *others][:_SOURCES]
        self._rng = rng

    def add(self, chunk: messages.SettingsChunk, now: float) -> bytes | None:
        """Take a chunk.

        :returns: the whole state once it is complete.
        """
        head = messages.Digest(chunk.version, chunk.digest)
        if head != self.head or chunk.count != self.count:
            return None
        self._asked.pop(chunk.index, None)
        if chunk.index not in self._chunks:
            self._chunks[chunk.index] = chunk.content
            self.progress = now
        if len(self._chunks) < self.count:
            return None
        return b''.join(self._chunks[index] for index in range(self.count))

    def ask(self, now: float, timeout_s: float) -> list[messages.Send]:
        """Ask the senders for missing chunks, a few at a time.

        A sender that lets a request pass is not asked again, unless it is
        the one that announced the state.
        """
        for index, asked in tuple(self._asked.items()):
            if now - asked.at > timeout_s:
                self._asked.pop(index)
                if asked.source != self._source:
                    self._drop(asked.source)
        sends: list[messages.Send] = []
        for source in self._sources:
            wanted = self._next(source)
            for index in wanted:
                self._asked[index] = _Asked(now, source)
            if wanted:
                fetch = messages.SettingsFetch(
                    self.head.version, self.head.digest, wanted
                )
                sends.append(
                    messages.Send(source, fetch, messages.Priority.SETTINGS)
                )
        return sends

    def _drop(self, source: ids.RouterId) -> None:
        if source in self._sources:
            self._sources.remove(source)

    def _next(self, source: ids.RouterId) -> tuple[int, ...]:
        open_requests = sum(
            1 for asked in self._asked.values() if asked.source == source
        )
        missing = (
            index
            for index in range(self.count)
            if index not in self._chunks and index not in self._asked
        )
        return tuple(
            index
            for index, _ in zip(
                missing, range(_WINDOW - open_requests), strict=False
            )
        )
