"""Placement policies of the benchmark: the fleet's own and the baselines.

All of them run on the same trace of requests.
"""

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
    grants_in_use,
    placement,
    prefixes,
)

MODEL = ids.ModelId('model')
ONE_WAY_DELAY_S = 0.0015
ANSWER_TIMEOUT_S = 0.05
GOSSIP_FANOUT = 2
PUSH_MAX_MEMBERS = 12
MISROUTED_SHARE = 0.03


class Policy:
    """Places the requests of a trace."""

    def __init__(self, world: worlds.World, rng: random.Random) -> None:
        """Register for the events of a simulated world."""
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
        """Handle the end of a request."""

    def crashed(self, job: worlds.Job, engine: ids.EngineId) -> None:
        """Place a request again after its engine crashed."""
        self.world.after(0.05, self.arrive, job)

    def engines_changed(self) -> None:
        """Handle a change of the engines that are up or leaving."""


class AllKnowing(Policy):
    """Upper bound that knows every load and cache.

    It has the same cap and the same caches as the fleet.
    """

    def __init__(self, world: worlds.World, rng: random.Random) -> None:
        """Start with an empty queue."""
        super().__init__(world, rng)
        self._queue: collections.deque[worlds.Job] = collections.deque()

    def arrive(self, job: worlds.Job) -> None:
        """Place a request on the engine that caches most of its prompt.

        The request is queued while all engines are at the cap.
        """
        world = self.world
        load_cap = world.cap()
        free = [
            engine
            for engine in world.serving()
            if len(world.admitted[engine]) < load_cap
        ]
        if not free:
            self._queue.append(job)
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
        """Place the queued requests."""
        while self._queue:
            waiting = self._queue.popleft()
            if waiting.deadline < self.world.now:
                self.world.refuse(waiting)
                continue
            before = len(self._queue)
            self.arrive(waiting)
            if len(self._queue) > before:
                self._queue.rotate(1)
                return


class Baseline(Policy):
    """Baseline that picks an engine without admission, from stale reports."""

    def __init__(
        self,
        world: worlds.World,
        rng: random.Random,
        choose: typing.Callable[['Baseline', worlds.Job], ids.EngineId],
    ) -> None:
        """Start with empty reports."""
        super().__init__(world, rng)
        self._choose = choose
        self.live = sorted(world.engines)
        self.reported_loads: collections.Counter[ids.EngineId] = (
            collections.Counter()
        )
        self.last: dict[str, ids.EngineId] = {}

    def begin(self) -> None:
        """Start the reports of the engines."""
        self.world.call_every(1, self._send_engine_reports)

    def engines_changed(self) -> None:
        """Update the live engines after one second."""
        self.world.after(1, self._update_engines)

    def arrive(self, job: worlds.Job) -> None:
        """Send a request to the chosen engine, which may queue it."""
        world = self.world
        if world.now > job.deadline and job.started is None:
            world.refuse(job)
            return
        engine = self._choose(self, job)
        fake = world.engines[engine]
        if not fake.up:
            world.after(0.2, self.arrive, job)
        elif len(fake.running) >= world.size.max_running:
            fake.line.append(job)
        else:
            world.admit(job, engine)
            world.start(job, engine)
            self.last[job.chat] = engine

    def done(self, job: worlds.Job, engine: ids.EngineId) -> None:
        """Start the next request in the engine's queue."""
        fake = self.world.engines[engine]
        if fake.line:
            waiting = fake.line.popleft()
            self.world.admit(waiting, engine)
            self.world.start(waiting, engine)

    def _update_engines(self) -> None:
        self.live = sorted(self.world.serving())

    def _send_engine_reports(self) -> None:
        for name, fake in self.world.engines.items():
            if self.world.rng.random() >= self.world.lost:
                delay = self.world.rng.uniform(*self.world.lag_bounds_s)
                count = len(fake.running)
                self.world.after(
                    delay,
                    self.reported_loads.__setitem__,
                    name,
                    count,
                )


def choose_random(policy: Baseline, job: worlds.Job) -> ids.EngineId:
    """Pick a random engine."""
    return policy.rng.choice(policy.live)


def choose_less_loaded_of_two(
    policy: Baseline, job: worlds.Job
) -> ids.EngineId:
    """Pick the engine with the lower reported load of two random ones."""
    sampled = [policy.rng.choice(policy.live) for _ in range(2)]
    return min(sampled, key=policy.reported_loads.__getitem__)


def choose_rendezvous(policy: Baseline, job: worlds.Job) -> ids.EngineId:
    """Pick by rendezvous hashing of the chat."""
    return hashing.rank(job.chat, policy.live)[0]


def choose_by_reports(policy: Baseline, job: worlds.Job) -> ids.EngineId:
    """Keep the chat's engine while its reported load is below the cap.

    Otherwise pick the engine with the lowest reported load.
    """
    live = policy.live
    total = sum(policy.reported_loads[engine] for engine in live)
    load_cap = admission.cap(policy.world.load_multiple, total, len(live))
    last = policy.last.get(job.chat)
    if last in live and policy.reported_loads[last] < load_cap:
        return last
    return min(live, key=lambda engine: (policy.reported_loads[engine], engine))


class Node:
    """Simulated router with the production decision modules."""

    def __init__(
        self,
        name: ids.RouterId,
        cfg: 'FleetCfg',
        rng: random.Random,
    ) -> None:
        """Build the router's decision modules."""
        self.name = name
        self.prefixes = prefixes.CachePredictions(cfg.cache)
        self.shared_prefixes = prefixes.SharedPrefixIndex(cfg.cache)
        self.owner = admission.Owner(
            cfg.owner,
            name,
            MODEL,
            lambda ask: self.prefixes.tokens(ask.engine, ask.prefixes),
        )
        self.home = placement.Home(
            cfg.home,
            rng,
            lambda request: self.shared_prefixes.find(request.prefixes),
        )
        self.running = grants_in_use.GrantsInUse(1)
        self.searches: dict[int, tuple[engine_search.Search, worlds.Job]] = {}
        self.paused = False
        self.inbox: list[tuple[ids.RouterId, messages.Message]] = []
        self.ask_ids = itertools.count(1)
        self.member_states: dict[ids.RouterId, messages.MemberState] = {}


class FleetCfg(msgspec.Struct, frozen=True):
    """Settings of the simulated fleet."""

    owner: admission.Cfg = admission.Cfg()
    home: placement.Cfg = placement.Cfg()
    cache: prefixes.Cfg = prefixes.Cfg()


class Fleet(Policy):
    """Fleet's own policy: routers with homes and owners that exchange messages.

    :param loss: share of control messages that are lost.
    :param report_loss: share of load reports that are lost in addition.
    :param late: bounds in seconds of an additional delay of load reports.
    """

    def __init__(
        self,
        world: worlds.World,
        rng: random.Random,
        cfg: FleetCfg,
        loss: float = 0.01,
        report_loss: float = 0,
        late: tuple[float, float] = (0, 0),
    ) -> None:
        """Build the routers."""
        super().__init__(world, rng)
        self._cfg = cfg
        self.loss = loss
        self.report_loss = report_loss
        self.late = late
        self.blocked_links: set[tuple[ids.RouterId, ids.RouterId]] = set()
        self.nodes: dict[ids.RouterId, Node] = {}
        for number in range(world.size.routers):
            self._add_router(ids.RouterId(f'router-{number}'))
        for node in self.nodes.values():
            for other in self.nodes:
                node.member_states[other] = messages.MemberState.ALIVE
            self._update_members(node)
        self._grants: dict[int, tuple[Node, int, ids.EngineId]] = {}
        self._jobs_by_ask: dict[tuple[ids.RouterId, int], worlds.Job] = {}
        world.is_countable = self._is_announced
        world.on_event = self._apply_cache_event

    def begin(self) -> None:
        """Start the timers of all routers."""
        for node in self.nodes.values():
            self._start_timers(node)
        self.world.call_every(1, self._send_engine_reports)

    def join(self, name: ids.RouterId) -> None:
        """Add a router; the others see it as a member within two seconds."""
        node = self._add_router(name)
        for other in self.nodes:
            node.member_states[other] = messages.MemberState.ALIVE
        self._update_members(node)
        self._start_timers(node)
        self.schedule_state_change(name, messages.MemberState.ALIVE, (0.2, 2))

    def schedule_state_change(
        self,
        name: ids.RouterId,
        state: messages.MemberState,
        delays: tuple[float, float],
        observers: typing.Iterable[ids.RouterId] | None = None,
    ) -> None:
        """Schedule when other routers see a router's new state.

        Each observer sees it after its own random delay.
        """
        for other in observers or list(self.nodes):
            if other != name:
                delay = self.rng.uniform(*delays)
                self.world.after(delay, self._observe_state, other, name, state)

    def pause(self, name: ids.RouterId, seconds: float) -> None:
        """Pause a router's process.

        The others see it as dead after 5 to 9 seconds, and as alive again after
        it has resumed.
        """
        node = self.nodes[name]
        node.paused = True
        self.schedule_state_change(name, messages.MemberState.DEAD, (5, 9))
        self.world.after(seconds, self._resume, node)

    def partition(
        self,
        isolated: typing.Collection[ids.RouterId],
        seconds: float,
    ) -> None:
        """Separate some routers from the others by a network partition."""
        others = [name for name in self.nodes if name not in isolated]
        pairs = set(itertools.product(isolated, others))
        pairs.update(itertools.product(others, isolated))
        self.blocked_links |= pairs
        for subject, observer in sorted(pairs):
            self.schedule_state_change(
                subject, messages.MemberState.DEAD, (5, 9), (observer,)
            )
        self.world.after(seconds, self._heal_partition, pairs)

    def arrive(self, job: worlds.Job) -> None:
        """Send a request to its home, or with a low probability to any router.

        The home sends its hint for the chat to that router.
        """
        alive = [
            name
            for name, node in self.nodes.items()
            if not node.paused and node.owner.ranks.quorate
        ]
        home = hashing.rank(job.chat, alive)[0]
        if self.rng.random() < MISROUTED_SHARE:
            wrong_router = self.nodes[self.rng.choice(alive)]
            stored_hint = self.nodes[home].home.hint(ids.ChatId(job.chat))
            if (
                stored_hint
                and (wrong_router.name, home) not in self.blocked_links
            ):
                hint = messages.Hint(
                    0,
                    ids.ChatId(job.chat),
                    stored_hint.engine,
                    stored_hint.tokens,
                    stored_hint.turns,
                )
                wrong_router.home.handle(home, hint, self.world.now)
            self.world.after(
                2 * ONE_WAY_DELAY_S, self._start_search, wrong_router, job
            )
            return
        self._start_search(self.nodes[home], job)

    def done(self, job: worlds.Job, engine: ids.EngineId) -> None:
        """Release the grant of a request and record the chat's engine.

        The chat's home records it too when it is another router and reachable.
        """
        node, ask, _ = self._grants.pop(job.number, (None, 0, engine))
        if node is None:
            return
        tokens = len(job.after) * worlds.BLOCK_TOKENS
        chat = ids.ChatId(job.chat)
        node.home.record_turn(chat, engine, tokens, self.world.now)
        node.shared_prefixes.record_prompt(engine, job.after)
        home = hashing.rank(job.chat, self.nodes)[0]
        if home != node.name and (node.name, home) not in self.blocked_links:
            self.nodes[home].home.record_turn(
                chat, engine, tokens, self.world.now
            )
        sends = node.running.release(ask, finished=True, tokens=tokens)
        self._send(node, sends)

    def crashed(self, job: worlds.Job, engine: ids.EngineId) -> None:
        """Release a grant whose engine crashed, and search again."""
        node, ask, _ = self._grants.pop(job.number, (None, 0, engine))
        if node is not None:
            node.home.record_failure(engine, self.world.now)
            sends = node.running.release(ask, finished=False, crashed=True)
            self._send(node, sends)
        super().crashed(job, engine)

    def engines_changed(self) -> None:
        """Schedule the update of each router after its own random delay."""
        for node in self.nodes.values():
            self.world.after(
                self.rng.uniform(0.1, 1.5), self._update_engines, node
            )

    def _add_router(self, name: ids.RouterId) -> Node:
        node = Node(name, self._cfg, random.Random(self.rng.random()))
        self.nodes[name] = node
        node.owner.update_engines(self.world.engines, (), self.world.now)
        node.home.update_engines(list(self.world.engines))
        return node

    def _is_announced(self, engine: ids.EngineId) -> bool:
        return any(
            node.owner.engines.warm_share(engine, 1, self.world.now) > 0
            for node in self.nodes.values()
        )

    def _start_timers(self, node: Node) -> None:
        period = 0.25 * max(1, len(self.nodes) / 12)
        first = self.rng.uniform(0, 0.25)
        self.world.call_every(0.25, lambda: self._tick(node), first)
        self.world.call_every(period, lambda: self._gossip(node), first)

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
        self._update_members(node)

    def _gossip(self, node: Node) -> None:
        if node.paused:
            return
        peers = [name for name in node.member_states if name != node.name]
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
                self._count_admission(send.to, answer)
            delay = self._message_delay(node.name, send)
            if delay is None and isinstance(answer, messages.Answer):
                self._revert_admission(send.to, answer)
            if delay is not None:
                self.world.after(
                    delay, self._deliver, send.to, node.name, answer, now
                )

    def _revert_admission(
        self, home: ids.RouterId, answer: messages.Answer
    ) -> None:
        """Revert an admission whose answer is lost: its request never runs."""
        job = self._jobs_by_ask.get((home, answer.ask))
        if job and answer.state == messages.GrantState.GRANTED:
            if job.number not in self.world.engines[answer.engine].running:
                self.world.record_end(job, answer.engine)

    def _message_delay(
        self, sender: ids.RouterId, send: messages.Send
    ) -> float | None:
        """Return a message's delay in seconds, or None when it is lost."""
        if send.to == sender:
            return 0
        report = isinstance(send.message, messages.LoadReport)
        loss = self.loss
        late_s: float = 0
        if report:
            loss += self.report_loss
            late_s = self.rng.uniform(*self.late)
        if (
            sender,
            send.to,
        ) in self.blocked_links or self.rng.random() < loss:
            return None
        return late_s + ONE_WAY_DELAY_S * self.rng.uniform(0.3, 1.5)

    def _count_admission(
        self, home: ids.RouterId, answer: messages.Answer
    ) -> None:
        """Count an admission at the time of the owner's decision."""
        job = self._jobs_by_ask.get((home, answer.ask))
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
            # The kernel buffers messages until the process is resumed.
            node.inbox.append((sender, message))
            return
        if isinstance(message, messages.Answer):
            self._handle_answer(node, sender, message)
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
            self._push_load(node)

    def _push_load(self, node: Node) -> None:
        """Send the router's load to all members when requests have ended.

        Only small fleets do this.
        """
        has_unreported = node.owner.loads.has_unreported(
            node.owner.holds.finished
        )
        if has_unreported and len(self.nodes) <= PUSH_MAX_MEMBERS:
            full = node.owner.report(self.world.now)
            report = messages.LoadReport(full.loads[:1])
            priority = messages.Priority.LOAD
            self._send(
                node,
                [
                    messages.Send(peer, report, priority)
                    for peer in node.member_states
                    if peer != node.name
                ],
            )

    def _start_search(self, node: Node, job: worlds.Job) -> None:
        now = self.world.now
        if node.paused or not node.owner.ranks.quorate:
            # The caller retries at another address of its list.
            self.world.after(0.1, self.arrive, job)
            return
        request = placement.Request(
            ids.RequestId(str(job.number)),
            ids.OrgId(job.organisation),
            ids.ChatId(job.chat),
            1,
            now + worlds.FIRST_TOKEN_LIMIT_S if job.tries else job.deadline,
            len(job.blocks) * worlds.BLOCK_TOKENS,
            job.blocks,
        )
        search = engine_search.Search(
            self._cfg.home,
            request,
            node.home.candidates(request, now),
            node.ask_ids,
        )
        self._run_step(node, search, job, search.start(now))

    def _run_step(
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
                self._start_next_round,
                node,
                search,
                job,
            )
        elif step.ask is not None:
            ask = step.ask
            node.searches[ask.ask] = (search, job)
            self._jobs_by_ask[(node.name, ask.ask)] = job
            owner = node.owner.ranks.target(ask.engine, other=step.other)
            priority = messages.Priority.ADMISSION
            self._send(node, [messages.Send(owner, ask, priority)])
            self.world.after(
                ANSWER_TIMEOUT_S + ask.wait_ms / 1000,
                self._handle_timeout,
                node,
                ask,
                owner,
            )

    def _start_next_round(
        self,
        node: Node,
        search: engine_search.Search,
        job: worlds.Job,
    ) -> None:
        self._run_step(node, search, job, search.next_round(self.world.now))

    def _handle_timeout(
        self,
        node: Node,
        ask: messages.Ask,
        owner: ids.RouterId,
    ) -> None:
        found = node.searches.pop(ask.ask, None)
        if found is None:
            return
        search, job = found
        self.world.record_end(job, ask.engine)
        self._jobs_by_ask.pop((node.name, ask.ask), None)
        release = messages.Release(ask.ask, ask.engine, finished=False)
        priority = messages.Priority.ADMISSION
        self._send(node, [messages.Send(owner, release, priority)])
        self._run_step(
            node, search, job, search.fail_over(ask.engine, self.world.now)
        )

    def _handle_answer(
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
            self._jobs_by_ask.pop((node.name, answer.ask), None)
            self._run_step(node, search, job, step)
            return
        node.running.add(answer.ask, owner, answer.engine)
        node.home.record_reuse(ids.ChatId(job.chat), answer, now)
        self._grants[job.number] = (node, answer.ask, answer.engine)
        if not self.world.start(job, answer.engine):
            job.tries += 1
            self.crashed(job, answer.engine)

    def _apply_cache_event(
        self, engine: ids.EngineId, event: prefixes.CacheEvent
    ) -> None:
        for node in self.nodes.values():
            if node.owner.ranks.order(engine)[0] == node.name:
                node.prefixes.apply_event(engine, event, self.world.now)

    def _send_engine_reports(self) -> None:
        """Send the engines' request counts to their owners.

        These are the routers with the first and the second rank.
        """
        for name, fake in self.world.engines.items():
            if not fake.up or self.world.rng.random() < self.world.lost:
                continue
            count = len(fake.running)
            for node in self.nodes.values():
                if node.name in node.owner.ranks.order(name):
                    delay = self.world.rng.uniform(*self.world.lag_bounds_s)
                    measured_at = self.world.now
                    self.world.after(
                        delay,
                        self._record_engine_report,
                        node,
                        name,
                        count,
                        measured_at,
                    )

    def _record_engine_report(
        self,
        node: Node,
        engine: ids.EngineId,
        count: int,
        measured_at: float,
    ) -> None:
        if not node.paused:
            now = self.world.now
            node.owner.record_engine_report(engine, count, measured_at, now)

    def _update_engines(self, node: Node) -> None:
        engines = self.world.engines
        live = [name for name, fake in engines.items() if fake.up]
        leaving = [name for name, fake in engines.items() if fake.leaving]
        now = self.world.now
        self._send(node, node.owner.update_engines(live, leaving, now))
        node.home.update_engines(node.owner.engines.live)

    def _observe_state(
        self,
        observer: ids.RouterId,
        name: ids.RouterId,
        state: messages.MemberState,
    ) -> None:
        node = self.nodes[observer]
        unreachable = (name, observer) in self.blocked_links or self.nodes[
            name
        ].paused
        if (state == messages.MemberState.DEAD) == unreachable:
            node.member_states[name] = state
            self._update_members(node)

    def _update_members(self, node: Node) -> None:
        members = [
            messages.Member(
                name, '', '', ids.ZoneId(''), ids.RegionId(''), 0, state
            )
            for name, state in node.member_states.items()
        ]
        node.owner.update_members(members, None, self.world.now)

    def _resume(self, node: Node) -> None:
        node.paused = False
        waiting = node.inbox
        node.inbox = []
        for sender, message in waiting:
            self._deliver(node.name, sender, message, self.world.now)
        self.schedule_state_change(
            node.name, messages.MemberState.ALIVE, (0.5, 2)
        )

    def _heal_partition(
        self,
        pairs: set[tuple[ids.RouterId, ids.RouterId]],
    ) -> None:
        self.blocked_links -= pairs
        for subject, observer in sorted(pairs):
            self.schedule_state_change(
                subject, messages.MemberState.ALIVE, (0.5, 2), (observer,)
            )
