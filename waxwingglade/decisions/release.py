"""Cache that programs hold on targets, and its release when they end.

A release is sent until the target acknowledges it.  Whatever is missed, such as a program whose
end this entry never saw, is found by `sweep` and by the bound on idle cache.
"""

from collections.abc import Container

from waxwingglade.base import Clock, ProgramId, TargetId
from waxwingglade.decisions.work import Holding
from waxwingglade.settings.decisions import DecisionSettings


class ReleaseTracker:
    """Which targets may hold cache of which programs, and which releases are unacknowledged."""

    def __init__(self, settings: DecisionSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.targets_of: dict[ProgramId, set[TargetId]] = {}
        self.used_at: dict[ProgramId, float] = {}
        self.pending: dict[Holding, float] = {}

    def record_sent(self, program: ProgramId, target: TargetId) -> None:
        """Remember that `target` may hold cache of `program` from now on."""
        self.targets_of.setdefault(program, set()).add(target)
        self.used_at[program] = self.clock()
        self.pending.pop(Holding(program, target), None)

    def release(self, program: ProgramId) -> list[Holding]:
        """Return the releases to send now that `program` ended or lets its cache go."""
        self.used_at.pop(program, None)
        holdings = [Holding(program, target) for target in self.targets_of.pop(program, ())]
        due_at = self.clock() + self.settings.release_retry_s
        for holding in holdings:
            self.pending[holding] = due_at
        return holdings

    def acknowledge(self, holding: Holding) -> None:
        """Note that the target has dropped the cache."""
        self.pending.pop(holding, None)

    def forget_target(self, target: TargetId) -> None:
        """Drop what concerns a target that is gone; its cache went with it."""
        for holding in [holding for holding in self.pending if holding.target == target]:
            del self.pending[holding]
        for targets in self.targets_of.values():
            targets.discard(target)

    def due(self) -> list[Holding]:
        """Return the releases to send again, because no acknowledgement came in time."""
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
