"""Run the programs of a sheet under a policy, and report what their callers received."""

import random

import msgspec

from bench.turns.engine import Engine, Job
from bench.turns.exchange import exchange
from bench.turns.policies import Placement, Policy, PolicyFactory, TurnRequest, make_targets
from bench.turns.sheet import Sheet
from bench.turns.timeline import Timeline
from waxwingglade.base import TargetId, ZoneId
from waxwingglade.decisions.engine_speed import CompletedTurn
from waxwingglade.follow.model import IncarnationName
from waxwingglade.ingress.balance import History
from waxwingglade.ingress.dialect import LoadStamp

MAX_TRIES = 3
"""Number of tries of a turn before its program fails."""

OVERHEAD_S = 0.03
"""Seconds of a turn outside the engine: network and ledger."""

SENDS_PER_TRY = 2
"""Number of times that a caller sends one try of a turn that is rejected as not run."""

FAILING_S = 5.4
"""Duration of errors of the failing engines."""

RECOVERY_S = 5.0
"""Seconds after a burst until programs should do as well as those before it."""


class Outcome(msgspec.Struct):
    """What the callers of a run received.

    Parameters
    ----------
    worth, urgent : float
        Worth earned as a share of the possible worth, by all programs and by the urgent ones.
    before, after : float
        The same for programs that began before the burst, and from `RECOVERY_S` after its end.
    read_again : float
        Prompt tokens read again as a share of all prompt tokens read.
    """

    worth: float
    before: float
    after: float
    read_again: float
    programs: int
    in_time: int
    late: int
    urgent: float = 0.0
    preempted: int = 0


class Program:
    """One program: sequential turns, each with the whole history."""

    def __init__(self, play: "Play", number: int, rng: random.Random) -> None:
        self.play = play
        sheet = play.sheet
        self.name = f"p{number}"
        self.rng = rng
        self.shared_prompt = rng.randrange(sheet.shared_prompts)
        self.entry = rng.randrange(sheet.entries)
        self.turns = max(1, round(rng.expovariate(1 / sheet.program.turns)))
        self.outputs = [
            max(sheet.engine.stride, int(rng.lognormvariate(0, 0.5) * sheet.program.output))
            for _ in range(self.turns)
        ]
        self.began_at = play.timeline.now
        self.rank = 0
        if sheet.urgent_share and rng.random() > sheet.urgent_share:
            self.rank = 1
        self.turn = 0
        self.tries = 0
        self.history = sheet.program.first_tokens
        self.holder: IncarnationName | None = None
        self.failed_at: IncarnationName | None = None
        self.ended_at: float | None = None

    @property
    def deadline_s(self) -> float:
        """Seconds within which the program should end."""
        sheet = self.play.sheet
        figures = sheet.engine
        idle_s = sum(self.outputs) * figures.step_s + sheet.pause_s * (self.turns - 1)
        new_tokens = sheet.program.first_tokens + sheet.program.later_tokens * (self.turns - 1)
        idle_s += new_tokens / figures.prefill_tokens_per_s + OVERHEAD_S * self.turns
        return sheet.deadline_factor * idle_s + sheet.deadline_slack_s

    @property
    def worth(self) -> float:
        """Worth that the program has earned, at most 1."""
        if self.ended_at is None:
            return 0.0
        seconds = self.ended_at - self.began_at
        if seconds <= self.deadline_s:
            return 1.0
        return self.play.sheet.late_share if seconds <= 2 * self.deadline_s else 0.0

    def next_turn(self) -> None:
        """Send the next turn, or schedule a retry if it is rejected."""
        play = self.play
        self.tries += 1
        if self.rng.random() > play.sheet.same_entry_share:
            self.entry = self.rng.randrange(play.sheet.entries)
        parts = [
            (f"shared-{self.shared_prompt}", play.sheet.program.shared_tokens),
            (self.name, self.history),
        ]
        history = History(self.holder, self.failed_at) if play.sheet.history_known else None
        request = f"{self.name}-{self.turn}-{self.tries}"
        is_first = self.turn == 0 and play.sheet.history_known
        turn_request = TurnRequest(request, self.name, tuple(parts), history, is_first, self.rank)
        policy = play.policies[self.entry]
        placement = policy.choose(turn_request)
        if isinstance(placement, Placement):
            InFlightTurn(self, policy, placement, parts)
        elif self.tries < MAX_TRIES * SENDS_PER_TRY:
            play.timeline.call_later(placement.retry_s, self.next_turn)

    def turn_ended(self, target: TargetId, is_complete: bool) -> None:
        """Continue after a turn: retry it, schedule the next one, or end the program."""
        play = self.play
        name = IncarnationName(target)
        self.failed_at = None if is_complete else name
        if not is_complete:
            if self.tries < MAX_TRIES * SENDS_PER_TRY:
                self.tries += SENDS_PER_TRY - 1
                play.timeline.call_later(0.25, self.next_turn)
            return
        self.tries = 0
        self.holder = name
        self.history += self.outputs[self.turn] + play.sheet.program.later_tokens
        self.turn += 1
        if self.turn == self.turns:
            self.ended_at = play.timeline.now
            return
        play.timeline.call_later(play.sheet.pause_s, self.next_turn)


class InFlightTurn:
    """One turn at an engine, as seen by the entry."""

    def __init__(
        self, program: Program, policy: Policy, placement: Placement, parts: list[tuple[str, int]]
    ) -> None:
        self.program = program
        self.policy = policy
        self.placement = placement
        self.timeline = program.play.timeline
        self.engine = program.play.engines[placement.target]
        self.sent_at = self.timeline.now
        self.first_s: float | None = None
        self.is_finished = False
        output = program.outputs[program.turn]
        self.job = Job(parts, output, program.rank, self.record_first_event, self.finish)
        self.timeline.call_later(OVERHEAD_S, lambda: self.engine.submit(self.job))
        self.timeline.call_later(program.play.sheet.first_event_timeout_s, self.time_out)

    def record_first_event(self) -> None:
        """Record the time of the first event."""
        self.first_s = self.timeline.now - self.sent_at

    def time_out(self) -> None:
        """End a turn without an event, and remove it from the engine."""
        if self.is_finished or self.first_s is not None:
            return
        self.engine.waiting = [item for item in self.engine.waiting if item[2] is not self.job]
        if self.job in self.engine.running:
            self.engine.running.remove(self.job)
        self.finish(False)

    def finish(self, is_complete: bool) -> None:
        """Report the end of the turn to the policy and the program."""
        if self.is_finished:
            return
        self.is_finished = True
        completed = None
        seconds = self.timeline.now - self.sent_at
        if is_complete and self.first_s is not None:
            events = -(-self.job.output // self.program.play.sheet.engine.stride)
            completed = CompletedTurn(0.0, 0, self.first_s, seconds, events)
        sheet = self.program.play.sheet
        stretch = self.engine.stretch if sheet.stretch != 1.0 else None
        load = LoadStamp(*self.engine.reported_load(), sheet.engine.slots, stretch)
        self.policy.record_end(self.placement, load, completed, self.engine.failing)
        self.program.turn_ended(self.placement.target, is_complete)


class Play:
    """One run of a sheet."""

    def __init__(self, sheet: Sheet, policy_factory: PolicyFactory, seed: int) -> None:
        self.sheet = sheet
        self.timeline = Timeline()
        self.rng = random.Random(seed)
        self.stretch_rng = random.Random(seed)
        targets = make_targets(sheet)
        seen_tokens: dict[str, int] = {}
        self.engines = {
            target.target: Engine(sheet.engine, self.timeline, seen_tokens)
            for target in targets.targets
        }
        self.policies = [
            policy_factory(sheet, ZoneId(f"z{number % sheet.zones}"), targets, self.timeline)
            for number in range(sheet.entries)
        ]
        self.programs: list[Program] = []

    def run(self) -> Outcome:
        """Run the sheet to its end."""
        sheet = self.sheet
        self._schedule_programs()
        self._set_speeds()
        if sheet.stretch != 1.0:
            self._stretch()
        if sheet.exchange_s:
            self._exchange()
        names = sorted(self.engines)
        for name in names[: sheet.slow]:
            self.timeline.call_later(sheet.seconds / 2, lambda name=name: self._slow(name))
        for name in names[sheet.slow : sheet.slow + sheet.lost]:
            self.timeline.call_later(sheet.seconds / 2, self.engines[name].crash)
        for name in names[len(names) - sheet.failing :]:
            self.timeline.call_later(sheet.seconds / 2, lambda name=name: self._fail(name, True))
            end_s = sheet.seconds / 2 + FAILING_S
            self.timeline.call_later(end_s, lambda name=name: self._fail(name, False))
        self.timeline.run(3 * sheet.seconds)
        return self._outcome()

    def _set_speeds(self) -> None:
        engines = list(self.engines.values())
        slower = round(len(engines) * self.sheet.slower_share)
        for index, engine in enumerate(engines):
            engine.slowdown = 1 / (self.sheet.slower if index < slower else self.sheet.fast)

    def _stretch(self) -> None:
        """Draw which engines are stretched, again and again."""
        for engine in self.engines.values():
            stretched = self.stretch_rng.random() < self.sheet.stretch_share
            engine.stretch = self.sheet.stretch if stretched else 1.0
        self.timeline.call_later(self.sheet.stretch_s, self._stretch)

    def _exchange(self) -> None:
        """Let the entries exchange their loads."""
        exchange(self.policies, self.timeline.now)
        self.timeline.call_later(self.sheet.exchange_s, self._exchange)

    def _fail(self, name: TargetId, failing: bool) -> None:
        self.engines[name].failing = failing

    def _slow(self, name: TargetId) -> None:
        self.engines[name].slowdown = 3.0

    def _schedule_programs(self) -> None:
        at_s = 0.0
        number = 0
        while at_s < self.sheet.seconds:
            burst = self.sheet.burst
            factor = 1.0
            if burst and burst.at_s <= at_s < burst.at_s + burst.duration_s:
                factor = burst.factor
            at_s += self.rng.expovariate(self.sheet.program.arrivals_per_s * factor)
            rng = random.Random(self.rng.random())
            self.timeline.call_later(at_s, lambda number=number, rng=rng: self._begin(number, rng))
            number += 1

    def _begin(self, number: int, rng: random.Random) -> None:
        program = Program(self, number, rng)
        self.programs.append(program)
        program.next_turn()

    def _outcome(self) -> Outcome:
        burst = self.sheet.burst
        burst_start_s = burst.at_s if burst else self.sheet.seconds
        recovered_at_s = burst.at_s + burst.duration_s + RECOVERY_S if burst else self.sheet.seconds
        read = sum(engine.read for engine in self.engines.values())
        read_again = sum(engine.read_again for engine in self.engines.values())
        return Outcome(
            _mean(self.programs),
            _mean([program for program in self.programs if program.began_at < burst_start_s]),
            _mean([program for program in self.programs if program.began_at >= recovered_at_s]),
            read_again / max(1, read),
            len(self.programs),
            sum(program.worth == 1.0 for program in self.programs),
            sum(0.0 < program.worth < 1.0 for program in self.programs),
            _mean([program for program in self.programs if program.rank == 0]),
            sum(engine.preempted for engine in self.engines.values()),
        )


def _mean(programs: list[Program]) -> float:
    return sum(program.worth for program in programs) / max(1, len(programs))


def play(sheet: Sheet, policy_factory: PolicyFactory, seed: int) -> Outcome:
    """Run a sheet once."""
    return Play(sheet, policy_factory, seed).run()


__all__ = ["Outcome", "play"]
