"""Policies for placing turns: the product's own, and baselines."""

import itertools
from collections.abc import Callable
from typing import Protocol

import msgspec

from bench.turns.previous import PreviousBalancer
from bench.turns.sheet import EngineFigures, Sheet
from bench.turns.timeline import Timeline
from waxwingglade.base import ProgramId, TargetId, ZoneId
from waxwingglade.base.rendezvous import weight
from waxwingglade.decisions.admission import AdmissionRequest, retry_after_s
from waxwingglade.decisions.engine_speed import CompletedTurn, EngineSpeed
from waxwingglade.follow.model import (
    EngineTraits,
    Revision,
    Service,
    ServiceName,
    Target,
    TargetList,
)
from waxwingglade.ingress.balance import Balancer, Choice, History
from waxwingglade.ingress.dialect import Call, LoadStamp, PromptPart, RequestId

ENGINES = ServiceName("engines")


class TurnRequest(msgspec.Struct, frozen=True):
    """A turn to be placed.

    Parameters
    ----------
    history : History or None
        Where the preceding turn ran, if the entry receives that.
    is_first : bool
        Whether the turn is known to be the first of its program.
    rank : int
        Its urgency; 0 is the highest.
    """

    request: str
    program: str
    parts: tuple[tuple[str, int], ...]
    history: History | None
    is_first: bool = False
    rank: int = 0


class Placement(msgspec.Struct, frozen=True):
    """The target of a turn, and the balancer's choice for its call if the policy has one."""

    target: TargetId
    choice: Choice | None = None
    call: Call | None = None


class Rejection(msgspec.Struct, frozen=True):
    """A turn that is not run and may be retried after some seconds."""

    retry_s: float


class Policy(Protocol):
    """Placement of turns by one entry."""

    def choose(self, turn_request: TurnRequest) -> Placement | Rejection:
        """Return the target of a turn and count it as sent, or reject the turn."""

    def record_end(
        self,
        placement: Placement,
        load: LoadStamp,
        completed: CompletedTurn | None,
        is_error: bool,
    ) -> None:
        """Record the end of a turn with the engine's load; `completed` is None if it failed."""


class ProductPolicy:
    """The product's placement on the platform path."""

    def __init__(self, sheet: Sheet, zone: ZoneId, targets: TargetList, timeline: Timeline) -> None:
        figures = sheet.engine
        self.output_tokens = int(sheet.program.output)
        self.first_event_timeout_s = sheet.first_event_timeout_s
        traits = EngineTraits(figures.slots, figures.cache_tokens, figures.stride)
        self.service = Service(ENGINES, 0, traits)
        self.balancer = Balancer(zone, lambda: timeline.now)
        self.balancer.update(targets)

    def choose(self, turn_request: TurnRequest) -> Placement | Rejection:
        """Return the target of a turn and count it as sent, or reject the turn."""
        speed = self.balancer.speed_of(ENGINES)
        ranks = self.balancer.ranks_of(ENGINES)
        admission = AdmissionRequest(
            self.first_event_timeout_s, turn_request.is_first, ranks.share_up_to(turn_request.rank)
        )
        retry_s = retry_after_s(speed, self.balancer.engines(ENGINES), admission)
        if retry_s is not None:
            return Rejection(retry_s)
        call = Call(RequestId(turn_request.request), "POST", "/", "", [])
        call.program = ProgramId(turn_request.program)
        call.max_output_tokens = self.output_tokens
        call.prompt_parts = tuple(PromptPart(*part) for part in turn_request.parts)
        choice = self.balancer.choose(self.service, call, (), turn_request.history)
        assert choice is not None
        if turn_request.history is not None:
            self.balancer.turns_of(None).record(turn_request.is_first)
        self.balancer.record_sent(choice.target, call)
        ranks.record(turn_request.rank)
        return Placement(choice.target.target, choice, call)

    def record_end(
        self,
        placement: Placement,
        load: LoadStamp,
        completed: CompletedTurn | None,
        is_error: bool,
    ) -> None:
        """Record the end of a turn."""
        assert placement.choice is not None and placement.call is not None
        target = placement.choice.target
        if completed is None:
            self.balancer.record_failure(target, is_error)
        else:
            self.balancer.record_load(target, load)
            self.balancer.record_turn(
                placement.choice, completed.first_event_s, completed.seconds, completed.events
            )
        self.balancer.record_end(target, placement.call)


class Previous(ProductPolicy):
    """The product's former placement, which did not observe the engines."""

    def __init__(self, sheet: Sheet, zone: ZoneId, targets: TargetList, timeline: Timeline) -> None:
        super().__init__(sheet, zone, targets, timeline)
        self.balancer = PreviousBalancer(zone, lambda: timeline.now)
        self.balancer.update(targets)


class EvenPolicy(ProductPolicy):
    """The product's placement without reports of a stretch, as if all engines were equal."""

    def record_end(
        self,
        placement: Placement,
        load: LoadStamp,
        completed: CompletedTurn | None,
        is_error: bool,
    ) -> None:
        """Record the end of a turn."""
        even = msgspec.structs.replace(load, stretch=None)
        super().record_end(placement, even, completed, is_error)


class TrueSpeed(EngineSpeed):
    """The engine speed stated in the sheet, instead of an observed one."""

    def __init__(self, figures: EngineFigures, output: float) -> None:
        super().__init__()
        self.mean_events = output / figures.stride
        event_s = figures.stride * figures.step_s
        self.event_gap.intercept, self.event_gap.slope = event_s, event_s * figures.batch_slowdown
        self.prefill.intercept, self.prefill.slope = event_s, 1000 / figures.prefill_tokens_per_s

    def observe(self, turn: CompletedTurn) -> float:
        """Record nothing; return the ratio of the turn's event gap to the usual one."""
        if turn.events < 2:
            return 1.0
        gap_s = (turn.seconds - turn.first_event_s) / (turn.events - 1)
        return gap_s / self.event_gap.predict(min(1.0, turn.load))


class Oracle(ProductPolicy):
    """The product's placement with the engine speed stated in the sheet."""

    def __init__(self, sheet: Sheet, zone: ZoneId, targets: TargetList, timeline: Timeline) -> None:
        super().__init__(sheet, zone, targets, timeline)
        self.balancer.speeds[ENGINES] = TrueSpeed(sheet.engine, sheet.program.output)


class RulePolicy:
    """A baseline: a rule over the targets and the number of this entry's turns at each."""

    def __init__(
        self,
        rule: Callable[["RulePolicy", TurnRequest], TargetId],
        targets: TargetList,
    ) -> None:
        self.rule = rule
        self.targets = [target.target for target in targets.targets]
        self.in_flight = dict.fromkeys(self.targets, 0)
        self.turn = itertools.count()

    def choose(self, turn_request: TurnRequest) -> Placement:
        """Return the target of a turn and count it as sent."""
        target = self.rule(self, turn_request)
        self.in_flight[target] += 1
        return Placement(target)

    def record_end(
        self,
        placement: Placement,
        load: LoadStamp,
        completed: CompletedTurn | None,
        is_error: bool,
    ) -> None:
        """Record the end of a turn; a target that failed it is not used again."""
        self.in_flight[placement.target] -= 1
        if completed is None and placement.target in self.targets and len(self.targets) > 1:
            self.targets.remove(placement.target)


def round_robin(policy: RulePolicy, _: TurnRequest) -> TargetId:
    """Choose the targets in rotation."""
    return policy.targets[next(policy.turn) % len(policy.targets)]


def least_loaded(policy: RulePolicy, _: TurnRequest) -> TargetId:
    """Choose the target with the fewest turns of this entry."""
    start = next(policy.turn) % len(policy.targets)
    order = policy.targets[start:] + policy.targets[:start]
    return min(order, key=lambda target: policy.in_flight[target])


def by_hash(policy: RulePolicy, turn_request: TurnRequest) -> TargetId:
    """Choose the same target for all turns of a program."""
    return max(policy.targets, key=lambda target: weight(turn_request.program, target))


PolicyFactory = Callable[[Sheet, ZoneId, TargetList, Timeline], Policy]


def _rule_policy(rule: Callable[[RulePolicy, TurnRequest], TargetId]) -> PolicyFactory:
    return lambda sheet, zone, targets, timeline: RulePolicy(rule, targets)


POLICIES: dict[str, PolicyFactory] = {
    "round robin": _rule_policy(round_robin),
    "least loaded": _rule_policy(least_loaded),
    "hash": _rule_policy(by_hash),
    "previous": Previous,
    "oracle": Oracle,
    "even": EvenPolicy,
    "waxwingglade": ProductPolicy,
}


def make_targets(sheet: Sheet) -> TargetList:
    """Return the engines of a sheet as targets."""
    targets = [
        Target(
            TargetId(f"e{number}"),
            ENGINES,
            f"10.0.0.{number}:80",
            ZoneId(f"z{number % sheet.zones}"),
            sheet.engine.slots,
        )
        for number in range(sheet.engines)
    ]
    return TargetList(Revision(1), tuple(targets))


__all__ = [
    "POLICIES",
    "Placement",
    "Policy",
    "PolicyFactory",
    "Rejection",
    "TurnRequest",
    "make_targets",
]
