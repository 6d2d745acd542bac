"""Accounts of programs: each a register on which a majority of the members agrees.

A process that wants to change an account proposes the changed account under a ballot; it holds once
a majority of the members has accepted it.  Usually the last proposal was this process's own, and
one round of messages is enough, since whoever accepted it also promised the next ballot; otherwise
a round of promises comes first, which returns what was accepted last.  Nobody owns an account, so
nothing has to be taken over when a process dies.

Changes that come while a proposal is under way go into the next one, all together: one after the
other they would take a round each, and sub-agents of one program come in crowds.
"""

import asyncio
import random
import secrets
from collections import Counter
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from loguru import logger

from waxwingglade.base import Clock, ProgramId, monotonic
from waxwingglade.base.tasks import run_detached
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.ledger.account import settle
from waxwingglade.ledger.confirmations import Confirmations
from waxwingglade.ledger.messages import (
    NEW_ACCOUNT,
    NO_BALLOT,
    Accept,
    Accepted,
    Account,
    Ballot,
    Look,
    Prepare,
    Promised,
    Seen,
)
from waxwingglade.ledger.rounds import FIRST_PAUSE_S, HEDGE_S, NoMajority, Rounds
from waxwingglade.ledger.unsettled import UnsettledEnds

T = TypeVar("T")
Change = Callable[[Account], tuple[Account, Any]]
"""Returns the changed account and a result; idempotent."""

REMEMBERED = 5_000
"""Accounts whose last proposal is remembered, for changes in one round."""

LONGEST_PAUSE_S = 0.5
"""Seconds that a process makes way at most: short against the time after which those that wait for
its changes give up."""

MOST_TURNS = 8
"""Proposals of others for which a process makes way at most, before it proposes again."""

SLOW_S = 0.2
"""Seconds from which on a change is logged with what held it up; many rounds of messages."""


class LastProposal(msgspec.Struct, frozen=True):
    """The account that this process saw accepted last, and under what."""

    epoch: int
    ballot: Ballot
    account: Account


class _Waiting(msgspec.Struct):
    """A change that waits for its outcome: since when, and what came before it.

    Parameters
    ----------
    proposed_after_s : float or None
        Seconds until a proposal with it began; None before.
    overtaken : int
        Proposals with it that others came before.
    """

    change: Change
    outcome: asyncio.Future[Any]
    began_at: float
    proposed_after_s: float | None = None
    overtaken: int = 0


class Accounts:
    """Changes accounts on behalf of one process.

    Parameters
    ----------
    rounds : Rounds
        Asks the members.
    unsettled : UnsettledEnds
        Ends of turns that this process was told of; they are settled with the next change.
    confirmations : Confirmations
        What this process has confirmed; what has ended is forgotten there.
    wall_clock : Clock
        Calendar time in seconds.
    """

    def __init__(
        self,
        rounds: Rounds,
        unsettled: UnsettledEnds,
        confirmations: Confirmations,
        wall_clock: Clock,
    ) -> None:
        self.rounds = rounds
        self.confirmations = confirmations
        rounds.rejected = self.pass_by
        self.unsettled = unsettled
        self.wall_clock = wall_clock
        self.name = secrets.token_hex(4)
        self.waiting: dict[ProgramId, list[_Waiting]] = {}
        self.last: dict[ProgramId, LastProposal] = {}
        self.numbers: dict[ProgramId, int] = {}

    async def change(self, program: ProgramId, change: Callable[[Account], tuple[Account, T]]) -> T:
        """Apply an idempotent change to a program's account, and return its result.

        Raises
        ------
        NoMajority
            If too few members answer; the change may hold or may still come to hold.
        """
        outcome: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        waiting = _Waiting(change, outcome, monotonic())
        if program in self.waiting:
            self.waiting[program].append(waiting)
        else:
            self.waiting[program] = [waiting]
            run_detached(self._propose_while_waiting(program))
        try:
            return await outcome
        finally:
            _log_held_up(program, waiting)

    async def known(self, program: ProgramId) -> Account:
        """Return the account as this process knows it, which others may have changed since."""
        last = self.last.get(program)
        if last is not None:
            return last.account
        message = Look(self.rounds.members().epoch, program)
        seen = await self.rounds.ask_one(self.rounds.own, message)
        return seen.account if isinstance(seen, Seen) else NEW_ACCOUNT

    async def read(self, program: ProgramId) -> Account | None:
        """Return the account that holds, without a write; None if that can't be told.

        It can where a majority has accepted the same proposal last and promised no other one since:
        then every later proposal follows from this one, whoever makes it.
        """
        replicas = self.rounds.usable_members()
        message = Look(replicas.epoch, program)
        agreeing: Counter[Ballot] = Counter()
        try:
            async with asyncio.timeout(HEDGE_S):
                async for _, seen in self.rounds.answers(replicas, message):
                    if not isinstance(seen, Seen) or seen.promised != seen.accepted.next():
                        continue
                    agreeing[seen.accepted] += 1
                    if agreeing[seen.accepted] >= replicas.majority:
                        return seen.account
        except TimeoutError:
            pass  # A member is silent, and the others don't agree.
        return None

    async def _propose_while_waiting(self, program: ProgramId) -> None:
        """Propose what waits for a program's account until nothing does any more."""
        lost = 0
        try:
            while batch := self._batch(program):
                began_at = monotonic()
                try:
                    await self._propose(program, batch)
                    lost = 0
                except _Overtaken:
                    for each in batch:
                        each.overtaken += 1
                    lost += 1
                    await asyncio.sleep(_pause_s(monotonic() - began_at, lost))
                except NoMajority as error:
                    _fail(batch, error)
        finally:
            _fail(self.waiting.pop(program), NoMajority("the process stops"))

    def _batch(self, program: ProgramId) -> list[_Waiting]:
        """Return the changes that somebody still waits for."""
        batch = [each for each in self.waiting[program] if not each.outcome.done()]
        self.waiting[program] = list(batch)
        return batch

    async def _propose(self, program: ProgramId, batch: list[_Waiting]) -> None:
        """Propose an account with some changes, and tell their results once it holds."""
        now = monotonic()
        for each in batch:
            if each.proposed_after_s is None:
                each.proposed_after_s = now - each.began_at
        replicas = self.rounds.usable_members()
        last = self.last.pop(program, None)
        if last is not None and last.epoch == replicas.epoch:
            # The majority that accepted the last ballot has promised the next one with it.
            account, ballot = last.account, last.ballot.next()
            self.pass_by(program, ballot)
        else:
            ballot = self._next_ballot(program)
            account = await self._promises(replicas, program, ballot)
        account, results = _apply(batch, self.with_known_ends(program, account))
        message = Accept(replicas.epoch, program, ballot, account)
        order = self.rounds.nearest_first(replicas, program)
        answers = await self.rounds.majority(order, replicas.majority, message, Accepted)
        if len(answers) < replicas.majority:
            raise _Overtaken
        self._remember(program, LastProposal(replicas.epoch, ballot, account))
        self.unsettled.forget(program, account)
        self.confirmations.forget_ended(program, account)
        for each, result in zip(batch, results, strict=True):
            if not each.outcome.done():
                each.outcome.set_result(result)

    def with_known_ends(self, program: ProgramId, account: Account) -> Account:
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

    def pass_by(self, program: ProgramId, ballot: Ballot) -> None:
        """Use higher ballots from now on than one that is used, or that stood in the way."""
        self.numbers[program] = max(self.numbers.get(program, 0), ballot.number)


class _Overtaken(Exception):
    """Another proposal, or another set of members, came first."""


def _pause_s(proposal_s: float, lost: int) -> float:
    """Return how long to wait after some proposals in a row that others came before.

    Two that propose again at once outbid each other for ever, so the pause is drawn from a time in
    which others can bring theirs to an end, whatever disks and ways take.
    """
    bound_s = min(MOST_TURNS, 2**lost) * max(FIRST_PAUSE_S, proposal_s)
    return random.random() * min(bound_s, LONGEST_PAUSE_S)


def _apply(batch: list[_Waiting], account: Account) -> tuple[Account, list[Any]]:
    """Return the account after some changes, and the result of each."""
    results = []
    for each in batch:
        account, result = each.change(account)
        results.append(result)
    return account, results


def _fail(batch: list[_Waiting], error: NoMajority) -> None:
    """Tell those that still wait that no majority agreed."""
    for each in batch:
        if not each.outcome.done():
            each.outcome.set_exception(NoMajority(str(error), error.unresponsive))


def _log_held_up(program: ProgramId, waiting: _Waiting) -> None:
    """Log a change that took long, done or not."""
    seconds = monotonic() - waiting.began_at
    if seconds < SLOW_S:
        return
    waited_s = waiting.proposed_after_s
    logger.bind(
        program=program,
        seconds=round(seconds, 3),
        waited_s=round(seconds if waited_s is None else waited_s, 3),
        overtaken=waiting.overtaken,
    ).info("account held up")


__all__ = ["Accounts"]
