"""One simulated run of a workload, with programs as tasks and simulated targets.

Each entry has its own view of the targets.
"""

import asyncio
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from bench.fake_engines import (
    FakeEngine,
    FakeService,
    Request,
    TargetLost,
    publish_cache,
    publish_load,
)
from bench.outcome import ProgramFailed, ProgramResult, RunResult, Scenario
from bench.policies import Entry, Policy
from bench.session import Session
from bench.virtual_time import VirtualTimeLoop, run_virtual
from bench.workload import (
    ModelStep,
    ProgramPlan,
    ReplyStep,
    SubAgentsStep,
    ToolStep,
    Workload,
    draw_programs,
)
from waxwingglade.base import Err, ErrorCode, Failure, TargetId, ToolName, Verdict, ZoneId
from waxwingglade.decisions import (
    CacheEvents,
    Grant,
    Holding,
    Pool,
    TargetTable,
    Work,
    pool_of_tool,
)
from waxwingglade.program.messages import Usage
from waxwingglade.settings import TargetKind, TargetSettings, ToolSettings

MODEL = Pool("model")
LOCAL_DELAY_S = 0.0002
RESYNC_S = 0.5
RELEASE_PERIOD_S = 0.5
SLOW_FACTOR = 4.0
CANCELLED = Failure(Verdict.MAY_HAVE_RUN, ErrorCode.CANCELLED, "the deadline passed")
CONNECTION_REFUSED = Failure(Verdict.NOT_RUN, ErrorCode.UNAVAILABLE, "connection refused")
CONNECTION_LOST = Failure(Verdict.MAY_HAVE_RUN, ErrorCode.UNAVAILABLE, "connection lost")


class Run:
    """Targets, entries and programs of one run."""

    def __init__(
        self,
        workload: Workload,
        scenario: Scenario,
        policy: Policy,
        seed: int,
    ) -> None:
        self.workload = workload
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.loop = VirtualTimeLoop()
        self.clock: Callable[[], float] = self.loop.time
        self.result = RunResult([], 0, 0, 0, 0.0, [])
        self.plans = draw_programs(workload, scenario.load, seed)
        self.targets = target_settings(workload)
        self.engines: dict[TargetId, FakeEngine] = {}
        self.services: dict[TargetId, FakeService] = {}
        self.policy = policy
        self.entries: list[Entry] = []
        self.resyncing: set[tuple[int, TargetId]] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def execute(self) -> RunResult:
        """Run until the last program ends."""
        return run_virtual(self._main(), self.loop)

    async def _main(self) -> RunResult:
        self._start_targets()
        for number in range(self.workload.entries):
            zone = ZoneId(self.workload.zones[number % len(self.workload.zones)])
            table = TargetTable(
                self.workload.decisions, zone, self.clock, self.rng.randrange(1 << 30)
            )
            for target in self.targets:
                table.add(target)
            self.entries.append(self.policy(table, self.result.decision_us))
            self._spawn(self._release_due(self.entries[-1]))
        self._publish()
        self._schedule_fault()
        programs = []
        for plan in self.plans:
            await asyncio.sleep(plan.arrival - self.clock())
            programs.append(asyncio.create_task(self._run_program(plan)))
        await asyncio.gather(*programs)
        for engine in self.engines.values():
            engine.cache.accrue()
            self.result.ended_token_s += engine.cache.ended_block_s * engine.settings.block_tokens
            self.result.prefilled_tokens += engine.prefilled
        return self.result

    def _start_targets(self) -> None:
        for target in self.targets:
            name = TargetId(target.target)
            if target.kind is TargetKind.SERVICE:
                self.services[name] = FakeService(name, target.slots)
                continue
            engine = FakeEngine(name, self.workload.engines, self.clock)
            engine.on_admit = self._count_waste
            self.engines[name] = engine
            self._spawn(engine.run())

    def _publish(self) -> None:
        settings = self.workload.engines
        loads = [entry.report_load for entry in self.entries]
        caches = [self._cache_listener(number) for number in range(len(self.entries))]
        for target in (*self.engines.values(), *self.services.values()):
            self._spawn(publish_load(target, settings, self.rng, loads))
        for engine in self.engines.values():
            self._spawn(publish_cache(engine, settings, self.rng, caches))

    def _cache_listener(self, number: int) -> Callable[[TargetId, CacheEvents], None]:
        def apply_events(target: TargetId, events: CacheEvents) -> None:
            gap = self.entries[number].apply_cache_events(target, events)
            if gap and (number, target) not in self.resyncing:
                self.resyncing.add((number, target))
                self._spawn(self._resync(number, target))

        return apply_events

    async def _resync(self, number: int, target: TargetId) -> None:
        await asyncio.sleep(RESYNC_S)
        engine = self.engines[target]
        sequence, blocks = engine.cache.sequence, list(engine.cache.users)
        await asyncio.sleep(RESYNC_S)
        self.resyncing.discard((number, target))
        self.entries[number].resync(target, sequence, blocks)

    def _schedule_fault(self) -> None:
        engine = next(iter(self.engines.values()))
        if self.scenario.slow_engine:
            self.loop.call_at(self.workload.seconds / 4, setattr, engine, "slowdown", SLOW_FACTOR)
        if self.scenario.lost_engine:
            self.loop.call_at(self.workload.seconds / 3, engine.crash)
            self.loop.call_at(2 * self.workload.seconds / 3, engine.restart)

    def _count_waste(self, engine: FakeEngine, request: Request) -> None:
        """Count the prompt tokens that are read again although another engine has them cached."""
        cached = max(other.cache.cached_prefix(request.blocks) for other in self.engines.values())
        missed = cached - engine.cache.cached_prefix(request.blocks)
        self.result.wasted_tokens += missed * engine.settings.block_tokens
        self.result.prompt_tokens += request.prompt

    async def _run_program(self, plan: ProgramPlan) -> None:
        session = Session(plan, self.workload.engines.block_tokens, None)
        finished = True
        try:
            await self._run_steps(session)
        except ProgramFailed:
            finished = False
        latency = self.clock() - plan.arrival
        self.result.programs.append(
            ProgramResult(plan.program_class, latency, finished, session.refusals)
        )

    async def _run_steps(self, session: Session) -> None:
        try:
            for step in session.plan.steps:
                if isinstance(step, ModelStep):
                    await self._call_model(session, step)
                elif isinstance(step, ToolStep):
                    await self._call_tool(session, step)
                elif isinstance(step, ReplyStep):
                    with self._pause(session, step.tool):
                        await asyncio.sleep(step.seconds)
                else:
                    await self._run_sub_agents(session, step)
        finally:
            self._end_program(session)

    async def _run_sub_agents(self, session: Session, step: SubAgentsStep) -> None:
        children = [Session(plan, session.block_tokens, session) for plan in step.plans]
        outcomes = await asyncio.gather(
            *(self._run_steps(child) for child in children), return_exceptions=True
        )
        session.refusals += sum(child.refusals for child in children)
        for outcome in outcomes:
            if outcome is not None:
                raise outcome

    async def _release_due(self, entry: Entry) -> None:
        while True:
            await asyncio.sleep(RELEASE_PERIOD_S)
            self._release(entry.releases_due())

    def _end_program(self, session: Session) -> None:
        program = session.plan.program
        for engine in self.engines.values():
            engine.cache.program_ended(program)
        self._release(self.entries[session.plan.entry].program_ended(program))

    def _release(self, holdings: list[Holding]) -> None:
        for holding in holdings:
            engine = self.engines[holding.target]
            self.loop.call_later(LOCAL_DELAY_S, engine.cache.release, holding.program)

    async def _call_model(self, session: Session, step: ModelStep) -> None:
        session.extend(step.message)
        avoid: tuple[TargetId, ...] = ()
        while True:
            grant = await self._acquire(session, MODEL, True, avoid)
            avoid = (grant.target,)
            if await self._serve(session, step, grant):
                session.service_s += self.clock() - grant.granted_at
                return

    async def _call_tool(self, session: Session, step: ToolStep) -> None:
        with self._pause(session, step.tool):
            grant = await self._acquire(session, pool_of_tool(step.tool), step.idempotent)
            delay = self._delay(session, grant)
            await asyncio.sleep(delay)
            await self.services[grant.target].serve(step.seconds)
            await asyncio.sleep(delay)
            grant.finished(Usage())

    @contextmanager
    def _pause(self, session: Session, tool: ToolName) -> Iterator[None]:
        """Notify the entry of a pause, and send the releases that it decides on."""
        entry, program = self.entries[session.plan.entry], session.plan.program
        self._release(entry.program_paused(program, tool))
        try:
            yield
        finally:
            entry.program_resumed(program)

    async def _acquire(
        self,
        session: Session,
        pool: Pool,
        idempotent: bool,
        avoid: tuple[TargetId, ...] = (),
    ) -> Grant:
        """Retry until the call is granted or too late, as a caller that honours Retry-After."""
        plan = session.plan
        deadline = plan.arrival + plan.policy.deadline_s
        is_model = pool == MODEL
        while True:
            work = Work(
                plan.program,
                plan.tenant,
                plan.program_class,
                plan.policy,
                pool,
                plan.arrival,
                deadline,
                session.service_s,
                tuple(session.blocks) if is_model else (),
                session.tokens if is_model else 0,
                idempotent=idempotent,
                avoid=avoid,
            )
            outcome = await self.entries[plan.entry].acquire(work)
            if not isinstance(outcome, Err):
                return outcome.ok_value
            session.refusals += 1
            retry_after_s = outcome.err_value.retry_after_s
            if retry_after_s is None or self.clock() + retry_after_s >= deadline:
                raise ProgramFailed
            await asyncio.sleep(retry_after_s)

    async def _serve(self, session: Session, step: ModelStep, grant: Grant) -> bool:
        """Run one granted model call; return whether it completed."""
        engine = self.engines[grant.target]
        prompt, prompt_blocks = session.tokens, len(session.blocks)
        session.extend(step.output)
        request = Request(
            session.plan.program,
            blocks=tuple(session.blocks[:prompt_blocks]),
            answer_blocks=tuple(session.blocks[prompt_blocks:]),
            shared=session.shared,
            prompt=prompt,
            output=step.output,
        )
        delay = self._delay(session, grant)
        await asyncio.sleep(delay)
        try:
            if grant.source is not None:
                await self._import(request, self.engines[grant.source], engine)
            engine.submit(request, grant.priority)
            await self._wait_until_deadline(session, engine, request, request.first)
            await asyncio.sleep(delay)
            grant.first_token()
            await self._wait_until_deadline(session, engine, request, request.done)
            await asyncio.sleep(delay)
        except TargetLost as error:
            session.tokens = prompt
            del session.blocks[prompt_blocks:]
            grant.failed(CONNECTION_LOST if error.was_started else CONNECTION_REFUSED)
            return False
        except ProgramFailed:
            grant.failed(CANCELLED)
            raise
        grant.finished(Usage(request.prompt, request.cached, request.output))
        return True

    async def _wait_until_deadline(
        self,
        session: Session,
        engine: FakeEngine,
        request: Request,
        future: "asyncio.Future[None]",
    ) -> None:
        plan = session.plan
        remaining_s = plan.arrival + plan.policy.deadline_s - self.clock()
        await asyncio.wait([future], timeout=max(0.0, remaining_s))
        if not future.done():
            engine.cancel(request)
            raise ProgramFailed
        future.result()

    async def _import(self, request: Request, source: FakeEngine, engine: FakeEngine) -> None:
        settings = self.workload.engines
        cached_blocks = source.cache.cached_prefix(request.blocks)
        missing_blocks = cached_blocks - engine.cache.cached_prefix(request.blocks)
        if missing_blocks <= 0:
            return
        tokens = missing_blocks * settings.block_tokens
        await asyncio.sleep(
            self.workload.decisions.import_delay_s + tokens / settings.import_tokens_per_s
        )
        if engine.alive:
            engine.store(request, request.blocks[:cached_blocks])
            engine.cache.shrink()

    def _delay(self, session: Session, grant: Grant) -> float:
        entry_zone = self.workload.zones[session.plan.entry % len(self.workload.zones)]
        return LOCAL_DELAY_S if grant.view.zone == entry_zone else self.workload.zone_delay_s

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def target_settings(workload: Workload) -> list[TargetSettings]:
    """Return the targets of a workload, distributed over its zones."""
    tools = sorted(
        {tool.tool for plan in workload.classes for tool in plan.tools if not tool.by_hand}
    )
    zones = workload.zones
    engines = [
        TargetSettings(
            target=f"engine-{number}",
            kind=TargetKind.MODEL,
            zone=zones[number % len(zones)],
            url="",
            models=[MODEL],
            slots=workload.engines.slots,
        )
        for number in range(workload.engines.count)
    ]
    services = [
        TargetSettings(
            target=f"service-{number}",
            kind=TargetKind.SERVICE,
            zone=zones[number % len(zones)],
            url="",
            tools=[ToolSettings(tool=tool, path="/") for tool in tools],
            slots=workload.services.slots,
        )
        for number in range(workload.services.count)
    ]
    return engines + services
