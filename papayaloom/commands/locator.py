"""Locator process: tells callers which router to use.

``GET /v1/address?chat=&zone=&region=&org=`` answers
``{"addresses": [{"url", "router", "zone"}], "ttl_s"}``.

Example settings file (JSON with comments)::

    {
      "name": "locator-1",
      "deployment": "kelani",
      "zone": "lk-west-a", "region": "lk-west",
      "http": "127.0.0.1:8401",    // address for callers
      "local": "127.0.0.1:8301",   // where the router on this host publishes
      "router_port": 8101,         // port of every router for callers
      "hosts_url": "http://127.0.0.1:8002"
    }
"""

import http
import random
import sys
import threading
import typing
import urllib.parse

import fire
import msgspec
import pynng
import statsd
import structlog
from cheroot import wsgi

from papayaloom import clock, errors, ids, messages
from papayaloom.commands import logs, stop_signals
from papayaloom.connection import view_sockets
from papayaloom.ports import hosts
from papayaloom.process import addresses, bootstrap, locator_state, timers

_log = structlog.get_logger('locator')
_SERVER_THREADS = 16
_HOSTS_REFRESH_INTERVAL_S = 5.0
_MAX_QUERY_BYTES = 4096
_StartResponse = typing.Callable[[str, list[tuple[str, str]]], object]


class Locator:
    """Sockets and threads around :class:`locator_state.LocatorState`."""

    def __init__(
        self, file: bootstrap.Locator, time_source: clock.Clock
    ) -> None:
        """Bind the addresses; :meth:`run` starts serving.

        :raises OSError: the HTTP address cannot be bound.
        """
        self.state = locator_state.LocatorState(
            file.deployment,
            ids.ZoneId(file.zone),
            file.router_port,
            addresses.Cfg(),
            random.Random(),
        )
        self._clock = time_source
        self._lock = threading.Lock()
        self._hosts = hosts.HttpHosts(file.hosts_url)
        self._has_hosts = bool(file.hosts_url)
        self._etag = ''
        self._metrics = _statsd_client(file.statsd)
        self._timers = timers.Timers(time_source)
        self._views = view_sockets.ViewSubscriber(
            f'tcp://{file.local}', self.apply_view
        )
        self.server = wsgi.Server(
            bootstrap.parse_host_port(file.http, 'http'),
            self.respond,
            numthreads=_SERVER_THREADS,
            server_name='papayaloom-locator',
        )
        self.server.prepare()

    def run(self) -> None:
        """Serve until :meth:`stop`."""
        self._views.start()
        self._timers.start()
        self._timers.after(0, self.refresh_hosts)
        self._timers.every(_HOSTS_REFRESH_INTERVAL_S, self.refresh_hosts)
        try:
            self.server.serve()
        finally:
            self._timers.stop()
            self._views.close()

    def stop(self) -> None:
        """Make :meth:`run` return after the requests in progress."""
        threading.Thread(target=self.server.stop, daemon=True).start()

    def apply_view(self, view: messages.FleetView) -> None:
        """Apply a fleet view published by the router on this host."""
        with self._lock:
            applied = self.state.update_view(view, self._clock.monotonic())
        if not applied:
            self._count('ignored_views')

    def refresh_hosts(self) -> None:
        """Refresh the host list; the last one is kept when the read fails."""
        if not self._has_hosts:
            return
        try:
            host_list = self._hosts.read(self._etag)
        except errors.UpstreamError as exc:
            self._count('hosts_unreadable')
            _log.warning(f'locator: cannot refresh the host list: {exc}')
            return
        now = self._clock.monotonic()
        with self._lock:
            if host_list is None:
                self.state.mark_hosts_unchanged(now)
            else:
                self._etag = host_list.etag
                self.state.update_hosts(host_list, now)

    def respond(
        self, environ: dict[str, typing.Any], start_response: _StartResponse
    ) -> list[bytes]:
        """Answer one HTTP request."""
        if environ['REQUEST_METHOD'] != 'GET':
            return _problem(start_response, 405, 'only GET is answered')
        resources: dict[str, typing.Callable[[], tuple[int, object]]] = {
            '/v1/address': lambda: self._address(environ),
            '/status/health': lambda: (200, {'status': 'ok'}),
            '/status/ready': self._ready,
            '/status/dump': self._dump,
        }
        resource = resources.get(environ['PATH_INFO'])
        if resource is None:
            return _problem(start_response, 404, 'no such resource')
        status, content = resource()
        if isinstance(content, errors.Problem):
            return _reply(
                start_response,
                status,
                content.encode(),
                'application/problem+json',
                content.retry_after_s,
            )
        return _reply(start_response, status, msgspec.json.encode(content))

    def _address(
        self, environ: dict[str, typing.Any]
    ) -> tuple[int, addresses.Answer | errors.Problem]:
        query = environ.get('QUERY_STRING', '')
        if len(query) > _MAX_QUERY_BYTES:
            return 414, errors.Problem(
                'the query is too long',
                414,
                f'{len(query)} bytes; accepted are {_MAX_QUERY_BYTES}',
            )
        params = dict(urllib.parse.parse_qsl(query, errors='replace'))
        fields = addresses.Question.__struct_fields__
        question = addresses.Question(
            **{name: params[name] for name in fields if name in params}
        )
        with self._lock:
            answer = self.state.answer(question, self._clock.monotonic())
        self._count('answers')
        if answer.addresses:
            return 200, answer
        return 503, errors.Problem(
            'no router is known',
            503,
            'neither a view of the router on this host nor a host list',
            retry_after_s=1,
        )

    def _ready(self) -> tuple[int, object]:
        with self._lock:
            ready = self.state.is_ready()
        return (200, {'ready': True}) if ready else (503, {'ready': False})

    def _dump(self) -> tuple[int, locator_state.Dump]:
        with self._lock:
            return 200, self.state.dump(self._clock.monotonic())

    def _count(self, name: str) -> None:
        if self._metrics is not None:
            self._metrics.incr(f'locator.{name}')


def _statsd_client(address: str) -> statsd.StatsClient | None:
    if not address:
        return None
    host, port = bootstrap.parse_host_port(address, 'statsd')
    return statsd.StatsClient(host, port)


def _problem(
    start_response: _StartResponse, status: int, title: str
) -> list[bytes]:
    problem = errors.Problem(title, status)
    return _reply(
        start_response, status, problem.encode(), 'application/problem+json'
    )


def _reply(
    start_response: _StartResponse,
    status: int,
    body: bytes,
    content_type: str = 'application/json',
    retry_after_s: float = 0,
) -> list[bytes]:
    headers = [
        ('Content-Type', content_type),
        ('Content-Length', str(len(body))),
    ]
    if retry_after_s:
        headers.append(('Retry-After', str(round(retry_after_s))))
    start_response(f'{status} {http.HTTPStatus(status).phrase}', headers)
    return [body]


def run(settings: str) -> None:
    """Run the locator until it gets SIGTERM or SIGINT.

    :param settings: path of the settings file.
    """
    logs.configure()
    try:
        locator = Locator(
            bootstrap.load(settings, bootstrap.Locator), clock.SystemClock()
        )
    except (errors.SettingsError, OSError, pynng.NNGException) as exc:
        sys.exit(f'papayaloom-locator: {exc}')

    stop_signals.subscribe(locator.stop)
    _log.info(
        'locator: serving requests',
        http=':'.join(map(str, locator.server.bind_addr)),
    )
    locator.run()


def main() -> None:
    """Run the console script."""
    # Fire shows this text as help; the module docstring has the example.
    run.__doc__ = f'{__doc__}\n{run.__doc__}'
    fire.Fire(run, name='papayaloom-locator')


if __name__ == '__main__':
    main()
