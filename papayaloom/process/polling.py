"""Reads of the platform: host list, engines, settings in the store.

Each reader runs on its own thread and hands what it read to the router's
actor, so that a slow outside system delays nothing else.
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
    current,
    dissemination,
)
from papayaloom.version import change, log, snapshot

_log = structlog.get_logger('polling')
_HOSTS_PERIOD_S = 2.0
_ENGINES_PERIOD_S = 1.0
# Cache events only correct what the owner expects from its own grants, so
# they are read in one round of this many, and by the first in rank alone.
_EVENT_ROUNDS = 4
_ENGINE_READERS = 4
_SETTINGS_PERIOD_S = 1.0
# A waiting watch counts as a call of the store; a longer wait costs less and
# notices a lost connection later.
_WATCH_S = 20.0
Actor = pykka.ActorRef[actors.RouterActor]
_Step = typing.Callable[[core.Core, float], admission_client.Effects]


class Poller:
    """A thread that reads again and again until it is stopped.

    :param read: one round; returns the seconds until the next one.
    """

    def __init__(self, name: str, read: typing.Callable[[], float]) -> None:
        """Prepare the thread."""
        self._read = read
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self) -> None:
        """Begin to read."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the round that runs now; does not wait for it."""
        self._stopping.set()

    def _run(self) -> None:
        wait_s: float = 0
        while not self._stopping.wait(wait_s):
            try:
                wait_s = self._read()
            except Exception:
                _log.exception('polling: a read failed')
                wait_s = 1


def host_poller(port: hosts.Hosts, actor: Actor) -> Poller:
    """Return the reader of the host list."""
    etag = ''

    def read() -> float:
        nonlocal etag  # noqa: WPS420 (the state of this closure)
        try:
            listed = port.read(etag)
        except errors.UpstreamError:
            # Membership and the engines' own reports go on deciding.
            return _HOSTS_PERIOD_S
        if listed is not None:
            etag = listed.etag
            _tell(
                actor, lambda decisions, now: decisions.host_list(listed, now)
            )
        return _HOSTS_PERIOD_S

    return Poller('hosts', read)


def engine_poller(
    port: engine.Engines,
    actor: Actor,
    source: clock.Clock,
) -> Poller:
    """Return the reader of the engines that this router may admit to."""
    pool = concurrent.futures.ThreadPoolExecutor(_ENGINE_READERS)
    sequences: dict[ids.EngineId, tuple[str, int]] = {}

    rounds = itertools.count()

    def read_events(
        known: chats.RankedEngine,
        state: engine.State,
    ) -> engine.CacheEvents | None:
        boot, after = sequences.get(known.engine, ('', 0))
        if boot != state.boot:
            after = 0
        try:
            events = port.events(known.url, after)
        except errors.PapayaloomError:
            return None
        sequences[known.engine] = (state.boot, events.last)
        return events

    def read_one(known: chats.RankedEngine, with_events: bool) -> None:
        taken = source.monotonic()
        try:
            state = port.state(known.url)
        except errors.PapayaloomError:
            return
        events = read_events(known, state) if with_events else None
        _tell(
            actor,
            lambda decisions, now: decisions.engine_read(
                known.engine, state, events, taken, now
            ),
        )

    def read() -> float:
        ranked: list[chats.RankedEngine] = typing.cast(
            list[chats.RankedEngine],
            actor.ask(
                actors.Query(
                    lambda decisions, _: decisions.chats.ranked_engines(),
                ),
            ),
        )
        is_due = next(rounds) % _EVENT_ROUNDS == 0
        futures = [
            pool.submit(read_one, known, is_due and known.is_first)
            for known in ranked
        ]
        concurrent.futures.wait(futures)
        return _ENGINES_PERIOD_S

    return Poller('engines', read)


class SettingsReader:
    """Reads the settings in the store, by a watch or now and then.

    A router that does not watch reads seldom: its peers push changes.
    """

    def __init__(
        self,
        store: kv.Kv,
        held: current.Current,
        actor: Actor,
    ) -> None:
        """Prepare the reader; :meth:`poller` runs it."""
        self._store = store
        self._current = held
        self._actor = actor
        self._is_down = False
        self._has_read = False

    def poller(self) -> Poller:
        """Return the thread that reads."""
        return Poller('settings', self.read)

    def read(self) -> float:
        """Read once, and wait for a change when this router watches."""
        try:
            wait_s = self._read()
        except errors.PapayaloomError as exc:
            self._note_down(exc)
            _tell(
                self._actor,
                lambda decisions, now: admission_client.Effects(
                    decisions.settings.store_is_down(now),
                ),
            )
            return _SETTINGS_PERIOD_S
        if self._is_down:
            _log.info('settings: the store answers again')
        self._is_down = False
        return wait_s

    def _read(self) -> float:
        watching, check_s = typing.cast(
            tuple[bool, float],
            self._actor.ask(actors.Query(_plan)),
        )
        revision = 0
        if watching:
            version = self._current.snapshot.version
            listing = self._store.list_prefix(
                log.PREFIX, log.key(version), 1, values=False
            )
            revision = listing.revision
        self._take()
        if not watching:
            return min(check_s, _WATCH_S)
        self._store.watch(log.PREFIX, revision, _WATCH_S)
        return 0

    def _take(self) -> None:
        """Read the newest settings and hand them to the core."""
        held = self._current.snapshot
        since: snapshot.Snapshot | None = held if self._has_read else None
        state = log.read(self._store, since)
        self._has_read = True
        deltas = tuple(change.encode_delta(delta) for delta in state.deltas)
        newer = state.snapshot.version > held.version
        full = state.snapshot.encode() if newer and state.full_version else b''

        def step(decisions: core.Core, now: float) -> admission_client.Effects:
            sends = []
            if full:
                sends = decisions.settings.full_from_store(full, now)
            sends += decisions.settings.from_store(deltas, now)
            return admission_client.Effects(sends)

        _tell(self._actor, step)

    def _note_down(self, exc: Exception) -> None:
        if not self._is_down:
            _log.warning('settings: the store does not answer', reason=str(exc))
        self._is_down = True


def _plan(decisions: core.Core, now: float) -> tuple[bool, float]:
    """Return whether to watch, and the seconds between two reads if not."""
    members = len(decisions.members.alive())
    check_s = dissemination.check_period_s(decisions.distribution(), members)
    return decisions.settings.is_watching(), check_s


def _tell(actor: Actor, step: _Step) -> None:
    actor.tell(actors.Run(step))
