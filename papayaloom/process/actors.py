"""Actor that owns the decision core of a router process.

:class:`RouterActor` is the only caller of the core. Other threads send it
steps to execute as :class:`Run`, :class:`Begin` and :class:`Query`.
"""

import typing

import msgspec
import pykka
import result
import structlog

from papayaloom import clock, errors, ids
from papayaloom.connection import codec, peer_sockets
from papayaloom.process import (
    admission_client,
    claims,
    core,
    ledger_writer,
    outbox,
)

_log = structlog.get_logger('router')
# None means that the outcome of a call has been recorded.
Outcome = result.Result[typing.Any, errors.Problem] | None
_INTERNAL_ERROR = errors.Problem(
    'internal error before the request was sent', 500
)


class Run(msgspec.Struct, frozen=True):
    """Runs a step of the core and performs its effects."""

    step: typing.Callable[[core.Core, float], admission_client.Effects]


class Query(msgspec.Struct, frozen=True):
    """Runs a step of the core and replies with its return value."""

    step: typing.Callable[[core.Core, float], typing.Any]


class Begin(msgspec.Struct, frozen=True):
    """Runs a step whose outcome resolves a future, identified by a ticket."""

    ticket: int
    fut: pykka.Future[Outcome]
    step: typing.Callable[[core.Core, float], admission_client.Effects]


class RouterIO(msgspec.Struct, frozen=True):
    """I/O of a router with other routers and the key-value service."""

    codec: codec.Codec
    outbox: outbox.Outbox
    peers: peer_sockets.PeerSockets
    store: typing.Callable[[ledger_writer.StoreCall], object]


class RouterActor(pykka.ThreadingActor):
    """Owns the decision core of a router process."""

    def __init__(
        self,
        router_core: core.Core,
        router_io: RouterIO,
        source: clock.Clock,
    ) -> None:
        """Take ownership of the core; no other thread may use it afterwards."""
        super().__init__()
        self._core = router_core
        self._io = router_io
        self._clock = source
        self._pending: dict[int, pykka.Future[Outcome]] = {}

    def on_receive(self, message: typing.Any) -> typing.Any:
        """Handle one message of the mailbox.

        An exception in a step of the core does not end the process: a request
        or message that causes one would end every router that receives it.
        """
        try:
            return self._handle(message)
        except Exception:
            self._core.faults += 1
            _log.exception('router: decision core step raised an exception')
            if isinstance(message, Query):
                raise
            if isinstance(message, Begin):
                self._resolve(message.ticket, result.Err(_INTERNAL_ERROR))
            return None

    def _handle(self, message: typing.Any) -> typing.Any:
        now = self._clock.monotonic()
        match message:
            case bytes():
                self._handle_packet(message, now)
            case Run():
                self._perform(message.step(self._core, now), now)
            case Begin():
                self._pending[message.ticket] = message.fut
                self._perform(message.step(self._core, now), now)
            case Query():
                return message.step(self._core, now)
        return None

    def _handle_packet(self, packet: bytes, now: float) -> None:
        try:
            received = self._io.codec.open(packet)
        except errors.CodecError:
            return
        effects = self._core.receive(received.sender, received.message, now)
        self._perform(effects, now)

    def _perform(self, effects: admission_client.Effects, now: float) -> None:
        for decided in effects.decided:
            self._resolve(decided.ticket, decided.outcome)
        for claim_effects in effects.calls:
            self._perform_claim(claim_effects)
        self._io.outbox.put(effects.sends, now)
        for packet in self._io.outbox.take(now):
            address = self._address(packet.to)
            if address:
                self._io.peers.send(address, packet.content)

    def _perform_claim(self, effects: claims.Effects) -> None:
        for effect in effects.store:
            self._io.store(effect)
        for settled in effects.claim_results:
            self._resolve(settled.ticket, settled.outcome)

    def _resolve(self, ticket: int, outcome: Outcome) -> None:
        fut = self._pending.pop(ticket, None)
        if fut is not None:
            fut.set(outcome)

    def _address(self, router: ids.RouterId) -> str:
        entry = self._core.members.table.get(router)
        return entry.member.address if entry else ''
