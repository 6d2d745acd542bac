"""Read what other members hold, so that nothing acknowledged is missing in a replica."""

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

SYNC_ANSWER_S = 2.0
"""Seconds for an answer when catching up; one has up to a megabyte."""

FETCH_NAMES = 100
"""Turns or accounts asked for at once."""

STALLED_S = 1.0
"""Seconds without progress after which turns that are being read from another member are read from
this one, too; some ten times what an answer and its flush take."""

LOOK_S = 0.005
"""Seconds between looks at what is read from other members."""


async def catch_up(
    replica: Replica, replicas: ReplicaSet, ask: Ask, observe_replicas: Callable[[ReplicaSet], None]
) -> None:
    """Read what enough members hold; from then on they refuse older sets of members.

    Parameters
    ----------
    replica : Replica
        Where what is read goes.
    replicas : ReplicaSet
        The set of members; `replica` need not be one yet.
    ask : callable
        Sends a request to a member.
    observe_replicas : callable
        Called with a newer set that a member knows.

    Raises
    ------
    WaxwinggladeError
        If too few members answer.
    """
    # This replica counts as read, so it has to refuse older sets as durably as the others.
    await replica.adopt_members(replicas)
    read = {member.disk for member in replicas.members if member.disk == replica.disk}
    reading = _Reading(replica, ask)
    tasks = {
        asyncio.ensure_future(reading.read_from(member, replicas, observe_replicas)): member.disk
        for member in replicas.members
        if member.disk != replica.disk
    }
    try:
        unread = set(tasks)
        while unread and not replicas.intersects_earlier_majorities(read):
            ended, unread = await asyncio.wait(unread, return_when=asyncio.FIRST_COMPLETED)
            read |= {tasks[task] for task in ended if task.result()}
    finally:
        # Members that are gone must not hold up the rest.
        for task in tasks:
            task.cancel()
    # What one member had of an account may still be on its way to the disk when the next one is
    # read.
    await replica.flush()
    if not replicas.intersects_earlier_majorities(read):
        raise WaxwinggladeError(f"only {len(read)} of {len(replicas.members)} members were read")


class _Reading:
    """Reads what several members hold into one replica, each turn from one of them.

    Read from each, the content of a whole disk would go between zones once for each member.

    Parameters
    ----------
    replica : Replica
        Where what is read goes.
    ask : callable
        Sends a request to a member.
    """

    def __init__(self, replica: Replica, ask: Ask) -> None:
        self.replica = replica
        self.ask = ask
        self.under_way: set[TurnId] = set()

    async def read_from(
        self, member: Member, replicas: ReplicaSet, observe_replicas: Callable[[ReplicaSet], None]
    ) -> bool:
        """Return whether all that a member holds is here, whoever it was read from."""
        try:
            held = await self.ask(member, ListHeld(replicas), SYNC_ANSWER_S)
            if isinstance(held, OtherEpoch):
                observe_replicas(held.replicas)
            if not isinstance(held, Held):
                raise WaxwinggladeError(f"{member.vm} goes by another set of members")
            turns = await self._take_turns(member, held.turns)
            accounts = await self._take_accounts(member, held)
        except WaxwinggladeError as error:
            logger.bind(member=member.vm, reason=str(error)).debug("not read from")
            return False
        logger.bind(member=member.vm, turns=turns, accounts=accounts).info("read from")
        return True

    async def _take_turns(self, member: Member, names: tuple[TurnId, ...]) -> int:
        """Read the turns that are not here; return how many came from this member."""
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
                stalled = all(name in self.under_way for name in left)
                pending.extend(left)
                others = []
        return taken

    def _next_batch(
        self, pending: deque[TurnId], others: list[TurnId], stalled: bool
    ) -> list[TurnId]:
        """Return turns to ask for, and put aside those that are being read from other members."""
        batch: list[TurnId] = []
        while pending and len(batch) < FETCH_NAMES:
            name = pending.popleft()
            if name in self.replica.turns:
                continue
            if name in self.under_way and not stalled:
                others.append(name)
                continue
            batch.append(name)
        return batch

    async def _fetch_turns(
        self, member: Member, batch: list[TurnId], pending: deque[TurnId]
    ) -> int:
        """Ask for turns; what did not fit into the answer is pending again."""
        claimed = set(batch) - self.under_way
        self.under_way |= claimed
        try:
            turns = (await self._fetch(member, Fetch(turns=tuple(batch)))).turns
        finally:
            self.under_way -= claimed
        if not turns:
            # They have expired there in the meantime.
            return 0
        got = {turn.turn for turn in turns}
        last = max(index for index, name in enumerate(batch) if name in got)
        pending.extendleft(reversed(batch[last + 1 :]))
        return len(turns)

    async def _wait_for_others(self, names: list[TurnId]) -> list[TurnId]:
        """Wait while turns are being read from other members, and return those not here then.

        A member that falls silent meanwhile must not hold up the others.
        """
        end_at = monotonic() + STALLED_S
        while names and monotonic() < end_at:
            await asyncio.sleep(LOOK_S)
            left = [name for name in names if name not in self.replica.turns]
            if not all(name in self.under_way for name in left):
                return left
            if len(left) < len(names):
                end_at = monotonic() + STALLED_S
            names = left
        return names

    async def _take_accounts(self, member: Member, held: Held) -> int:
        """Read the accounts of which a member has accepted a newer state; return how many."""
        await self.replica.take_promises(held.promised)
        names = deque(held.accounts)
        taken = 0
        while names:
            some = [names.popleft() for _ in range(min(FETCH_NAMES, len(names)))]
            newer = tuple(name for name in some if self._is_newer(name, held.accounts[name]))
            if newer:
                taken += len((await self._fetch(member, Fetch(programs=newer))).accounts)
        return taken

    def _is_newer(self, program: ProgramId, accepted: Ballot) -> bool:
        slot = self.replica.slots.get(program)
        return slot is None or slot.accepted < accepted

    async def _fetch(self, member: Member, asked: Fetch) -> Fetched:
        """Ask for turns or accounts and store them."""
        answer = await self.ask(member, asked, SYNC_ANSWER_S)
        if not isinstance(answer, Fetched):
            raise WaxwinggladeError(f"{member.vm} did not answer")
        await self.replica.take_in(answer)
        return answer


__all__ = ["catch_up"]
