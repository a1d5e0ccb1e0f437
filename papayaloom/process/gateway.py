"""A forwarding router process: components, threads and graceful stop."""

import contextlib
import functools
import random
import threading
import time
import typing

import msgspec
import structlog

from papayaloom import clock, errors
from papayaloom.connection import (
    caller_connection,
    idle_pool,
    ingress,
    upstream_connection,
)
from papayaloom.ports import kv
from papayaloom.process import (
    dispatch_actor,
    feed,
    fleet_status,
    forward_job,
    forwarder,
    gateway_cfg,
    gateway_stop,
    internal_endpoints,
    job_matching,
    poison_reports,
    presence,
    relay_watch,
    request_metrics,
    snapshot_client,
    store_view,
    timers,
)
from papayaloom.routing import dispatch
from papayaloom.routing.overload import hedging, retry_delays
from papayaloom.version import routes

_log = structlog.get_logger('gateway')
_CALLER_THREADS = 400
_INTERNAL_THREADS = 32
_SWEEP_INTERVAL_S = 1.0
_STOP_CHECK_INTERVAL_S = 0.1
# Refusals take milliseconds; anything that runs longer has exceeded the time
# for a stop.
_FINAL_DRAIN_S = 0.2
# Time that a caller has left if it does not tell.
_DEFAULT_LEFT_S = 6.0
_STOPPING_RETRY_S = 0.1
# Callers reuse idle connections for up to most of the declared timeout, so the
# host closes them later than that.
_IDLE_MARGIN_S = 10
# Assumed number of hosts in the fleet until they have been listed.
_INITIAL_HOSTS = 6
# Share of the time for an evacuation after which a view is too old to place by;
# in the rest, a change may have been on its way through relay hosts (1.2 s).
_MAX_VIEW_AGE_SHARE = 0.7
# A view gets this old between two calls of a host that watches the store itself.
_MIN_VIEW_AGE_S = 2.5
# Statuses for logs and metrics only; they are never sent to a caller.
_STATUS_CALLER_GONE = 499
_STATUS_ABORTED = 599


class Gateway:
    """A forwarding router process."""

    def __init__(
        self,
        cfg: gateway_cfg.Cfg,
        store: kv.Kv,
        platform: store_view.PlatformAdapter,
        short_timeout_store: kv.Kv | None = None,
    ) -> None:
        """Bind the addresses; :meth:`start` starts the threads.

        :param short_timeout_store: store client with a short timeout.
        """
        self._cfg = cfg
        self._platform = platform
        self._clock = clock.SystemClock()
        self._rng = random.SystemRandom()
        self._stop_begun_at: float | None = None
        self._stopped = threading.Event()
        self._metrics = request_metrics.RequestMetrics()
        self._pool = idle_pool.IdlePool()
        actor = dispatch_actor.DispatchActor.start(
            dispatch.Dispatcher(cfg.placing, self._rng, _INITIAL_HOSTS),
            self._clock,
        )
        self.dispatch_client = dispatch_actor.DispatchClient(actor)
        self._forwarder = forwarder.Forwarder(
            forwarder.Dependencies(
                self.dispatch_client,
                platform.dialect,
                self._pool,
                hedge_delays=hedging.delays(cfg.placing.hedges),
            )
        )
        self._view = store_view.StoreView(
            cfg.host,
            platform,
            self.dispatch_client,
            self._pool.discard,
            self._apply_limits,
        )
        self._relay = relay_watch.RelayWatch(
            store,
            cfg.host.name,
            self._view.hosts,
            self.dispatch_client,
            self._view.describe,
            self._rng,
            asks_peers=cfg.evacuation_s is not None,
        )
        self._feed = feed.Feed(
            store,
            self._relay.watch,
            self._view.sources(),
            feed.Health(
                self._view.store_answered,
                self._view.store_failed,
                snapshot_client.SnapshotClient(
                    cfg.seeds,
                    self._view,
                    refreshes=cfg.evacuation_s is not None,
                ).start_fetch,
                self._store_restored,
            ),
            self._rng,
            short_timeout_store,
        )
        self._presence = presence.Presence(
            store,
            f'{platform.keys.hosts}{cfg.host.name}',
            msgspec.json.encode(cfg.host),
            fleet_status.FleetStatus(
                self._view, cfg.lease_s, lambda: self._feed.is_store_unavailable
            ),
            self._rng,
        )
        self._reporter = poison_reports.Reporter(
            store,
            poison_reports.Destination(
                platform.keys.poison,
                cfg.host.name,
                self._view.hosts,
                lambda: self._feed.is_store_unavailable,
            ),
            self.dispatch_client,
            self._rng,
        )
        self.dispatch_client.on_poison_report = self._reporter.wake
        if cfg.evacuation_s is not None:
            self.dispatch_client.wait_current = functools.partial(
                self._feed.wait_current,
                max(cfg.evacuation_s * _MAX_VIEW_AGE_SHARE, _MIN_VIEW_AGE_S),
            )
        self._timers = timers.Timers(self._clock)
        self._front = self._listen(
            cfg.addresses.callers, self._handle, _CALLER_THREADS
        )
        self._internal = internal_endpoints.InternalEndpoints(
            internal_endpoints.Dependencies(
                view=self._view,
                relay=self._relay,
                metrics=self._metrics,
                dispatch_client=self.dispatch_client,
                platform=platform,
                ttl_s=cfg.ttl_s,
                is_stopping=lambda: self._stop_begun_at is not None,
                is_listening=lambda: self._front.ready,
                dump=self.dump,
            )
        )
        self._servers = {
            'callers': self._front,
            'readiness': self._listen_internal(cfg.addresses.readiness),
            'directory': self._listen_internal(cfg.addresses.directory),
            'control': self._listen_internal(cfg.addresses.control),
            'metrics': self._listen_internal(cfg.addresses.metrics),
        }

    @property
    def addresses(self) -> dict[str, tuple[str, int]]:
        """Bound addresses by purpose."""
        return {name: one.bind_addr for name, one in self._servers.items()}

    def start(self) -> None:
        """Start all threads; they serve until a graceful stop has ended."""
        self._feed.start()
        self._presence.start()
        for one in self._servers.values():
            threading.Thread(target=one.serve, daemon=True).start()
        self._timers.every(_SWEEP_INTERVAL_S, self._sweep)
        self._timers.every(_STOP_CHECK_INTERVAL_S, self._check_stop)
        self._timers.start()
        _log.info(
            'gateway: started',
            host=self._cfg.host.name,
            address=self._cfg.host.address,
        )

    def wait(self, timeout_s: float) -> bool:
        """Return whether a graceful stop has ended, within a time."""
        return self._stopped.wait(timeout_s)

    def close(self) -> None:
        """Stop all threads without waiting for running requests."""
        self._feed.stop()
        self._presence.stop()
        self._reporter.stop()
        self._timers.stop()
        # In parallel, since each server takes half a second for its selector.
        stopping = [
            threading.Thread(target=one.stop) for one in self._servers.values()
        ]
        for thread in stopping:
            thread.start()
        for thread in stopping:
            thread.join()

    def begin_stop(self) -> None:
        """Begin a graceful stop; further calls have no effect."""
        if self._stop_begun_at is not None:
            return
        self._stop_begun_at = time.monotonic()
        self._presence.stop()
        self._front.close_idle()
        _log.info('gateway: stopping', running=self._metrics.running)

    def dump(self) -> dict[str, object]:
        """Return the state for the operator's dump."""
        return {
            'host': self._cfg.host.name,
            'version': self._view.version,
            'hosts': [one.address for one in self._view.hosts.all()],
            'stopping': self._stop_begun_at is not None,
            'tally': self._metrics.dump(),
            'buffered_bytes': self._forwarder.buffered_bytes,
            'dispatch': self.dispatch_client.ask(
                lambda dispatcher, now: dispatcher.dump(now)
            ),
        }

    def _listen_internal(self, address: tuple[str, int]) -> ingress.Ingress:
        return self._listen(address, self._internal.serve, _INTERNAL_THREADS)

    def _apply_limits(self, limits: routes.CallerLimits) -> None:
        self._front.configure(
            caller_connection.CallerLimits(
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                header_s=limits.header_s,
                idle_s=limits.idle_s + _IDLE_MARGIN_S,
                threads=_CALLER_THREADS,
            )
        )
        if self._stop_begun_at is not None:
            self._front.close_idle()

    def _listen(
        self,
        address: tuple[str, int],
        handler: ingress.Handler,
        threads: int,
    ) -> ingress.Ingress:
        server = ingress.Ingress(
            address, handler, caller_connection.CallerLimits(threads=threads)
        )
        try:
            server.prepare()
        except OSError as exc:
            raise errors.SettingsError(
                f'cannot listen on {address[0]}:{address[1]}: {exc}'
            ) from exc
        return server

    def _handle(self, received: typing.Any) -> None:
        started_at = time.monotonic()
        with self._metrics.track_running():
            status, why = self._forward(received)
        self._metrics.record_end(status, time.monotonic() - started_at)
        _log.info(
            'gateway: request ended',
            request=self._platform.dialect.request_id(received.inheaders),
            status=status,
            why=why,
            seconds=round(time.monotonic() - started_at, 3),
            version=self._view.version,
        )

    def _forward(self, received: typing.Any) -> tuple[int, str]:
        inbound: ingress.InboundRequest | None = None
        try:
            inbound = ingress.InboundRequest(received)
            return self._forwarder.forward(self._job(inbound)), ''
        except errors.RefusedError as exc:
            return self._send_problem(received, inbound, exc.problem)
        except upstream_connection.CallerDisconnectedError as exc:
            ingress.abort_response(received)
            return _STATUS_CALLER_GONE, str(exc)
        except ingress.ResponseAbortedError as exc:
            ingress.abort_response(received)
            return _STATUS_ABORTED, str(exc)

    def _send_problem(
        self,
        received: typing.Any,
        inbound: ingress.InboundRequest | None,
        problem: errors.Problem,
    ) -> tuple[int, str]:
        with contextlib.suppress(OSError):
            ingress.send_problem(received, inbound, problem)
        return problem.status, f'{problem.title} {problem.detail}'.strip()

    def _job(self, inbound: ingress.InboundRequest) -> forward_job.Job:
        dialect = self._platform.dialect
        if inbound.repeated_fields & dialect.single_fields:
            inbound.close_after()
            raise _refused('a field came more than once', 400)
        request_info = dialect.read_request(inbound.headers)
        table = self._check_accepting(inbound, request_info.timeout_s)
        job = job_matching.match(inbound, request_info, table, self._rng)
        job.deadline = min(
            job.deadline,
            gateway_stop.answer_by(self._cfg.stop, self._stop_begun_at),
        )
        return job

    def _check_accepting(
        self, inbound: ingress.InboundRequest, timeout_s: float | None
    ) -> routes.RouteTable:
        table = self._view.table
        if table is None:
            self._feed.wait_listed()
            table = self._view.table
        if table is None:
            raise _refused(
                'no route table is known yet',
                503,
                retry_delays.outage_s(timeout_s or _DEFAULT_LEFT_S, self._rng),
            )
        if self._state() not in _FORWARDING:
            inbound.close_after()
            raise _refused('this host is stopping', 503, _STOPPING_RETRY_S)
        return table

    def _store_restored(self) -> None:
        self._view.store_restored()
        self._presence.store_restored()
        self._reporter.store_restored()

    def _sweep(self) -> None:
        self._pool.close_expired()
        self._view.tick()
        if self._view.evacuations.needs_listing(self._rng):
            self._feed.list_again()
        for one in self._servers.values():
            one.trim()

    def _state(self) -> gateway_stop.State:
        return gateway_stop.state(
            self._cfg.stop,
            self._stop_begun_at,
            self._metrics.running,
            time.monotonic(),
        )

    def _check_stop(self) -> None:
        if self._state() is not gateway_stop.State.ENDED:
            return
        # Requests that were read before this are answered; no more are read.
        self._front.stop_reading()
        if not self._front.wait_idle(_FINAL_DRAIN_S):
            _log.warning('gateway: stop interrupted running requests')
        _log.info('gateway: stopped', running=self._metrics.running)
        self._stopped.set()


_FORWARDING = frozenset(
    (gateway_stop.State.SERVING, gateway_stop.State.LEAVING)
)


def _refused(
    title: str, status: int, retry_after_s: float = 0
) -> errors.RefusedError:
    return errors.RefusedError(
        errors.Problem(title, status, retry_after_s=retry_after_s)
    )
