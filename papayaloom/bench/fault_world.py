"""Composed routers on virtual time, with one fault at one message."""

import enum
import heapq
import itertools
import random
import typing

import msgspec

from papayaloom import clock, errors, hashing, ids, messages
from papayaloom.ports import engine, hosts
from papayaloom.process import (
    admission_client,
    core,
    current_settings,
    ledger_record,
    store_calls,
    store_io,
)
from papayaloom.request import core_api
from papayaloom.standins import kv

TICK_S = 0.05
FAULT_S = 20
_DELAY_S = 3
_HOP_S = 0.002
_SLOW_S = 0.5


class Fault(enum.Enum):
    """What goes wrong in a step; a cut is a network partition."""

    LOST_BEFORE = 'lost before'
    LOST_AFTER = 'lost after'
    DELAYED = 'delayed'
    DOUBLED = 'doubled'
    CROSSED = 'crossed'
    CRASHED = 'crashed process'
    PAUSED = 'paused process'
    CUT = 'cut both ways'
    CUT_ONE_WAY = 'cut one way'
    STORE_DOWN = 'store down'
    STORE_SLOW = 'store slow'


class World:
    """Three routers, two engines, one service, and the store.

    A fault strikes the next message of the struck kinds, once.
    """

    def __init__(self, seed: int = 1) -> None:
        self.clock = clock.VirtualClock(100)
        self.kv = kv.MemoryKv(self.clock, sleep=lambda seconds: None)
        self.rng = random.Random(seed)
        self.has_struck = False
        self.outcomes: dict[int, typing.Any] = {}
        self.running = {'engine-0': 0, 'engine-1': 0}
        self.cores: dict[str, core.Core] = {}
        self.held: dict[str, current_settings.CurrentSettings] = {}
        self._fault: Fault | None = None
        self._requests: tuple[type, ...] = ()
        self._replies: tuple[type, ...] = ()
        self._paused: dict[str, float] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._cut_until: float = 0
        self._store_until: float = 0
        self._store_s: float = _HOP_S
        self._events: list[tuple[float, int, str, typing.Any]] = []
        self._count = itertools.count(1)
        self.names = [f'router-{number}' for number in range(3)]
        listed = [
            _host(name, hosts.Kind.ENTRY, number)
            for number, name in enumerate(self.names)
        ]
        listed += [
            _host(name, hosts.Kind.ENGINE, number, 'basking')
            for number, name in enumerate(self.running)
        ]
        listed.append(_host('desk-0', hosts.Kind.SERVICE, 0, 'desk'))
        self._hosts = hosts.HostList(tuple(listed))
        for name in self.names:
            self.boot(name)
        # New routers admit to an engine after a settle time.
        self.run(20)

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return self.clock.monotonic()

    def boot(self, name: str) -> None:
        """Start a router, or start it again without its memory."""
        number = self.names.index(name)
        member = messages.Member(
            ids.RouterId(name),
            f'tcp://{name}',
            f'http://{name}',
            ids.ZoneId('abc'[number]),
            ids.RegionId('lk-west'),
            round(self.now),
        )
        self.held[name] = current_settings.CurrentSettings()
        rng = random.Random(self.rng.random())
        self.cores[name] = core.Core(member, self.held[name], rng)
        self._carry_out(
            name, self.cores[name].update_host_list(self._hosts, self.now)
        )

    def strike(
        self,
        fault: Fault,
        requests: tuple[type, ...],
        replies: tuple[type, ...],
    ) -> None:
        """Let a fault strike the next message of these kinds."""
        self.has_struck = False
        self._fault = fault
        self._requests = requests
        self._replies = replies
        if fault is Fault.STORE_DOWN:
            self.kv.faults.outage = True
        if fault is Fault.STORE_SLOW:
            self._store_s = _SLOW_S
        if fault in {Fault.STORE_DOWN, Fault.STORE_SLOW}:
            self._store_until = self.now + FAULT_S
            self.has_struck = True

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.clock.advance(TICK_S)
            self._heal()
            self._deliver()
            for name in self.names:
                if name not in self._paused:
                    self._tick(name)

    def admit(self, name: str, chat: str) -> int:
        """Begin the search for an engine."""
        ticket = next(self._count)
        ask = core_api.AdmissionRequest(
            ids.RequestId(f'request-{ticket}'),
            ids.OrgId('house'),
            ids.ChatId(chat),
            ids.ModelId('basking'),
            ids.Fingerprint(f'mark-{ticket}'),
            0,
            10,
            200,
        )
        self._carry_out(name, self.cores[name].admit(ask, ticket, self.now))
        return ticket

    def claim(self, name: str, key: str) -> int:
        """Begin the claim of a call."""
        ticket = next(self._count)
        ask = core_api.ClaimRequest(
            ids.CallKey(key),
            f'attempt-{ticket}',
            ids.OrgId('house'),
            ids.ServiceId('desk'),
            10,
            'body',
        )
        effects = self.cores[name].claim(
            ask, ticket, self.now, self.clock.unix_ms()
        )
        self._carry_out(name, effects)
        return ticket

    def record(self, name: str, ticket: int, verdict: errors.Verdict) -> None:
        """Record what became of a call."""
        outcome = core_api.CallOutcome(verdict, 200, b'tray 9', 'text/plain')
        effects = self.cores[name].record(ticket, outcome, self.now)
        self._carry_out(name, effects)

    def publish(self, records: typing.Sequence[bytes]) -> None:
        """Hand settings to one watching router; the others gossip."""
        name = self.names[0]
        sends = self.cores[name].settings.apply_from_store(records, self.now)
        self._carry_out(name, admission_client.Effects(sends))

    def not_responsible(self, key: str) -> list[str]:
        """Return the routers that forward the claims of a key."""
        found = ledger_record.locate(
            'house', 'services/desk', key, self.clock.unix_ms()
        )
        shard = found.unwrap().shard
        first = hashing.highest_ranked(f'ledger/{shard}', self.names)
        return [name for name in self.names if name != first]

    def _tick(self, name: str) -> None:
        part = self.cores[name]
        self._carry_out(name, part.tick(self.now, self.clock.unix_ms()))
        if round(self.now / TICK_S) % 20 == 0:
            for known in part.chats.ranked_engines():
                served = known.engine
                state = engine.State(
                    served,
                    ids.ModelId('basking'),
                    ids.VersionId('1'),
                    running=self.running.get(served, 0),
                )
                effects = part.record_engine_state(
                    served, state, engine.CacheEvents(()), self.now, self.now
                )
                self._carry_out(name, effects)

    def _carry_out(self, name: str, effects: admission_client.Effects) -> None:
        for decided in effects.decided:
            self._settle(decided.ticket, decided.outcome)
            if decided.outcome.is_ok():
                found = decided.outcome.unwrap()
                self.running[found.grant.engine] += 1
        for calls in effects.calls:
            for settled in calls.claim_results:
                if settled.outcome is not None:
                    self._settle(settled.ticket, settled.outcome)
            for call in calls.store:
                stored = store_io.execute(self.kv, call)
                self._push(self._store_s, name, stored)
        for send in effects.sends:
            self._send(name, send)

    def _settle(self, ticket: int, outcome: typing.Any) -> None:
        if ticket in self.outcomes:
            raise AssertionError(f'P3: request {ticket} was decided twice')
        self.outcomes[ticket] = outcome

    def _send(self, name: str, send: messages.Send) -> None:
        delay = _HOP_S
        message: messages.Message | None = send.message
        if not self.has_struck:
            if isinstance(message, self._requests):
                message, delay = self._strike_request(name, send)
            elif isinstance(message, self._replies):
                message = self._strike_reply(message)
        if message is not None and (name, send.to) not in self._cuts:
            self._push(delay, send.to, (name, message))

    def _strike_request(
        self, name: str, send: messages.Send
    ) -> tuple[messages.Message | None, float]:
        message: messages.Message | None = send.message
        delay = _HOP_S
        self.has_struck = True
        match self._fault:
            case Fault.LOST_BEFORE:
                message = None
            case Fault.DELAYED:
                delay = _DELAY_S
            case Fault.DOUBLED:
                self._push(1, send.to, (name, send.message))
            case Fault.CRASHED:
                self.boot(send.to)
            case Fault.PAUSED:
                self._paused[send.to] = self.now + FAULT_S
            case Fault.CUT | Fault.CUT_ONE_WAY:
                self._cuts.add((send.to, name))
                if self._fault is Fault.CUT:
                    self._cuts.add((name, send.to))
                self._cut_until = self.now + FAULT_S
            case _:
                self.has_struck = False
        return message, delay

    def _strike_reply(self, message: typing.Any) -> messages.Message | None:
        if self._fault is Fault.LOST_AFTER:
            self.has_struck = True
            return None
        if self._fault is Fault.CROSSED and hasattr(message, 'ask'):
            self.has_struck = True
            return msgspec.structs.replace(message, ask=message.ask + 1000)
        return message

    def _heal(self) -> None:
        if self._cut_until <= self.now:
            self._cuts.clear()
        if self._store_until <= self.now:
            self.kv.faults.outage = False
            self._store_s = _HOP_S
        for name, until in tuple(self._paused.items()):
            if until <= self.now:
                self._paused.pop(name)

    def _push(self, delay: float, to: str, thing: typing.Any) -> None:
        heapq.heappush(
            self._events, (self.now + delay, next(self._count), to, thing)
        )

    def _deliver(self) -> None:
        while self._events and self._events[0][0] <= self.now:
            _, _, to, thing = heapq.heappop(self._events)
            if to in self._paused:
                self._push(TICK_S, to, thing)
            elif isinstance(thing, tuple):
                sender, message = thing
                effects = self.cores[to].receive(sender, message, self.now)
                self._carry_out(to, effects)
            else:
                stored = typing.cast(store_calls.CallResult, thing)
                effects = self.cores[to].handle_store_result(stored, self.now)
                self._carry_out(to, effects)


def _host(
    name: str, kind: hosts.Kind, number: int, served: str = ''
) -> hosts.Host:
    address = name if kind is hosts.Kind.ENTRY else f'http://{name}'
    return hosts.Host(
        ids.HostId(name),
        kind,
        address,
        ids.ZoneId('abc'[number]),
        ids.RegionId('lk-west'),
        served,
    )
