"""Chains of which no member has all turns, as each was away while another turn was stored."""

import asyncio
import unittest

from waxwingglade.ledger.messages import Find, NoSuchTurn, TurnBegun
from waxwingglade.ledger.tests.builders import Cluster, begin, turn

TIMEOUT_S = 5.0


class SplitChainTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()

    async def split(self) -> None:
        """Store a chain of which each member lacks another turn."""
        await self.cluster.keep(turn(1), "vm-0", "vm-1")
        await self.cluster.keep(turn(2, 1), "vm-1", "vm-2")
        await self.cluster.keep(turn(3, 2), "vm-0", "vm-2")
        await self.cluster.keep(turn(4, 3), "vm-0", "vm-1", "vm-2")

    async def test_a_chain_of_which_each_member_lacks_a_turn_is_found(self) -> None:
        # Guards against conversations that can't go on while one member is away after restarts.
        await self.split()
        chain = (turn(1), turn(2, 1), turn(3, 2), turn(4, 3))
        for vm in self.cluster.replicas:
            answer = await self.cluster.coordinator(vm).begin(begin(5, previous="turn-4"))
            self.assertEqual(answer, TurnBegun(chain))

    async def test_it_is_found_while_any_member_is_away(self) -> None:
        # Guards against conversations that can't go on while one member is away after restarts.
        await self.split()
        for away in self.cluster.replicas:
            self.cluster.heal()
            self.cluster.isolate(away)
            for vm in set(self.cluster.replicas) - {away}:
                answer = await self.cluster.coordinator(vm).begin(begin(5, previous="turn-3"))
                self.assertEqual(answer, TurnBegun((turn(1), turn(2, 1), turn(3, 2))))

    async def test_a_chain_with_a_turn_that_is_nowhere_is_not_denied(self) -> None:
        await self.cluster.keep(turn(2, 1), "vm-0", "vm-1", "vm-2")
        answer = await self.cluster.coordinator("vm-0").begin(begin(3, previous="turn-2"))
        self.assertNotIsInstance(answer, NoSuchTurn | TurnBegun)

    async def test_turns_that_continue_each_other_are_refused(self) -> None:
        # Guards against a search without end.  Callers choose the names of turns, so a name that is
        # used again may continue its own successor at a member that missed the first use.
        await self.cluster.keep(turn(1), "vm-0")
        await self.cluster.keep(turn(2, 1), "vm-0", "vm-1", "vm-2")
        await self.cluster.keep(turn(1, 2), "vm-1", "vm-2")
        for vm in ("vm-1", "vm-2"):
            async with asyncio.timeout(TIMEOUT_S):
                answer = await self.cluster.coordinator(vm).begin(begin(3, previous="turn-2"))
            self.assertNotIsInstance(answer, NoSuchTurn)

    async def test_a_chain_is_not_sent_again_from_turns_that_are_known(self) -> None:
        await self.split()
        coordinator = self.cluster.coordinator("vm-0")
        await coordinator.begin(begin(5, previous="turn-4"))
        asked = {each.turn for _, _, each in self.cluster.carried if isinstance(each, Find)}
        self.assertLessEqual(asked, {"turn-1", "turn-2"})


if __name__ == "__main__":
    unittest.main()
