"""Home side: grants in use and the renewal of their holds."""

import typing

import msgspec

from papayaloom import ids, messages


class Used(msgspec.Struct, frozen=True):
    """A grant in use.

    :param owner: the router that granted it.
    """

    owner: ids.RouterId
    engine: ids.EngineId


class Running:
    """Grants that this router uses as the home of their requests.

    :param renew_s: seconds between two renewals.
    """

    def __init__(self, renew_s: float) -> None:
        """Start without grants."""
        self.renew_s = renew_s
        self._used: dict[int, Used] = {}
        self._renewed = float('-inf')
        self._released: list[messages.Send] = []
        self._ended: dict[Used, None] = {}

    def __len__(self) -> int:
        """Return how many grants are in use."""
        return len(self._used)

    def uses(self, ask: int) -> bool:
        """Tell whether a grant is in use."""
        return ask in self._used

    def add(
        self,
        ask: int,
        owner: ids.RouterId,
        engine: ids.EngineId,
    ) -> None:
        """Note a grant."""
        self._used[ask] = Used(owner, engine)

    def release(
        self,
        ask: int,
        *,
        finished: bool,
        crashed: bool = False,
        tokens: int = 0,
    ) -> list[messages.Send]:
        """Give a grant back to the router that counts it."""
        used = self._used.pop(ask, None)
        if used is None:
            return []
        send = _release(ask, used, finished, crashed, tokens)
        self._released.append(send)
        self._ended[used] = None
        return [send]

    def tick(
        self,
        order: typing.Callable[[ids.EngineId], tuple[ids.RouterId, ...]],
        now: float,
    ) -> list[messages.Send]:
        """Renew the holds and repeat releases.

        Each release is sent twice, because a lost one counts as a running
        request until the next renewal. The holds of a router that does not
        rank for its engine any more move to the first.

        :param order: returns the first and the second in rank for an engine.
        """
        repeated = self._released
        self._released = []
        if now - self._renewed < self.renew_s:
            return repeated
        self._renewed = now
        batches: dict[Used, list[int]] = {used: [] for used in self._ended}
        self._ended.clear()
        for ask, used in list(self._used.items()):
            ranked = order(used.engine)
            if used.owner not in ranked:
                heir = Used(ranked[0], used.engine)
                self._used[ask] = heir
                repeated.append(_release(ask, used))
            batches.setdefault(self._used[ask], []).append(ask)
        return repeated + [
            messages.Send(
                held.owner,
                messages.Hold(held.engine, tuple(asks)),
                messages.Priority.ADMISSION,
            )
            for held, asks in batches.items()
        ]


def _release(
    ask: int,
    used: Used,
    finished: bool = False,
    crashed: bool = False,
    tokens: int = 0,
) -> messages.Send:
    return messages.Send(
        used.owner,
        messages.Release(ask, used.engine, finished, crashed, tokens),
        messages.Priority.ADMISSION,
    )
