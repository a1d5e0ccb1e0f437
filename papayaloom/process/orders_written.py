"""Settings version by which orders were given, kept in the store."""

from papayaloom.process import store_calls

KEY = 'orders/settings'


class Written:
    """The newest settings version that orders were given by.

    It is written to the store before the first order of that version, so that
    a new holder with older settings waits until it has them.
    """

    def __init__(self) -> None:
        """Start without knowledge."""
        self.reset()

    def reset(self) -> None:
        """Forget what the store has."""
        self._operation = 0
        self._revision = -1
        self._version = 0
        self._proposed = 0

    def allows(self, version: int) -> bool:
        """Return whether orders by a settings version may be given."""
        return self._revision >= 0 and version == self._version

    def tick(self, version: int, operation: int) -> list[store_calls.Call]:
        """Return the call that is due, if any."""
        if self._operation or (self._revision >= 0 and version < self._version):
            return []
        self._operation = operation
        if self._revision < 0:
            return [store_calls.Read(operation, KEY)]
        self._proposed = version
        content = str(version).encode()
        return [
            store_calls.CompareAndSwap(operation, KEY, content, self._revision)
        ]

    def stored(self, call_result: store_calls.Stored) -> None:
        """Take the result of a store call; others are ignored."""
        if call_result.operation != self._operation:
            return
        self._operation = 0
        if isinstance(call_result, store_calls.Applied):
            self._revision = call_result.revision
            self._version = self._proposed
        elif isinstance(call_result, (store_calls.Entry, store_calls.Conflict)):
            self._revision = call_result.revision
            content = call_result.content or b'0'
            self._version = int(content) if content.isdigit() else 0
        else:
            self._revision = -1
