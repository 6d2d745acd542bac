"""Continuous batching of the engine stand-in, independent of HTTP and of the clock."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from sortedcontainers import SortedList

from waxwingglade.base import Clock, ModelName, ProgramId, monotonic
from waxwingglade.connection import CacheEventKind
from waxwingglade.program.messages import Message
from waxwingglade.standins import engine_text
from waxwingglade.standins.engine_cache import CacheChange, PrefixCache
from waxwingglade.standins.engine_reports import EngineRecord, EventLog, LoadLog
from waxwingglade.standins.engine_text import BLOCK_TOKENS

Sleep = Callable[[float], Awaitable[None]]

HANG_POLL_S = 0.01
STOP = "stop"
LENGTH = "length"
CANCELLED = "cancelled"
REFUSED = "refused"


class EngineSpeed(msgspec.Struct, frozen=True):
    """Size and speed of the stand-in; the defaults suit tests.

    Parameters
    ----------
    slots : int
        Requests that run concurrently.
    step_s, step_per_request_s : float
        Seconds of a step with one request, and seconds added for each further request.
    prefill_tokens_per_s : float
        Speed of prefilling uncached tokens; the prefill lengthens the step for all requests.
    prefill_chunk_tokens : int
        Most tokens prefilled in one step.
    cache_blocks : int
        Capacity of the prefix cache in blocks.
    shortest_answer, longest_answer : int
        Limits of an answer's length in tokens, if the request does not choose its length.
    event_delay_s : float
        Seconds from a cache event to its publication.
    event_gap_every : int
        Every event whose number is a multiple of this is lost; 0 loses none.
    load_lag_s : float
        Age in seconds of the reported load.
    order_s : float
        Seconds from an order, such as to load a model, to its completion.
    """

    slots: int = 8
    step_s: float = 0.001
    step_per_request_s: float = 0.0
    prefill_tokens_per_s: float = 1_000_000.0
    prefill_chunk_tokens: int = 2048
    cache_blocks: int = 4096
    shortest_answer: int = 8
    longest_answer: int = 32
    event_delay_s: float = 0.0
    event_gap_every: int = 0
    load_lag_s: float = 0.0
    order_s: float = 0.0


class EngineFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the stand-in, set by ``POST /standin/faults``.

    Parameters
    ----------
    slow_factor : float
        Factor by which each step takes longer.
    hang : bool
        Whether the engine makes no steps; it accepts requests and does not answer them.
    refuse : bool
        Whether new requests get status 503 and do not run.
    delay_s : float
        Seconds before a new request is accepted.
    cut_after_tokens : int or None
        Number of tokens after which the connection is closed; 0 closes it before the first byte.
    garbage : bool
        Whether the stream has events that are not valid JSON.
    """

    slow_factor: float = 1.0
    hang: bool = False
    refuse: bool = False
    delay_s: float = 0.0
    cut_after_tokens: int | None = None
    garbage: bool = False


class JobRequest(msgspec.Struct, frozen=True):
    """The request of a job; the fields are those of `EngineRequest`."""

    request_id: str
    program: ProgramId
    model: ModelName
    messages: list[Message]
    max_tokens: int
    priority: int = 0
    resume_text: str = ""


class Job:
    """A request in the engine.

    `outputs` yields each token and finally None; the record's `outcome` then has the reason.
    """

    def __init__(self, number: int, request: JobRequest, speed: EngineSpeed, now: float) -> None:
        messages = request.messages
        self.number = number
        self.request = request
        self.seed = engine_text.answer_seed(request.model, messages)
        self.position = engine_text.count_tokens(request.resume_text)
        self.length = engine_text.answer_length(
            messages, speed.shortest_answer, speed.longest_answer
        )
        self.end = min(self.length, self.position + request.max_tokens)
        self.prompt = engine_text.render_prompt(messages, request.resume_text)
        self.blocks = engine_text.block_hashes(self.prompt)
        self.tokens: list[str] = []
        self.prefill_remaining = 0
        self.outputs: asyncio.Queue[str | None] = asyncio.Queue()
        self.record = self._record(now)

    def _record(self, now: float) -> EngineRecord:
        request = self.request
        expected = engine_text.answer_text(request.model, request.messages, self.position)
        return EngineRecord(
            request.request_id,
            request.program,
            request.model,
            request.priority,
            f"{self.seed:016x}",
            len(request.resume_text),
            request.resume_text == expected,
            engine_text.count_tokens(self.prompt),
            now,
        )


def _queue_order(job: Job) -> tuple[int, int]:
    return job.request.priority, job.number


class EngineCore:
    """The batch, the cache and the reports of one engine.

    Parameters
    ----------
    speed : EngineSpeed
        Size and speed.
    clock, sleep : callable
        Time source and sleep function; both can be simulated.
    """

    def __init__(
        self, speed: EngineSpeed, clock: Clock = monotonic, sleep: Sleep = asyncio.sleep
    ) -> None:
        self.speed = speed
        self.clock = clock
        self.sleep = sleep
        self.faults = EngineFaults()
        self.cache = PrefixCache(speed.cache_blocks, clock)
        self.events = EventLog(clock, speed.event_delay_s, speed.event_gap_every)
        self.load = LoadLog(clock, speed.load_lag_s)
        self.waiting: SortedList[Job] = SortedList(key=_queue_order)
        self.running: list[Job] = []
        self.records: list[EngineRecord] = []
        self.previously_cached: set[str] = set()
        self.group: list[EngineCore] = []
        self.has_work = asyncio.Event()
        self.job_count = 0

    def submit(self, request: JobRequest) -> Job:
        """Queue a request."""
        self.job_count += 1
        job = Job(self.job_count, request, self.speed, self.clock())
        self.records.append(job.record)
        self.waiting.add(job)
        self._record_load()
        self.has_work.set()
        return job

    def refuse(self, request: JobRequest) -> None:
        """Record a refused request."""
        record = Job(0, request, self.speed, self.clock()).record
        record.outcome = REFUSED
        record.ended = self.clock()
        self.records.append(record)

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; return whether it was found."""
        found = [each for each in self._jobs() if each.request.request_id == request_id]
        for job in found:
            self.stop(job, CANCELLED)
        return bool(found)

    def stop(self, job: Job, outcome: str) -> None:
        """End a job that has not ended, and cache the blocks that it computed."""
        if job in self.waiting:
            self.waiting.remove(job)
        elif job in self.running:
            self._leave_batch(job)
        else:
            return
        job.record.outcome = outcome
        job.record.ended = self.clock()
        job.outputs.put_nowait(None)
        self._record_load()

    def release(self, program: ProgramId) -> None:
        """Release the cache blocks of a program."""
        self._publish(self.cache.release(program), program)

    def export(self, program: ProgramId) -> list[str]:
        """Return the blocks that a program holds, from the start of its prefix."""
        held = self.cache.held.get(program, set())
        return [block for block in reversed(self.cache.holders) if block in held]

    def import_blocks(self, program: ProgramId, blocks: list[str]) -> None:
        """Cache blocks that another engine exported."""
        self._publish(self.cache.store(program, blocks), program)

    def prefilled_again_tokens(self) -> int:
        """Return the prefilled tokens that this engine had cached before."""
        return sum(each.again_tokens for each in self.records)

    async def run(self) -> None:
        """Run steps while there are requests, until cancelled."""
        while True:
            await self.has_work.wait()
            while self.faults.hang:
                await self.sleep(HANG_POLL_S)
            self._admit()
            prefills = self._plan_prefills()
            await self.sleep(self._step_s(sum(prefills.values())))
            self._advance(prefills)
            if not self.running and not self.waiting:
                self.has_work.clear()

    def _jobs(self) -> list[Job]:
        return [*self.running, *self.waiting]

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.speed.slots:
            job = self.waiting.pop(0)
            self._enter_batch(job)
            self.running.append(job)
        self._record_load()

    def _enter_batch(self, job: Job) -> None:
        matched = self.cache.match(job.blocks)
        missing = job.blocks[matched:]
        self.cache.pin(job.blocks)
        record = job.record
        record.admitted = self.clock()
        record.cached_tokens = matched * BLOCK_TOKENS
        record.again_tokens = BLOCK_TOKENS * len(self.previously_cached.intersection(missing))
        record.elsewhere_tokens = self._elsewhere_tokens(job.blocks, matched)
        # The last token is always computed, since the first token of the answer follows from it.
        job.prefill_remaining = max(1, record.prompt_tokens - record.cached_tokens)

    def _elsewhere_tokens(self, blocks: list[str], matched: int) -> int:
        others = [each.cache.match(blocks) for each in self.group if each is not self]
        return BLOCK_TOKENS * max([0, *(each - matched for each in others)])

    def _plan_prefills(self) -> dict[int, int]:
        """Return the prefill tokens of each job in the next step, in order of admission."""
        capacity = self.speed.prefill_chunk_tokens
        plan = {}
        for job in self.running:
            plan[job.number] = min(capacity, job.prefill_remaining)
            capacity -= plan[job.number]
        return plan

    def _step_s(self, prefill_tokens: int) -> float:
        decoding = sum(1 for job in self.running if not job.prefill_remaining)
        batch_s = self.speed.step_s + self.speed.step_per_request_s * max(0, decoding - 1)
        prefill_s = prefill_tokens / self.speed.prefill_tokens_per_s
        return (batch_s + prefill_s) * self.faults.slow_factor

    def _advance(self, prefills: dict[int, int]) -> None:
        """Advance all prefills, and generate a token for each job whose prefill is complete."""
        for job in list(self.running):
            if job.prefill_remaining:
                self._prefill(job, prefills.get(job.number, 0))
            if not job.prefill_remaining:
                self._generate(job)

    def _prefill(self, job: Job, tokens: int) -> None:
        job.prefill_remaining -= tokens
        if not job.prefill_remaining:
            self._store(job, job.blocks)

    def _generate(self, job: Job) -> None:
        if job.position < job.end:
            token = engine_text.answer_token(job.seed, job.position)
            job.record.first_token = job.record.first_token or self.clock()
            job.record.output_tokens += 1
            job.position += 1
            job.tokens.append(token)
            job.outputs.put_nowait(token)
        if job.position >= job.end:
            self.stop(job, STOP if job.end == job.length else LENGTH)

    def _leave_batch(self, job: Job) -> None:
        self.running.remove(job)
        self.cache.unpin(job.blocks)
        if not job.prefill_remaining:
            self._store(job, engine_text.block_hashes(job.prompt + "".join(job.tokens)))

    def _store(self, job: Job, blocks: list[str]) -> None:
        change = self.cache.store(job.request.program, blocks)
        self.previously_cached.update(change.stored)
        self._publish(change, job.request.program)

    def _publish(self, change: CacheChange, program: ProgramId) -> None:
        if change.removed:
            self.events.add(CacheEventKind.REMOVED, change.removed, None)
        if change.stored:
            self.events.add(CacheEventKind.STORED, change.stored, program)

    def _record_load(self) -> None:
        self.load.add(len(self.running), len(self.waiting), self.cache.used_fraction())


__all__ = [
    "CANCELLED",
    "EngineCore",
    "EngineFaults",
    "EngineSpeed",
    "Job",
    "JobRequest",
    "Sleep",
]
