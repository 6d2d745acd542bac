"""Ways to place turns: the product's own, and baselines."""

import itertools
from collections.abc import Callable
from typing import Protocol

import msgspec

from bench.turns.clock import Timeline
from bench.turns.previous import PreviousBalancer
from bench.turns.sheet import EngineFigures, Sheet
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


class Asked(msgspec.Struct, frozen=True):
    """A turn to be placed.

    Parameters
    ----------
    history : History or None
        Where what it continues was read, if that is told.
    rank : int
        Its urgency, 0 the highest.
    """

    request: str
    program: str
    parts: tuple[tuple[str, int], ...]
    history: History | None
    is_first: bool = False
    rank: int = 0


class Sent(msgspec.Struct, frozen=True):
    """Where a turn went, and what the policy wants to remember."""

    target: TargetId
    choice: Choice | None = None


class Refused(msgspec.Struct, frozen=True):
    """A turn that is not run, and may come back after some seconds."""

    retry_s: float


class Policy(Protocol):
    """One entry's way to place turns."""

    def choose(self, asked: Asked) -> Sent | Refused:
        """Return where a turn goes, and count it as sent; or refuse it."""

    def ended(
        self, sent: Sent, load: tuple[int, int], took: CompletedTurn | None, is_error: bool
    ) -> None:
        """Note that a turn has ended, with the engine's report; `took` is None if it failed."""


class Waxwingglade:
    """The product's placing, on the platform's path."""

    def __init__(self, sheet: Sheet, zone: ZoneId, targets: TargetList, timeline: Timeline) -> None:
        figures = sheet.engine
        self.slots = figures.slots
        self.give_up_s = sheet.give_up_s
        traits = EngineTraits(figures.slots, figures.memory, figures.stride)
        self.service = Service(ENGINES, 0, traits)
        self.balancer = Balancer(zone, lambda: timeline.now)
        self.balancer.update(targets)

    def choose(self, asked: Asked) -> Sent | Refused:
        """Return where a turn goes, and count it as sent; or refuse it."""
        pace = self.balancer.speed_of(ENGINES)
        ranks = self.balancer.ranks_of(ENGINES)
        waiting = AdmissionRequest(self.give_up_s, asked.is_first, ranks.share_up_to(asked.rank))
        retry_s = retry_after_s(pace, self.balancer.engines(ENGINES), waiting)
        if retry_s is not None:
            return Refused(retry_s)
        call = Call(RequestId(asked.request), "POST", "/", "", [])
        call.program = ProgramId(asked.program)
        call.prompt_parts = tuple(PromptPart(*part) for part in asked.parts)
        choice = self.balancer.choose(self.service, call, (), asked.history)
        assert choice is not None
        self.balancer.record_sent(choice.target, call)
        ranks.record(asked.rank)
        return Sent(choice.target.target, choice)

    def ended(
        self, sent: Sent, load: tuple[int, int], took: CompletedTurn | None, is_error: bool
    ) -> None:
        """Note that a turn has ended."""
        assert sent.choice is not None
        target = sent.choice.target
        if took is None:
            self.balancer.record_failure(target, is_error)
        else:
            self.balancer.record_load(target, LoadStamp(*load, self.slots))
            self.balancer.record_turn(sent.choice, took.first_event_s, took.seconds, took.events)
        self.balancer.record_end(target)


class Previous(Waxwingglade):
    """The product's placing before engines were observed."""

    def __init__(self, sheet: Sheet, zone: ZoneId, targets: TargetList, timeline: Timeline) -> None:
        super().__init__(sheet, zone, targets, timeline)
        self.balancer = PreviousBalancer(zone, lambda: timeline.now)
        self.balancer.update(targets)


class TruePace(EngineSpeed):
    """The pace that the sheet states, in place of what was observed."""

    def __init__(self, figures: EngineFigures, output: float) -> None:
        super().__init__()
        self.mean_events = output / figures.stride
        event_s = figures.stride * figures.step_s
        self.event_gap.intercept, self.event_gap.slope = event_s, event_s * figures.crowding
        self.prefill.intercept, self.prefill.slope = event_s, 1000 / figures.read_per_s

    def observe(self, turn: CompletedTurn) -> float:
        """Learn nothing; return how many times slower than usual the engine was."""
        if turn.events < 2:
            return 1.0
        gap_s = (turn.seconds - turn.first_event_s) / (turn.events - 1)
        return gap_s / self.event_gap.predict(min(1.0, turn.load))


class Oracle(Waxwingglade):
    """The product's placing with the sheet's own figures."""

    def __init__(self, sheet: Sheet, zone: ZoneId, targets: TargetList, timeline: Timeline) -> None:
        super().__init__(sheet, zone, targets, timeline)
        self.balancer.speeds[ENGINES] = TruePace(sheet.engine, sheet.program.output)


class Simple:
    """A baseline: a rule over targets and how many turns of this entry are at each."""

    def __init__(
        self,
        rule: Callable[["Simple", Asked], TargetId],
        targets: TargetList,
    ) -> None:
        self.rule = rule
        self.targets = [target.target for target in targets.targets]
        self.in_flight = dict.fromkeys(self.targets, 0)
        self.turn = itertools.count()

    def choose(self, asked: Asked) -> Sent:
        """Return where a turn goes, and count it as sent."""
        target = self.rule(self, asked)
        self.in_flight[target] += 1
        return Sent(target)

    def ended(
        self, sent: Sent, load: tuple[int, int], took: CompletedTurn | None, is_error: bool
    ) -> None:
        """Note that a turn has ended; an engine that broke it off is left out."""
        self.in_flight[sent.target] -= 1
        if took is None and sent.target in self.targets and len(self.targets) > 1:
            self.targets.remove(sent.target)


def round_robin(policy: Simple, _: Asked) -> TargetId:
    """One after the other."""
    return policy.targets[next(policy.turn) % len(policy.targets)]


def least_loaded(policy: Simple, _: Asked) -> TargetId:
    """Where this entry has the fewest turns."""
    start = next(policy.turn) % len(policy.targets)
    order = policy.targets[start:] + policy.targets[:start]
    return min(order, key=lambda target: policy.in_flight[target])


def by_hash(policy: Simple, asked: Asked) -> TargetId:
    """All turns of a program at one."""
    return max(policy.targets, key=lambda target: weight(asked.program, target))


Maker = Callable[[Sheet, ZoneId, TargetList, Timeline], Policy]


def _simple(rule: Callable[[Simple, Asked], TargetId]) -> Maker:
    return lambda sheet, zone, targets, timeline: Simple(rule, targets)


POLICIES: dict[str, Maker] = {
    "round robin": _simple(round_robin),
    "least loaded": _simple(least_loaded),
    "hash": _simple(by_hash),
    "previous": Previous,
    "oracle": Oracle,
    "waxwingglade": Waxwingglade,
}


def targets_of(sheet: Sheet) -> TargetList:
    """Return the engines of a sheet as targets."""
    made = [
        Target(
            TargetId(f"e{number}"),
            ENGINES,
            f"10.0.0.{number}:80",
            ZoneId(f"z{number % sheet.zones}"),
            sheet.engine.slots,
        )
        for number in range(sheet.engines)
    ]
    return TargetList(Revision(1), tuple(made))


__all__ = ["POLICIES", "Asked", "Maker", "Policy", "Refused", "Sent", "targets_of"]
