"""The orderer process: I/O around :class:`papayaloom.process.orders.Orders`.

An actor owns the orders. Reads, orders and store calls run on threads, which
hand the results back to it; the lease's calls have threads of their own.
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
    orders_pace,
    orders_plan,
    orders_settings,
    store_io,
    timers,
)
from papayaloom.version import log, snapshot

_log = structlog.get_logger('orderer')
_TICK_S = 0.25
_HOSTS_S = 2
_SETTINGS_S = 2
# Reads of the settings by a process that does not hold the lease, as a
# multiple; a takeover waits longer than that.
_IDLE_ROUNDS = 5
_ENGINE_THREADS = 16
_STATUS_THREADS = 4
_Step = typing.Callable[[orders.Orders, float], typing.Any]
_Start = typing.Callable[[str, list[tuple[str, str]]], object]


class OrdersActor(pykka.ThreadingActor):
    """Owns the orders; a message is a step on them.

    :param carry_out: starts the I/O of an output.
    """

    def __init__(
        self,
        owned: orders.Orders,
        carry_out: typing.Callable[[orders.Output], None],
        source: clock.Clock,
    ) -> None:
        """Take over the orders."""
        super().__init__()
        self._orders = owned
        self._carry_out = carry_out
        self._clock = source

    def on_receive(self, message: _Step | None) -> typing.Any:
        """Run a step, or the periodic work when there is none."""
        now = self._clock.monotonic()
        if message is not None:
            return message(self._orders, now)
        for output in self._orders.tick(now):
            self._carry_out(output)
        return None

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: typing.Any,
    ) -> None:
        """Log what ended the actor; its lease runs out."""
        _log.error('orderer: the orders failed', exc_info=exception_value)


class Orderer:
    """One orderer process.

    :param file: its settings file.
    """

    def __init__(self, file: bootstrap.Orderer) -> None:
        """Bind the status address; :meth:`run` begins to work.

        :raises OSError: the address cannot be bound.
        """
        self._clock = clock.SystemClock()
        self._store = kv.HttpKv(file.kv_url)
        self._hosts = hosts.HttpHosts(file.hosts_url)
        self._weights = weights.HttpWeights(file.weights_url)
        self._engines = engine_http.HttpEngines()
        self._urls: dict[ids.EngineId, str] = {}
        self._etag = ''
        self._round = 0
        self._snapshot: snapshot.Snapshot | None = None
        self._pool = concurrent.futures.ThreadPoolExecutor(_ENGINE_THREADS)
        self._calls = store_io.StoreCalls(self._store, self._stored)
        self._timers = timers.Timers(self._clock)
        # A restarted process must not take itself for its predecessor.
        me = ids.HostId(f'{file.name}-{secrets.token_hex(4)}')
        self.actor = OrdersActor.start(
            orders.Orders(orders.Cfg(), me), self._carry_out, self._clock
        )
        self.server = wsgi.Server(
            bootstrap.parse_host_port(file.http, 'http'),
            self._respond,
            numthreads=_STATUS_THREADS,
            server_name='papayaloom-orderer',
        )
        self.server.prepare()

    def run(self) -> None:
        """Work until the status server is stopped."""
        self._timers.start()
        for period_s, work in (
            (_TICK_S, self._tick),
            (_HOSTS_S, self._read_hosts),
            (_SETTINGS_S, self._read_settings),
        ):
            self._timers.every(period_s, work)
        _log.info('orderer: started')
        try:
            self.server.serve()
        finally:
            self._close()

    def dump(self) -> orders.Dump:
        """Return the state of the orders."""
        found = self.actor.ask(lambda owned, now: owned.dump(now))
        return typing.cast(orders.Dump, found)

    def _close(self) -> None:
        self._timers.stop()
        self.actor.stop()
        self._calls.stop()
        self._pool.shutdown(cancel_futures=True)

    def _tick(self) -> None:
        self.actor.tell(None)

    def _stored(self, stored: store_io.store_calls.Stored) -> None:
        self.actor.tell(lambda owned, now: owned.stored(stored, now))

    def _carry_out(self, output: orders.Output) -> None:
        if isinstance(output, orders_fleet.Observe):
            self._pool.submit(self._observe, output.engine)
        elif isinstance(output, orders_fleet.SendOrder):
            self._pool.submit(self._send, output)
        elif isinstance(output, orders_pace.ReadManifest):
            self._pool.submit(self._read_manifest, output)
        else:
            self._calls.run(output)

    def _observe(self, name: ids.EngineId) -> None:
        asked_at = self._clock.monotonic()
        seen: orders_plan.Seen | None = None
        try:
            url = self._urls[name]
            healthy = self._engines.healthy(url)
            state = self._engines.state(url)
        except (errors.PapayaloomError, KeyError):
            _log.info('orderer: an engine did not answer', engine=name)
        else:
            seen = orders_plan.Seen(state, healthy, asked_at)
        self.actor.tell(lambda owned, now: owned.observed(name, seen))

    def _send(self, send: orders_fleet.SendOrder) -> None:
        url = self._urls.get(send.engine, '')
        may_send = self.actor.ask(lambda owned, now: owned.may_send(send, now))
        if not may_send:
            return
        _log.info(
            'orderer: sends an order',
            engine=send.engine,
            order=send.order.order,
            fencing=send.order.fencing,
        )
        try:
            reply = self._engines.order(url, send.order)
        except errors.RefusedError as exc:
            kind = exc.problem.type
            _log.info('orderer: an order was refused', order=send.order.order)
            self.actor.tell(lambda owned, now: owned.refused(send, kind, now))
        except errors.PapayaloomError:
            _log.info('orderer: a reply was lost', order=send.order.order)
            self.actor.tell(lambda owned, now: owned.ordered(send, None, now))
        else:
            self._ordered(send, reply)

    def _ordered(
        self, send: orders_fleet.SendOrder, reply: engine.OrderReply
    ) -> None:
        self.actor.tell(lambda owned, now: owned.ordered(send, reply, now))

    def _read_manifest(self, read: orders_pace.ReadManifest) -> None:
        found: weights.Manifest | None = None
        try:
            found = self._weights.manifest(read.model, read.version)
        except errors.UpstreamError:
            _log.warning('orderer: the weight store did not answer')
        self.actor.tell(lambda owned, now: owned.manifest(read, found))

    def _read_hosts(self) -> None:
        try:
            listed = self._hosts.read(self._etag)
        except errors.UpstreamError:
            _log.warning('orderer: the host list did not answer')
            return
        if listed is None:
            return
        self._etag = listed.etag
        self._urls = {
            ids.EngineId(host.host): host.address
            for host in listed.hosts
            if host.kind is hosts.Kind.ENGINE
        }
        names = tuple(self._urls)
        self.actor.tell(lambda owned, now: owned.update_engines(names))

    def _read_settings(self) -> None:
        self._round += 1
        fencing = self.dump().lease.fencing
        if self._snapshot and not fencing and self._round % _IDLE_ROUNDS:
            return
        try:
            read = log.read(self._store, self._snapshot).snapshot
        except errors.PapayaloomError as exc:
            _log.warning('orderer: settings cannot be read', reason=str(exc))
            return
        known = self._snapshot
        if known is not None and known.version == read.version:
            return
        self._snapshot = read
        cfg = orders_settings.cfg(read)
        wants = orders_settings.desired(read)
        self.actor.tell(
            lambda owned, now: owned.configure(cfg, wants, read.version)
        )

    def _respond(
        self, environ: dict[str, typing.Any], start: _Start
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
