"""Log lines about turns that the ledger is slow to begin or to end."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from waxwingglade.base import ZoneId
from waxwingglade.follow.model import Replica
from waxwingglade.ledger.client import LedgerClient
from waxwingglade.ledger.messages import Accept, Prepare, TurnEnded
from waxwingglade.ledger.tests.builders import PROGRAM, Cluster, begin, end
from waxwingglade.ledger.tests.log_capture import logged_lines
from waxwingglade.transport.links import LinkFailed

WAIT_LIMIT_S = 5.0


class OneUnresponsiveLink:
    """Links to replicas; the first one that is used gives no answer."""

    def __init__(self) -> None:
        self.unresponsive = ""

    def to(self, address: str) -> mock.Mock:
        """Return the link to a replica."""

        async def request(_message: Any, timeout_s: float) -> TurnEnded:
            self.unresponsive = self.unresponsive or address
            if address != self.unresponsive:
                return TurnEnded(True, True)
            await asyncio.sleep(timeout_s)
            raise LinkFailed("gave no answer", sent=True)

        return mock.Mock(request=request)


class EntryLogsTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_asked_replicas_and_their_answers_are_logged(self) -> None:
        replicas = [Replica(f"d{n}", f"vm-{n}", f"a-{n}", ZoneId("zone")) for n in range(3)]
        client = LedgerClient(OneUnresponsiveLink(), lambda: replicas, ZoneId("zone"))
        with logged_lines("ledger slow to answer") as lines:
            await client.end(end(1), 20.0)
        (line,) = lines
        self.assertEqual("turn-1", line["turn"])
        answers = [each["answer"] for each in line["asked"]]
        self.assertEqual(["no answer", "kept, settled"], answers)
        self.assertGreater(line["asked"][0]["seconds"], line["asked"][1]["seconds"])


class LedgerLogsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        self.coordinator = self.cluster.coordinator("vm-0")
        await self.coordinator.begin(begin(1))

    async def test_members_without_an_answer_are_logged(self) -> None:
        self.cluster.isolate("vm-0")
        with logged_lines("turn not kept") as lines:
            await self.coordinator.end(end(1))
        (line,) = lines
        self.assertLessEqual({"vm-1", "vm-2"}, set(line["silent"]))
        self.assertIn("of 3 members answered", line["reason"])

    async def test_an_account_that_delays_the_end_of_a_stored_turn_is_logged(self) -> None:
        async def never_in_time(_message: Any) -> None:
            await asyncio.sleep(20.0)

        for replica in self.cluster.replicas.values():
            replica.handlers[Prepare] = replica.handlers[Accept] = never_in_time
        with logged_lines("turn slow to end") as ends, logged_lines("account held up") as accounts:
            await self.coordinator.end(end(1))
            async with asyncio.timeout(WAIT_LIMIT_S):
                while not accounts:
                    await asyncio.sleep(0.01)
        self.assertTrue(ends[0]["kept"])
        self.assertFalse(ends[0]["settled"])
        self.assertGreater(ends[0]["settled_s"], ends[0]["kept_s"])
        self.assertEqual(PROGRAM, accounts[0]["program"])


if __name__ == "__main__":
    unittest.main()
