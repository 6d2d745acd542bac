"""Turns begin and end in time though others of their program begin and end at the same moment."""

import asyncio
import time
import unittest
from typing import Any
from unittest import mock

from msgspec.structs import astuple

from waxwingglade.ledger.client import REPLICA_TIMEOUT_S
from waxwingglade.ledger.messages import Accept, Prepare
from waxwingglade.ledger.tests.builders import Cluster, begin, end
from waxwingglade.ledger.tests.crowds import Crowd, run_crowd

AGENTS = 24
SEEDS = range(1, 21)


class HeldUpAccountTest(unittest.IsolatedAsyncioTestCase):
    """Members keep turns, and change no account."""

    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        self.coordinator = self.cluster.coordinator("vm-0")
        await self.coordinator.begin(begin(1))
        for replica in self.cluster.replicas.values():
            replica.handlers[Prepare] = replica.handlers[Accept] = held_up

    async def test_a_turn_is_told_to_be_kept_while_its_account_is_held_up(self) -> None:
        began_at = time.monotonic()
        ended = await self.coordinator.end(end(1))
        seconds = time.monotonic() - began_at
        self.assertTrue(ended.kept)
        self.assertLess(seconds, REPLICA_TIMEOUT_S, "the entry has asked another replica by now")

    async def test_an_end_whose_settlement_fails_at_once_is_noted_as_well(self) -> None:
        for replica in self.cluster.replicas.values():
            replica.handlers[Prepare] = replica.handlers[Accept] = mock.AsyncMock(return_value=None)
        self.assertEqual((True, False), astuple(await self.coordinator.end(end(1))))
        noted = [len(replica.unsettled) for replica in self.cluster.replicas.values()]
        self.assertGreaterEqual(sum(noted), self.cluster.set.majority)

    async def test_an_end_that_is_told_unsettled_outlives_the_process_that_told_it(self) -> None:
        self.assertEqual((True, False), astuple(await self.coordinator.end(end(1))))
        noted = [len(replica.unsettled) for replica in self.cluster.replicas.values()]
        self.assertGreaterEqual(sum(noted), self.cluster.set.majority)
        await self.cluster.restart("vm-1")
        await self.cluster.restart("vm-2")
        after = [len(self.cluster.replicas[vm].unsettled) for vm in ("vm-1", "vm-2")]
        self.assertGreaterEqual(sum(after), 1)


async def held_up(_message: Any) -> None:
    """Answer a request when its asker has long given up."""
    await asyncio.sleep(20.0)


class CrowdTest(unittest.TestCase):
    """Sub-agents of one program, through entries of all zones, on disks that take their time."""

    def crowds(self) -> list[Crowd]:
        return [run_crowd(seed, AGENTS) for seed in SEEDS]

    def test_no_whole_answer_waits_for_other_turns_of_its_program(self) -> None:
        for crowd in self.crowds():
            self.assertGreater(crowd.begun, 0)
            self.assertTrue(all(kept for kept, _ in crowd.ended))
            self.assertLess(max(seconds for _, seconds in crowd.ended), REPLICA_TIMEOUT_S)

    def test_turns_that_begin_together_are_all_decided(self) -> None:
        self.assertEqual([0] * len(SEEDS), [crowd.undecided for crowd in self.crowds()])


if __name__ == "__main__":
    unittest.main()
