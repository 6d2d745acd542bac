"""Data that is transferred between VMs when a replica catches up with the members.

Guards against reading each turn from every member at the same time.  After the loss of two disks
that transferred 3.7 GB between zones within seconds, for about 20,000 turns, and ledger processes
had no processor time left for turns.
"""

import asyncio
import unittest
from collections import Counter
from typing import Any

from waxwingglade.base import WaxwinggladeError
from waxwingglade.follow.model import Replica as Member
from waxwingglade.ledger.catch_up import catch_up
from waxwingglade.ledger.messages import Fetch, Fetched, ListHeld, Turn, TurnId
from waxwingglade.ledger.tests.builders import FAR_FUTURE, Cluster, MessageLost

MEMBERS = 5
TURNS = 1200
SMALL, LARGE = b"x" * 100, b"x" * 300_000


class CatchUpTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = Cluster(MEMBERS)
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        self.carried: Counter[TurnId] = Counter()
        self.failing: set[str] = set()
        self.fail_after = 0

    async def hold(self, vms: list[str], names: range, asked: bytes = SMALL) -> None:
        """Store turns at some replicas."""
        for vm in vms:
            turns = [Turn(TurnId(f"t{name}"), None, asked, b"", FAR_FUTURE) for name in names]
            await self.cluster.replicas[vm].store_fetched(Fetched(tuple(turns)))

    async def ask(self, member: Member, message: Any, timeout_s: float) -> Any:
        """Send a request to a member, and count the turns in its answer."""
        if isinstance(message, Fetch) and member.vm in self.failing:
            if self.fail_after <= 0:
                raise MessageLost("failing")
            self.fail_after -= 1
        answer = await self.cluster.ask("vm-9", member, message)
        if isinstance(answer, Fetched):
            self.carried.update(turn.turn for turn in answer.turns)
        return answer

    async def read(self) -> set[TurnId]:
        """Let a replica with an empty disk catch up; return the names of its turns."""
        joiner = self.cluster.add("vm-9")
        joiner.open()
        await catch_up(joiner, self.cluster.set, self.ask, lambda _: None)
        return set(joiner.turns)

    def names(self, count: int) -> set[TurnId]:
        """Return the names of the first `count` turns."""
        return {TurnId(f"t{number}") for number in range(count)}

    async def test_each_turn_is_read_once(self) -> None:
        everyone = list(self.cluster.replicas)
        await self.hold(everyone, range(TURNS))
        self.assertEqual(await self.read(), self.names(TURNS))
        self.assertEqual(max(self.carried.values()), 1)

    async def test_large_turns_are_read_once(self) -> None:
        everyone = list(self.cluster.replicas)
        await self.hold(everyone, range(24), LARGE)
        self.assertEqual(await self.read(), self.names(24))
        self.assertEqual(max(self.carried.values()), 1)

    async def test_turns_that_only_a_majority_has_are_read(self) -> None:
        everyone = list(self.cluster.replicas)
        for first in range(5):
            vms = [everyone[(first + place) % MEMBERS] for place in range(3)]
            await self.hold(vms, range(first * 100, first * 100 + 100))
        self.assertEqual(await self.read(), self.names(500))
        self.assertEqual(max(self.carried.values()), 1)

    async def test_turns_that_one_member_fails_to_send_are_read_from_another(self) -> None:
        everyone = list(self.cluster.replicas)
        await self.hold(everyone, range(TURNS))
        self.failing = {"vm-0", "vm-3"}
        self.fail_after = 1
        self.assertEqual(await self.read(), self.names(TURNS))

    async def test_catching_up_from_too_few_members_fails(self) -> None:
        await self.hold(list(self.cluster.replicas), range(TURNS))
        self.failing = {"vm-0", "vm-1", "vm-3"}
        with self.assertRaises(WaxwinggladeError):
            await self.read()

    async def test_a_slow_member_does_not_delay_the_rest(self) -> None:
        await self.hold(list(self.cluster.replicas), range(TURNS))
        self.cluster.delays["vm-2"] = 5.0
        async with asyncio.timeout(3.0):
            self.assertEqual(await self.read(), self.names(TURNS))

    async def test_a_member_that_stops_answering_does_not_delay_the_rest(self) -> None:
        await self.hold(list(self.cluster.replicas), range(TURNS))
        answer = self.cluster.ask

        async def slow_fetch(sender: str, member: Member, message: Any) -> Any:
            if member.vm == "vm-1" and not isinstance(message, ListHeld):
                await asyncio.sleep(5.0)
            return await answer(sender, member, message)

        self.cluster.ask = slow_fetch  # type: ignore[method-assign]
        async with asyncio.timeout(4.0):
            self.assertEqual(await self.read(), self.names(TURNS))

    async def test_turns_that_expire_meanwhile_are_not_waited_for(self) -> None:
        everyone = list(self.cluster.replicas)
        await self.hold(everyone, range(100))
        for vm in everyone:
            replica = self.cluster.replicas[vm]
            found = replica.turn

            async def expired(name: TurnId, found: Any = found) -> Turn | None:
                return None if name == "t7" else await found(name)

            replica.turn = expired  # type: ignore[method-assign]
        self.assertEqual(await self.read(), self.names(100) - {TurnId("t7")})


if __name__ == "__main__":
    unittest.main()
