"""Judges whether a larger step between event ids can mean a missing event.

Ids are only known to increase: they may count the events, or be offsets of
tokens, or times, and each of these can take single steps for any while. So a
larger step never proves that an event is missing. It raises a doubt where the
ids of a stream have counted its events so far. Only the stream of another
replica, which is asked to go on after the same event, decides: either it has
the event between, or it takes a larger step, too.
"""

# Offsets of tokens may begin with a first token by itself, so one step of one
# raises no doubt.
_COUNTED_STEPS = 2
# More events than a replica omits from one response.
_PROVING_STEPS = 3
# Complete streams in a row after which ids that did not count the events are
# taken to count them again.
_COUNTED_STREAMS = 100


class ServiceNumbering:
    """What the streams of one service have shown of its event ids.

    :param skips_ids: larger steps are shown to be usual, so they raise no
        doubt.
    """

    def __init__(self) -> None:
        """Start without a stream."""
        self.skips_ids = False
        self._counted_streams = 0

    def record_counted_stream(self) -> None:
        """Record a complete stream whose ids counted its events."""
        self._counted_streams += 1
        if self._counted_streams >= _COUNTED_STREAMS:
            self.skips_ids = False

    def record_larger_step(self, *, is_proof: bool) -> None:
        """Record a step by more than one that was accepted.

        :param is_proof: it shows that such steps are usual.
        """
        self._counted_streams = 0
        self.skips_ids = self.skips_ids or is_proof


class IdSteps:
    """The steps from one event id to the next in the response to a request.

    :param service: what the streams of its service have shown.

    ``is_doubtful`` tells whether the last step that was taken may hide a
    missing event. If the step is taken once more, it is accepted: another
    replica has made a larger step from there, too, or none can be asked.

    ``proves_skips`` tells whether this response has shown that larger steps
    are usual.
    """

    def __init__(self, service: ServiceNumbering | None = None) -> None:
        """Start without a step."""
        self.is_doubtful = False
        self.proves_skips = False
        self._service = service or ServiceNumbering()
        self._single_steps = 0
        self._larger_steps = 0
        # Replica whose stream is being read.
        self._source = ''
        # Id before the step that was doubtful, and the replica that took it.
        self._doubted_after: int | None = None
        self._doubted_source = ''

    @property
    def is_gapless(self) -> bool:
        """Whether all ids from the first to the last one have been taken."""
        return not self._larger_steps

    def restart(self, source: str) -> None:
        """Expect another stream.

        :param source: the replica that sends it.
        """
        self.is_doubtful = False
        self._source = source

    def take(self, last: int, number: int) -> None:
        """Record a step, unless it is doubtful.

        :param last: id of the last event.
        :param number: id of the next event, larger than the last one.
        """
        self.is_doubtful = False
        if number == last + 1:
            self._single_steps += 1
        elif last != self._doubted_after and self._raises_doubt():
            self.is_doubtful = True
            self._doubted_after = last
            self._doubted_source = self._source
        else:
            self._take_larger(last)

    def record_complete(self) -> None:
        """Record that the response is complete."""
        if self.is_gapless and self._single_steps >= _COUNTED_STEPS:
            self._service.record_counted_stream()

    def _raises_doubt(self) -> bool:
        return (
            self.is_gapless
            and self._single_steps >= _COUNTED_STEPS
            and not self._service.skips_ids
        )

    def _take_larger(self, last: int) -> None:
        self._larger_steps += 1
        is_confirmed = (
            last == self._doubted_after and self._source != self._doubted_source
        )
        is_proof = is_confirmed or self._larger_steps >= _PROVING_STEPS
        self._service.record_larger_step(is_proof=is_proof)
        self.proves_skips = self.proves_skips or is_proof
