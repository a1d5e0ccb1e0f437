"""Several routers' decision cores in one process, on virtual time.

Messages are delayed, and lost or held back as a scenario says. The engines,
the host list and the key-value service are reduced to what the cores see.
"""

import heapq
import itertools
import random

from papayaloom import ids, messages
from papayaloom.ports import engine, hosts
from papayaloom.process import (
    admission_client,
    core,
    current_settings,
    ledger_writer,
)
from papayaloom.request import core_api
from papayaloom.standins import kv as kv_twin
from papayaloom.process import store_io
from papayaloom import clock, errors

TICK_S = 0.05


class Node:
    """One router: its core, and the outcomes of its tickets."""

    def __init__(self, name, zone, held, rng, incarnation):
        self.name = name
        self.member = messages.Member(
            name,
            f'tcp://{name}',
            f'http://{name}',
            zone,
            'lk-west',
            incarnation,
        )
        self.current = held
        self.core = core.Core(self.member, held, rng)
        self.outcomes = {}
        self.paused = False


class Fleet:
    """Routers in three zones, engines of one model, one service.

    :param loss: share of messages that are lost.
    """

    def __init__(self, routers=3, engines=2, seed=1, loss=0.0):
        self.now = 100.0
        self.rng = random.Random(seed)
        self.loss = loss
        self.cuts = set()
        self.clock = clock.VirtualClock(self.now)
        self.store = kv_twin.MemoryKv(self.clock)
        self.store_down = False
        self.effects = []
        self.running = {f'engine-{n}': 0 for n in range(engines)}
        self.listed = {}
        self.sent_to = []
        self._events = []
        self._count = itertools.count()
        self._tickets = itertools.count(1)
        self.nodes = {}
        for number in range(routers):
            self._list(f'router-{number}', hosts.Kind.ENTRY, number)
        for number in range(engines):
            self._list(f'engine-{number}', hosts.Kind.ENGINE, number, 'basking')
        for number in range(2):
            self._list(
                f'reminder-{number}', hosts.Kind.SERVICE, number, 'reminder'
            )
        for number in range(routers):
            self.boot(f'router-{number}')

    def boot(self, name, held=None):
        """Start a router, or start it again without its memory."""
        zone = self.listed[name].zone
        node = Node(
            name,
            zone,
            held or current_settings.CurrentSettings(),
            random.Random(self.rng.random()),
            round(self.now),
        )
        self.nodes[name] = node
        self._carry_out(
            node, node.core.update_host_list(self.host_list(), self.now)
        )
        return node

    def host_list(self):
        return hosts.HostList(tuple(self.listed.values()))

    def publish_hosts(self):
        for node in self.nodes.values():
            self._carry_out(
                node, node.core.update_host_list(self.host_list(), self.now)
            )

    def run(self, seconds):
        """Let virtual time pass."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += TICK_S
            self.clock.advance(TICK_S)
            self._deliver()
            for node in list(self.nodes.values()):
                if not node.paused:
                    self._read_engines(node)
                    unix_ms = self.clock.unix_ms()
                    self._carry_out(node, node.core.tick(self.now, unix_ms))

    def admit(self, name, chat='chat-1', mark='', **fields):
        """Begin the search of a chat; returns its ticket."""
        ticket = next(self._tickets)
        ask = core_api.AdmissionRequest(
            ids.RequestId(f'request-{ticket}'),
            'gecko-house',
            chat,
            'basking',
            mark or f'mark-{ticket}',
            fields.pop('priority', 5),
            fields.pop('deadline_s', 10),
            200,
            **fields,
        )
        node = self.nodes[name]
        self._carry_out(node, node.core.admit(ask, ticket, self.now))
        return ticket

    def claim(self, name, key, service='reminder', body='body'):
        """Begin the claim of a call; returns its ticket."""
        ticket = next(self._tickets)
        ask = core_api.ClaimRequest(
            key, f'attempt-{ticket}', 'gecko-house', service, 10, body
        )
        node = self.nodes[name]
        unix_ms = self.clock.unix_ms()
        effects = node.core.claim(ask, ticket, self.now, unix_ms)
        self._carry_out(node, effects)
        return ticket

    def record(self, name, ticket, verdict=errors.Verdict.RAN):
        node = self.nodes[name]
        outcome = core_api.CallOutcome(verdict, 200, b'logged', 'text/plain')
        self._carry_out(node, node.core.record(ticket, outcome, self.now))

    def outcome(self, name, ticket):
        return self.nodes[name].outcomes.get(ticket)

    def release(self, name, grant, end=core_api.AttemptEnd.FINISHED, **fields):
        node = self.nodes[name]
        outcome = core_api.Outcome(end, **fields)
        self.running[grant.engine] -= 1
        self._carry_out(node, node.core.release(grant, outcome, self.now))

    def settings(self, delta_or_full):
        """Hand settings from the store to the routers that watch it."""
        for node in self.nodes.values():
            if node.core.settings.is_watching() and not self.store_down:
                sends = node.core.settings.apply_from_store(
                    delta_or_full, self.now
                )
                self._carry_out(node, admission_client.Effects(sends))

    def do(self, name, step):
        """Run a step of one core that returns effects."""
        node = self.nodes[name]
        self._carry_out(node, step(node.core, self.now))

    def cut(self, one, other, both=True):
        self.cuts.add((one, other))
        if both:
            self.cuts.add((other, one))

    def _list(self, name, kind, number, served=''):
        zone = 'abc'[number % 3]
        address = name if kind is hosts.Kind.ENTRY else f'http://{name}'
        self.listed[name] = hosts.Host(
            name, kind, address, zone, 'lk-west', served
        )

    def _carry_out(self, node, effects):
        for decided in effects.decided:
            node.outcomes[decided.ticket] = decided.outcome
            if decided.outcome.is_ok():
                grant = decided.outcome.ok_value.grant
                self.running[grant.engine] += 1
                self.sent_to.append((self.now, grant.engine))
        for claimed in effects.calls:
            for settled in claimed.claim_results:
                node.outcomes[settled.ticket] = settled.outcome
            for effect in claimed.store:
                self._push(0.002, node.name, self._stored(effect))
        for send in effects.sends:
            cut = (node.name, send.to) in self.cuts
            if send.to in self.nodes and not cut:
                if self.rng.random() >= self.loss:
                    delay = 0.0015 + self.rng.random() * 0.001
                    self._push(delay, send.to, (node.name, send.message))

    def _stored(self, effect):
        if self.store_down:
            return ledger_writer.Failed(effect.operation)
        return store_io.execute(self.store, effect)

    def _push(self, delay, to, thing):
        item = (self.now + delay, next(self._count), to, thing)
        heapq.heappush(self._events, item)

    def _deliver(self):
        while self._events and self._events[0][0] <= self.now:
            at, _, to, thing = heapq.heappop(self._events)
            node = self.nodes.get(to)
            if node is None:
                continue
            if node.paused:
                self._push(TICK_S, to, thing)
            elif isinstance(thing, tuple):
                sender, message = thing
                self._carry_out(
                    node, node.core.receive(sender, message, self.now)
                )
            else:
                self._carry_out(
                    node, node.core.handle_store_result(thing, self.now)
                )

    def _read_engines(self, node):
        if round(self.now / TICK_S) % 20:
            return
        for known in node.core.chats.ranked_engines():
            name = known.engine
            state = engine.State(
                name, 'basking', 'v1', running=self.running.get(name, 0)
            )
            events = engine.CacheEvents(())
            self._carry_out(
                node,
                node.core.record_engine_state(
                    name, state, events, self.now, self.now
                ),
            )
