"""Discrete-event simulation of engines and requests for placement benchmarks.

Of the network only delay and loss are modelled. A fake engine has a block cache
with least recently used eviction, takes a fixed time for each token and reports
late.
"""

import collections
import heapq
import math
import random
import typing

import msgspec
import xxhash

from papayaloom import ids
from papayaloom.process import admission, prefixes

TOKEN_S = 0.069
PREFILL_TOKENS_PER_S = 8000
BLOCK_TOKENS = 128
SHARED_BLOCKS = 8
# A request is in time when its first token comes within this limit.
FIRST_TOKEN_LIMIT_S = 6
SAMPLE_INTERVAL_S = 0.1


class FleetSize(msgspec.Struct, frozen=True):
    """Size of a simulated fleet.

    :param load: planned mean number of running requests on each engine.
    :param max_running: highest number of requests that an engine runs at once.
    :param blocks: capacity of an engine's cache in blocks.
    :param warm_up_s: time at the start that is not measured.
    :param duration_s: time of the whole run.
    """

    engines: int
    routers: int
    organisations: int = 10
    zones: int = 3
    load: float = 17.6
    max_running: int = 26
    blocks: int = 1600
    warm_up_s: float = 100
    duration_s: float = 400


class Job(msgspec.Struct, eq=False):
    """One turn of a chat.

    :param blocks: prefix blocks of the prompt.
    :param after: blocks that are cached once the turn has run.
    :param output_s: time to generate the output tokens.
    """

    number: int
    organisation: str
    chat: str
    arrival: float
    blocks: tuple[int, ...]
    after: tuple[int, ...]
    output_s: float
    surge: bool = False
    started: float | None = None
    cached: int = 0
    tries: int = 0

    @property
    def quiet(self) -> bool:
        """Return whether the organisation is not the one with the surge."""
        return self.organisation != 'org-0'

    @property
    def deadline(self) -> float:
        """Return the latest time at which the first token is in time."""
        return self.arrival + FIRST_TOKEN_LIMIT_S


class Period(msgspec.Struct, frozen=True):
    """Period in which an organisation opens chats at a constant rate."""

    begin: float
    end: float
    chats_per_s: float
    is_surge: bool


def trace(
    size: FleetSize,
    rng: random.Random,
    surge: tuple[float, float] | None,
) -> list[Job]:
    """Return the turns of all chats in order of arrival.

    Three of the organisations are large. The pause after a turn of a chat is
    exponentially distributed, with a mean of 45 seconds for 85 % of the turns
    and of ten minutes for the others. In a surge the first organisation sends
    ten times its share.
    """
    mean_s = 26
    turns = 6
    rate = size.engines * size.load / mean_s / turns
    weights = [6 if org < 3 else 1 for org in range(size.organisations)]
    total = sum(weights)
    jobs: list[Job] = []
    for org, weight in enumerate(weights):
        chats_per_s = rate * weight / total
        # Chats opened before time 0 are in their later turns at time 0.
        baseline = Period(-2400, size.duration_s, chats_per_s, is_surge=False)
        _add_chats(jobs, rng, org, baseline, turns)
        if surge and org == 0:
            surging = Period(*surge, 9 * chats_per_s * turns, is_surge=True)
            _add_chats(jobs, rng, org, surging, 1)
    jobs = [job for job in jobs if 0 <= job.arrival < size.duration_s]
    jobs.sort(key=lambda job: job.arrival)
    for number, job in enumerate(jobs):
        job.number = number
    return jobs


def _add_chats(
    jobs: list[Job],
    rng: random.Random,
    org: int,
    period: Period,
    turns: int,
) -> None:
    """Add the chats that an organisation opens in a period."""
    timestamp = period.begin + rng.expovariate(period.chats_per_s)
    while timestamp < period.end:
        count = 1 if period.is_surge else _random_turn_count(rng, turns)
        chat = f'chat-{org}-{len(jobs)}'
        _add_turns(
            jobs, rng, f'org-{org}', chat, timestamp, count, period.is_surge
        )
        timestamp += rng.expovariate(period.chats_per_s)


def _block_hash(text: str, number: int) -> int:
    return xxhash.xxh3_64_intdigest(f'{text}:{number}'.encode())


def _random_turn_count(rng: random.Random, mean: int) -> int:
    return 1 + min(40, int(rng.expovariate(1 / (mean - 0.5))))


def _add_turns(
    jobs: list[Job],
    rng: random.Random,
    org: str,
    chat: str,
    timestamp: float,
    count: int,
    is_surge: bool,
) -> None:
    """Add the turns of one chat."""
    shared = tuple(_block_hash(org, block) for block in range(SHARED_BLOCKS))
    length = 0
    for _ in range(count):
        tokens = max(20, rng.lognormvariate(math.log(320), 0.6))
        output_s = tokens * TOKEN_S
        length += rng.randint(1, 5)
        blocks = shared + tuple(
            _block_hash(chat, block) for block in range(length)
        )
        length += max(1, round(tokens / BLOCK_TOKENS))
        after = shared + tuple(
            _block_hash(chat, block) for block in range(length)
        )
        job = Job(0, org, chat, timestamp, blocks, after, output_s, is_surge)
        jobs.append(job)
        mean = 45 if rng.random() < 0.85 else 600
        timestamp += output_s + rng.expovariate(1 / mean)


class FakeEngine:
    """Fake engine with a prefix cache and a queue of requests."""

    def __init__(self, name: ids.EngineId, blocks: int) -> None:
        """Start with an empty cache."""
        self.name = name
        self.up = True
        self.leaving = False
        self.capacity = blocks
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.running: dict[int, tuple[Job, int]] = {}
        self.line: collections.deque[Job] = collections.deque()
        self.sequence = 0
        self.start_count = 0

    def cached(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are cached."""
        found = 0
        for block in blocks:
            if block not in self.cache:
                break
            found += 1
        return found

    def store(self, blocks: tuple[int, ...]) -> prefixes.CacheEvent:
        """Use blocks and return the event of stored and removed blocks."""
        stored = [block for block in blocks if block not in self.cache]
        for block in reversed(blocks):
            self.cache[block] = None
            self.cache.move_to_end(block)
        removed = []
        while len(self.cache) > self.capacity:
            removed.append(self.cache.popitem(last=False)[0])
        self.sequence += 1
        return prefixes.CacheEvent(self.sequence, tuple(stored), tuple(removed))


def _engine_names(count: int) -> list[ids.EngineId]:
    return [ids.EngineId(f'engine-{number}') for number in range(count)]


class Stats:
    """Statistics of one run after its warm-up."""

    def __init__(self) -> None:
        """Start with empty statistics."""
        self.load_over_cap: list[float] = [0]
        self.sampled_load_over_cap: list[float] = [0]
        self.skews: list[float] = []
        self.prompt: collections.Counter[str] = collections.Counter()
        self.reused_blocks: collections.Counter[str] = collections.Counter()
        self.arrived = 0
        self.quiet = 0
        self.quiet_in_time = 0
        self.late = 0
        self.first_token_s: list[float] = [0]
        self.answered = 0
        self.refused = 0
        self.falsely_refused = 0


class World:
    """Virtual clock, engines, and the true counts of admitted requests.

    :param lag_bounds_s: bounds of the lag of engine reports and events.
    :param lost: share of engine reports and events that are lost.
    """

    def __init__(
        self,
        size: FleetSize,
        rng: random.Random,
        load_multiple: float,
        lag_bounds_s: tuple[float, float] = (0.05, 0.5),
        lost: float = 0.02,
    ) -> None:
        """Start with all engines up."""
        self.size = size
        self.rng = rng
        self.load_multiple = load_multiple
        self.lag_bounds_s = lag_bounds_s
        self.lost = lost
        self.now: float = 0
        self.stats = Stats()
        self.engines = {
            name: FakeEngine(name, size.blocks)
            for name in _engine_names(size.engines)
        }
        self.admitted: dict[ids.EngineId, set[int]] = {
            name: set() for name in self.engines
        }
        self.is_countable: typing.Callable[[ids.EngineId], bool] = (
            lambda engine: True
        )
        self.on_done: typing.Callable[[Job, ids.EngineId], None] | None = None
        self.on_crash: typing.Callable[[Job, ids.EngineId], None] | None = None
        self.on_event: (
            typing.Callable[[ids.EngineId, prefixes.CacheEvent], None] | None
        ) = None
        self._heap: list[tuple[float, int, typing.Any, typing.Any]] = []
        self._sequence = 0

    def after(self, delay: float, call: typing.Any, *args: typing.Any) -> None:
        """Schedule a call after a delay in seconds."""
        self._sequence += 1
        heapq.heappush(
            self._heap,
            (self.now + delay, self._sequence, call, args),
        )

    def call_every(
        self,
        period: float,
        call: typing.Callable[[], None],
        first: float = 0,
    ) -> None:
        """Call a function periodically.

        :param first: delay in seconds of the first call.
        """

        def call_and_reschedule() -> None:
            call()
            self.after(period, call_and_reschedule)

        self.after(first, call_and_reschedule)

    def run(self) -> None:
        """Run until the end of the measured time."""
        self.call_every(SAMPLE_INTERVAL_S, self._sample_loads)
        while self._heap:
            timestamp, _, call, args = heapq.heappop(self._heap)
            if timestamp > self.size.duration_s:
                return
            self.now = timestamp
            call(*args)

    @property
    def is_measured(self) -> bool:
        """Return whether the warm-up is over."""
        return self.now >= self.size.warm_up_s

    def serving(self) -> list[ids.EngineId]:
        """Return the engines that are up, not leaving, and announced."""
        return [
            name
            for name, engine in self.engines.items()
            if engine.up and not engine.leaving and self.is_countable(name)
        ]

    def total(self) -> tuple[int, int]:
        """Return the true counts of running requests and of serving engines."""
        serving = self.serving()
        return sum(len(self.admitted[name]) for name in serving), len(serving)

    def cap(self) -> int:
        """Return the cap that the true counts give for the next admission."""
        total, live = self.total()
        load_cap = admission.cap(self.load_multiple, total, live)
        return min(load_cap, self.size.max_running)

    def admit(self, job: Job, engine: ids.EngineId) -> None:
        """Count an admission and record its load relative to the true cap."""
        total, live = self.total()
        load_cap = admission.cap(self.load_multiple, total, live)
        self.admitted[engine].add(job.number)
        if self.is_measured:
            load = len(self.admitted[engine])
            self.stats.load_over_cap.append(load / load_cap)

    def record_end(self, job: Job, engine: ids.EngineId) -> None:
        """Count the end of an admitted request."""
        self.admitted[engine].discard(job.number)

    def start(self, job: Job, engine: ids.EngineId) -> bool:
        """Run an admitted request if its engine is up."""
        fake = self.engines[engine]
        if not fake.up:
            self.record_end(job, engine)
            return False
        job.cached = min(fake.cached(job.blocks), len(job.blocks))
        if self.is_measured and not job.tries:
            group = 'quiet' if job.quiet else 'surging'
            self.stats.prompt[group] += len(job.blocks)
            self.stats.reused_blocks[group] += job.cached
        self._send_cache_event(engine, fake.store(job.blocks))
        uncached_tokens = (len(job.blocks) - job.cached) * BLOCK_TOKENS
        prefill_s = uncached_tokens / PREFILL_TOKENS_PER_S
        if job.started is None:
            job.started = self.now + prefill_s
            self._record_first_token(job)
        fake.start_count += 1
        fake.running[job.number] = (job, fake.start_count)
        self.after(
            prefill_s + job.output_s,
            self._finish,
            job,
            engine,
            fake.start_count,
        )
        return True

    def crash(self, engine: ids.EngineId) -> None:
        """Crash an engine, which loses its requests and its cache."""
        fake = self.engines[engine]
        fake.up = False
        fake.cache.clear()
        lost = [job for job, _ in fake.running.values()]
        fake.running.clear()
        lost.extend(fake.line)
        fake.line.clear()
        for job in lost:
            job.tries += 1
            self.record_end(job, engine)
            if self.on_crash:
                self.on_crash(job, engine)

    def refuse(self, job: Job) -> None:
        """Count a refusal, which is false when an engine has room.

        A tenth of an engine's slots is reserved for organisations below their
        fair share and does not count as room.
        """
        if job.arrival < self.size.warm_up_s:
            return
        self.stats.refused += 1
        load_cap = min(self.cap(), int(self.size.max_running * 0.9))
        if any(len(self.admitted[name]) < load_cap for name in self.serving()):
            self.stats.falsely_refused += 1

    def _finish(self, job: Job, engine: ids.EngineId, start: int) -> None:
        fake = self.engines[engine]
        if fake.running.get(job.number, (job, 0))[1] != start:
            return
        fake.running.pop(job.number)
        self._send_cache_event(engine, fake.store(job.after))
        self.record_end(job, engine)
        if self.on_done:
            self.on_done(job, engine)

    def _record_first_token(self, job: Job) -> None:
        if job.arrival >= self.size.warm_up_s and job.started is not None:
            self.stats.answered += 1
            self.stats.first_token_s.append(job.started - job.arrival)
            in_time = job.started <= job.deadline
            self.stats.quiet_in_time += in_time and job.quiet
            self.stats.late += not in_time

    def _send_cache_event(
        self, engine: ids.EngineId, event: prefixes.CacheEvent
    ) -> None:
        if self.on_event and self.rng.random() >= self.lost:
            delay = self.rng.uniform(*self.lag_bounds_s)
            self.after(delay, self.on_event, engine, event)

    def _sample_loads(self) -> None:
        if not self.is_measured:
            return
        loads = [len(self.admitted[name]) for name in self.serving()]
        total = sum(loads)
        if not total:
            return
        load_cap = admission.cap(self.load_multiple, total - 1, len(loads))
        self.stats.sampled_load_over_cap.append(max(loads) / load_cap)
        self.stats.skews.append(max(loads) * len(loads) / total)
