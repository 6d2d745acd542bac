"""Changes that no watch of the store shows are in force in time, at real processes."""

import asyncio
import unittest

from tests.platform_cluster import HOST, PlatformCluster, configuration

APPLY_S = 2.0
"""Seconds within which a change has to be in force."""

ADDED = {
    "host": HOST,
    "name": "added",
    "path_prefix": "/added/",
    "kind": "safe",
    "service": "notes",
    "timeout_ms": 2000,
    "target_latency_ms": 200,
    "priority": 1,
    "max_attempts": 2,
}


class MissedChanges(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = PlatformCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()

    async def hide_changes(self, compact: bool) -> None:
        """Add a route and let a target leave while no watch shows it, and wait until it is due."""
        store = self.cluster.store
        store.hides_changes = True
        store.put("op/config", configuration(4, extra=[ADDED]))
        self.cluster.notes[0].register("draining")
        acknowledged_at = asyncio.get_running_loop().time()
        await asyncio.sleep(APPLY_S / 2)
        store.hides_changes = False
        if compact:
            store.compact()
        await asyncio.sleep(acknowledged_at + APPLY_S - asyncio.get_running_loop().time())

    async def check(self) -> None:
        """Check that the route is served everywhere, and that the leaving target gets nothing."""
        before = len(self.cluster.notes[0].runs)
        for entry in self.cluster.entries:
            for path in ("/added/x", "/notes/x") * 3:
                answer = await self.cluster.call(entry, "POST", path)
                self.assertEqual(200, answer.status, f"{path} at {entry.name}")
        self.assertEqual(before, len(self.cluster.notes[0].runs))

    async def test_a_change_that_no_watch_shows_is_in_force_in_time(self) -> None:
        await self.hide_changes(compact=False)
        await self.check()

    async def test_a_change_whose_history_is_dropped_unseen_is_in_force_in_time(self) -> None:
        await self.hide_changes(compact=True)
        await self.check()
