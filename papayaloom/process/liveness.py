"""Notices that an actor has stopped handling its messages."""


class Liveness:
    """Counts checks in a row without a beat.

    It counts checks instead of seconds, so that a process which was paused as
    a whole does not take its own pause for a fault.

    :param most: checks in a row without a beat that are no fault.
    """

    def __init__(self, most: int) -> None:
        """Start with the first check."""
        self._most = most
        self._beats = 0
        self._seen = -1
        self._missed = 0

    def beat(self) -> None:
        """Note that the actor handled a message."""
        self._beats += 1

    def is_stuck(self) -> bool:
        """Check once; call it at a fixed period."""
        if self._beats != self._seen:
            self._seen = self._beats
            self._missed = 0
            return False
        self._missed += 1
        return self._missed > self._most
