"""Endpoints of a host apart from the forwarding of callers' requests.

Readiness for the platform, host addresses for callers, snapshots, load exchange
and poison reports for other hosts, metrics and a state dump for operators.
"""

import http
import time
import typing

import msgspec
import structlog

from papayaloom import errors
from papayaloom.connection import ingress
from papayaloom.process import (
    address_choice,
    dispatch_actor,
    poison_reports,
    preview_endpoint,
    relay_watch,
    request_metrics,
    snapshot_client,
    store_view,
)
from papayaloom.routing.poison import poison_evidence

_log = structlog.get_logger('gateway')
_MAX_ADDRESSES = 64
_CONTENT_TYPE_TEXT = (b'Content-Type', b'text/plain; version=0.0.4')
_CONTENT_TYPE_JSON = (b'Content-Type', b'application/json')
_OK = http.HTTPStatus.OK
_UNAVAILABLE = http.HTTPStatus.SERVICE_UNAVAILABLE


class Dependencies(msgspec.Struct, frozen=True):
    """Components that the endpoints use.

    :param ttl_s: time for which callers may cache a directory response.
    :param is_stopping: tells whether a graceful stop has begun.
    :param is_listening: tells whether callers can connect.
    :param dump: returns the state of the process.
    """

    view: store_view.StoreView
    relay: relay_watch.RelayWatch
    metrics: request_metrics.RequestMetrics
    dispatch_client: dispatch_actor.DispatchClient
    platform: store_view.PlatformAdapter
    ttl_s: float
    is_stopping: typing.Callable[[], bool]
    is_listening: typing.Callable[[], bool]
    dump: typing.Callable[[], dict[str, object]]


class InternalEndpoints:
    """Request handler of all listeners except the one for callers."""

    def __init__(self, deps: Dependencies) -> None:
        """Use the given components."""
        self._deps = deps
        self._endpoints: dict[
            str, typing.Callable[[ingress.InboundRequest], None]
        ] = {
            snapshot_client.PATH: self._snapshot,
            relay_watch.PATH: self._exchange,
            poison_reports.PATH: self._poison,
            '/metrics': self._metrics,
            '/dump': self._dump,
            preview_endpoint.PATH: self._where,
        }

    def serve(self, received: typing.Any) -> None:
        """Handle a request."""
        target = received.uri.decode('latin-1')
        try:
            inbound = ingress.InboundRequest(received)
        except errors.RefusedError as exc:
            ingress.send_problem(received, None, exc.problem)
            return
        endpoint = self._endpoints.get(inbound.path)
        if endpoint is not None:
            endpoint(inbound)
        elif self._deps.platform.is_readiness(target):
            inbound.answer(_OK if self._is_ready() else _UNAVAILABLE, [], b'')
        else:
            self._directory(received, inbound, target)

    def _is_ready(self) -> bool:
        can_serve = self._has_route_table() and self._deps.is_listening()
        return can_serve and not self._deps.is_stopping()

    def _has_route_table(self) -> bool:
        return self._deps.view.table is not None

    def _directory(
        self, received: typing.Any, inbound: ingress.InboundRequest, target: str
    ) -> None:
        content = None
        if self._has_route_table():
            available = self._deps.view.hosts.advertised(
                time.monotonic(), include_self=not self._deps.is_stopping()
            )
            chosen = address_choice.choose(available, _MAX_ADDRESSES)
            content = self._deps.platform.directory_answer(
                target,
                sorted(one.address for one in chosen),
                self._deps.ttl_s,
            )
        if content is None:
            problem = errors.Problem('not known here', _UNAVAILABLE)
            ingress.send_problem(received, inbound, problem)
            return
        inbound.answer(_OK, [_CONTENT_TYPE_JSON], content)

    def _snapshot(self, inbound: ingress.InboundRequest) -> None:
        view = self._deps.view
        content = view.snapshot()
        age = f'{view.age_s(time.monotonic()):.3f}'.encode()
        inbound.answer(
            _OK if content else _UNAVAILABLE,
            [(snapshot_client.AGE_HEADER.encode(), age)],
            content,
        )

    def _exchange(self, inbound: ingress.InboundRequest) -> None:
        try:
            content = self._deps.relay.answer(inbound.body)
        except errors.CodecError as exc:
            _log.warning('gateway: invalid load exchange', reason=str(exc))
            inbound.answer(http.HTTPStatus.BAD_REQUEST, [], b'')
            return
        inbound.answer(_OK if content else _UNAVAILABLE, [], content)

    def _poison(self, inbound: ingress.InboundRequest) -> None:
        try:
            report = poison_evidence.decode(inbound.body)
        except errors.CodecError as exc:
            _log.warning('gateway: invalid poison report', reason=str(exc))
            inbound.answer(http.HTTPStatus.BAD_REQUEST, [], b'')
            return
        self._deps.dispatch_client.handle_poison_report(report)
        inbound.answer(_OK, [], b'')

    def _metrics(self, inbound: ingress.InboundRequest) -> None:
        decisions = self._deps.dispatch_client.ask(
            lambda dispatcher, _: dispatcher.decisions.dump()
        )
        content = self._deps.metrics.prometheus_text(decisions)
        inbound.answer(_OK, [_CONTENT_TYPE_TEXT], content)

    def _where(self, inbound: ingress.InboundRequest) -> None:
        status, content = preview_endpoint.serve(
            inbound, self._deps.view.table, self._deps.dispatch_client
        )
        inbound.answer(status, [_CONTENT_TYPE_JSON], content)

    def _dump(self, inbound: ingress.InboundRequest) -> None:
        inbound.answer(
            _OK, [_CONTENT_TYPE_JSON], msgspec.json.encode(self._deps.dump())
        )
