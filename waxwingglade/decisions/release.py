"""Tracks which targets cache which programs, and releases this cache when the programs end.

A release is resent until the target acknowledges it.  `sweep` and the bound on idle cache find any
missed release, for example of a program whose end this entry did not observe.
"""

from collections.abc import Container

from waxwingglade.base import Clock, ProgramId, TargetId
from waxwingglade.decisions.work import Holding
from waxwingglade.settings.decisions import DecisionSettings


class ReleaseTracker:
    """Targets that may have cache of each program, and releases without an acknowledgement."""

    def __init__(self, settings: DecisionSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.targets_of: dict[ProgramId, set[TargetId]] = {}
        self.used_at: dict[ProgramId, float] = {}
        self.pending: dict[Holding, float] = {}

    def record_sent(self, program: ProgramId, target: TargetId) -> None:
        """Record that `target` may have cache of `program` from now on."""
        self.targets_of.setdefault(program, set()).add(target)
        self.used_at[program] = self.clock()
        self.pending.pop(Holding(program, target), None)

    def release(self, program: ProgramId) -> list[Holding]:
        """Return the releases to send when `program` has ended or gives up its cache."""
        self.used_at.pop(program, None)
        holdings = [Holding(program, target) for target in self.targets_of.pop(program, ())]
        due_at = self.clock() + self.settings.release_retry_s
        for holding in holdings:
            self.pending[holding] = due_at
        return holdings

    def acknowledge(self, holding: Holding) -> None:
        """Record that the target has released the cache."""
        self.pending.pop(holding, None)

    def forget_target(self, target: TargetId) -> None:
        """Delete all records of a removed target, whose cache no longer exists."""
        for holding in [holding for holding in self.pending if holding.target == target]:
            del self.pending[holding]
        for targets in self.targets_of.values():
            targets.discard(target)

    def due(self) -> list[Holding]:
        """Return the releases to resend because no acknowledgement arrived in time."""
        now = self.clock()
        again = [holding for holding, due_at in self.pending.items() if due_at <= now]
        for holding in again:
            self.pending[holding] = now + self.settings.release_retry_s
        return again

    def sweep(self, live: Container[ProgramId]) -> list[Holding]:
        """Return releases for programs that are not live or have been idle for too long."""
        before = self.clock() - self.settings.hold_max_s
        found = [
            program
            for program, used_at in self.used_at.items()
            if used_at <= before or program not in live
        ]
        return [holding for program in found for holding in self.release(program)]
