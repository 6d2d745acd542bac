"""Reserve tokens of a program's budget for a turn that begins."""

import asyncio
from collections.abc import Callable

import msgspec
from loguru import logger

from waxwingglade.base import Clock, ProgramId
from waxwingglade.ledger.account import Reservation, expire, reserve
from waxwingglade.ledger.accounts import Accounts
from waxwingglade.ledger.confirmations import disk_of
from waxwingglade.ledger.messages import (
    Account,
    BeginTurn,
    Ends,
    Judged,
    JudgeTurns,
    ListEnds,
    TurnId,
)
from waxwingglade.ledger.rounds import HEDGE_S, NoMajority

CHECK_INTERVAL_S = 0.02
"""Interval in seconds between checks whether a reservation was confirmed."""


class ReservationResult(msgspec.Struct, frozen=True):
    """Result of an attempt to reserve a turn's tokens.

    Parameters
    ----------
    account : Account
        The program's account before the reservation.
    granter : str
        Incarnation of the process that may confirm the reservation; empty if the reservation needs
        no confirmation.
    """

    outcome: Reservation
    account: Account
    granter: str

    @property
    def exceeds_budget(self) -> bool:
        """Whether the remaining budget is too small for the turn."""
        return self.outcome in (Reservation.SPENT, Reservation.PENDING)


class Reservations:
    """Reserves tokens on behalf of one process.

    Parameters
    ----------
    accounts : Accounts
        Changes accounts; holds the received ends and the confirmations.
    wall_clock : Clock
        Calendar time in seconds.
    """

    def __init__(self, accounts: Accounts, wall_clock: Clock) -> None:
        self.accounts = accounts
        self.wall_clock = wall_clock

    async def reserve(self, message: BeginTurn, program: ProgramId) -> ReservationResult:
        """Reserve a turn's tokens if the remaining budget is large enough.

        The entry may confirm the reservation at this process if this incarnation of the process has
        made it.
        """
        turn, confirmations = message.turn, self.accounts.confirmations
        if not message.confirms or not confirmations.begin(program, turn):
            return await self._reserve_or_wait(message, program)
        granter = ""
        try:
            result = await self._reserve_or_wait(message, program)
            granter = result.granter
        finally:
            if granter == confirmations.incarnation:
                confirmations.record_begun(program, turn)
            else:
                confirmations.record_not_begun(program, turn)
        return result

    async def _reserve_or_wait(self, message: BeginTurn, program: ProgramId) -> ReservationResult:
        """Try to reserve a turn's tokens; wait while unconfirmed reservations may still expire."""
        counted: set[TurnId] = set()
        expired: dict[TurnId, str] = {}
        granter = self.accounts.confirmations.incarnation if message.confirms else ""

        def change(account: Account) -> tuple[Account, ReservationResult]:
            now = self.wall_clock()
            account = expire(account, expired, now)
            most_tokens, budget = message.most_tokens, message.budget
            changed, outcome = reserve(
                account, message.turn, most_tokens, budget, now, granter, counted
            )
            return changed, ReservationResult(
                outcome, account, changed.unconfirmed.get(message.turn, "")
            )

        while True:
            refused = await self._refuse_without_write(program, change)
            result = refused or await self.accounts.change(program, change)
            if result.exceeds_budget and await self._check_ends(message, result.account):
                result = await self.accounts.change(program, change)
            if result.outcome is not Reservation.PENDING:
                break
            while result.outcome is Reservation.PENDING:
                # Uses the account of the last attempt: each new read may write to the account, and
                # the waiting turns would delay the others.
                account = result.account
                if not await self._check_confirmations(program, account, counted, expired):
                    await asyncio.sleep(CHECK_INTERVAL_S)
                _, result = change(account)
            if result.outcome is Reservation.SPENT:
                break
        if expired:
            logger.bind(turn=message.turn, program=program, lapsed=sorted(expired)).info(
                "reservations expired"
            )
        return result

    async def _check_confirmations(
        self,
        program: ProgramId,
        account: Account,
        counted: set[TurnId],
        expired: dict[TurnId, str],
    ) -> bool:
        """Ask the processes that began a program's turns which of these are confirmed or expired.

        Returns whether the state of any turn became known.

        Parameters
        ----------
        counted, expired : set, dict
            Confirmed and expired turns; extended.  A turn counts as confirmed if the process that
            began it is no member any more.
        """
        members = {member.disk: member for member in self.accounts.rounds.members().members}
        known_before = len(counted) + len(expired)
        for granter in set(account.unconfirmed.values()):
            turns = tuple(turn for turn, each in account.unconfirmed.items() if each == granter)
            member = members.get(disk_of(granter))
            if member is None:
                counted.update(turns)
                continue
            answer = await self.accounts.rounds.ask_one(member, JudgeTurns(program, turns))
            if isinstance(answer, Judged):
                counted.update(answer.confirmed)
                expired.update(dict.fromkeys(answer.lapsed, granter))
        return len(counted) + len(expired) > known_before

    async def _refuse_without_write(
        self,
        program: ProgramId,
        change: Callable[[Account], tuple[Account, ReservationResult]],
    ) -> ReservationResult | None:
        """Return the refusal of a turn; None if the turn may begin, or that is uncertain.

        A refusal is not proposed as a change, since it does not change the account: the proposal
        would outbid those of other processes, and a program whose budget is spent may ask many
        times again.
        """
        accounts = self.accounts
        _, result = change(accounts.with_received_ends(program, await accounts.cached(program)))
        if result.outcome is Reservation.GRANTED:
            return None
        account = await accounts.read(program)
        if account is None:
            return None
        _, result = change(accounts.with_received_ends(program, account))
        return None if result.outcome is Reservation.GRANTED else result

    async def _check_ends(self, message: BeginTurn, account: Account) -> bool:
        """Check whether an open reservation that blocks a turn belongs to a turn that has ended.

        An entry notifies all replicas when it refuses a turn on which the ledger did not decide,
        and the caller may retry at another entry before that reservation is resolved.  The check
        costs a round of messages, and no write, for each turn that open reservations block.
        """
        assert message.program is not None
        if account.spent + message.most_tokens > message.budget:
            return False
        await self._collect_ends(message.turn, message.program)
        received = [end.turn for end in self.accounts.unresolved_ends.of(message.program)]
        ended = [turn for turn in received if turn in account.open]
        if ended:
            logger.bind(turn=message.turn, program=message.program, ended=ended).info(
                "reservations of ended turns"
            )
        return bool(ended)

    async def _collect_ends(self, turn: TurnId, program: ProgramId) -> None:
        """Collect the ends of turns from a majority, and from other members that answer soon.

        Raises
        ------
        NoMajority
            If too few members answer: other members may have received an end that is missing here.
        """
        replicas = self.accounts.rounds.usable_members()
        hedge_at = asyncio.get_running_loop().time() + HEDGE_S
        answered = 0
        try:
            async with asyncio.timeout(None) as deadline:
                async for _, answer in self.accounts.rounds.answers(replicas, ListEnds(program)):
                    if not isinstance(answer, Ends):
                        continue
                    for end in answer.ends:
                        self.accounts.unresolved_ends.add(end)
                    answered += 1
                    if answered == replicas.majority:
                        deadline.reschedule(hedge_at)
        except TimeoutError:
            logger.bind(turn=turn, program=program).info(
                "ends of turns not received from all members"
            )
        if answered < replicas.majority:
            raise NoMajority(f"{answered} of {len(replicas.members)} members told of ends")


__all__ = ["ReservationResult", "Reservations"]
