"""Live engines of a model and their warm-up."""

import typing

import msgspec

from papayaloom import ids


# If the caps only just add up to the total load, no engine has capacity when a
# request needs it, so the lowest warm-up share allows for this factor more.
_LEAST_SHARE_FACTOR = 1.5


class Cfg(msgspec.Struct, frozen=True):
    """Timing of engines that join or leave.

    :param warm_up_s: seconds in which the cap of a new engine rises to its full
        value.
    :param gone_s: seconds for which a removed engine still counts in the mean,
        because load reports of other routers still contain its load.
    :param announce_s: seconds until a new engine gets its first request, so
        that every router learns of the larger number of engines first.
    :param flap_memory_s: seconds of absence after which the recorded cache
        contents of an engine are dropped.
    """

    warm_up_s: float = 20
    gone_s: float = 1.5
    announce_s: float = 2
    flap_memory_s: float = 60


class Engines:
    """Tracks which engines are live, leaving or warming up."""

    def __init__(self, cfg: Cfg) -> None:
        """Create an empty set of engines."""
        self._cfg = cfg
        self._added_at: dict[ids.EngineId, float] = {}
        # Only the engines that warm up, so that an admission need not iterate
        # over all engines.
        self._warming: dict[ids.EngineId, float] = {}
        self._removed_at: dict[ids.EngineId, float] = {}
        self._leaving: frozenset[ids.EngineId] = frozenset()
        self._live: frozenset[ids.EngineId] = frozenset()
        self._initialised = False

    def configure(self, cfg: Cfg) -> None:
        """Apply new timing."""
        self._cfg = cfg

    @property
    def live(self) -> frozenset[ids.EngineId]:
        """Engines that are live and not leaving; the mean load counts them."""
        return self._live

    def update(
        self,
        live: typing.Iterable[ids.EngineId],
        leaving: typing.Iterable[ids.EngineId],
        now: float,
    ) -> list[ids.EngineId]:
        """Replace the list of engines.

        Engines of the first list that has any count as warm: this router has
        just started, not they.

        :returns: the engines that have disappeared without leaving first.
        """
        self._leaving = frozenset(leaving)
        serving = set(live) - self._leaving
        known = set(self._added_at)
        for engine in serving - known:
            self._added_at[engine] = now if self._initialised else now - 1e9
            if self._initialised:
                self._warming[engine] = now
        for removed in known - serving:
            self._added_at.pop(removed)
            self._warming.pop(removed, None)
            self._removed_at[removed] = now
        self._initialised = self._initialised or bool(serving)
        self._live = frozenset(serving)
        return sorted(known - serving - self._leaving)

    def pop_absent(self, now: float) -> list[ids.EngineId]:
        """Remove and return the engines absent for ``flap_memory_s``.

        The recorded cache contents of these engines may be dropped.
        """
        memory_s = self._cfg.flap_memory_s
        absent = [
            one for one, at in self._removed_at.items() if now - at >= memory_s
        ]
        for engine in absent:
            self._removed_at.pop(engine)
        return [one for one in absent if one not in self._added_at]

    def mean_divisor(self, now: float) -> int:
        """Return the number of engines for the mean load, at least 1.

        A new engine counts after a quarter of the announcement time. That is
        before any router sends it a request, but not much earlier, because a
        larger number lowers the cap of all other engines.
        """
        uncounted_s = self._cfg.announce_s / 4
        uncounted = sum(
            now - added_at < uncounted_s for added_at in self._warming.values()
        )
        gone_s = self._cfg.gone_s
        removed = sum(
            now - at < gone_s and engine not in self._added_at
            for engine, at in self._removed_at.items()
        )
        return max(len(self._added_at) - uncounted + removed, 1)

    def warm_share(
        self,
        engine: ids.EngineId,
        multiple: float,
        now: float,
    ) -> float:
        """Return the share of its cap that an engine may use, 0 to 1.

        :param multiple: the load multiple. The share starts at the value for
            which the caps of all engines add up to more than the total load;
            with less, the fleet would deny requests until the load falls.
        """
        added_at = self._added_at.get(engine)
        if added_at is None or now - added_at < self._cfg.announce_s:
            return 0
        warming_s = now - added_at - self._cfg.announce_s
        if warming_s >= self._cfg.warm_up_s:
            return 1
        linear_share = warming_s / self._cfg.warm_up_s
        return min(1, max(linear_share, self._least_share(multiple, now), 1e-9))

    def _least_share(self, multiple: float, now: float) -> float:
        full_s = self._cfg.announce_s + self._cfg.warm_up_s
        self._warming = {
            engine: added_at
            for engine, added_at in self._warming.items()
            if now - added_at < full_s
        }
        warming_count = len(self._warming)
        live_count = len(self._added_at)
        missing = live_count / multiple - (live_count - warming_count)
        return _LEAST_SHARE_FACTOR * missing / max(warming_count, 1)
