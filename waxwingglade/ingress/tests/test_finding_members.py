"""An entry that knows no members of the ledger reads them from the store."""

import asyncio
import unittest
from types import SimpleNamespace

from waxwingglade.follow.feed import CachedView
from waxwingglade.follow.store import Item
from waxwingglade.follow.tests.builders import KEYS, SHORT_S, WAIT_LIMIT_S, MemoryStore
from waxwingglade.ingress.entry import MEMBERS_RETRY_S, Ingress

MEMBERS = b'{"epoch": 1, "members": [["d", "vm", "a:1", "z"]], "settled": true}'


class SlowStore(MemoryStore):
    """A store that answers a read after a short time."""

    async def read(self, key: str) -> Item | None:
        """Return an item."""
        await asyncio.sleep(SHORT_S)
        return await super().read(key)


class FindingMembersTest(unittest.IsolatedAsyncioTestCase):
    async def test_invalid_members_are_not_read_again_without_a_pause(self) -> None:
        store = SlowStore()
        store.put(KEYS.replicas, b"nonsense")
        entry = SimpleNamespace(store=store, keys=KEYS, cached_view=CachedView())
        finding = asyncio.create_task(Ingress._find_replicas(entry))
        self.addCleanup(finding.cancel)

        async def correct() -> None:
            await asyncio.sleep(MEMBERS_RETRY_S)
            store.put(KEYS.replicas, MEMBERS)

        async with asyncio.timeout(WAIT_LIMIT_S):
            await asyncio.gather(correct(), finding)
        self.assertLess(store.calls["all"], 5)
        self.assertEqual(1, entry.cached_view.view.replicas.epoch)
