"""What a host answers besides callers' requests.

Readiness for the platform, addresses for callers, snapshots and exchanges for
other hosts, counters and state for operators.
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
    poison,
    poison_reports,
    relay_watch,
    snapshot_client,
    store_view,
    tallies,
)

_log = structlog.get_logger('gateway')
_MOST_ADDRESSES = 64
_TEXT = (b'Content-Type', b'text/plain; version=0.0.4')
_JSON = (b'Content-Type', b'application/json')
_OK = http.HTTPStatus.OK
_UNAVAILABLE = http.HTTPStatus.SERVICE_UNAVAILABLE


class Parts(msgspec.Struct, frozen=True):
    """What the endpoints show.

    :param ttl_s: how long callers keep an address answer.
    :param is_stopping: whether a planned stop has begun.
    :param dump: returns the state of the process.
    """

    view: store_view.StoreView
    relay: relay_watch.RelayWatch
    tally: tallies.Tallies
    desk: dispatch_actor.Desk
    outside: store_view.PlatformAdapter
    ttl_s: float
    is_stopping: typing.Callable[[], bool]
    dump: typing.Callable[[], dict[str, object]]


class SideEndpoints:
    """Handler of the listeners beside the callers'."""

    def __init__(self, parts: Parts) -> None:
        """Keep the parts."""
        self._parts = parts
        self._endpoints: dict[str, typing.Callable[[ingress.Inbound], None]] = {
            snapshot_client.PATH: self._snapshot,
            relay_watch.PATH: self._exchange,
            poison_reports.PATH: self._poison,
            '/metrics': self._metrics,
            '/dump': self._dump,
        }

    def serve(self, received: typing.Any) -> None:
        """Answer a request."""
        target = received.uri.decode('latin-1')
        inbound = ingress.Inbound(received)
        endpoint = self._endpoints.get(inbound.path)
        if endpoint is not None:
            endpoint(inbound)
        elif self._parts.outside.is_readiness(target):
            is_ready = self._knows_routes() and not self._parts.is_stopping()
            inbound.answer(_OK if is_ready else _UNAVAILABLE, [], b'')
        else:
            self._directory(received, inbound, target)

    def _knows_routes(self) -> bool:
        return self._parts.view.table is not None

    def _directory(
        self, received: typing.Any, inbound: ingress.Inbound, target: str
    ) -> None:
        answer = None
        if self._knows_routes():
            named = self._parts.view.hosts.advertised(
                time.monotonic(), include_self=not self._parts.is_stopping()
            )
            chosen = address_choice.choose(named, _MOST_ADDRESSES)
            answer = self._parts.outside.directory_answer(
                target,
                sorted(one.address for one in chosen),
                self._parts.ttl_s,
            )
        if answer is None:
            problem = errors.Problem('not known here', _UNAVAILABLE)
            ingress.refuse(received, inbound, problem)
            return
        inbound.answer(_OK, [_JSON], answer)

    def _snapshot(self, inbound: ingress.Inbound) -> None:
        view = self._parts.view
        content = view.snapshot()
        age = f'{view.age_s(time.monotonic()):.3f}'.encode()
        inbound.answer(
            _OK if content else _UNAVAILABLE,
            [(snapshot_client.AGE_HEADER.encode(), age)],
            content,
        )

    def _exchange(self, inbound: ingress.Inbound) -> None:
        try:
            content = self._parts.relay.answer(inbound.body)
        except errors.CodecError as exc:
            _log.warning('gateway: unreadable report', reason=str(exc))
            inbound.answer(http.HTTPStatus.BAD_REQUEST, [], b'')
            return
        inbound.answer(_OK if content else _UNAVAILABLE, [], content)

    def _poison(self, inbound: ingress.Inbound) -> None:
        try:
            report = poison.decode(inbound.body)
        except errors.CodecError as exc:
            _log.warning('gateway: unreadable report', reason=str(exc))
            inbound.answer(http.HTTPStatus.BAD_REQUEST, [], b'')
            return
        self._parts.desk.heard_poison(report)
        inbound.answer(_OK, [], b'')

    def _metrics(self, inbound: ingress.Inbound) -> None:
        inbound.answer(_OK, [_TEXT], self._parts.tally.text())

    def _dump(self, inbound: ingress.Inbound) -> None:
        inbound.answer(_OK, [_JSON], msgspec.json.encode(self._parts.dump()))
