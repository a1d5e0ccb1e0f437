"""State machine of routers that admit to the same engines.

The oracle is a set of running requests per engine, kept by the machine. Time
is virtual. Messages are lost, late or doubled, routers are cut off, paused and
join, engines flap. The load multiple is the largest one, so that the cap is the
constant CAP and not a matter of estimates.
"""

import random

from hypothesis import stateful, strategies

from features.machines import deterministic
from papayaloom import ids, messages
from papayaloom.process import admission, grants_in_use, promises, quotas

CAP = 4
TICK_S = 0.25
LAG_S = 0.4
# Longer than a promise, so that both sides of a cut are awake and apart.
DETECTION_S = 12
# Silence of an engine that the holds and their lapse must bridge.
MUTE_S = 15
# A home takes a grant for lost after this time and gives it back.
PATIENCE_S = 0.4
ENGINES = (ids.EngineId('engine'),)
ROUTERS = tuple(ids.RouterId(f'router-{number}') for number in range(4))
DISTURBANCES = ('lost', 'late', 'doubled')


class Node:
    """A router as owner and as home."""

    def __init__(self, name, now):
        cfg = admission.Cfg(load_multiple=10, most_running=CAP, reserve=0)
        self.name = name
        self.owner = admission.Owner(cfg, name, ids.ModelId('model'))
        self.owner.update_engines(ENGINES, (), now)
        self.running = grants_in_use.GrantsInUse(1)
        self.asked = {}
        self.paused = False
        self.inbox = []
        self.states = {}


class Admission(stateful.RuleBasedStateMachine):
    """Routers, engines and the true running requests."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.steps = 0
        self.rng = random.Random(1)
        self.nodes = {}
        self.later = []
        self.cut = set()
        self.apart = {}
        self.true = {engine: {} for engine in ENGINES}
        self.up = set(ENGINES)
        self.disturbed = []
        self.mute_until = 0.0
        self.asks = 0
        for name in ROUTERS[:3]:
            self.add(name)
        self.run(8)

    def add(self, name):
        self.nodes[name] = Node(name, self.now)
        for node in self.nodes.values():
            for other in self.nodes:
                node.states.setdefault(other, messages.MemberState.ALIVE)

    # --- time and messages ---

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            self.steps += 1
            self.watch()
            due = [item for item in self.later if item[0] <= self.now]
            self.later = [item for item in self.later if item[0] > self.now]
            for _, call in due:
                call()
            for node in list(self.nodes.values()):
                if not node.paused:
                    self.tick(node)
            if self.steps % 4 == 0 and self.now >= self.mute_until:
                self.read_engines()

    def tick(self, node):
        self.send(node, node.owner.tick(self.now))
        order = node.owner.ranks.order
        self.send(node, node.running.tick(order, self.now))
        for ask, (at, owner, engine) in list(node.asked.items()):
            if self.now - at > PATIENCE_S:
                node.asked.pop(ask)
                self.give_back(node, owner, ask, engine)

    def watch(self):
        """Let routers see each other dead after a while, and alive at once."""
        for observer in self.nodes.values():
            if observer.paused:
                continue
            for other in self.nodes.values():
                pair = (observer.name, other.name)
                if self.reach(*pair) and not other.paused:
                    self.apart.pop(pair, None)
                    observer.states[other.name] = messages.MemberState.ALIVE
                elif (
                    self.now - self.apart.setdefault(pair, self.now)
                    >= DETECTION_S
                ):
                    observer.states[other.name] = messages.MemberState.DEAD
            place = (ids.ZoneId(''), ids.RegionId(''), 0)
            members = [
                messages.Member(name, '', '', *place, state)
                for name, state in observer.states.items()
            ]
            observer.owner.update_members(members, None, self.now)

    def reach(self, one, other):
        return (one in self.cut) == (other in self.cut)

    def send(self, node, sends):
        for send in sends:
            if send.to == node.name:
                self.deliver(node.name, node.name, send.message)
                continue
            if not self.reach(node.name, send.to):
                continue
            mode = self.disturbed.pop() if self.disturbed else ''
            if mode == 'lost':
                continue
            if mode == 'late':
                self.postpone(2.0, send.to, node.name, send.message)
                continue
            for _ in range(2 if mode == 'doubled' else 1):
                self.deliver(send.to, node.name, send.message)

    def postpone(self, delay, to, sender, message):
        call = lambda: self.deliver(to, sender, message)  # noqa: E731
        self.later.append((self.now + delay, call))

    def deliver(self, to, sender, message):
        node = self.nodes[to]
        if node.paused:
            node.inbox.append((sender, message))
        elif isinstance(message, messages.Answer):
            self.answered(node, sender, message)
        else:
            self.send(node, node.owner.handle(sender, message, self.now))

    def read_engines(self):
        for engine in self.up:
            count = len(self.true[engine])
            for node in self.nodes.values():
                if node.name in node.owner.ranks.order(engine):
                    self.read(node, engine, count, self.now)

    def read(self, node, engine, count, taken):
        def call():
            if not node.paused:
                node.owner.record_engine_report(engine, count, taken, self.now)

        self.later.append((self.now + LAG_S, call))

    # --- homes ---

    def ask(self, home, engine, other):
        node = self.nodes[home]
        if node.paused:
            return
        self.asks += 1
        owner = node.owner.ranks.target(engine, other=other)
        ask = messages.Ask(
            self.asks,
            ids.RequestId(str(self.asks)),
            engine,
            ids.OrgId('org'),
            ids.ChatId('chat'),
            1,
            0,
            10000,
            100,
        )
        node.asked[self.asks] = (self.now, owner, engine)
        priority = messages.Priority.ADMISSION
        self.send(node, [messages.Send(owner, ask, priority)])

    def answered(self, node, owner, answer):
        asked = node.asked.pop(answer.ask, None)
        if answer.state != messages.GrantState.GRANTED:
            return
        if asked is None or self.now - asked[0] > PATIENCE_S:
            if not node.running.is_in_use(answer.ask):
                self.give_back(node, owner, answer.ask, answer.engine)
            return
        if answer.engine in self.up:
            node.running.add(answer.ask, owner, answer.engine)
            self.true[answer.engine][answer.ask] = node
            assert len(self.true[answer.engine]) <= CAP, (
                f'{answer.engine} runs {len(self.true[answer.engine])} '
                f'requests, the cap is {CAP}'
            )

    def give_back(self, node, owner, ask, engine):
        release = messages.Release(ask, engine, finished=False)
        priority = messages.Priority.ADMISSION
        self.send(node, [messages.Send(owner, release, priority)])

    # --- rules ---

    @stateful.rule(
        engine=strategies.sampled_from(ENGINES),
        count=strategies.integers(1, CAP),
        begin=strategies.integers(0, 3),
    )
    def everyone_asks(self, engine, count, begin):
        names = list(self.nodes)
        for name in names[begin:] + names[:begin]:
            for other in (False, True):
                for _ in range(count):
                    self.ask(name, engine, other)

    @stateful.rule(
        engine=strategies.sampled_from(ENGINES),
        count=strategies.integers(1, CAP),
    )
    def finish(self, engine, count):
        for ask in list(self.true[engine])[:count]:
            node = self.true[engine].pop(ask)
            if not node.paused:
                sends = node.running.release(ask, finished=True)
                self.send(node, sends)

    @stateful.rule(seconds=strategies.sampled_from((0.25, 1, 4, 9, 16, 50)))
    def wait(self, seconds):
        self.run(seconds)

    @stateful.rule(
        side=strategies.sampled_from(ROUTERS[:3]),
        mute=strategies.booleans(),
        seconds=strategies.sampled_from((1, 4, 9, 16)),
    )
    def part(self, side, mute, seconds):
        """Cut a router off, with an engine that may fall silent, and wait."""
        self.cut = {side}
        if mute:
            self.mute_until = self.now + MUTE_S
        self.run(seconds)

    @stateful.rule()
    def heal(self):
        self.cut = set()

    @stateful.rule(
        name=strategies.sampled_from(ROUTERS[:3]),
        seconds=strategies.sampled_from((2, 5.5, 7, 45)),
    )
    def pause(self, name, seconds):
        node = self.nodes[name]
        if node.paused:
            return
        node.paused = True
        self.later.append((self.now + seconds, lambda: self.resume(node)))

    def resume(self, node):
        node.paused = False
        waiting, node.inbox = node.inbox, []
        for sender, message in waiting:
            self.deliver(node.name, sender, message)

    @stateful.rule()
    def join(self):
        if ROUTERS[3] not in self.nodes:
            self.add(ROUTERS[3])

    @stateful.rule(
        modes=strategies.lists(
            strategies.sampled_from(DISTURBANCES), min_size=1, max_size=6
        )
    )
    def disturb(self, modes):
        self.disturbed = list(modes)

    @stateful.rule(engine=strategies.sampled_from(ENGINES))
    def flap(self, engine):
        """Break an engine; it is back at once, with nothing running."""
        for ask, node in self.true[engine].items():
            if not node.paused:
                sends = node.running.release(ask, finished=False, crashed=True)
                self.send(node, sends)
        self.true[engine].clear()


def whole_cap_for_second(patch):
    """A second in rank that admits the whole cap once its promise expired."""

    def headroom(self, engine, cap, now):
        return (
            quotas.Quota(cap) if self._is_still_expected(engine, now) else None
        )

    patch(quotas.Quotas, '_headroom', headroom)


def promise_never_expires(patch):
    """A first that ignores the end of a promise."""
    original = promises.Promises.record

    def take(self, sender, promise):
        endless = messages.Promise(promise.nonce, 1e9, promise.counts)
        original(self, sender, endless)

    patch(promises.Promises, 'record', take)


def joined_does_not_wait(patch):
    """A router that has just joined admits without promise or hand-over."""
    original = quotas.Quotas.quota

    def right(self, engine, cap, now):
        if self._ranks.order(engine)[0] == self._router:
            if self._promises.newest(engine) is None:
                return quotas.Quota(cap)
        return original(self, engine, cap, now)

    patch(quotas.Quotas, 'quota', right)


def expired_holds_are_forgotten(patch):
    """An owner that counts nothing for a home that it cannot hear."""
    patch(admission.holds.Holds, 'extra', lambda self, engine: 0)


FAULTS = {
    'the second admits the whole cap': whole_cap_for_second,
    'a promise never expires': promise_never_expires,
    'a joined router does not wait': joined_does_not_wait,
    'expired holds are forgotten': expired_holds_are_forgotten,
}


def run(examples, steps):
    """Run the machine; raises when the cap is exceeded.

    The first failure is enough, so it is not shrunk.
    """
    deterministic.run_fixed(Admission, examples, steps)
