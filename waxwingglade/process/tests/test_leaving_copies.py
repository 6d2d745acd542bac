"""A draining entry retains its copies of logs that have just lost their owner.

Guards against two failures, in which two of the three holders of a log go at almost the same time:

- One holder is killed, and another is stopped a quarter of a second later.  The draining entry must
  wait until owners have replaced it as a holder.  If it counts only reachable owners, it exits as
  soon as it considers the killed one unreachable, while the third holder is still taking the logs
  over.  Then "1 of 3 copies answered, 2 are needed", and the programs of the log stay unreachable.
  In a recorded run, three of four logs were taken over 2.7 to 2.8 s after the kill; the draining
  entry exited 3.0 s after it, before the fourth.
- The third holder is named in the store just before the kill, but has not received the log yet, as
  a majority of the new holders is enough for a change.  Only the draining entry knows that the log
  has lost its owner, and it takes no log over.  So it has to ask a peer, instead of exiting at its
  drain timeout of 30 s.
"""

import asyncio
import unittest
from unittest import mock

from waxwingglade.base import (
    ConfigVersion,
    EntryId,
    EntryRef,
    Epoch,
    ErrorCode,
    Incarnation,
    LogId,
    Ok,
    ZoneId,
    not_run,
)
from waxwingglade.connection.peer_messages import EntryState, LogTaken, PeerBody, TakeLog
from waxwingglade.process import drain as draining
from waxwingglade.process import ownership
from waxwingglade.process.directory import FORMAT_VERSION, LogEntry
from waxwingglade.process.log_copy import LogCopy
from waxwingglade.process.tests.one_entry import OneEntry, one_entry

LOG = LogId("zone-2.entry-1.i1.home0")
UNUSED_ADDRESS = "tcp://127.0.0.1:1"
"""Address at which no entry listens."""

EXIT_S = 0.4
"""Seconds within which an entry with nothing to wait for has drained."""


def make_ref(number: int) -> EntryRef:
    """Return a peer in a zone of its own."""
    name, zone = EntryId(f"entry-{number}"), ZoneId(f"zone-{number + 1}")
    return EntryRef(name, Incarnation(f"i{number}"), zone, peer_address=UNUSED_ADDRESS)


class LeavingCopies(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        durability = {"suspect_after_s": 1.0, "takeover_period_s": 0.05}
        context = one_entry(drain_timeout_s=5.0, durability=durability)
        self.running: OneEntry = await self.enterAsyncContext(context)
        self.entry = self.running.entry
        self.lost_owner, self.other_holder = make_ref(1), make_ref(2)
        self.entry.members.record_contact(self.other_holder, EntryState.ALIVE, ConfigVersion(0))
        holders = [self.lost_owner, self.entry.own, self.other_holder]
        # This entry has never received a message of the owner, so it considers the owner
        # unreachable.
        self.entry.copies.logs[LOG] = LogCopy(Epoch(1), Epoch(1), self.lost_owner, holders, [])

    async def drain(self) -> None:
        """Drain the entry as if it owned no logs."""
        with (
            mock.patch.object(draining, "_hand_over_all", mock.AsyncMock()),
            mock.patch.object(self.entry, "is_orphan", return_value=True),
        ):
            await draining.drain(self.entry)

    async def test_the_copy_of_a_lost_owner_is_retained_until_the_log_is_taken_over(self) -> None:
        draining_task = asyncio.create_task(self.drain())
        await asyncio.sleep(EXIT_S)
        self.assertFalse(draining_task.done())
        # The entry that has taken the log over reports that the copy is no longer needed.
        self.entry.copies.forget(LOG, Epoch(2))
        async with asyncio.timeout(EXIT_S):
            await draining_task

    async def test_a_takeover_that_was_not_reported_is_found_in_the_store(self) -> None:
        taken = LogEntry(FORMAT_VERSION, LOG, Epoch(2), self.other_holder, [self.other_holder])
        written = await self.entry.directory.write(taken, 0)
        self.assertTrue(written.is_ok())
        with mock.patch.object(ownership, "_serves", mock.AsyncMock(return_value=True)):
            async with asyncio.timeout(4 * EXIT_S):
                await self.drain()
        self.assertNotIn(LOG, self.entry.copies.logs)

    async def test_a_draining_entry_takes_no_log_over(self) -> None:
        with mock.patch.object(ownership, "take_over_log", mock.AsyncMock()) as take_over_log:
            draining_task = asyncio.create_task(self.drain())
            await asyncio.sleep(EXIT_S)
            draining_task.cancel()
            await asyncio.gather(draining_task, return_exceptions=True)
        take_over_log.assert_not_called()

    async def test_a_peer_is_asked_to_take_over_a_log_held_only_by_a_draining_entry(self) -> None:
        asked: list[PeerBody] = []

        async def request(body: PeerBody, timeout_s: float) -> Ok[LogTaken]:
            if isinstance(body, TakeLog):
                asked.append(body)
                self.entry.copies.forget(LOG, Epoch(2))
            return Ok(LogTaken())

        link = mock.Mock(request=request)
        with mock.patch.object(self.entry.links, "to", return_value=link):
            async with asyncio.timeout(4 * EXIT_S):
                await self.drain()
        self.assertEqual(asked, [TakeLog(LOG, True)])

    async def test_the_owner_is_checked_unless_it_requested_the_takeover(self) -> None:
        refusal = mock.AsyncMock(return_value=not_run(ErrorCode.UNAVAILABLE, "not now"))
        for orphaned in (True, False):
            with mock.patch.object(draining, "take_over_log", refusal) as take_over_log:
                await draining.take_over_on_request(self.entry, TakeLog(LOG, orphaned))
            self.assertEqual(take_over_log.call_args.kwargs, {"requested_by_owner": not orphaned})

    async def test_a_drain_does_not_wait_if_no_peer_stays(self) -> None:
        self.entry.members.record_contact(self.other_holder, EntryState.DRAINING, ConfigVersion(0))
        async with asyncio.timeout(EXIT_S):
            await self.drain()


if __name__ == "__main__":
    unittest.main()
