"""Behaviour of an entry while it is partitioned from the ledger, and while the ledger is slow.

In a partitioned zone no turn can begin or be stored.  Callers are refused early, so that they can
retry in another zone in time.  If the ledger is only slow, callers wait for it.
"""

import asyncio
import time
import unittest

from waxwingglade.ingress.quorum_monitor import (
    MIN_RETRY_AFTER_S,
    REMOVAL_DELAY_S,
    UNHEALTHY_THRESHOLD,
    QuorumLost,
    QuorumMonitor,
    RotationEstimate,
)
from waxwingglade.ingress.streaming import (
    BEGIN_WITHOUT_QUORUM_S,
    STORE_WITHOUT_QUORUM_S,
    UNDECIDED_RETRY_S,
)
from waxwingglade.ingress.tests.entry_builders import (
    TURNS,
    Behaviour,
    EntryUnderTest,
    FakeTarget,
    until,
)
from waxwingglade.transport import ConnectionBroken

ROUTE_S = 3.0
SLACK_S = 0.4


class RotationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.rotation = RotationEstimate(lambda: self.now)

    def test_the_entry_is_removed_after_two_failed_checks_a_second_apart(self) -> None:
        self.rotation.record(True)
        self.now += 0.4
        self.assertAlmostEqual(1.6 + REMOVAL_DELAY_S, self.rotation.until_removed_s)
        self.now += 0.6
        self.rotation.record(False)
        self.assertAlmostEqual(1.0 + REMOVAL_DELAY_S, self.rotation.until_removed_s)
        self.now += 1.0
        self.rotation.record(False)
        self.assertAlmostEqual(REMOVAL_DELAY_S, self.rotation.until_removed_s)
        self.now += 1.0
        self.rotation.record(False)
        self.assertAlmostEqual(MIN_RETRY_AFTER_S, self.rotation.until_removed_s)

    def test_a_successful_check_resets_the_count(self) -> None:
        for ready in (False, True):
            self.rotation.record(ready)
        self.assertAlmostEqual(UNHEALTHY_THRESHOLD + REMOVAL_DELAY_S, self.rotation.until_removed_s)

    def test_before_the_first_check_the_estimate_is_bounded(self) -> None:
        self.assertLessEqual(self.rotation.until_removed_s, UNHEALTHY_THRESHOLD + REMOVAL_DELAY_S)


class QuorumMonitorTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.is_reachable = True
        self.quorum_monitor = QuorumMonitor(lambda: self.is_reachable)
        self.quorum_monitor.check()

    def lose(self, lost: bool = True) -> None:
        self.is_reachable = not lost
        self.quorum_monitor.check()

    async def test_it_waits_while_the_majority_is_reachable(self) -> None:
        self.assertEqual("kept", await self.quorum_monitor.wait(asyncio.sleep(0.2, "kept"), 0.01))

    async def test_a_lost_majority_ends_the_wait(self) -> None:
        asyncio.get_running_loop().call_later(0.1, self.lose)
        began_at = time.monotonic()
        with self.assertRaises(QuorumLost):
            await self.quorum_monitor.wait(asyncio.sleep(5.0), 0.1)
        self.assertLess(time.monotonic() - began_at, 0.2 + SLACK_S)
        self.assertEqual({}, self.quorum_monitor.wait_limits)

    async def test_it_waits_on_if_the_majority_returns(self) -> None:
        self.lose()
        asyncio.get_running_loop().call_later(0.05, self.lose, False)
        self.assertEqual("kept", await self.quorum_monitor.wait(asyncio.sleep(0.4, "kept"), 0.2))

    async def test_a_wait_that_is_ending_does_not_break_the_checks(self) -> None:
        """Guards against quorum checks that stop for good.

        This happens when a check fails on rescheduling the timeout of a wait that is ending.
        """
        checks: list[bool] = []

        async def asking() -> None:
            try:
                await asyncio.sleep(20.0)
            finally:
                self.is_reachable = True
                checks.append(self.quorum_monitor.check())

        self.is_reachable = False
        self.quorum_monitor.check()
        with self.assertRaises(QuorumLost):
            await self.quorum_monitor.wait(asking(), 0.01)
        self.assertEqual([True], checks)

    async def test_an_error_of_the_request_is_passed_on(self) -> None:
        async def fails() -> None:
            raise TimeoutError("its own")

        with self.assertRaisesRegex(TimeoutError, "its own"):
            await self.quorum_monitor.wait(fails(), 1.0)


class PartitionTest(unittest.IsolatedAsyncioTestCase):
    """An entry that is partitioned from the ledger while it serves a turn."""

    async def asyncSetUp(self) -> None:
        self.entry = EntryUnderTest(FakeTarget(Behaviour.EVENTS), timeout_s=ROUTE_S)
        self.addAsyncCleanup(self.entry.stop)
        await self.entry.start()

    def partition(self) -> None:
        self.entry.ingress.follower.quorum_at = float("-inf")
        self.entry.ingress.quorum_monitor.check()

    async def test_a_turn_that_cannot_be_stored_is_aborted_early(self) -> None:
        self.entry.ledger.may_end.clear()
        began_at = time.monotonic()
        call = asyncio.create_task(self.entry.call(TURNS, "r1"))
        self.assertTrue(await until(lambda: self.entry.ledger.ended, 1.0))
        self.partition()
        with self.assertRaises(ConnectionBroken):
            await call
        self.assertLess(time.monotonic() - began_at, STORE_WITHOUT_QUORUM_S + SLACK_S)
        self.assertTrue(self.entry.ledger.settled)

    async def test_a_turn_that_waits_to_begin_is_refused_with_retry_after(self) -> None:
        self.entry.ledger.may_begin.clear()
        self.entry.ingress.rotation.record(False)
        began_at = time.monotonic()
        connection = await self.entry.send(TURNS)
        self.addCleanup(connection.close)
        self.assertTrue(await until(lambda: self.entry.ledger.begun, 1.0))
        self.partition()
        head = await connection.read_head(lambda _: True)
        self.assertLess(time.monotonic() - began_at, BEGIN_WITHOUT_QUORUM_S + SLACK_S)
        self.assertEqual(503, head.status)
        self.assertLessEqual(float(head.header("Retry-After") or 0.0), 1.0 + REMOVAL_DELAY_S)

    async def test_a_reachable_ledger_without_a_decision_gives_a_longer_retry_after(
        self,
    ) -> None:
        self.entry.ledger.undecided = True
        connection = await self.entry.send(TURNS)
        self.addCleanup(connection.close)
        head = await connection.read_head(lambda _: True)
        retry_after_s = float(head.header("Retry-After") or 0.0)
        self.assertEqual((503, UNDECIDED_RETRY_S), (head.status, retry_after_s))

    async def test_a_slow_reachable_ledger_is_waited_for(self) -> None:
        self.entry.ledger.may_end.clear()
        call = asyncio.create_task(self.entry.call(TURNS, "r1"))
        self.assertTrue(await until(lambda: self.entry.ledger.ended, 1.0))
        await asyncio.sleep(2 * STORE_WITHOUT_QUORUM_S)
        self.entry.ledger.may_end.set()
        status, _ = await call
        self.assertEqual(200, status)


if __name__ == "__main__":
    unittest.main()
