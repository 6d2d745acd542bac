"""An odd entry of another writer in the store costs nothing but itself, at real processes."""

import asyncio
import json
import unittest

from tests.missed_changes import APPLY_S, change_everything, check_changes
from tests.platform_cluster import PlatformCluster
from tests.soak.odd_entries import HUGE, SOUND

ODD = {
    "deep": b'{"note":' + b"[" * 1500,
    "slots": json.dumps({**SOUND, "slots": HUGE}).encode(),
    "started": json.dumps({**SOUND, "born": HUGE}).encode(),
    "cold": json.dumps({**SOUND, "cold_left_ms": HUGE}).encode(),
    "long port": json.dumps({**SOUND, "address": "127.0.0.1:" + "1" * 5000}).encode(),
    "port out of range": json.dumps({**SOUND, "address": "127.0.0.1:70000"}).encode(),
}

DAMAGED = ("abc", "\u00e4\u00e4\u00e4\u00e4", 7, [[]])
"""Values of items that can't be read as base64."""

LONG_VM = "a" * 188
"""Name whose order has a valid key, and whose state has not."""

NOT_REPORTED = "state of a retiring VM not reported"

ODD_NAMES = ("", "\u0100", "a\r\nX: 1", "x" * 5000)


class OddEntries(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = PlatformCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()

    async def test_odd_entries_keep_no_change_from_any_process(self) -> None:
        """Guards against an entry of another writer that ends the task that follows the store."""
        for number, value in enumerate(ODD.values()):
            self.cluster.store.put_bytes(f"servers/odd-{number}", value)
        for name in ODD_NAMES:
            self.cluster.store.put_bytes(f"servers/{name}", json.dumps(SOUND).encode())
        for number, value in enumerate(DAMAGED):
            self.cluster.store.put_damaged(f"servers/damaged-{number}", value=value)
            self.cluster.store.put_damaged(f"other/{number}", value=value)
        await asyncio.sleep(1.0)
        change_everything(self.cluster)
        await asyncio.sleep(APPLY_S)
        await check_changes(self, self.cluster)
        for node in [*self.cluster.entries, *self.cluster.ledgers]:
            self.assertIsNone(node.process.poll(), node.name)
            errors = [line for line in node.logs() if line["level"] == "ERROR"]
            self.assertEqual([], errors, node.name)

    async def test_an_order_that_can_not_be_reported_keeps_no_other_from_being_reported(
        self,
    ) -> None:
        """Guards against VMs that stay although they hold nothing, as their states are missing."""
        self.cluster.store.put(f"op/retire/{LONG_VM}", {"deadline_s": 5})
        await asyncio.sleep(1.0)
        self.cluster.store.put("op/retire/storage-gone", {"deadline_s": 5})
        state = b'{"state":"completed"}'
        await self.cluster.until(
            lambda: self.cluster.store.value("status/retire/storage-gone") == state
        )
        rejected = [
            [
                (line["vm"], line["key_bytes"])
                for line in node.logs()
                if line["event"] == NOT_REPORTED
            ]
            for node in self.cluster.ledgers
        ]
        # More than one process may have been the one that reports.
        self.assertIn([(LONG_VM, 202)], rejected)
        self.assertLessEqual({tuple(rows) for rows in rejected}, {(), ((LONG_VM, 202),)})
