"""Builders of dispatchers and calls for tests of the decisions."""

import asyncio
import itertools

from waxwingglade.base import (
    ClassName,
    ErrorCode,
    Failure,
    ProgramId,
    TargetId,
    TenantId,
    Verdict,
    ZoneId,
)
from waxwingglade.decisions import DecisionSettings, Dispatcher, TargetTable, TargetView, Work
from waxwingglade.decisions.work import BlockHash, Pool
from waxwingglade.program.messages import Usage
from waxwingglade.settings import ProgramPolicy, TargetKind, TargetSettings, Urgency

HOME = ZoneId("z")
MODEL = "m"
POOL = Pool(MODEL)
BLOCKS = (BlockHash(1), BlockHash(2), BlockHash(3), BlockHash(4))
LONG_PROMPT = tuple(BlockHash(number) for number in range(100, 200))
FAR_S = 1e6
FAULT = Failure(Verdict.MAY_HAVE_RUN, ErrorCode.TARGET_FAILED, "failed")
USAGE = Usage(prompt_tokens=64, output_tokens=8)
TURNS = 10

numbers = itertools.count()


class FakeClock:
    """A clock that only `advance` moves."""

    def __init__(self, now=100.0):
        self.now = now

    def __call__(self):
        return self.now

    def advance(self, seconds):
        """Advance the clock by `seconds`."""
        self.now += seconds


def make_work(clock, urgency=Urgency.NORMAL, tenant="t", deadline_s=FAR_S, blocks=(), **policy):
    """Return a model call of a new program with its deadline after `deadline_s`."""
    return Work(
        program=ProgramId(f"p{next(numbers)}"),
        tenant=TenantId(tenant),
        program_class=ClassName("c"),
        policy=ProgramPolicy(urgency=urgency, **policy),
        pool=POOL,
        created_at=clock(),
        deadline_at=clock() + deadline_s,
        blocks=blocks,
        prompt_tokens=64 * max(1, len(blocks)),
        expected_output_tokens=8,
    )


def make_target(number, slots=1, models=(MODEL,)):
    """Return the settings of a model engine."""
    name, url = f"engine-{number}", "http://127.0.0.1:9"
    return TargetSettings(name, TargetKind.MODEL, HOME, url, list(models), slots=slots)


def make_table(clock, targets=1, slots=1, **settings) -> TargetTable:
    """Return a table with `targets` engines."""
    table = TargetTable(DecisionSettings(**settings), HOME, clock, seed=1)
    for number in range(targets):
        table.add(make_target(number, slots))
    return table


def make_dispatcher(clock, targets=1, slots=1, **settings) -> Dispatcher:
    """Return a dispatcher with `targets` engines."""
    return Dispatcher(make_table(clock, targets, slots, **settings), clock)


def view_of(table: TargetTable, number: int) -> TargetView:
    """Return the view of an engine by its number."""
    return table.targets[TargetId(f"engine-{number}")]


async def settle():
    """Let every task run until it waits."""
    for _ in range(TURNS):
        await asyncio.sleep(0)


async def start(dispatcher: Dispatcher, work: Work) -> asyncio.Task:
    """Acquire a target in a task, and run all tasks until they wait."""
    task = asyncio.create_task(dispatcher.acquire(work))
    await settle()
    return task
