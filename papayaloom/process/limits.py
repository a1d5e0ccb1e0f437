"""Rate limits of organisations.

The fleet-wide rate of an organisation is split into shares. One router, the
allocator of the organisation, leases the shares to the routers.
"""

import typing

import msgspec

from papayaloom import ids, messages


class Cfg(msgspec.Struct, frozen=True):
    """Rate limits.

    :param rate_per_s: default fleet-wide rate of an organisation.
    :param rates: rates of organisations that differ from the default.
    :param burst: capacity of the token buckets, in seconds of the rate.
    :param term_s: duration of the lease of a share.
    """

    rate_per_s: float = 100
    rates: dict[ids.OrgId, float] = {}
    burst: float = 0.5
    term_s: float = 5

    def rate(self, organisation: ids.OrgId) -> float:
        """Return the fleet-wide rate of an organisation."""
        return self.rates.get(organisation, self.rate_per_s)


class Lease(msgspec.Struct):
    """A share leased to a router.

    :param expires: end of the lease, in seconds of the allocator's clock.
    """

    demand: float
    rate: float
    expires: float


class RateAllocator:
    """Leases shares of the rates of the organisations of this router.

    Members that cannot be reached use an even part of the rate without a
    lease, so only the part of the reachable members is leased. The same holds
    for a router whose lease expired without being renewed or returned.
    """

    def __init__(self, cfg: Cfg) -> None:
        """Start without leases."""
        self._cfg = cfg
        self._members = 1
        self._present = 1
        self._allocator_since = float('-inf')
        self._leases: dict[ids.OrgId, dict[ids.RouterId, Lease]] = {}

    def configure(self, cfg: Cfg) -> None:
        """Apply new rates; current leases keep their rate until they expire."""
        self._cfg = cfg

    def update_members(
        self,
        present: typing.Collection[ids.RouterId],
        members: int,
    ) -> None:
        """Update the membership.

        :param present: members that can be reached.
        :param members: number of members not confirmed gone, reachable ones
            included.
        """
        self._present = len(present)
        self._members = max(members, 1)
        for leases in self._leases.values():
            for router in leases.keys() - set(present):
                leases.pop(router)

    def defer_leases(self, now: float) -> None:
        """Start as the allocator in place of another router.

        No share is leased for one term, until all leases of the previous
        allocator have expired.
        """
        self._allocator_since = now

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.ShareRequest,
        now: float,
    ) -> list[messages.Send]:
        """Grant or renew a lease; a demand of zero returns it."""
        leases = self._leases.setdefault(message.organisation, {})
        if message.demand <= 0:
            leases.pop(sender, None)
            return []
        if now - self._allocator_since < self._cfg.term_s:
            return []
        lease = leases.pop(sender, None) or Lease(0, 0, 0)
        rate = self._allocatable_rate(message.organisation, leases, now)
        valid = {
            router: other
            for router, other in leases.items()
            if other.expires > now
        }
        sends = _reduce_leases(message.organisation, rate, message, valid, now)
        fair = _fair_share(
            rate,
            message.demand,
            [one.demand for one in valid.values()],
        )
        rate -= sum(one.rate for one in valid.values())
        lease.demand = message.demand
        lease.rate = max(0, min(rate, fair))
        lease.expires = now + self._cfg.term_s
        leases[sender] = lease
        share = messages.Share(
            message.organisation, lease.rate, self._cfg.term_s
        )
        return [
            *sends,
            messages.Send(sender, share, messages.Priority.ADMISSION),
        ]

    def dump(self, now: float) -> dict[ids.OrgId, float]:
        """Return the leased rate of each organisation."""
        return {
            organisation: sum(
                lease.rate for lease in leases.values() if lease.expires > now
            )
            for organisation, leases in self._leases.items()
        }

    def _allocatable_rate(
        self,
        organisation: ids.OrgId,
        others: dict[ids.RouterId, Lease],
        now: float,
    ) -> float:
        """Return the rate without the parts of unreachable members."""
        expired = sum(lease.expires <= now for lease in others.values())
        reachable = max(self._present - expired, 1)
        rate = self._cfg.rate(organisation)
        return rate * min(1, reachable / self._members)


def _reduce_leases(
    organisation: ids.OrgId,
    rate: float,
    message: messages.ShareRequest,
    valid: dict[ids.RouterId, Lease],
    now: float,
) -> list[messages.Send]:
    """Reduce valid leases to their fair share.

    Without the reduction, a router to which chats move would refuse them
    until the other leases are renewed. If the message is lost, the fleet may
    exceed the rate until that renewal.
    """
    sends = []
    for router, lease in valid.items():
        demands = [
            other.demand for name, other in valid.items() if name != router
        ]
        fair = _fair_share(rate, lease.demand, [*demands, message.demand])
        if lease.rate > fair:
            lease.rate = fair
            share = messages.Share(organisation, fair, lease.expires - now)
            sends.append(
                messages.Send(router, share, messages.Priority.ADMISSION),
            )
    return sends


def _fair_share(rate: float, demand: float, others: list[float]) -> float:
    """Return the max-min fair share of a rate for one demand.

    Unused rate is split evenly, so that a demand can grow.
    """
    level = rate
    remaining = rate
    demands = sorted((*others, demand))
    for index, wanted in enumerate(demands):
        level = remaining / (len(demands) - index)
        if wanted > level:
            return min(demand, level)
        remaining -= wanted
    return demand + remaining / len(demands)


class TokenBucket(msgspec.Struct):
    """Token bucket and lease of one organisation at one router.

    :param refilled_at: time of the last refill.
    :param requests: requests since ``counted_since``, refused ones included.
    :param rate: leased rate.
    :param expires: end of the lease.
    :param requested_at: time of the last request for a share.
    """

    tokens: float
    refilled_at: float
    requests: float = 0
    counted_since: float = 0
    demand: float = 0
    rate: float = 0
    expires: float = float('-inf')
    requested_at: float = float('-inf')


class Limiter:
    """Admits requests within the shares leased to this router.

    :param router: identity of this router.
    """

    def __init__(self, cfg: Cfg, router: ids.RouterId) -> None:
        """Start without leases."""
        self._cfg = cfg
        self._router = router
        self._members = 1
        self._buckets: dict[ids.OrgId, TokenBucket] = {}
        self._requested_at: dict[ids.OrgId, float] = {}

    def configure(self, cfg: Cfg) -> None:
        """Apply new rates."""
        self._cfg = cfg

    def update_members(self, members: int) -> None:
        """Update the number of members not confirmed gone."""
        self._members = max(members, 1)

    def admit(self, organisation: ids.OrgId, now: float) -> float:
        """Spend a token.

        :returns: 0 if admitted, else the seconds until a token is available.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            # Start with a full bucket: a router that has just started must not
            # refuse the second of two requests of an organisation that is far
            # below its rate.
            tokens = self._min_capacity(organisation)
            bucket = TokenBucket(tokens, now, 0, now)
            self._buckets[organisation] = bucket
        bucket.requests += 1
        rate = self._refill(organisation, bucket, now)
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return 0
        # A new share is leased within a term, whatever the current rate is.
        return min((1 - bucket.tokens) / max(rate, 1e-3), self._cfg.term_s)

    def tick(
        self,
        allocator_of: typing.Callable[[ids.OrgId], ids.RouterId | None],
        now: float,
    ) -> list[messages.Send]:
        """Request shares for the measured demand.

        :param allocator_of: returns the allocator of an organisation.
        """
        sends = []
        for organisation, bucket in list(self._buckets.items()):
            if now - bucket.requested_at < self._cfg.term_s / 4:
                continue
            bucket.requested_at = now
            elapsed_s = max(now - bucket.counted_since, 1e-3)
            measured = bucket.requests / elapsed_s
            bucket.demand = max(measured, (bucket.demand + measured) / 2)
            bucket.requests = 0
            bucket.counted_since = now
            target = allocator_of(organisation)
            if bucket.demand < 1e-2:
                self._buckets.pop(organisation)
                bucket.demand = 0
            if target is not None:
                self._requested_at[organisation] = now
                request = messages.ShareRequest(organisation, bucket.demand)
                priority = messages.Priority.ADMISSION
                sends.append(messages.Send(target, request, priority))
        return sends

    def apply_share(self, share: messages.Share, now: float) -> None:
        """Apply a leased share; its term counts from the request for it."""
        bucket = self._buckets.get(share.organisation)
        requested_at = self._requested_at.get(share.organisation)
        if bucket is not None and requested_at is not None:
            self._refill(share.organisation, bucket, now)
            bucket.rate = share.rate
            bucket.expires = requested_at + share.term_s

    def dump(self, now: float) -> dict[ids.OrgId, tuple[float, bool]]:
        """Return the local rate of each organisation; true if it is leased."""
        return {
            organisation: (self._rate(organisation, bucket, now), leased)
            for organisation, bucket in self._buckets.items()
            for leased in (bucket.expires > now,)
        }

    def _rate(
        self,
        organisation: ids.OrgId,
        bucket: TokenBucket,
        now: float,
    ) -> float:
        if bucket.expires > now:
            return bucket.rate
        return self._cfg.rate(organisation) / self._members

    def _min_capacity(self, organisation: ids.OrgId) -> float:
        """Return an even part of the organisation's burst, at least 1."""
        even_rate = self._cfg.rate(organisation) / self._members
        return max(1, even_rate * self._cfg.burst)

    def _refill(
        self,
        organisation: ids.OrgId,
        bucket: TokenBucket,
        now: float,
    ) -> float:
        rate = self._rate(organisation, bucket, now)
        capacity = max(
            rate * self._cfg.burst,
            self._min_capacity(organisation),
        )
        refilled = bucket.tokens + rate * max(now - bucket.refilled_at, 0)
        bucket.tokens = min(capacity, refilled)
        bucket.refilled_at = now
        return rate
