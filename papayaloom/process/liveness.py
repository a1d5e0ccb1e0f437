"""Detects an actor that no longer handles its messages."""


class Liveness:
    """Counts consecutive checks without a heartbeat.

    Checks are counted instead of seconds, so that a pause of the whole process
    is not mistaken for a stuck actor.

    :param max_missed: tolerated number of consecutive missed heartbeats.
    """

    def __init__(self, max_missed: int) -> None:
        """Start without heartbeats or checks."""
        self._max_missed = max_missed
        self._heartbeats = 0
        self._heartbeats_at_last_check = -1
        self._missed = 0

    def record_heartbeat(self) -> None:
        """Record that the actor handled a message."""
        self._heartbeats += 1

    def is_stuck(self) -> bool:
        """Run one check; call it at a fixed interval."""
        if self._heartbeats != self._heartbeats_at_last_check:
            self._heartbeats_at_last_check = self._heartbeats
            self._missed = 0
            return False
        self._missed += 1
        return self._missed > self._max_missed
