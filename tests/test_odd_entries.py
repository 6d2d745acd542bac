"""An odd entry of another writer in the store costs nothing but itself, at real processes."""

import asyncio
import json
import unittest

from tests.missed_changes import APPLY_S, change_everything, check_changes
from tests.platform_cluster import PlatformCluster

SOUND = {
    "version": "v1",
    "cold_left_ms": 0,
    "seq": 1,
    "service": "notes",
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "slots": 4,
    "state": "ready",
    "born": 1,
}
HUGE = 10**400

ODD = {
    "deep": b'{"note":' + b"[" * 1500,
    "slots": json.dumps({**SOUND, "slots": HUGE}).encode(),
    "started": json.dumps({**SOUND, "born": HUGE}).encode(),
    "cold": json.dumps({**SOUND, "cold_left_ms": HUGE}).encode(),
    "long port": json.dumps({**SOUND, "address": "127.0.0.1:" + "1" * 5000}).encode(),
    "port out of range": json.dumps({**SOUND, "address": "127.0.0.1:70000"}).encode(),
}


class OddEntries(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = PlatformCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()

    async def test_odd_entries_keep_no_change_from_any_process(self) -> None:
        for number, value in enumerate(ODD.values()):
            self.cluster.store.put_bytes(f"servers/odd-{number}", value)
        await asyncio.sleep(1.0)
        change_everything(self.cluster)
        await asyncio.sleep(APPLY_S)
        await check_changes(self, self.cluster)
        for node in [*self.cluster.entries, *self.cluster.ledgers]:
            self.assertIsNone(node.process.poll(), node.name)
            errors = [line for line in node.logs() if line["level"] == "ERROR"]
            self.assertEqual([], errors, node.name)
