"""Budgets and turns under partitions, lost messages, restarts and concurrent coordinators."""

import asyncio
import unittest
from unittest import mock

from waxwingglade.ledger.messages import (
    Accept,
    Account,
    Ballot,
    BudgetSpent,
    Fetched,
    Find,
    ListHeld,
    NoSuchTurn,
    Prepare,
    TurnBegun,
    TurnId,
    Unavailable,
)
from waxwingglade.ledger.tests.builders import PROGRAM, Cluster, begin, end, turn

TURN = 100
BUDGET = 1000


class CoordinatorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        self.one = self.cluster.coordinator("vm-0")
        self.two = self.cluster.coordinator("vm-1")

    async def test_a_turn_is_continued_through_another_coordinator(self) -> None:
        self.assertIsInstance(await self.one.begin(begin(1)), TurnBegun)
        ended = await self.one.end(end(1))
        self.assertTrue(ended.kept and ended.settled)
        answer = await self.two.begin(begin(2, previous="turn-1"))
        self.assertEqual(answer, TurnBegun((turn(1),)))

    async def test_a_chain_is_complete_and_oldest_first(self) -> None:
        await self.one.end(end(1))
        await self.one.end(end(2, previous=1))
        await self.two.end(end(3, previous=2))
        answer = await self.two.begin(begin(4, previous="turn-3"))
        self.assertEqual(answer, TurnBegun((turn(1), turn(2, 1), turn(3, 2))))

    async def test_a_chain_stored_locally_causes_no_request(self) -> None:
        await self.one.end(end(1))
        await self.one.begin(begin(2, previous="turn-1"))
        asked = [message for _, _, message in self.cluster.carried if isinstance(message, Find)]
        self.assertEqual(asked, [])

    async def test_no_such_turn_needs_enough_witnesses(self) -> None:
        self.assertIsInstance(await self.one.begin(begin(2, previous="turn-9")), NoSuchTurn)
        self.cluster.isolate("vm-0")
        self.assertIsInstance(await self.one.begin(begin(2, previous="turn-9")), Unavailable)

    async def test_a_turn_stored_by_two_of_three_survives_the_loss_of_either(self) -> None:
        self.cluster.isolate("vm-2")
        self.assertTrue((await self.one.end(end(1))).kept)
        self.cluster.heal()
        self.cluster.isolate("vm-0")
        answer = await self.two.begin(begin(2, previous="turn-1"))
        self.assertEqual(answer, TurnBegun((turn(1),)))

    async def test_a_turn_without_a_majority_is_not_stored(self) -> None:
        self.cluster.isolate("vm-0")
        ended = await self.one.end(end(1))
        self.assertFalse(ended.kept or ended.settled)

    async def test_the_budget_holds_across_coordinators_that_race(self) -> None:
        answers = await asyncio.gather(
            *(
                coordinator.begin(begin(number, TURN, BUDGET))
                for number, coordinator in enumerate([self.one, self.two] * 10)
            )
        )
        granted = [answer for answer in answers if isinstance(answer, TurnBegun)]
        self.assertLessEqual(len(granted) * TURN, BUDGET)
        for number in range(20, 40):
            await self.one.begin(begin(number, TURN, BUDGET))
        self.assertIsInstance(await self.two.begin(begin(99, TURN, BUDGET)), BudgetSpent)

    async def test_an_account_is_changed_at_as_many_members_as_are_needed(self) -> None:
        for number in range(3):
            await self.one.begin(begin(number, TURN, BUDGET))
        asked = {receiver for _, receiver, _ in self.cluster.carried}
        self.assertEqual(len(asked), 1, "one of the two others")
        with self.subTest("and at the remaining one in the same round, if that one is unreachable"):
            self.cluster.isolate(asked.pop())
            self.cluster.carried.clear()
            self.assertIsInstance(await self.one.begin(begin(3, TURN, BUDGET)), TurnBegun)
            kinds = [type(message) for _, _, message in self.cluster.carried]
            self.assertEqual(kinds, [Accept, Accept])

    async def test_a_turn_and_its_account_share_a_flush_at_each_member(self) -> None:
        replicas = self.cluster.replicas
        self.cluster.ask = lambda _, member, message: replicas[member.vm].handle(message)
        await self.one.begin(begin(1))
        before = [replica.journal.flushes for replica in replicas.values()]
        ended = await self.one.end(end(1))
        self.assertTrue(ended.kept and ended.settled)
        await asyncio.gather(*(replica.flush() for replica in replicas.values()))
        after = [replica.journal.flushes for replica in replicas.values()]
        self.assertEqual([2, 2, 2], [new - old for new, old in zip(after, before, strict=True)])

    async def test_a_committed_change_survives_one_without_a_majority(self) -> None:
        """The committed change has the lower name; the other follows one of its own process."""
        self.one.accounts.name, self.two.accounts.name = "zz", "aa"
        await self.one.begin(begin(1, TURN, BUDGET))
        self.cluster.isolate("vm-0")
        self.assertIsInstance(await self.one.begin(begin(2, TURN, BUDGET)), Unavailable)
        self.assertIsInstance(await self.two.begin(begin(3, BUDGET - TURN, BUDGET)), TurnBegun)
        self.cluster.heal()
        self.cluster.isolate("vm-2")
        third = self.cluster.coordinator("vm-1")
        answer = await third.begin(begin(4, TURN, BUDGET))
        self.assertIsInstance(answer, BudgetSpent)

    async def test_an_account_accepted_elsewhere_is_stored_below_a_promise(self) -> None:
        replica = self.cluster.replicas["vm-0"]
        promise = Ballot(5, "x")
        await replica.prepare(Prepare(self.cluster.set.epoch, PROGRAM, promise))
        account = Account(spent=7)
        await replica.store_fetched(Fetched((), {PROGRAM: (Ballot(2, "a"), account)}))
        replica = await self.cluster.restart("vm-0")
        slot = replica.slots[PROGRAM]
        self.assertEqual((slot.promised, slot.account), (promise, account))

    async def test_a_budget_is_not_reported_spent_without_a_majority(self) -> None:
        await self.one.begin(begin(1, BUDGET, BUDGET))
        self.cluster.isolate("vm-0")
        self.assertIsInstance(await self.one.begin(begin(2, TURN, BUDGET)), Unavailable)

    async def test_released_tokens_are_available_to_another_coordinator(self) -> None:
        await self.one.begin(begin(1, BUDGET, BUDGET))
        self.assertIsInstance(await self.two.begin(begin(2, TURN, BUDGET)), BudgetSpent)
        await self.one.end(end(1, used=0))
        self.assertIsInstance(await self.two.begin(begin(2, TURN, BUDGET)), TurnBegun)

    async def test_accounts_and_turns_survive_a_restart_of_all(self) -> None:
        await self.one.begin(begin(1, 600, BUDGET))
        await self.one.end(end(2))
        for vm in list(self.cluster.replicas):
            await self.cluster.restart(vm)
        fresh = self.cluster.coordinator("vm-2")
        self.assertIsInstance(await fresh.begin(begin(3, 600, BUDGET)), BudgetSpent)
        answer = await fresh.begin(begin(4, TURN, BUDGET, previous="turn-2"))
        self.assertEqual(answer, TurnBegun((turn(2),)))

    async def test_a_replica_refuses_an_older_set_of_members(self) -> None:
        newer = self.cluster.set.__class__(2, self.cluster.set.members, True)
        await self.cluster.replicas["vm-1"].adopt_members(newer)
        await self.cluster.replicas["vm-2"].adopt_members(newer)
        self.assertIsInstance(await self.one.begin(begin(1)), Unavailable)

    async def test_a_set_of_members_is_durable_before_a_request_under_it_is_answered(self) -> None:
        """A second request under a new set waits for the write of the first one."""
        replica = self.cluster.replicas["vm-0"]
        newer = self.cluster.set.__class__(2, self.cluster.set.members, True)
        first = asyncio.create_task(replica.adopt_members(newer))
        await asyncio.sleep(0)
        await replica.list_held(ListHeld(newer))
        self.assertTrue(replica.members_written.done())
        await first

    async def test_old_segments_are_removed_and_retained_data_stays(self) -> None:
        replica = self.cluster.replicas["vm-0"]
        await self.one.begin(begin(7, 600, BUDGET))
        with mock.patch("waxwingglade.ledger.journal.SEGMENT_BYTES", 1):
            for number in range(3):
                await replica._store_turn(turn(number, expires_at=10.0))
            await replica._store_turn(turn(9))
        before = len(replica.journal.segments)
        replica.wall_clock = lambda: 500.0
        replica.forget_expired()
        await replica._drop_segments()
        self.assertLess(len(replica.journal.segments), before)
        replica = await self.cluster.restart("vm-0")
        self.assertEqual(set(replica.turns), {"turn-9"})
        self.assertEqual(replica.slots[PROGRAM].account.open, {"turn-7": 600})
        self.assertEqual(replica.replicas, self.cluster.set)

    async def test_expired_turns_are_removed_and_ancestors_of_retained_ones_stay(self) -> None:
        replica = self.cluster.replicas["vm-0"]
        await replica._store_turn(turn(1, expires_at=10.0))
        await replica._store_turn(turn(2, previous=1, expires_at=1000.0))
        await replica._store_turn(turn(3, expires_at=10.0))
        replica.wall_clock = lambda: 500.0
        replica.forget_expired()
        self.assertEqual(set(replica.turns), {"turn-1", "turn-2"})
        found = await replica.find(Find(self.cluster.set.epoch, TurnId("turn-2")))
        self.assertTrue(found.whole)


class RandomFaults(unittest.IsolatedAsyncioTestCase):
    """Budgets and stored turns under lost messages, partitions and restarts, for several seeds."""

    async def test_no_token_too_many_and_no_turn_lost(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                await self._run(seed)

    async def _run(self, seed: int) -> None:
        cluster = Cluster(seed=seed)
        await cluster.start()
        coordinators = [cluster.coordinator(vm) for vm in cluster.replicas]
        granted: dict[int, int] = {}
        kept: set[int] = set()

        async def one_turn(number: int) -> None:
            coordinator = coordinators[number % 3]
            answer = await coordinator.begin(begin(number, TURN, BUDGET))
            if not isinstance(answer, TurnBegun):
                return
            granted[number] = TURN
            await asyncio.sleep(cluster.random.random() * 0.005)
            used = cluster.random.choice([0, 30, 100])
            granted[number] = used
            ended = await coordinator.end(end(number, used))
            if ended.kept:
                kept.add(number)

        cluster.loss = 0.1
        for wave in range(4):
            if wave % 2:
                cluster.isolate(f"vm-{cluster.random.randrange(3)}")
            await asyncio.gather(*(one_turn(wave * 6 + step) for step in range(6)))
            cluster.heal()
            vm = f"vm-{cluster.random.randrange(3)}"
            await cluster.restart(vm)
        self.assertLessEqual(sum(granted.values()), BUDGET, "tokens handed out")
        cluster.loss = 0.0
        for number in kept:
            answer = await coordinators[0].turns.find(TurnId(f"turn-{number}"))
            self.assertIsNotNone(answer, f"turn {number} was stored and is missing")
        await cluster.close()
