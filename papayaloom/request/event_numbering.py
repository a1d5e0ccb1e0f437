"""Judges whether the ids of a stream leave room for a missing event.

Ids are only known to increase. They may count the events, or be offsets of
tokens, or times. Only ids that count the events show that one is missing.
"""

import enum

# Offsets of tokens may begin with a first token by itself, so one step of one
# shows nothing.
_COUNTED_STEPS = 2
# More events than a replica omits from one response.
_PROVING_STEPS = 3


class Numbering(enum.Enum):
    """What the ids of a stream are taken for."""

    UNKNOWN = 'unknown'
    COUNTS = 'counts'
    INCREASES = 'increases'


class IdSteps:
    """The steps from one event id of a stream to the next.

    The ids are taken to count the events once the first steps are by one.
    A larger step is then refused, unless the stream of another replica, which
    was asked to go on after the same event, begins with the same event.

    :param numbering: what earlier streams have shown.
    """

    def __init__(self, numbering: Numbering = Numbering.UNKNOWN) -> None:
        """Start without a step."""
        self.numbering = numbering
        self._single_steps = 0
        self._larger_steps = 0
        self._is_confirmed = False
        self._refused: int | None = None
        self._refused_before: int | None = None

    @property
    def proves_increase(self) -> bool:
        """Whether the ids are shown not to count the events."""
        return self._is_confirmed or self._larger_steps >= _PROVING_STEPS

    def restart(self) -> None:
        """Expect the stream of another replica."""
        self._refused_before = self._refused
        self._refused = None

    def take(self, last: int, number: int) -> bool:
        """Record a step; return whether the event may follow.

        :param last: id of the last event.
        :param number: id of the next event, larger than the last one.
        """
        refused_before = self._refused_before
        self._refused_before = None
        if number == last + 1:
            self._take_single()
            return True
        if self.numbering is Numbering.COUNTS:
            if number != refused_before:
                self._refused = number
                return False
            self._is_confirmed = True
        self.numbering = Numbering.INCREASES
        self._larger_steps += 1
        return True

    def _take_single(self) -> None:
        if self.numbering is not Numbering.UNKNOWN:
            return
        self._single_steps += 1
        if self._single_steps == _COUNTED_STEPS:
            self.numbering = Numbering.COUNTS
