"""Retry budgets: token buckets that are refilled by successful requests."""

import msgspec

# Parts of the bound on retries that a router saves, refills and earns.
_SAVED_SLACK_SHARE = 0.5
_REFILL_SLACK_SHARE = 0.35
_RATIO_SHARE = 0.6
# Hedges that can be saved for one upstream.
_MAX_SAVED_HEDGES = 1.0


class Cfg(msgspec.Struct, frozen=True):
    """Limits of the retry budgets.

    :param budget_ratio: retries earned by one successful request.
    :param saved_retries: capacity of a bucket.
    :param idle_retries_per_s: refill rate without successful requests.
    :param first_retries: initial level of a bucket.
    """

    budget_ratio: float = 0.1
    saved_retries: float = 10
    idle_retries_per_s: float = 0.05
    first_retries: float = 1


class RetryBound(msgspec.Struct, frozen=True):
    """Bound on the retries of all routers together, for each service.

    In every window, at most ``ratio`` x requests + ``slack`` retries are sent.
    """

    ratio: float = 0.2
    slack: float = 52
    window_s: float = 10

    def share(self, hosts: int) -> Cfg:
        """Return the retry budget of one router.

        Saved and refilled retries may be spent in the same window, and a
        router that restarts begins with a full bucket, so their sum must stay
        below the slack.

        :param hosts: number of routers in the fleet.
        """
        slack = self.slack / max(hosts, 1)
        saved = max(slack * _SAVED_SLACK_SHARE, 1)
        return Cfg(
            budget_ratio=self.ratio * _RATIO_SHARE,
            saved_retries=saved,
            idle_retries_per_s=slack * _REFILL_SLACK_SHARE / self.window_s,
            first_retries=saved,
        )


class TokenBucket(msgspec.Struct):
    """Retries available for one upstream or for the router.

    :param refilled_at: time of the last refill, in seconds.
    """

    tokens: float
    refilled_at: float


class RetryBudgets:
    """Retry budgets of one router.

    A retry takes a token from the bucket of its upstream and one from the
    bucket of the router. The latter is the router's share of the fleet's
    budget: it is refilled by the router's own successes alone, so the shares
    add up to the configured ratio.
    """

    def __init__(self, cfg: Cfg) -> None:
        """Start with the configured initial tokens."""
        self._cfg = cfg
        self._upstream_buckets: dict[str, TokenBucket] = {}
        self._router_bucket = TokenBucket(cfg.first_retries, 0)
        self._hedges: dict[str, float] = {}

    def configure(self, cfg: Cfg) -> None:
        """Apply new limits; buckets keep their tokens."""
        self._cfg = cfg

    def record_success(self, upstream: str, now: float) -> None:
        """Refill the buckets after a successful request."""
        spare = min(
            self._add_tokens(bucket, self._cfg.budget_ratio)
            for bucket in (self._bucket(upstream, now), self._router_bucket)
        )
        saved = self._hedges.get(upstream, 0) + spare
        self._hedges[upstream] = min(saved, _MAX_SAVED_HEDGES)

    def spend(self, upstream: str, now: float) -> bool:
        """Take the tokens for a retry.

        :returns: False when a bucket is empty; the retry must not be sent.
        """
        bucket = self._bucket(upstream, now)
        self._refill_idle(self._router_bucket, now)
        if bucket.tokens < 1 or self._router_bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        self._router_bucket.tokens -= 1
        return True

    def spend_hedge(self, upstream: str) -> bool:
        """Take the token for a hedge.

        Hedges get what successes earn while the buckets of the retries are
        full, so that retries take precedence.

        :returns: False when there is none; the hedge must not be sent.
        """
        saved = self._hedges.get(upstream, 0)
        if saved < 1:
            return False
        self._hedges[upstream] = saved - 1
        return True

    def forget(self, upstream: str) -> None:
        """Remove the bucket of an upstream that has left."""
        self._upstream_buckets.pop(upstream, None)
        self._hedges.pop(upstream, None)

    def dump(self, now: float) -> dict[str, float]:
        """Return the tokens by upstream; the router's own are under ''."""
        tokens = {
            upstream: self._bucket(upstream, now).tokens
            for upstream in self._upstream_buckets
        }
        tokens[''] = self._router_bucket.tokens
        return tokens

    def _bucket(self, upstream: str, now: float) -> TokenBucket:
        initial = TokenBucket(self._cfg.first_retries, now)
        bucket = self._upstream_buckets.setdefault(upstream, initial)
        self._refill_idle(bucket, now)
        return bucket

    def _refill_idle(self, bucket: TokenBucket, now: float) -> None:
        elapsed_s = max(now - bucket.refilled_at, 0)
        bucket.refilled_at = now
        self._add_tokens(bucket, elapsed_s * self._cfg.idle_retries_per_s)

    def _add_tokens(self, bucket: TokenBucket, amount: float) -> float:
        """Fill a bucket; return what does not fit."""
        filled = bucket.tokens + amount
        bucket.tokens = min(filled, self._cfg.saved_retries)
        return filled - bucket.tokens
