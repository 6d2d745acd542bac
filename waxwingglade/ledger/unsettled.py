"""Ends of turns that a process was told of and that the accounts may not show yet."""

import msgspec

from waxwingglade.base import ProgramId
from waxwingglade.ledger.messages import Account, EndTurn, TurnId

MOST_PROGRAMS = 5_000
"""Programs whose ends are remembered, some 400 bytes each; there are ends to remember only while no
majority settles them, and the oldest give way."""


class UnsettledEnds:
    """Ends of turns by program, until a majority has accepted an account that shows them.

    Attributes
    ----------
    programs : dict
        Ends of each program's turns, the program that was added last at the end.
    """

    def __init__(self) -> None:
        self.programs: dict[ProgramId, dict[TurnId, EndTurn]] = {}

    def __len__(self) -> int:
        return sum(len(ends) for ends in self.programs.values())

    def add(self, end: EndTurn) -> bool:
        """Remember the end of a turn that has a budget; return whether it was not known."""
        if end.program is None:
            return False
        ends = self.programs.setdefault(end.program, {})
        if end.turn in ends:
            return False
        # The turn itself is kept by other messages and would only take memory here.
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

    def forget(self, program: ProgramId, account: Account) -> None:
        """Forget the ends that an account shows which a majority has accepted."""
        ends = self.programs.get(program)
        if ends is None:
            return
        for turn in [turn for turn in ends if turn in account.closed]:
            del ends[turn]
        if not ends:
            del self.programs[program]


__all__ = ["UnsettledEnds"]
