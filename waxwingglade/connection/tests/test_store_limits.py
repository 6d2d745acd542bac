"""Tests of outages of the store, of the switch to another address and of rate limits."""

import asyncio
import unittest
from unittest import mock

from waxwingglade.base import ErrorCode, Failure, Outcome, Verdict
from waxwingglade.connection import Purpose
from waxwingglade.connection.store_backoff import backoff_s
from waxwingglade.connection.store_budget import CallBudget
from waxwingglade.connection.tests.store_builders import ManualClock, StoreTestCase, ok
from waxwingglade.standins import Outage, StoreFaults, StoreLimits


def expect_unavailable(outcome: Outcome) -> Failure:
    """Return the failure of a call, which must say that the store is unavailable."""
    failure = outcome.unwrap_err()
    assert failure.code is ErrorCode.STORE_UNAVAILABLE, failure
    return failure


class OutageTest(StoreTestCase):
    """Calls while the store is unreachable or does not answer."""

    async def test_a_call_on_a_refused_connection_did_not_run(self) -> None:
        await self.set_faults(outage=Outage.REFUSE)
        failure = expect_unavailable(await self.client.put_if("a", b"1", 0))
        self.assertIs(failure.verdict, Verdict.NOT_RUN)
        await self.set_faults()
        await ok(self.client.put_if("a", b"1", 0))

    async def test_a_call_to_an_unresponsive_store_may_have_run(self) -> None:
        client = self.new_client(self.standin.url, timeout_s=0.05)
        await self.set_faults(outage=Outage.HANG)
        failure = expect_unavailable(await client.get("a"))
        self.assertIs(failure.verdict, Verdict.MAY_HAVE_RUN)
        await self.set_faults()
        await ok(self.client.get("a"))

    async def test_a_call_without_a_configured_store_does_not_run(self) -> None:
        failure = expect_unavailable(await self.new_client().get("a"))
        self.assertIs(failure.verdict, Verdict.NOT_RUN)

    async def test_closing_ends_calls_in_flight(self) -> None:
        await self.set_faults(outage=Outage.HANG)
        calls = [asyncio.create_task(self.client.get("a")) for _ in range(3)]
        await asyncio.sleep(0)
        await self.client.close()
        for call in calls:
            expect_unavailable(await call)
        expect_unavailable(await self.client.get("a"))

    async def test_a_call_tries_the_next_address_after_a_refused_connection(self) -> None:
        other = await self.start_standin()
        client = self.new_client(self.standin.url, other.url)
        await ok(client.put_if("a", b"1", 0))
        await self.set_faults(outage=Outage.REFUSE)
        self.assertIsNone(await ok(client.get("a")), "the other address has no such key")
        await other.set_faults(StoreFaults(outage=Outage.REFUSE))
        await self.set_faults()
        self.assertEqual((await ok(client.get("a"))).value, b"1")

    async def test_calls_move_to_the_next_address_after_a_timeout(self) -> None:
        other = await self.start_standin()
        client = self.new_client(self.standin.url, other.url, timeout_s=0.05)
        await self.set_faults(outage=Outage.HANG)
        expect_unavailable(await client.get("a"))
        await ok(client.get("a"))


class RateTest(StoreTestCase):
    """Calls that exceed the rate limit of the store or that of the process."""

    async def test_calls_above_the_rate_of_the_store_did_not_run(self) -> None:
        standin = await self.start_standin(StoreLimits(writes_per_second=1e-9))
        client = self.new_client(standin.url)
        await ok(client.grant_lease(10))
        failure = expect_unavailable(await client.grant_lease(10))
        self.assertIs(failure.verdict, Verdict.NOT_RUN)
        self.assertIsNotNone(failure.retry_after_s)
        self.assertEqual(len(standin.state.leases), 1)

    async def test_calls_above_the_rate_of_the_process_are_not_sent(self) -> None:
        client = self.new_client(self.standin.url, calls_per_second=0.01)
        await ok(client.get("a"))
        failure = expect_unavailable(await client.get("a"))
        self.assertIs(failure.verdict, Verdict.NOT_RUN)
        self.assertGreater(failure.retry_after_s, 90)
        self.assertEqual(client.calls_by_purpose[Purpose.LOOKUP], 1)


class CallBudgetTest(unittest.IsolatedAsyncioTestCase):
    """Rate limit on the calls of a process, without a store."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.budget = CallBudget(10.0, self.clock)

    async def take_all(self) -> int:
        """Take every available token and return their number."""
        taken = 0
        while await self.budget.take(Purpose.LOOKUP, 0.0) == 0.0:
            taken += 1
        return taken

    async def test_unused_calls_of_one_second_remain_available(self) -> None:
        self.assertEqual(await self.take_all(), 10)
        self.clock.now += 0.5
        self.assertEqual(await self.take_all(), 5)

    async def test_an_open_watch_counts_as_one_call_per_second(self) -> None:
        for _ in range(5):
            self.assertTrue(self.budget.open_watch())
        self.assertFalse(self.budget.open_watch(), "half of the rate is reserved for calls")
        await self.take_all()
        self.clock.now += 1.0
        self.assertEqual(await self.take_all(), 5)
        self.budget.close_watch()
        self.clock.now += 1.0
        self.assertEqual(await self.take_all(), 6)

    async def test_calls_for_leases_do_not_wait(self) -> None:
        await self.take_all()
        with mock.patch("asyncio.sleep") as sleep:
            for _ in range(4):
                self.assertEqual(await self.budget.take(Purpose.LEASE, 1.0), 0.0)
            sleep.assert_not_called()
        self.clock.now += 0.4
        self.assertEqual(await self.take_all(), 0, "later calls wait for them")

    def test_pauses_grow_up_to_a_limit(self) -> None:
        for repeat, longest_s in ((0, 0.05), (3, 0.4), (20, 5.0), (2_000, 5.0)):
            pauses = [backoff_s(repeat, 5.0) for _ in range(20)]
            self.assertTrue(all(longest_s / 2 <= pause <= longest_s for pause in pauses), pauses)
            self.assertGreater(len(set(pauses)), 1)
