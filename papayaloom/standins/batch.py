"""Continuous batching of the engine stand-in.

In one step every running request gets one token, and up to ``prefill_chunk``
uncached prompt tokens are computed. The time of a step grows with the batch
and with the computed prompt tokens.
"""

import collections

import msgspec

from papayaloom.request import prompt
from papayaloom.standins import completion, prefix_cache

_KEPT_RUNS = 1000


class Cfg(msgspec.Struct, frozen=True):
    """Speed of an engine.

    :param token_s: time of a step with one request.
    :param token_per_request_s: time that each further request adds to a step.
    :param prefill_tokens_per_s: prompt tokens computed a second.
    :param prefill_chunk: prompt tokens computed in one step at the most.
    :param max_batch: requests that run at the same time.
    """

    token_s: float = 0.02
    token_per_request_s: float = 0.001
    prefill_tokens_per_s: float = 8000
    prefill_chunk: int = 512
    max_batch: int = 64


class Batch:
    """Requests of one engine.

    :param cfg: its speed.
    :param cache: its prefix cache.
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
        """Return a request that runs or has run lately."""
        return self._runs.get(request)

    def add(self, req: completion.Request, now: float) -> None:
        """Queue a request by its priority, unless it is known."""
        if req.request in self._runs:
            return
        run = completion.Run(req)
        self._runs[req.request] = run
        self._waiting.append(run)
        self._waiting.sort(key=lambda queued: -queued.req.priority)
        if self.next_at is None:
            self._begin_step(now)

    def cancel(self, request: str) -> bool:
        """Stop a request; what was computed stays cached."""
        run = self._runs.pop(request, None)
        if run is None:
            return False
        if run in self._running:
            self._running.remove(run)
            self._keep(run)
        if run in self._waiting:
            self._waiting.remove(run)
        return True

    def step(self) -> None:
        """End the current step and begin the next one."""
        at = self.next_at or 0
        self.next_at = None
        for run in tuple(self._running):
            if not run.prefill_left:
                run.emit(at)
            if run.finished:
                self._running.remove(run)
                self._keep(run)
        while len(self._runs) > _KEPT_RUNS and self._oldest_finished():
            self._runs.popitem(last=False)
        self._begin_step(at)

    def _begin_step(self, now: float) -> None:
        while self._waiting and len(self._running) < self._cfg.max_batch:
            self._start(self._waiting.pop(0))
        if not self._running:
            return
        left = self._cfg.prefill_chunk
        for run in self._running:
            part = min(run.prefill_left, left)
            run.prefill_left -= part
            left -= part
        computed = self._cfg.prefill_chunk - left
        self.next_at = now + (
            self._cfg.token_s
            + self._cfg.token_per_request_s * (len(self._running) - 1)
            + computed / self._cfg.prefill_tokens_per_s
        )

    def _start(self, run: completion.Run) -> None:
        context = run.context()
        hashes = prompt.prefix_hashes(context)
        known = self._cache.match(hashes) * prompt.BLOCK_TOKENS
        run.cached = min(known, prompt.estimate_tokens(run.prompt))
        run.prefill_left = prompt.estimate_tokens(context) - known
        self._cache.store(run.req.chat, hashes)
        self._running.append(run)

    def _oldest_finished(self) -> bool:
        return next(iter(self._runs.values())).finished

    def _keep(self, run: completion.Run) -> None:
        hashes = prompt.prefix_hashes(run.context())
        self._cache.store(run.req.chat, hashes)
