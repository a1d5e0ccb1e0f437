"""Retry budgets: token buckets that successes refill."""

import msgspec


class Cfg(msgspec.Struct, frozen=True):
    """Limits of retries.

    :param budget_ratio: retries per success.
    :param saved_retries: most retries saved for one upstream.
    :param idle_retries_per_s: refill without successes.
    :param first_retries: retries saved at the start.
    """

    budget_ratio: float = 0.1
    saved_retries: float = 10
    idle_retries_per_s: float = 0.05
    first_retries: float = 1


class Bucket(msgspec.Struct):
    """Saved retries.

    :param filled: when they were counted, in seconds.
    """

    saved: float
    filled: float


class Budgets:
    """Retries that this router may still send.

    A retry needs a token of the upstream that would get it and one of the
    whole router. The router's bucket is its share of the fleet's budget:
    refilled by own successes alone, the shares add up to the same ratio.
    """

    def __init__(self, cfg: Cfg) -> None:
        """Start with the first retries of the settings."""
        self._cfg = cfg
        self._upstreams: dict[str, Bucket] = {}
        self._router = Bucket(cfg.first_retries, 0)

    def configure(self, cfg: Cfg) -> None:
        """Take new limits; saved retries stay."""
        self._cfg = cfg

    def succeeded(self, upstream: str, now: float) -> None:
        """Refill by one success."""
        for bucket in (self._bucket(upstream, now), self._router):
            self._add(bucket, self._cfg.budget_ratio)

    def spend(self, upstream: str, now: float) -> bool:
        """Take a token for a retry at an upstream, when there is one."""
        bucket = self._bucket(upstream, now)
        self._idle(self._router, now)
        if bucket.saved < 1 or self._router.saved < 1:
            return False
        bucket.saved -= 1
        self._router.saved -= 1
        return True

    def forget(self, upstream: str) -> None:
        """Drop the budget of an upstream that is gone."""
        self._upstreams.pop(upstream, None)

    def dump(self, now: float) -> dict[str, float]:
        """Return the saved retries; the router's own stand under ''."""
        shown = {
            upstream: self._bucket(upstream, now).saved
            for upstream in self._upstreams
        }
        shown[''] = self._router.saved
        return shown

    def _bucket(self, upstream: str, now: float) -> Bucket:
        first = Bucket(self._cfg.first_retries, now)
        bucket = self._upstreams.setdefault(upstream, first)
        self._idle(bucket, now)
        return bucket

    def _idle(self, bucket: Bucket, now: float) -> None:
        passed = max(now - bucket.filled, 0)
        bucket.filled = now
        self._add(bucket, passed * self._cfg.idle_retries_per_s)

    def _add(self, bucket: Bucket, amount: float) -> None:
        bucket.saved = min(bucket.saved + amount, self._cfg.saved_retries)
