"""Tests that turns begin and end in time while the account of their program is delayed."""

import asyncio
import time
import unittest
from typing import Any
from unittest import mock

from msgspec.structs import astuple

from waxwingglade.ledger.client import REPLICA_TIMEOUT_S
from waxwingglade.ledger.messages import Accept, Prepare
from waxwingglade.ledger.tests.builders import Cluster, begin, end
from waxwingglade.ledger.tests.concurrent_agents import ConcurrentAgents, run_agents

AGENTS = 24
SEEDS = range(1, 21)


class DelayedAccountTest(unittest.IsolatedAsyncioTestCase):
    """The members store turns, but do not answer changes of accounts."""

    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        self.coordinator = self.cluster.coordinator("vm-0")
        await self.coordinator.begin(begin(1))
        for replica in self.cluster.replicas.values():
            replica.handlers[Prepare] = replica.handlers[Accept] = answer_after_timeout

    async def test_a_turn_is_reported_as_stored_while_its_account_is_delayed(self) -> None:
        began_at = time.monotonic()
        ended = await self.coordinator.end(end(1))
        seconds = time.monotonic() - began_at
        self.assertTrue(ended.kept)
        self.assertLess(seconds, REPLICA_TIMEOUT_S, "the entry has asked another replica by now")

    async def test_an_end_whose_reservation_fails_to_resolve_at_once_is_recorded(self) -> None:
        for replica in self.cluster.replicas.values():
            replica.handlers[Prepare] = replica.handlers[Accept] = mock.AsyncMock(return_value=None)
        self.assertEqual((True, False), astuple(await self.coordinator.end(end(1))))
        recorded = [len(replica.unresolved_ends) for replica in self.cluster.replicas.values()]
        self.assertGreaterEqual(sum(recorded), self.cluster.set.majority)

    async def test_an_end_reported_as_unresolved_survives_the_reporting_process(self) -> None:
        self.assertEqual((True, False), astuple(await self.coordinator.end(end(1))))
        recorded = [len(replica.unresolved_ends) for replica in self.cluster.replicas.values()]
        self.assertGreaterEqual(sum(recorded), self.cluster.set.majority)
        await self.cluster.restart("vm-1")
        await self.cluster.restart("vm-2")
        after = [len(self.cluster.replicas[vm].unresolved_ends) for vm in ("vm-1", "vm-2")]
        self.assertGreaterEqual(sum(after), 1)


async def answer_after_timeout(_message: Any) -> None:
    """Answer a request long after its timeout."""
    await asyncio.sleep(20.0)


class ConcurrentAgentsTest(unittest.TestCase):
    """Many sub-agents of one program, through entries of all zones, on slow disks."""

    def runs(self) -> list[ConcurrentAgents]:
        return [run_agents(seed, AGENTS) for seed in SEEDS]

    def test_no_complete_answer_waits_for_other_turns_of_its_program(self) -> None:
        for run in self.runs():
            self.assertGreater(run.begun, 0)
            self.assertTrue(all(kept for kept, _ in run.ended))
            self.assertLess(max(seconds for _, seconds in run.ended), REPLICA_TIMEOUT_S)

    def test_turns_that_begin_together_are_all_decided(self) -> None:
        self.assertEqual([0] * len(SEEDS), [run.undecided for run in self.runs()])


if __name__ == "__main__":
    unittest.main()
