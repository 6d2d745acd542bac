"""In-process simulations of model engines and plain services, in virtual time.

An engine batches continuously, has a prefix cache of limited size, honours priorities in its own
queue, and imports cached blocks from other engines.  Its reports of load and cache arrive late, and
some cache events are lost.  Times are set by `EngineSettings`; nothing else is modelled.
"""

import asyncio
import heapq
import itertools
import random
from collections.abc import Callable

from bench.fake_cache import SHARED, PrefixCache
from bench.workload import EngineSettings
from waxwingglade.base import Clock, ProgramId, TargetId
from waxwingglade.decisions import BlockHash, CacheEvents, LoadReport


class Request:
    """One model call at an engine.

    Parameters
    ----------
    program : ProgramId
        Program that makes the call.
    blocks, answer_blocks : tuple of BlockHash
        Complete blocks of the prompt, and those that the answer adds.
    shared : int
        Number of `blocks` that are common to the class of the program.
    prompt, output : int
        Tokens of the prompt and of the answer.
    """

    def __init__(
        self,
        program: ProgramId,
        *,
        blocks: tuple[BlockHash, ...],
        answer_blocks: tuple[BlockHash, ...],
        shared: int,
        prompt: int,
        output: int,
    ) -> None:
        self.program = program
        self.blocks = blocks
        self.answer_blocks = answer_blocks
        self.shared = shared
        self.prompt = prompt
        self.output = output
        self.pinned: list[BlockHash] = []
        self.to_prefill = 0
        self.cached = 0
        self.generated = 0
        self.first = asyncio.get_running_loop().create_future()
        self.done = asyncio.get_running_loop().create_future()

    def fail(self, error: Exception) -> None:
        """Fail the call with `error` in any state."""
        for future in (self.first, self.done):
            if not future.done():
                future.set_exception(error)
                future.exception()


class TargetLost(Exception):
    """The target has crashed; `was_started` tells whether the call was already in its batch."""

    def __init__(self, was_started: bool) -> None:
        super().__init__("target lost")
        self.was_started = was_started


class FakeEngine:
    """A simulated model server with queue, batch, prefix cache and reports."""

    def __init__(self, target: TargetId, settings: EngineSettings, clock: Clock) -> None:
        self.target = target
        self.settings = settings
        self.cache = PrefixCache(settings.cache_tokens // settings.block_tokens, clock)
        self.slowdown = 1.0
        self.alive = True
        self.waiting: list[tuple[int, int, Request]] = []
        self.sequence = itertools.count()
        self.batch: list[Request] = []
        self.work_available = asyncio.Event()
        self.prefilled = 0
        self.on_admit: Callable[[FakeEngine, Request], None] = lambda engine, request: None

    def submit(self, request: Request, priority: int) -> None:
        """Add a call to the engine's own queue."""
        if not self.alive:
            raise TargetLost(was_started=False)
        heapq.heappush(self.waiting, (priority, next(self.sequence), request))
        self.work_available.set()

    def cancel(self, request: Request) -> None:
        """Remove a waiting or running call."""
        self.waiting = [item for item in self.waiting if item[2] is not request]
        heapq.heapify(self.waiting)
        if request in self.batch:
            self.batch.remove(request)
            self.cache.unpin(request.pinned)

    def store(self, request: Request, blocks: tuple[BlockHash, ...]) -> None:
        """Store blocks of a call in the cache."""
        common = min(request.shared, len(blocks)) if blocks[:1] == request.blocks[:1] else 0
        self.cache.use(SHARED, blocks[:common])
        self.cache.use(request.program, blocks[common:])

    def crash(self) -> None:
        """Stop, fail every call and clear the cache."""
        self.alive = False
        for _, _, request in self.waiting:
            request.fail(TargetLost(was_started=False))
        for request in self.batch:
            request.fail(TargetLost(was_started=True))
        self.waiting, self.batch = [], []
        self.cache.clear()

    def restart(self) -> None:
        """Start again after a crash, as a new process."""
        self.cache.sequence = 0
        self.alive = True
        self.work_available.set()

    def load(self) -> tuple[int, int, float]:
        """Return the running calls, the waiting calls and the share of the cache in use."""
        return len(self.batch), len(self.waiting), len(self.cache.users) / self.cache.capacity

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            if not self.alive or not (self.batch or self.waiting):
                self.work_available.clear()
                await self.work_available.wait()
                continue
            self._admit()
            await self._step()

    def _admit(self) -> None:
        while self.waiting and len(self.batch) < self.settings.slots:
            request = self.waiting[0][2]
            needed_blocks = len(request.blocks) + len(request.answer_blocks) + 1
            if self.batch and len(self.cache.pins) + needed_blocks > self.cache.capacity:
                return
            heapq.heappop(self.waiting)
            self.on_admit(self, request)
            cached_blocks = request.blocks[: self.cache.cached_prefix(request.blocks)]
            request.cached = len(cached_blocks) * self.settings.block_tokens
            request.to_prefill = max(1, request.prompt - request.cached)
            self.prefilled += request.to_prefill
            self.store(request, cached_blocks)
            self._pin(request, cached_blocks)
            self.batch.append(request)

    async def _step(self) -> None:
        """Prefill one chunk, or generate a few tokens, for the whole batch."""
        decoding = [request for request in self.batch if not request.to_prefill]
        prefilled = self._prefill()
        tokens = 1
        if not prefilled:
            remaining_tokens = min(request.output - request.generated for request in decoding)
            tokens = max(1, min(self.settings.burst_tokens, remaining_tokens))
        duration = tokens * (self.settings.step_s + len(decoding) * self.settings.step_per_call_s)
        duration += prefilled / self.settings.prefill_tokens_per_s
        await asyncio.sleep(duration * self.slowdown)
        for request in decoding:
            if request in self.batch:
                self._generate(request, tokens)

    def _prefill(self) -> int:
        """Read up to one chunk from the prompts of the batch; return the number of tokens read."""
        prefilled = 0
        for request in self.batch:
            chunk = min(request.to_prefill, self.settings.chunk_tokens - prefilled)
            request.to_prefill -= chunk
            prefilled += chunk
            if chunk and not request.to_prefill:
                new_blocks = request.blocks[len(request.pinned) :]
                self.store(request, request.blocks)
                self._pin(request, new_blocks)
                self.cache.shrink()
        return prefilled

    def _generate(self, request: Request, tokens: int) -> None:
        request.generated += tokens
        if not request.first.done():
            request.first.set_result(None)
        if request.generated < request.output:
            return
        self.batch.remove(request)
        self.cache.use(request.program, request.answer_blocks)
        self.cache.unpin(request.pinned)
        self.cache.shrink()
        request.done.set_result(None)

    def _pin(self, request: Request, blocks: tuple[BlockHash, ...]) -> None:
        request.pinned.extend(blocks)
        self.cache.pin(blocks)


class FakeService:
    """A plain service: `slots` concurrent calls, others wait in order of arrival."""

    def __init__(self, target: TargetId, slots: int) -> None:
        self.target = target
        self.slots = asyncio.Semaphore(slots)
        self.calls = 0
        self.running = 0

    async def serve(self, seconds: float) -> None:
        """Serve one call that takes `seconds` once it has a slot."""
        self.calls += 1
        try:
            async with self.slots:
                self.running += 1
                try:
                    await asyncio.sleep(seconds)
                finally:
                    self.running -= 1
        finally:
            self.calls -= 1

    def load(self) -> tuple[int, int, float]:
        """Return the running calls, the waiting calls and 0 for the cache."""
        return self.running, self.calls - self.running, 0.0


async def publish_load(
    target: FakeEngine | FakeService,
    settings: EngineSettings,
    rng: random.Random,
    listeners: list[Callable[[TargetId, LoadReport], None]],
) -> None:
    """Report the load to each listener with a delay, until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(settings.report_period_s)
        if isinstance(target, FakeEngine) and not target.alive:
            continue
        running, waiting, cache_share = target.load()
        for listener in listeners:
            delay = rng.uniform(*settings.report_lag_s)
            report = LoadReport(running, waiting, cache_share, delay)
            loop.call_later(delay, listener, target.target, report)


async def publish_cache(
    engine: FakeEngine,
    settings: EngineSettings,
    rng: random.Random,
    listeners: list[Callable[[TargetId, CacheEvents], None]],
) -> None:
    """Publish numbered batches of cache events with delays and losses, until cancelled."""
    loop = asyncio.get_running_loop()
    arrival_at = 0.0
    while True:
        await asyncio.sleep(settings.event_period_s)
        batch = engine.cache.next_events()
        arrival_at = max(arrival_at, loop.time() + rng.uniform(*settings.event_lag_s))
        for listener in listeners:
            if rng.random() >= settings.event_loss:
                loop.call_at(arrival_at, listener, engine.target, batch)
