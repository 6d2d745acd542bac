"""A draining entry that takes over another log while it hands over its own."""

import unittest
from unittest.mock import patch

from waxwingglade.base import Epoch, LogId
from waxwingglade.process import drain as draining
from waxwingglade.process.ownership import build_log
from waxwingglade.process.tests.one_entry import one_entry

TAKEN_OVER = LogId("zone-1.other.i.home0")


class LateTakeover(unittest.IsolatedAsyncioTestCase):
    async def test_a_log_taken_over_during_the_drain_is_handed_over(self):
        async with one_entry(drain_timeout_s=2.0) as running:
            entry = running.entry
            handed_over: list[LogId] = []

            async def hand_over(entry, owned):
                if TAKEN_OVER not in entry.owned:
                    # A takeover that began before the drain completes now.
                    entry.owned[TAKEN_OVER] = build_log(entry, TAKEN_OVER, Epoch(2), [])
                handed_over.append(owned.log)
                owned.fence(Epoch(owned.epoch + 1))

            with patch.object(draining, "_hand_over", hand_over):
                await draining.drain(entry)
        self.assertIn(TAKEN_OVER, handed_over)
