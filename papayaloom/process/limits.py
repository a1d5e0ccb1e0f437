"""Rate limits of organisations: shares of one rate, leased from a keeper."""

import typing

import msgspec

from papayaloom import ids, messages


class Cfg(msgspec.Struct, frozen=True):
    """Rate limits.

    :param rate_per_s: requests a second of each organisation, fleet-wide.
    :param rates: rates of organisations that have their own.
    :param burst: tokens that may be saved, in seconds of the rate.
    :param term_s: term of a leased share.
    """

    rate_per_s: float = 100
    rates: dict[ids.OrgId, float] = {}
    burst: float = 0.5
    term_s: float = 5

    def rate(self, organisation: ids.OrgId) -> float:
        """Return the fleet-wide rate of an organisation."""
        return self.rates.get(organisation, self.rate_per_s)


class Lease(msgspec.Struct):
    """A share that a keeper has leased.

    :param until: end of the term in seconds of the keeper's clock.
    """

    demand: float
    rate: float
    until: float


class Keeper:
    """Splits the rates of the organisations that this router keeps.

    Members that are not present use their part of the rate on their own, so
    a keeper only splits the part of the members that are present. The same
    holds for a router whose lease ended without a renewal or a return.
    """

    def __init__(self, cfg: Cfg) -> None:
        """Start without leases."""
        self._cfg = cfg
        self._members = 1
        self._present = 1
        self._since = float('-inf')
        self._leases: dict[ids.OrgId, dict[ids.RouterId, Lease]] = {}

    def configure(self, cfg: Cfg) -> None:
        """Take new rates; leases keep theirs until their term ends."""
        self._cfg = cfg

    def update_members(
        self,
        present: typing.Collection[ids.RouterId],
        members: int,
    ) -> None:
        """Take the newest membership.

        :param present: members that answer.
        :param members: members that are present or not confirmed gone.
        """
        self._present = len(present)
        self._members = max(members, 1)
        for leases in self._leases.values():
            for router in leases.keys() - set(present):
                leases.pop(router)

    def begin(self, now: float) -> None:
        """Note that this router has just become a keeper.

        It leases nothing for one term, so that the shares of the earlier
        keeper have ended.
        """
        self._since = now

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.ShareRequest,
        now: float,
    ) -> list[messages.Send]:
        """Lease a share; a demand of zero returns it."""
        leases = self._leases.setdefault(message.organisation, {})
        if message.demand <= 0:
            leases.pop(sender, None)
            return []
        if now - self._since < self._cfg.term_s:
            return []
        lease = leases.pop(sender, None) or Lease(0, 0, 0)
        rate = self._splittable(message.organisation, leases, now)
        running = {
            router: other
            for router, other in leases.items()
            if other.until > now
        }
        sends = _reduce(message.organisation, rate, message, running, now)
        fair = _fair_share(
            rate,
            message.demand,
            [one.demand for one in running.values()],
        )
        rate -= sum(one.rate for one in running.values())
        lease.demand = message.demand
        lease.rate = max(0, min(rate, fair))
        lease.until = now + self._cfg.term_s
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
                lease.rate for lease in leases.values() if lease.until > now
            )
            for organisation, leases in self._leases.items()
        }

    def _splittable(
        self,
        organisation: ids.OrgId,
        others: dict[ids.RouterId, Lease],
        now: float,
    ) -> float:
        """Return the rate without the parts of members that are not heard."""
        silent = sum(lease.until <= now for lease in others.values())
        heard = max(self._present - silent, 1)
        rate = self._cfg.rate(organisation)
        return rate * min(1, heard / self._members)


def _reduce(
    organisation: ids.OrgId,
    rate: float,
    message: messages.ShareRequest,
    running: dict[ids.RouterId, Lease],
    now: float,
) -> list[messages.Send]:
    """Take back what running leases have above their fair share.

    Without this a router to which chats move would refuse them until the
    leases of the others are renewed. A reduction that is lost lets the fleet
    exceed the rate until that renewal.
    """
    sends = []
    for router, lease in running.items():
        demands = [
            other.demand for name, other in running.items() if name != router
        ]
        fair = _fair_share(rate, lease.demand, [*demands, message.demand])
        if lease.rate > fair:
            lease.rate = fair
            share = messages.Share(organisation, fair, lease.until - now)
            sends.append(
                messages.Send(router, share, messages.Priority.ADMISSION),
            )
    return sends


def _fair_share(rate: float, demand: float, others: list[float]) -> float:
    """Return a max-min fair share of a rate.

    What nobody demands is spread evenly, so that a demand can grow.
    """
    level = rate
    left = rate
    waiting = sorted((*others, demand))
    for index, wanted in enumerate(waiting):
        level = left / (len(waiting) - index)
        if wanted > level:
            return min(demand, level)
        left -= wanted
    return demand + left / len(waiting)


class Bucket(msgspec.Struct):
    """Tokens of one organisation at one router.

    :param asked: requests seen since ``since``, refused ones included.
    """

    tokens: float
    filled: float
    asked: float = 0
    since: float = 0
    demand: float = 0
    rate: float = 0
    until: float = float('-inf')
    requested: float = float('-inf')


class Limiter:
    """Admits requests within this router's shares.

    :param router: own identity.
    """

    def __init__(self, cfg: Cfg, router: ids.RouterId) -> None:
        """Start without shares."""
        self._cfg = cfg
        self._router = router
        self._members = 1
        self._buckets: dict[ids.OrgId, Bucket] = {}
        self._sent: dict[ids.OrgId, float] = {}

    def configure(self, cfg: Cfg) -> None:
        """Take new rates."""
        self._cfg = cfg

    def update_members(self, members: int) -> None:
        """Take the number of members not confirmed gone."""
        self._members = max(members, 1)

    def admit(self, organisation: ids.OrgId, now: float) -> float:
        """Spend a token.

        :returns: 0 when admitted, or else the seconds until a token is there.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            # A router that has just started must not refuse the second of two
            # requests of an organisation that is far below its rate.
            saved = self._saved_at_most(organisation)
            bucket = Bucket(saved, now, 0, now)
            self._buckets[organisation] = bucket
        bucket.asked += 1
        rate = self._fill(organisation, bucket, now)
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return 0
        # A new share comes within a term, whatever this one's rate is.
        return min((1 - bucket.tokens) / max(rate, 1e-3), self._cfg.term_s)

    def tick(
        self,
        keeper: typing.Callable[[ids.OrgId], ids.RouterId | None],
        now: float,
    ) -> list[messages.Send]:
        """Ask the keepers for shares by the demand seen.

        :param keeper: returns the keeper of an organisation.
        """
        sends = []
        for organisation, bucket in list(self._buckets.items()):
            if now - bucket.requested < self._cfg.term_s / 4:
                continue
            bucket.requested = now
            seconds = max(now - bucket.since, 1e-3)
            seen = bucket.asked / seconds
            bucket.demand = max(seen, (bucket.demand + seen) / 2)
            bucket.asked = 0
            bucket.since = now
            target = keeper(organisation)
            if bucket.demand < 1e-2:
                self._buckets.pop(organisation)
                bucket.demand = 0
            if target is not None:
                self._sent[organisation] = now
                request = messages.ShareRequest(organisation, bucket.demand)
                priority = messages.Priority.ADMISSION
                sends.append(messages.Send(target, request, priority))
        return sends

    def take(self, share: messages.Share, now: float) -> None:
        """Use a leased share; its term counts from the request for it."""
        bucket = self._buckets.get(share.organisation)
        sent = self._sent.get(share.organisation)
        if bucket is not None and sent is not None:
            self._fill(share.organisation, bucket, now)
            bucket.rate = share.rate
            bucket.until = sent + share.term_s

    def dump(self, now: float) -> dict[ids.OrgId, tuple[float, bool]]:
        """Return each organisation's rate here and whether it is leased."""
        return {
            organisation: (self._rate(organisation, bucket, now), leased)
            for organisation, bucket in self._buckets.items()
            for leased in (bucket.until > now,)
        }

    def _rate(
        self,
        organisation: ids.OrgId,
        bucket: Bucket,
        now: float,
    ) -> float:
        if bucket.until > now:
            return bucket.rate
        return self._cfg.rate(organisation) / self._members

    def _saved_at_most(self, organisation: ids.OrgId) -> float:
        """Return the even part of the organisation's burst, at least 1."""
        even = self._cfg.rate(organisation) / self._members
        return max(1, even * self._cfg.burst)

    def _fill(
        self,
        organisation: ids.OrgId,
        bucket: Bucket,
        now: float,
    ) -> float:
        rate = self._rate(organisation, bucket, now)
        ceiling = max(
            rate * self._cfg.burst,
            self._saved_at_most(organisation),
        )
        grown = bucket.tokens + rate * max(now - bucket.filled, 0)
        bucket.tokens = min(ceiling, grown)
        bucket.filled = now
        return rate
