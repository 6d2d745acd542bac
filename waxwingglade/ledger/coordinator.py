"""Coordinate the replicas: budgets by agreement on each account.

An account is a register of its own.  A process that wants to change it proposes the changed account
under a ballot; it holds once a majority of the members has accepted it.  Usually the last proposal
was this process's own, and one round of messages is enough, since whoever accepted it also promised
the next ballot; otherwise a round of promises comes first, which returns what was accepted last.
Nobody owns an account, so nothing has to be taken over when a process dies.
"""

import asyncio
import random
import secrets
from collections import defaultdict
from collections.abc import Callable
from typing import TypeVar

import msgspec
from loguru import logger

from waxwingglade.base import Clock, ProgramId, monotonic, wall
from waxwingglade.base.tasks import run_detached
from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.ledger.account import Reservation, committed, reserve, settle
from waxwingglade.ledger.messages import (
    NEW_ACCOUNT,
    NO_BALLOT,
    Accept,
    Accepted,
    Account,
    Ballot,
    BeginTurn,
    BudgetSpent,
    Ends,
    EndTurn,
    ListEnds,
    NoSuchTurn,
    NoteEnd,
    Prepare,
    Promised,
    Turn,
    TurnBegun,
    TurnEnded,
    Unavailable,
)
from waxwingglade.ledger.rounds import (
    FIRST_PAUSE_S,
    HEDGE_S,
    LONGEST_PAUSE_S,
    Ask,
    NoMajority,
    Rounds,
)
from waxwingglade.ledger.turns import Turns
from waxwingglade.ledger.unsettled import UnsettledEnds

T = TypeVar("T")
DECIDE_S = 0.9
"""Seconds after which a change that found no majority is given up."""

KEEP_S = 1.2
"""Seconds for which copies of a turn are tried."""

SETTLE_S = 0.1
"""Seconds that the answer to a turn that is kept waits for its settlement, too."""

SLOW_S = 0.2
"""Seconds from which on a change of an account, or the end of a turn, is logged with what held it
up; most of an entry's patience with one replica, and many rounds of messages."""

REMEMBERED = 5_000
"""Accounts whose last proposal is remembered, for changes in one round."""


class LastProposal(msgspec.Struct, frozen=True):
    """The account that this process saw accepted last, and under what."""

    epoch: int
    ballot: Ballot
    account: Account


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
    heard_of : callable
        Called with a set of members that some replica knows.
    wall_clock : Clock
        Calendar time in seconds.
    unsettled : UnsettledEnds or None
        Ends of turns that this process was told of, those of its replica; None for new ones.
    """

    def __init__(
        self,
        own: Member,
        members: Callable[[], ReplicaSet],
        ask: Ask,
        heard_of: Callable[[ReplicaSet], None],
        wall_clock: Clock = wall,
        unsettled: UnsettledEnds | None = None,
    ) -> None:
        self.own = own
        self.unsettled = UnsettledEnds() if unsettled is None else unsettled
        self.rounds = Rounds(own, members, ask, heard_of, self._pass_by)
        self.turns = Turns(self.rounds)
        self.wall_clock = wall_clock
        self.name = secrets.token_hex(4)
        self.locks: defaultdict[ProgramId, asyncio.Lock] = defaultdict(asyncio.Lock)
        self.last: dict[ProgramId, LastProposal] = {}
        self.numbers: dict[ProgramId, int] = {}

    # For entries

    async def begin(self, message: BeginTurn) -> TurnBegun | BudgetSpent | NoSuchTurn | Unavailable:
        """Reserve a turn's tokens and look up the chain before it."""
        chain: tuple[Turn, ...] = ()
        try:
            async with asyncio.timeout(DECIDE_S):
                if message.previous is not None:
                    found = await self.turns.find(message.previous)
                    if found is None:
                        return NoSuchTurn()
                    chain = found
                reserved = await self._reserve(message)
        except (NoMajority, TimeoutError) as error:
            self._log_failure("turn not begun", message, error)
            return Unavailable(_reason(error))
        if isinstance(reserved, Account):
            return TurnBegun(chain, reserved.target, reserved.failed_at)
        return reserved

    async def _reserve(self, message: BeginTurn) -> Account | BudgetSpent | Unavailable:
        """Reserve a turn's tokens; return the account before that."""
        if message.program is None:
            return NEW_ACCOUNT

        def change(account: Account) -> tuple[Account, tuple[Reservation, Account]]:
            changed, outcome = reserve(
                account, message.turn, message.most_tokens, message.budget, self.wall_clock()
            )
            return changed, (outcome, account)

        outcome, account = await self.change(message.program, change)
        if outcome is Reservation.SPENT and await self._learns_ends(message, account):
            outcome, account = await self.change(message.program, change)
        if outcome is Reservation.GRANTED:
            return account
        if outcome is Reservation.ENDED:
            return Unavailable("the turn has ended")
        logger.bind(
            turn=message.turn,
            program=message.program,
            budget=message.budget,
            most_tokens=message.most_tokens,
            spent=account.spent,
            reserved=committed(account) - account.spent,
        ).info("budget spent")
        return BudgetSpent(account.spent, committed(account) - account.spent)

    async def _learns_ends(self, message: BeginTurn, account: Account) -> bool:
        """Ask whether a reservation that keeps a turn out of its budget belongs to one that ended.

        An entry tells all replicas when it refuses a turn on which the ledger did not decide, and
        its caller may come back, elsewhere, before that is settled.  With neither telling nor
        asking, 2, 1, 0 and 2 programs of four runs of the soak were told that their budget was
        spent though it held one more turn, with both none of 24 runs (24 programs at a time,
        ledger processes paused, killed, wiped and faltering); the two were not measured apart.
        It costs a round of messages, and no write, for each turn that open reservations keep out.
        """
        assert message.program is not None
        if account.spent + message.most_tokens > message.budget:
            return False
        question = ListEnds(message.program)
        try:
            async with asyncio.timeout(HEDGE_S):
                async for _, answer in self.rounds.answers(self.rounds.usable_members(), question):
                    for end in answer.ends if isinstance(answer, Ends) else ():
                        self.unsettled.add(end)
        except TimeoutError:
            logger.bind(turn=message.turn, program=message.program).info("not all asked for ends")
        learnt = [end.turn for end in self.unsettled.of(message.program)]
        ended = [turn for turn in learnt if turn in account.open]
        if ended:
            logger.bind(turn=message.turn, program=message.program, ended=ended).info(
                "reservations of ended turns"
            )
        return bool(ended)

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
        settled = settling.done() and settling.result()
        seconds = monotonic() - began_at
        if seconds >= SLOW_S or not settled:
            logger.bind(
                turn=message.turn,
                program=message.program,
                kept=kept,
                kept_s=round(kept_s, 3),
                settled=settled,
                settled_s=round(seconds, 3),
            ).info("turn slow to end")
        return TurnEnded(kept, settled)

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
                await self.change(message.program, change)
        except (NoMajority, TimeoutError) as error:
            self._log_failure("turn not settled", message, error)
            end = msgspec.structs.replace(message, kept=None)
            await self.rounds.ask_one(self.own, NoteEnd(end))
            return False
        return True

    # Accounts

    async def change(self, program: ProgramId, change: Callable[[Account], tuple[Account, T]]) -> T:
        """Apply an idempotent change to a program's account, and return its result.

        Raises
        ------
        NoMajority
            If too few members answer; the change may hold or may still come to hold.
        """
        progress = _Progress(monotonic())
        try:
            async with self.locks[program]:
                progress.waited_s = monotonic() - progress.began_at
                return await self._propose_until_accepted(program, change, progress)
        finally:
            _log_held_up(program, progress)

    async def _propose_until_accepted(
        self,
        program: ProgramId,
        change: Callable[[Account], tuple[Account, T]],
        progress: "_Progress",
    ) -> T:
        pause_s = FIRST_PAUSE_S
        while True:
            replicas = self.rounds.usable_members()
            try:
                return await self._propose(replicas, program, change)
            except _Overtaken:
                progress.overtaken += 1
                await asyncio.sleep(pause_s * random.random())
                pause_s = min(2 * pause_s, LONGEST_PAUSE_S)

    async def _propose(
        self,
        replicas: ReplicaSet,
        program: ProgramId,
        change: Callable[[Account], tuple[Account, T]],
    ) -> T:
        last = self.last.pop(program, None)
        if last is not None and last.epoch == replicas.epoch:
            # The majority that accepted the last ballot has promised the next one with it.
            account, ballot = last.account, last.ballot.next()
            self._pass_by(program, ballot)
        else:
            ballot = self._next_ballot(program)
            account = await self._promises(replicas, program, ballot)
        changed, result = change(self._with_known_ends(program, account))
        message = Accept(replicas.epoch, program, ballot, changed)
        order = self.rounds.nearest_first(replicas, program)
        answers = await self.rounds.majority(order, replicas.majority, message, Accepted)
        if len(answers) < replicas.majority:
            raise _Overtaken
        self._remember(program, LastProposal(replicas.epoch, ballot, changed))
        self.unsettled.forget(program, changed)
        return result

    def _with_known_ends(self, program: ProgramId, account: Account) -> Account:
        """Settle what this process was told of."""
        for end in self.unsettled.of(program):
            account = settle(account, end, self.wall_clock())
        return account

    async def _promises(self, replicas: ReplicaSet, program: ProgramId, ballot: Ballot) -> Account:
        """Return the account that was accepted last, after a majority's promise."""
        message = Prepare(replicas.epoch, program, ballot)
        order = self.rounds.nearest_first(replicas, program)
        answers = await self.rounds.majority(order, replicas.majority, message, Promised)
        if len(answers) < replicas.majority:
            raise _Overtaken
        newest = max(answers, key=lambda answer: answer.accepted)
        return newest.account if newest.accepted != NO_BALLOT else NEW_ACCOUNT

    def _next_ballot(self, program: ProgramId) -> Ballot:
        number = self.numbers.get(program, 0) + 1
        self.numbers[program] = number
        return Ballot(number, self.name)

    def _remember(self, program: ProgramId, proposal: LastProposal) -> None:
        self.last[program] = proposal
        while len(self.last) > REMEMBERED:
            oldest = next(iter(self.last))
            del self.last[oldest]
            self.numbers.pop(oldest, None)
            if not self.locks[oldest].locked():
                del self.locks[oldest]

    def _pass_by(self, program: ProgramId, ballot: Ballot) -> None:
        """Use higher ballots from now on than one that is used, or that stood in the way."""
        self.numbers[program] = max(self.numbers.get(program, 0), ballot.number)

    def _log_failure(
        self, event: str, message: BeginTurn | EndTurn, error: NoMajority | TimeoutError
    ) -> None:
        """Log a turn on which no majority agreed, and the members as they are known here."""
        silent = error.silent if isinstance(error, NoMajority) else ()
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


class _Overtaken(Exception):
    """Another proposal, or another set of members, came first."""


class _Progress(msgspec.Struct):
    """How a change of an account went: what it waited for other changes here, and proposed anew."""

    began_at: float
    waited_s: float | None = None
    overtaken: int = 0


def _log_held_up(program: ProgramId, progress: _Progress) -> None:
    """Log a change of an account that took long, done or not."""
    seconds = monotonic() - progress.began_at
    if seconds < SLOW_S:
        return
    waited_s = seconds if progress.waited_s is None else progress.waited_s
    logger.bind(
        program=program,
        seconds=round(seconds, 3),
        waited_s=round(waited_s, 3),
        overtaken=progress.overtaken,
    ).info("account held up")


def _reason(error: NoMajority | TimeoutError) -> str:
    return str(error) or "no majority in time"


__all__ = ["Coordinator", "NoMajority"]
