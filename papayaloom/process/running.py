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
        release = messages.Release(
            ask,
            used.engine,
            finished,
            crashed,
            tokens,
        )
        priority = messages.Priority.ADMISSION
        return [messages.Send(used.owner, release, priority)]

    def tick(
        self,
        owner: typing.Callable[[ids.EngineId], ids.RouterId | None],
        members: typing.Container[ids.RouterId],
        now: float,
    ) -> list[messages.Send]:
        """Renew the holds; those of a router that is gone move to the next.

        :param owner: returns the first in rank for an engine.
        :param members: routers that are not confirmed gone.
        """
        if now - self._renewed < self.renew_s:
            return []
        self._renewed = now
        batches: dict[Used, list[int]] = {}
        for ask, known in list(self._used.items()):
            used = known
            if known.owner not in members:
                heir = owner(known.engine) or known.owner
                used = Used(heir, known.engine)
                self._used[ask] = used
            batches.setdefault(used, []).append(ask)
        return [
            messages.Send(
                held.owner,
                messages.Hold(held.engine, tuple(asks)),
                messages.Priority.ADMISSION,
            )
            for held, asks in batches.items()
        ]
