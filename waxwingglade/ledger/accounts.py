"""Accounts of programs: each a register on which a majority of the members agrees.

The protocol is Paxos, with one register per account.  A process changes an account by proposing the
changed account under a ballot; the change is committed once a majority of the members has accepted
it.  If the last committed proposal came from the same process, one round of messages is enough,
because each member that accepted it has also promised the next ballot.  Otherwise a round of
promises comes first, which returns the account that was accepted last.  No process owns an account,
so no takeover is needed when a process dies.

Changes that arrive while a proposal is in progress are batched into the next proposal: one by one,
each would take a round of messages, and many sub-agents of a program send requests at once.
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
from waxwingglade.ledger.account import resolve_reservation
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
from waxwingglade.ledger.unresolved_ends import UnresolvedEnds

T = TypeVar("T")
Change = Callable[[Account], tuple[Account, Any]]
"""Idempotent function that returns the changed account and a result."""

MAX_CACHED = 5_000
"""Number of accounts whose last proposal is cached, so that changes take one round of messages."""

MAX_BACKOFF_S = 0.5
"""Upper bound in seconds of the back-off after a conflict: short compared with the timeout of the
callers that wait for a change."""

MAX_BACKOFF_FACTOR = 8
"""Upper bound of the back-off after a conflict, in durations of a proposal."""

SLOW_LOG_S = 0.2
"""Duration in seconds from which on a change is logged with the reason of its delay; it allows for
many rounds of messages."""


class LastProposal(msgspec.Struct, frozen=True):
    """The last account that this process saw committed, with its epoch and ballot."""

    epoch: int
    ballot: Ballot
    account: Account


class _PendingChange(msgspec.Struct):
    """A pending change, with the reasons of its delay.

    Parameters
    ----------
    proposed_after_s : float or None
        Seconds until the first proposal that contains the change began; None before.
    conflicts : int
        Number of proposals with the change that were rejected because of a conflict.
    """

    change: Change
    outcome: asyncio.Future[Any]
    began_at: float
    proposed_after_s: float | None = None
    conflicts: int = 0


class Accounts:
    """Changes accounts on behalf of one process.

    Parameters
    ----------
    rounds : Rounds
        Sends messages to the members.
    unresolved_ends : UnresolvedEnds
        Ends of turns that this process has received; their reservations are resolved with the next
        change of the account.
    confirmations : Confirmations
        Turns that this process has confirmed; turns that have ended are removed from it.
    wall_clock : Clock
        Calendar time in seconds.
    """

    def __init__(
        self,
        rounds: Rounds,
        unresolved_ends: UnresolvedEnds,
        confirmations: Confirmations,
        wall_clock: Clock,
    ) -> None:
        self.rounds = rounds
        self.confirmations = confirmations
        rounds.rejected = self.raise_ballot
        self.unresolved_ends = unresolved_ends
        self.wall_clock = wall_clock
        self.name = secrets.token_hex(4)
        self.pending: dict[ProgramId, list[_PendingChange]] = {}
        self.last: dict[ProgramId, LastProposal] = {}
        self.numbers: dict[ProgramId, int] = {}

    async def change(self, program: ProgramId, change: Callable[[Account], tuple[Account, T]]) -> T:
        """Apply an idempotent change to a program's account, and return its result.

        Raises
        ------
        NoMajority
            If too few members answer.  The change may be committed, now or later.
        """
        outcome: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        pending = _PendingChange(change, outcome, monotonic())
        if program in self.pending:
            self.pending[program].append(pending)
        else:
            self.pending[program] = [pending]
            run_detached(self._propose_pending(program))
        try:
            return await outcome
        finally:
            _log_if_slow(program, pending)

    async def cached(self, program: ProgramId) -> Account:
        """Return the account as cached here or stored on this disk, which may be out of date."""
        last = self.last.get(program)
        if last is not None:
            return last.account
        message = Look(self.rounds.members().epoch, program)
        seen = await self.rounds.ask_one(self.rounds.own, message)
        return seen.account if isinstance(seen, Seen) else NEW_ACCOUNT

    async def read(self, program: ProgramId) -> Account | None:
        """Return the committed account without a write; None if it cannot be determined.

        The account is committed if a majority has accepted the same proposal last and has promised
        no other ballot since: every later proposal is based on this one then.
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
            pass  # A member does not answer, and the others disagree.
        return None

    async def _propose_pending(self, program: ProgramId) -> None:
        """Propose the pending changes of a program's account until there are none."""
        conflicts = 0
        try:
            while batch := self._batch(program):
                began_at = monotonic()
                try:
                    await self._propose(program, batch)
                    conflicts = 0
                except _Conflict:
                    for each in batch:
                        each.conflicts += 1
                    conflicts += 1
                    await asyncio.sleep(_backoff_s(monotonic() - began_at, conflicts))
                except NoMajority as error:
                    _fail(batch, error)
        finally:
            _fail(self.pending.pop(program), NoMajority("the process stops"))

    def _batch(self, program: ProgramId) -> list[_PendingChange]:
        """Return the pending changes whose callers still wait."""
        batch = [each for each in self.pending[program] if not each.outcome.done()]
        self.pending[program] = list(batch)
        return batch

    async def _propose(self, program: ProgramId, batch: list[_PendingChange]) -> None:
        """Propose an account with a batch of changes, and set their results on commit."""
        now = monotonic()
        for each in batch:
            if each.proposed_after_s is None:
                each.proposed_after_s = now - each.began_at
        replicas = self.rounds.usable_members()
        last = self.last.pop(program, None)
        if last is not None and last.epoch == replicas.epoch:
            # Each member that accepted the last ballot has also promised the next one.
            account, ballot = last.account, last.ballot.next()
            self.raise_ballot(program, ballot)
        else:
            ballot = self._next_ballot(program)
            account = await self._promises(replicas, program, ballot)
        account, results = _apply(batch, self.with_received_ends(program, account))
        message = Accept(replicas.epoch, program, ballot, account)
        order = self.rounds.nearest_first(replicas, program)
        answers = await self.rounds.majority(order, replicas.majority, message, Accepted)
        if len(answers) < replicas.majority:
            raise _Conflict
        self._remember(program, LastProposal(replicas.epoch, ballot, account))
        self.unresolved_ends.remove(program, account)
        self.confirmations.remove_ended(program, account)
        for each, result in zip(batch, results, strict=True):
            if not each.outcome.done():
                each.outcome.set_result(result)

    def with_received_ends(self, program: ProgramId, account: Account) -> Account:
        """Return the account with the reservations of all received ends resolved."""
        for end in self.unresolved_ends.of(program):
            account = resolve_reservation(account, end, self.wall_clock())
        return account

    async def _promises(self, replicas: ReplicaSet, program: ProgramId, ballot: Ballot) -> Account:
        """Return the account that was accepted last, according to the promises of a majority."""
        message = Prepare(replicas.epoch, program, ballot)
        order = self.rounds.nearest_first(replicas, program)
        answers = await self.rounds.majority(order, replicas.majority, message, Promised)
        if len(answers) < replicas.majority:
            raise _Conflict
        newest = max(answers, key=lambda answer: answer.accepted)
        return newest.account if newest.accepted != NO_BALLOT else NEW_ACCOUNT

    def _next_ballot(self, program: ProgramId) -> Ballot:
        number = self.numbers.get(program, 0) + 1
        self.numbers[program] = number
        return Ballot(number, self.name)

    def _remember(self, program: ProgramId, proposal: LastProposal) -> None:
        self.last[program] = proposal
        while len(self.last) > MAX_CACHED:
            oldest = next(iter(self.last))
            del self.last[oldest]
            self.numbers.pop(oldest, None)

    def raise_ballot(self, program: ProgramId, ballot: Ballot) -> None:
        """Use only ballots above `ballot` from now on, as it is used or promised already."""
        self.numbers[program] = max(self.numbers.get(program, 0), ballot.number)


class _Conflict(Exception):
    """The proposal conflicts with a higher ballot or another set of members."""


def _backoff_s(proposal_s: float, conflicts: int) -> float:
    """Return the random back-off in seconds after `conflicts` consecutive conflicts.

    Two processes that propose again at once would outbid each other for ever.  The back-off scales
    with the duration of a proposal, so that the other proposals can complete, however slow disks
    and networks are.
    """
    bound_s = min(MAX_BACKOFF_FACTOR, 2**conflicts) * max(FIRST_PAUSE_S, proposal_s)
    return random.random() * min(bound_s, MAX_BACKOFF_S)


def _apply(batch: list[_PendingChange], account: Account) -> tuple[Account, list[Any]]:
    """Apply a batch of changes; return the changed account and the result of each change."""
    results = []
    for each in batch:
        account, result = each.change(account)
        results.append(result)
    return account, results


def _fail(batch: list[_PendingChange], error: NoMajority) -> None:
    """Fail the changes whose callers still wait."""
    for each in batch:
        if not each.outcome.done():
            each.outcome.set_exception(NoMajority(str(error), error.unresponsive))


def _log_if_slow(program: ProgramId, pending: _PendingChange) -> None:
    """Log a change that took long, whether it is committed or not."""
    seconds = monotonic() - pending.began_at
    if seconds < SLOW_LOG_S:
        return
    waited_s = pending.proposed_after_s
    logger.bind(
        program=program,
        seconds=round(seconds, 3),
        waited_s=round(seconds if waited_s is None else waited_s, 3),
        overtaken=pending.conflicts,
    ).info("account held up")


__all__ = ["Accounts"]
