"""Chunked transfer of the full settings state between routers."""

import collections
import random
import typing

import msgspec

from papayaloom import ids, messages

# A sender caches the states of this many versions, so that a transfer can
# continue when a change arrives in the middle of it.
_CACHED_VERSIONS = 2
# Outstanding chunk requests per sender; this many chunks use about one second
# of its byte budget.
_REQUEST_WINDOW = 3
_MAX_SOURCES = 3


class ExportCache:
    """Cache of the encoded full states that this router serves.

    :param chunk_bytes: size of a chunk.
    """

    def __init__(self, chunk_bytes: int) -> None:
        """Create an empty cache; states are encoded on first request."""
        self._chunk_bytes = chunk_bytes
        self._states: collections.OrderedDict[messages.Digest, bytes] = (
            collections.OrderedDict()
        )

    def add(
        self, head: messages.Digest, export: typing.Callable[[], bytes]
    ) -> None:
        """Cache the current state."""
        if head not in self._states:
            self._states[head] = export()
            if len(self._states) > _CACHED_VERSIONS:
                self._states.popitem(last=False)

    def chunk(
        self, head: messages.Digest, index: int
    ) -> messages.SettingsChunk | None:
        """Return a chunk of a state, or None if it is not cached."""
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


class _PendingRequest(msgspec.Struct):
    sent_at: float
    source: ids.RouterId


class Transfer:
    """Incoming transfer of a full state.

    :param first: the first chunk, which announced the state.
    :param source: sender of the first chunk.
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
        self.last_progress = float('-inf')
        self._chunks: dict[int, bytes] = {}
        self._pending: dict[int, _PendingRequest] = {}
        self._source = source
        self._sources = [source, *others][:_MAX_SOURCES]
        self._rng = rng

    def add(self, chunk: messages.SettingsChunk, now: float) -> bytes | None:
        """Add a chunk.

        :returns: the full state once it is complete, otherwise None.
        """
        head = messages.Digest(chunk.version, chunk.digest)
        if head != self.head or chunk.count != self.count:
            return None
        self._pending.pop(chunk.index, None)
        if chunk.index not in self._chunks:
            self._chunks[chunk.index] = chunk.content
            self.last_progress = now
        if len(self._chunks) < self.count:
            return None
        return b''.join(self._chunks[index] for index in range(self.count))

    def request_chunks(
        self, now: float, timeout_s: float
    ) -> list[messages.Send]:
        """Request missing chunks from the senders, a few at a time.

        A sender that does not answer in time is removed, unless it is the one
        that announced the state.
        """
        for index, request in tuple(self._pending.items()):
            if now - request.sent_at > timeout_s:
                self._pending.pop(index)
                if request.source != self._source:
                    self._remove_source(request.source)
        sends: list[messages.Send] = []
        for source in self._sources:
            missing = self._next_chunks(source)
            for index in missing:
                self._pending[index] = _PendingRequest(now, source)
            if missing:
                fetch = messages.SettingsFetch(
                    self.head.version, self.head.digest, missing
                )
                sends.append(
                    messages.Send(source, fetch, messages.Priority.SETTINGS)
                )
        return sends

    def _remove_source(self, source: ids.RouterId) -> None:
        if source in self._sources:
            self._sources.remove(source)

    def _next_chunks(self, source: ids.RouterId) -> tuple[int, ...]:
        open_requests = sum(
            1 for request in self._pending.values() if request.source == source
        )
        missing = (
            index
            for index in range(self.count)
            if index not in self._chunks and index not in self._pending
        )
        return tuple(
            index
            for index, _ in zip(
                missing, range(_REQUEST_WINDOW - open_requests), strict=False
            )
        )
