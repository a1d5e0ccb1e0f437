"""Grants that a home router uses, and the renewal of their holds."""

import typing

import msgspec

from papayaloom import ids, messages


class GrantInUse(msgspec.Struct, frozen=True):
    """A grant in use.

    :param owner: router that counts the grant.
    """

    owner: ids.RouterId
    engine: ids.EngineId


class GrantsInUse:
    """Grants that this router uses for requests of its chats.

    :param renew_s: seconds between two renewals.
    """

    def __init__(self, renew_s: float) -> None:
        """Create an empty set of grants."""
        self.renew_s = renew_s
        self._in_use: dict[int, GrantInUse] = {}
        self._renewed_at = float('-inf')
        self._to_repeat: list[messages.Send] = []
        self._ended_since_renewal: dict[GrantInUse, None] = {}

    def __len__(self) -> int:
        """Return the number of grants in use."""
        return len(self._in_use)

    def is_in_use(self, ask: int) -> bool:
        """Return whether a grant is in use."""
        return ask in self._in_use

    def add(
        self,
        ask: int,
        owner: ids.RouterId,
        engine: ids.EngineId,
    ) -> None:
        """Add a grant."""
        self._in_use[ask] = GrantInUse(owner, engine)

    def release(
        self,
        ask: int,
        *,
        finished: bool,
        crashed: bool = False,
        tokens: int = 0,
    ) -> list[messages.Send]:
        """Return the message that releases a grant at its owner."""
        grant = self._in_use.pop(ask, None)
        if grant is None:
            return []
        send = _release(ask, grant, finished, crashed, tokens)
        self._to_repeat.append(send)
        self._ended_since_renewal[grant] = None
        return [send]

    def tick(
        self,
        order: typing.Callable[[ids.EngineId], tuple[ids.RouterId, ...]],
        now: float,
    ) -> list[messages.Send]:
        """Renew the holds and repeat the latest releases.

        Each release is sent twice, because after a lost one the request counts
        as running until the next renewal. The grants of an owner that is no
        longer first or second in rank for the engine move to the first.

        :param order: returns the first and the second in rank for an engine.
        """
        repeated = self._to_repeat
        self._to_repeat = []
        if now - self._renewed_at < self.renew_s:
            return repeated
        self._renewed_at = now
        batches: dict[GrantInUse, list[int]] = {
            grant: [] for grant in self._ended_since_renewal
        }
        self._ended_since_renewal.clear()
        for ask, grant in list(self._in_use.items()):
            ranked = order(grant.engine)
            if grant.owner not in ranked:
                moved = GrantInUse(ranked[0], grant.engine)
                self._in_use[ask] = moved
                repeated.append(_release(ask, grant))
            batches.setdefault(self._in_use[ask], []).append(ask)
        return repeated + [
            messages.Send(
                renewed.owner,
                messages.Hold(renewed.engine, tuple(asks)),
                messages.Priority.ADMISSION,
            )
            for renewed, asks in batches.items()
        ]


def _release(
    ask: int,
    grant: GrantInUse,
    finished: bool = False,
    crashed: bool = False,
    tokens: int = 0,
) -> messages.Send:
    return messages.Send(
        grant.owner,
        messages.Release(ask, grant.engine, finished, crashed, tokens),
        messages.Priority.ADMISSION,
    )
