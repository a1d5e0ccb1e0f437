"""Testbed of complete routers on virtual time with a single fault."""

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
FAULT_DURATION_S = 20
_FAULT_DELAY_S = 3
_NETWORK_DELAY_S = 0.002
_SLOW_STORE_DELAY_S = 0.5


class Fault(enum.Enum):
    """Fault injected in a step.

    LOST_BEFORE loses a request, LOST_AFTER its reply; MISDELIVERED hands over
    a message that belongs to another request or deployment.
    """

    LOST_BEFORE = 'lost before'
    LOST_AFTER = 'lost after'
    DELAYED = 'delayed'
    DUPLICATED = 'doubled'
    MISDELIVERED = 'crossed'
    CRASHED = 'crashed process'
    PAUSED = 'paused process'
    PARTITIONED = 'cut both ways'
    PARTITIONED_ONE_WAY = 'cut one way'
    STORE_DOWN = 'store down'
    STORE_SLOW = 'store slow'


class Testbed:
    """Three routers, two engines, one service, and the store.

    An injected fault affects the next message of the chosen types, once.
    """

    def __init__(self, seed: int = 1) -> None:
        self.clock = clock.VirtualClock(100)
        self.kv = kv.MemoryKv(self.clock, sleep=lambda seconds: None)
        self.rng = random.Random(seed)
        self.was_injected = False
        self.outcomes: dict[int, typing.Any] = {}
        self.running = {'engine-0': 0, 'engine-1': 0}
        self.cores: dict[str, core.Core] = {}
        self.settings: dict[str, current_settings.CurrentSettings] = {}
        self._fault: Fault | None = None
        self._requests: tuple[type, ...] = ()
        self._replies: tuple[type, ...] = ()
        self._paused_until: dict[str, float] = {}
        self._blocked_links: set[tuple[str, str]] = set()
        self._partition_until: float = 0
        self._store_fault_until: float = 0
        self._store_delay_s: float = _NETWORK_DELAY_S
        self._events: list[tuple[float, int, str, typing.Any]] = []
        self._sequence = itertools.count(1)
        self.names = [f'router-{number}' for number in range(3)]
        host_entries = [
            _new_host(name, hosts.Kind.ENTRY, number)
            for number, name in enumerate(self.names)
        ]
        host_entries += [
            _new_host(name, hosts.Kind.ENGINE, number, 'basking')
            for number, name in enumerate(self.running)
        ]
        host_entries.append(_new_host('desk-0', hosts.Kind.SERVICE, 0, 'desk'))
        self._hosts = hosts.HostList(tuple(host_entries))
        for name in self.names:
            self.start_router(name)
        # A new router admits requests to an engine only after a settling time.
        self.run(20)

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return self.clock.monotonic()

    def start_router(self, name: str) -> None:
        """Start a router, or restart it with its in-memory state lost."""
        number = self.names.index(name)
        member = messages.Member(
            ids.RouterId(name),
            f'tcp://{name}',
            f'http://{name}',
            ids.ZoneId('abc'[number]),
            ids.RegionId('lk-west'),
            round(self.now),
        )
        self.settings[name] = current_settings.CurrentSettings()
        rng = random.Random(self.rng.random())
        self.cores[name] = core.Core(member, self.settings[name], rng)
        self._execute(
            name, self.cores[name].update_host_list(self._hosts, self.now)
        )

    def inject_fault(
        self,
        fault: Fault,
        requests: tuple[type, ...],
        replies: tuple[type, ...],
    ) -> None:
        """Apply a fault to the next message of these types.

        Store faults start at once and last FAULT_DURATION_S.
        """
        self.was_injected = False
        self._fault = fault
        self._requests = requests
        self._replies = replies
        if fault is Fault.STORE_DOWN:
            self.kv.faults.outage = True
        if fault is Fault.STORE_SLOW:
            self._store_delay_s = _SLOW_STORE_DELAY_S
        if fault in {Fault.STORE_DOWN, Fault.STORE_SLOW}:
            self._store_fault_until = self.now + FAULT_DURATION_S
            self.was_injected = True

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        end = self.now + seconds
        while self.now < end:
            self.clock.advance(TICK_S)
            self._end_expired_faults()
            self._deliver_due()
            for name in self.names:
                if name not in self._paused_until:
                    self._tick(name)

    def admit(self, name: str, chat: str) -> int:
        """Start to admit a request; return the ticket of its outcome."""
        ticket = next(self._sequence)
        request = core_api.AdmissionRequest(
            ids.RequestId(f'request-{ticket}'),
            ids.OrgId('house'),
            ids.ChatId(chat),
            ids.ModelId('basking'),
            ids.Fingerprint(f'mark-{ticket}'),
            0,
            10,
            200,
        )
        self._execute(name, self.cores[name].admit(request, ticket, self.now))
        return ticket

    def claim(self, name: str, key: str) -> int:
        """Start to claim a call; return the ticket of its outcome."""
        ticket = next(self._sequence)
        request = core_api.ClaimRequest(
            ids.CallKey(key),
            f'attempt-{ticket}',
            ids.OrgId('house'),
            ids.ServiceId('desk'),
            10,
            'body',
        )
        effects = self.cores[name].claim(
            request, ticket, self.now, self.clock.unix_ms()
        )
        self._execute(name, effects)
        return ticket

    def record(self, name: str, ticket: int, verdict: errors.Verdict) -> None:
        """Record the outcome of a call."""
        outcome = core_api.CallOutcome(verdict, 200, b'tray 9', 'text/plain')
        effects = self.cores[name].record(ticket, outcome, self.now)
        self._execute(name, effects)

    def publish(self, records: typing.Sequence[bytes]) -> None:
        """Deliver settings to one watching router; gossip spreads them."""
        name = self.names[0]
        sends = self.cores[name].settings.apply_from_store(records, self.now)
        self._execute(name, admission_client.Effects(sends))

    def non_owners(self, key: str) -> list[str]:
        """Return the routers that forward claims of a key to its owner."""
        located = ledger_record.locate(
            'house', 'services/desk', key, self.clock.unix_ms()
        )
        shard = located.unwrap().shard
        owner = hashing.highest_ranked(f'ledger/{shard}', self.names)
        return [name for name in self.names if name != owner]

    def _tick(self, name: str) -> None:
        router_core = self.cores[name]
        self._execute(name, router_core.tick(self.now, self.clock.unix_ms()))
        if round(self.now / TICK_S) % 20 == 0:
            for ranked in router_core.chats.ranked_engines():
                engine_id = ranked.engine
                state = engine.State(
                    engine_id,
                    ids.ModelId('basking'),
                    ids.VersionId('1'),
                    running=self.running.get(engine_id, 0),
                )
                effects = router_core.record_engine_state(
                    engine_id, state, engine.CacheEvents(()), self.now, self.now
                )
                self._execute(name, effects)

    def _execute(self, name: str, effects: admission_client.Effects) -> None:
        for decided in effects.decided:
            self._record_outcome(decided.ticket, decided.outcome)
            if decided.outcome.is_ok():
                admission = decided.outcome.unwrap()
                self.running[admission.grant.engine] += 1
        for calls in effects.calls:
            for settled in calls.claim_results:
                if settled.outcome is not None:
                    self._record_outcome(settled.ticket, settled.outcome)
            for call in calls.store:
                stored = store_io.execute(self.kv, call)
                self._schedule(self._store_delay_s, name, stored)
        for send in effects.sends:
            self._send(name, send)

    def _record_outcome(self, ticket: int, outcome: typing.Any) -> None:
        if ticket in self.outcomes:
            raise AssertionError(f'P3: request {ticket} was decided twice')
        self.outcomes[ticket] = outcome

    def _send(self, name: str, send: messages.Send) -> None:
        delay = _NETWORK_DELAY_S
        message: messages.Message | None = send.message
        if not self.was_injected:
            if isinstance(message, self._requests):
                message, delay = self._inject_request_fault(name, send)
            elif isinstance(message, self._replies):
                message = self._inject_reply_fault(message)
        if message is not None and (name, send.to) not in self._blocked_links:
            self._schedule(delay, send.to, (name, message))

    def _inject_request_fault(
        self, name: str, send: messages.Send
    ) -> tuple[messages.Message | None, float]:
        message: messages.Message | None = send.message
        delay = _NETWORK_DELAY_S
        self.was_injected = True
        match self._fault:
            case Fault.LOST_BEFORE:
                message = None
            case Fault.DELAYED:
                delay = _FAULT_DELAY_S
            case Fault.DUPLICATED:
                self._schedule(1, send.to, (name, send.message))
            case Fault.CRASHED:
                self.start_router(send.to)
            case Fault.PAUSED:
                self._paused_until[send.to] = self.now + FAULT_DURATION_S
            case Fault.PARTITIONED | Fault.PARTITIONED_ONE_WAY:
                self._blocked_links.add((send.to, name))
                if self._fault is Fault.PARTITIONED:
                    self._blocked_links.add((name, send.to))
                self._partition_until = self.now + FAULT_DURATION_S
            case _:
                self.was_injected = False
        return message, delay

    def _inject_reply_fault(
        self, message: typing.Any
    ) -> messages.Message | None:
        if self._fault is Fault.LOST_AFTER:
            self.was_injected = True
            return None
        if self._fault is Fault.MISDELIVERED and hasattr(message, 'ask'):
            self.was_injected = True
            return msgspec.structs.replace(message, ask=message.ask + 1000)
        return message

    def _end_expired_faults(self) -> None:
        if self._partition_until <= self.now:
            self._blocked_links.clear()
        if self._store_fault_until <= self.now:
            self.kv.faults.outage = False
            self._store_delay_s = _NETWORK_DELAY_S
        for name, until in tuple(self._paused_until.items()):
            if until <= self.now:
                self._paused_until.pop(name)

    def _schedule(self, delay: float, to: str, event: typing.Any) -> None:
        heapq.heappush(
            self._events, (self.now + delay, next(self._sequence), to, event)
        )

    def _deliver_due(self) -> None:
        while self._events and self._events[0][0] <= self.now:
            _, _, to, event = heapq.heappop(self._events)
            if to in self._paused_until:
                self._schedule(TICK_S, to, event)
            elif isinstance(event, tuple):
                sender, message = event
                effects = self.cores[to].receive(sender, message, self.now)
                self._execute(to, effects)
            else:
                stored = typing.cast(store_calls.CallResult, event)
                effects = self.cores[to].handle_store_result(stored, self.now)
                self._execute(to, effects)


def _new_host(
    name: str, kind: hosts.Kind, number: int, serves: str = ''
) -> hosts.Host:
    address = name if kind is hosts.Kind.ENTRY else f'http://{name}'
    return hosts.Host(
        ids.HostId(name),
        kind,
        address,
        ids.ZoneId('abc'[number]),
        ids.RegionId('lk-west'),
        serves,
    )
