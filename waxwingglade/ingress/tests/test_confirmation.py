"""A caller gets no token of a turn before its reservation is confirmed.

Guards against tokens beyond the budget, which happen when an unconfirmed reservation goes to
another turn.
"""

import asyncio
import unittest

from waxwingglade.ingress.tests.entry_builders import (
    TURNS,
    Behaviour,
    EntryUnderTest,
    FakeTarget,
    until,
)

OK = 200
BAD_GATEWAY = 502
NOT_RUN = 503
WAITED_S = 0.3


class ConfirmationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.target = FakeTarget(Behaviour.EVENTS)
        self.entry = EntryUnderTest(self.target)
        self.addAsyncCleanup(self.entry.stop)
        await self.entry.start()
        self.ledger = self.entry.ledger
        self.ledger.granter = "disk-1"

    async def test_no_event_is_passed_on_before_the_reservation_is_confirmed(self) -> None:
        self.ledger.may_confirm.clear()
        calling = asyncio.create_task(self.entry.call(TURNS, "r1"))
        self.assertTrue(await until(lambda: self.ledger.confirmed, 2.0))
        await asyncio.sleep(WAITED_S)
        self.assertFalse(calling.done())
        self.ledger.may_confirm.set()
        status, _ = await calling
        self.assertEqual(OK, status)
        (confirmed,) = self.ledger.confirmed
        self.assertEqual("disk-1", confirmed.granter)

    async def test_a_turn_with_an_expired_reservation_gets_no_tokens(self) -> None:
        self.ledger.expired = True
        status, _ = await self.entry.call(TURNS, "r1")
        self.assertEqual(BAD_GATEWAY, status, "the target may have run it")
        (settled,) = self.ledger.settled
        self.assertEqual(0, settled.used_tokens)

    async def test_a_refused_turn_is_resolved_before_its_caller_is_answered(self) -> None:
        """Guards against counting a refused turn if its entry is killed after its answer.

        The next turn of the caller may use another entry, and would count the reservation.
        """
        self.target.behaviour = Behaviour.REFUSE
        self.target.proceed.set()
        self.ledger.may_settle.clear()
        calling = asyncio.create_task(self.entry.call(TURNS, "r1"))
        self.assertTrue(await until(lambda: self.ledger.settled, 2.0))
        await asyncio.sleep(WAITED_S)
        self.assertFalse(calling.done())
        self.ledger.may_settle.set()
        status, _ = await calling
        self.assertEqual(NOT_RUN, status)
        self.assertEqual(1, len(self.ledger.settled))

    async def test_without_a_granter_no_confirmation_is_requested(self) -> None:
        self.ledger.granter = ""
        status, _ = await self.entry.call(TURNS, "r1")
        self.assertEqual(OK, status)
        self.assertEqual([], self.ledger.confirmed)


if __name__ == "__main__":
    unittest.main()
