"""How long a draining entry waits for peers that depend on its copies."""

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any

from waxwingglade.base import ConfigVersion, EntryId, EntryRef, Incarnation, LogId, ZoneId
from waxwingglade.connection.peer_messages import EntryState
from waxwingglade.process.drain import POLL_S, _wait_for_copies
from waxwingglade.process.members import Members
from waxwingglade.settings import DurabilitySettings

SUSPECT_S = 0.05


def entry_ref(name: str) -> EntryRef:
    """Return an entry of the first zone."""
    return EntryRef(EntryId(name), Incarnation(f"i-{name}"), ZoneId("zone-1"), f"tcp://{name}:1")


OWN, OWNER = entry_ref("own"), entry_ref("owner")


class WaitForCopies(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.members = Members(OWN, DurabilitySettings(suspect_after_s=SUSPECT_S))
        copy = SimpleNamespace(owner=OWNER, copies=[OWN, OWNER])
        self.entry: Any = SimpleNamespace(
            own=OWN, members=self.members, copies=SimpleNamespace(logs={LogId("log"): copy})
        )

    def receive_heartbeat(self, state: EntryState) -> None:
        """Receive a heartbeat of the owner."""
        self.members.record_contact(OWNER, state, ConfigVersion(1))

    async def is_waiting(self) -> bool:
        """Return whether the entry still waits once its peers count as unresponsive."""
        waiting = asyncio.create_task(_wait_for_copies(self.entry))
        await asyncio.sleep(SUSPECT_S + 2 * POLL_S)
        ended = waiting.done()
        waiting.cancel()
        return not ended

    async def test_it_waits_for_an_owner_that_is_unresponsive(self) -> None:
        """Guards against stopping with a copy that is still needed, which happens when all peers
        are stalled for a moment.
        """
        self.receive_heartbeat(EntryState.ALIVE)
        self.assertTrue(await self.is_waiting())

    async def test_it_does_not_wait_for_peers_that_drain_as_well(self) -> None:
        self.receive_heartbeat(EntryState.DRAINING)
        self.assertFalse(await self.is_waiting())

    async def test_it_does_not_wait_where_there_never_was_a_peer(self) -> None:
        self.assertFalse(await self.is_waiting())


if __name__ == "__main__":
    unittest.main()
