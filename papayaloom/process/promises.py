"""Promises between the first and the second in rank of an engine."""

import collections
import typing

import msgspec

from papayaloom import ids, messages

Counts = typing.Mapping[ids.EngineId, int]


class Cfg(msgspec.Struct, frozen=True):
    """Terms of promises.

    :param promise_s: seconds for which a promise holds.
    :param renew_s: seconds between two requests for the same promise.
    :param confirm_s: seconds after the end of a promise in which its holder
        may still use a part of the cap.
    """

    promise_s: float = 5
    renew_s: float = 1
    confirm_s: float = 30


class Held(msgspec.Struct, frozen=True):
    """A promise that this router got as the first in rank.

    :param since: when it was asked for, on this router's clock, in seconds.
    :param until: end of the term on this router's clock, in seconds.
    :param foreign: running grants of the second when it promised.
    """

    second: ids.RouterId
    since: float
    until: float
    foreign: int


class Given(msgspec.Struct, frozen=True):
    """A promise that this router gave as the second in rank."""

    first: ids.RouterId
    until: float


class Promises:
    """Promises held and given by one router.

    The first counts a term from the moment it sent the request, the second
    from the moment it answered. So a late message shortens the first's term
    and never lengthens it past the second's.
    """

    def __init__(self, cfg: Cfg) -> None:
        """Start without promises."""
        self._cfg = cfg
        self._nonce = 0
        self._sent: collections.OrderedDict[int, tuple[ids.RouterId, float]] = (
            collections.OrderedDict()
        )
        self._held: dict[ids.EngineId, Held] = {}
        self._given: dict[ids.EngineId, Given] = {}

    def configure(self, cfg: Cfg) -> None:
        """Take new terms; promises already made keep theirs."""
        self._cfg = cfg

    def held(
        self,
        engine: ids.EngineId,
        second: ids.RouterId,
    ) -> Held | None:
        """Return the newest promise of a second, valid or expired."""
        found = self._held.get(engine)
        if found is None or found.second != second:
            return None
        return found

    def newest(self, engine: ids.EngineId) -> Held | None:
        """Return the newest promise held, whoever made it."""
        return self._held.get(engine)

    def given(self, engine: ids.EngineId) -> Given | None:
        """Return the newest promise given for an engine, valid or expired."""
        return self._given.get(engine)

    def request(
        self,
        second: ids.RouterId,
        engines: typing.Iterable[ids.EngineId],
        now: float,
    ) -> messages.Send:
        """Ask the second in rank of some engines for a promise."""
        self._nonce += 1
        self._sent[self._nonce] = (second, now)
        while self._sent and (
            now - next(iter(self._sent.values()))[1] > self._cfg.promise_s
        ):
            self._sent.popitem(last=False)
        return messages.Send(
            second,
            messages.PromiseRequest(self._nonce, tuple(engines)),
            messages.Priority.ADMISSION,
        )

    def give(
        self,
        first: ids.RouterId,
        request: messages.PromiseRequest,
        counts: Counts,
        now: float,
    ) -> messages.Send:
        """Promise the engines that are not promised to another router.

        :param counts: engines that may be promised, with own running grants.
        """
        promised: list[tuple[ids.EngineId, int]] = []
        for engine, running in counts.items():
            earlier = self._given.get(engine)
            if earlier and earlier.first != first:
                # The earlier holder still uses a part of the cap.
                if earlier.until + self._cfg.confirm_s > now:
                    continue
            self._given[engine] = Given(first, now + self._cfg.promise_s)
            promised.append((engine, running))
        return messages.Send(
            first,
            messages.Promise(
                request.nonce,
                self._cfg.promise_s,
                tuple(promised),
            ),
            messages.Priority.ADMISSION,
        )

    def release(self, first: ids.RouterId) -> None:
        """Drop what was promised to a router that has handed over."""
        self._given = {
            engine: given
            for engine, given in self._given.items()
            if given.first != first
        }

    def take(
        self,
        sender: ids.RouterId,
        promise: messages.Promise,
    ) -> None:
        """Note a promise; one without a known request is ignored."""
        second, sent = self._sent.get(promise.nonce, (None, 0))
        if second != sender:
            return
        until = sent + promise.promise_s
        for engine, running in promise.counts:
            earlier = self._held.get(engine)
            if earlier is None or earlier.until < until:
                self._held[engine] = Held(sender, sent, until, running)
