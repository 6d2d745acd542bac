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

ODD_NAMES = ("", "\u0100", "a\r\nX: 1", "x" * 5000)


class OddEntries(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = PlatformCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()

    async def test_odd_entries_keep_no_change_from_any_process(self) -> None:
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
