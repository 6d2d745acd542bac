"""Read the data of other members, so that a replica lacks nothing that was acknowledged."""

import asyncio
from collections import deque
from collections.abc import Callable

from loguru import logger

from waxwingglade.base import ProgramId, WaxwinggladeError, monotonic
from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.ledger.messages import (
    Ballot,
    Fetch,
    Fetched,
    Held,
    ListHeld,
    OtherEpoch,
    TurnId,
)
from waxwingglade.ledger.replica import Replica
from waxwingglade.ledger.rounds import Ask

ANSWER_TIMEOUT_S = 2.0
"""Timeout of a request while catching up, in seconds; an answer has up to a megabyte."""

MAX_FETCH_NAMES = 100
"""Most turns or accounts in one request."""

STALL_TIMEOUT_S = 1.0
"""Seconds without progress after which turns that are being read from another member are read from
this one as well; about ten times the duration of an answer and its flush."""

CHECK_INTERVAL_S = 0.005
"""Seconds between checks of the turns that are being read from other members."""


async def catch_up(
    replica: Replica, replicas: ReplicaSet, ask: Ask, observe_replicas: Callable[[ReplicaSet], None]
) -> None:
    """Read the data of enough members, which refuse older sets of members from then on.

    Parameters
    ----------
    replica : Replica
        Stores the data.
    replicas : ReplicaSet
        The set of members; `replica` need not be one of them yet.
    ask : callable
        Sends a request to a member.
    observe_replicas : callable
        Called with the set of a member that knows a newer one.

    Raises
    ------
    WaxwinggladeError
        If too few members answer.
    """
    # This replica counts as read, so it must refuse older sets as durably as the others.
    await replica.adopt_members(replicas)
    read = {member.disk for member in replicas.members if member.disk == replica.disk}
    reader = _Reader(replica, ask)
    tasks = {
        asyncio.ensure_future(reader.read_from(member, replicas, observe_replicas)): member.disk
        for member in replicas.members
        if member.disk != replica.disk
    }
    try:
        unread = set(tasks)
        while unread and not replicas.intersects_earlier_majorities(read):
            ended, unread = await asyncio.wait(unread, return_when=asyncio.FIRST_COMPLETED)
            read |= {tasks[task] for task in ended if task.result()}
    finally:
        # Unreachable members must not delay the result.
        for task in tasks:
            task.cancel()
    # An account that was read from one member may not be flushed yet when the next member is read,
    # which then skips it.
    await replica.flush()
    if not replicas.intersects_earlier_majorities(read):
        raise WaxwinggladeError(f"only {len(read)} of {len(replicas.members)} members were read")


class _Reader:
    """Reads the data of several members into one replica, each turn from only one of them.

    Otherwise the content of a whole disk would be sent between zones once for each member.

    Parameters
    ----------
    replica : Replica
        Stores the data.
    ask : callable
        Sends a request to a member.
    """

    def __init__(self, replica: Replica, ask: Ask) -> None:
        self.replica = replica
        self.ask = ask
        self.in_progress: set[TurnId] = set()

    async def read_from(
        self, member: Member, replicas: ReplicaSet, observe_replicas: Callable[[ReplicaSet], None]
    ) -> bool:
        """Return whether this replica now has all data of a member, from whichever source."""
        try:
            held = await self.ask(member, ListHeld(replicas), ANSWER_TIMEOUT_S)
            if isinstance(held, OtherEpoch):
                observe_replicas(held.replicas)
            if not isinstance(held, Held):
                raise WaxwinggladeError(f"{member.vm} uses another set of members")
            turns = await self._fetch_missing_turns(member, held.turns)
            accounts = await self._fetch_newer_accounts(member, held)
            await self.replica.store_failures(held.failures)
        except WaxwinggladeError as error:
            logger.bind(member=member.vm, reason=str(error)).debug("member not read")
            return False
        logger.bind(member=member.vm, turns=turns, accounts=accounts).info("member read")
        return True

    async def _fetch_missing_turns(self, member: Member, names: tuple[TurnId, ...]) -> int:
        """Read the missing turns; return how many came from this member."""
        pending = deque(names)
        others: list[TurnId] = []
        taken = 0
        stalled = False
        while pending:
            batch = self._next_batch(pending, others, stalled)
            stalled = False
            if batch:
                taken += await self._fetch_turns(member, batch, pending)
            if not pending and others:
                left = await self._wait_for_others(others)
                stalled = all(name in self.in_progress for name in left)
                pending.extend(left)
                others = []
        return taken

    def _next_batch(
        self, pending: deque[TurnId], others: list[TurnId], stalled: bool
    ) -> list[TurnId]:
        """Return turns to request; add those being read from other members to `others`."""
        batch: list[TurnId] = []
        while pending and len(batch) < MAX_FETCH_NAMES:
            name = pending.popleft()
            if name in self.replica.turns:
                continue
            if name in self.in_progress and not stalled:
                others.append(name)
                continue
            batch.append(name)
        return batch

    async def _fetch_turns(
        self, member: Member, batch: list[TurnId], pending: deque[TurnId]
    ) -> int:
        """Request turns; those that did not fit into the answer are pending again."""
        claimed = set(batch) - self.in_progress
        self.in_progress |= claimed
        try:
            turns = (await self._fetch(member, Fetch(turns=tuple(batch)))).turns
        finally:
            self.in_progress -= claimed
        if not turns:
            # They have expired at the member in the meantime.
            return 0
        got = {turn.turn for turn in turns}
        last = max(index for index, name in enumerate(batch) if name in got)
        pending.extendleft(reversed(batch[last + 1 :]))
        return len(turns)

    async def _wait_for_others(self, names: list[TurnId]) -> list[TurnId]:
        """Wait while turns are being read from other members; return those still missing.

        A member that becomes unresponsive meanwhile must not delay the others.
        """
        end_at = monotonic() + STALL_TIMEOUT_S
        while names and monotonic() < end_at:
            await asyncio.sleep(CHECK_INTERVAL_S)
            left = [name for name in names if name not in self.replica.turns]
            if not all(name in self.in_progress for name in left):
                return left
            if len(left) < len(names):
                end_at = monotonic() + STALL_TIMEOUT_S
            names = left
        return names

    async def _fetch_newer_accounts(self, member: Member, held: Held) -> int:
        """Read the accounts for which a member has accepted a newer state; return their number."""
        await self.replica.adopt_promises(held.promised)
        names = deque(held.accounts)
        taken = 0
        while names:
            some = [names.popleft() for _ in range(min(MAX_FETCH_NAMES, len(names)))]
            newer = tuple(name for name in some if self._is_newer(name, held.accounts[name]))
            if newer:
                taken += len((await self._fetch(member, Fetch(programs=newer))).accounts)
        return taken

    def _is_newer(self, program: ProgramId, accepted: Ballot) -> bool:
        slot = self.replica.slots.get(program)
        return slot is None or slot.accepted < accepted

    async def _fetch(self, member: Member, asked: Fetch) -> Fetched:
        """Request turns or accounts and store them."""
        answer = await self.ask(member, asked, ANSWER_TIMEOUT_S)
        if not isinstance(answer, Fetched):
            raise WaxwinggladeError(f"{member.vm} sent no turns or accounts")
        await self.replica.store_fetched(answer)
        return answer


__all__ = ["catch_up"]
