"""A standby ledger process makes few calls, and joins when it is needed.

The processes of a fleet with more disks than the ledger has members run on loopback, with a store
in memory.
"""

import asyncio
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

from tests.ports import ReservedPorts
from waxwingglade.base import WaxwinggladeError, ZoneId
from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet, Revision
from waxwingglade.follow.store import Item, Listing
from waxwingglade.follow.tests.builders import KEYS, MemoryStore
from waxwingglade.ledger.messages import Fetched, Ping, Turn, TurnId
from waxwingglade.ledger.node import LedgerNode, LedgerSettings
from waxwingglade.ledger.tests.builders import FAR_FUTURE
from waxwingglade.transport.links import LinkFailed

ZONES = ("a", "b", "c")
WANTED = 3
CHECK_INTERVAL_S = 0.01
TURNS = 400
OBSERVED_S = 4.0
MAX_WATCHES = 4
"""Most watches of a standby process during `OBSERVED_S`."""

REPLACED_S = 4.0
"""Seconds within which a replacement must be complete."""

EMPTIED_S = 9.0
"""Shortest time limit in seconds of an operator's order to empty a VM."""

WAIT_LIMIT_S = 20.0


class WaitingStore(MemoryStore):
    """The store of one process, whose watches wait for updates as those of the platform do."""

    def __init__(self, shared: MemoryStore) -> None:
        self.__dict__ = {**shared.__dict__, "watches": 0}
        self.shared = shared

    @property
    def revision(self) -> int:
        """The revision of the shared store."""
        return self.shared.revision

    @revision.setter
    def revision(self, value: int) -> None:
        self.shared.revision = value

    async def watch(self, prefix: str, after: Revision, wait_s: float) -> Listing:
        """Return events as soon as there is one."""
        self.watches += 1
        try:
            async with asyncio.timeout(wait_s):
                while self.revision <= after:
                    await asyncio.sleep(CHECK_INTERVAL_S)
        except TimeoutError:
            pass
        return await super().watch(prefix, after, wait_s)


class StandbyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.ports = ReservedPorts()
        self.addCleanup(self.ports.close)
        self.shared = MemoryStore()
        self.shared.put(KEYS.configuration, b'{"version": 1}')
        self.nodes: dict[str, LedgerNode] = {}
        self.addAsyncCleanup(self.stop_all)
        for zone in ZONES:
            await self.start(f"vm-{zone}-1", zone)
        await self.until(lambda: len(self.members()) == WANTED)
        for zone in ZONES:
            await self.start(f"vm-{zone}-2", zone)

    async def start(self, vm: str, zone: str) -> None:
        """Start a ledger process with an empty disk."""
        folder = self.folder / vm
        folder.mkdir()
        endpoint = f"tcp://127.0.0.1:{self.ports.reserve()}"
        settings = LedgerSettings(vm, ZoneId(zone), endpoint, folder, WANTED, len(ZONES), "status/")
        self.nodes[vm] = node = LedgerNode(settings, WaitingStore(self.shared), KEYS)
        await node.start()

    async def stop(self, vm: str) -> None:
        """Stop a ledger process."""
        await self.nodes.pop(vm).stop()

    async def stop_all(self) -> None:
        """Stop all processes."""
        for vm in list(self.nodes):
            await self.stop(vm)

    def candidate_of(self, zone: str) -> Item:
        """Return the last claim to join in a zone."""
        return self.shared.items[KEYS.candidates + zone]

    def members(self) -> set[str]:
        """Return the members of the settled set; none while the set is not settled."""
        node = next(iter(self.nodes.values()))
        replicas = node.watcher.view.replicas
        return {member.vm for member in replicas.members} if replicas.settled else set()

    async def until(
        self, condition: Callable[[], bool], wait_limit_s: float = WAIT_LIMIT_S
    ) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(wait_limit_s):
            while not condition():
                await asyncio.sleep(CHECK_INTERVAL_S)

    def standbys(self) -> list[LedgerNode]:
        """Return the processes that are not members."""
        return [node for vm, node in self.nodes.items() if vm not in self.members()]

    async def test_it_makes_few_calls_to_the_store(self) -> None:
        await asyncio.sleep(1.0)
        standbys = self.standbys()
        before = [node.store.watches for node in standbys]
        await asyncio.sleep(OBSERVED_S)
        for node, count in zip(standbys, before, strict=True):
            self.assertLessEqual(node.store.watches - count, MAX_WATCHES)

    async def test_it_joins_in_time_for_a_stopped_member(self) -> None:
        await asyncio.sleep(1.0)
        await self.stop("vm-b-1")
        await self.until(lambda: "vm-b-2" in self.members(), REPLACED_S)

    async def test_it_joins_in_time_for_a_retiring_member(self) -> None:
        await asyncio.sleep(1.0)
        self.shared.put("op/retire/vm-c-1", b"{}")
        await self.until(
            lambda: "vm-c-1" not in self.members() and len(self.members()) == WANTED, EMPTIED_S
        )

    async def hold_turns(self) -> None:
        """Store some turns at all members."""
        names = [TurnId(f"t{number}") for number in range(TURNS)]
        kept = tuple(Turn(name, None, b"x" * 1000, b"", FAR_FUTURE) for name in names)
        for vm in self.members():
            await self.nodes[vm].replica.store_fetched(Fetched(kept))

    def readers(self) -> set[str]:
        """Return the processes that have read the turns of the members, but are not members."""
        holding = {vm for vm, node in self.nodes.items() if node.replica.turns}
        return holding - self.members()

    async def test_one_replica_of_a_zone_reads_the_data_of_the_members(self) -> None:
        for number in (3, 4):
            await self.start(f"vm-b-{number}", "b")
        await asyncio.sleep(1.0)
        await self.hold_turns()
        lost = self.nodes["vm-b-1"].own.disk
        await self.stop("vm-b-1")
        await self.until(lambda: len(self.members() - {"vm-b-1"}) == WANTED, REPLACED_S)
        await self.until(lambda: self.is_replaced(lost))
        self.assertEqual(self.readers(), set())

    def is_replaced(self, lost: str) -> bool:
        """Return whether the set is settled without a lost disk, and has the wanted size."""
        replicas = self.nodes["vm-a-1"].watcher.view.replicas
        disks = {member.disk for member in replicas.members}
        return replicas.settled and len(disks) == WANTED and lost not in disks

    async def test_a_candidate_that_fails_blocks_its_zone_only_briefly(self) -> None:
        await asyncio.sleep(1.0)
        await self.stop("vm-b-1")
        await asyncio.sleep(1.0)
        self.shared.put(KEYS.candidates + "b", b"a disk that is gone")
        await self.until(lambda: "vm-b-2" in self.members(), REPLACED_S)

    async def test_a_candidate_that_cannot_read_pauses(self) -> None:
        """It reaches the store, and members answer its pings but no other requests."""
        await asyncio.sleep(1.0)
        candidate = self.nodes["vm-b-2"]
        ask = candidate.ask_member

        async def only_ping(member: Member, message: Any, timeout_s: float) -> Any:
            if not isinstance(message, Ping):
                raise LinkFailed("cut off", sent=False)
            return await ask(member, message, timeout_s)

        candidate.membership.ask = only_ping
        await self.stop("vm-b-1")
        disk = candidate.own.disk.encode()
        await self.until(lambda: self.candidate_of("b").value == disk, REPLACED_S)
        await self.start("vm-b-3", "b")
        await self.until(lambda: "vm-b-3" in self.members())

    async def test_a_replica_without_a_responsive_majority_is_no_candidate(self) -> None:
        await asyncio.sleep(1.0)
        standby = self.nodes["vm-b-2"]
        before = self.candidate_of("b")
        standby.membership.last_seen_at = dict.fromkeys(standby.membership.last_seen_at, 0.0)
        standby.membership.started_at = 0.0
        with self.assertRaises(WaxwinggladeError):
            await standby.membership._join(standby.replica.replicas)
        self.assertEqual(self.candidate_of("b"), before)

    async def test_half_of_an_even_set_is_enough_to_read_from(self) -> None:
        """Half of an even set includes a member of every majority, and no other member responds."""
        await asyncio.sleep(1.0)
        standby = self.nodes["vm-b-2"]
        await standby.membership.candidacy.claim(standby.replica.replicas)
        responsive, unresponsive = self.nodes["vm-a-1"].own, self.nodes["vm-b-1"].own
        standby.replica.replicas = ReplicaSet(9, (responsive, unresponsive), True)
        standby.membership.last_seen_at[unresponsive.disk] = 0.0
        standby.membership.started_at = 0.0
        with (
            mock.patch.object(
                standby.membership, "_read_from_members", side_effect=LinkFailed("", True)
            ),
            self.assertRaises(LinkFailed),
        ):
            await standby.membership._join(standby.replica.replicas)

    async def test_it_receives_a_version_published_while_on_standby(self) -> None:
        await asyncio.sleep(1.0)
        self.shared.put(KEYS.configuration, b'{"version": 2}')
        await self.until(
            lambda: all(node.cached_view.view.version == 2 for node in self.nodes.values()), 2.0
        )


if __name__ == "__main__":
    unittest.main()
