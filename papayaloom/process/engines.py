"""Live engines of a model and their warm-up."""

import typing

import msgspec

from papayaloom import ids


class Cfg(msgspec.Struct, frozen=True):
    """Times of engines that come and go.

    :param warm_up_s: seconds until a new engine gets its full cap.
    :param announce_s: seconds until a new engine gets its first request, in
        which every router learns that the number of engines has grown.
    :param flap_memory_s: absence in seconds after which the recorded cache
        contents are dropped.
    """

    warm_up_s: float = 20
    announce_s: float = 2
    flap_memory_s: float = 60


class Engines:
    """Which engines are live, leaving or warming."""

    def __init__(self, cfg: Cfg) -> None:
        """Start without engines."""
        self._cfg = cfg
        self._since: dict[ids.EngineId, float] = {}
        self._lost: dict[ids.EngineId, float] = {}
        self._leaving: frozenset[ids.EngineId] = frozenset()
        self._live: frozenset[ids.EngineId] = frozenset()
        self._known = False

    def configure(self, cfg: Cfg) -> None:
        """Take new times."""
        self._cfg = cfg

    @property
    def live(self) -> frozenset[ids.EngineId]:
        """Engines that count in the mean: live and not leaving."""
        return self._live

    def update(
        self,
        live: typing.Iterable[ids.EngineId],
        leaving: typing.Iterable[ids.EngineId],
        now: float,
    ) -> list[ids.EngineId]:
        """Take the newest list of engines.

        Engines of the first list that is taken count as warm: this router
        started, they did not.

        :returns: the engines that are gone; leaving ones are not among them.
        """
        self._leaving = frozenset(leaving)
        serving = set(live) - self._leaving
        before = set(self._since)
        for engine in serving - before:
            self._since[engine] = now if self._known else now - 1e9
        for left in before - serving:
            self._since.pop(left)
            self._lost[left] = now
        self._known = self._known or bool(serving)
        self._live = frozenset(serving)
        return sorted(before - serving - self._leaving)

    def forgettable(self, now: float) -> list[ids.EngineId]:
        """Return engines gone for longer than their cache is remembered."""
        memory = self._cfg.flap_memory_s
        late = [one for one, at in self._lost.items() if now - at >= memory]
        for gone in late:
            self._lost.pop(gone)
        return [one for one in late if one not in self._since]

    def warm_share(self, engine: ids.EngineId, now: float) -> float:
        """Return which share of its cap an engine may use, 0 to 1."""
        since = self._since.get(engine)
        if since is None:
            return 0
        age = now - since - self._cfg.announce_s
        if age < 0:
            return 0
        if age >= self._cfg.warm_up_s:
            return 1
        return max(age / self._cfg.warm_up_s, 1e-9)
