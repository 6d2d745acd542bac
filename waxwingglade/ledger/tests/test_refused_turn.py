"""A turn that was refused takes nothing from its program's budget.

What happened: an entry asked the ledger to begin a turn and got no answer in time, as replicas
stood still or lost their disks.  It refused the turn as not run.  The reservation had reached a
majority all the same, and the entry's attempts to settle it reached one replica after the other,
0.4 s apart.  The caller came back through another entry 0.02 to 0.1 s later, and was told that its
budget was spent: a 402, which ends a program for good.

Why: a replica that had been told of the turn's end, and could not bring a majority to settle it,
kept that to itself, and judged the next turn by the account alone.

What showed it: ``budget spent`` with ``reserved`` 40 at a replica (0.12 s after the 503), and after
it ``turn not settled`` for the refused turn, at all three replicas.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from waxwingglade.ledger.messages import BudgetSpent, ListEnds, NoteEnd, TurnBegun
from waxwingglade.ledger.rounds import HEDGE_S
from waxwingglade.ledger.tests.builders import Cluster, begin, end

BUDGET = 1000


def later(handler: Callable[[Any], Awaitable[Any]]) -> Callable[[Any], Awaitable[Any]]:
    """Return a handler that takes a while, as that of a busy process."""

    async def handle(message: Any) -> Any:
        await asyncio.sleep(1.5 * HEDGE_S)
        return await handler(message)

    return handle


class RefusedTurnTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        self.one = self.cluster.coordinator("vm-0")
        self.two = self.cluster.coordinator("vm-1")
        self.refused = msgspec.structs.replace(end(1, used=0), kept=None)
        # The second changes accounts without the first, which may have accepted the settlement.
        self.two.rounds.avoided[self.cluster.members["vm-0"].disk] = float("inf")

    async def reserve_and_tell_one_that_is_cut_off(self) -> None:
        """Leave a reservation whose end only the first replica's process has heard of."""
        self.assertIsInstance(await self.one.begin(begin(1, BUDGET, BUDGET)), TurnBegun)
        self.cluster.isolate("vm-0")
        self.assertFalse((await self.one.end(self.refused)).settled)
        self.cluster.heal()

    async def test_whoever_was_told_of_its_end_does_not_count_it(self) -> None:
        await self.reserve_and_tell_one_that_is_cut_off()
        self.assertIsInstance(await self.one.begin(begin(2, BUDGET, BUDGET)), TurnBegun)

    async def test_others_ask_before_they_call_the_budget_spent(self) -> None:
        await self.reserve_and_tell_one_that_is_cut_off()
        self.assertIsInstance(await self.two.begin(begin(2, BUDGET, BUDGET)), TurnBegun)

    async def test_what_was_told_outlives_a_restart(self) -> None:
        await self.reserve_and_tell_one_that_is_cut_off()
        await self.cluster.restart("vm-0")
        self.assertIsInstance(await self.two.begin(begin(2, BUDGET, BUDGET)), TurnBegun)

    async def test_a_budget_is_not_called_spent_before_a_majority_has_told_of_ends(self) -> None:
        self.assertIsInstance(await self.one.begin(begin(1, BUDGET, BUDGET)), TurnBegun)
        await self.two.begin(begin(2, BUDGET, BUDGET))
        for vm, replica in self.cluster.replicas.items():
            if vm != "vm-1":
                await replica.note_end(NoteEnd(self.refused))
            replica.handlers[ListEnds] = later(replica.handlers[ListEnds])
        self.assertIsInstance(await self.two.begin(begin(3, BUDGET, BUDGET)), TurnBegun)

    async def test_a_turn_that_has_used_tokens_counts_them(self) -> None:
        self.refused = msgspec.structs.replace(self.refused, used_tokens=BUDGET)
        await self.reserve_and_tell_one_that_is_cut_off()
        self.assertIsInstance(await self.two.begin(begin(2, 1, BUDGET)), BudgetSpent)

    async def test_a_refused_turn_is_not_begun_late(self) -> None:
        """Its request may have lain at a replica that stood still."""
        self.cluster.isolate("vm-0")
        await self.one.end(self.refused)
        self.cluster.heal()
        self.assertNotIsInstance(await self.one.begin(begin(1, BUDGET, BUDGET)), TurnBegun)
        self.assertIsInstance(await self.two.begin(begin(2, BUDGET, BUDGET)), TurnBegun)

    async def test_a_turn_under_way_counts(self) -> None:
        self.assertIsInstance(await self.one.begin(begin(1, BUDGET, BUDGET)), TurnBegun)
        self.assertIsInstance(await self.two.begin(begin(2, 1, BUDGET)), BudgetSpent)


if __name__ == "__main__":
    unittest.main()
