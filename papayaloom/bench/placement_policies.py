"""The fleet's own placement and the baselines, on the same trace."""

import collections
import itertools
import random
import typing

import msgspec

from papayaloom import hashing, ids, messages
from papayaloom.bench import placement_world as worlds
from papayaloom.process import (
    admission,
    engine_search,
    placement,
    prefixes,
    grants_in_use,
)

MODEL = ids.ModelId('model')
ONE_WAY_S = 0.0015
ANSWER_TIMEOUT_S = 0.05
GOSSIP_FANOUT = 2
PUSH_MEMBERS = 12
MISROUTED = 0.03


class Policy:
    """Places the requests of a trace."""

    def __init__(self, world: worlds.World, rng: random.Random) -> None:
        """Take part in a world."""
        self.world = world
        self.rng = rng
        world.on_done = self.done
        world.on_crash = self.crashed

    def begin(self) -> None:
        """Start periodic work."""

    def arrive(self, job: worlds.Job) -> None:
        """Place a request."""
        raise NotImplementedError

    def done(self, job: worlds.Job, engine: ids.EngineId) -> None:
        """Note the end of a request."""

    def crashed(self, job: worlds.Job, engine: ids.EngineId) -> None:
        """Place a request again whose engine broke."""
        self.world.after(0.05, self.arrive, job)

    def engines_changed(self) -> None:
        """Note that an engine came, went or is leaving."""


class Knowing(Policy):
    """Knows every load and cache; same cap and same caches as the fleet."""

    def __init__(self, world: worlds.World, rng: random.Random) -> None:
        """Start with an empty line."""
        super().__init__(world, rng)
        self._line: collections.deque[worlds.Job] = collections.deque()

    def arrive(self, job: worlds.Job) -> None:
        """Place a request on the engine with the most of its prompt."""
        world = self.world
        ceiling = world.cap()
        free = [
            engine
            for engine in world.serving()
            if len(world.admitted[engine]) < ceiling
        ]
        if not free:
            self._line.append(job)
            return
        best = max(
            free,
            key=lambda engine: (
                world.engines[engine].cached(job.blocks),
                -len(world.admitted[engine]),
            ),
        )
        world.admit(job, best)
        world.start(job, best)

    def done(self, job: worlds.Job, engine: ids.EngineId) -> None:
        """Place those that wait."""
        while self._line:
            waiting = self._line.popleft()
            if waiting.deadline < self.world.now:
                self.world.refuse(waiting)
                continue
            before = len(self._line)
            self.arrive(waiting)
            if len(self._line) > before:
                self._line.rotate(1)
                return


class Alone(Policy):
    """A baseline: picks an engine without admission, from old reports."""

    def __init__(
        self,
        world: worlds.World,
        rng: random.Random,
        choose: typing.Callable[['Alone', worlds.Job], ids.EngineId],
    ) -> None:
        """Start with empty reports."""
        super().__init__(world, rng)
        self._choose = choose
        self.live = sorted(world.engines)
        self.reported: collections.Counter[ids.EngineId] = collections.Counter()
        self.last: dict[str, ids.EngineId] = {}

    def begin(self) -> None:
        """Start the reports of the engines."""
        self.world.every(1, self._report)

    def engines_changed(self) -> None:
        """Learn of it after a second."""
        self.world.after(1, self._learn)

    def arrive(self, job: worlds.Job) -> None:
        """Send a request to the chosen engine, which may let it wait."""
        world = self.world
        if world.now > job.deadline and job.started is None:
            world.refuse(job)
            return
        engine = self._choose(self, job)
        fake = world.engines[engine]
        if not fake.up:
            world.after(0.2, self.arrive, job)
        elif len(fake.running) >= world.size.most:
            fake.line.append(job)
        else:
            world.admit(job, engine)
            world.start(job, engine)
            self.last[job.chat] = engine

    def done(self, job: worlds.Job, engine: ids.EngineId) -> None:
        """Start the next in the engine's line."""
        fake = self.world.engines[engine]
        if fake.line:
            waiting = fake.line.popleft()
            self.world.admit(waiting, engine)
            self.world.start(waiting, engine)

    def _learn(self) -> None:
        self.live = sorted(self.world.serving())

    def _report(self) -> None:
        for name, fake in self.world.engines.items():
            if self.world.rng.random() >= self.world.lost:
                delay = self.world.rng.uniform(*self.world.lag)
                count = len(fake.running)
                self.world.after(
                    delay,
                    self.reported.__setitem__,
                    name,
                    count,
                )


def choose_random(policy: Alone, job: worlds.Job) -> ids.EngineId:
    """Pick any engine."""
    return policy.rng.choice(policy.live)


def choose_two(policy: Alone, job: worlds.Job) -> ids.EngineId:
    """Pick the less loaded of two engines by the reports."""
    pair = [policy.rng.choice(policy.live) for _ in range(2)]
    return min(pair, key=policy.reported.__getitem__)


def choose_rendezvous(policy: Alone, job: worlds.Job) -> ids.EngineId:
    """Pick by the chat alone."""
    return hashing.rank(job.chat, policy.live)[0]


def choose_reported(policy: Alone, job: worlds.Job) -> ids.EngineId:
    """Keep the chat's engine while the reports show room, or the emptiest."""
    live = policy.live
    total = sum(policy.reported[one] for one in live)
    ceiling = admission.cap(policy.world.multiple, total, len(live))
    last = policy.last.get(job.chat)
    if last in live and policy.reported[last] < ceiling:
        return last
    return min(live, key=lambda one: (policy.reported[one], one))


class Node:
    """One router with the real decision modules."""

    def __init__(
        self,
        name: ids.RouterId,
        cfg: 'FleetCfg',
        rng: random.Random,
    ) -> None:
        """Build the router's parts."""
        self.name = name
        self.prefixes = prefixes.CachePredictions(cfg.cache)
        self.holders = prefixes.SharedPrefixIndex(cfg.cache)
        self.owner = admission.Owner(
            cfg.owner,
            name,
            MODEL,
            lambda ask: self.prefixes.tokens(ask.engine, ask.prefixes),
        )
        self.home = placement.Home(
            cfg.home,
            rng,
            lambda request: self.holders.find(request.prefixes),
        )
        self.running = grants_in_use.GrantsInUse(1)
        self.searches: dict[int, tuple[engine_search.Search, worlds.Job]] = {}
        self.paused = False
        self.inbox: list[tuple[ids.RouterId, messages.Message]] = []
        self.numbers = itertools.count(1)
        self.states: dict[ids.RouterId, messages.MemberState] = {}


class FleetCfg(msgspec.Struct, frozen=True):
    """Settings of the simulated fleet."""

    owner: admission.Cfg = admission.Cfg()
    home: placement.Cfg = placement.Cfg()
    cache: prefixes.Cfg = prefixes.Cfg()


class Fleet(Policy):
    """Routers with homes, owners and the messages between them.

    :param loss: share of control messages that are lost.
    :param missing: share of load reports that are lost besides.
    :param late: bounds in seconds of an extra delay of load reports.
    """

    def __init__(
        self,
        world: worlds.World,
        rng: random.Random,
        cfg: FleetCfg,
        loss: float = 0.01,
        missing: float = 0,
        late: tuple[float, float] = (0, 0),
    ) -> None:
        """Build the routers."""
        super().__init__(world, rng)
        self._cfg = cfg
        self.loss = loss
        self.missing = missing
        self.late = late
        self.cuts: set[tuple[ids.RouterId, ids.RouterId]] = set()
        self.nodes: dict[ids.RouterId, Node] = {}
        for number in range(world.size.routers):
            self._add(ids.RouterId(f'router-{number}'))
        for node in self.nodes.values():
            for other in self.nodes:
                node.states[other] = messages.MemberState.ALIVE
            self._renew(node)
        self._used: dict[int, tuple[Node, int, ids.EngineId]] = {}
        self._tries: dict[tuple[ids.RouterId, int], worlds.Job] = {}
        world.countable = self._announced
        world.on_event = self._event

    def begin(self) -> None:
        """Start the timers of all routers."""
        for node in self.nodes.values():
            self._start(node)
        self.world.every(1, self._report)

    def join(self, name: ids.RouterId) -> None:
        """Let a new router join; the others learn of it within two seconds."""
        node = self._add(name)
        for other in self.nodes:
            node.states[other] = messages.MemberState.ALIVE
        self._renew(node)
        self._start(node)
        self.see(name, messages.MemberState.ALIVE, (0.2, 2))

    def see(
        self,
        name: ids.RouterId,
        state: messages.MemberState,
        delays: tuple[float, float],
        observers: typing.Iterable[ids.RouterId] | None = None,
    ) -> None:
        """Let routers see another's state, each after its own delay."""
        for other in observers or list(self.nodes):
            if other != name:
                delay = self.rng.uniform(*delays)
                self.world.after(delay, self._seen, other, name, state)

    def pause(self, name: ids.RouterId, seconds: float) -> None:
        """Stop a router's process for a while; others suspect it, then not."""
        node = self.nodes[name]
        node.paused = True
        self.see(name, messages.MemberState.DEAD, (5, 9))
        self.world.after(seconds, self._resume, node)

    def cut(
        self,
        side: typing.Collection[ids.RouterId],
        seconds: float,
    ) -> None:
        """Part some routers from the others for a while."""
        others = [name for name in self.nodes if name not in side]
        pairs = set(itertools.product(side, others))
        pairs.update(itertools.product(others, side))
        self.cuts |= pairs
        for one, other in sorted(pairs):
            self.see(one, messages.MemberState.DEAD, (5, 9), (other,))
        self.world.after(seconds, self._heal, pairs)

    def arrive(self, job: worlds.Job) -> None:
        """Give a request to its home, or now and then to another router."""
        alive = [
            name
            for name, node in self.nodes.items()
            if not node.paused and node.owner.ranks.quorate
        ]
        home = hashing.rank(job.chat, alive)[0]
        if self.rng.random() < MISROUTED:
            strange = self.nodes[self.rng.choice(alive)]
            kept = self.nodes[home].home.hint(ids.ChatId(job.chat))
            if kept and (strange.name, home) not in self.cuts:
                hint = messages.Hint(
                    0,
                    ids.ChatId(job.chat),
                    kept.engine,
                    kept.tokens,
                    kept.turns,
                )
                strange.home.handle(home, hint, self.world.now)
            self.world.after(2 * ONE_WAY_S, self._search, strange, job)
            return
        self._search(self.nodes[home], job)

    def done(self, job: worlds.Job, engine: ids.EngineId) -> None:
        """Release a grant at its home and remember the chat's engine."""
        node, ask, _ = self._used.pop(job.number, (None, 0, engine))
        if node is None:
            return
        tokens = len(job.after) * worlds.BLOCK_TOKENS
        chat = ids.ChatId(job.chat)
        node.home.record_turn(chat, engine, tokens, self.world.now)
        node.holders.record_prompt(engine, job.after)
        home = hashing.rank(job.chat, self.nodes)[0]
        if home != node.name and (node.name, home) not in self.cuts:
            self.nodes[home].home.record_turn(
                chat, engine, tokens, self.world.now
            )
        sends = node.running.release(ask, finished=True, tokens=tokens)
        self._send(node, sends)

    def crashed(self, job: worlds.Job, engine: ids.EngineId) -> None:
        """Release a grant whose engine broke, and search again."""
        node, ask, _ = self._used.pop(job.number, (None, 0, engine))
        if node is not None:
            node.home.record_failure(engine, self.world.now)
            sends = node.running.release(ask, finished=False, crashed=True)
            self._send(node, sends)
        super().crashed(job, engine)

    def engines_changed(self) -> None:
        """Let the routers learn of it, each after its own delay."""
        for node in self.nodes.values():
            self.world.after(self.rng.uniform(0.1, 1.5), self._learn, node)

    def _add(self, name: ids.RouterId) -> Node:
        node = Node(name, self._cfg, random.Random(self.rng.random()))
        self.nodes[name] = node
        node.owner.update_engines(self.world.engines, (), self.world.now)
        node.home.update_engines(list(self.world.engines))
        return node

    def _announced(self, engine: ids.EngineId) -> bool:
        return any(
            node.owner.engines.warm_share(engine, 1, self.world.now) > 0
            for node in self.nodes.values()
        )

    def _start(self, node: Node) -> None:
        period = 0.25 * max(1, len(self.nodes) / 12)
        first = self.rng.uniform(0, 0.25)
        self.world.every(0.25, lambda: self._tick(node), first)
        self.world.every(period, lambda: self._gossip(node), first)

    def _tick(self, node: Node) -> None:
        if node.paused:
            return
        self._send(node, node.owner.tick(self.world.now))
        ranks = node.owner.ranks
        sends = node.running.tick(
            ranks.order,
            self.world.now,
        )
        self._send(node, sends)
        self._renew(node)

    def _gossip(self, node: Node) -> None:
        if node.paused:
            return
        peers = [name for name in node.states if name != node.name]
        report = node.owner.report(self.world.now)
        node.home.handle(node.name, report, self.world.now)
        chosen = self.rng.sample(peers, min(GOSSIP_FANOUT, len(peers)))
        self._send(
            node,
            [
                messages.Send(peer, report, messages.Priority.LOAD)
                for peer in chosen
            ],
        )

    def _send(self, node: Node, sends: list[messages.Send]) -> None:
        now = self.world.now
        for send in sends:
            answer = send.message
            if isinstance(answer, messages.Answer):
                self._count(send.to, answer)
            delay = self._delay(node.name, send)
            if delay is None and isinstance(answer, messages.Answer):
                self._uncount(send.to, answer)
            if delay is not None:
                self.world.after(
                    delay, self._deliver, send.to, node.name, answer, now
                )

    def _uncount(self, home: ids.RouterId, answer: messages.Answer) -> None:
        """Take back an admission whose answer is lost: it never runs."""
        job = self._tries.get((home, answer.ask))
        if job and answer.state == messages.GrantState.GRANTED:
            if job.number not in self.world.engines[answer.engine].running:
                self.world.give_back(job, answer.engine)

    def _delay(self, sender: ids.RouterId, send: messages.Send) -> float | None:
        """Return a message's time on the way, or nothing when it is lost."""
        if send.to == sender:
            return 0
        report = isinstance(send.message, messages.LoadReport)
        loss = self.loss
        late_s: float = 0
        if report:
            loss += self.missing
            late_s = self.rng.uniform(*self.late)
        if (sender, send.to) in self.cuts or self.rng.random() < loss:
            return None
        return late_s + ONE_WAY_S * self.rng.uniform(0.3, 1.5)

    def _count(self, home: ids.RouterId, answer: messages.Answer) -> None:
        """Compare an admission with the true cap at the owner's decision."""
        job = self._tries.get((home, answer.ask))
        if job and answer.state == messages.GrantState.GRANTED:
            if job.number not in self.world.admitted[answer.engine]:
                self.world.admit(job, answer.engine)

    def _deliver(
        self,
        to: ids.RouterId,
        sender: ids.RouterId,
        message: messages.Message,
        sent: float,
    ) -> None:
        node = self.nodes[to]
        if node.paused:
            # The kernel keeps what arrives; the process reads it afterwards.
            node.inbox.append((sender, message))
            return
        if isinstance(message, messages.Answer):
            self._answered(node, sender, message)
            return
        if isinstance(message, messages.Ask):
            sends = node.owner.handle(sender, message, self.world.now)
            if sends[0].message.state == messages.GrantState.GRANTED:  # type: ignore[attr-defined]
                node.prefixes.record_use(
                    message.engine, message.prefixes, self.world.now
                )
            self._send(node, sends)
            return
        self._send(node, node.owner.handle(sender, message, self.world.now))
        if isinstance(message, messages.LoadReport):
            node.home.handle(sender, message, self.world.now)
        if isinstance(message, messages.Release):
            self._push(node)

    def _push(self, node: Node) -> None:
        """Tell all members of a small fleet that requests have ended."""
        untold = node.owner.loads.has_unreported(node.owner.holds.finished)
        if untold and len(self.nodes) <= PUSH_MEMBERS:
            full = node.owner.report(self.world.now)
            report = messages.LoadReport(full.loads[:1])
            priority = messages.Priority.LOAD
            self._send(
                node,
                [
                    messages.Send(peer, report, priority)
                    for peer in node.states
                    if peer != node.name
                ],
            )

    def _search(self, node: Node, job: worlds.Job) -> None:
        now = self.world.now
        if node.paused or not node.owner.ranks.quorate:
            # The caller goes to another address of its list.
            self.world.after(0.1, self.arrive, job)
            return
        request = placement.Request(
            ids.RequestId(str(job.number)),
            ids.OrgId(job.organisation),
            ids.ChatId(job.chat),
            1,
            now + worlds.SLACK_S if job.tries else job.deadline,
            len(job.blocks) * worlds.BLOCK_TOKENS,
            job.blocks,
        )
        search = engine_search.Search(
            self._cfg.home,
            request,
            node.home.candidates(request, now),
            node.numbers,
        )
        self._step(node, search, job, search.start(now))

    def _step(
        self,
        node: Node,
        search: engine_search.Search,
        job: worlds.Job,
        step: engine_search.Step,
    ) -> None:
        if step.action == engine_search.Action.REFUSE:
            self.world.refuse(job)
        elif step.action == engine_search.Action.RETRY_LATER:
            self.world.after(
                step.retry_after_s,
                self._again,
                node,
                search,
                job,
            )
        elif step.ask is not None:
            ask = step.ask
            node.searches[ask.ask] = (search, job)
            self._tries[(node.name, ask.ask)] = job
            owner = node.owner.ranks.target(ask.engine, other=step.other)
            priority = messages.Priority.ADMISSION
            self._send(node, [messages.Send(owner, ask, priority)])
            self.world.after(
                ANSWER_TIMEOUT_S + ask.wait_ms / 1000,
                self._timeout,
                node,
                ask,
                owner,
            )

    def _again(
        self,
        node: Node,
        search: engine_search.Search,
        job: worlds.Job,
    ) -> None:
        self._step(node, search, job, search.next_round(self.world.now))

    def _timeout(
        self,
        node: Node,
        ask: messages.Ask,
        owner: ids.RouterId,
    ) -> None:
        found = node.searches.pop(ask.ask, None)
        if found is None:
            return
        search, job = found
        self.world.give_back(job, ask.engine)
        self._tries.pop((node.name, ask.ask), None)
        release = messages.Release(ask.ask, ask.engine, finished=False)
        priority = messages.Priority.ADMISSION
        self._send(node, [messages.Send(owner, release, priority)])
        self._step(
            node, search, job, search.fail_over(ask.engine, self.world.now)
        )

    def _answered(
        self,
        node: Node,
        owner: ids.RouterId,
        answer: messages.Answer,
    ) -> None:
        now = self.world.now
        node.home.engine_loads.record_answer(answer, now)
        found = node.searches.get(answer.ask)
        if found is None:
            if answer.state == messages.GrantState.GRANTED:
                if not node.running.is_in_use(answer.ask):
                    release = messages.Release(
                        answer.ask, answer.engine, finished=False
                    )
                    priority = messages.Priority.ADMISSION
                    self._send(node, [messages.Send(owner, release, priority)])
            return
        search, job = found
        step = search.answer(answer, now)
        if step.action == engine_search.Action.WAIT:
            return
        node.searches.pop(answer.ask)
        if step.action != engine_search.Action.RUN:
            self._tries.pop((node.name, answer.ask), None)
            self._step(node, search, job, step)
            return
        node.running.add(answer.ask, owner, answer.engine)
        node.home.record_reuse(ids.ChatId(job.chat), answer, now)
        self._used[job.number] = (node, answer.ask, answer.engine)
        if not self.world.start(job, answer.engine):
            job.tries += 1
            self.crashed(job, answer.engine)

    def _event(self, engine: ids.EngineId, event: prefixes.CacheEvent) -> None:
        for node in self.nodes.values():
            if node.owner.ranks.order(engine)[0] == node.name:
                node.prefixes.apply_event(engine, event, self.world.now)

    def _report(self) -> None:
        """Let the first and the second in rank read the engines' counts."""
        for name, fake in self.world.engines.items():
            if not fake.up or self.world.rng.random() < self.world.lost:
                continue
            count = len(fake.running)
            for node in self.nodes.values():
                if node.name in node.owner.ranks.order(name):
                    delay = self.world.rng.uniform(*self.world.lag)
                    taken = self.world.now
                    self.world.after(
                        delay, self._read, node, name, count, taken
                    )

    def _read(
        self,
        node: Node,
        engine: ids.EngineId,
        count: int,
        taken: float,
    ) -> None:
        if not node.paused:
            now = self.world.now
            node.owner.record_engine_report(engine, count, taken, now)

    def _learn(self, node: Node) -> None:
        engines = self.world.engines
        live = [name for name, fake in engines.items() if fake.up]
        leaving = [name for name, fake in engines.items() if fake.leaving]
        now = self.world.now
        self._send(node, node.owner.update_engines(live, leaving, now))
        node.home.update_engines(node.owner.engines.live)

    def _seen(
        self,
        observer: ids.RouterId,
        name: ids.RouterId,
        state: messages.MemberState,
    ) -> None:
        node = self.nodes[observer]
        cut = (name, observer) in self.cuts or self.nodes[name].paused
        if (state == messages.MemberState.DEAD) == cut:
            node.states[name] = state
            self._renew(node)

    def _renew(self, node: Node) -> None:
        members = [
            messages.Member(
                name, '', '', ids.ZoneId(''), ids.RegionId(''), 0, state
            )
            for name, state in node.states.items()
        ]
        node.owner.update_members(members, None, self.world.now)

    def _resume(self, node: Node) -> None:
        node.paused = False
        waiting = node.inbox
        node.inbox = []
        for sender, message in waiting:
            self._deliver(node.name, sender, message, self.world.now)
        self.see(node.name, messages.MemberState.ALIVE, (0.5, 2))

    def _heal(
        self,
        pairs: set[tuple[ids.RouterId, ids.RouterId]],
    ) -> None:
        self.cuts -= pairs
        for one, other in sorted(pairs):
            self.see(one, messages.MemberState.ALIVE, (0.5, 2), (other,))
