"""A member that missed turns gets them from the others."""

import unittest
from unittest import mock

from waxwingglade.ledger.messages import CompareTurns, Fetch
from waxwingglade.ledger.tests.builders import Cluster, turn
from waxwingglade.ledger.turn_index import EXPIRY_MARGIN_S
from waxwingglade.ledger.turn_repair import TurnRepair

NOW = 1000.0
"""Calendar time in the tests of expiry."""


class TurnRepairTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        no_wait = mock.patch("waxwingglade.ledger.turn_index.SETTLE_S", 0.0)
        no_wait.start()
        self.addCleanup(no_wait.stop)

    def repair(self, vm: str) -> TurnRepair:
        """Return the repair of a member."""
        cluster = self.cluster
        return TurnRepair(
            cluster.members[vm],
            cluster.replicas[vm],
            lambda: cluster.set,
            lambda member, message, timeout_s: cluster.ask(vm, member, message),
        )

    async def repair_all(self) -> None:
        """Let each member compare its turns with each other one, twice."""
        for _ in range(4):
            for vm in self.cluster.replicas:
                if vm in self.cluster.members:
                    repair = self.repair(vm)
                    for _ in range(2):
                        await repair.repair_from_next()

    def stored(self) -> dict[str, set[str]]:
        """Return the names of the turns of each member."""
        return {vm: set(replica.turns) for vm, replica in self.cluster.replicas.items()}

    async def test_a_member_that_was_away_gets_the_turns_that_it_missed(self) -> None:
        # Guards against a turn that stays on a bare majority, where one more loss makes it
        # unavailable.
        await self.cluster.keep(turn(1), "vm-0", "vm-1", "vm-2")
        await self.cluster.keep(turn(2, 1), "vm-1", "vm-2")
        await self.cluster.keep(turn(3, 2), "vm-0", "vm-2")
        await self.cluster.keep(turn(4), "vm-0", "vm-1")
        await self.repair_all()
        everything = {"turn-1", "turn-2", "turn-3", "turn-4"}
        self.assertEqual(self.stored(), dict.fromkeys(self.cluster.replicas, everything))

    async def test_a_member_with_an_empty_index_gets_ancestors_that_have_expired(self) -> None:
        for replica in self.cluster.replicas.values():
            replica.wall_clock = lambda: NOW
        for number in range(1, 8):
            expires_at = NOW + 60.0 if number == 7 else NOW - 10.0 * EXPIRY_MARGIN_S
            await self.cluster.keep(
                turn(number, number - 1 or None, expires_at=expires_at), "vm-0", "vm-1"
            )
        await self.repair_all()
        await self.cluster.restart("vm-2")
        for replica in self.cluster.replicas.values():
            replica.wall_clock = lambda: NOW
            replica.forget_expired()
        self.assertEqual(self.stored()["vm-2"], {f"turn-{number}" for number in range(1, 8)})

    async def test_a_beginning_that_is_read_last_is_retained_like_the_rest(self) -> None:
        # Guards against the loss of a conversation's first turn after all members were replaced.
        replica = self.cluster.replicas["vm-2"]
        await replica._store_turn(turn(3, 2, expires_at=NOW))
        await replica._store_turn(turn(2, 1, expires_at=20.0))
        await replica._store_turn(turn(1, expires_at=10.0))
        replica.wall_clock = lambda: NOW
        replica.forget_expired()
        self.assertEqual(set(replica.turns), {"turn-1", "turn-2", "turn-3"})

    async def test_members_with_the_same_turns_send_each_other_none(self) -> None:
        for number in range(50):
            await self.cluster.keep(turn(number), "vm-0", "vm-1", "vm-2")
        await self.repair_all()
        sent = {type(message) for _, _, message in self.cluster.carried}
        self.assertEqual(sent, {CompareTurns})

    async def test_more_turns_than_fit_into_one_answer_are_read(self) -> None:
        with mock.patch("waxwingglade.ledger.replica.MAX_FETCH_BYTES", 100):
            for number in range(250):
                await self.cluster.keep(
                    turn(number, number - 1 if number % 10 else None), "vm-0", "vm-1"
                )
            await self.repair("vm-2").repair_from(self.cluster.members["vm-0"])
        self.assertEqual(len(self.stored()["vm-2"]), 250)

    async def test_a_turn_that_no_member_has_is_asked_for_once_in_a_comparison(self) -> None:
        await self.cluster.keep(turn(2, 1), "vm-0", "vm-1")
        repair = self.repair("vm-2")
        await repair.repair_from(self.cluster.members["vm-0"])
        fetches = [each for _, _, each in self.cluster.carried if isinstance(each, Fetch)]
        self.assertEqual([each.turns for each in fetches], [("turn-2",), ("turn-1",)])
        self.assertEqual(list(self.cluster.replicas["vm-2"].index.gaps), ["turn-1"])

    async def test_an_unreachable_member_does_not_end_the_repair(self) -> None:
        await self.cluster.keep(turn(1), "vm-0")
        self.cluster.isolate("vm-1")
        repair = self.repair("vm-2")
        for _ in range(2):
            await repair.repair_from_next()
        self.assertEqual(self.stored()["vm-2"], {"turn-1"})

    async def test_a_replica_that_is_no_member_reads_nothing(self) -> None:
        await self.cluster.keep(turn(1), "vm-0", "vm-1")
        self.cluster.set = self.cluster.without("vm-2")
        await self.repair("vm-2").repair_from_next()
        self.assertEqual(self.stored()["vm-2"], set())


if __name__ == "__main__":
    unittest.main()
