"""Tests that a refused turn takes nothing from its program's budget.

Guards against a 402, which ends a program for good, for a budget that is not spent.  An entry gets
no answer in time to its request to begin a turn, as replicas are stalled or lose their disks, and
refuses the turn as not run.  A majority has accepted the reservation nevertheless, and the entry's
attempts to resolve it reach one replica after the other, 0.4 s apart.  The caller retries through
another entry 0.02 to 0.1 s later.  A replica that has received the end of the refused turn, but
reaches no majority to resolve the reservation, must report this end to the others, which otherwise
decide on the next turn by the account alone.  The failure shows in the logs as ``budget spent``
with ``reserved`` 40, followed by ``turn not settled`` for the refused turn at all replicas.
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


def delayed(handler: Callable[[Any], Awaitable[Any]]) -> Callable[[Any], Awaitable[Any]]:
    """Return a handler that answers late, like that of a busy process."""

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
        # The second process avoids the first replica, which may have accepted the resolved account.
        self.two.rounds.avoided[self.cluster.members["vm-0"].disk] = float("inf")

    async def reserve_and_notify_one_partitioned_replica(self) -> None:
        """Leave a reservation whose end only the process of the first replica has received."""
        self.assertIsInstance(await self.one.begin(begin(1, BUDGET, BUDGET)), TurnBegun)
        self.cluster.isolate("vm-0")
        self.assertFalse((await self.one.end(self.refused)).settled)
        self.cluster.heal()

    async def test_a_process_that_has_received_the_end_does_not_count_it(self) -> None:
        await self.reserve_and_notify_one_partitioned_replica()
        self.assertIsInstance(await self.one.begin(begin(2, BUDGET, BUDGET)), TurnBegun)

    async def test_other_processes_ask_for_ends_before_they_refuse_a_turn(self) -> None:
        await self.reserve_and_notify_one_partitioned_replica()
        self.assertIsInstance(await self.two.begin(begin(2, BUDGET, BUDGET)), TurnBegun)

    async def test_a_received_end_survives_a_restart(self) -> None:
        await self.reserve_and_notify_one_partitioned_replica()
        await self.cluster.restart("vm-0")
        self.assertIsInstance(await self.two.begin(begin(2, BUDGET, BUDGET)), TurnBegun)

    async def test_no_turn_is_refused_before_a_majority_has_reported_ends(self) -> None:
        self.assertIsInstance(await self.one.begin(begin(1, BUDGET, BUDGET)), TurnBegun)
        await self.two.begin(begin(2, BUDGET, BUDGET))
        for vm, replica in self.cluster.replicas.items():
            if vm != "vm-1":
                await replica.note_end(NoteEnd(self.refused))
            replica.handlers[ListEnds] = delayed(replica.handlers[ListEnds])
        self.assertIsInstance(await self.two.begin(begin(3, BUDGET, BUDGET)), TurnBegun)

    async def test_a_turn_that_has_used_tokens_counts_them(self) -> None:
        self.refused = msgspec.structs.replace(self.refused, used_tokens=BUDGET)
        await self.reserve_and_notify_one_partitioned_replica()
        self.assertIsInstance(await self.two.begin(begin(2, 1, BUDGET)), BudgetSpent)

    async def test_a_refused_turn_is_not_begun_late(self) -> None:
        """The request to begin it may have been delayed at a stalled replica."""
        self.cluster.isolate("vm-0")
        await self.one.end(self.refused)
        self.cluster.heal()
        self.assertNotIsInstance(await self.one.begin(begin(1, BUDGET, BUDGET)), TurnBegun)
        self.assertIsInstance(await self.two.begin(begin(2, BUDGET, BUDGET)), TurnBegun)

    async def test_a_turn_in_progress_counts(self) -> None:
        self.assertIsInstance(await self.one.begin(begin(1, BUDGET, BUDGET)), TurnBegun)
        self.assertIsInstance(await self.two.begin(begin(2, 1, BUDGET)), BudgetSpent)


if __name__ == "__main__":
    unittest.main()
