"""Figures of the ledger and of orders, on virtual time.

The ledger runs in several routers that exchange messages with delay and
loss and use the in-memory key-value store. The chaos scenario adds lost
replies, late writes, outages, crashes and differing views of the members.
"""

import collections
import functools
import heapq
import itertools
import random
import typing
import uuid

from papayaloom import clock, errors, ids, messages
from papayaloom.bench import measurement
from papayaloom.process import (
    ledger,
    ledger_record,
    orders,
    orders_fleet,
    orders_pacing,
    orders_plan,
    store_calls,
    store_io,
)
from papayaloom.standins import engine, kv, weights

_TICK_S = 0.05
_MESSAGE_DELAY_S = 0.0015
_STORE_DELAY_S = 0.004
_SERVICE_DELAY_S = 0.05
_REPEAT_SHARE = 0.02
_RESPONSE_BODY = b'{"order": 1234, "state": "accepted"}' * 3
_STORE_FAULTS = ('drop_before', 'drop_reply', 'late_writes')


class _Attempt:
    """One attempt to run the call of a key."""

    def __init__(self, key: str, router: str, boot: int) -> None:
        self.key = key
        self.router = router
        self.boot = boot
        self.claimed_at: float = 0
        self.effects = 0
        self.reported_not_run = False


class _LedgerFleet:
    """Routers with ledgers, a store and a service that counts effects."""

    def __init__(self, routers: int, seed: int, loss: float = 0) -> None:
        self.rng = random.Random(seed)
        self.clock = clock.VirtualClock(1_000_000)
        self.kv = kv.MemoryKv(self.clock, sleep=lambda seconds: None)
        self.names = [ids.RouterId(f'r{number}') for number in range(routers)]
        self.boots = dict.fromkeys(self.names, 0)
        self.ledgers = {name: self._new_ledger(name) for name in self.names}
        self.effects: collections.Counter[str] = collections.Counter()
        self.claim_delays: list[float] = []
        self.granted = 0
        self.refused = 0
        self.denied = 0
        self.steps = 0
        self.false_not_run = 0
        self.written_bytes = 0
        self._loss = loss
        self._attempts: dict[tuple[str, int, int], _Attempt] = {}
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._numbers = itertools.count(1)
        for name in self.names:
            first = self.rng.random() * _TICK_S
            self.call_after(first, functools.partial(self._tick, name))

    def call_after(
        self, delay: float, action: typing.Callable[[], None]
    ) -> None:
        """Schedule an action after a delay in virtual time."""
        due = self.clock.monotonic() + delay
        heapq.heappush(self._events, (due, next(self._sequence), action))

    def run(self, seconds: float) -> None:
        """Run all events that are due within a period of virtual time."""
        until = self.clock.monotonic() + seconds
        while self._events[0][0] <= until:
            due, _, action = heapq.heappop(self._events)
            self.clock.advance(due - self.clock.monotonic())
            self.steps += 1
            action()
        self.clock.advance(until - self.clock.monotonic())

    def new_key(self) -> str:
        """Return a UUID version 7 with the current time."""
        prefix = self.clock.unix_ms() << 80 | 7 << 76 | 2 << 62
        return str(uuid.UUID(int=prefix | self.rng.getrandbits(61)))

    def call(self, key: str) -> None:
        """Send a call with this key to a random router."""
        name = self.rng.choice(self.names)
        unix_ms = self.clock.unix_ms()
        located = ledger_record.locate('org', 'desk', key, unix_ms)
        number = next(self._numbers)
        attempt = _Attempt(key, name, self.boots[name])
        attempt.claimed_at = self.clock.monotonic()
        self._attempts[name, attempt.boot, number] = attempt
        outputs = self.ledgers[name].claim(
            number, located.unwrap(), self.clock.monotonic()
        )
        self._handle_outputs(name, outputs)

    def load(self, rate: float, seconds: float) -> None:
        """Send calls at a constant rate; a small share of the keys is repeated."""
        for _ in range(round(rate * seconds)):
            self.run(1 / rate)
            key = self.new_key()
            self.call(key)
            if self.rng.random() < _REPEAT_SHARE:
                delay = self.rng.choice((0.01, 1, 30))
                self.call_after(delay, functools.partial(self.call, key))

    def crash(self, name: ids.RouterId) -> None:
        """Restart a router; its in-memory state is lost."""
        self.boots[name] += 1
        self.ledgers[name] = self._new_ledger(name)

    def count_duplicated(self) -> int:
        """Return the number of keys with more than one effect."""
        return sum(count > 1 for count in self.effects.values())

    def _new_ledger(self, name: ids.RouterId) -> ledger.Ledger:
        new_ledger = ledger.Ledger(ledger.Cfg(), name, self.rng)
        new_ledger.update_members(self.names)
        return new_ledger

    def _tick(self, name: ids.RouterId) -> None:
        outputs = self.ledgers[name].tick(
            self.clock.monotonic(), self.clock.unix_ms()
        )
        self._handle_outputs(name, outputs)
        self.call_after(_TICK_S, lambda: self._tick(name))

    def _handle_outputs(
        self, name: ids.RouterId, outputs: typing.Iterable[ledger.Output]
    ) -> None:
        for output in outputs:
            if isinstance(output, messages.Send):
                self._send(name, output)
            elif isinstance(output, ledger.Decision):
                self._handle_decision(name, output)
            elif not isinstance(output, ledger.OutcomeRecorded):
                self._call_store(name, output)

    def _send(self, name: ids.RouterId, send: messages.Send) -> None:
        def deliver() -> None:
            now = self.clock.monotonic()
            outputs = self.ledgers[send.to].handle(name, send.message, now)
            self._handle_outputs(send.to, outputs)

        if self.rng.random() >= self._loss:
            self.call_after(_MESSAGE_DELAY_S, deliver)

    def _call_store(self, name: ids.RouterId, call: store_calls.Call) -> None:
        boot = self.boots[name]
        if isinstance(call, store_calls.CompareAndSwap):
            self.written_bytes += len(call.content)

        def execute() -> None:
            stored = store_io.execute(self.kv, call)

            def reply() -> None:
                if self.boots[name] == boot:
                    now = self.clock.monotonic()
                    self._handle_outputs(
                        name, self.ledgers[name].handle_result(stored, now)
                    )

            self.call_after(_STORE_DELAY_S / 2, reply)

        self.call_after(_STORE_DELAY_S / 2, execute)

    def _handle_decision(
        self, name: ids.RouterId, decision: ledger.Decision
    ) -> None:
        attempt = self._attempts[name, self.boots[name], decision.number]
        answer = decision.answer
        self.claim_delays.append(self.clock.monotonic() - attempt.claimed_at)
        if answer.granted:
            self.granted += 1
            self.call_after(
                _SERVICE_DELAY_S,
                lambda: self._run_call(name, decision.number, attempt),
            )
        elif answer.known:
            self.denied += 1
        else:
            self.refused += 1
            attempt.reported_not_run = True
            self.false_not_run += attempt.effects

    def _run_call(
        self, name: ids.RouterId, number: int, attempt: _Attempt
    ) -> None:
        if self.boots[name] != attempt.boot:
            return
        self.effects[attempt.key] += 1
        attempt.effects += 1
        self.false_not_run += attempt.reported_not_run
        outputs = self.ledgers[name].record(
            number,
            ledger_record.State.RAN,
            self.clock.monotonic(),
            201,
            _RESPONSE_BODY,
        )
        self._handle_outputs(name, outputs)


def run(*, smoke: bool, seed: int) -> typing.Iterator[measurement.Figure]:
    """Yield the figures of the ledger and of orders."""
    fleets = (6,) if smoke else (6, 96, 360)
    for routers in fleets:
        for rate in (20, 200):
            yield from _rate_figures(routers, rate, 10 if smoke else 60, seed)
    yield from _outage_figures(10 if smoke else 60, seed)
    yield from _chaos_figures(10 if smoke else 200, seed)
    for engines in (5,) if smoke else (5, 600):
        yield from _rollout_figures(engines, seed)


def _rate_figures(
    routers: int, rate: int, seconds: float, seed: int
) -> typing.Iterator[measurement.Figure]:
    fleet = _LedgerFleet(routers, seed, loss=0.01)
    fleet.run(1)
    fleet.load(rate, seconds)
    counts = fleet.kv.counts
    scenario = f'{rate} calls/s, {routers} routers'
    claim_delays = sorted(fleet.claim_delays)
    for name, value, unit in (
        ('ledger_writes_per_second', counts.writes / seconds, '1/s'),
        ('ledger_reads_per_second', counts.reads / seconds, '1/s'),
        (
            'ledger_bytes_per_write',
            fleet.written_bytes / counts.writes,
            'bytes',
        ),
        ('ledger_claim_p50_s', claim_delays[len(claim_delays) // 2], 's'),
        (
            'ledger_claim_p99_s',
            claim_delays[len(claim_delays) * 99 // 100],
            's',
        ),
        ('ledger_doubled_effects', fleet.count_duplicated(), 'keys'),
    ):
        yield measurement.make_figure(
            name, value, unit, seed, scenario, 'ledger'
        )
    yield _baseline_figure(rate, seconds, seed, scenario)


def _baseline_figure(
    rate: int, seconds: float, seed: int, scenario: str
) -> measurement.Figure:
    """Return the write rate when each call has a record of its own."""
    store = kv.MemoryKv(clock.VirtualClock(), sleep=lambda seconds: None)
    for number in range(round(rate * seconds)):
        claim = store.put(f'claim/{number}', b'claimed', kv.kv.ABSENT)
        store.put(f'claim/{number}', _RESPONSE_BODY, claim.revision)
    return measurement.make_figure(
        'ledger_writes_per_second',
        store.counts.writes / seconds,
        '1/s',
        seed,
        scenario,
        'one record per call',
    )


def _outage_figures(
    seconds: float, seed: int
) -> typing.Iterator[measurement.Figure]:
    fleet = _LedgerFleet(6, seed)
    fleet.load(20, 5)
    fleet.run(3)
    calls_before = fleet.kv.counts.reads + fleet.kv.counts.writes
    refused, granted = fleet.refused, fleet.granted
    fleet.kv.faults.outage = True
    fleet.load(20, seconds)
    fleet.run(3)
    calls = fleet.kv.counts.reads + fleet.kv.counts.writes - calls_before
    decided = fleet.refused - refused + fleet.granted - granted
    scenario = f'store down for {seconds} s, 20 calls/s, 6 routers'
    yield measurement.make_figure(
        'ledger_refused_share',
        (fleet.refused - refused) / decided,
        'share',
        seed,
        scenario,
        'ledger',
    )
    yield measurement.make_figure(
        'ledger_calls_in_outage', calls / seconds, '1/s', seed, scenario, 'all'
    )
    fleet.kv.faults.outage = False
    fleet.run(2)
    refused, granted = fleet.refused, fleet.granted
    fleet.load(20, 10)
    fleet.run(3)
    refused_share = (fleet.refused - refused) / (
        fleet.refused - refused + fleet.granted - granted
    )
    scenario_after = 'from 2 s after the outage'
    yield measurement.make_figure(
        'ledger_refused_share',
        refused_share,
        'share',
        seed,
        scenario_after,
        'ledger',
    )


def _chaos_figures(
    rounds: int, seed: int
) -> typing.Iterator[measurement.Figure]:
    fleet = _LedgerFleet(6, seed, loss=0.05)
    keys: collections.deque[str] = collections.deque(maxlen=20)
    calls = 0
    for _ in range(rounds * 10):
        keys.append(fleet.new_key())
        setattr(fleet.kv.faults, fleet.rng.choice(_STORE_FAULTS), 1)
        fleet.kv.faults.outage = fleet.rng.random() < 0.1
        name = fleet.rng.choice(fleet.names)
        if fleet.rng.random() < 0.1:
            fleet.crash(name)
        visible = {one for one in fleet.names if fleet.rng.random() < 0.7}
        fleet.ledgers[name].update_members(sorted(visible | {name}))
        for _ in range(10):
            fleet.call(fleet.rng.choice(keys))
            calls += 1
            fleet.run(fleet.rng.random() / 10)
    scenario = f'{calls} calls with faults, {fleet.steps} steps, 6 routers'
    for title, value in (
        ('doubled_effects', fleet.count_duplicated()),
        ('false_not_run', fleet.false_not_run),
        ('chaos_granted', fleet.granted),
        ('chaos_denied', fleet.denied),
        ('chaos_refused', fleet.refused),
    ):
        yield measurement.make_figure(
            title, value, 'calls', seed, scenario, 'ledger'
        )


class EngineFleet:
    """Engines, a weight store and one orderer on virtual time."""

    def __init__(self, count: int) -> None:
        self.clock = clock.VirtualClock(1000)
        self.kv = kv.MemoryKv(self.clock, sleep=lambda seconds: None)
        self.weights = weights.WeightStore(
            self.clock, bytes_per_s=20e9, default_size=40_000_000_000
        )
        self.engines: dict[ids.EngineId, engine.Engine] = {}
        for number in range(count):
            name = ids.EngineId(f'e{number:03}')
            cfg = engine.Cfg(name, ids.ModelId('gecko'), load_s=30)
            self.engines[name] = engine.Engine(cfg, self.clock)
        self.orders = orders.Controller(orders.Cfg(), ids.HostId('bench'))
        self.orders.update_engines(tuple(self.engines))
        self.lowest_serving = count

    def set_desired_version(self, version: int) -> None:
        """Set the model version that all engines should run."""
        desired = orders_plan.DesiredModel(
            ids.ModelId('gecko'),
            len(self.engines),
            ids.VersionId(str(version)),
            settings_version=version,
            floor=0.6,
        )
        settings = ids.SettingsVersion(version)
        self.orders.configure(orders.Cfg(), [desired], settings)

    def tick(self) -> None:
        """Advance virtual time by one second and run the orderer."""
        self.clock.advance(1)
        for output in self.orders.tick(self.clock.monotonic()):
            self._handle_output(output)
        serving = sum(not server.loading for server in self.engines.values())
        self.lowest_serving = min(self.lowest_serving, serving)

    def is_rolled_out(self, version: int) -> bool:
        """Return whether all engines run a version."""
        wanted = str(version)
        return all(
            server.state().version == wanted and not server.loading
            for server in self.engines.values()
        )

    def observe(self, name: ids.EngineId) -> orders_plan.Observation | None:
        """Return the state of an engine."""
        server = self.engines[name]
        now = self.clock.monotonic()
        return orders_plan.Observation(server.state(), not server.loading, now)

    def deliver(self, send: orders_fleet.SendOrder) -> None:
        """Send an order to its engine and pass the reply to the orderer."""
        now = self.clock.monotonic()
        try:
            reply = self.engines[send.engine].order(send.order)
        except errors.RefusedError as exc:
            self.orders.handle_refusal(send, exc.problem.type, now)
        except errors.UpstreamError:
            self.orders.handle_reply(send, None, now)
        else:
            self.orders.handle_reply(send, reply, now)

    def _handle_output(self, output: orders.Output) -> None:
        now = self.clock.monotonic()
        if isinstance(output, orders_fleet.Observe):
            self.orders.handle_observation(
                output.engine, self.observe(output.engine)
            )
        elif isinstance(output, orders_pacing.ReadManifest):
            manifest = self.weights.manifest(output.model, output.version)
            self.orders.handle_manifest(output, manifest)
        elif isinstance(output, orders_fleet.SendOrder):
            if self.orders.may_send(output, now):
                self.deliver(output)
        else:
            self.orders.handle_result(store_io.execute(self.kv, output), now)


def _rollout_figures(
    count: int, seed: int
) -> typing.Iterator[measurement.Figure]:
    fleet = EngineFleet(count)
    fleet.set_desired_version(1)
    for _ in range(60):
        fleet.tick()
    fleet.set_desired_version(2)
    started_at = fleet.clock.monotonic()
    while not fleet.is_rolled_out(2):
        fleet.tick()
    elapsed_s = fleet.clock.monotonic() - started_at
    scenario = (
        f'{count} engines, loads of 30 s, 40 GB at half of 20 GB/s, floor 0.6'
    )
    loads = [
        order.action.startswith('load')
        for server in fleet.engines.values()
        for order in server.executed_orders
    ]
    sequential = count * (30 + orders.Cfg().observe_s)
    for name, value, unit, policy in (
        ('roll_out_s', elapsed_s, 's', 'paced'),
        ('roll_out_s', sequential, 's', 'one after another (computed)'),
        (
            'lowest_serving_share',
            fleet.lowest_serving / count,
            'share',
            'paced',
        ),
        ('loads_per_engine', sum(loads) / count, 'loads', 'paced'),
    ):
        yield measurement.make_figure(name, value, unit, seed, scenario, policy)
