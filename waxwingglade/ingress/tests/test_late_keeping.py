"""A whole answer that the ledger keeps late reaches its caller as long as there is time for it."""

import asyncio
import time
import unittest
from typing import Any

from waxwingglade.base import ZoneId
from waxwingglade.follow.model import Replica
from waxwingglade.ingress.tests.entry_builders import TURNS, Behaviour, EntryUnderTest, FakeTarget
from waxwingglade.ledger.client import LedgerClient
from waxwingglade.ledger.messages import BeginTurn, EndTurn, TurnBegun, TurnEnded
from waxwingglade.transport import Broken
from waxwingglade.transport.links import LinkFailed

ROUTE_S = 4.0
"""Seconds that the route gives a request."""

LATE_S = 2.5
"""Seconds for which no majority keeps a turn."""


class LateLinks:
    """Links to replicas that begin turns at once and keep none before some moment.

    Parameters
    ----------
    late_s : float
        Seconds from the first asking on until turns are kept.
    """

    def __init__(self, late_s: float) -> None:
        self.late_s = late_s
        self.keeps_at: float | None = None
        self.asked = 0

    def to(self, address: str) -> "LateLinks":
        """Return the link to a replica."""
        return self

    async def request(self, message: Any, timeout_s: float) -> Any:
        """Answer as a replica does."""
        if isinstance(message, BeginTurn):
            return TurnBegun()
        if not isinstance(message, EndTurn) or message.kept is None:
            return TurnEnded(False, True)
        self.asked += 1
        if self.keeps_at is None:
            self.keeps_at = time.monotonic() + self.late_s
        if time.monotonic() >= self.keeps_at:
            return TurnEnded(True, True)
        await asyncio.sleep(timeout_s)
        raise LinkFailed("gave no answer", sent=True)


class LateKeepingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.entry = EntryUnderTest(FakeTarget(Behaviour.EVENTS), timeout_s=ROUTE_S)
        self.addAsyncCleanup(self.entry.stop)

    async def call(self, late_s: float) -> float:
        """Send a turn that is kept late; return the seconds until its whole answer."""
        replicas = [Replica(f"d{n}", f"vm-{n}", f"a-{n}", ZoneId("zone-a")) for n in range(3)]
        ledger = LedgerClient(LateLinks(late_s), lambda: replicas, ZoneId("zone-a"))
        self.addAsyncCleanup(ledger.finish, 0.0)
        self.entry.ledger.begun.clear()
        await self.entry.start()
        self.entry.ingress.ledger = ledger
        status, seconds = await self.entry.call(TURNS, "r1")
        self.assertEqual(200, status)
        return seconds

    async def test_a_whole_answer_is_not_broken_off_while_its_caller_has_time_left(self) -> None:
        self.assertGreaterEqual(await self.call(LATE_S), LATE_S)

    async def test_an_answer_that_is_not_kept_in_its_time_is_seen_to_be_incomplete(self) -> None:
        began_at = time.monotonic()
        with self.assertRaises(Broken):
            await self.call(2 * ROUTE_S)
        self.assertLess(time.monotonic() - began_at, ROUTE_S + 0.5)


if __name__ == "__main__":
    unittest.main()
