"""Promises for an account survive the loss of a disk that made one of them."""

import unittest
from typing import Any

import msgspec

from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.ledger.catch_up import catch_up
from waxwingglade.ledger.messages import (
    Accept,
    Accepted,
    Ballot,
    Prepare,
    Promised,
    TurnBegun,
    TurnId,
)
from waxwingglade.ledger.tests.builders import FAR_FUTURE, PROGRAM, Cluster, MessageLost, begin

BUDGET = 1000
LOST, SPARE, DELAYED = "vm-4", "vm-5", "vm-2"
"""The VM whose disk is lost, the one that replaces it, and one whose answers arrive too late."""


class LostPromiseTest(unittest.IsolatedAsyncioTestCase):
    """A disk is lost and replaced while a minority has accepted each of two proposals."""

    async def asyncSetUp(self) -> None:
        self.cluster = Cluster(5)
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        await self.cluster.coordinator(LOST).begin(begin(1))
        highest = max(self.promised(vm) for vm in self.cluster.replicas)
        self.lower, self.higher = Ballot(highest + 3, "lower"), Ballot(highest + 5, "higher")
        await self.propose(self.lower, 700, ["vm-0", "vm-1", DELAYED], ["vm-0", "vm-1"])
        await self.propose(self.higher, 100, [DELAYED, "vm-3", LOST], [DELAYED])
        await self.replace()

    def promised(self, vm: str) -> int:
        """Return the number of the ballot that a member has promised."""
        slot = self.cluster.replicas[vm].slots.get(PROGRAM)
        return slot.promised.number if slot is not None else 0

    async def propose(
        self, ballot: Ballot, tokens: int, promising: list[str], accepting: list[str]
    ) -> None:
        """Let some members promise a ballot, and fewer of them accept a reservation under it."""
        replicas, epoch = self.cluster.replicas, self.cluster.set.epoch
        for vm in promising:
            self.assertIsInstance(
                await replicas[vm].prepare(Prepare(epoch, PROGRAM, ballot)), Promised
            )
        before = replicas[LOST].slots[PROGRAM].account
        reserved = {**before.open, TurnId(ballot.proposer): tokens}
        account = msgspec.structs.replace(before, open=reserved, touched_at=FAR_FUTURE)
        for vm in accepting:
            answer = await replicas[vm].accept(Accept(epoch, PROGRAM, ballot, account))
            self.assertIsInstance(answer, Accepted)

    async def replace(self) -> None:
        """Replace the lost member by one with an empty disk."""
        joined = self.cluster.joined(SPARE)
        self.cluster.isolate(LOST)
        del self.cluster.replicas[LOST]
        await self.settle(joined, [SPARE, "vm-0", "vm-1", "vm-3"])
        await self.settle(self.cluster.without(LOST), [SPARE, "vm-0", "vm-1"])

    async def settle(self, replicas: ReplicaSet, reading: list[str]) -> None:
        """Make a set current, let some members catch up, and settle it."""
        await self.cluster.use(replicas)
        for vm in reading:

            async def ask(member: Member, message: Any, _timeout_s: float, vm: str = vm) -> Any:
                if member.vm == DELAYED:
                    raise MessageLost("late")
                return await self.cluster.ask(vm, member, message)

            await catch_up(self.cluster.replicas[vm], replicas, ask, lambda _: None)
        await self.cluster.use(msgspec.structs.replace(replicas, settled=True))

    async def test_a_turn_that_has_begun_is_not_overwritten_by_an_older_proposal(self) -> None:
        one = self.cluster.coordinator("vm-0")
        one.accounts.numbers[PROGRAM] = self.lower.number
        self.cluster.isolate(DELAYED)
        self.cluster.blocked |= {("vm-0", "vm-3"), ("vm-3", "vm-0")}
        self.assertIsInstance(await one.begin(begin(9, 50, BUDGET)), TurnBegun)
        self.cluster.heal()
        account = await self.account_committed_by_delayed()
        self.assertIn("turn-9", account.open)

    async def test_an_account_that_may_not_be_committed_is_not_read(self) -> None:
        seen = await self.cluster.coordinator("vm-0").accounts.read(PROGRAM)
        committed = await self.account_committed_by_delayed()
        self.assertIn(seen, (None, committed))

    async def account_committed_by_delayed(self) -> Any:
        """Return the account that the delayed member commits together with two outdated members."""
        self.cluster.blocked = {(DELAYED, "vm-1"), (DELAYED, SPARE)}
        delayed = self.cluster.coordinator(DELAYED)
        await delayed.accounts.change(PROGRAM, lambda account: (account, None))
        return delayed.accounts.last[PROGRAM].account


if __name__ == "__main__":
    unittest.main()
