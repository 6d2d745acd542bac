"""Reservations that no entry has confirmed give way, and no others do.

An entry may be killed before it knows that a turn has begun, with all who could tell.  What it then
refused, or never answered, must not count against the budget for good; what it serves must.
"""

import asyncio
import random
import unittest
from unittest import mock

import msgspec

from waxwingglade.ledger.confirmations import CONFIRM_TIMEOUT_S
from waxwingglade.ledger.coordinator import Coordinator
from waxwingglade.ledger.messages import (
    BeginTurn,
    BudgetSpent,
    ConfirmTurn,
    NoSuchTurn,
    TurnBegun,
    TurnConfirmed,
    Unavailable,
)
from waxwingglade.ledger.tests.builders import PROGRAM, Cluster, begin, end

BUDGET = 1000
TURNS = 30
MORE_TURNS = 6
PART = BUDGET // 4


def first(number: int, tokens: int = BUDGET) -> BeginTurn:
    """Return a request to begin a turn whose reservation is to be confirmed."""
    return msgspec.structs.replace(begin(number, tokens, BUDGET), confirms=True)


def confirmation(number: int) -> ConfirmTurn:
    """Return a request to confirm it."""
    return ConfirmTurn(begin(number).turn, PROGRAM)


class ConfirmationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        self.one = self.cluster.coordinator("vm-0")
        self.two = self.cluster.coordinator("vm-1")

    async def restart_all(self) -> None:
        """Restart all replicas, with coordinators that know nothing."""
        for vm in list(self.cluster.replicas):
            await self.cluster.restart(vm)
            await self.cluster.replicas[vm].adopt_members(self.cluster.set)
        self.one, self.two = (self.cluster.coordinator(vm) for vm in ("vm-0", "vm-1"))

    async def test_a_reservation_whose_entry_is_gone_gives_way(self) -> None:
        self.assertEqual(self.one.own.disk, (await self.one.begin(first(1))).granter)
        await self.restart_all()
        self.assertIsInstance(await self.two.begin(first(2)), TurnBegun)

    async def test_one_that_was_confirmed_counts_over_a_restart(self) -> None:
        await self.one.begin(first(1))
        self.assertIsInstance(await self.one.confirm(confirmation(1)), TurnConfirmed)
        await self.restart_all()
        self.assertIsInstance(await self.two.begin(first(2)), BudgetSpent)

    async def test_one_that_has_lapsed_is_not_confirmed(self) -> None:
        await self.one.begin(first(1))
        await self.two.begin(first(2))
        self.assertIsInstance(await self.one.confirm(confirmation(1)), NoSuchTurn)
        self.assertIsInstance(await self.two.confirm(confirmation(2)), TurnConfirmed)

    async def test_one_that_is_confirmed_meanwhile_counts(self) -> None:
        """The turn that waits for it is told at once that the budget is spent."""
        await self.one.begin(first(1))
        waiting = asyncio.create_task(self.two.begin(first(2)))
        await asyncio.sleep(CONFIRM_TIMEOUT_S / 2)
        self.assertFalse(waiting.done())
        self.assertIsInstance(await self.one.confirm(confirmation(1)), TurnConfirmed)
        async with asyncio.timeout(CONFIRM_TIMEOUT_S):
            self.assertIsInstance(await waiting, BudgetSpent)

    async def test_one_that_ends_meanwhile_makes_room(self) -> None:
        await self.one.begin(first(1))
        waiting = asyncio.create_task(self.two.begin(first(2)))
        await asyncio.sleep(CONFIRM_TIMEOUT_S / 4)
        await self.one.end(end(1, used=0))
        async with asyncio.timeout(CONFIRM_TIMEOUT_S / 2):
            self.assertIsInstance(await waiting, TurnBegun)

    async def test_one_that_would_not_make_enough_room_is_not_waited_for(self) -> None:
        await self.one.begin(begin(1, BUDGET - PART, BUDGET))
        await self.one.begin(first(2, PART))
        async with asyncio.timeout(CONFIRM_TIMEOUT_S / 2):
            self.assertIsInstance(await self.two.begin(first(3)), BudgetSpent)

    async def test_one_whose_process_does_not_answer_is_not_called_spent(self) -> None:
        """Whether it is confirmed only that process knows."""
        await self.one.begin(first(1))
        await self.one.confirm(confirmation(1))
        self.cluster.isolate("vm-0")
        self.assertIsInstance(await self.two.begin(first(2)), Unavailable)
        self.cluster.heal()
        self.assertIsInstance(await self.two.begin(first(3)), BudgetSpent)

    async def test_one_whose_process_has_lost_its_disk_counts(self) -> None:
        await self.one.begin(first(1))
        await self.cluster.use(self.cluster.without("vm-0"))
        self.assertIsInstance(await self.two.begin(first(2)), BudgetSpent)

    async def test_one_that_another_process_confirms_counts(self) -> None:
        """Its entry asks another one where the first gives no answer in time."""
        await self.one.begin(first(1))
        self.cluster.isolate("vm-0")
        self.assertIsInstance(await self.two.confirm(confirmation(1)), TurnConfirmed)
        self.assertIsInstance(await self.two.begin(first(2)), BudgetSpent)

    async def test_one_that_was_called_lapsed_is_not_confirmed_there(self) -> None:
        await self.one.begin(first(1))
        await asyncio.sleep(CONFIRM_TIMEOUT_S)
        turn = begin(1).turn
        confirmations = self.one.confirmations
        self.assertEqual(((), (turn,)), confirmations.classify(PROGRAM, [turn]))
        self.assertFalse(await confirmations.confirm(PROGRAM, turn))
        self.assertFalse(confirmations.begin(PROGRAM, turn), "nor after it is begun again")
        self.assertIsInstance(await self.one.confirm(confirmation(1)), TurnConfirmed)
        self.assertIsInstance(await self.two.begin(first(2)), BudgetSpent)

    async def test_a_confirmation_outlives_the_segment_of_the_disk_that_it_is_on(self) -> None:
        await self.one.begin(first(1))
        await self.one.confirm(confirmation(1))
        replica = self.cluster.replicas["vm-0"]
        with mock.patch("waxwingglade.ledger.journal.SEGMENT_BYTES", 1):
            await replica.flush()
            await replica._drop_segments()
        await self.restart_all()
        self.assertIsInstance(await self.two.begin(first(2)), BudgetSpent)

    async def test_a_program_that_is_forgotten_while_its_turn_begins(self) -> None:
        """Its account is of long ago, and the sweep comes between the two."""
        beginning = asyncio.create_task(self.one.begin(first(1)))
        await asyncio.sleep(0)
        self.one.confirmations.remove(PROGRAM)
        self.assertIsInstance(await beginning, TurnBegun)
        self.assertIsInstance(await self.one.confirm(confirmation(1)), TurnConfirmed)

    async def test_what_was_never_confirmed_and_has_ended_is_forgotten(self) -> None:
        await self.one.begin(first(1))
        await self.one.end(end(1, used=0))
        self.assertEqual({}, self.one.confirmations.confirmable_until)

    async def test_what_has_ended_is_forgotten(self) -> None:
        await self.one.begin(first(1))
        await self.one.confirm(confirmation(1))
        await self.one.end(end(1))
        self.assertEqual([], list(self.one.confirmations.all_confirmed()))
        self.assertEqual({}, self.one.confirmations.confirmable_until)

    async def test_one_of_an_entry_that_does_not_confirm_counts(self) -> None:
        self.assertEqual("", (await self.one.begin(begin(1, BUDGET, BUDGET))).granter)
        await self.restart_all()
        self.assertIsInstance(await self.two.begin(first(2)), BudgetSpent)

    async def test_a_turn_that_begins_twice_is_confirmed_once_for_both(self) -> None:
        """Its entry asks another replica where the first gives no answer in time."""
        await self.one.begin(first(1))
        begun = await self.two.begin(first(1))
        self.assertEqual(self.one.own.disk, begun.granter, "who began it first may confirm it")
        for coordinator in (self.two, self.one):
            self.assertIsInstance(await coordinator.confirm(confirmation(1)), TurnConfirmed)

    async def test_confirmed_turns_use_the_whole_budget_and_no_more(self) -> None:
        """Whatever gets lost, is late, or is judged by others meanwhile."""
        draw = random.Random(7)
        self.cluster.loss = 0.05
        coordinators = [self.cluster.coordinator(vm) for vm in self.cluster.members]
        served: list[int] = []

        async def serve(number: int, pauses_s: tuple[float, ...]) -> None:
            coordinator: Coordinator = draw.choice(coordinators)
            if not isinstance(await coordinator.begin(first(number, PART)), TurnBegun):
                return
            await asyncio.sleep(draw.choice(pauses_s))
            confirmed: object = Unavailable("not asked")
            while isinstance(confirmed, Unavailable):
                confirmed = await draw.choice(coordinators).confirm(confirmation(number))
            if isinstance(confirmed, TurnConfirmed):
                served.append(number)

        async def serve_soon(number: int) -> None:
            await asyncio.sleep(draw.random())
            await serve(number, (0.0, 0.0, CONFIRM_TIMEOUT_S, 1.5 * CONFIRM_TIMEOUT_S))

        await asyncio.gather(*(serve_soon(number) for number in range(TURNS)))
        self.assertLessEqual(len(served), BUDGET // PART)
        self.cluster.loss = 0.0
        for number in range(TURNS, TURNS + MORE_TURNS):
            await serve(number, (0.0,))
        self.assertEqual(BUDGET // PART, len(served))


if __name__ == "__main__":
    unittest.main()
