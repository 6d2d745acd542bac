"""Confirmation state of the turns that this process has begun."""

import secrets
from collections.abc import Awaitable, Callable, Iterable, Iterator

from waxwingglade.base import Clock, ProgramId, monotonic
from waxwingglade.ledger.messages import Account, TurnId

CONFIRM_TIMEOUT_S = 0.5
"""Seconds for which a turn that has begun may be confirmed here; entries usually confirm it within
about 5 ms."""

Write = Callable[[ProgramId, TurnId], Awaitable[object]]
"""Function that makes a confirmation durable on the disk."""


class Confirmations:
    """Confirmation state of the turns that one incarnation of a process has begun.

    Once a turn is reported as expired, it is never confirmed here, so that the receiver of the
    report may end the turn.  The confirmations of earlier incarnations are read from the disk; the
    turns that these have begun but not confirmed are expired.

    Parameters
    ----------
    disk : str
        Name of the disk's content.
    write : callable
        Makes a confirmation durable.
    clock : Clock
        Monotonic seconds.

    Attributes
    ----------
    incarnation : str
        Name of this incarnation, which begins with the name of the disk.
    confirmable_until : dict
        Monotonic time until which each turn may be confirmed, by program; infinite while the turn
        is being begun.
    confirmed : dict
        Turns that are confirmed, by program, including those confirmed by earlier incarnations.
    expired : dict
        Turns that were reported as expired, by program.
    """

    def __init__(self, disk: str, write: Write, clock: Clock = monotonic) -> None:
        self.incarnation = f"{disk}:{secrets.token_hex(4)}"
        self.write = write
        self.clock = clock
        self.confirmable_until: dict[ProgramId, dict[TurnId, float]] = {}
        self.confirmed: dict[ProgramId, set[TurnId]] = {}
        self.expired: dict[ProgramId, set[TurnId]] = {}

    def begin(self, program: ProgramId, turn: TurnId) -> bool:
        """Record that a turn is being begun; return False if it is recorded or expired already."""
        if turn in self.expired.get(program, ()) or turn in self.confirmable_until.get(program, ()):
            return False
        self.confirmable_until.setdefault(program, {})[turn] = float("inf")
        return True

    def record_begun(self, program: ProgramId, turn: TurnId) -> None:
        """Record that a turn has begun and may be confirmed from now on."""
        # The program may have been removed meanwhile, if its account is old.
        self.confirmable_until.setdefault(program, {})[turn] = self.clock() + CONFIRM_TIMEOUT_S

    def record_not_begun(self, program: ProgramId, turn: TurnId) -> None:
        """Record that a turn can't be confirmed here any more, or has not begun here."""
        turns = self.confirmable_until.get(program, {})
        turns.pop(turn, None)
        if not turns:
            self.confirmable_until.pop(program, None)

    async def confirm(self, program: ProgramId, turn: TurnId) -> bool:
        """Make a turn's confirmation durable; return whether the turn may be confirmed here."""
        until = self.confirmable_until.get(program, {}).get(turn, float("-inf"))
        if until == float("inf") or until <= self.clock():
            return False
        # Marked as confirmed before the write, so that the turn does not expire during the write.
        self.confirmed.setdefault(program, set()).add(turn)
        self.record_not_begun(program, turn)
        await self.write(program, turn)
        return True

    def classify(
        self, program: ProgramId, turns: Iterable[TurnId]
    ) -> tuple[tuple[TurnId, ...], tuple[TurnId, ...]]:
        """Return the confirmed and the expired turns among `turns`; all others are undecided."""
        now = self.clock()
        beginning = self.confirmable_until.get(program, {})
        confirmed = self.confirmed.get(program, set())
        known = tuple(turn for turn in turns if turn in confirmed)
        expired = tuple(
            turn
            for turn in turns
            if turn not in confirmed and beginning.get(turn, float("-inf")) <= now
        )
        if expired:
            self.expired.setdefault(program, set()).update(expired)
        return known, expired

    def all_confirmed(self) -> Iterator[tuple[ProgramId, TurnId]]:
        """Yield every confirmed turn with its program."""
        for program, turns in self.confirmed.items():
            for turn in turns:
                yield program, turn

    def remove_ended(self, program: ProgramId, account: Account) -> None:
        """Remove the turns that have ended according to an account that a majority accepted."""
        for turn in set(self.confirmable_until.get(program, ())).intersection(account.closed):
            self.record_not_begun(program, turn)
        for known in (self.confirmed, self.expired):
            turns = known.get(program)
            if turns is None:
                continue
            turns.difference_update(account.closed)
            if not turns:
                del known[program]

    def remove(self, program: ProgramId) -> None:
        """Remove a program whose account is removed."""
        for known in (self.confirmed, self.expired, self.confirmable_until):
            known.pop(program, None)


def disk_of(incarnation: str) -> str:
    """Return the name of the disk of an incarnation of a process."""
    return incarnation.partition(":")[0]


__all__ = ["CONFIRM_TIMEOUT_S", "Confirmations", "disk_of"]
