"""Changes that no watch of the store shows are in force in time, at real processes."""

import asyncio
import unittest

from tests.missed_changes import APPLY_S, change_everything, check_changes
from tests.platform_cluster import PlatformCluster


class MissedChanges(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = PlatformCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()

    async def hide_changes(self, compact: bool) -> None:
        """Make changes while no watch shows them, and wait until they are due."""
        store = self.cluster.store
        store.hides_changes = True
        change_everything(self.cluster)
        acknowledged_at = asyncio.get_running_loop().time()
        await asyncio.sleep(APPLY_S / 2)
        store.hides_changes = False
        if compact:
            store.compact()
        await asyncio.sleep(acknowledged_at + APPLY_S - asyncio.get_running_loop().time())

    async def test_a_change_that_no_watch_shows_is_in_force_in_time(self) -> None:
        await self.hide_changes(compact=False)
        await check_changes(self, self.cluster)

    async def test_a_change_whose_history_is_dropped_unseen_is_in_force_in_time(self) -> None:
        await self.hide_changes(compact=True)
        await check_changes(self, self.cluster)
