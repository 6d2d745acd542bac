"""Where new programs are kept while the holders of an entry's logs change.

An entry had been killed just after the store had stopped answering, and a program that was created
at another entry was answered that it may have run: "too few copies of the program can be reached",
though two of three entries were alive.  The entry had opened its logs when it knew one peer only,
as a third one was late to start.  Each log had two holders, the late entry's place in them needed
the store, and the one other holder was the entry that had been killed.

The cause: a new program went into any open log that could still be appended to, however little it
could bear, though a new log, which needs no store, would have had all three entries as holders.

The evidence: with the third entry started after the two others the same test fails each time; a log
that has its three holders from the start does not fail it.
"""

import unittest

from waxwingglade.base import ConfigVersion, EntryId, EntryRef, Incarnation, ZoneId
from waxwingglade.connection.peer_messages import EntryState
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.process.ownership import log_for_new_program, open_logs
from waxwingglade.process.tests.one_entry import OneEntry, one_entry
from waxwingglade.settings import CutPolicy

NOBODY = "tcp://127.0.0.1:1"
"""Where no entry listens."""


class NewPrograms(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        peers = [{"entry": "entry-9", "zone": "zone-2", "peer_address": NOBODY}]
        durability = {"suspect_after_s": 0.5, "takeover_period_s": 60.0}
        context = one_entry(peers=peers, durability=durability)
        self.running: OneEntry = await self.enterAsyncContext(context)
        self.entry = self.running.entry
        self.entry.open_logs[CutPolicy.HOME].clear()

    def hear(self, number: int) -> EntryRef:
        """Let the entry hear of a peer in a zone of its own."""
        name, zone = EntryId(f"entry-{number}"), ZoneId(f"zone-{number + 1}")
        ref = EntryRef(name, Incarnation(f"i{number}"), zone, peer_address=NOBODY)
        self.entry.members.record_contact(ref, EntryState.ALIVE, ConfigVersion(0))
        return ref

    def holders(self, owned: OwnedLog | None) -> set[str]:
        """Return the entries that hold a log."""
        assert owned is not None
        return {str(ref.entry) for ref in owned.copies}

    async def test_a_program_gets_all_holders_that_can_be_had(self) -> None:
        self.hear(1)
        open_logs(self.entry)
        self.hear(2)
        chosen = log_for_new_program(self.entry, CutPolicy.HOME)
        self.assertEqual(self.holders(chosen), {"entry-0", "entry-1", "entry-2"})
        self.assertIs(log_for_new_program(self.entry, CutPolicy.HOME), chosen)

    async def test_a_log_that_is_moving_depends_on_its_holders_of_before(self) -> None:
        first = self.hear(1)
        open_logs(self.entry)
        second = self.hear(2)
        moving = [self.entry.owned[log] for log in self.entry.open_logs[CutPolicy.HOME]]
        for owned in moving:
            owned.begin_change([self.entry.own, first, second])
        chosen = log_for_new_program(self.entry, CutPolicy.HOME)
        self.assertNotIn(chosen, moving)

    async def test_two_holders_are_enough_where_there_is_one_peer(self) -> None:
        self.hear(1)
        open_logs(self.entry)
        opened = set(self.entry.open_logs[CutPolicy.HOME])
        chosen = log_for_new_program(self.entry, CutPolicy.HOME)
        assert chosen is not None
        self.assertIn(chosen.log, opened)


if __name__ == "__main__":
    unittest.main()
