"""Bounded queue in front of one engine."""

import typing

import msgspec

from papayaloom import ids, messages


Admits = typing.Callable[[ids.OrgId], bool]


class Cfg(msgspec.Struct, frozen=True):
    """Limits of a queue.

    :param length: most requests that wait.
    :param aging_s: seconds of waiting that raise a request by one priority.
    :param weights: weights of organisations; others weigh 1.
    """

    length: int = 64
    aging_s: float = 5
    weights: dict[ids.OrgId, float] = {}


class Entry(msgspec.Struct, frozen=True):
    """A waiting request.

    :param key: sender and number of its ask.
    :param ask: its priority 0 is the most urgent.
    :param entered: when it began to wait, in seconds.
    :param leaves: when it gives up, in seconds.
    """

    key: tuple[ids.RouterId, int]
    ask: messages.Ask
    entered: float
    leaves: float


class Queue:
    """Orders waiting requests by priority, fairness and deadline."""

    def __init__(self, cfg: Cfg) -> None:
        """Start empty."""
        self._cfg = cfg
        self._entries: dict[tuple[ids.RouterId, int], Entry] = {}
        self._served: dict[ids.OrgId, float] = {}
        self._virtual: float = 0

    def configure(self, cfg: Cfg) -> None:
        """Take new limits."""
        self._cfg = cfg

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._entries)

    def __contains__(self, key: tuple[ids.RouterId, int]) -> bool:
        """Tell whether a request waits."""
        return key in self._entries

    def push(self, entry: Entry, now: float) -> Entry | None:
        """Let a request wait.

        :returns: the request that had to make room, which may be this one.
        """
        organisation = entry.ask.organisation
        if not any(
            other.ask.organisation == organisation
            for other in self._entries.values()
        ):
            # An organisation gets no credit for the time it did not wait.
            self._served[organisation] = max(
                self._virtual,
                self._served.get(organisation, 0),
            )
        self._entries[entry.key] = entry
        if len(self._entries) <= self._cfg.length:
            return None
        dropped = self._victim(now)
        self._entries.pop(dropped.key)
        return dropped

    def pop(self, now: float, admits: Admits) -> Entry | None:
        """Take out the next request of an organisation that may have one."""
        entry = min(
            (
                one
                for one in self._entries.values()
                if admits(one.ask.organisation)
            ),
            key=lambda waiting: self._order(waiting, now),
            default=None,
        )
        if entry is None:
            return None
        self._entries.pop(entry.key)
        weight = self._cfg.weights.get(entry.ask.organisation, 1)
        start = self._served.get(entry.ask.organisation, 0)
        self._virtual = max(self._virtual, start)
        self._served[entry.ask.organisation] = start + 1 / weight
        if not self._entries:
            self._served = {
                org: served
                for org, served in self._served.items()
                if served > self._virtual
            }
        return entry

    def remove(self, key: tuple[ids.RouterId, int]) -> Entry | None:
        """Take out a request that was given up."""
        return self._entries.pop(key, None)

    def expire(self, now: float) -> list[Entry]:
        """Take out the requests whose time to wait has passed."""
        late = [one for one in self._entries.values() if one.leaves <= now]
        for entry in late:
            self._entries.pop(entry.key)
        return late

    def ahead(self, entry: Entry, now: float) -> int:
        """Count the waiting requests that would be served earlier."""
        order = self._order(entry, now)
        return sum(
            self._order(other, now) < order for other in self._entries.values()
        )

    def estimated_wait(self, entry: Entry, rate: float, now: float) -> float:
        """Return the seconds until a request would be served.

        :param rate: requests that leave the engine per second.
        """
        return (self.ahead(entry, now) + 1) / max(rate, 1e-6)

    def _order(
        self,
        entry: Entry,
        now: float,
    ) -> tuple[int, float, float, typing.Any]:
        raised = int((now - entry.entered) / self._cfg.aging_s)
        return (
            entry.ask.priority - raised,
            self._served.get(entry.ask.organisation, self._virtual),
            entry.leaves,
            entry.key,
        )

    def _victim(self, now: float) -> Entry:
        """Choose the last request of the organisation with the most."""
        counts: dict[ids.OrgId, int] = {}
        for entry in self._entries.values():
            counts[entry.ask.organisation] = (
                counts.get(entry.ask.organisation, 0) + 1
            )
        most = max(counts, key=lambda org: (counts[org], org))
        return max(
            (
                one
                for one in self._entries.values()
                if one.ask.organisation == most
            ),
            key=lambda waiting: self._order(waiting, now),
        )


class Queues:
    """Queues of all engines of an owner."""

    def __init__(self, cfg: Cfg) -> None:
        """Start empty."""
        self._cfg = cfg
        self._queues: dict[ids.EngineId, Queue] = {}
        self._engines: dict[tuple[ids.RouterId, int], ids.EngineId] = {}

    def configure(self, cfg: Cfg) -> None:
        """Take new limits."""
        self._cfg = cfg
        for waiting in self._queues.values():
            waiting.configure(cfg)

    def __contains__(self, key: tuple[ids.RouterId, int]) -> bool:
        """Tell whether a request waits for any engine."""
        return key in self._engines

    def engines(self) -> list[ids.EngineId]:
        """Return the engines for which requests wait."""
        return [engine for engine, waiting in self._queues.items() if waiting]

    def waiting(self, engine: ids.EngineId) -> int:
        """Return how many requests wait for an engine."""
        return len(self._queues.get(engine, ()))

    def push(self, entry: Entry, now: float) -> Entry | None:
        """Let a request wait for its engine.

        :returns: the request that had to make room, which may be this one.
        """
        engine = entry.ask.engine
        self._engines[entry.key] = engine
        waiting = self._queues.setdefault(engine, Queue(self._cfg))
        return self._forget(waiting.push(entry, now))

    def pop(
        self,
        engine: ids.EngineId,
        now: float,
        admits: Admits,
    ) -> Entry | None:
        """Take the next request for an engine out.

        :param admits: tells whether an organisation may have one more.
        """
        return self._forget(self._queues[engine].pop(now, admits))

    def remove(self, key: tuple[ids.RouterId, int]) -> None:
        """Take out a request that was given up."""
        engine = self._engines.pop(key, None)
        if engine is not None:
            self._queues[engine].remove(key)

    def expire(self, now: float) -> list[Entry]:
        """Take out the requests whose time to wait has passed."""
        late: list[Entry] = []
        for waiting in self._queues.values():
            late.extend(waiting.expire(now))
        for entry in late:
            self._forget(entry)
        return late

    def keep(self, engines: typing.Container[ids.EngineId]) -> list[Entry]:
        """Take out the requests that wait for any other engine."""
        dropped: list[Entry] = []
        for engine in list(self._queues):
            if engine not in engines:
                waiting = self._queues.pop(engine)
                dropped.extend(waiting.expire(float('inf')))
        for entry in dropped:
            self._forget(entry)
        return dropped

    def estimated_wait(self, entry: Entry, rate: float, now: float) -> float:
        """Return the seconds until a request would be served.

        :param rate: requests that leave the engine per second.
        """
        waiting = self._queues.get(entry.ask.engine, Queue(self._cfg))
        return waiting.estimated_wait(entry, rate, now)

    def _forget(self, entry: Entry | None) -> Entry | None:
        if entry is not None:
            self._engines.pop(entry.key, None)
        return entry
