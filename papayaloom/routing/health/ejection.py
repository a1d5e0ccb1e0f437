"""Outlier ejection: passive health checks of upstreams."""

import collections
import enum
import random
import typing

import msgspec


class Cfg(msgspec.Struct, frozen=True):
    """Limits of the outlier ejection.

    :param consecutive: consecutive failures that eject an upstream.
    :param window: number of recent results in the failure ratio.
    :param share: failure ratio that ejects an upstream.
    :param above_others: minimum excess of an upstream's failure ratio over the
        mean of the other upstreams.
    :param base_s: duration of the first ejection; each further one doubles it.
    :param longest_s: maximum duration of an ejection.
    :param max_share: maximum fraction of a model's upstreams that is ejected.
    :param max_share_certain: the same for a failure that only the upstream can
        have caused, so that the others are known to be no worse.
    """

    consecutive: int = 5
    window: int = 20
    share: float = 0.5
    above_others: float = 0.25
    base_s: float = 5
    longest_s: float = 120
    max_share: float = 0.34
    max_share_certain: float = 0.5


class Status(enum.Enum):
    """Which requests an upstream may receive."""

    SERVING = 'serving'
    TRIAL = 'trial'
    EJECTED = 'ejected'


class UpstreamResults(msgspec.Struct):
    """Recent results and ejection state of one upstream.

    :param failed: recent results, oldest first; true for a failure.
    :param ejected_until: end of the ejection; None while the upstream serves.
    :param trial_sent: when the pending trial request was sent, if any.
    :param succeeded_at: when it last succeeded, if ever.
    """

    failed: collections.deque[bool]
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float | None = None
    trial_sent: float | None = None
    succeeded_at: float | None = None


class Ejection:
    """Outlier ejection for the upstreams of one model or service."""

    def __init__(self, cfg: Cfg, rng: random.Random) -> None:
        """Start without upstreams."""
        self._cfg = cfg
        self._rng = rng
        self._results: dict[str, UpstreamResults] = {}

    def configure(self, cfg: Cfg) -> None:
        """Apply new limits; current ejections keep their end time."""
        self._cfg = cfg

    def update_upstreams(self, live: typing.Iterable[str]) -> None:
        """Replace the list of upstreams; known ones keep their results."""
        known = self._results
        self._results = {one: known.get(one, _empty()) for one in live}

    def status(self, upstream: str, now: float) -> Status:
        """Return which requests an upstream may receive now.

        A caller that sends the trial request must call :meth:`start_trial`.
        """
        entry = self._results.get(upstream)
        if entry is None or entry.ejected_until is None:
            return Status.SERVING
        is_trial_pending = entry.trial_sent is not None and (
            now - entry.trial_sent < self._cfg.longest_s
        )
        if now < entry.ejected_until or is_trial_pending:
            return Status.EJECTED
        return Status.TRIAL

    def start_trial(self, upstream: str, now: float) -> None:
        """Record that the trial request has been sent."""
        self._results[upstream].trial_sent = now

    def record_success(
        self, upstream: str, now: float, received_at: float | None = None
    ) -> None:
        """Record a success; a successful trial ends the ejection.

        :param received_at: when the response was complete, if before now.
        """
        entry = self._results.get(upstream)
        if entry is None:
            return
        entry.succeeded_at = now if received_at is None else received_at
        if entry.ejected_until is not None:
            # A request sent before the ejection says nothing about recovery.
            if entry.trial_sent is None:
                return
            entry.ejected_until = None
            entry.trial_sent = None
            entry.failed.clear()
        entry.consecutive_failures = 0
        self._add_result(entry, failed=False)
        if len(entry.failed) >= self._cfg.window and not any(entry.failed):
            entry.ejections = 0

    def has_succeeded_since(self, upstream: str, since: float) -> bool:
        """Whether an upstream has succeeded since a time."""
        entry = self._results.get(upstream)
        if entry is None or entry.succeeded_at is None:
            return False
        return entry.succeeded_at >= since

    def record_failure(
        self, upstream: str, now: float, *, is_certain: bool = False
    ) -> bool:
        """Record a failure.

        :param is_certain: only the upstream can have caused it.
        :returns: whether this failure ejected the upstream.
        """
        entry = self._results.get(upstream)
        if entry is None:
            return False
        entry.consecutive_failures += 1
        self._add_result(entry, failed=True)
        if entry.ejected_until is not None:
            if entry.trial_sent is not None:
                self._eject(entry, now)
            return False
        max_share = self._cfg.max_share
        if is_certain:
            max_share = max(max_share, self._cfg.max_share_certain)
        if not self._is_outlier(entry) or not self._may_eject(max_share):
            return False
        self._eject(entry, now)
        return True

    def ejected(self) -> list[str]:
        """Return the upstreams that are ejected or in a trial."""
        return [
            upstream
            for upstream, entry in self._results.items()
            if entry.ejected_until is not None
        ]

    def dump(self, now: float) -> dict[str, tuple[str, float]]:
        """Return the status and failure ratio of each upstream."""
        return {
            upstream: (
                self.status(upstream, now).value,
                _failure_ratio(entry.failed),
            )
            for upstream, entry in self._results.items()
        }

    def _add_result(self, entry: UpstreamResults, *, failed: bool) -> None:
        entry.failed.append(failed)
        while len(entry.failed) > self._cfg.window:
            entry.failed.popleft()

    def _is_outlier(self, entry: UpstreamResults) -> bool:
        """Return whether an upstream's failure ratio is an outlier.

        When all upstreams fail alike, the cause lies elsewhere and ejection
        would only reduce capacity.
        """
        others = [
            _failure_ratio(other.failed)
            for other in self._results.values()
            if other is not entry and other.failed
        ]
        mean_of_others = sum(others) / len(others) if others else 0
        ratio = _failure_ratio(entry.failed)
        is_failing = entry.consecutive_failures >= self._cfg.consecutive or (
            len(entry.failed) >= self._cfg.window and ratio >= self._cfg.share
        )
        return is_failing and ratio - mean_of_others >= self._cfg.above_others

    def _may_eject(self, max_share: float) -> bool:
        """Return whether the limit allows another ejection."""
        max_ejected = int(max_share * len(self._results))
        return len(self.ejected()) < max_ejected

    def _eject(self, entry: UpstreamResults, now: float) -> None:
        backoff_s = self._cfg.base_s * 2 ** min(entry.ejections, 16)
        duration_s = min(backoff_s, self._cfg.longest_s)
        # Jitter keeps the routers from sending their trials at the same time.
        entry.ejected_until = now + duration_s * self._rng.uniform(1, 1.25)
        entry.trial_sent = None
        entry.ejections += 1


def _empty() -> UpstreamResults:
    return UpstreamResults(collections.deque())


def _failure_ratio(failed: typing.Collection[bool]) -> float:
    return sum(failed) / len(failed) if failed else 0
