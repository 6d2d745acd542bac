"""How long a draining entry waits for peers that depend on its copies."""

import asyncio
import random
import unittest
from types import SimpleNamespace
from typing import Any

from waxwingglade.base import ConfigVersion, EntryId, EntryRef, Epoch, Incarnation, LogId, ZoneId
from waxwingglade.connection.peer_messages import EntryState
from waxwingglade.process.directory import Directory
from waxwingglade.process.drain import POLL_S, _wait_for_copies
from waxwingglade.process.log_copy import LogCopy
from waxwingglade.process.members import Members
from waxwingglade.process.reconfigure import change_copies
from waxwingglade.process.tests.fakes import LOG, FakeStore, Network, Node, new_record
from waxwingglade.settings import DurabilitySettings

SUSPECT_S = 0.05


def entry_ref(name: str) -> EntryRef:
    """Return an entry of the first zone."""
    return EntryRef(EntryId(name), Incarnation(f"i-{name}"), ZoneId("zone-1"), f"tcp://{name}:1")


OWN, OWNER = entry_ref("own"), entry_ref("owner")


class WaitForCopies(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.members = Members(OWN, DurabilitySettings(suspect_after_s=SUSPECT_S))
        copy = LogCopy(Epoch(1), Epoch(1), OWNER, [OWN, OWNER])
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

    async def test_it_waits_for_the_owner_of_a_log_that_it_has_just_come_to_hold(self) -> None:
        """Guards against stopping as a holder that the store names: if the owner is killed at the
        same moment, one of three copies is left, which is too few for a takeover.
        """
        self.entry.copies.logs = (await self.changed_holders()).copies.logs
        self.receive_heartbeat(EntryState.ALIVE)
        self.assertTrue(await self.is_waiting())

    async def changed_holders(self) -> Node:
        """Return a node that has replaced a holder of a log to which nothing was added since."""
        rng = random.Random(1)
        network, store = Network(rng), FakeStore(rng)
        owner, lost, other, new = (Node(n, f"z{n}", network, store) for n in range(4))
        log = owner.build_log(LOG, Epoch(1), [], [owner.ref, lost.ref, other.ref])
        owner.owned = log
        self.addAsyncCleanup(log.stop)
        await log.append(*new_record())
        await owner.register()
        lost.alive = False
        changed = await change_copies(log, [owner.ref, other.ref, new.ref], Directory(store))
        self.assertTrue(changed.is_ok(), changed)
        self.assertIn(new.ref, log.copies)
        return new

    async def test_it_does_not_wait_for_peers_that_drain_as_well(self) -> None:
        self.receive_heartbeat(EntryState.DRAINING)
        self.assertFalse(await self.is_waiting())

    async def test_it_does_not_wait_where_there_never_was_a_peer(self) -> None:
        self.assertFalse(await self.is_waiting())


if __name__ == "__main__":
    unittest.main()
