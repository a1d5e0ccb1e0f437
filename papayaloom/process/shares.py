"""Rate limits of organisations at one router: its shares and those it keeps."""

import typing

from papayaloom import errors, hashing, ids, messages
from papayaloom.process import limits

Routers = typing.Sequence[ids.RouterId]


class Shares:
    """Limiter of this router, and keeper of the organisations it ranks for."""

    def __init__(self, cfg: limits.Cfg, me: ids.RouterId) -> None:
        """Start alone in the region."""
        self._limiter = limits.Limiter(cfg, me)
        self._keeper = limits.Keeper(cfg)
        self._routers: Routers = (me,)

    def configure(self, cfg: limits.Cfg) -> None:
        """Take new rates."""
        self._limiter.configure(cfg)
        self._keeper.configure(cfg)

    def update_members(
        self,
        serving: Routers,
        members: int,
        now: float,
    ) -> None:
        """Take the newest membership of the region.

        :param members: members that are serving or not confirmed gone.
        """
        if tuple(serving) != tuple(self._routers):
            # Organisations may have moved here whose earlier keeper's leases
            # still run.
            self._keeper.begin(now)
        self._routers = serving
        self._keeper.update_members(serving, members)
        self._limiter.update_members(members)

    def refusal(
        self,
        organisation: ids.OrgId,
        now: float,
    ) -> errors.Problem | None:
        """Spend a token, or return why the request is refused."""
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
        """Take a request for a share, or a share."""
        if isinstance(message, messages.ShareRequest):
            return self._keeper.handle(sender, message, now)
        self._limiter.take(message, now)
        return []

    def tick(self, now: float) -> list[messages.Send]:
        """Ask for shares and give back those not needed any more."""
        return self._limiter.tick(self._keeper_of, now)

    def dump(self, now: float) -> dict[ids.OrgId, tuple[float, bool]]:
        """Return each organisation's rate here and whether it is leased."""
        return self._limiter.dump(now)

    def _keeper_of(self, organisation: ids.OrgId) -> ids.RouterId | None:
        return hashing.first(f'keeper/{organisation}', self._routers)
