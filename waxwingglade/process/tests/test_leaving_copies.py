"""A leaving entry and the copies of logs that have just lost their owner.

An entry was killed and a quarter of a second later another was told to stop; they held two of the
three copies of a log.  Its programs could not be reached for the rest of the run: "the program is
changing hands", and "1 of 3 copies answered, 2 are needed" at the third holder, again and again.

The cause: a leaving entry waited until owners had replaced it as a holder, and counted only owners
that it could see.  Once it took the killed one for gone, it left within milliseconds, while the
third holder was about to take the logs over: it had done so for three of four, and needed both
copies for the fourth.

In another run the third holder was named in the store just before the kill and had not been sent
the log yet: a majority of the new holders is enough for a change.  Only the leaving entry knew that
the log had lost its owner, and it takes nothing over; it left after its 30 s.  So it asks a peer to
do it.

The evidence: the kept logs of seed 84 of the short form, in which the three were taken over 2.7 to
2.8 s after the kill and the leaving entry ended 3.0 s after it.
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
NOBODY = "tcp://127.0.0.1:1"
"""Where no entry listens."""

SOON_S = 0.4
"""Seconds in which an entry with nothing to wait for has left."""


def reference(number: int) -> EntryRef:
    """Return a peer, each in a zone of its own."""
    name, zone = EntryId(f"entry-{number}"), ZoneId(f"zone-{number + 1}")
    return EntryRef(name, Incarnation(f"i{number}"), zone, peer_address=NOBODY)


class LeavingCopies(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        durability = {"suspect_after_s": 1.0, "takeover_period_s": 0.05}
        context = one_entry(drain_timeout_s=5.0, durability=durability)
        self.running: OneEntry = await self.enterAsyncContext(context)
        self.entry = self.running.entry
        self.lost, self.other = reference(1), reference(2)
        self.entry.members.hear(self.other, EntryState.ALIVE, ConfigVersion(0))
        holders = [self.lost, self.entry.own, self.other]
        # The owner was never heard of by this entry, which amounts to one that is gone.
        self.entry.copies.logs[LOG] = LogCopy(Epoch(1), Epoch(1), self.lost, holders, [])

    async def leave(self) -> None:
        """Leave, with no logs of its own."""
        with (
            mock.patch.object(draining, "_give_all_away", mock.AsyncMock()),
            mock.patch.object(self.entry, "is_orphan", return_value=True),
        ):
            await draining.drain(self.entry)

    async def test_the_copy_of_a_lost_owner_is_kept_until_the_log_was_taken_over(self) -> None:
        leaving = asyncio.create_task(self.leave())
        await asyncio.sleep(SOON_S)
        self.assertFalse(leaving.done())
        # The entry that has taken over says that the copy is not needed any more.
        self.entry.copies.forget(LOG, Epoch(2))
        async with asyncio.timeout(SOON_S):
            await leaving

    async def test_a_takeover_that_was_not_heard_of_is_found_in_the_store(self) -> None:
        taken = LogEntry(FORMAT_VERSION, LOG, Epoch(2), self.other, [self.other])
        written = await self.entry.directory.write(taken, 0)
        self.assertTrue(written.is_ok())
        with mock.patch.object(ownership, "_serves", mock.AsyncMock(return_value=True)):
            async with asyncio.timeout(4 * SOON_S):
                await self.leave()
        self.assertNotIn(LOG, self.entry.copies.logs)

    async def test_a_leaving_entry_takes_no_log_over(self) -> None:
        with mock.patch.object(ownership, "take_over_log", mock.AsyncMock()) as take_over_log:
            leaving = asyncio.create_task(self.leave())
            await asyncio.sleep(SOON_S)
            leaving.cancel()
            await asyncio.gather(leaving, return_exceptions=True)
        take_over_log.assert_not_called()

    async def test_a_peer_is_asked_to_take_over_what_only_a_leaving_entry_holds(self) -> None:
        asked: list[PeerBody] = []

        async def request(body: PeerBody, timeout_s: float) -> Ok[LogTaken]:
            if isinstance(body, TakeLog):
                asked.append(body)
                self.entry.copies.forget(LOG, Epoch(2))
            return Ok(LogTaken())

        link = mock.Mock(request=request)
        with mock.patch.object(self.entry.links, "to", return_value=link):
            async with asyncio.timeout(4 * SOON_S):
                await self.leave()
        self.assertEqual(asked, [TakeLog(LOG, True)])

    async def test_others_are_asked_whether_the_owner_is_gone_unless_it_asks_itself(self) -> None:
        refusal = mock.AsyncMock(return_value=not_run(ErrorCode.UNAVAILABLE, "not now"))
        for orphaned in (True, False):
            with mock.patch.object(draining, "take_over_log", refusal) as take_over_log:
                await draining.take_from_leaving(self.entry, TakeLog(LOG, orphaned))
            self.assertEqual(take_over_log.call_args.kwargs, {"requested_by_owner": not orphaned})

    async def test_nobody_is_waited_for_where_no_peer_is_left(self) -> None:
        self.entry.members.hear(self.other, EntryState.DRAINING, ConfigVersion(0))
        async with asyncio.timeout(SOON_S):
            await self.leave()


if __name__ == "__main__":
    unittest.main()
