"""Play a sheet's programs under a policy, and tell what their callers got."""

import random

import msgspec

from bench.turns.clock import Timeline
from bench.turns.engine import Engine, Job
from bench.turns.policies import Asked, Maker, Policy, Sent, targets_of
from bench.turns.sheet import Sheet
from waxwingglade.base import TargetId, ZoneId
from waxwingglade.decisions.engine_speed import CompletedTurn
from waxwingglade.follow.model import IncarnationName
from waxwingglade.ingress.balance import History

TRIES = 3
"""How often a turn is sent before its program fails."""

WAY_S = 0.03
"""Seconds that a turn takes beyond the engine: the network and the ledger."""

SENDINGS = 2
"""How often a caller sends one try of a turn that is refused as not run."""

FAILING_S = 5.4
"""Seconds for which engines answer errors, where some do."""

AFTER_BURST_S = 5.0
"""Seconds after a burst from which programs should end as those before it."""


class Outcome(msgspec.Struct):
    """What the callers of a run got.

    Parameters
    ----------
    worth, urgent : float
        Worth earned as a share of that asked for, by all programs and by the urgent ones.
    before, after : float
        The same, of the programs that began before the burst, and from five seconds after it.
    read_again : float
        Prompt tokens read again as a share of all that was read.
    """

    worth: float
    before: float
    after: float
    read_again: float
    programs: int
    in_time: int
    late: int
    urgent: float = 0.0


class Program:
    """One program: turns one after the other, each with its whole history."""

    def __init__(self, play: "Play", number: int, draw: random.Random) -> None:
        self.play = play
        sheet = play.sheet
        self.name = f"p{number}"
        self.draw = draw
        self.kind = draw.randrange(sheet.kinds)
        self.entry = draw.randrange(sheet.entries)
        self.turns = max(1, round(draw.expovariate(1 / sheet.program.turns)))
        self.outputs = [
            max(sheet.engine.stride, int(draw.lognormvariate(0, 0.5) * sheet.program.output))
            for _ in range(self.turns)
        ]
        self.began_at = play.timeline.now
        self.rank = 0
        if sheet.urgent_share and draw.random() > sheet.urgent_share:
            self.rank = 1
        self.turn = 0
        self.tries = 0
        self.history = sheet.program.first
        self.holder: IncarnationName | None = None
        self.failed_at: IncarnationName | None = None
        self.ended_at: float | None = None

    @property
    def aim_s(self) -> float:
        """Seconds within which the program is to end."""
        sheet = self.play.sheet
        figures = sheet.engine
        idle_s = sum(self.outputs) * figures.step_s + sheet.pause_s * (self.turns - 1)
        fresh = sheet.program.first + sheet.program.later * (self.turns - 1)
        idle_s += fresh / figures.read_per_s + WAY_S * self.turns
        return sheet.patience * idle_s + sheet.slack_s

    @property
    def worth(self) -> float:
        """What the program has earned, at most 1."""
        if self.ended_at is None:
            return 0.0
        seconds = self.ended_at - self.began_at
        if seconds <= self.aim_s:
            return 1.0
        return self.play.sheet.late_share if seconds <= 2 * self.aim_s else 0.0

    def next_turn(self) -> None:
        """Send the next turn."""
        play = self.play
        self.tries += 1
        if self.draw.random() > play.sheet.stays:
            self.entry = self.draw.randrange(play.sheet.entries)
        parts = [
            (f"shared-{self.kind}", play.sheet.program.shared),
            (self.name, self.history),
        ]
        history = History(self.holder, self.failed_at) if play.sheet.knows_holder else None
        request = f"{self.name}-{self.turn}-{self.tries}"
        is_first = self.turn == 0 and play.sheet.knows_holder
        asked = Asked(request, self.name, tuple(parts), history, is_first, self.rank)
        policy = play.policies[self.entry]
        sent = policy.choose(asked)
        if isinstance(sent, Sent):
            Sending(self, policy, sent, parts)
        elif self.tries < TRIES * SENDINGS:
            play.timeline.after(sent.retry_s, self.next_turn)

    def turn_ended(self, target: TargetId, whole: bool) -> None:
        """Go on after a turn."""
        play = self.play
        name = IncarnationName(target)
        self.failed_at = None if whole else name
        if not whole:
            if self.tries < TRIES * SENDINGS:
                self.tries += SENDINGS - 1
                play.timeline.after(0.25, self.next_turn)
            return
        self.tries = 0
        self.holder = name
        self.history += self.outputs[self.turn] + play.sheet.program.later
        self.turn += 1
        if self.turn == self.turns:
            self.ended_at = play.timeline.now
            return
        play.timeline.after(play.sheet.pause_s, self.next_turn)


class Sending:
    """One turn at an engine, from the entry's side."""

    def __init__(
        self, program: Program, policy: Policy, sent: Sent, parts: list[tuple[str, int]]
    ) -> None:
        self.program = program
        self.policy = policy
        self.sent = sent
        self.timeline = program.play.timeline
        self.engine = program.play.engines[sent.target]
        self.sent_at = self.timeline.now
        self.first_s: float | None = None
        self.over = False
        output = program.outputs[program.turn]
        self.job = Job(parts, output, program.rank, self.began, self.ended)
        self.timeline.after(WAY_S, lambda: self.engine.submit(self.job))
        self.timeline.after(program.play.sheet.give_up_s, self.give_up)

    def began(self) -> None:
        """Note the first event."""
        self.first_s = self.timeline.now - self.sent_at

    def give_up(self) -> None:
        """End a turn without an event; the engine drops it."""
        if self.over or self.first_s is not None:
            return
        self.engine.waiting = [item for item in self.engine.waiting if item[2] is not self.job]
        if self.job in self.engine.running:
            self.engine.running.remove(self.job)
        self.ended(False)

    def ended(self, whole: bool) -> None:
        """Tell the policy and the program."""
        if self.over:
            return
        self.over = True
        took = None
        seconds = self.timeline.now - self.sent_at
        if whole and self.first_s is not None:
            events = -(-self.job.output // self.program.play.sheet.engine.stride)
            took = CompletedTurn(0.0, 0, self.first_s, seconds, events)
        self.policy.ended(self.sent, self.engine.reported(), took, self.engine.failing)
        self.program.turn_ended(self.sent.target, whole)


class Play:
    """A run of a sheet."""

    def __init__(self, sheet: Sheet, maker: Maker, seed: int) -> None:
        self.sheet = sheet
        self.timeline = Timeline()
        self.draw = random.Random(seed)
        targets = targets_of(sheet)
        known: dict[str, int] = {}
        self.engines = {
            target.target: Engine(sheet.engine, self.timeline, known) for target in targets.targets
        }
        self.policies = [
            maker(sheet, ZoneId(f"z{number % sheet.zones}"), targets, self.timeline)
            for number in range(sheet.entries)
        ]
        self.programs: list[Program] = []

    def run(self) -> Outcome:
        """Play the sheet to its end."""
        sheet = self.sheet
        self._schedule_programs()
        names = sorted(self.engines)
        for name in names[: sheet.slow]:
            self.timeline.after(sheet.seconds / 2, lambda name=name: self._slow(name))
        for name in names[sheet.slow : sheet.slow + sheet.lost]:
            self.timeline.after(sheet.seconds / 2, self.engines[name].lose)
        for name in names[len(names) - sheet.failing :]:
            self.timeline.after(sheet.seconds / 2, lambda name=name: self._fail(name, True))
            end_s = sheet.seconds / 2 + FAILING_S
            self.timeline.after(end_s, lambda name=name: self._fail(name, False))
        self.timeline.run(3 * sheet.seconds)
        return self._outcome()

    def _fail(self, name: TargetId, failing: bool) -> None:
        self.engines[name].failing = failing

    def _slow(self, name: TargetId) -> None:
        self.engines[name].slowness = 3.0

    def _schedule_programs(self) -> None:
        at_s = 0.0
        number = 0
        while at_s < self.sheet.seconds:
            burst = self.sheet.burst
            times = 1.0
            if burst and burst.at_s <= at_s < burst.at_s + burst.for_s:
                times = burst.times
            at_s += self.draw.expovariate(self.sheet.program.per_s * times)
            draw = random.Random(self.draw.random())
            self.timeline.after(at_s, lambda number=number, draw=draw: self._begin(number, draw))
            number += 1

    def _begin(self, number: int, draw: random.Random) -> None:
        program = Program(self, number, draw)
        self.programs.append(program)
        program.next_turn()

    def _outcome(self) -> Outcome:
        burst = self.sheet.burst
        begins = burst.at_s if burst else self.sheet.seconds
        over = burst.at_s + burst.for_s + AFTER_BURST_S if burst else self.sheet.seconds
        read = sum(engine.read for engine in self.engines.values())
        again = sum(engine.read_again for engine in self.engines.values())
        return Outcome(
            _mean(self.programs),
            _mean([program for program in self.programs if program.began_at < begins]),
            _mean([program for program in self.programs if program.began_at >= over]),
            again / max(1, read),
            len(self.programs),
            sum(program.worth == 1.0 for program in self.programs),
            sum(0.0 < program.worth < 1.0 for program in self.programs),
            _mean([program for program in self.programs if program.rank == 0]),
        )


def _mean(programs: list[Program]) -> float:
    return sum(program.worth for program in programs) / max(1, len(programs))


def play(sheet: Sheet, maker: Maker, seed: int) -> Outcome:
    """Play a sheet once."""
    return Play(sheet, maker, seed).run()


__all__ = ["Outcome", "play"]
