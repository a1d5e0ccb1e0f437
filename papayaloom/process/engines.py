"""Live engines of a model and their warm-up."""

import typing

import msgspec

from papayaloom import ids


# With caps that only just add up to the load, no engine has room in time.
_FLOOR_SLACK = 1.5


class Cfg(msgspec.Struct, frozen=True):
    """Times of engines that come and go.

    :param warm_up_s: seconds until a new engine gets its full cap.
    :param gone_s: seconds for which a lost engine still counts in the mean,
        until the load reports of other routers no longer contain its load.
    :param announce_s: seconds until a new engine gets its first request, in
        which every router learns that the number of engines has grown.
    :param flap_memory_s: absence in seconds after which the recorded cache
        contents are dropped.
    """

    warm_up_s: float = 20
    gone_s: float = 1.5
    announce_s: float = 2
    flap_memory_s: float = 60


class Engines:
    """Which engines are live, leaving or warming."""

    def __init__(self, cfg: Cfg) -> None:
        """Start without engines."""
        self._cfg = cfg
        self._since: dict[ids.EngineId, float] = {}
        # New engines alone, so that no admission looks at all of them.
        self._young: dict[ids.EngineId, float] = {}
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
            if self._known:
                self._young[engine] = now
        for left in before - serving:
            self._since.pop(left)
            self._young.pop(left, None)
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

    def counted(self, now: float) -> int:
        """Return the number of engines in the mean, at least 1.

        A new engine counts from a quarter of the announcement on: before any
        router sends it a request, and not much earlier, because a larger
        number lowers the cap of all others.
        """
        early_s = self._cfg.announce_s / 4
        early = sum(now - since < early_s for since in self._young.values())
        gone_s = self._cfg.gone_s
        lost = sum(
            now - at < gone_s and engine not in self._since
            for engine, at in self._lost.items()
        )
        return max(len(self._since) - early + lost, 1)

    def warm_share(
        self,
        engine: ids.EngineId,
        multiple: float,
        now: float,
    ) -> float:
        """Return which share of its cap an engine may use, 0 to 1.

        :param multiple: the load multiple. The share starts where the caps of
            all engines together are above the total load: below that, the
            fleet would refuse requests until its total load has fallen.
        """
        since = self._since.get(engine)
        if since is None or now - since < self._cfg.announce_s:
            return 0
        age = now - since - self._cfg.announce_s
        if age >= self._cfg.warm_up_s:
            return 1
        rising = age / self._cfg.warm_up_s
        return min(1, max(rising, self._least_share(multiple, now), 1e-9))

    def _least_share(self, multiple: float, now: float) -> float:
        full_s = self._cfg.announce_s + self._cfg.warm_up_s
        self._young = {
            engine: since
            for engine, since in self._young.items()
            if now - since < full_s
        }
        warming = len(self._young)
        count = len(self._since)
        needed = count / multiple - (count - warming)
        return _FLOOR_SLACK * needed / max(warming, 1)
