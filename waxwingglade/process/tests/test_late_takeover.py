"""Logs that a draining entry comes to own while it hands over its logs."""

import asyncio
import unittest
from unittest.mock import patch

from waxwingglade.base import (
    EntryId,
    EntryRef,
    Epoch,
    ErrorCode,
    Incarnation,
    LogId,
    Verdict,
    ZoneId,
)
from waxwingglade.connection.peer_messages import EntryState
from waxwingglade.process import drain as draining
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.process.ownership import build_log, take_over_log
from waxwingglade.process.tests.one_entry import one_entry, until

TAKEN_OVER = LogId("zone-1.other.i.home0")
FAST = {"takeover_period_s": 0.01, "suspect_after_s": 0.05, "heartbeat_s": 0.01}
CLAIMANT = EntryRef(
    EntryId("entry-9"), Incarnation("i9"), ZoneId("zone-1"), peer_address="tcp://127.0.0.1:1"
)
"""An entry that does not answer."""


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


class ReclaimedLog(unittest.IsolatedAsyncioTestCase):
    """A log of a draining entry that another entry has claimed in the store, without taking it."""

    async def test_a_log_reclaimed_during_the_drain_is_handed_over(self):
        """The log comes back under its name, after the drain has handed it over."""
        async with one_entry(drain_timeout_s=2.0) as running:
            entry = running.entry
            first = next(iter(entry.owned.values()))
            handed_over: list[OwnedLog] = []

            async def hand_over(entry, owned):
                if owned is first:
                    entry.owned[first.log] = build_log(entry, first.log, Epoch(2), [])
                handed_over.append(owned)
                owned.fence(Epoch(owned.epoch + 1))

            with patch.object(draining, "_hand_over", hand_over):
                await draining.drain(entry)
            self.assertIn(entry.owned[first.log], handed_over)

    async def test_a_draining_entry_does_not_reclaim_a_log(self):
        """Its peers take the log over on request; a reclaimed log would come back to this entry."""
        async with one_entry(durability=FAST) as running:
            entry = running.entry
            owned = next(iter(entry.owned.values()))
            await until(lambda: owned.store_revision > 0)
            entry.members.state = EntryState.DRAINING
            owned.contested_by = CLAIMANT
            await asyncio.sleep(10 * FAST["suspect_after_s"])
            self.assertIs(owned, entry.owned[owned.log])
            self.assertFalse(owned.fenced)

    async def test_a_log_that_comes_back_to_a_draining_entry_starts_no_calls(self):
        """A takeover that began before the drain completes during it."""
        async with one_entry(drain_timeout_s=0.1, durability=FAST) as running:
            entry = running.entry
            program = await running.create()
            log = entry.log_for(program).log
            await until(lambda: entry.owned[log].store_revision > 0)
            entry.members.state = EntryState.DRAINING
            taken = await take_over_log(entry, log, None, requested_by_owner=True)
            self.assertTrue(taken.is_ok(), taken)
            outcome = await running.tool_call(program, "t1", "order")
            effects = list(running.tool.effects)
        self.assertEqual((ErrorCode.DRAINING, Verdict.NOT_RUN), (outcome.code, outcome.verdict))
        self.assertEqual([], effects)
