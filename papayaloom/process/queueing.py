"""Bounded admission queues of engines."""

import typing

import msgspec

from papayaloom import ids, messages


Admits = typing.Callable[[ids.OrgId], bool]


class Cfg(msgspec.Struct, frozen=True):
    """Limits of a queue.

    :param length: maximum number of waiting requests.
    :param aging_s: waiting time that raises a request by one priority level.
    :param weights: fair-queueing weights of organisations; the default is 1.
    """

    length: int = 64
    aging_s: float = 5
    weights: dict[ids.OrgId, float] = {}


class Entry(msgspec.Struct, frozen=True):
    """A waiting request.

    :param key: sender and the number of its request for admission.
    :param ask: the request for admission; priority 0 is the most urgent.
    :param entered: when the request was queued, in seconds.
    :param expires: when the request is removed, in seconds.
    """

    key: tuple[ids.RouterId, int]
    ask: messages.Ask
    entered: float
    expires: float


class Queue:
    """Queue of one engine: by priority, weighted fairness and expiry."""

    def __init__(self, cfg: Cfg) -> None:
        """Start empty."""
        self._cfg = cfg
        self._entries: dict[tuple[ids.RouterId, int], Entry] = {}
        self._virtual_finish: dict[ids.OrgId, float] = {}
        self._virtual_time: float = 0

    def configure(self, cfg: Cfg) -> None:
        """Apply new limits."""
        self._cfg = cfg

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._entries)

    def __contains__(self, key: tuple[ids.RouterId, int]) -> bool:
        """Return whether a request is queued."""
        return key in self._entries

    def push(self, entry: Entry, now: float) -> Entry | None:
        """Queue a request.

        :returns: the request dropped from a full queue, possibly this one.
        """
        organisation = entry.ask.organisation
        if not any(
            other.ask.organisation == organisation
            for other in self._entries.values()
        ):
            # An organisation gains no credit while it has no waiting requests.
            self._virtual_finish[organisation] = max(
                self._virtual_time,
                self._virtual_finish.get(organisation, 0),
            )
        self._entries[entry.key] = entry
        if len(self._entries) <= self._cfg.length:
            return None
        dropped = self._choose_dropped(now)
        self._entries.pop(dropped.key)
        return dropped

    def pop(self, now: float, admits: Admits) -> Entry | None:
        """Remove the next request of an organisation that may be admitted.

        :param admits: returns whether an organisation may be admitted.
        """
        entry = min(
            (
                one
                for one in self._entries.values()
                if admits(one.ask.organisation)
            ),
            key=lambda waiting: self._sort_key(waiting, now),
            default=None,
        )
        if entry is None:
            return None
        self._entries.pop(entry.key)
        weight = self._cfg.weights.get(entry.ask.organisation, 1)
        start = self._virtual_finish.get(entry.ask.organisation, 0)
        self._virtual_time = max(self._virtual_time, start)
        self._virtual_finish[entry.ask.organisation] = start + 1 / weight
        if not self._entries:
            self._virtual_finish = {
                org: finish
                for org, finish in self._virtual_finish.items()
                if finish > self._virtual_time
            }
        return entry

    def remove(self, key: tuple[ids.RouterId, int]) -> Entry | None:
        """Remove a request that was cancelled."""
        return self._entries.pop(key, None)

    def expire(self, now: float) -> list[Entry]:
        """Remove the expired requests."""
        expired = [one for one in self._entries.values() if one.expires <= now]
        for entry in expired:
            self._entries.pop(entry.key)
        return expired

    def ahead(self, entry: Entry, now: float) -> int:
        """Return how many waiting requests would be served earlier."""
        order = self._sort_key(entry, now)
        return sum(
            self._sort_key(other, now) < order
            for other in self._entries.values()
        )

    def estimated_wait(self, entry: Entry, rate: float, now: float) -> float:
        """Return the expected seconds until a request is served.

        :param rate: requests that the engine finishes per second.
        """
        return (self.ahead(entry, now) + 1) / max(rate, 1e-6)

    def _sort_key(
        self,
        entry: Entry,
        now: float,
    ) -> tuple[int, float, float, typing.Any]:
        levels = int((now - entry.entered) / self._cfg.aging_s)
        return (
            entry.ask.priority - levels,
            self._virtual_finish.get(
                entry.ask.organisation, self._virtual_time
            ),
            entry.expires,
            entry.key,
        )

    def _choose_dropped(self, now: float) -> Entry:
        """Return the last request of the organisation with the most waiting."""
        counts: dict[ids.OrgId, int] = {}
        for entry in self._entries.values():
            counts[entry.ask.organisation] = (
                counts.get(entry.ask.organisation, 0) + 1
            )
        largest = max(counts, key=lambda org: (counts[org], org))
        return max(
            (
                one
                for one in self._entries.values()
                if one.ask.organisation == largest
            ),
            key=lambda waiting: self._sort_key(waiting, now),
        )


class Queues:
    """Queues of the engines that one router owns."""

    def __init__(self, cfg: Cfg) -> None:
        """Start empty."""
        self._cfg = cfg
        self._queues: dict[ids.EngineId, Queue] = {}
        self._engines: dict[tuple[ids.RouterId, int], ids.EngineId] = {}

    def configure(self, cfg: Cfg) -> None:
        """Apply new limits."""
        self._cfg = cfg
        for waiting in self._queues.values():
            waiting.configure(cfg)

    def __contains__(self, key: tuple[ids.RouterId, int]) -> bool:
        """Return whether a request is queued for any engine."""
        return key in self._engines

    def engines(self) -> list[ids.EngineId]:
        """Return the engines with waiting requests."""
        return [engine for engine, waiting in self._queues.items() if waiting]

    def waiting(self, engine: ids.EngineId) -> int:
        """Return the number of requests waiting for an engine."""
        return len(self._queues.get(engine, ()))

    def push(self, entry: Entry, now: float) -> Entry | None:
        """Queue a request for its engine.

        :returns: the request dropped from a full queue, possibly this one.
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
        """Remove the next request for an engine.

        :param admits: returns whether an organisation may be admitted.
        """
        return self._forget(self._queues[engine].pop(now, admits))

    def remove(self, key: tuple[ids.RouterId, int]) -> None:
        """Remove a request that was cancelled."""
        engine = self._engines.pop(key, None)
        if engine is not None:
            self._queues[engine].remove(key)

    def expire(self, now: float) -> list[Entry]:
        """Remove the expired requests."""
        expired: list[Entry] = []
        for waiting in self._queues.values():
            expired.extend(waiting.expire(now))
        for entry in expired:
            self._forget(entry)
        return expired

    def keep(self, engines: typing.Container[ids.EngineId]) -> list[Entry]:
        """Remove the requests for all other engines."""
        dropped: list[Entry] = []
        for engine in list(self._queues):
            if engine not in engines:
                waiting = self._queues.pop(engine)
                dropped.extend(waiting.expire(float('inf')))
        for entry in dropped:
            self._forget(entry)
        return dropped

    def estimated_wait(self, entry: Entry, rate: float, now: float) -> float:
        """Return the expected seconds until a request is served.

        :param rate: requests that the engine finishes per second.
        """
        waiting = self._queues.get(entry.ask.engine, Queue(self._cfg))
        return waiting.estimated_wait(entry, rate, now)

    def _forget(self, entry: Entry | None) -> Entry | None:
        if entry is not None:
            self._engines.pop(entry.key, None)
        return entry
