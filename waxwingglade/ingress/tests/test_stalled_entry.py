"""A stall of an entry itself does not count as a loss of the ledger's majority."""

import asyncio
import time
import unittest

from waxwingglade.ingress.entry import CHECK_INTERVAL_S, QUORUM_TIMEOUT_S
from waxwingglade.ingress.streaming import BEGIN_WITHOUT_QUORUM_S
from waxwingglade.ingress.tests.entry_builders import (
    TURNS,
    Behaviour,
    EntryUnderTest,
    FakeTarget,
    until,
)

STALL_S = 1.5
SLACK_S = 0.4


class StalledEntryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.entry = EntryUnderTest(FakeTarget(Behaviour.EVENTS), timeout_s=5.0)
        self.addAsyncCleanup(self.entry.stop)
        await self.entry.start()
        self.ingress = self.entry.ingress
        self.ingress.follower.source_current = True
        checking = asyncio.create_task(self.ingress._check_forever())
        self.addCleanup(checking.cancel)
        await asyncio.sleep(2 * CHECK_INTERVAL_S)
        self.ingress.follower.quorum_at = time.monotonic()

    async def test_a_turn_that_arrives_in_a_stall_is_not_refused(self) -> None:
        """Guards against reports that were not read being taken for a lost majority."""
        self.entry.ledger.may_begin.clear()
        call = asyncio.create_task(self.entry.call(TURNS, "r1"))
        await asyncio.sleep(0)
        time.sleep(STALL_S)
        await asyncio.sleep(3 * BEGIN_WITHOUT_QUORUM_S)
        self.entry.ledger.may_begin.set()
        status, _ = await call
        self.assertEqual(200, status)

    async def test_a_majority_that_stays_away_is_lost_soon_after_a_stall(self) -> None:
        time.sleep(STALL_S)
        lost = await until(lambda: not self.ingress.reaches_ledger, QUORUM_TIMEOUT_S + SLACK_S)
        self.assertTrue(lost)
        self.assertTrue(await until(lambda: not self.ingress.quorum_monitor.has_quorum, SLACK_S))

    async def test_a_reported_loss_is_not_undone_by_a_stall(self) -> None:
        self.ingress.follower.quorum_at = float("-inf")
        time.sleep(STALL_S)
        await asyncio.sleep(2 * CHECK_INTERVAL_S)
        self.assertFalse(self.ingress.reaches_ledger)


if __name__ == "__main__":
    unittest.main()
