"""Promises by which the second in rank leaves an engine to the first.

A promise works like a lease: until its term ends, the router ranked second for
the engine admits nothing, so that the one ranked first may use the whole cap.
"""

import collections
import typing

import msgspec

from papayaloom import ids, messages

Counts = typing.Mapping[ids.EngineId, int]


class Cfg(msgspec.Struct, frozen=True):
    """Timing of promises.

    :param promise_s: term of a promise in seconds.
    :param renew_s: seconds between two requests for the same promise.
    :param confirm_s: seconds after the end of a promise in which its holder
        may still use a part of the cap.
    """

    promise_s: float = 5
    renew_s: float = 1
    confirm_s: float = 30


class Held(msgspec.Struct, frozen=True):
    """A promise that this router holds as the first in rank.

    :param since: time of the request, in seconds of this router's clock.
    :param until: end of the term, in seconds of this router's clock.
    :param foreign: active grants of the second at the time of its promise.
    """

    second: ids.RouterId
    since: float
    until: float
    foreign: int


class Given(msgspec.Struct, frozen=True):
    """A promise that this router has made as the second in rank."""

    first: ids.RouterId
    until: float


class Promises:
    """Promises held and made by one router.

    The first counts the term from sending its request, the second from sending
    its answer. A delayed message thus shortens the term for the first and never
    extends it beyond the end that the second assumes.
    """

    def __init__(self, cfg: Cfg) -> None:
        """Create an empty set of promises."""
        self._cfg = cfg
        self._nonce = 0
        self._sent: collections.OrderedDict[int, tuple[ids.RouterId, float]] = (
            collections.OrderedDict()
        )
        self._held: dict[ids.EngineId, Held] = {}
        self._given: dict[ids.EngineId, Given] = {}

    def configure(self, cfg: Cfg) -> None:
        """Apply new timing; existing promises keep their terms."""
        self._cfg = cfg

    def held(
        self,
        engine: ids.EngineId,
        second: ids.RouterId,
    ) -> Held | None:
        """Return the newest promise of a given second, valid or expired."""
        promise = self._held.get(engine)
        if promise is None or promise.second != second:
            return None
        return promise

    def newest(self, engine: ids.EngineId) -> Held | None:
        """Return the newest promise held for an engine, from any router."""
        return self._held.get(engine)

    def given(self, engine: ids.EngineId) -> Given | None:
        """Return the newest promise made for an engine, valid or expired."""
        return self._given.get(engine)

    def request(
        self,
        second: ids.RouterId,
        engines: typing.Iterable[ids.EngineId],
        now: float,
    ) -> messages.Send:
        """Return the request to the second in rank of some engines."""
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
        """Promise those engines that are not promised to another router.

        :param counts: engines that may be promised, with this router's active
            grants on each.
        """
        promised: list[tuple[ids.EngineId, int]] = []
        for engine, running in counts.items():
            earlier = self._given.get(engine)
            if earlier and earlier.first != first:
                # The earlier holder may still use a part of the cap.
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
        """Drop all promises made to a router that has handed over."""
        self._given = {
            engine: given
            for engine, given in self._given.items()
            if given.first != first
        }

    def record(
        self,
        sender: ids.RouterId,
        promise: messages.Promise,
    ) -> None:
        """Record a promise; one without a matching request is ignored."""
        second, sent = self._sent.get(promise.nonce, (None, 0))
        if second != sender:
            return
        until = sent + promise.promise_s
        for engine, running in promise.counts:
            earlier = self._held.get(engine)
            if earlier is None or earlier.until < until:
                self._held[engine] = Held(sender, sent, until, running)
