"""A model engine in virtual time, with batching, chunked prefill and limited memory."""

import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import Callable

from bench.turns.sheet import EngineFigures
from bench.turns.timeline import Timeline

REPORT_LAG_S = 0.2


class Job:
    """A turn at an engine.

    Parameters
    ----------
    parts : list of (str, int)
        Prompt parts with their tokens.
    output : int
        Tokens to generate.
    on_first_event, on_end : callable
        Called at the first event and at the end; `on_end` receives whether the turn is complete.
    """

    def __init__(
        self,
        parts: list[tuple[str, int]],
        output: int,
        priority: int,
        on_first_event: Callable[[], None],
        on_end: Callable[[bool], None],
    ) -> None:
        self.parts = parts
        self.output = output
        self.priority = priority
        self.on_first_event = on_first_event
        self.on_end = on_end
        self.unread_tokens = 0
        self.generated_tokens = 0

    @property
    def prompt(self) -> int:
        """Tokens of the prompt."""
        return sum(tokens for _, tokens in self.parts)


class Engine:
    """One engine.

    Attributes
    ----------
    slowdown, stretch : float
        How many times longer than stated in the sheet work takes; the stretch is reported.
    preempted : int
        Number of preempted turns.
    read, read_again : int
        Prompt tokens read, and how many of these some engine had read before.
    """

    def __init__(
        self, figures: EngineFigures, timeline: Timeline, seen_tokens: dict[str, int]
    ) -> None:
        self.figures = figures
        self.timeline = timeline
        self.seen_tokens = seen_tokens
        self.waiting: list[tuple[int, int, Job]] = []
        self.running: list[Job] = []
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.cached = 0
        self.sequence = itertools.count()
        self.busy = False
        self.has_crashed = False
        self.failing = False
        self.slowdown = 1.0
        self.stretch = 1.0
        self.preempted = 0
        self.read = self.read_again = 0
        self.loads: deque[tuple[float, int, int]] = deque([(0.0, 0, 0)])

    def submit(self, job: Job) -> None:
        """Accept a turn; it fails at once if the engine has crashed or is failing."""
        if self.has_crashed or self.failing:
            self.timeline.call_later(0.0, lambda: job.on_end(False))
            return
        heapq.heappush(self.waiting, (job.priority, next(self.sequence), job))
        self._record_load()
        if not self.busy:
            self.busy = True
            self.timeline.call_later(0.0, self._step)

    def crash(self) -> None:
        """Fail all turns and stop."""
        self.has_crashed = True
        jobs = [job for _, _, job in self.waiting] + self.running
        self.waiting, self.running = [], []
        for job in jobs:
            job.on_end(False)

    def reported_load(self) -> tuple[int, int]:
        """Return the numbers of running and waiting requests, as of `REPORT_LAG_S` ago."""
        seen_at = self.timeline.now - REPORT_LAG_S
        while len(self.loads) > 1 and self.loads[1][0] <= seen_at:
            self.loads.popleft()
        return self.loads[0][1:]

    def _record_load(self) -> None:
        self.loads.append((self.timeline.now, len(self.running), len(self.waiting)))

    def _preempt(self) -> None:
        """Preempt the newest of the least urgent turns while the running ones lack memory."""
        while len(self.running) > 1 and self._needed_tokens() > self.figures.cache_tokens:
            job = max(reversed(self.running), key=lambda job: job.priority)
            self.running.remove(job)
            self.cached -= self.cache.pop(job.parts[-1][0], 0)
            heapq.heappush(self.waiting, (job.priority, next(self.sequence), job))
            self.preempted += 1

    def _needed_tokens(self) -> int:
        """Return the memory of the running turns, with each shared part once."""
        parts = {part: tokens for job in self.running for part, tokens in job.parts}
        return sum(parts.values()) + sum(job.generated_tokens for job in self.running)

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.figures.slots:
            job = heapq.heappop(self.waiting)[2]
            job.unread_tokens = max(1, self._count_missing(job))
            self.running.append(job)
            self._record_load()

    def _count_missing(self, job: Job) -> int:
        """Return the prompt tokens to be read, and count those that were read before."""
        missing = 0
        for index, (part, tokens) in enumerate(job.parts):
            cached = min(tokens, self.cache.get(part, 0))
            if cached:
                self.cache.move_to_end(part)
            if cached < tokens:
                missing = tokens - cached + sum(count for _, count in job.parts[index + 1 :])
                break
        before = sum(min(tokens, self.seen_tokens.get(part, 0)) for part, tokens in job.parts)
        self.read += missing
        self.read_again += max(0, missing - (job.prompt - before))
        for part, tokens in job.parts:
            self.seen_tokens[part] = max(self.seen_tokens.get(part, 0), tokens)
            self._cache_part(part, tokens)
        return missing

    def _cache_part(self, part: str, tokens: int) -> None:
        self.cached += tokens - self.cache.pop(part, 0)
        self.cache[part] = tokens
        in_use = sum(job.output for job in self.running)
        while self.cached + in_use > self.figures.cache_tokens and len(self.cache) > 1:
            self.cached -= self.cache.popitem(last=False)[1]

    def _step(self) -> None:
        if self.has_crashed:
            return
        self._admit()
        if self.figures.preempts:
            self._preempt()
        if not self.running:
            self.busy = False
            return
        figures = self.figures
        generating = [job for job in self.running if not job.unread_tokens]
        chunk_tokens = figures.chunk_tokens * (figures.stride if generating else 8)
        read = 0
        for job in self.running:
            chunk_part = min(job.unread_tokens, chunk_tokens - read)
            job.unread_tokens -= chunk_part
            read += chunk_part
        seconds = read / figures.prefill_tokens_per_s
        if generating:
            batch_factor = 1 + figures.batch_slowdown * len(generating) / figures.slots
            seconds += figures.stride * figures.step_s * batch_factor
        seconds *= self.slowdown * self.stretch
        self.timeline.call_later(seconds, lambda: self._finish_step(generating))

    def _finish_step(self, generating: list[Job]) -> None:
        if self.has_crashed:
            return
        for job in generating:
            if job not in self.running:
                continue  # The caller has cancelled it during the step.
            if not job.generated_tokens:
                job.on_first_event()
            job.generated_tokens += self.figures.stride
            if job.generated_tokens >= job.output:
                self.running.remove(job)
                part, tokens = job.parts[-1]
                self.seen_tokens[part] = max(self.seen_tokens.get(part, 0), tokens + job.output)
                self._cache_part(part, tokens + job.output)
                self._record_load()
                job.on_end(True)
        self._step()


__all__ = ["Engine", "Job"]
