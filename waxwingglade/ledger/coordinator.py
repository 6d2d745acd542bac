"""Coordinate the replicas: begin and end turns on behalf of entries."""

import asyncio
from collections.abc import Callable

import msgspec
from loguru import logger

from waxwingglade.base import Clock, monotonic, wall
from waxwingglade.base.tasks import run_detached
from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.ledger.account import Reservation, committed, confirm, settle
from waxwingglade.ledger.accounts import Accounts
from waxwingglade.ledger.confirmations import Confirmations, disk_of
from waxwingglade.ledger.messages import (
    NEW_ACCOUNT,
    Account,
    BeginTurn,
    BudgetSpent,
    ConfirmTurn,
    EndNoted,
    EndTurn,
    NoSuchTurn,
    NoteEnd,
    Turn,
    TurnBegun,
    TurnConfirmed,
    TurnEnded,
    Unavailable,
)
from waxwingglade.ledger.reservations import Judgement, Reservations
from waxwingglade.ledger.rounds import HEDGE_S, Ask, NoMajority, Rounds
from waxwingglade.ledger.turns import Turns
from waxwingglade.ledger.unsettled import UnsettledEnds

DECIDE_S = 0.9
"""Seconds after which a change that found no majority is given up."""

KEEP_S = 1.2
"""Seconds for which copies of a turn are tried."""

SETTLE_S = 0.1
"""Seconds that the answer to a turn that is kept waits for its settlement, too."""

SLOW_S = 0.2
"""Seconds from which on the end of a turn is logged with what held it up."""


class Coordinator:
    """Makes changes to the ledger on behalf of entries.

    Parameters
    ----------
    own : Member
        The replica in this process; asking it costs no message.
    members : callable
        The present set of members.
    ask : callable
        Sends a request to a member and returns the answer; raises `WaxwinggladeError` if none.
    observe_replicas : callable
        Called with a set of members that some replica knows.
    wall_clock : Clock
        Calendar time in seconds.
    confirmations : Confirmations
        Turns that this process has begun, those of its replica.
    unsettled : UnsettledEnds or None
        Ends of turns that this process was told of, those of its replica; None for new ones.
    """

    def __init__(
        self,
        own: Member,
        members: Callable[[], ReplicaSet],
        ask: Ask,
        observe_replicas: Callable[[ReplicaSet], None],
        confirmations: Confirmations,
        wall_clock: Clock = wall,
        unsettled: UnsettledEnds | None = None,
    ) -> None:
        self.own = own
        self.confirmations = confirmations
        self.unsettled = UnsettledEnds() if unsettled is None else unsettled
        self.rounds = Rounds(own, members, ask, observe_replicas)
        self.turns = Turns(self.rounds)
        self.accounts = Accounts(self.rounds, self.unsettled, confirmations, wall_clock)
        self.reservations = Reservations(self.accounts, wall_clock)
        self.wall_clock = wall_clock

    # For entries

    async def begin(self, message: BeginTurn) -> TurnBegun | BudgetSpent | NoSuchTurn | Unavailable:
        """Reserve a turn's tokens and look up the chain before it."""
        chain: tuple[Turn, ...] = ()
        try:
            async with asyncio.timeout(DECIDE_S):
                if message.previous is not None:
                    found = await self.turns.find(message.previous)
                    if found is None or not found[-1].belongs_to(message.client):
                        return NoSuchTurn()
                    chain = found
                reserved = await self._reserve(message)
        except (NoMajority, TimeoutError) as error:
            self._log_failure("turn not begun", message, error)
            return Unavailable(_reason(error))
        if not isinstance(reserved, Judgement):
            return reserved
        account, granter = reserved.account, reserved.granter
        return TurnBegun(chain, account.target, account.failed_at, disk_of(granter))

    async def _reserve(self, message: BeginTurn) -> Judgement | BudgetSpent | Unavailable:
        """Reserve a turn's tokens, where it has a budget."""
        if message.program is None:
            return Judgement(Reservation.GRANTED, NEW_ACCOUNT, "")
        judgement = await self.reservations.reserve(message, message.program)
        if judgement.outcome is Reservation.GRANTED:
            return judgement
        if judgement.outcome is Reservation.ENDED:
            return Unavailable("the turn has ended")
        account = judgement.account
        logger.bind(
            turn=message.turn,
            program=message.program,
            budget=message.budget,
            most_tokens=message.most_tokens,
            spent=account.spent,
            reserved=committed(account) - account.spent,
        ).info("budget spent")
        return BudgetSpent(account.spent, committed(account) - account.spent)

    async def confirm(self, message: ConfirmTurn) -> TurnConfirmed | NoSuchTurn | Unavailable:
        """Make a turn's reservation count until the turn ends, whatever becomes of its entry.

        The process that began the turn writes that down; for another one, or after it has lapsed
        there, the account has to show it.
        """
        if await self.confirmations.confirm(message.program, message.turn):
            return TurnConfirmed()

        def change(account: Account) -> tuple[Account, bool]:
            return confirm(account, message.turn, self.wall_clock())

        try:
            async with asyncio.timeout(DECIDE_S):
                confirmed = await self.accounts.change(message.program, change)
        except (NoMajority, TimeoutError) as error:
            self._log_failure("turn not confirmed", message, error)
            return Unavailable(_reason(error))
        return TurnConfirmed() if confirmed else NoSuchTurn()

    async def end(self, message: EndTurn) -> TurnEnded:
        """Keep a turn and settle its reservation, as far as majorities answer.

        A caller waits for its turn to be kept, and not for its program's account, which other
        turns may hold up: the settlement then goes on after the answer.
        """
        began_at = monotonic()
        settling = run_detached(self._settle(message))
        kept = await self._keep(message)
        kept_s = monotonic() - began_at
        await asyncio.wait({settling}, timeout=SETTLE_S if message.kept is not None else None)
        if message.kept is not None and not _is_settled(settling):
            await self._have_noted(message)
        settled = _is_settled(settling)
        seconds = monotonic() - began_at
        if message.kept is not None and (seconds >= SLOW_S or not settled):
            logger.bind(
                turn=message.turn,
                program=message.program,
                kept=kept,
                kept_s=round(kept_s, 3),
                settled=settled,
                settled_s=round(seconds, 3),
            ).info("turn slow to end")
        return TurnEnded(kept, settled)

    async def _have_noted(self, message: EndTurn) -> None:
        """Have a majority note the end of a turn that is told before it is settled.

        The settlement would otherwise be lost with this process and the entry, and its tokens would
        count as spent.
        """
        members = list(self.rounds.members().members)
        note = NoteEnd(msgspec.structs.replace(message, kept=None))
        try:
            async with asyncio.timeout(HEDGE_S):
                await self.rounds.majority(members, len(members), note, EndNoted)
        except (NoMajority, TimeoutError) as error:
            self._log_failure("end of a turn not noted", message, error)

    async def _keep(self, message: EndTurn) -> bool:
        if message.kept is None:
            return True
        try:
            async with asyncio.timeout(KEEP_S):
                await self.turns.copy(message.kept)
        except (NoMajority, TimeoutError) as error:
            self._log_failure("turn not kept", message, error)
            return False
        return True

    async def _settle(self, message: EndTurn) -> bool:
        if message.program is None:
            return True

        def change(account: Account) -> tuple[Account, None]:
            return settle(account, message, self.wall_clock()), None

        # Should this fail, whatever changes the account next settles the turn.
        self.unsettled.add(message)
        try:
            async with asyncio.timeout(DECIDE_S):
                await self.accounts.change(message.program, change)
        except (NoMajority, TimeoutError) as error:
            self._log_failure("turn not settled", message, error)
            end = msgspec.structs.replace(message, kept=None)
            await self.rounds.ask_one(self.own, NoteEnd(end))
            return False
        return True

    def _log_failure(
        self,
        event: str,
        message: BeginTurn | ConfirmTurn | EndTurn,
        error: NoMajority | TimeoutError,
    ) -> None:
        """Log a turn on which no majority agreed, and the members as they are known here."""
        silent = error.unresponsive if isinstance(error, NoMajority) else ()
        replicas = self.rounds.members()
        logger.bind(
            turn=message.turn,
            program=message.program,
            reason=_reason(error),
            silent=[member.vm for member in silent],
            epoch=replicas.epoch,
            settled=replicas.settled,
            joining=[member.vm for member in replicas.members if member.disk == replicas.joining],
        ).warning(event)


def _is_settled(settling: asyncio.Task[bool]) -> bool:
    """Return whether a settlement has come about by now."""
    return settling.done() and settling.result()


def _reason(error: NoMajority | TimeoutError) -> str:
    return str(error) or "no majority in time"


__all__ = ["Coordinator", "NoMajority"]
