"""Virtual time, engine fakes and the trace of requests for placement figures.

Only delay and loss are modelled. An engine fake has a block cache with least
recently used eviction, takes a fixed time a token and reports late.
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
# A request is in time when it waits no longer than this for its first token.
SLACK_S = 6
SAMPLE_S = 0.1


class Size(msgspec.Struct, frozen=True):
    """Size of a simulated fleet.

    :param load: planned mean of running requests on each engine.
    :param most: most requests that an engine runs at once.
    :param blocks: blocks of an engine's cache.
    """

    engines: int
    routers: int
    organisations: int = 10
    zones: int = 3
    load: float = 17.6
    most: int = 26
    blocks: int = 1600
    warm_s: float = 100
    length_s: float = 400


class Job(msgspec.Struct, eq=False):
    """One turn of a chat.

    :param blocks: prefix blocks of its prompt.
    :param after: blocks that are cached once it has run.
    :param output_s: time of its generated tokens.
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
        """Return whether its organisation is not the one that surges."""
        return self.organisation != 'org-0'

    @property
    def deadline(self) -> float:
        """Return until when the first token is in time."""
        return self.arrival + SLACK_S


class Period(msgspec.Struct, frozen=True):
    """Time in which an organisation opens chats at one pace."""

    begin: float
    end: float
    pace: float
    surges: bool


def trace(
    size: Size,
    rng: random.Random,
    surge: tuple[float, float] | None,
) -> list[Job]:
    """Return the turns of all chats, by arrival.

    Three of the organisations are large. Chats come back after pauses of a
    minute, some of them after ten. In a surge the first organisation sends ten
    times its share.
    """
    mean_s = 26
    turns = 6
    rate = size.engines * size.load / mean_s / turns
    weights = [6 if org < 3 else 1 for org in range(size.organisations)]
    total = sum(weights)
    jobs: list[Job] = []
    for org, weight in enumerate(weights):
        pace = rate * weight / total
        # Chats that were opened earlier are in their later turns at time 0.
        usual = Period(-2400, size.length_s, pace, surges=False)
        _open(jobs, rng, org, usual, turns)
        if surge and org == 0:
            surging = Period(*surge, 9 * pace * turns, surges=True)
            _open(jobs, rng, org, surging, 1)
    jobs = [job for job in jobs if 0 <= job.arrival < size.length_s]
    jobs.sort(key=lambda job: job.arrival)
    for number, job in enumerate(jobs):
        job.number = number
    return jobs


def _open(
    jobs: list[Job],
    rng: random.Random,
    org: int,
    period: Period,
    turns: int,
) -> None:
    """Add the chats that an organisation opens in a period."""
    moment = period.begin + rng.expovariate(period.pace)
    while moment < period.end:
        count = 1 if period.surges else _turns(rng, turns)
        chat = f'chat-{org}-{len(jobs)}'
        _talk(jobs, rng, f'org-{org}', chat, moment, count, period.surges)
        moment += rng.expovariate(period.pace)


def _block(text: str, number: int) -> int:
    return xxhash.xxh3_64_intdigest(f'{text}:{number}'.encode())


def _turns(rng: random.Random, mean: int) -> int:
    return 1 + min(40, int(rng.expovariate(1 / (mean - 0.5))))


def _talk(
    jobs: list[Job],
    rng: random.Random,
    org: str,
    chat: str,
    moment: float,
    count: int,
    surges: bool,
) -> None:
    """Add the turns of one chat."""
    shared = tuple(_block(org, block) for block in range(SHARED_BLOCKS))
    length = 0
    for _ in range(count):
        tokens = max(20, rng.lognormvariate(math.log(320), 0.6))
        output_s = tokens * TOKEN_S
        length += rng.randint(1, 5)
        blocks = shared + tuple(_block(chat, block) for block in range(length))
        length += max(1, round(tokens / BLOCK_TOKENS))
        after = shared + tuple(_block(chat, block) for block in range(length))
        job = Job(0, org, chat, moment, blocks, after, output_s, surges)
        jobs.append(job)
        mean = 45 if rng.random() < 0.85 else 600
        moment += output_s + rng.expovariate(1 / mean)


class Engine:
    """Fake of an engine."""

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
        self.starts = 0

    def cached(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are cached."""
        found = 0
        for block in blocks:
            if block not in self.cache:
                break
            found += 1
        return found

    def store(self, blocks: tuple[int, ...]) -> prefixes.CacheEvent:
        """Use blocks and return the event of what was stored and removed."""
        stored = [block for block in blocks if block not in self.cache]
        for block in reversed(blocks):
            self.cache[block] = None
            self.cache.move_to_end(block)
        removed = []
        while len(self.cache) > self.capacity:
            removed.append(self.cache.popitem(last=False)[0])
        self.sequence += 1
        return prefixes.CacheEvent(self.sequence, tuple(stored), tuple(removed))


def _names(count: int) -> list[ids.EngineId]:
    return [ids.EngineId(f'engine-{number}') for number in range(count)]


class Stats:
    """What one run has seen after its warm-up."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.over: list[float] = [0]
        self.over_always: list[float] = [0]
        self.skews: list[float] = []
        self.prompt: collections.Counter[str] = collections.Counter()
        self.reused: collections.Counter[str] = collections.Counter()
        self.arrived = 0
        self.quiet = 0
        self.quiet_in_time = 0
        self.late = 0
        self.first_token_s: list[float] = [0]
        self.answered = 0
        self.refused = 0
        self.falsely = 0


class World:
    """Virtual time, engines, and the true counts.

    :param lag: bounds in seconds of the lag of engine reports and events.
    :param lost: share of engine reports and events that are lost.
    """

    def __init__(
        self,
        size: Size,
        rng: random.Random,
        multiple: float,
        lag: tuple[float, float] = (0.05, 0.5),
        lost: float = 0.02,
    ) -> None:
        """Start with all engines up."""
        self.size = size
        self.rng = rng
        self.multiple = multiple
        self.lag = lag
        self.lost = lost
        self.now: float = 0
        self.stats = Stats()
        self.engines = {
            name: Engine(name, size.blocks) for name in _names(size.engines)
        }
        self.admitted: dict[ids.EngineId, set[int]] = {
            name: set() for name in self.engines
        }
        self.countable: typing.Callable[[ids.EngineId], bool] = lambda engine: (
            True
        )
        self.on_done: typing.Callable[[Job, ids.EngineId], None] | None = None
        self.on_crash: typing.Callable[[Job, ids.EngineId], None] | None = None
        self.on_event: (
            typing.Callable[[ids.EngineId, prefixes.CacheEvent], None] | None
        ) = None
        self._heap: list[tuple[float, int, typing.Any, typing.Any]] = []
        self._order = 0

    def after(self, delay: float, call: typing.Any, *args: typing.Any) -> None:
        """Call a function after a delay in seconds."""
        self._order += 1
        heapq.heappush(
            self._heap,
            (self.now + delay, self._order, call, args),
        )

    def every(
        self,
        period: float,
        call: typing.Callable[[], None],
        first: float = 0,
    ) -> None:
        """Call a function periodically."""

        def again() -> None:
            call()
            self.after(period, again)

        self.after(first, again)

    def run(self) -> None:
        """Run until the end of the measured time."""
        self.every(SAMPLE_S, self._sample)
        while self._heap:
            moment, _, call, args = heapq.heappop(self._heap)
            if moment > self.size.length_s:
                return
            self.now = moment
            call(*args)

    @property
    def measured(self) -> bool:
        """Whether the warm-up is over."""
        return self.now >= self.size.warm_s

    def serving(self) -> list[ids.EngineId]:
        """Return the engines that count: up, not leaving, and announced."""
        return [
            name
            for name, engine in self.engines.items()
            if engine.up and not engine.leaving and self.countable(name)
        ]

    def total(self) -> tuple[int, int]:
        """Return the true number of running requests and of engines."""
        serving = self.serving()
        return sum(len(self.admitted[one]) for one in serving), len(serving)

    def cap(self) -> int:
        """Return the cap by the true counts, before an admission."""
        total, live = self.total()
        ceiling = admission.cap(self.multiple, total, live)
        return min(ceiling, self.size.most)

    def admit(self, job: Job, engine: ids.EngineId) -> None:
        """Count an admission, and compare it with the true cap."""
        total, live = self.total()
        ceiling = admission.cap(self.multiple, total, live)
        self.admitted[engine].add(job.number)
        if self.measured:
            load = len(self.admitted[engine])
            self.stats.over.append(load / ceiling)

    def give_back(self, job: Job, engine: ids.EngineId) -> None:
        """Count the end of an admitted request."""
        self.admitted[engine].discard(job.number)

    def start(self, job: Job, engine: ids.EngineId) -> bool:
        """Run an admitted request, when its engine is up."""
        fake = self.engines[engine]
        if not fake.up:
            self.give_back(job, engine)
            return False
        job.cached = min(fake.cached(job.blocks), len(job.blocks))
        if self.measured and not job.tries:
            group = 'quiet' if job.quiet else 'surging'
            self.stats.prompt[group] += len(job.blocks)
            self.stats.reused[group] += job.cached
        self._tell(engine, fake.store(job.blocks))
        missing = (len(job.blocks) - job.cached) * BLOCK_TOKENS
        prefill_s = missing / PREFILL_TOKENS_PER_S
        if job.started is None:
            job.started = self.now + prefill_s
            self._first_token(job)
        fake.starts += 1
        fake.running[job.number] = (job, fake.starts)
        self.after(
            prefill_s + job.output_s,
            self._finish,
            job,
            engine,
            fake.starts,
        )
        return True

    def crash(self, engine: ids.EngineId) -> None:
        """Break an engine: its requests and its cache are lost."""
        fake = self.engines[engine]
        fake.up = False
        fake.cache.clear()
        lost = [job for job, _ in fake.running.values()]
        fake.running.clear()
        lost.extend(fake.line)
        fake.line.clear()
        for job in lost:
            job.tries += 1
            self.give_back(job, engine)
            if self.on_crash:
                self.on_crash(job, engine)

    def refuse(self, job: Job) -> None:
        """Count a refusal; it is false when an engine has room.

        The tenth of the places that is kept for others is no room.
        """
        if job.arrival < self.size.warm_s:
            return
        self.stats.refused += 1
        ceiling = min(self.cap(), int(self.size.most * 0.9))
        if any(len(self.admitted[one]) < ceiling for one in self.serving()):
            self.stats.falsely += 1

    def _finish(self, job: Job, engine: ids.EngineId, start: int) -> None:
        fake = self.engines[engine]
        if fake.running.get(job.number, (job, 0))[1] != start:
            return
        fake.running.pop(job.number)
        self._tell(engine, fake.store(job.after))
        self.give_back(job, engine)
        if self.on_done:
            self.on_done(job, engine)

    def _first_token(self, job: Job) -> None:
        if job.arrival >= self.size.warm_s and job.started is not None:
            self.stats.answered += 1
            self.stats.first_token_s.append(job.started - job.arrival)
            in_time = job.started <= job.deadline
            self.stats.quiet_in_time += in_time and job.quiet
            self.stats.late += not in_time

    def _tell(self, engine: ids.EngineId, event: prefixes.CacheEvent) -> None:
        if self.on_event and self.rng.random() >= self.lost:
            delay = self.rng.uniform(*self.lag)
            self.after(delay, self.on_event, engine, event)

    def _sample(self) -> None:
        if not self.measured:
            return
        loads = [len(self.admitted[one]) for one in self.serving()]
        total = sum(loads)
        if not total:
            return
        ceiling = admission.cap(self.multiple, total - 1, len(loads))
        self.stats.over_always.append(max(loads) / ceiling)
        self.stats.skews.append(max(loads) * len(loads) / total)
