"""The workload of a benchmark: its settings file, and the programs drawn from it with a seed."""

import random

import msgspec

from waxwingglade.base import ClassName, ProgramId, TenantId, ToolName
from waxwingglade.decisions import DecisionSettings
from waxwingglade.settings import ProgramPolicy, Urgency
from waxwingglade.settings.strict import Strict

Range = tuple[float, float]
CALLER = ToolName("caller")


class EngineSettings(Strict):
    """Simulated model servers: number, speed, cache size, and delay of their reports.

    A batch step takes `step_s`, plus `step_per_call_s` for each call in the batch, plus the time to
    read prompt tokens in this step, at most `chunk_tokens`.
    """

    count: int = 6
    slots: int = 8
    cache_tokens: int = 60_000
    block_tokens: int = 64
    prefill_tokens_per_s: float = 8000.0
    chunk_tokens: int = 2048
    step_s: float = 0.02
    step_per_call_s: float = 0.001
    burst_tokens: int = 4
    import_tokens_per_s: float = 30_000.0
    report_period_s: float = 1.0
    report_lag_s: Range = (0.1, 0.8)
    event_period_s: float = 0.25
    event_lag_s: Range = (0.2, 1.5)
    event_loss: float = 0.03


class ServiceSettings(Strict):
    """Simulated application servers."""

    count: int = 3
    slots: int = 8


class ToolPlan(Strict):
    """A tool that programs of a class call.

    `chance` is the probability of a call after each turn; a tool with `at_end` is called once after
    the last turn.  A tool with `by_hand` is a person and takes no slot at a service.
    """

    tool: str
    seconds: Range
    chance: float = 0.0
    at_end: bool = False
    by_hand: bool = False
    idempotent: bool = False


class ClassPlan(Strict):
    """Distribution of the programs of one class."""

    name: str
    share: float
    urgency: Urgency
    deadline_s: float
    turns: Range
    message_tokens: Range
    output_tokens: Range
    shared_tokens: int = 1000
    shared_prompts: int = 1
    tools: tuple[ToolPlan, ...] = ()
    reply_s: Range = (0.0, 0.0)
    sub_agents: Range = (0, 0)
    sub_turns: Range = (0, 0)


class Workload(Strict):
    """Traffic of a firm; 100% load is `programs_per_s`, the capacity of the best baseline."""

    firm: str
    programs_per_s: float
    classes: list[ClassPlan]
    seconds: float = 240.0
    entries: int = 8
    tenants: int = 4
    zones: tuple[str, ...] = ("zone-1", "zone-2", "zone-3")
    zone_delay_s: float = 0.0015
    latency_weight: float = 0.7
    queue_limit: int = 1000
    decisions: DecisionSettings = DecisionSettings()
    engines: EngineSettings = EngineSettings()
    services: ServiceSettings = ServiceSettings()


class ModelStep(msgspec.Struct, frozen=True):
    """A turn that adds `message` tokens to the history and generates `output` tokens."""

    message: int
    output: int


class ToolStep(msgspec.Struct, frozen=True):
    """A tool call that takes `seconds`."""

    tool: ToolName
    seconds: float
    idempotent: bool


class ReplyStep(msgspec.Struct, frozen=True):
    """A pause of `seconds` while a person, the caller or another, prepares a reply."""

    tool: ToolName
    seconds: float


class SubAgentsStep(msgspec.Struct, frozen=True):
    """Concurrent sub-agents that start with the current history; the program waits for all."""

    plans: list["ProgramPlan"]


Step = ModelStep | ToolStep | ReplyStep | SubAgentsStep


class ProgramPlan(msgspec.Struct, frozen=True):
    """One program, identical for every measured policy."""

    program: ProgramId
    tenant: TenantId
    program_class: ClassName
    policy: ProgramPolicy
    arrival: float
    entry: int
    prompt: int
    shared_tokens: int
    steps: list[Step]


def draw_programs(workload: Workload, load: float, seed: int) -> list[ProgramPlan]:
    """Return the programs of one run, with open-loop Poisson arrivals at `load` times 100%."""
    rng = random.Random(f"{workload.firm}-{seed}")
    plans = []
    arrival = rng.expovariate(load * workload.programs_per_s)
    while arrival < workload.seconds:
        shares = [plan.share for plan in workload.classes]
        class_plan = rng.choices(workload.classes, shares)[0]
        name = f"{workload.firm}-{len(plans)}"
        plans.append(_draw_program(workload, class_plan, rng, arrival, name))
        arrival += rng.expovariate(load * workload.programs_per_s)
    return plans


def _draw_program(
    workload: Workload, class_plan: ClassPlan, rng: random.Random, arrival: float, name: str
) -> ProgramPlan:
    policy = ProgramPolicy(
        urgency=class_plan.urgency,
        latency_weight=workload.latency_weight,
        deadline_s=class_plan.deadline_s,
        queue_limit=workload.queue_limit,
    )
    entry = rng.randrange(workload.entries)
    plan = ProgramPlan(
        ProgramId(name),
        TenantId(f"tenant-{rng.randrange(workload.tenants)}"),
        ClassName(class_plan.name),
        policy,
        arrival,
        entry,
        rng.randrange(class_plan.shared_prompts),
        class_plan.shared_tokens,
        [],
    )
    turns = _draw_int(rng, class_plan.turns)
    fork_after = turns // 2
    for turn in range(turns):
        plan.steps.append(_draw_turn(class_plan, rng))
        plan.steps.extend(
            _draw_tool(tool, rng) for tool in class_plan.tools if rng.random() < tool.chance
        )
        if turn == fork_after and class_plan.sub_agents[1]:
            plan.steps.append(_draw_sub_agents(plan, class_plan, rng))
        if turn < turns - 1 and class_plan.reply_s[1]:
            plan.steps.append(ReplyStep(CALLER, rng.uniform(*class_plan.reply_s)))
    plan.steps.extend(_draw_tool(tool, rng) for tool in class_plan.tools if tool.at_end)
    return plan


def _draw_sub_agents(plan: ProgramPlan, class_plan: ClassPlan, rng: random.Random) -> SubAgentsStep:
    children = []
    for number in range(_draw_int(rng, class_plan.sub_agents)):
        steps: list[Step] = [
            _draw_turn(class_plan, rng) for _ in range(_draw_int(rng, class_plan.sub_turns))
        ]
        name = ProgramId(f"{plan.program}/{number}")
        children.append(msgspec.structs.replace(plan, program=name, steps=steps))
    return SubAgentsStep(children)


def _draw_turn(class_plan: ClassPlan, rng: random.Random) -> ModelStep:
    return ModelStep(
        _draw_int(rng, class_plan.message_tokens), _draw_int(rng, class_plan.output_tokens)
    )


def _draw_tool(tool: ToolPlan, rng: random.Random) -> Step:
    if tool.by_hand:
        return ReplyStep(ToolName(tool.tool), rng.uniform(*tool.seconds))
    return ToolStep(ToolName(tool.tool), rng.uniform(*tool.seconds), tool.idempotent)


def _draw_int(rng: random.Random, bounds: Range) -> int:
    return rng.randint(int(bounds[0]), int(bounds[1]))
