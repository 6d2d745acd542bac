"""A majority of the ledger that is reported again ends the short wait of turns at once."""

import asyncio
import unittest

from waxwingglade.base import ZoneId
from waxwingglade.follow.messages import Follow, Followed
from waxwingglade.follow.model import EMPTY_VIEW, Replica
from waxwingglade.ingress.entry import CHECK_INTERVAL_S
from waxwingglade.ingress.streaming import BEGIN_WITHOUT_QUORUM_S
from waxwingglade.ingress.tests.entry_builders import (
    TURNS,
    Behaviour,
    EntryUnderTest,
    FakeTarget,
    until,
)

SOURCE = Replica("disk", "vm-2", "address", ZoneId("zone-a"))
NOT_RUN = 503


class RegainedMajorityTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.reports_majority = True
        self.entry = EntryUnderTest(FakeTarget(Behaviour.EVENTS), timeout_s=5.0)
        self.addAsyncCleanup(self.entry.stop)
        await self.entry.start()
        self.ingress = self.entry.ingress
        self.ingress.follower.ask = self._ask
        self.ingress.follower.source_current = True
        self.ingress.follower.quorum_at = float("-inf")
        checking = asyncio.create_task(self.ingress._check_forever())
        self.addCleanup(checking.cancel)
        self.assertTrue(
            await until(lambda: not self.ingress.quorum_monitor.has_quorum, 4 * CHECK_INTERVAL_S)
        )

    async def _ask(self, address: str, message: Follow, timeout_s: float) -> Followed:
        return Followed(EMPTY_VIEW, 0.0, quorum=self.reports_majority)

    async def status_after_report(self) -> int:
        """Return the status of a turn that waits to begin while a source reports."""
        self.entry.ledger.may_begin.clear()
        call = asyncio.create_task(self.entry.call(TURNS, "r1"))
        self.assertTrue(await until(lambda: self.entry.ledger.begun, 1.0))
        await self.ingress.follower._ask(SOURCE)
        await asyncio.sleep(3 * BEGIN_WITHOUT_QUORUM_S)
        self.entry.ledger.may_begin.set()
        status, _ = await call
        return status

    async def test_a_turn_that_waits_to_begin_is_not_refused_after_the_report(self) -> None:
        """Guards against a majority that counts as lost until the next periodic check."""
        self.assertEqual(200, await self.status_after_report())

    async def test_a_turn_is_refused_while_the_majority_stays_lost(self) -> None:
        self.reports_majority = False
        self.assertEqual(NOT_RUN, await self.status_after_report())


if __name__ == "__main__":
    unittest.main()
