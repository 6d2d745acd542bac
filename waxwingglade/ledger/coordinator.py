"""Begins and ends turns on behalf of entries, by requests to the replicas."""

import asyncio
from collections.abc import Callable

import msgspec
from loguru import logger

from waxwingglade.base import Clock, monotonic, wall
from waxwingglade.base.tasks import run_detached
from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.ledger.account import Reservation, committed, confirm, resolve_reservation
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
from waxwingglade.ledger.reservations import ReservationResult, Reservations
from waxwingglade.ledger.rounds import HEDGE_S, Ask, NoMajority, Rounds
from waxwingglade.ledger.turns import Turns
from waxwingglade.ledger.unresolved_ends import UnresolvedEnds

DECISION_TIMEOUT_S = 0.9
"""Timeout in seconds of a change that finds no majority."""

STORE_TIMEOUT_S = 1.2
"""Timeout in seconds for storing a turn at a majority."""

RESOLVE_WAIT_S = 0.1
"""Seconds for which the answer to the end of a stored turn waits until its reservation is
resolved."""

ITERATIONS_TO_PROPOSE = 2
"""Iterations of the event loop between the begin of a change of an account and its proposal."""

SLOW_END_S = 0.2
"""Duration in seconds from which the end of a turn is logged as slow, with its steps."""


class Coordinator:
    """Makes changes to the ledger on behalf of entries.

    Parameters
    ----------
    own : Member
        The replica in this process; a request to it needs no message.
    members : callable
        Returns the current set of members.
    ask : callable
        Sends a request to a member and returns the answer; raises `WaxwinggladeError` without one.
    observe_replicas : callable
        Called with the set of members of a replica that refused a request under another one.
    wall_clock : Clock
        Calendar time in seconds.
    confirmations : Confirmations
        Turns that this process has begun; the object of its replica.
    unresolved_ends : UnresolvedEnds or None
        Ends of turns reported to this process; the object of its replica, or None for a new one.
    """

    def __init__(
        self,
        own: Member,
        members: Callable[[], ReplicaSet],
        ask: Ask,
        observe_replicas: Callable[[ReplicaSet], None],
        confirmations: Confirmations,
        wall_clock: Clock = wall,
        unresolved_ends: UnresolvedEnds | None = None,
    ) -> None:
        self.own = own
        self.confirmations = confirmations
        self.unresolved_ends = UnresolvedEnds() if unresolved_ends is None else unresolved_ends
        self.rounds = Rounds(own, members, ask, observe_replicas)
        self.turns = Turns(self.rounds)
        self.accounts = Accounts(self.rounds, self.unresolved_ends, confirmations, wall_clock)
        self.reservations = Reservations(self.accounts, wall_clock)
        self.wall_clock = wall_clock

    # For entries

    async def begin(self, message: BeginTurn) -> TurnBegun | BudgetSpent | NoSuchTurn | Unavailable:
        """Reserve the tokens of a turn and find the chain that it continues."""
        chain: tuple[Turn, ...] = ()
        try:
            async with asyncio.timeout(DECISION_TIMEOUT_S):
                if message.previous is not None:
                    found = await self.turns.find(message.previous)
                    if found is None or not found[-1].belongs_to(message.client):
                        return NoSuchTurn()
                    chain = found
                reserved = await self._reserve(message)
        except (NoMajority, TimeoutError) as error:
            self._log_failure("turn not begun", message, error)
            return Unavailable(_reason(error))
        if not isinstance(reserved, ReservationResult):
            return reserved
        account, granter = reserved.account, reserved.granter
        return TurnBegun(chain, account.target, account.failed_at, disk_of(granter))

    async def _reserve(self, message: BeginTurn) -> ReservationResult | BudgetSpent | Unavailable:
        """Reserve the tokens of a turn, if its program has a budget."""
        if message.program is None:
            return ReservationResult(Reservation.GRANTED, NEW_ACCOUNT, "")
        result = await self.reservations.reserve(message, message.program)
        if result.outcome is Reservation.GRANTED:
            return result
        if result.outcome is Reservation.ENDED:
            return Unavailable("the turn has ended")
        account = result.account
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
        """Make the reservation of a turn count until the turn ends, even if its entry fails.

        The process that began the turn records the confirmation.  Another process, or the same one
        after the reservation has expired there, must change the account.
        """
        if await self.confirmations.confirm(message.program, message.turn):
            return TurnConfirmed()

        def change(account: Account) -> tuple[Account, bool]:
            return confirm(account, message.turn, self.wall_clock())

        try:
            async with asyncio.timeout(DECISION_TIMEOUT_S):
                confirmed = await self.accounts.change(message.program, change)
        except (NoMajority, TimeoutError) as error:
            self._log_failure("turn not confirmed", message, error)
            return Unavailable(_reason(error))
        return TurnConfirmed() if confirmed else NoSuchTurn()

    async def end(self, message: EndTurn) -> TurnEnded:
        """Store a turn and resolve its reservation, as far as majorities answer.

        A caller waits until its turn is stored, but only `RESOLVE_WAIT_S` for the account of its
        program, which other turns may delay.  Resolving then continues after the answer.
        """
        began_at = monotonic()
        resolving = run_detached(self._resolve(message))
        # The change of the account is sent this much later.  Together with it, the turn takes one
        # message to each member and one flush there.
        for _ in range(ITERATIONS_TO_PROPOSE):
            await asyncio.sleep(0)
        stored = await self._store(message)
        stored_s = monotonic() - began_at
        await asyncio.wait(
            {resolving}, timeout=RESOLVE_WAIT_S if message.kept is not None else None
        )
        if message.kept is not None and not _is_resolved(resolving):
            await self._record_at_majority(message)
        resolved = _is_resolved(resolving)
        seconds = monotonic() - began_at
        if message.kept is not None and (seconds >= SLOW_END_S or not resolved):
            logger.bind(
                turn=message.turn,
                program=message.program,
                kept=stored,
                kept_s=round(stored_s, 3),
                settled=resolved,
                settled_s=round(seconds, 3),
            ).info("turn slow to end")
        return TurnEnded(stored, resolved)

    async def _record_at_majority(self, message: EndTurn) -> None:
        """Record at a majority the end of a turn that is answered before it is resolved.

        If this process and the entry fail, the end would otherwise be lost, and all reserved tokens
        would count as spent.
        """
        members = list(self.rounds.members().members)
        note = NoteEnd(msgspec.structs.replace(message, kept=None))
        try:
            async with asyncio.timeout(HEDGE_S):
                await self.rounds.majority(members, len(members), note, EndNoted)
        except (NoMajority, TimeoutError) as error:
            self._log_failure("end of a turn not recorded", message, error)

    async def _store(self, message: EndTurn) -> bool:
        if message.kept is None:
            return True
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                await self.turns.store(message.kept)
        except (NoMajority, TimeoutError) as error:
            self._log_failure("turn not kept", message, error)
            return False
        return True

    async def _resolve(self, message: EndTurn) -> bool:
        if message.program is None:
            return True

        def change(account: Account) -> tuple[Account, None]:
            return resolve_reservation(account, message, self.wall_clock()), None

        # If this fails, the next change of the account resolves the turn.
        self.unresolved_ends.add(message)
        try:
            async with asyncio.timeout(DECISION_TIMEOUT_S):
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
        """Log a failure to reach a majority for a turn, with the set of members known here."""
        unresponsive = error.unresponsive if isinstance(error, NoMajority) else ()
        replicas = self.rounds.members()
        logger.bind(
            turn=message.turn,
            program=message.program,
            reason=_reason(error),
            silent=[member.vm for member in unresponsive],
            epoch=replicas.epoch,
            settled=replicas.settled,
            joining=[member.vm for member in replicas.members if member.disk == replicas.joining],
        ).warning(event)


def _is_resolved(resolving: asyncio.Task[bool]) -> bool:
    """Return whether the reservation is resolved by now."""
    return resolving.done() and resolving.result()


def _reason(error: NoMajority | TimeoutError) -> str:
    return str(error) or "no majority in time"


__all__ = ["Coordinator", "NoMajority"]
