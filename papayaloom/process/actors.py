"""Actors of the router process: the decision core and the reading of settings.

:class:`RouterActor` owns the core. Other threads hand it steps as
:class:`Run` and :class:`Query`; it alone calls the core.
"""

import typing

import msgspec
import pykka
import result
import structlog

from papayaloom import clock, errors, ids
from papayaloom.connection import codec, peers
from papayaloom.process import admitting, claims, core, ledger_writer, outbox

_log = structlog.get_logger('router')
# Nothing says that the outcome of a call is recorded.
Outcome = result.Result[typing.Any, errors.Problem] | None
_FAULT = errors.Problem('internal error before the request was sent', 500)


class Run(msgspec.Struct, frozen=True):
    """Runs a step of the core and carries out its effects."""

    step: typing.Callable[[core.Core, float], admitting.Effects]


class Query(msgspec.Struct, frozen=True):
    """Runs a step of the core and replies with its value."""

    step: typing.Callable[[core.Core, float], typing.Any]


class Begin(msgspec.Struct, frozen=True):
    """Runs a step whose outcome settles a future under a ticket."""

    ticket: int
    fut: pykka.Future[Outcome]
    step: typing.Callable[[core.Core, float], admitting.Effects]


class Wires(msgspec.Struct, frozen=True):
    """I/O of a router towards other routers and the key-value service."""

    codec: codec.Codec
    outbox: outbox.Outbox
    peers: peers.Peers
    store: typing.Callable[[ledger_writer.Effect], object]


class RouterActor(pykka.ThreadingActor):
    """Owns the decision core of a router process."""

    def __init__(
        self,
        decisions: core.Core,
        wires: Wires,
        source: clock.Clock,
    ) -> None:
        """Take over the core; nobody else may use it any more."""
        super().__init__()
        self._core = decisions
        self._wires = wires
        self._clock = source
        self._waiting: dict[int, pykka.Future[Outcome]] = {}

    def on_receive(self, message: typing.Any) -> typing.Any:
        """Handle one message of the mailbox.

        A fault of the core in one step does not end the process: a request
        or message that causes it would end every router that gets it.
        """
        try:
            return self._handle(message)
        except Exception:
            self._core.faults += 1
            _log.exception('router: a step of the decision core failed')
            if isinstance(message, Query):
                raise
            if isinstance(message, Begin):
                self._settle(message.ticket, result.Err(_FAULT))
            return None

    def _handle(self, message: typing.Any) -> typing.Any:
        now = self._clock.monotonic()
        match message:
            case bytes():
                self._packet(message, now)
            case Run():
                self._carry_out(message.step(self._core, now), now)
            case Begin():
                self._waiting[message.ticket] = message.fut
                self._carry_out(message.step(self._core, now), now)
            case Query():
                return message.step(self._core, now)
        return None

    def _packet(self, packet: bytes, now: float) -> None:
        try:
            received = self._wires.codec.open(packet)
        except errors.CodecError:
            return
        effects = self._core.receive(received.sender, received.message, now)
        self._carry_out(effects, now)

    def _carry_out(self, effects: admitting.Effects, now: float) -> None:
        for decided in effects.decided:
            self._settle(decided.ticket, decided.outcome)
        for claimed in effects.calls:
            self._claimed(claimed)
        self._wires.outbox.put(effects.sends, now)
        for packet in self._wires.outbox.take(now):
            address = self._address(packet.to)
            if address:
                self._wires.peers.send(address, packet.content)

    def _claimed(self, effects: claims.Effects) -> None:
        for effect in effects.store:
            self._wires.store(effect)
        for settled in effects.settled:
            self._settle(settled.ticket, settled.outcome)

    def _settle(self, ticket: int, outcome: Outcome) -> None:
        fut = self._waiting.pop(ticket, None)
        if fut is not None:
            fut.set(outcome)

    def _address(self, router: ids.RouterId) -> str:
        entry = self._core.members.table.get(router)
        return entry.member.address if entry else ''
