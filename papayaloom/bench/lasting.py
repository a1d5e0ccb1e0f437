"""Figures of the ledger and of orders, on virtual time.

The ledger runs in several routers that exchange messages with a delay and a
loss and call the in-memory key-value service. The chaos scenario adds lost
replies, late writes, outages, crashes and disagreement on membership.
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
_MESSAGE_S = 0.0015
_STORE_S = 0.004
_SERVICE_S = 0.05
_REPEATED = 0.02
_REPLY = b'{"order": 1234, "state": "accepted"}' * 3
_STORE_FAULTS = ('drop_before', 'drop_reply', 'late_writes')


class _Call:
    """One attempt at a key."""

    def __init__(self, key: str, router: str, boot: int) -> None:
        self.key = key
        self.router = router
        self.boot = boot
        self.asked: float = 0
        self.effects = 0
        self.told_not_run = False


class _Fleet:
    """Routers with ledgers, a store and a service that counts effects."""

    def __init__(self, routers: int, seed: int, loss: float = 0) -> None:
        self.rng = random.Random(seed)
        self.clock = clock.VirtualClock(1_000_000)
        self.kv = kv.MemoryKv(self.clock, sleep=lambda seconds: None)
        self.names = [ids.RouterId(f'r{number}') for number in range(routers)]
        self.boots = dict.fromkeys(self.names, 0)
        self.ledgers = {name: self._ledger(name) for name in self.names}
        self.effects: collections.Counter[str] = collections.Counter()
        self.waits: list[float] = []
        self.granted = 0
        self.refused = 0
        self.denied = 0
        self.steps = 0
        self.false_not_run = 0
        self.written = 0
        self._loss = loss
        self._calls: dict[tuple[str, int, int], _Call] = {}
        self._heap: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        for name in self.names:
            first = self.rng.random() * _TICK_S
            self.after(first, functools.partial(self._tick, name))

    def after(self, delay: float, work: typing.Callable[[], None]) -> None:
        """Do something later."""
        due = self.clock.monotonic() + delay
        heapq.heappush(self._heap, (due, next(self._order), work))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.clock.monotonic() + seconds
        while self._heap[0][0] <= until:
            due, _, work = heapq.heappop(self._heap)
            self.clock.advance(due - self.clock.monotonic())
            self.steps += 1
            work()
        self.clock.advance(until - self.clock.monotonic())

    def new_key(self) -> str:
        """Return a key of this moment."""
        made = self.clock.unix_ms() << 80 | 7 << 76 | 2 << 62
        return str(uuid.UUID(int=made | self.rng.getrandbits(61)))

    def call(self, key: str) -> None:
        """Send a call with a key to any router."""
        name = self.rng.choice(self.names)
        unix_ms = self.clock.unix_ms()
        found = ledger_record.locate('org', 'desk', key, unix_ms)
        number = next(self._numbers)
        call = _Call(key, name, self.boots[name])
        call.asked = self.clock.monotonic()
        self._calls[name, call.boot, number] = call
        outputs = self.ledgers[name].claim(
            number, found.unwrap(), self.clock.monotonic()
        )
        self._take(name, outputs)

    def load(self, rate: float, seconds: float) -> None:
        """Send calls at a rate for some time; a few keys come again."""
        for _ in range(round(rate * seconds)):
            self.run(1 / rate)
            key = self.new_key()
            self.call(key)
            if self.rng.random() < _REPEATED:
                pause = self.rng.choice((0.01, 1, 30))
                self.after(pause, functools.partial(self.call, key))

    def crash(self, name: ids.RouterId) -> None:
        """Restart a router; what it knew is gone."""
        self.boots[name] += 1
        self.ledgers[name] = self._ledger(name)

    def doubled(self) -> int:
        """Return the number of keys with more than one effect."""
        return sum(count > 1 for count in self.effects.values())

    def _ledger(self, name: ids.RouterId) -> ledger.Ledger:
        made = ledger.Ledger(ledger.Cfg(), name, self.rng)
        made.update_members(self.names)
        return made

    def _tick(self, name: ids.RouterId) -> None:
        outputs = self.ledgers[name].tick(
            self.clock.monotonic(), self.clock.unix_ms()
        )
        self._take(name, outputs)
        self.after(_TICK_S, lambda: self._tick(name))

    def _take(
        self, name: ids.RouterId, outputs: typing.Iterable[ledger.Output]
    ) -> None:
        for output in outputs:
            if isinstance(output, messages.Send):
                self._send(name, output)
            elif isinstance(output, ledger.Decision):
                self._decided(name, output)
            elif not isinstance(output, ledger.OutcomeRecorded):
                self._store(name, output)

    def _send(self, name: ids.RouterId, send: messages.Send) -> None:
        def deliver() -> None:
            now = self.clock.monotonic()
            outputs = self.ledgers[send.to].handle(name, send.message, now)
            self._take(send.to, outputs)

        if self.rng.random() >= self._loss:
            self.after(_MESSAGE_S, deliver)

    def _store(self, name: ids.RouterId, call: store_calls.Call) -> None:
        boot = self.boots[name]
        if isinstance(call, store_calls.CompareAndSwap):
            self.written += len(call.content)

        def carry_out() -> None:
            stored = store_io.execute(self.kv, call)

            def reply() -> None:
                if self.boots[name] == boot:
                    now = self.clock.monotonic()
                    self._take(
                        name, self.ledgers[name].handle_result(stored, now)
                    )

            self.after(_STORE_S / 2, reply)

        self.after(_STORE_S / 2, carry_out)

    def _decided(self, name: ids.RouterId, decision: ledger.Decision) -> None:
        call = self._calls[name, self.boots[name], decision.number]
        answer = decision.answer
        self.waits.append(self.clock.monotonic() - call.asked)
        if answer.granted:
            self.granted += 1
            self.after(
                _SERVICE_S, lambda: self._serve(name, decision.number, call)
            )
        elif answer.known:
            self.denied += 1
        else:
            self.refused += 1
            call.told_not_run = True
            self.false_not_run += call.effects

    def _serve(self, name: ids.RouterId, number: int, call: _Call) -> None:
        if self.boots[name] != call.boot:
            return
        self.effects[call.key] += 1
        call.effects += 1
        self.false_not_run += call.told_not_run
        outputs = self.ledgers[name].record(
            number, ledger_record.State.RAN, self.clock.monotonic(), 201, _REPLY
        )
        self._take(name, outputs)


def run(*, smoke: bool, seed: int) -> typing.Iterator[measurement.Figure]:
    """Yield the figures of the ledger and of orders."""
    fleets = (6,) if smoke else (6, 96, 360)
    for routers in fleets:
        for rate in (20, 200):
            yield from _rates(routers, rate, 10 if smoke else 60, seed)
    yield from _outage(10 if smoke else 60, seed)
    yield from _chaos(10 if smoke else 200, seed)
    for engines in (5,) if smoke else (5, 600):
        yield from _roll_out(engines, seed)


def _rates(
    routers: int, rate: int, seconds: float, seed: int
) -> typing.Iterator[measurement.Figure]:
    fleet = _Fleet(routers, seed, loss=0.01)
    fleet.run(1)
    fleet.load(rate, seconds)
    counts = fleet.kv.counts
    scenario = f'{rate} calls/s, {routers} routers'
    waits = sorted(fleet.waits)
    for name, value, unit in (
        ('ledger_writes_per_second', counts.writes / seconds, '1/s'),
        ('ledger_reads_per_second', counts.reads / seconds, '1/s'),
        ('ledger_bytes_per_write', fleet.written / counts.writes, 'bytes'),
        ('ledger_claim_p50_s', waits[len(waits) // 2], 's'),
        ('ledger_claim_p99_s', waits[len(waits) * 99 // 100], 's'),
        ('ledger_doubled_effects', fleet.doubled(), 'keys'),
    ):
        yield measurement.entry(name, value, unit, seed, scenario, 'ledger')
    yield _baseline(rate, seconds, seed, scenario)


def _baseline(
    rate: int, seconds: float, seed: int, scenario: str
) -> measurement.Figure:
    """Claim and outcome of each call in a record of its own."""
    store = kv.MemoryKv(clock.VirtualClock(), sleep=lambda seconds: None)
    for number in range(round(rate * seconds)):
        claim = store.put(f'claim/{number}', b'claimed', kv.kv.ABSENT)
        store.put(f'claim/{number}', _REPLY, claim.revision)
    return measurement.entry(
        'ledger_writes_per_second',
        store.counts.writes / seconds,
        '1/s',
        seed,
        scenario,
        'one record per call',
    )


def _outage(seconds: float, seed: int) -> typing.Iterator[measurement.Figure]:
    fleet = _Fleet(6, seed)
    fleet.load(20, 5)
    fleet.run(3)
    before = fleet.kv.counts.reads + fleet.kv.counts.writes
    refused, granted = fleet.refused, fleet.granted
    fleet.kv.faults.outage = True
    fleet.load(20, seconds)
    fleet.run(3)
    calls = fleet.kv.counts.reads + fleet.kv.counts.writes - before
    decided = fleet.refused - refused + fleet.granted - granted
    scenario = f'store down for {seconds} s, 20 calls/s, 6 routers'
    yield measurement.entry(
        'ledger_refused_share',
        (fleet.refused - refused) / decided,
        'share',
        seed,
        scenario,
        'ledger',
    )
    yield measurement.entry(
        'ledger_calls_in_outage', calls / seconds, '1/s', seed, scenario, 'all'
    )
    fleet.kv.faults.outage = False
    fleet.run(2)
    refused, granted = fleet.refused, fleet.granted
    fleet.load(20, 10)
    fleet.run(3)
    late = (fleet.refused - refused) / (
        fleet.refused - refused + fleet.granted - granted
    )
    after = 'from 2 s after the outage'
    yield measurement.entry(
        'ledger_refused_share', late, 'share', seed, after, 'ledger'
    )


def _chaos(rounds: int, seed: int) -> typing.Iterator[measurement.Figure]:
    fleet = _Fleet(6, seed, loss=0.05)
    keys: collections.deque[str] = collections.deque(maxlen=20)
    calls = 0
    for _ in range(rounds * 10):
        keys.append(fleet.new_key())
        setattr(fleet.kv.faults, fleet.rng.choice(_STORE_FAULTS), 1)
        fleet.kv.faults.outage = fleet.rng.random() < 0.1
        name = fleet.rng.choice(fleet.names)
        if fleet.rng.random() < 0.1:
            fleet.crash(name)
        seen = {one for one in fleet.names if fleet.rng.random() < 0.7}
        fleet.ledgers[name].update_members(sorted(seen | {name}))
        for _ in range(10):
            fleet.call(fleet.rng.choice(keys))
            calls += 1
            fleet.run(fleet.rng.random() / 10)
    scenario = f'{calls} calls with faults, {fleet.steps} steps, 6 routers'
    for title, value in (
        ('doubled_effects', fleet.doubled()),
        ('false_not_run', fleet.false_not_run),
        ('chaos_granted', fleet.granted),
        ('chaos_denied', fleet.denied),
        ('chaos_refused', fleet.refused),
    ):
        yield measurement.entry(title, value, 'calls', seed, scenario, 'ledger')


class Engines:
    """Engines, a weight store and one orderer."""

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
        self.fewest = count

    def want(self, version: int) -> None:
        """Ask for a version of the model on all engines."""
        want = orders_plan.DesiredModel(
            ids.ModelId('gecko'),
            len(self.engines),
            ids.VersionId(str(version)),
            settings_version=version,
            floor=0.6,
        )
        settings = ids.SettingsVersion(version)
        self.orders.configure(orders.Cfg(), [want], settings)

    def tick(self) -> None:
        """Let a second pass."""
        self.clock.advance(1)
        for output in self.orders.tick(self.clock.monotonic()):
            self._carry_out(output)
        serving = sum(not one.loading for one in self.engines.values())
        self.fewest = min(self.fewest, serving)

    def done(self, version: int) -> bool:
        """Return whether all engines run a version."""
        wanted = str(version)
        return all(
            one.state().version == wanted and not one.loading
            for one in self.engines.values()
        )

    def observe(self, name: ids.EngineId) -> orders_plan.Observation | None:
        """Read an engine's state."""
        server = self.engines[name]
        now = self.clock.monotonic()
        return orders_plan.Observation(server.state(), not server.loading, now)

    def deliver(self, send: orders_fleet.SendOrder) -> None:
        """Send an order that was checked."""
        now = self.clock.monotonic()
        try:
            reply = self.engines[send.engine].order(send.order)
        except errors.RefusedError as exc:
            self.orders.handle_refusal(send, exc.problem.type, now)
        except errors.UpstreamError:
            self.orders.handle_reply(send, None, now)
        else:
            self.orders.handle_reply(send, reply, now)

    def _carry_out(self, output: orders.Output) -> None:
        now = self.clock.monotonic()
        if isinstance(output, orders_fleet.Observe):
            self.orders.handle_observation(
                output.engine, self.observe(output.engine)
            )
        elif isinstance(output, orders_pacing.ReadManifest):
            found = self.weights.manifest(output.model, output.version)
            self.orders.handle_manifest(output, found)
        elif isinstance(output, orders_fleet.SendOrder):
            if self.orders.may_send(output, now):
                self.deliver(output)
        else:
            self.orders.handle_result(store_io.execute(self.kv, output), now)


def _roll_out(count: int, seed: int) -> typing.Iterator[measurement.Figure]:
    world = Engines(count)
    world.want(1)
    for _ in range(60):
        world.tick()
    world.want(2)
    began = world.clock.monotonic()
    while not world.done(2):
        world.tick()
    taken = world.clock.monotonic() - began
    scenario = (
        f'{count} engines, loads of 30 s, 40 GB at half of 20 GB/s, floor 0.6'
    )
    loads = [
        one.action.startswith('load')
        for server in world.engines.values()
        for one in server.carried_out
    ]
    sequential = count * (30 + orders.Cfg().observe_s)
    for name, value, unit, policy in (
        ('roll_out_s', taken, 's', 'paced'),
        ('roll_out_s', sequential, 's', 'one after another (computed)'),
        ('lowest_serving_share', world.fewest / count, 'share', 'paced'),
        ('loads_per_engine', sum(loads) / count, 'loads', 'paced'),
    ):
        yield measurement.entry(name, value, unit, seed, scenario, policy)
