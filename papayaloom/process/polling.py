"""Polling of external systems: host list, engines and settings store.

Each poller runs on its own thread and passes its results to the router's
actor, so that a slow external system delays nothing else.
"""

import concurrent.futures
import itertools
import threading
import typing

import pykka
import structlog

from papayaloom import clock, errors, ids
from papayaloom.ports import engine, hosts, kv
from papayaloom.process import (
    actors,
    admission_client,
    chats,
    core,
    current_settings,
    dissemination,
)
from papayaloom.version import change, settings_log, snapshot

_log = structlog.get_logger('polling')
_HOSTS_PERIOD_S = 2.0
_ENGINES_PERIOD_S = 1.0
# Cache events only correct the state that the owner predicts from its own
# grants. They are therefore read once in this many rounds, and only by the
# first-ranked router.
_ROUNDS_PER_EVENT_READ = 4
_ENGINE_THREADS = 4
_SETTINGS_PERIOD_S = 1.0
# A watch counts as one call to the store. A longer watch reduces calls but
# delays the detection of a lost connection.
_WATCH_TIMEOUT_S = 20.0
Actor = pykka.ActorRef[actors.RouterActor]
_Step = typing.Callable[[core.Core, float], admission_client.Effects]


class Poller:
    """A thread that polls until it is stopped.

    :param read: runs one round; returns the seconds until the next one.
    """

    def __init__(self, name: str, read: typing.Callable[[], float]) -> None:
        """Create the thread without starting it."""
        self._read = read
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current round, without waiting for it."""
        self._stopping.set()

    def _run(self) -> None:
        wait_s: float = 0
        while not self._stopping.wait(wait_s):
            try:
                wait_s = self._read()
            except Exception:
                _log.exception('polling: read failed')
                wait_s = 1


def host_poller(port: hosts.Hosts, actor: Actor) -> Poller:
    """Return the poller for the host list."""
    etag = ''

    def read() -> float:
        nonlocal etag  # noqa: WPS420 (the state of this closure)
        try:
            listed = port.read(etag)
        except errors.UpstreamError:
            # Membership and the engines' own reports remain in use.
            return _HOSTS_PERIOD_S
        if listed is not None:
            etag = listed.etag
            _tell(
                actor,
                lambda router_core, now: router_core.update_host_list(
                    listed, now
                ),
            )
        return _HOSTS_PERIOD_S

    return Poller('hosts', read)


def engine_poller(
    port: engine.Engines,
    actor: Actor,
    source: clock.Clock,
) -> Poller:
    """Return the poller for the engines that this router may admit to."""
    pool = concurrent.futures.ThreadPoolExecutor(_ENGINE_THREADS)
    sequences: dict[ids.EngineId, tuple[str, int]] = {}

    rounds = itertools.count()

    def read_events(
        candidate: chats.RankedEngine,
        state: engine.State,
    ) -> engine.CacheEvents | None:
        boot, after = sequences.get(candidate.engine, ('', 0))
        if boot != state.boot:
            after = 0
        try:
            events = port.events(candidate.url, after)
        except errors.PapayaloomError:
            return None
        sequences[candidate.engine] = (state.boot, events.last)
        return events

    def read_engine(candidate: chats.RankedEngine, with_events: bool) -> None:
        read_at = source.monotonic()
        try:
            state = port.state(candidate.url)
        except errors.PapayaloomError:
            return
        events = read_events(candidate, state) if with_events else None
        _tell(
            actor,
            lambda router_core, now: router_core.record_engine_state(
                candidate.engine, state, events, read_at, now
            ),
        )

    def read() -> float:
        ranked: list[chats.RankedEngine] = typing.cast(
            list[chats.RankedEngine],
            actor.ask(
                actors.Query(
                    lambda router_core, _: router_core.chats.ranked_engines(),
                ),
            ),
        )
        is_due = next(rounds) % _ROUNDS_PER_EVENT_READ == 0
        futures = [
            pool.submit(read_engine, candidate, is_due and candidate.is_first)
            for candidate in ranked
        ]
        concurrent.futures.wait(futures)
        return _ENGINES_PERIOD_S

    return Poller('engines', read)


class SettingsReader:
    """Reads settings from the store, with a watch or by infrequent polling.

    A router that does not watch polls infrequently, because its peers push
    changes.
    """

    def __init__(
        self,
        store: kv.Kv,
        settings: current_settings.CurrentSettings,
        actor: Actor,
    ) -> None:
        """Create the reader; :meth:`poller` returns the thread that runs it."""
        self._store = store
        self._current = settings
        self._actor = actor
        self._is_unavailable = False
        self._has_read = False

    def poller(self) -> Poller:
        """Return the poller that runs this reader."""
        return Poller('settings', self.read)

    def read(self) -> float:
        """Read once, then wait for a change if this router watches."""
        try:
            wait_s = self._read()
        except errors.PapayaloomError as exc:
            self._log_unavailable(exc)
            _tell(
                self._actor,
                lambda router_core, now: admission_client.Effects(
                    router_core.settings.handle_store_unavailable(now),
                ),
            )
            return _SETTINGS_PERIOD_S
        if self._is_unavailable:
            _log.info('settings: store is available again')
        self._is_unavailable = False
        return wait_s

    def _read(self) -> float:
        watching, check_s = typing.cast(
            tuple[bool, float],
            self._actor.ask(actors.Query(_watch_plan)),
        )
        revision = 0
        if watching:
            version = self._current.snapshot.version
            listing = self._store.list_prefix(
                settings_log.PREFIX,
                settings_log.record_key(version),
                1,
                values=False,
            )
            revision = listing.revision
        self._read_changes()
        if not watching:
            return min(check_s, _WATCH_TIMEOUT_S)
        self._store.watch(settings_log.PREFIX, revision, _WATCH_TIMEOUT_S)
        return 0

    def _read_changes(self) -> None:
        """Read the newest settings and pass them to the core."""
        current_snapshot = self._current.snapshot
        since: snapshot.Snapshot | None = (
            current_snapshot if self._has_read else None
        )
        state = settings_log.read(self._store, since)
        self._has_read = True
        deltas = tuple(change.encode_delta(delta) for delta in state.deltas)
        newer = state.snapshot.version > current_snapshot.version
        full_state = (
            state.snapshot.encode() if newer and state.full_version else b''
        )

        def step(
            router_core: core.Core, now: float
        ) -> admission_client.Effects:
            sends = []
            if full_state:
                sends = router_core.settings.apply_full_from_store(
                    full_state, now
                )
            sends += router_core.settings.apply_from_store(deltas, now)
            return admission_client.Effects(sends)

        _tell(self._actor, step)

    def _log_unavailable(self, exc: Exception) -> None:
        if not self._is_unavailable:
            _log.warning('settings: store is unavailable', reason=str(exc))
        self._is_unavailable = True


def _watch_plan(router_core: core.Core, now: float) -> tuple[bool, float]:
    """Return whether to watch, and the polling interval otherwise."""
    members = len(router_core.members.alive())
    check_s = dissemination.check_period_s(
        router_core.distribution_cfg(), members
    )
    return router_core.settings.is_watching(), check_s


def _tell(actor: Actor, step: _Step) -> None:
    actor.tell(actors.Run(step))
