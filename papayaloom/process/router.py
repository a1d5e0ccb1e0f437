"""Router process: assembles the components, threads and graceful shutdown."""

import random
import sys
import threading
import time
import traceback

import msgspec
import pykka
import structlog

from papayaloom import clock, errors, hashing, ids, messages
from papayaloom.connection import codec, peer_sockets, view_sockets
from papayaloom.ports import engine_http, hosts, kv, service_http
from papayaloom.process import (
    actors,
    admission_client,
    bootstrap,
    configuration,
    core,
    core_client,
    current_settings,
    drain,
    http_front,
    incoming_request,
    ledger_writer,
    liveness,
    metrics,
    outbox,
    polling,
    records,
    request_monitor,
    store_io,
    timers,
)
from papayaloom.version import snapshot

_log = structlog.get_logger('router')
_TICK_PERIOD_S = 0.1
_STOP_TICK_PERIOD_S = 0.25
# A locator that gets no view for several periods considers its router dead.
_VIEW_PERIOD_S = 1.0
# About 20 KB, which the byte budget can send within the handover timeout.
_HANDOVER_RECORDS = 20
_LIVENESS_PERIOD_S = 1.0
# A busy host may delay the actor by seconds; callers' deadlines are longer.
_MAX_MISSED_CHECKS = 15


class Router:
    """A router process.

    :param file: contents of the process's settings file.
    """

    def __init__(self, file: bootstrap.Router) -> None:
        """Bind the addresses; :meth:`start` begins to serve.

        :raises papayaloom.errors.SettingsError: an address is invalid or in
            use.
        """
        self._file = file
        self._clock = clock.SystemClock()
        self._started_unix_ms = self._clock.unix_ms()
        self._current = current_settings.CurrentSettings()
        self._has_stopped = threading.Event()
        self._liveness = liveness.Liveness(_MAX_MISSED_CHECKS)
        self._records = records.Records()
        rng = random.SystemRandom()
        self._core = core.Core(
            _member(file, self._started_unix_ms),
            self._current,
            rng,
            self._records.merge_encoded,
        )
        self._codec = codec.Codec(
            _codec_cfg(file, self._current.snapshot),
            ids.RouterId(file.name),
            self._started_unix_ms,
        )
        self._outbox = outbox.Outbox(
            configuration.outbox_cfg(self._current.snapshot),
            self._codec,
            self._clock.monotonic(),
        )
        self._metrics = metrics.Metrics(
            file.statsd, f'{file.deployment}.{file.name}'
        )
        self._peers = self._open_peers()
        self._views = self._open_publisher()
        store = kv.HttpKv(file.kv_url)
        self._store = store_io.StoreExecutor(store, self._on_store_result)
        self._actor = self._start_actor()
        engines = engine_http.HttpEngines()
        self._core_client = core_client.CoreClient(
            self._actor,
            self._current,
            engines,
            self._core.drain,
            self._clock,
        )
        self._monitor = request_monitor.RequestMonitor(
            self._core_client, self._clock
        )
        self._server = self._build_server(engines, rng)
        self._timers = timers.Timers(self._clock)
        reader = polling.SettingsReader(store, self._current, self._actor)
        self._pollers = (
            polling.host_poller(hosts.HttpHosts(file.hosts_url), self._actor),
            polling.engine_poller(engines, self._actor, self._clock),
            reader.poller(),
        )
        self._current.subscribe(self._configure)

    def start(self) -> None:
        """Start serving; :meth:`begin_stop` starts a graceful shutdown."""
        self._peers.start()
        self._monitor.start()
        self._timers.every(_TICK_PERIOD_S, self._tick)
        self._timers.every(_STOP_TICK_PERIOD_S, self._tick_stop)
        self._timers.every(_VIEW_PERIOD_S, self._publish_view)
        self._timers.every(metrics.PERIOD_S, self._send_metrics)
        self._timers.start()
        for poller in self._pollers:
            poller.start()
        threading.Thread(
            target=self._server.serve, name='http', daemon=True
        ).start()
        _log.info(
            'router: serving',
            name=self._file.name,
            http=self._file.http,
            zone=self._file.zone,
        )

    def wait(self) -> None:
        """Wait until the graceful shutdown is complete.

        :raises papayaloom.errors.PapayaloomError: the actor has ended or no
            longer handles messages; the process must exit, so that the
            platform replaces it and the other routers take over.
        """
        while not self._has_stopped.wait(_LIVENESS_PERIOD_S):
            if not self._actor.is_alive():
                raise errors.PapayaloomError(
                    'decision core actor has terminated'
                )
            if self._liveness.is_stuck():
                _log.error(
                    'router: decision core is not responding',
                    stack=_format_stacks('RouterActor'),
                )
                raise errors.PapayaloomError('decision core is not responding')
        self._close()

    def begin_stop(self) -> None:
        """Begin a graceful shutdown; further calls have no effect."""
        self._actor.tell(actors.Run(self._begin_stop))

    def _begin_stop(
        self, router_core: core.Core, now: float
    ) -> admission_client.Effects:
        return self._carry_out_stop_step(
            router_core, router_core.drain.begin(now), now
        )

    def _tick_stop(self) -> None:
        self._actor.tell(actors.Run(self._continue_stop))

    def _continue_stop(
        self,
        router_core: core.Core,
        now: float,
    ) -> admission_client.Effects:
        if router_core.drain.state is drain.State.SERVING:
            return admission_client.Effects()
        waiting = self._outbox.waiting_bytes(messages.Priority.HANDOVER)
        handed_over = not waiting and router_core.claims.ledger.is_idle
        step = router_core.drain.tick(len(self._monitor), handed_over, now)
        return self._carry_out_stop_step(router_core, step, now)

    def _carry_out_stop_step(
        self,
        router_core: core.Core,
        step: drain.Step,
        now: float,
    ) -> admission_client.Effects:
        """Carry out a step of the graceful shutdown."""
        effects = admission_client.Effects()
        if step.progress:
            _log.info(step.progress)
        if step.announce:
            effects.sends.extend(router_core.members.announce_leaving(now))
        if step.close_idle:
            self._server.close_idle()
        if step.hand_over:
            effects.sends.extend(router_core.chats.handover())
            effects.sends.extend(self._hand_over_records(router_core))
        if step.stop:
            effects.sends.extend(router_core.members.announce_stopped(now))
            self._has_stopped.set()
        return effects

    def _hand_over_records(self, router_core: core.Core) -> list[messages.Send]:
        """Hand the newest records over to the next router in rank."""
        other_routers = [
            router_id
            for router_id in router_core.routers()
            if router_id != router_core.me
        ]
        successor = hashing.highest_ranked(
            f'records/{router_core.me}', other_routers
        )
        if successor is None:
            return []
        encoded = self._records.encode_newest(_HANDOVER_RECORDS)
        return [
            messages.Send(
                successor,
                messages.RecordsHandover((content,)),
                messages.Priority.HANDOVER,
            )
            for content in encoded
        ]

    def _close(self) -> None:
        for poller in self._pollers:
            poller.stop()
        self._timers.stop()
        self._server.stop()
        self._monitor.stop()
        self._store.stop()
        self._actor.stop()
        self._peers.close()
        self._views.close()
        _log.info('router: stopped', name=self._file.name)

    def _open_peers(self) -> peer_sockets.PeerSockets:
        try:
            return peer_sockets.PeerSockets(
                f'tcp://{self._file.control}', self._on_packet
            )
        except Exception as exc:
            raise errors.SettingsError(
                f'cannot listen on control {self._file.control}: {exc}',
            ) from exc

    def _open_publisher(self) -> view_sockets.ViewPublisher:
        try:
            return view_sockets.ViewPublisher(f'tcp://{self._file.local}')
        except Exception as exc:
            raise errors.SettingsError(
                f'cannot listen on local {self._file.local}: {exc}',
            ) from exc

    def _publish_view(self) -> None:
        def step(
            router_core: core.Core, now: float
        ) -> admission_client.Effects:
            self._views.publish(
                router_core.fleet_view(
                    self._file.deployment, self._started_unix_ms
                ),
            )
            return admission_client.Effects()

        self._actor.tell(actors.Run(step))

    def _send_metrics(self) -> None:
        def step(
            router_core: core.Core, now: float
        ) -> admission_client.Effects:
            self._metrics.send(router_core.dump(now), len(self._monitor))
            return admission_client.Effects()

        self._actor.tell(actors.Run(step))

    def _on_packet(self, packet: bytes) -> None:
        self._actor.tell(packet)

    def _on_store_result(self, store_result: ledger_writer.CallResult) -> None:
        self._actor.tell(
            actors.Run(
                lambda router_core, now: router_core.handle_store_result(
                    store_result, now
                )
            ),
        )

    def _start_actor(self) -> pykka.ActorRef[actors.RouterActor]:
        router_io = actors.RouterIO(
            self._codec, self._outbox, self._peers, self._store.run
        )
        return actors.RouterActor.start(self._core, router_io, self._clock)

    def _build_server(
        self,
        engines: engine_http.HttpEngines,
        rng: random.Random,
    ) -> http_front.Server:
        front = http_front.Front(
            incoming_request.Dependencies(
                core_client=self._core_client,
                engines=engines,
                services=service_http.HttpServices(),
                clock=self._clock,
                rng=rng,
                records=self._records,
                monitor=self._monitor,
                sleep=time.sleep,
                router=ids.RouterId(self._file.name),
            ),
        )
        server = http_front.Server(
            bootstrap.parse_host_port(self._file.http, 'http'),
            front,
            configuration.caller_limits(self._current.snapshot),
        )
        try:
            server.prepare()
        except OSError as exc:
            raise errors.SettingsError(
                f'cannot listen on http {self._file.http}: {exc}',
            ) from exc
        return server

    def _tick(self) -> None:
        unix_ms = self._clock.unix_ms()

        def step(
            router_core: core.Core, now: float
        ) -> admission_client.Effects:
            self._liveness.record_heartbeat()
            return router_core.tick(now, unix_ms)

        self._actor.tell(actors.Run(step))

    def _configure(self, settings: snapshot.Snapshot) -> None:
        """Apply new settings; called by the core on the actor's thread."""
        self._codec.configure(_codec_cfg(self._file, settings))
        self._outbox.configure(configuration.outbox_cfg(settings))
        if self._core.drain.state is drain.State.SERVING:
            self._server.configure(configuration.caller_limits(settings))
        if settings.version:
            _log.info(
                'settings: new version in force', version=settings.version
            )


def _format_stacks(prefix: str) -> str:
    """Format the stacks of the threads whose name starts with a prefix."""
    frames = sys._current_frames()  # noqa: SLF001
    return ''.join(
        line
        for thread in threading.enumerate()
        if thread.name.startswith(prefix) and thread.ident in frames
        for line in traceback.format_stack(frames[thread.ident])
    )


def _member(file: bootstrap.Router, started_unix_ms: int) -> messages.Member:
    return messages.Member(
        router=ids.RouterId(file.name),
        address=f'tcp://{file.control}',
        http=f'http://{file.http}',
        zone=ids.ZoneId(file.zone),
        region=ids.RegionId(file.region),
        incarnation=started_unix_ms // 1000,
    )


def _codec_cfg(
    file: bootstrap.Router,
    settings: snapshot.Snapshot,
) -> codec.Cfg:
    """Return the codec keys: those of the settings tree, then the file's."""
    keys = configuration.control_keys(settings) + file.control_keys
    return msgspec.structs.replace(
        codec.Cfg(file.deployment, ()),
        keys=tuple(key.encode() for key in keys),
    )
