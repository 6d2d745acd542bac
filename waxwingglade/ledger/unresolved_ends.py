"""Ends of turns that a process has received and that the accounts may not include yet."""

import msgspec

from waxwingglade.base import ProgramId
from waxwingglade.ledger.messages import Account, EndTurn, TurnId

MOST_PROGRAMS = 5_000
"""Maximum number of programs whose ends are stored, at about 400 bytes each.  Ends are stored only
until a majority resolves the reservations.  Beyond the maximum, the oldest program is evicted."""


class UnresolvedEnds:
    """Ends of turns by program, until a majority has accepted an account that includes them.

    Attributes
    ----------
    programs : dict
        Ends of each program's turns, with programs in the order in which they were added.
    """

    def __init__(self) -> None:
        self.programs: dict[ProgramId, dict[TurnId, EndTurn]] = {}

    def __len__(self) -> int:
        return sum(len(ends) for ends in self.programs.values())

    def add(self, end: EndTurn) -> bool:
        """Store the end of a turn that has a budget; return whether the end is new."""
        if end.program is None:
            return False
        ends = self.programs.setdefault(end.program, {})
        if end.turn in ends:
            return False
        # The turn itself is stored by other messages, and would only use memory here.
        ends[end.turn] = msgspec.structs.replace(end, kept=None)
        while len(self.programs) > MOST_PROGRAMS:
            del self.programs[next(iter(self.programs))]
        return True

    def of(self, program: ProgramId) -> tuple[EndTurn, ...]:
        """Return the ends of a program's turns."""
        return tuple(self.programs.get(program, {}).values())

    def all(self) -> list[EndTurn]:
        """Return all ends."""
        return [end for ends in self.programs.values() for end in ends.values()]

    def remove(self, program: ProgramId, account: Account) -> None:
        """Remove the ends that are included in an account that a majority has accepted."""
        ends = self.programs.get(program)
        if ends is None:
            return
        for turn in [turn for turn in ends if turn in account.closed]:
            del ends[turn]
        if not ends:
            del self.programs[program]


__all__ = ["UnresolvedEnds"]
