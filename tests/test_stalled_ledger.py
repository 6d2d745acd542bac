"""A ledger process that stood still does not report the majority as lost."""

import asyncio
import time
import unittest

from tests.relayed_cluster import RelayedCluster
from waxwingglade.follow.messages import Follow
from waxwingglade.follow.model import Revision
from waxwingglade.ledger.membership import PING_INTERVAL_S, QUORUM_S
from waxwingglade.ledger.node import LedgerNode

STALL_S = 1.0
WAIT_LIMIT_S = 10.0


class StalledLedger(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = RelayedCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()

    def longest_unresponsive_s(self) -> float:
        """Return the seconds since any node last saw another one."""
        return max(
            node.membership.unresponsive_s(member)
            for node in self.cluster.nodes
            for member in node.replica.replicas.members
        )

    async def reports_majority(self, node: LedgerNode) -> bool:
        """Return what a node answers at once to a follower."""
        view = node.cached_view.view
        message = Follow(view.version, Revision(0), view.replicas.epoch, 0.0)
        return (await node.follow(message)).quorum

    async def test_a_follower_that_is_answered_right_after_a_stall_keeps_the_majority(
        self,
    ) -> None:
        """Guards against pings that were not read yet being taken for members that are lost."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while self.longest_unresponsive_s() > PING_INTERVAL_S:
                await asyncio.sleep(0.005)
        time.sleep(STALL_S)
        reports = [await self.reports_majority(node) for node in self.cluster.nodes]
        self.assertEqual([True] * len(reports), reports)

    async def test_members_that_are_lost_in_a_stall_are_reported_soon_after_it(self) -> None:
        node, *others = self.cluster.nodes
        for other in others:
            await other.stop()
        time.sleep(STALL_S)
        await asyncio.sleep(2 * QUORUM_S)
        self.assertFalse(await self.reports_majority(node))


if __name__ == "__main__":
    unittest.main()
