"""Coordinate the replicas: budgets by agreement on each account, turns by copies at a majority.

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

from waxwingglade.base import Clock, ProgramId, wall
from waxwingglade.base.logs import Sampler
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
    Find,
    Found,
    Keep,
    Kept,
    ListEnds,
    NoSuchTurn,
    NoteEnd,
    OtherEpoch,
    Prepare,
    Promised,
    Turn,
    TurnBegun,
    TurnEnded,
    TurnId,
    Unavailable,
)
from waxwingglade.ledger.rounds import HEDGE_S, Ask, NoMajority, Rounds
from waxwingglade.ledger.unsettled import UnsettledEnds

T = TypeVar("T")
DECIDE_S = 0.9
"""Seconds after which a change that found no majority is given up."""

KEEP_S = 1.2
"""Seconds for which copies of a turn are tried."""

FIRST_PAUSE_S = 0.004
LONGEST_PAUSE_S = 0.1
"""Pause after proposals that met another's, drawn at random up to a bound that doubles."""

REMEMBERED = 5_000
"""Accounts whose last proposal is remembered, for changes in one round."""

DENIALS_LOGGED_PER_S = 10.0
"""Lines a second for turns that do not exist; a caller may ask for many."""


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
        self.members = members
        self.rounds = Rounds(own, ask, heard_of, self._pass_by)
        self.heard_of = heard_of
        self.wall_clock = wall_clock
        self.name = secrets.token_hex(4)
        self.locks: defaultdict[ProgramId, asyncio.Lock] = defaultdict(asyncio.Lock)
        self.last: dict[ProgramId, LastProposal] = {}
        self.numbers: dict[ProgramId, int] = {}
        self.denials = Sampler(DENIALS_LOGGED_PER_S)

    # For entries

    async def begin(self, message: BeginTurn) -> TurnBegun | BudgetSpent | NoSuchTurn | Unavailable:
        """Reserve a turn's tokens and look up the chain before it."""
        chain: tuple[Turn, ...] = ()
        try:
            async with asyncio.timeout(DECIDE_S):
                if message.previous is not None:
                    found = await self._find(message.previous)
                    if found is None:
                        return NoSuchTurn()
                    chain = found
                reserved = await self._reserve(message)
        except (NoMajority, TimeoutError) as error:
            reason = str(error) or "no majority in time"
            logger.bind(turn=message.turn, program=message.program, reason=reason).info(
                "turn not begun"
            )
            return Unavailable(reason)
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
        its caller may come back, elsewhere, before that is settled.  Without asking, 2, 1, 0 and 2
        programs of four runs of the soak were told that their budget was spent though it held one
        more turn (24 programs at a time, ledger processes paused, killed, wiped and faltering).
        It costs a round of messages, and no write, for each turn that open reservations keep out.
        """
        assert message.program is not None
        if account.spent + message.most_tokens > message.budget:
            return False
        question = ListEnds(message.program)
        try:
            async with asyncio.timeout(HEDGE_S):
                async for _, answer in self.rounds.answers(self._usable_members(), question):
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
        """Keep a turn and settle its reservation, as far as majorities answer."""
        kept, settled = await asyncio.gather(self._keep(message), self._settle(message))
        return TurnEnded(kept, settled)

    async def _keep(self, message: EndTurn) -> bool:
        if message.kept is None:
            return True
        try:
            async with asyncio.timeout(KEEP_S):
                await self._copy(message.kept)
        except (NoMajority, TimeoutError) as error:
            logger.bind(turn=message.turn, reason=str(error)).warning("turn not kept")
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
            logger.bind(turn=message.turn, reason=str(error)).info("turn not settled")
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
        async with self.locks[program]:
            pause_s = FIRST_PAUSE_S
            while True:
                replicas = self._usable_members()
                try:
                    return await self._propose(replicas, program, change)
                except _Overtaken:
                    await asyncio.sleep(pause_s * random.random())
                    pause_s = min(2 * pause_s, LONGEST_PAUSE_S)

    def _usable_members(self) -> ReplicaSet:
        replicas = self.members()
        if not replicas.members:
            raise NoMajority("no members known")
        return replicas

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

    # Turns

    async def _copy(self, turn: Turn) -> None:
        pause_s = FIRST_PAUSE_S
        while True:
            replicas = self._usable_members()
            order = list(replicas.members)
            message = Keep(replicas.epoch, turn)
            # All are asked at once, so that each has the turn at hand when it is continued.
            answers = await self.rounds.majority(order, len(order), message, Kept)
            if len(answers) >= replicas.majority:
                return
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, LONGEST_PAUSE_S)

    async def _find(self, turn: TurnId) -> tuple[Turn, ...] | None:
        """Return the chain up to a turn; None if it certainly does not exist.

        A turn that was answered whole is held by a majority of the set of that time.  If the
        members without it include one of every such majority, it was not.
        """
        while True:
            replicas = self._usable_members()
            message = Find(replicas.epoch, turn)
            if (chain := await self._find_here(replicas, message)) is not None:
                return chain
            absent: set[str] = set()
            partial: dict[TurnId, Turn] = {}
            refused = False
            async for member, answer in self.rounds.answers(replicas, message):
                if isinstance(answer, OtherEpoch):
                    self.heard_of(answer.replicas)
                    refused = True
                if not isinstance(answer, Found):
                    continue
                if answer.whole:
                    return answer.chain
                partial.update({part.turn: part for part in answer.chain})
                if not answer.chain:
                    absent.add(member.disk)
                if (chain := _join(partial, turn)) is not None:
                    return chain
                if replicas.meet_all(absent):
                    self._log_denial(turn, replicas, absent)
                    return None
            if not refused:
                raise NoMajority(
                    f"{len(absent)} of {len(replicas.members)} members without the turn"
                )
            await asyncio.sleep(FIRST_PAUSE_S)

    def _log_denial(self, turn: TurnId, replicas: ReplicaSet, absent: set[str]) -> None:
        """Log on whose word a turn was denied; the entry's line names the request and this turn."""
        if not self.denials.allows():
            return
        logger.bind(
            previous=turn,
            epoch=replicas.epoch,
            settled=replicas.settled,
            joining=[member.vm for member in replicas.members if member.disk == replicas.joining],
            without_it=[member.vm for member in replicas.members if member.disk in absent],
            left_out=self.denials.take_left_out(),
        ).warning("turn denied")

    async def _find_here(self, replicas: ReplicaSet, message: Find) -> tuple[Turn, ...] | None:
        """Return the chain up to a turn if this process's replica holds all of it.

        It mostly does.  When all members were asked at once, each sent the whole chain: 0.12 GB
        between three zones for 2,450 turns, against 0.033 GB now (the users' calm day, one run
        each).
        """
        for member in replicas.members:
            if member.disk != self.own.disk:
                continue
            answer = await self.rounds.ask_one(member, message)
            if isinstance(answer, Found) and answer.whole:
                return answer.chain
        return None

    def _pass_by(self, program: ProgramId, ballot: Ballot) -> None:
        """Use higher ballots from now on than one that is used, or that stood in the way."""
        self.numbers[program] = max(self.numbers.get(program, 0), ballot.number)


class _Overtaken(Exception):
    """Another proposal, or another set of members, came first."""


def _join(parts: dict[TurnId, Turn], last: TurnId) -> tuple[Turn, ...] | None:
    """Return the whole chain up to a turn, if all its parts are there."""
    chain = []
    wanted: TurnId | None = last
    while wanted is not None:
        part = parts.get(wanted)
        if part is None or len(chain) > len(parts):
            return None
        chain.append(part)
        wanted = part.previous
    return tuple(reversed(chain))


__all__ = ["Coordinator", "NoMajority"]
