"""A complete answer whose turn is stored late reaches its caller if there is time left."""

import asyncio
import time
import unittest
from typing import Any

from waxwingglade.base import ZoneId
from waxwingglade.follow.model import Replica
from waxwingglade.ingress.tests.entry_builders import TURNS, Behaviour, EntryUnderTest, FakeTarget
from waxwingglade.ledger.client import LedgerClient
from waxwingglade.ledger.messages import BeginTurn, EndTurn, TurnBegun, TurnEnded
from waxwingglade.transport import ConnectionBroken
from waxwingglade.transport.links import LinkFailed

ROUTE_S = 4.0
"""Timeout of the route in seconds."""

STORING_DELAY_S = 2.5
"""Seconds for which no majority stores a turn."""


class DelayedStoringLinks:
    """Links to replicas that begin turns at once and store them only after a delay.

    Parameters
    ----------
    delay_s : float
        Seconds from the first request until turns are stored.
    """

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.stores_at: float | None = None
        self.asked = 0

    def to(self, address: str) -> "DelayedStoringLinks":
        """Return the link to a replica."""
        return self

    async def request(self, message: Any, timeout_s: float) -> Any:
        """Answer a message as a replica."""
        if isinstance(message, BeginTurn):
            return TurnBegun()
        if not isinstance(message, EndTurn) or message.kept is None:
            return TurnEnded(False, True)
        self.asked += 1
        if self.stores_at is None:
            self.stores_at = time.monotonic() + self.delay_s
        if time.monotonic() >= self.stores_at:
            return TurnEnded(True, True)
        await asyncio.sleep(timeout_s)
        raise LinkFailed("gave no answer", sent=True)


class DelayedStoringTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.entry = EntryUnderTest(FakeTarget(Behaviour.EVENTS), timeout_s=ROUTE_S)
        self.addAsyncCleanup(self.entry.stop)

    async def call(self, delay_s: float) -> float:
        """Send a turn that is stored late; return the seconds until its complete answer."""
        replicas = [Replica(f"d{n}", f"vm-{n}", f"a-{n}", ZoneId("zone-a")) for n in range(3)]
        ledger = LedgerClient(DelayedStoringLinks(delay_s), lambda: replicas, ZoneId("zone-a"))
        self.addAsyncCleanup(ledger.finish, 0.0)
        self.entry.ledger.begun.clear()
        await self.entry.start()
        self.entry.ingress.ledger = ledger
        status, seconds = await self.entry.call(TURNS, "r1")
        self.assertEqual(200, status)
        return seconds

    async def test_a_complete_answer_is_not_aborted_while_its_caller_has_time_left(self) -> None:
        self.assertGreaterEqual(await self.call(STORING_DELAY_S), STORING_DELAY_S)

    async def test_an_answer_whose_turn_is_not_stored_in_time_is_truncated(self) -> None:
        began_at = time.monotonic()
        with self.assertRaises(ConnectionBroken):
            await self.call(2 * ROUTE_S)
        self.assertLess(time.monotonic() - began_at, ROUTE_S + 0.5)


if __name__ == "__main__":
    unittest.main()
