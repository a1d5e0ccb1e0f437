"""Ejection of upstreams that fail more than the others."""

import collections
import enum
import random
import typing

import msgspec


class Cfg(msgspec.Struct, frozen=True):
    """When an upstream is ejected and when it may return.

    :param consecutive: failures in a row that eject.
    :param window: newest results that the share of failures looks at.
    :param share: share of failures that ejects.
    :param above_others: by how much the share must exceed that of the others.
    :param base_s: time of the first ejection, doubled by each further one.
    :param longest_s: longest ejection.
    :param max_share: largest share of a model's upstreams that is ejected.
    """

    consecutive: int = 5
    window: int = 20
    share: float = 0.5
    above_others: float = 0.25
    base_s: float = 5
    longest_s: float = 120
    max_share: float = 0.34


class Standing(enum.Enum):
    """What an upstream may get."""

    SERVING = 'serving'
    TRIAL = 'trial'
    EJECTED = 'ejected'


class Record(msgspec.Struct):
    """Newest results of one upstream.

    :param until: end of its ejection; nothing while it serves.
    :param trial: when the running trial request was sent.
    """

    results: collections.deque[bool]
    failures: int = 0
    ejections: int = 0
    until: float | None = None
    trial: float | None = None


class Ejection:
    """Ejected upstreams of one model or service."""

    def __init__(self, cfg: Cfg, rng: random.Random) -> None:
        """Start with no upstream."""
        self._cfg = cfg
        self._rng = rng
        self._records: dict[str, Record] = {}

    def configure(self, cfg: Cfg) -> None:
        """Take new limits; ejected upstreams stay until their time ends."""
        self._cfg = cfg

    def update_upstreams(self, live: typing.Iterable[str]) -> None:
        """Take the newest list of upstreams."""
        known = self._records
        self._records = {one: known.get(one, _empty()) for one in live}

    def standing(self, upstream: str, now: float) -> Standing:
        """Return what an upstream may get now.

        A caller that sends the trial request says so with :meth:`try_out`.
        """
        record = self._records.get(upstream)
        if record is None or record.until is None:
            return Standing.SERVING
        waiting = record.trial is not None and (
            now - record.trial < self._cfg.longest_s
        )
        if now < record.until or waiting:
            return Standing.EJECTED
        return Standing.TRIAL

    def try_out(self, upstream: str, now: float) -> None:
        """Note that the trial request is on its way."""
        self._records[upstream].trial = now

    def succeeded(self, upstream: str, now: float) -> None:
        """Note a success; after an ejection the upstream serves again."""
        record = self._records.get(upstream)
        if record is None:
            return
        if record.until is not None:
            # Results of requests from before the ejection prove nothing.
            if record.trial is None:
                return
            record.until = None
            record.trial = None
            record.results.clear()
        record.failures = 0
        self._add(record, failed=False)
        if len(record.results) >= self._cfg.window and not any(record.results):
            record.ejections = 0

    def failed(self, upstream: str, now: float) -> bool:
        """Note a failure.

        :returns: whether the upstream was ejected by it.
        """
        record = self._records.get(upstream)
        if record is None:
            return False
        record.failures += 1
        self._add(record, failed=True)
        if record.until is not None:
            if record.trial is not None:
                self._eject(record, now)
            return False
        if not self._fails(record) or not self._spare():
            return False
        self._eject(record, now)
        return True

    def ejected(self) -> list[str]:
        """Return the upstreams that are ejected or on trial."""
        return [
            upstream
            for upstream, record in self._records.items()
            if record.until is not None
        ]

    def dump(self, now: float) -> dict[str, tuple[str, float]]:
        """Return each upstream's standing and share of failures."""
        return {
            upstream: (
                self.standing(upstream, now).value,
                _share(record.results),
            )
            for upstream, record in self._records.items()
        }

    def _add(self, record: Record, *, failed: bool) -> None:
        record.results.append(failed)
        while len(record.results) > self._cfg.window:
            record.results.popleft()

    def _fails(self, record: Record) -> bool:
        """Tell whether an upstream fails, and more than the others do.

        When all fail alike, the cause is not the upstream.
        """
        others = [
            _share(other.results)
            for other in self._records.values()
            if other is not record and other.results
        ]
        usual = sum(others) / len(others) if others else 0
        share = _share(record.results)
        many = record.failures >= self._cfg.consecutive or (
            len(record.results) >= self._cfg.window and share >= self._cfg.share
        )
        return many and share - usual >= self._cfg.above_others

    def _spare(self) -> bool:
        """Tell whether one more upstream may be ejected."""
        most = int(self._cfg.max_share * len(self._records))
        return len(self.ejected()) < most

    def _eject(self, record: Record, now: float) -> None:
        doubled = self._cfg.base_s * 2 ** min(record.ejections, 16)
        length = min(doubled, self._cfg.longest_s)
        # Jitter, so that routers do not all try the upstream out at once.
        record.until = now + length * self._rng.uniform(1, 1.25)
        record.trial = None
        record.ejections += 1


def _empty() -> Record:
    return Record(collections.deque())


def _share(results: typing.Collection[bool]) -> float:
    return sum(results) / len(results) if results else 0
