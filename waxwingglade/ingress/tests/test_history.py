"""Entries learn from the ledger where the turns of a program ran."""

import unittest
from unittest import mock

from waxwingglade.follow.model import IncarnationName
from waxwingglade.ingress.balance import History
from waxwingglade.ingress.tests.entry_builders import TURNS, Behaviour, EntryUnderTest, FakeTarget
from waxwingglade.ledger.messages import Turn, TurnId


class Histories(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.target = FakeTarget(Behaviour.EVENTS)
        self.entry = EntryUnderTest(self.target)
        await self.entry.start()
        self.addAsyncCleanup(self.entry.stop)

    async def history(self) -> History | None:
        """Send a turn; return the history that the choice of its target used."""
        balancer = self.entry.ingress.balancer
        with mock.patch.object(balancer, "choose", wraps=balancer.choose) as choose:
            status, _ = await self.entry.call(TURNS, "r1")
        self.assertEqual(status, 200)
        return choose.call_args.args[3]

    async def test_a_stored_turn_names_its_target(self) -> None:
        await self.entry.call(TURNS, "r1")
        (ended,) = self.entry.ledger.ended
        self.assertEqual(ended.kept.target, self.target.address)
        self.assertEqual(ended.target, self.target.address)

    async def test_the_next_turn_uses_the_target_of_the_previous_one(self) -> None:
        before = Turn(TurnId("r0"), None, b"asked", b"said\n", 1e12, IncarnationName("engine-2"))
        self.entry.ledger.chain = (before,)
        self.assertEqual(await self.history(), History(IncarnationName("engine-2"), turns=1))

    async def test_an_engine_that_fails_a_turn_is_recorded_and_avoided(self) -> None:
        """Guards against a retry at the same engine if the caller uses another entry."""
        self.target.behaviour = Behaviour.ERROR
        status, _ = await self.entry.call(TURNS, "r1")
        self.assertEqual(status, 500)
        settled = self.entry.ledger.settled[-1]
        self.assertEqual((settled.failed_at, settled.target), (self.target.address, None))
        self.target.behaviour = Behaviour.EVENTS
        self.entry.ledger.failed_at = IncarnationName("engine-2")
        self.assertEqual(await self.history(), History(None, IncarnationName("engine-2")))

    async def test_a_first_turn_has_an_empty_history(self) -> None:
        self.assertEqual(await self.history(), History(None))
