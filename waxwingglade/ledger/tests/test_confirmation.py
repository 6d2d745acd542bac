"""Tests that unconfirmed reservations expire, and that confirmed ones do not.

An entry may be killed before it receives the answer that a turn has begun, along with all processes
that have recorded the turn.  A turn that was refused or never answered must not use the budget
forever; a turn that is served must.
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
SHARE = BUDGET // 4


def begin_unconfirmed(number: int, tokens: int = BUDGET) -> BeginTurn:
    """Return a request to begin a turn whose reservation is to be confirmed."""
    return msgspec.structs.replace(begin(number, tokens, BUDGET), confirms=True)


def confirmation(number: int) -> ConfirmTurn:
    """Return a request to confirm the reservation of a turn."""
    return ConfirmTurn(begin(number).turn, PROGRAM)


class ConfirmationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        self.one = self.cluster.coordinator("vm-0")
        self.two = self.cluster.coordinator("vm-1")

    async def restart_all(self) -> None:
        """Restart all replicas, with coordinators without any state."""
        for vm in list(self.cluster.replicas):
            await self.cluster.restart(vm)
            await self.cluster.replicas[vm].adopt_members(self.cluster.set)
        self.one, self.two = (self.cluster.coordinator(vm) for vm in ("vm-0", "vm-1"))

    async def test_an_unconfirmed_reservation_expires_over_a_restart(self) -> None:
        self.assertEqual(self.one.own.disk, (await self.one.begin(begin_unconfirmed(1))).granter)
        await self.restart_all()
        self.assertIsInstance(await self.two.begin(begin_unconfirmed(2)), TurnBegun)

    async def test_a_confirmed_reservation_survives_a_restart(self) -> None:
        await self.one.begin(begin_unconfirmed(1))
        self.assertIsInstance(await self.one.confirm(confirmation(1)), TurnConfirmed)
        await self.restart_all()
        self.assertIsInstance(await self.two.begin(begin_unconfirmed(2)), BudgetSpent)

    async def test_an_expired_reservation_is_not_confirmed(self) -> None:
        await self.one.begin(begin_unconfirmed(1))
        await self.two.begin(begin_unconfirmed(2))
        self.assertIsInstance(await self.one.confirm(confirmation(1)), NoSuchTurn)
        self.assertIsInstance(await self.two.confirm(confirmation(2)), TurnConfirmed)

    async def test_a_reservation_that_is_confirmed_meanwhile_counts(self) -> None:
        """The turn that waits for the reservation is refused at once."""
        await self.one.begin(begin_unconfirmed(1))
        waiting = asyncio.create_task(self.two.begin(begin_unconfirmed(2)))
        await asyncio.sleep(CONFIRM_TIMEOUT_S / 2)
        self.assertFalse(waiting.done())
        self.assertIsInstance(await self.one.confirm(confirmation(1)), TurnConfirmed)
        async with asyncio.timeout(CONFIRM_TIMEOUT_S):
            self.assertIsInstance(await waiting, BudgetSpent)

    async def test_a_turn_that_ends_meanwhile_releases_its_tokens(self) -> None:
        await self.one.begin(begin_unconfirmed(1))
        waiting = asyncio.create_task(self.two.begin(begin_unconfirmed(2)))
        await asyncio.sleep(CONFIRM_TIMEOUT_S / 4)
        await self.one.end(end(1, used=0))
        async with asyncio.timeout(CONFIRM_TIMEOUT_S / 2):
            self.assertIsInstance(await waiting, TurnBegun)

    async def test_a_reservation_that_is_too_small_is_not_waited_for(self) -> None:
        await self.one.begin(begin(1, BUDGET - SHARE, BUDGET))
        await self.one.begin(begin_unconfirmed(2, SHARE))
        async with asyncio.timeout(CONFIRM_TIMEOUT_S / 2):
            self.assertIsInstance(await self.two.begin(begin_unconfirmed(3)), BudgetSpent)

    async def test_a_reservation_of_an_unresponsive_process_is_not_called_spent(self) -> None:
        """Only that process can report whether the reservation is confirmed."""
        await self.one.begin(begin_unconfirmed(1))
        await self.one.confirm(confirmation(1))
        self.cluster.isolate("vm-0")
        self.assertIsInstance(await self.two.begin(begin_unconfirmed(2)), Unavailable)
        self.cluster.heal()
        self.assertIsInstance(await self.two.begin(begin_unconfirmed(3)), BudgetSpent)

    async def test_a_reservation_of_a_process_that_has_lost_its_disk_counts(self) -> None:
        await self.one.begin(begin_unconfirmed(1))
        await self.cluster.use(self.cluster.without("vm-0"))
        self.assertIsInstance(await self.two.begin(begin_unconfirmed(2)), BudgetSpent)

    async def test_a_reservation_that_another_process_confirms_counts(self) -> None:
        """An entry asks another process if the first one does not answer in time."""
        await self.one.begin(begin_unconfirmed(1))
        self.cluster.isolate("vm-0")
        self.assertIsInstance(await self.two.confirm(confirmation(1)), TurnConfirmed)
        self.assertIsInstance(await self.two.begin(begin_unconfirmed(2)), BudgetSpent)

    async def test_a_process_does_not_confirm_a_turn_that_it_reported_as_expired(self) -> None:
        await self.one.begin(begin_unconfirmed(1))
        await asyncio.sleep(CONFIRM_TIMEOUT_S)
        turn = begin(1).turn
        confirmations = self.one.confirmations
        self.assertEqual(((), (turn,)), confirmations.classify(PROGRAM, [turn]))
        self.assertFalse(await confirmations.confirm(PROGRAM, turn))
        self.assertFalse(confirmations.begin(PROGRAM, turn), "nor after it is begun again")
        self.assertIsInstance(await self.one.confirm(confirmation(1)), TurnConfirmed)
        self.assertIsInstance(await self.two.begin(begin_unconfirmed(2)), BudgetSpent)

    async def test_a_confirmation_is_retained_when_its_segment_of_the_journal_is_dropped(
        self,
    ) -> None:
        await self.one.begin(begin_unconfirmed(1))
        await self.one.confirm(confirmation(1))
        replica = self.cluster.replicas["vm-0"]
        with mock.patch("waxwingglade.ledger.journal.SEGMENT_BYTES", 1):
            await replica.flush()
            await replica._drop_segments()
        await self.restart_all()
        self.assertIsInstance(await self.two.begin(begin_unconfirmed(2)), BudgetSpent)

    async def test_a_program_that_is_removed_while_its_turn_begins(self) -> None:
        """The program's account is old, and the sweep removes it while the turn is begun."""
        beginning = asyncio.create_task(self.one.begin(begin_unconfirmed(1)))
        await asyncio.sleep(0)
        self.one.confirmations.remove(PROGRAM)
        self.assertIsInstance(await beginning, TurnBegun)
        self.assertIsInstance(await self.one.confirm(confirmation(1)), TurnConfirmed)

    async def test_an_unconfirmed_turn_that_has_ended_is_removed(self) -> None:
        await self.one.begin(begin_unconfirmed(1))
        await self.one.end(end(1, used=0))
        self.assertEqual({}, self.one.confirmations.confirmable_until)

    async def test_a_confirmed_turn_that_has_ended_is_removed(self) -> None:
        await self.one.begin(begin_unconfirmed(1))
        await self.one.confirm(confirmation(1))
        await self.one.end(end(1))
        self.assertEqual([], list(self.one.confirmations.all_confirmed()))
        self.assertEqual({}, self.one.confirmations.confirmable_until)

    async def test_a_reservation_of_an_entry_that_does_not_confirm_counts(self) -> None:
        self.assertEqual("", (await self.one.begin(begin(1, BUDGET, BUDGET))).granter)
        await self.restart_all()
        self.assertIsInstance(await self.two.begin(begin_unconfirmed(2)), BudgetSpent)

    async def test_a_turn_that_begins_twice_is_confirmed_once_for_both(self) -> None:
        """An entry asks another replica if the first one does not answer in time."""
        await self.one.begin(begin_unconfirmed(1))
        begun = await self.two.begin(begin_unconfirmed(1))
        self.assertEqual(self.one.own.disk, begun.granter, "the first to begin it may confirm it")
        for coordinator in (self.two, self.one):
            self.assertIsInstance(await coordinator.confirm(confirmation(1)), TurnConfirmed)

    async def test_confirmed_turns_use_the_complete_budget_and_no_more(self) -> None:
        """Messages are lost or late, and other processes expire reservations meanwhile."""
        draw = random.Random(7)
        self.cluster.loss = 0.05
        coordinators = [self.cluster.coordinator(vm) for vm in self.cluster.members]
        served: list[int] = []

        async def serve(number: int, pauses_s: tuple[float, ...]) -> None:
            coordinator: Coordinator = draw.choice(coordinators)
            if not isinstance(await coordinator.begin(begin_unconfirmed(number, SHARE)), TurnBegun):
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
        self.assertLessEqual(len(served), BUDGET // SHARE)
        self.cluster.loss = 0.0
        for number in range(TURNS, TURNS + MORE_TURNS):
            await serve(number, (0.0,))
        self.assertEqual(BUDGET // SHARE, len(served))


if __name__ == "__main__":
    unittest.main()
