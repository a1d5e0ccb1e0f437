"""Orderer process: performs the I/O for :mod:`papayaloom.process.orders`.

An actor owns the :class:`~papayaloom.process.orders.Controller`. Reads
and orders run on a thread pool, which passes the results back to the actor.
Store calls, including those for the lease, have a thread pool of their own.
"""

import concurrent.futures
import secrets
import typing

import msgspec
import pykka
import structlog
from cheroot import wsgi

from papayaloom import clock, errors, ids
from papayaloom.ports import engine, engine_http, hosts, kv, weights
from papayaloom.process import (
    bootstrap,
    orders,
    orders_fleet,
    orders_pacing,
    orders_plan,
    orders_settings,
    store_io,
    timers,
)
from papayaloom.version import settings_log, snapshot

_log = structlog.get_logger('orderer')
_TICK_INTERVAL_S = 0.25
_HOSTS_INTERVAL_S = 2
_SETTINGS_INTERVAL_S = 2
# A process without the lease reads the settings once per this many intervals;
# the takeover wait is longer than that.
_STANDBY_INTERVALS = 5
_ENGINE_THREADS = 16
_STATUS_THREADS = 4
_Call = typing.Callable[[orders.Controller, float], typing.Any]
_StartResponse = typing.Callable[[str, list[tuple[str, str]]], object]


class OrdersActor(pykka.ThreadingActor):
    """Owns the orders; a message is a function to call with them.

    :param execute: starts the I/O for an output.
    """

    def __init__(
        self,
        controller: orders.Controller,
        execute: typing.Callable[[orders.Output], None],
        source: clock.Clock,
    ) -> None:
        """Initialise the actor."""
        super().__init__()
        self._orders = controller
        self._execute = execute
        self._clock = source

    def on_receive(self, message: _Call | None) -> typing.Any:
        """Call the function, or perform the periodic work if it is ``None``."""
        now = self._clock.monotonic()
        if message is not None:
            return message(self._orders, now)
        for output in self._orders.tick(now):
            self._execute(output)
        return None

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: typing.Any,
    ) -> None:
        """Log the exception that stopped the actor; the lease then expires."""
        _log.error('orderer: actor failed', exc_info=exception_value)


class Orderer:
    """One orderer process.

    :param file: parsed configuration file of the process.
    """

    def __init__(self, file: bootstrap.Orderer) -> None:
        """Bind the status address; :meth:`run` starts the work.

        :raises OSError: if the address cannot be bound.
        """
        self._clock = clock.SystemClock()
        self._store = kv.HttpKv(file.kv_url)
        self._hosts = hosts.HttpHosts(file.hosts_url)
        self._weights = weights.HttpWeights(file.weights_url)
        self._engines = engine_http.HttpEngines()
        self._urls: dict[ids.EngineId, str] = {}
        self._etag = ''
        self._settings_rounds = 0
        self._snapshot: snapshot.Snapshot | None = None
        self._pool = concurrent.futures.ThreadPoolExecutor(_ENGINE_THREADS)
        self._store_calls = store_io.StoreExecutor(
            self._store, self._handle_store_result
        )
        self._timers = timers.Timers(self._clock)
        # Unique for each start, so that a restarted process does not take its
        # predecessor for itself.
        own_name = ids.HostId(f'{file.name}-{secrets.token_hex(4)}')
        self.actor = OrdersActor.start(
            orders.Controller(orders.Cfg(), own_name),
            self._execute,
            self._clock,
        )
        self.server = wsgi.Server(
            bootstrap.parse_host_port(file.http, 'http'),
            self._respond,
            numthreads=_STATUS_THREADS,
            server_name='papayaloom-orderer',
        )
        self.server.prepare()

    def run(self) -> None:
        """Run until the status server is stopped."""
        self._timers.start()
        for period_s, callback in (
            (_TICK_INTERVAL_S, self._tick),
            (_HOSTS_INTERVAL_S, self._read_hosts),
            (_SETTINGS_INTERVAL_S, self._read_settings),
        ):
            self._timers.every(period_s, callback)
        _log.info('orderer: started')
        try:
            self.server.serve()
        finally:
            self._close()

    def dump(self) -> orders.Dump:
        """Return the state dump of the orders."""
        dump = self.actor.ask(lambda controller, now: controller.dump(now))
        return typing.cast(orders.Dump, dump)

    def _close(self) -> None:
        self._timers.stop()
        self.actor.stop()
        self._store_calls.stop()
        self._pool.shutdown(cancel_futures=True)

    def _tick(self) -> None:
        self.actor.tell(None)

    def _handle_store_result(
        self, call_result: store_io.store_calls.CallResult
    ) -> None:
        self.actor.tell(
            lambda controller, now: controller.handle_result(call_result, now)
        )

    def _execute(self, output: orders.Output) -> None:
        if isinstance(output, orders_fleet.Observe):
            self._pool.submit(self._observe, output.engine)
        elif isinstance(output, orders_fleet.SendOrder):
            self._pool.submit(self._send, output)
        elif isinstance(output, orders_pacing.ReadManifest):
            self._pool.submit(self._read_manifest, output)
        else:
            self._store_calls.run(output)

    def _observe(self, name: ids.EngineId) -> None:
        read_at = self._clock.monotonic()
        observation: orders_plan.Observation | None = None
        try:
            url = self._urls[name]
            healthy = self._engines.healthy(url)
            state = self._engines.state(url)
        except (errors.PapayaloomError, KeyError):
            _log.info('orderer: engine did not reply', engine=name)
        else:
            observation = orders_plan.Observation(state, healthy, read_at)
        self.actor.tell(
            lambda controller, now: controller.handle_observation(
                name, observation
            )
        )

    def _send(self, send: orders_fleet.SendOrder) -> None:
        url = self._urls.get(send.engine, '')
        may_send = self.actor.ask(
            lambda controller, now: controller.may_send(send, now)
        )
        if not may_send:
            return
        _log.info(
            'orderer: sending order',
            engine=send.engine,
            order=send.order.order,
            fencing=send.order.fencing,
        )
        try:
            reply = self._engines.order(url, send.order)
        except errors.RefusedError as exc:
            kind = exc.problem.type
            _log.info('orderer: engine refused order', order=send.order.order)
            self.actor.tell(
                lambda controller, now: controller.handle_refusal(
                    send, kind, now
                )
            )
        except errors.PapayaloomError:
            _log.info('orderer: no reply to order', order=send.order.order)
            self.actor.tell(
                lambda controller, now: controller.handle_reply(send, None, now)
            )
        else:
            self._ordered(send, reply)

    def _ordered(
        self, send: orders_fleet.SendOrder, reply: engine.OrderReply
    ) -> None:
        self.actor.tell(
            lambda controller, now: controller.handle_reply(send, reply, now)
        )

    def _read_manifest(self, read: orders_pacing.ReadManifest) -> None:
        manifest: weights.Manifest | None = None
        try:
            manifest = self._weights.manifest(read.model, read.version)
        except errors.UpstreamError:
            _log.warning('orderer: weight store did not reply')
        self.actor.tell(
            lambda controller, now: controller.handle_manifest(read, manifest)
        )

    def _read_hosts(self) -> None:
        try:
            host_list = self._hosts.read(self._etag)
        except errors.UpstreamError:
            _log.warning('orderer: host list did not reply')
            return
        if host_list is None:
            return
        self._etag = host_list.etag
        self._urls = {
            ids.EngineId(host.host): host.address
            for host in host_list.hosts
            if host.kind is hosts.Kind.ENGINE
        }
        names = tuple(self._urls)
        self.actor.tell(
            lambda controller, now: controller.update_engines(names)
        )

    def _read_settings(self) -> None:
        self._settings_rounds += 1
        fencing = self.dump().lease.fencing
        if (
            self._snapshot
            and not fencing
            and self._settings_rounds % _STANDBY_INTERVALS
        ):
            return
        try:
            read = settings_log.read(self._store, self._snapshot).snapshot
        except errors.PapayaloomError as exc:
            _log.warning('orderer: failed to read settings', reason=str(exc))
            return
        previous = self._snapshot
        if previous is not None and previous.version == read.version:
            return
        self._snapshot = read
        cfg = orders_settings.orders_cfg(read)
        desired = orders_settings.desired_models(read)
        self.actor.tell(
            lambda controller, now: controller.configure(
                cfg, desired, read.version
            )
        )

    def _respond(
        self, environ: dict[str, typing.Any], start: _StartResponse
    ) -> list[bytes]:
        path = environ['PATH_INFO']
        status, content = '200 OK', b''
        if path == '/status/health':
            content = b'{"status": "ok"}'
        elif path == '/status/ready':
            ready = self._snapshot is not None
            status = status if ready else '503 Service Unavailable'
            content = msgspec.json.encode({'ready': ready})
        elif path == '/status/dump':
            content = msgspec.json.encode(self.dump())
        else:
            status = '404 Not Found'
            content = errors.Problem('unknown path', 404).encode()
        start(
            status,
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(content))),
            ],
        )
        return [content]
