"""Turns that are stored while the set of members changes.

Guards against denying a stored turn just after a change of the set.  A replica with an empty disk
catches up and joins a set of three.  One member receives the new set first and refuses the copy of
a turn, which the two others still store under the previous set, so that the turn is durable.  The
next turn then begins through the member that refused.  Neither this member nor the new one has the
turn, and two of four members without it were taken as proof that it does not exist.

The fault was to judge the members without a turn by the size of the new set.  While a set is not
settled, the new member may lack turns of the previous set, and a majority of the previous set may
include a member that was removed.
"""

import asyncio
import unittest
from typing import Any
from unittest import mock

from loguru import logger

from waxwingglade.base import WaxwinggladeError
from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.ledger.catch_up import catch_up
from waxwingglade.ledger.journal import Place
from waxwingglade.ledger.messages import Held, Keep, NoSuchTurn, OtherEpoch, TurnBegun, Unavailable
from waxwingglade.ledger.tests.builders import Cluster, begin, end, turn

LATE_S = 0.02
"""Delay in seconds of the members whose answers come last."""


class ChangingSets(unittest.IsolatedAsyncioTestCase):
    async def start(self, size: int) -> None:
        """Start a settled set of `size` members, vm-0 and so on."""
        self.cluster = Cluster(size)
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()

    async def keep_before(self, vms: list[str], following: ReplicaSet) -> None:
        """Store a turn under the current set at some members; others already use the next set."""
        for vm, replica in self.cluster.replicas.items():
            if vm not in vms:
                await replica.adopt_members(following)
        ended = await self.cluster.coordinator(vms[0]).end(end(1))
        self.assertTrue(ended.kept)
        holders = {vm for vm, replica in self.cluster.replicas.items() if "turn-1" in replica.turns}
        self.assertEqual(holders, set(vms))

    async def join_after_keeping(self) -> None:
        """Let vm-3 join a set of three just after vm-0 and vm-1, but not vm-2, stored a turn."""
        await self.start(3)
        following = self.cluster.joined("vm-3")
        await self.keep_before(["vm-0", "vm-1"], following)
        await self.cluster.use(following)

    async def catch_up(self, vm: str) -> None:
        """Let a replica read the data of the other members."""
        await catch_up(
            self.cluster.replicas[vm],
            self.cluster.replicas[vm].replicas,
            lambda member, message, timeout_s: self.cluster.ask(vm, member, message),
            lambda _: None,
        )

    async def test_a_turn_stored_just_before_a_member_joined_is_found_just_after(self) -> None:
        await self.join_after_keeping()
        self.cluster.delays = {"vm-0": LATE_S, "vm-1": LATE_S}
        answer = await self.cluster.coordinator("vm-2").begin(begin(2, previous="turn-1"))
        self.assertEqual(answer, TurnBegun((turn(1),)))

    async def test_a_turn_that_was_never_stored_is_denied_while_a_member_joins(self) -> None:
        await self.start(3)
        following = self.cluster.joined("vm-3")
        await self.cluster.use(following)
        lines: list[dict[str, Any]] = []
        sink = logger.add(lambda message: lines.append(message.record["extra"]), level="WARNING")
        self.addCleanup(logger.remove, sink)
        answer = await self.cluster.coordinator("vm-2").begin(begin(2, previous="turn-9"))
        self.assertIsInstance(answer, NoSuchTurn)
        self.assertEqual((lines[0]["previous"], lines[0]["joining"]), ("turn-9", ["vm-3"]))
        self.assertGreaterEqual(set(lines[0]["without_it"]), {"vm-2"})

    async def test_a_turn_stored_by_a_new_member_of_five_is_not_denied(self) -> None:
        """Three of five members have the turn; two of the four older members do not."""
        await self.start(4)
        following = self.cluster.joined("vm-4")
        await self.cluster.use(following)
        self.cluster.isolate("vm-2")
        self.cluster.isolate("vm-3")
        self.assertTrue((await self.cluster.coordinator("vm-0").end(end(1))).kept)
        self.cluster.heal()
        self.cluster.delays = {"vm-0": LATE_S, "vm-1": LATE_S, "vm-4": LATE_S}
        answer = await self.cluster.coordinator("vm-2").begin(begin(2, previous="turn-1"))
        self.assertEqual(answer, TurnBegun((turn(1),)))

    async def test_a_turn_is_not_denied_while_its_holders_cannot_be_asked(self) -> None:
        await self.join_after_keeping()
        self.cluster.isolate("vm-0")
        self.cluster.isolate("vm-1")
        answer = await self.cluster.coordinator("vm-2").begin(begin(2, previous="turn-1"))
        self.assertIsInstance(answer, Unavailable)

    async def test_a_turn_stored_just_before_a_member_was_removed_is_found_just_after(self) -> None:
        await self.start(3)
        following = self.cluster.without("vm-2")
        await self.keep_before(["vm-0", "vm-2"], following)
        await self.cluster.use(following)
        self.cluster.delays = {"vm-0": LATE_S}
        answer = await self.cluster.coordinator("vm-1").begin(begin(2, previous="turn-1"))
        self.assertEqual(answer, TurnBegun((turn(1),)))

    async def test_reading_the_new_member_does_not_count(self) -> None:
        """The new member caught up under the previous set, which stored further turns meanwhile."""
        await self.join_after_keeping()
        self.cluster.isolate("vm-0")
        self.cluster.isolate("vm-1")
        with self.assertRaises(WaxwinggladeError):
            await self.catch_up("vm-2")
        self.cluster.heal()
        await self.catch_up("vm-2")
        self.assertIn("turn-1", self.cluster.replicas["vm-2"].turns)

    async def test_a_copy_is_not_acknowledged_once_a_newer_set_is_known(self) -> None:
        """A replica that read this one under the newer set may not have received the turn."""
        await self.start(3)
        replica = self.cluster.replicas["vm-0"]
        keeping = asyncio.create_task(replica.keep(Keep(self.cluster.set.epoch, turn(1))))
        await asyncio.sleep(0)
        await replica.adopt_members(self.cluster.without("vm-2"))
        self.assertIsInstance(await keeping, OtherEpoch)

    async def test_a_replica_that_counts_itself_as_read_refuses_older_sets_durably(self) -> None:
        """Otherwise it could store turns under an older set after a loss of power."""
        await self.start(3)
        replica = self.cluster.replicas["vm-0"]
        following = self.cluster.joined("vm-3")
        unwritten: asyncio.Future[Place] = asyncio.get_running_loop().create_future()
        with mock.patch.object(replica.journal, "append", return_value=unwritten):
            learning = asyncio.create_task(replica.adopt_members(following))
            await asyncio.sleep(0)

        async def answer(member: Member, message: Any, timeout_s: float) -> Held:
            return Held((), {})

        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(LATE_S):
                await catch_up(replica, following, answer, lambda _: None)
        unwritten.set_result(Place(1, 0, 0))
        await catch_up(replica, following, answer, lambda _: None)
        await learning


class StaleCoordinator(unittest.IsolatedAsyncioTestCase):
    """A turn is stored under a newer set than the one that the coordinator uses.

    Members that have not received the new set answer under the old one and do not have the turn.
    In an old set of even size they may be half of the members, while the other half and the joined
    member are a majority of the new set.  So half of a set does not prove that a turn is missing.
    """

    async def start(self, size: int, settled: bool = True) -> Cluster:
        """Start a set of `size` members; the last one joined last."""
        cluster = Cluster(size)
        self.addAsyncCleanup(cluster.close)
        if not settled:
            last = cluster.set.members[-1].disk
            cluster.set = ReplicaSet(1, cluster.set.members, False, last)
        await cluster.start()
        return cluster

    async def deny(
        self, cluster: Cluster, following: ReplicaSet, knowing: list[str], asker: str
    ) -> None:
        """Store a turn under the next set, and check that the previous set does not deny it."""
        for vm in knowing:
            await cluster.replicas[vm].adopt_members(following)
        ended = await cluster.coordinator(knowing[0]).end(end(1))
        self.assertTrue(ended.kept)
        answer = await cluster.coordinator(asker).begin(begin(2, previous="turn-1"))
        self.assertNotIsInstance(answer, NoSuchTurn)

    async def test_two_become_three(self) -> None:
        cluster = await self.start(2)
        await self.deny(cluster, cluster.joined("vm-2"), ["vm-0", "vm-2"], "vm-1")

    async def test_four_become_five(self) -> None:
        cluster = await self.start(4)
        await self.deny(cluster, cluster.joined("vm-4"), ["vm-0", "vm-1", "vm-4"], "vm-2")

    async def test_four_become_three_asked_of_one_that_stays(self) -> None:
        cluster = await self.start(4)
        await self.deny(cluster, cluster.without("vm-3"), ["vm-0", "vm-1"], "vm-2")

    async def test_four_become_three_asked_of_the_one_removed(self) -> None:
        cluster = await self.start(4)
        await self.deny(cluster, cluster.without("vm-3"), ["vm-0", "vm-1"], "vm-3")

    async def test_four_that_the_asker_sees_as_unsettled_become_three(self) -> None:
        """The asker has not received the settled set of four, either."""
        cluster = await self.start(4, settled=False)
        await self.deny(cluster, cluster.without("vm-1"), ["vm-0", "vm-3"], "vm-2")
