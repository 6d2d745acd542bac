"""The choice of a log for a new program while the holders of an entry's logs change.

Guards against a new program in a log with too few holders.  An entry that opens its logs while it
knows one peer only gets logs with two holders.  When a third entry starts later, these logs can add
it only with the help of the store, but a new log has all three holders without the store.  The
fault was to choose any open log that could still be appended to.  When the store became unavailable
and the other holder was killed, creating a program failed with "too few copies of the program can
be reached" and the verdict that it may have run, although two of three entries were alive.  It
failed on each run in which the third entry started late, and on none with three holders from the
start.
"""

import unittest

from waxwingglade.base import ConfigVersion, EntryId, EntryRef, Incarnation, ZoneId
from waxwingglade.connection.peer_messages import EntryState
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.process.ownership import log_for_new_program, open_logs
from waxwingglade.process.tests.one_entry import OneEntry, one_entry
from waxwingglade.settings import CutPolicy

UNUSED_ADDRESS = "tcp://127.0.0.1:1"
"""An address at which no entry listens."""


class NewPrograms(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        peers = [{"entry": "entry-9", "zone": "zone-2", "peer_address": UNUSED_ADDRESS}]
        durability = {"suspect_after_s": 0.5, "takeover_period_s": 60.0}
        context = one_entry(peers=peers, durability=durability)
        self.running: OneEntry = await self.enterAsyncContext(context)
        self.entry = self.running.entry
        self.entry.open_logs[CutPolicy.HOME].clear()

    def receive_heartbeat(self, number: int) -> EntryRef:
        """Let the entry receive a heartbeat of a peer, which is in a zone of its own."""
        name, zone = EntryId(f"entry-{number}"), ZoneId(f"zone-{number + 1}")
        ref = EntryRef(name, Incarnation(f"i{number}"), zone, peer_address=UNUSED_ADDRESS)
        self.entry.members.record_contact(ref, EntryState.ALIVE, ConfigVersion(0))
        return ref

    def holders(self, owned: OwnedLog | None) -> set[str]:
        """Return the names of the entries that hold a log."""
        assert owned is not None
        return {str(ref.entry) for ref in owned.copies}

    async def test_a_program_gets_all_available_holders(self) -> None:
        self.receive_heartbeat(1)
        open_logs(self.entry)
        self.receive_heartbeat(2)
        chosen = log_for_new_program(self.entry, CutPolicy.HOME)
        self.assertEqual(self.holders(chosen), {"entry-0", "entry-1", "entry-2"})
        self.assertIs(log_for_new_program(self.entry, CutPolicy.HOME), chosen)

    async def test_a_log_whose_holders_are_changing_still_depends_on_its_old_holders(self) -> None:
        first = self.receive_heartbeat(1)
        open_logs(self.entry)
        second = self.receive_heartbeat(2)
        changing = [self.entry.owned[log] for log in self.entry.open_logs[CutPolicy.HOME]]
        for owned in changing:
            owned.begin_change([self.entry.own, first, second])
        chosen = log_for_new_program(self.entry, CutPolicy.HOME)
        self.assertNotIn(chosen, changing)

    async def test_two_holders_are_enough_if_there_is_one_peer(self) -> None:
        self.receive_heartbeat(1)
        open_logs(self.entry)
        opened = set(self.entry.open_logs[CutPolicy.HOME])
        chosen = log_for_new_program(self.entry, CutPolicy.HOME)
        assert chosen is not None
        self.assertIn(chosen.log, opened)


if __name__ == "__main__":
    unittest.main()
