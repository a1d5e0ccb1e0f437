"""Newest settings version used for orders, kept in the store."""

from papayaloom import decoding
from papayaloom.process import store_calls

KEY = 'orders/settings'


class StoredVersion:
    """Newest settings version that orders have been based on.

    It is written to the store before the first order of that version. A new
    holder with older settings therefore waits until it has read that version.
    """

    def __init__(self) -> None:
        """Initialise with unknown store contents."""
        self.reset()

    def reset(self) -> None:
        """Discard what is known of the store."""
        self._operation = 0
        self._revision = -1
        self._version = 0
        self._proposed_version = 0

    def allows(self, version: int) -> bool:
        """Return whether orders based on this settings version are allowed."""
        return self._revision >= 0 and version == self._version

    def tick(self, version: int, operation: int) -> list[store_calls.Call]:
        """Return the store call that is due, if any."""
        if self._operation or (self._revision >= 0 and version < self._version):
            return []
        self._operation = operation
        if self._revision < 0:
            return [store_calls.Read(operation, KEY)]
        self._proposed_version = version
        content = str(version).encode()
        return [
            store_calls.CompareAndSwap(operation, KEY, content, self._revision)
        ]

    def handle_result(self, call_result: store_calls.CallResult) -> None:
        """Handle the result of a store call; ignore those of other calls."""
        if call_result.operation != self._operation:
            return
        self._operation = 0
        if isinstance(call_result, store_calls.Applied):
            self._revision = call_result.revision
            self._version = self._proposed_version
        elif isinstance(call_result, (store_calls.Entry, store_calls.Conflict)):
            self._revision = call_result.revision
            content = call_result.content or b'0'
            self._version = decoding.parse_whole(content) or 0
        else:
            self._revision = -1
