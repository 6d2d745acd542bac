"""The duty's lease: acquisition with lost answers, expiry, and the wait for an earlier holder."""

import asyncio

from waxwingglade.base import ErrorCode
from waxwingglade.connection import StoreClient
from waxwingglade.connection.tests.store_builders import ManualClock, store_settings, write_directly
from waxwingglade.process.duties.lease import Term, acquire, duty_key, orders_key, read_holder
from waxwingglade.process.duties.tests.builders import (
    ZONE,
    OrdersTestCase,
    entry_ref,
)
from waxwingglade.standins import StoreLimits, StoreStandin

HIGH_LIMIT = 1e6


class Acquisition(OrdersTestCase):
    async def test_there_is_one_holder_and_fencing_numbers_increase(self):
        first = await self.acquire("first")
        settings = self.settings("second")
        refused = await acquire(self.client, settings, entry_ref("second"))
        self.assertEqual(ErrorCode.CONFLICT, refused.unwrap_err().code)
        self.assertEqual(first.own, (await read_holder(self.client, ZONE)).unwrap())
        await first.resign()
        self.assertFalse(first.may_send_orders())
        second = await self.acquire("second")
        self.assertGreater(second.fencing, first.fencing)

    async def test_after_a_lost_answer_the_holder_knows_that_it_holds_the_duty(self):
        for lost in range(1, 5):
            with self.subTest(lost):
                await self.set_faults(lost_answers=lost)
                settings = self.settings("first")
                acquired = await acquire(self.client, settings, entry_ref("first"))
                term = acquired.unwrap()
                item = (await self.client.get(duty_key(ZONE))).unwrap()
                self.assertEqual((term.fencing, term.lease.id), (item.mod_revision, item.lease))
                await term.resign()

    async def test_a_write_with_unknown_outcome_leaves_no_holder(self):
        store = StoreClient(store_settings(self.standin.url, timeout_s=0.05))
        self.addAsyncCleanup(store.close)
        (await store.ensure_marker_lease()).unwrap()
        run = self.standin.run

        def run_and_cut_off(path, body):
            reply = run(path, body)
            if path.endswith("txn"):
                # The write takes effect, but its answer and those of the next calls are lost.
                self.standin.active_faults.answers_to_lose = 1_000
            return reply

        self.standin.run = run_and_cut_off
        settings = self.settings("first", store=store_settings("", lease_ttl_s=600.0))
        failed = await acquire(store, settings, entry_ref("first"))
        self.standin.run = run
        self.assertTrue(failed.is_err())
        await self.set_faults()
        self.assertIsNone((await self.client.get(duty_key(ZONE))).unwrap())


class Expiry(OrdersTestCase):
    async def test_a_holder_stops_a_margin_before_its_lease_expires(self):
        clock = ManualClock()
        term = await self.term_with(clock)
        margin_s = term.settings.target_orders.margin_s
        self.assertTrue(term.may_send_orders())
        clock.now = term.lease.valid_until - margin_s
        self.assertFalse(term.may_send_orders())

    async def test_the_store_reports_the_loss_though_the_local_clock_stopped(self):
        term = await self.term_with(ManualClock())
        await self.set_faults(lapse_leases=[term.lease.id])
        self.assertTrue(term.may_send_orders())
        self.assertFalse(await term.renew())
        self.assertFalse(term.may_send_orders())

    async def test_without_an_answer_of_the_store_the_lease_is_not_renewed(self):
        term = await self.term_with(ManualClock())
        await self.standin.stop()
        self.assertFalse(await term.renew())
        self.assertTrue(term.may_send_orders())

    async def term_with(self, clock):
        """Return a term that uses the given clock."""
        store = StoreClient(store_settings(self.standin.url, timeout_s=0.2), clock)
        self.addAsyncCleanup(store.close)
        settings = self.settings("first", store=store_settings("", lease_ttl_s=60.0))
        return (await acquire(store, settings, entry_ref("first"), clock)).unwrap()


class WaitOut(OrdersTestCase):
    """Terms that share one clock, which advances only when a term sleeps."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.clock = ManualClock()

    async def start_standin(self, limits=None):
        standin = StoreStandin(StoreLimits(HIGH_LIMIT, HIGH_LIMIT))
        await standin.start()
        self.addAsyncCleanup(standin.stop)
        return standin

    async def sleep(self, seconds):
        """Advance the clock."""
        self.clock.now += seconds
        await asyncio.sleep(0)

    async def new_term(self, name, ttl_s) -> Term:
        """Return a term of a holder whose lease has the given time to live."""
        store = StoreClient(store_settings(self.standin.url), self.clock)
        self.addAsyncCleanup(store.close)
        settings = self.settings(name, store=store_settings("", lease_ttl_s=ttl_s))
        own = entry_ref(name)
        return (await acquire(store, settings, own, self.clock, self.sleep)).unwrap()

    async def expire(self, term):
        """Let the lease of a term expire."""
        await self.set_faults(lapse_leases=[term.lease.id])

    async def test_the_first_holder_does_not_wait(self):
        term = await self.new_term("first", 60.0)
        await term.wait_out()
        self.assertTrue(term.waited_out)
        self.assertEqual(term.acquired_at, self.clock.now)

    async def test_a_successor_waits_for_the_time_that_its_predecessor_stored(self):
        first = await self.new_term("first", 60.0)
        await first.wait_out()
        await self.expire(first)
        second = await self.new_term("second", 100.0)
        await second.wait_out()
        self.assertTrue(second.waited_out)
        self.assertEqual(second.acquired_at + first.wait_out_s, self.clock.now)
        self.assertLess(60.0, first.wait_out_s)

    async def test_a_holder_that_gives_up_while_it_waits_changes_nothing(self):
        first = await self.new_term("first", 60.0)
        await first.wait_out()
        await self.expire(first)
        second = await self.new_term("second", 2.0)
        await second.wait_out()
        self.assertFalse(second.waited_out)
        await second.resign()
        third = await self.new_term("third", 100.0)
        await third.wait_out()
        self.assertEqual(third.acquired_at + first.wait_out_s, self.clock.now)

    async def test_a_holder_that_was_replaced_while_it_waited_gives_up(self):
        first = await self.new_term("first", 60.0)
        await self.expire(first)
        replaced = []

        async def renew_just_before_it_is_replaced():
            second = await self.new_term("second", 60.0)
            await second.wait_out()
            replaced.append(second.waited_out)
            return True

        first.renew = renew_just_before_it_is_replaced
        await first.wait_out()
        self.assertEqual(([True], False, True), (replaced, first.waited_out, first.lost))

    async def test_a_holder_that_finds_its_successor_in_the_store_gives_up(self):
        first = await self.new_term("first", 60.0)
        await self.expire(first)
        await (await self.new_term("second", 60.0)).wait_out()

        async def claim_renewed():
            return True

        first.renew = claim_renewed
        await first.wait_out()
        self.assertEqual((False, True), (first.waited_out, first.lost))

    async def test_a_concurrent_write_ends_the_term(self):
        first = await self.new_term("first", 60.0)
        get = first.store.get

        async def get_and_change(key):
            found = await get(key)
            write_directly(self.standin, key, b"{}")
            return found

        first.store.get = get_and_change
        await first.wait_out()
        self.assertEqual((True, False), (first.lost, first.waited_out))
        self.assertIsNotNone((await self.client.get(orders_key(ZONE))).unwrap())
