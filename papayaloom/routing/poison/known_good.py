"""Requests and prompt parts with a recent complete response."""

import collections
import typing

import msgspec

from papayaloom import ids

# Maximum number of suspects, and of known good requests, that a host tracks.
_MAX_FINGERPRINTS = 4096


class _Completion(msgspec.Struct):
    """A complete response.

    :param is_reported: whether the other hosts know of it.
    """

    at: float
    is_reported: bool


class KnownGood:
    """What had a complete response lately.

    :param sound_s: seconds for which a complete response counts.
    """

    def __init__(self, sound_s: float) -> None:
        """Start without responses."""
        self._sound_s = sound_s
        self._completions: collections.OrderedDict[
            ids.Fingerprint, _Completion
        ] = collections.OrderedDict()

    def record(
        self, fingerprint: ids.Fingerprint, now: float, *, is_reported: bool
    ) -> None:
        """Record a complete response.

        :param is_reported: whether the other hosts know of it.
        """
        self._completions[fingerprint] = _Completion(now, is_reported)
        self._completions.move_to_end(fingerprint)
        evict_oldest(self._completions)

    def is_recent(self, fingerprint: ids.Fingerprint, now: float) -> bool:
        """Whether there was a complete response lately."""
        completion = self._completions.get(fingerprint)
        return completion is not None and now - completion.at < self._sound_s

    def needs_report(self, fingerprint: ids.Fingerprint) -> bool:
        """Whether the other hosts don't know of a response; now they do."""
        completion = self._completions[fingerprint]
        is_new = not completion.is_reported
        completion.is_reported = True
        return is_new


def evict_oldest(
    entries: collections.OrderedDict[ids.Fingerprint, typing.Any],
) -> None:
    """Evict the oldest requests above the limit."""
    while len(entries) > _MAX_FINGERPRINTS:
        entries.popitem(last=False)
