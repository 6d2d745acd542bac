"""Builders of test data for the decisions."""

import itertools

from waxwingglade.base import ClassName, ProgramId, TenantId, ToolName, ZoneId
from waxwingglade.decisions import (
    BlockHash,
    DecisionSettings,
    Pool,
    ProgramQueue,
    TargetTable,
    Ticket,
    Work,
    pool_of_tool,
)
from waxwingglade.settings import (
    ProgramPolicy,
    TargetKind,
    TargetSettings,
    ToolSettings,
    Urgency,
)

HOME = ZoneId("zone-1")
MODEL = Pool("model")
NOTICE = ToolName("notice")
BOOKING = ToolName("booking")
numbers = itertools.count()


class FakeClock:
    """A clock that only `advance` moves."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now

    def advance(self, seconds: float) -> None:
        """Advance the clock by `seconds`."""
        self.now += seconds


def blocks(*values: int) -> tuple[BlockHash, ...]:
    """Return a chain of block hashes."""
    return tuple(BlockHash(value) for value in values)


def work(
    urgency: Urgency = Urgency.NORMAL,
    tenant: str = "tenant-1",
    deadline_at: float = 1000.0,
    **fields,
) -> Work:
    """Return a model call; `weight`, `queue_limit` and `latency_weight` go to its policy."""
    policy = {
        name: fields.pop(name)
        for name in ("weight", "queue_limit", "latency_weight")
        if name in fields
    }
    values = {"pool": MODEL, "created_at": 100.0, "prompt_tokens": 640, **fields}
    return Work(
        program=ProgramId(f"program-{next(numbers)}"),
        tenant=TenantId(tenant),
        program_class=ClassName("test"),
        policy=ProgramPolicy(urgency=urgency, **policy),
        deadline_at=deadline_at,
        **values,
    )


def tool_work(tool: ToolName, idempotent: bool = False, **fields) -> Work:
    """Return a tool call."""
    return work(pool=pool_of_tool(tool), prompt_tokens=0, idempotent=idempotent, **fields)


def engine(name: str, zone: str = HOME, slots: int = 4) -> TargetSettings:
    """Return a model server."""
    return TargetSettings(
        target=name, kind=TargetKind.MODEL, zone=zone, url="", models=[MODEL], slots=slots
    )


def service(name: str, slots: int = 4, tools: tuple[ToolName, ...] = (NOTICE,)) -> TargetSettings:
    """Return an application server."""
    settings = [ToolSettings(tool=tool, path="/") for tool in tools]
    return TargetSettings(
        target=name, kind=TargetKind.SERVICE, zone=HOME, url="", tools=settings, slots=slots
    )


def table(clock: FakeClock, *targets: TargetSettings, seed: int = 1, **settings) -> TargetTable:
    """Return a table of `targets`; `settings` replace defaults of `DecisionSettings`."""
    result = TargetTable(DecisionSettings(**settings), HOME, clock, seed)
    for target in targets:
        result.add(target)
    return result


def queue(clock: FakeClock, **settings) -> ProgramQueue:
    """Return an empty queue."""
    return ProgramQueue(DecisionSettings(**settings), clock)


def offer(waiting: ProgramQueue, *calls: Work) -> list[Ticket]:
    """Add calls to a queue that has to accept them."""
    return [waiting.offer(call).unwrap() for call in calls]


def take_next(waiting: ProgramQueue, service_s: float = 1.0) -> Ticket:
    """Grant the next call."""
    ticket = next(iter(waiting.candidates()))
    waiting.take(ticket, service_s)
    return ticket
