"""One set of members for each epoch, also with concurrent changes."""

import asyncio
import unittest
from typing import Any

import msgspec

from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.follow.tests.builders import KEYS
from waxwingglade.ledger.messages import Fetch, TurnBegun
from waxwingglade.ledger.tests.builders import begin, end
from waxwingglade.ledger.tests.machines import Machine, Machines


class OneSetForEachEpoch(unittest.IsolatedAsyncioTestCase):
    """Guards against a slow change that overwrites one that was made in the meantime.

    It happens when two replicas join a set of two at the same time.  One is still catching up when
    it receives the change of the other, and then overwrites that change if it reads the previous
    set before and the revision after catching up.  Members then use two sets of one epoch, and a
    budget is reserved in full under both.
    """

    async def asyncSetUp(self) -> None:
        self.machines = Machines()
        self.addAsyncCleanup(self.machines.stop_all)

    async def open(self, vms: list[str]) -> None:
        """Add machines that check and receive sets of members only when a test lets them."""
        for vm in vms:
            self.machines.add(vm)
            machine = self.machines.machines[vm] = Machine(self.machines, vm)
            machine.replica.open()

    def members(self, vms: list[str]) -> tuple[Member, ...]:
        """Return machines as members."""
        return tuple(self.machines.members[vm] for vm in vms)

    def write(self, replicas: ReplicaSet) -> None:
        """Put a set into the store."""
        self.machines.store.put(KEYS.replicas, msgspec.json.encode(replicas))

    async def deliver(self, vms: list[str]) -> None:
        """Deliver the content of the store to machines, as their watches do."""
        for vm in vms:
            machine = self.machines.machines[vm]
            machine.watcher.apply_replicas(self.machines.store.items[KEYS.replicas])
            machine.watcher.replicas_known.set()
            await machine.replica.adopt_members(machine.watcher.view.replicas)

    def stall_fetches(self, vm: str) -> tuple[asyncio.Event, asyncio.Event]:
        """Delay the turns and accounts that a machine fetches from others."""
        membership = self.machines.machines[vm].membership
        ask, stalled, go_on = membership.ask, asyncio.Event(), asyncio.Event()

        async def ask_with_delay(member: Member, message: Any, timeout_s: float) -> Any:
            if isinstance(message, Fetch):
                stalled.set()
                await go_on.wait()
            return await ask(member, message, timeout_s)

        membership.ask = ask_with_delay
        return stalled, go_on

    async def two_join(self) -> None:
        """Let two replicas join a set of two at the same time."""
        await self.open(["vm-0", "vm-1", "vm-2", "vm-3"])
        self.write(ReplicaSet(1, self.members(["vm-0", "vm-1"]), True))
        await self.deliver(["vm-0", "vm-1", "vm-2", "vm-3"])
        self.assertTrue((await self.machines.coordinator("vm-0").end(end(9))).kept)
        stalled, go_on = self.stall_fetches("vm-3")
        joining = asyncio.create_task(self.machines.machines["vm-3"].membership._check())
        await stalled.wait()
        await self.machines.machines["vm-2"].membership._check()
        self.assertEqual(self.machines.current_set.epoch, 2)
        await self.deliver(["vm-0", "vm-3"])
        go_on.set()
        await joining

    async def test_two_concurrent_joins_do_not_write_one_epoch_twice(self) -> None:
        await self.two_join()
        self.assertEqual(
            [member.vm for member in self.machines.current_set.members], ["vm-0", "vm-1", "vm-2"]
        )

    async def test_two_concurrent_joins_do_not_spend_a_budget_twice(self) -> None:
        await self.two_join()
        await self.deliver(["vm-1", "vm-2", "vm-3"])
        self.machines.blocked |= {("vm-0", "vm-1"), ("vm-1", "vm-0")}
        request = {"tokens": 940, "budget": 1000}
        granted = []
        for vm, number in (("vm-0", 1), ("vm-1", 2)):
            answer = await self.machines.coordinator(vm).begin(begin(number, **request))
            granted.append(isinstance(answer, TurnBegun))
        self.assertLess(sum(granted), 2, "940 of 1000 tokens were reserved twice")

    async def test_settling_late_does_not_restore_an_older_set(self) -> None:
        vms = ["vm-0", "vm-1", "vm-2", "vm-3"]
        await self.open(vms)
        four = ReplicaSet(2, self.members(vms), False, self.machines.members["vm-3"].disk)
        self.write(ReplicaSet(1, self.members(vms[:3]), True))
        await self.deliver(vms)
        self.machines.isolate("vm-0")
        self.assertTrue((await self.machines.coordinator("vm-1").end(end(9))).kept)
        self.machines.heal()
        self.write(four)
        await self.deliver(vms)
        stalled, go_on = self.stall_fetches("vm-0")
        membership = self.machines.machines["vm-0"].membership
        settling = asyncio.create_task(membership._check())
        await stalled.wait()
        # Meanwhile the others, for which vm-0 is unresponsive, settle the set and remove a member.
        for vm in vms[1:]:
            membership.synced[self.machines.members[vm].disk] = 2
            membership.last_seen_at[self.machines.members[vm].disk] = membership.clock()
        self.write(msgspec.structs.replace(four, settled=True))
        self.write(ReplicaSet(3, self.members(vms[:2] + vms[3:]), False))
        await self.deliver(["vm-0"])
        go_on.set()
        await settling
        self.assertEqual(self.machines.current_set.epoch, 3)
