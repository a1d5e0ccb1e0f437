"""Continuous batching of the engine stand-in.

Each step computes up to ``prefill_chunk`` uncached prompt tokens and emits one
token for every running request whose prompt is complete. The duration of a
step grows with the batch size and the number of computed prompt tokens.
"""

import collections

import msgspec

from papayaloom.request import prompt
from papayaloom.standins import completion, prefix_cache

_MAX_RETAINED_RUNS = 1000


class Cfg(msgspec.Struct, frozen=True):
    """Speed of an engine.

    :param token_s: duration of a step with one request.
    :param token_per_request_s: time that each further request adds to a step.
    :param prefill_tokens_per_s: prompt tokens computed per second.
    :param prefill_chunk: maximum number of prompt tokens computed in a step.
    :param max_batch: maximum number of running requests.
    """

    token_s: float = 0.02
    token_per_request_s: float = 0.001
    prefill_tokens_per_s: float = 8000
    prefill_chunk: int = 512
    max_batch: int = 64


class Batch:
    """Running and queued requests of one engine.

    :param cfg: speed of the engine.
    :param cache: prefix cache of the engine.
    """

    def __init__(self, cfg: Cfg, cache: prefix_cache.PrefixCache) -> None:
        """Start without requests."""
        self.next_at: float | None = None
        self._cfg = cfg
        self._cache = cache
        self._runs: collections.OrderedDict[str, completion.Run]
        self._runs = collections.OrderedDict()
        self._waiting: list[completion.Run] = []
        self._running: list[completion.Run] = []

    @property
    def load(self) -> tuple[int, int]:
        """Return the numbers of running and of waiting requests."""
        return len(self._running), len(self._waiting)

    def find(self, request: str) -> completion.Run | None:
        """Return a queued, running or recently finished request."""
        return self._runs.get(request)

    def add(self, req: completion.Request, now: float) -> None:
        """Queue a request by priority; a known request is ignored."""
        if req.request in self._runs:
            return
        run = completion.Run(req)
        self._runs[req.request] = run
        self._waiting.append(run)
        self._waiting.sort(key=lambda queued: -queued.req.priority)
        if self.next_at is None:
            self._begin_step(now)

    def cancel(self, request: str) -> bool:
        """Stop a request; its computed tokens stay cached."""
        run = self._runs.pop(request, None)
        if run is None:
            return False
        if run in self._running:
            self._running.remove(run)
            self._cache_context(run)
        if run in self._waiting:
            self._waiting.remove(run)
        return True

    def step(self) -> None:
        """Complete the current step and start the next one."""
        at = self.next_at or 0
        self.next_at = None
        for run in tuple(self._running):
            if not run.prefill_remaining:
                run.emit(at)
            if run.finished:
                self._running.remove(run)
                self._cache_context(run)
        while (
            len(self._runs) > _MAX_RETAINED_RUNS and self._is_oldest_finished()
        ):
            self._runs.popitem(last=False)
        self._begin_step(at)

    def _begin_step(self, now: float) -> None:
        while self._waiting and len(self._running) < self._cfg.max_batch:
            self._start_run(self._waiting.pop(0))
        if not self._running:
            return
        budget = self._cfg.prefill_chunk
        for run in self._running:
            chunk = min(run.prefill_remaining, budget)
            run.prefill_remaining -= chunk
            budget -= chunk
        computed = self._cfg.prefill_chunk - budget
        self.next_at = now + (
            self._cfg.token_s
            + self._cfg.token_per_request_s * (len(self._running) - 1)
            + computed / self._cfg.prefill_tokens_per_s
        )

    def _start_run(self, run: completion.Run) -> None:
        context = run.context()
        hashes = prompt.prefix_hashes(context)
        cached_tokens = self._cache.match(hashes) * prompt.BLOCK_TOKENS
        run.cached_tokens = min(
            cached_tokens, prompt.estimate_tokens(run.prompt)
        )
        run.prefill_remaining = prompt.estimate_tokens(context) - cached_tokens
        self._cache.store(run.req.chat, hashes)
        self._running.append(run)

    def _is_oldest_finished(self) -> bool:
        return next(iter(self._runs.values())).finished

    def _cache_context(self, run: completion.Run) -> None:
        hashes = prompt.prefix_hashes(run.context())
        self._cache.store(run.req.chat, hashes)
