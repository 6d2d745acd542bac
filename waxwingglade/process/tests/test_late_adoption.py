"""A leaving entry that comes to own another log while it gives its own away."""

import unittest
from unittest.mock import patch

from waxwingglade.base import Epoch, LogId
from waxwingglade.process import drain as draining
from waxwingglade.process.ownership import build_log
from waxwingglade.process.tests.one_entry import one_entry

ADOPTED = LogId("zone-1.other.i.home0")


class LateAdoption(unittest.IsolatedAsyncioTestCase):
    async def test_a_log_taken_over_meanwhile_is_given_away_too(self):
        async with one_entry(drain_timeout_s=2.0) as running:
            entry = running.entry
            given: list[LogId] = []

            async def give_away(entry, owned):
                if ADOPTED not in entry.owned:
                    # A takeover that had begun before the drain comes to its end now.
                    entry.owned[ADOPTED] = build_log(entry, ADOPTED, Epoch(2), [])
                given.append(owned.log)
                owned.fence(Epoch(owned.epoch + 1))

            with patch.object(draining, "_give_away", give_away):
                await draining.drain(entry)
        self.assertIn(ADOPTED, given)
