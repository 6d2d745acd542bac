"""The set of members under wiped disks, additions, retirements and partitions."""

import asyncio
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from waxwingglade.base import WaxwinggladeError
from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import blocking_size_of
from waxwingglade.ledger.catch_up import catch_up
from waxwingglade.ledger.membership import STANDBY_JOIN_WAIT_S
from waxwingglade.ledger.messages import NoSuchTurn, TurnBegun
from waxwingglade.ledger.tests.builders import PROGRAM, Cluster, MessageLost, begin, end, turn
from waxwingglade.ledger.tests.machines import Machines, quick_times

WAIT_LIMIT_S = 20.0


class MembershipTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.enterContext(quick_times())
        self.machines = Machines()
        self.addAsyncCleanup(self.machines.stop_all)
        for vm in ("vm-0", "vm-1", "vm-2"):
            await self.machines.add_machine(vm)
        await self.until(lambda: self.machines.vms() == {"vm-0", "vm-1", "vm-2"})

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def keep(self, vm: str, number: int) -> None:
        """Store a turn through a coordinator, and retry until it is stored."""
        coordinator = self.machines.coordinator(vm)
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not (await coordinator.end(end(number))).kept:
                await asyncio.sleep(0.01)

    async def find(self, vm: str, number: int) -> None:
        """Check that a turn is found through a coordinator."""
        coordinator = self.machines.coordinator(vm)
        async with asyncio.timeout(WAIT_LIMIT_S):
            while True:
                try:
                    answer = await coordinator.begin(begin(900, previous=f"turn-{number}"))
                except WaxwinggladeError:
                    continue
                self.assertNotIsInstance(answer, NoSuchTurn)
                if isinstance(answer, TurnBegun):
                    break
                await asyncio.sleep(0.01)
        self.assertEqual(answer.chain, (turn(number),))

    def disk(self, vm: str) -> str:
        """Return the name of a machine's disk."""
        return self.machines.replicas[vm].disk

    async def test_a_wiped_disk_joins_as_another_member_with_all_data(self) -> None:
        self.machines.isolate("vm-2")
        await self.keep("vm-0", 1)
        self.machines.heal()
        old = self.disk("vm-0")
        await self.machines.remove_machine("vm-0")
        await self.machines.add_machine("vm-0")
        await self.until(
            lambda: self.machines.current_set.settled
            and {m.disk for m in self.machines.current_set.members}
            == {self.disk(vm) for vm in ("vm-0", "vm-1", "vm-2")}
        )
        self.assertNotEqual(self.disk("vm-0"), old)
        await self.machines.remove_machine("vm-1")
        await self.find("vm-0", 1)

    async def test_an_added_machine_is_on_standby(self) -> None:
        await self.machines.add_machine("vm-9")
        await asyncio.sleep(0.2)
        self.assertEqual(self.machines.vms(), {"vm-0", "vm-1", "vm-2"})

    async def test_a_machine_replaced_elsewhere_is_removed(self) -> None:
        await self.keep("vm-0", 1)
        await self.machines.remove_machine("vm-0")
        await self.machines.add_machine("vm-10")
        await self.until(lambda: self.machines.vms() == {"vm-1", "vm-2", "vm-10"})
        await self.machines.remove_machine("vm-1")
        await self.find("vm-10", 1)

    @mock.patch("waxwingglade.ledger.membership.STANDBY_JOIN_WAIT_S", STANDBY_JOIN_WAIT_S)
    async def test_a_standby_joins_before_a_machine_is_retired(self) -> None:
        await self.keep("vm-0", 1)
        await self.machines.add_machine("vm-9")
        await asyncio.sleep(0.1)
        self.machines.store.put("op/retire/vm-1", b"{}")
        await self.until(lambda: "status/vm-1" in self.machines.store.items)
        await self.until(lambda: b"completed" in self.machines.store.items["status/vm-1"].value)
        self.assertEqual(self.machines.vms(), {"vm-0", "vm-2", "vm-9"})

    async def test_an_order_that_can_not_be_reported_keeps_no_other_from_being_reported(
        self,
    ) -> None:
        """Guards against VMs that stay although they hold nothing, as their states are missing."""
        store = self.machines.store
        store.failing_keys = {"status/odd-1", "status/odd-2"}
        for vm in ("odd-1", "odd-2", "vm-1"):
            store.put(f"op/retire/{vm}", b"{}")
        await self.until(lambda: "status/vm-1" in store.items)
        await self.until(lambda: b"completed" in store.items["status/vm-1"].value)
        store.failing_keys = set()
        await self.until(lambda: {"status/odd-1", "status/odd-2"} <= set(store.items))

    async def test_a_wipe_just_after_a_retirement_without_standby(self) -> None:
        """Two members remain; the disk of one is lost while a new machine joins."""
        await self.keep("vm-0", 1)
        self.machines.store.put("op/retire/vm-1", b"{}")
        await self.until(lambda: self.machines.vms() == {"vm-0", "vm-2"})
        await self.machines.remove_machine("vm-0")
        await self.machines.add_machine("vm-9")
        await self.until(lambda: {"vm-2", "vm-9"} <= self.machines.vms())
        await self.find("vm-9", 1)
        await self.machines.add_machine("vm-0")
        await self.until(
            lambda: self.disk("vm-0") in {m.disk for m in self.machines.current_set.members}
            and self.machines.vms() == {"vm-0", "vm-2", "vm-9"}
        )

    async def test_a_set_that_is_too_small_grows_at_once(self) -> None:
        """A member is replaced while the set has one member fewer than wanted."""
        with mock.patch("waxwingglade.ledger.membership.REPLACE_FROM_OTHER_ZONE_S", 1000.0):
            self.machines.store.put("op/retire/vm-1", b"{}")
            await self.until(lambda: self.machines.vms() == {"vm-0", "vm-2"})
            await self.keep("vm-0", 1)
            await self.machines.remove_machine("vm-0")
            await self.machines.add_machine("vm-10")
            await self.until(lambda: {"vm-2", "vm-10"} <= self.machines.vms())
            await self.find("vm-10", 1)

    async def test_a_partitioned_machine_stays_without_a_replacement(self) -> None:
        self.machines.isolate("vm-2")
        await asyncio.sleep(0.6)
        self.assertEqual(self.machines.vms(), {"vm-0", "vm-1", "vm-2"})
        await self.keep("vm-0", 1)
        self.machines.heal()

    async def test_the_set_does_not_change_while_the_store_is_unavailable(self) -> None:
        self.machines.store.unavailable = True
        await self.machines.remove_machine("vm-0")
        await self.machines.add_machine("vm-10")
        await asyncio.sleep(0.5)
        self.assertEqual(self.machines.vms(), {"vm-0", "vm-1", "vm-2"})
        await self.keep("vm-1", 1)
        self.machines.store.unavailable = False
        await self.until(lambda: self.machines.vms() == {"vm-1", "vm-2", "vm-10"})

    async def test_a_partitioned_member_denies_no_turn_alone(self) -> None:
        """A machine retires without a successor, a zone is partitioned, and a new machine joins.

        Two of three members outside the partition store turns.  The member inside still uses the
        set of two.  It is half of that set and meets each of its majorities, but it is no majority
        of the next set.
        """
        self.machines.store.put("op/retire/vm-1", b"{}")
        await self.until(lambda: self.machines.vms() == {"vm-0", "vm-2"})
        await self.machines.remove_machine("vm-1")
        await self.until(lambda: self.machines.machines["vm-2"].membership.replicas.settled)
        self.machines.reject_store_calls("vm-2")
        await self.machines.add_machine("vm-9")
        self.machines.isolate("vm-2")
        await self.until(lambda: self.machines.vms() == {"vm-0", "vm-2", "vm-9"})
        await self.keep("vm-0", 1)
        answer = await self.machines.coordinator("vm-2").begin(begin(2, previous="turn-1"))
        self.assertNotIsInstance(answer, NoSuchTurn)

    async def test_a_set_is_settled_though_the_store_rejects_its_first_member(self) -> None:
        """The member answers pings, and would lead if the store did not reject its calls."""
        first, other, _ = (member.vm for member in self.machines.current_set.members)
        self.machines.reject_store_calls(first)
        await self.machines.remove_machine(other)
        await self.machines.add_machine(other)
        await self.until(lambda: self.machines.current_set.joining == self.disk(other))
        await self.until(lambda: self.machines.current_set.settled)
        await self.until(lambda: len(self.machines.vms()) == 3)

    async def test_members_are_pinged_though_one_is_unresponsive(self) -> None:
        membership = self.machines.machines["vm-0"].membership
        asked: list[str] = []

        async def ask(member: Member, message: Any, timeout_s: float) -> Any:
            asked.append(member.vm)
            if member.vm == "vm-1":
                await asyncio.sleep(timeout_s)
            raise MessageLost(member.vm)

        membership.ask = ask
        await asyncio.sleep(0.2)
        self.assertGreater(asked.count("vm-2"), 4)


class CatchUpTest(unittest.IsolatedAsyncioTestCase):
    async def test_accounts_are_durable_after_catching_up(self) -> None:
        """An account that is being written is skipped at the next member as if it were durable."""
        cluster = Cluster()
        self.addAsyncCleanup(cluster.close)
        await cluster.start()
        await cluster.coordinator("vm-0").begin(begin(1))
        slots = [replica.slots for replica in cluster.replicas.values()]
        held = next(each[PROGRAM] for each in slots if PROGRAM in each)
        for each in slots:
            each[PROGRAM] = held
        joiner = cluster.add("vm-3")
        joiner.open()
        await joiner.adopt_members(cluster.set)
        never = asyncio.get_running_loop().create_future
        append = mock.patch.object(joiner.journal, "append", lambda content: never())
        with append, self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.3):
                await catch_up(
                    joiner,
                    cluster.set,
                    lambda member, message, timeout_s: cluster.ask("vm-3", member, message),
                    lambda _: None,
                )

    async def test_a_member_that_never_answers_delays_nothing(self) -> None:
        cluster = Cluster()
        self.addAsyncCleanup(cluster.close)
        await cluster.start()
        await cluster.coordinator("vm-0").end(end(1))
        joiner = cluster.add("vm-9")
        joiner.open()

        async def ask(member: Member, message: Any, timeout_s: float) -> Any:
            if member.vm == "vm-1":
                await asyncio.Event().wait()
            return await cluster.replicas[member.vm].handle(message)

        async with asyncio.timeout(WAIT_LIMIT_S):
            await catch_up(joiner, cluster.set, ask, lambda _: None)
        self.assertIn("turn-1", joiner.turns)
        with self.assertRaises(WaxwinggladeError):
            await catch_up(joiner, cluster.set, _refuse, lambda _: None)


async def _refuse(member: Member, message: Any, timeout_s: float) -> Any:
    raise MessageLost("down")


class BlockingSizeTest(unittest.TestCase):
    def test_every_majority_meets_a_set_of_the_blocking_size(self) -> None:
        for size in range(1, 12):
            majority = size // 2 + 1
            self.assertGreater(blocking_size_of(size) + majority, size)
            self.assertLessEqual(blocking_size_of(size) - 1 + majority, size)
