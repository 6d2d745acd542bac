"""A turn that the ledger begins late is served if its caller has enough time left."""

import time
import unittest
from typing import Any

from waxwingglade.base import ZoneId
from waxwingglade.follow.model import Replica
from waxwingglade.ingress.tests.entry_builders import TURNS, Behaviour, EntryUnderTest, FakeTarget
from waxwingglade.ledger.client import LedgerClient
from waxwingglade.ledger.messages import BeginTurn, TurnBegun, TurnEnded, Unavailable

ROUTE_S = 4.0
"""Timeout of the route in seconds."""

NOT_RUN = 503


class DelayedBeginLinks:
    """Links to replicas that begin turns only after a delay.

    Parameters
    ----------
    delay_s : float
        Seconds from the first request until turns begin.
    """

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.begins_at: float | None = None

    def to(self, address: str) -> "DelayedBeginLinks":
        """Return the link to a replica."""
        return self

    async def request(self, message: Any, timeout_s: float) -> Any:
        """Answer a message as a replica."""
        if not isinstance(message, BeginTurn):
            return TurnEnded(True, True)
        if self.begins_at is None:
            self.begins_at = time.monotonic() + self.delay_s
        if time.monotonic() >= self.begins_at:
            return TurnBegun()
        return Unavailable("no majority in time")


class DelayedBeginTest(unittest.IsolatedAsyncioTestCase):
    async def call(self, delay_s: float) -> tuple[int, float]:
        """Send a turn that begins late; return the status and the seconds until its answer."""
        entry = EntryUnderTest(FakeTarget(Behaviour.EVENTS), timeout_s=ROUTE_S)
        self.addAsyncCleanup(entry.stop)
        replicas = [Replica(f"d{n}", f"vm-{n}", f"a-{n}", ZoneId("zone-a")) for n in range(3)]
        ledger = LedgerClient(DelayedBeginLinks(delay_s), lambda: replicas, ZoneId("zone-a"))
        self.addAsyncCleanup(ledger.finish, 0.0)
        entry.ledger.begun.clear()
        await entry.start()
        entry.ingress.ledger = ledger
        return await entry.call(TURNS, "r1")

    async def test_a_turn_is_not_refused_while_its_caller_has_time_left(self) -> None:
        """Guards against a fixed limit after which an entry refuses a turn as not run."""
        status, seconds = await self.call(ROUTE_S / 3)
        self.assertEqual(200, status)
        self.assertGreaterEqual(seconds, ROUTE_S / 3)

    async def test_a_turn_that_does_not_begin_is_refused_in_time_to_try_again(self) -> None:
        status, seconds = await self.call(2 * ROUTE_S)
        self.assertEqual(NOT_RUN, status)
        self.assertLess(seconds, 0.75 * ROUTE_S)


if __name__ == "__main__":
    unittest.main()
