"""Rate limits of organisations at one router, as limiter and as allocator."""

import typing

from papayaloom import errors, hashing, ids, messages
from papayaloom.process import limits

Routers = typing.Sequence[ids.RouterId]


class OrganisationLimits:
    """Limiter of this router, and allocator of some organisations.

    The allocator of an organisation is the router that ranks first for it.
    """

    def __init__(self, cfg: limits.Cfg, me: ids.RouterId) -> None:
        """Start as the only router of the region."""
        self._limiter = limits.Limiter(cfg, me)
        self._allocator = limits.RateAllocator(cfg)
        self._routers: Routers = (me,)

    def configure(self, cfg: limits.Cfg) -> None:
        """Apply new rates."""
        self._limiter.configure(cfg)
        self._allocator.configure(cfg)

    def update_members(
        self,
        serving: Routers,
        members: int,
        now: float,
    ) -> None:
        """Update the membership of the region.

        :param members: number of members not confirmed gone, serving ones
            included.
        """
        if tuple(serving) != tuple(self._routers):
            # This router may have become the allocator of organisations for
            # which leases of the previous allocator are still valid.
            self._allocator.defer_leases(now)
        self._routers = serving
        self._allocator.update_members(serving, members)
        self._limiter.update_members(members)

    def refusal(
        self,
        organisation: ids.OrgId,
        now: float,
    ) -> errors.Problem | None:
        """Spend a token; return a problem if the request is refused."""
        wait_s = self._limiter.admit(organisation, now)
        if wait_s <= 0:
            return None
        return errors.Problem(
            'the organisation is over its rate',
            429,
            setting='limits.rate_per_s',
            retry_after_s=wait_s,
        )

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.ShareRequest | messages.Share,
        now: float,
    ) -> list[messages.Send]:
        """Handle a request for a share, or a share granted to this router."""
        if isinstance(message, messages.ShareRequest):
            return self._allocator.handle(sender, message, now)
        self._limiter.apply_share(message, now)
        return []

    def tick(self, now: float) -> list[messages.Send]:
        """Request shares and return those no longer needed."""
        return self._limiter.tick(self._allocator_of, now)

    def dump(self, now: float) -> dict[ids.OrgId, tuple[float, bool]]:
        """Return the local rate of each organisation; true if it is leased."""
        return self._limiter.dump(now)

    def _allocator_of(self, organisation: ids.OrgId) -> ids.RouterId | None:
        return hashing.highest_ranked(f'keeper/{organisation}', self._routers)
