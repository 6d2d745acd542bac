"""The duty's lease: acquisition with lost answers, lapse, and the wait for an earlier holder."""

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

PLENTY = 1e6


class Acquisition(OrdersTestCase):
    async def test_there_is_one_holder_and_numbers_grow(self):
        first = await self.acquire("first")
        settings = self.settings("second")
        refused = await acquire(self.client, settings, entry_ref("second"))
        self.assertEqual(ErrorCode.CONFLICT, refused.unwrap_err().code)
        self.assertEqual(first.own, (await read_holder(self.client, ZONE)).unwrap())
        await first.resign()
        self.assertFalse(first.may_send_orders())
        second = await self.acquire("second")
        self.assertGreater(second.fencing, first.fencing)

    async def test_a_lost_answer_leaves_one_holder_who_knows_it(self):
        for lost in range(1, 5):
            with self.subTest(lost):
                await self.set_faults(lost_answers=lost)
                settings = self.settings("first")
                acquired = await acquire(self.client, settings, entry_ref("first"))
                term = acquired.unwrap()
                item = (await self.client.get(duty_key(ZONE))).unwrap()
                self.assertEqual((term.fencing, term.lease.id), (item.mod_revision, item.lease))
                await term.resign()

    async def test_a_write_of_which_nothing_is_known_leaves_no_holder(self):
        store = StoreClient(store_settings(self.standin.url, timeout_s=0.05))
        self.addAsyncCleanup(store.close)
        (await store.ensure_marker_lease()).unwrap()
        run = self.standin.run

        def run_and_cut_off(path, body):
            reply = run(path, body)
            if path.endswith("txn"):
                # The write takes effect, its answer is lost, and the store is away for a while.
                self.standin.plan.answers_to_lose = 1_000
            return reply

        self.standin.run = run_and_cut_off
        settings = self.settings("first", store=store_settings("", lease_ttl_s=600.0))
        failed = await acquire(store, settings, entry_ref("first"))
        self.standin.run = run
        self.assertTrue(failed.is_err())
        await self.set_faults()
        self.assertIsNone((await self.client.get(duty_key(ZONE))).unwrap())


class Lapse(OrdersTestCase):
    async def test_a_holder_stops_a_margin_before_the_end(self):
        clock = ManualClock()
        term = await self.term_by(clock)
        margin_s = term.settings.target_orders.margin_s
        self.assertTrue(term.may_send_orders())
        clock.now = term.lease.valid_until - margin_s
        self.assertFalse(term.may_send_orders())

    async def test_the_store_says_that_it_is_lost_though_the_own_clock_stood_still(self):
        term = await self.term_by(ManualClock())
        await self.set_faults(lapse_leases=[term.lease.id])
        self.assertTrue(term.may_send_orders())
        self.assertFalse(await term.renew())
        self.assertFalse(term.may_send_orders())

    async def test_without_an_answer_of_the_store_nothing_may_go_to_unprotected_engines(self):
        term = await self.term_by(ManualClock())
        await self.standin.stop()
        self.assertFalse(await term.renew())
        self.assertTrue(term.may_send_orders())

    async def term_by(self, clock):
        """Return a term by the given clock."""
        store = StoreClient(store_settings(self.standin.url, timeout_s=0.2), clock)
        self.addAsyncCleanup(store.close)
        settings = self.settings("first", store=store_settings("", lease_ttl_s=60.0))
        return (await acquire(store, settings, entry_ref("first"), clock)).unwrap()


class WaitOut(OrdersTestCase):
    """Everything by one clock that moves only when somebody sleeps."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.clock = ManualClock()

    async def start_standin(self, limits=None):
        standin = StoreStandin(StoreLimits(PLENTY, PLENTY))
        await standin.start()
        self.addAsyncCleanup(standin.stop)
        return standin

    async def sleep(self, seconds):
        """Let the clock move on."""
        self.clock.now += seconds
        await asyncio.sleep(0)

    async def new_term(self, name, ttl_s) -> Term:
        """Return a term of a holder with a lease of its own length."""
        store = StoreClient(store_settings(self.standin.url), self.clock)
        self.addAsyncCleanup(store.close)
        settings = self.settings(name, store=store_settings("", lease_ttl_s=ttl_s))
        own = entry_ref(name)
        return (await acquire(store, settings, own, self.clock, self.sleep)).unwrap()

    async def lapse(self, term):
        """End a lease."""
        await self.set_faults(lapse_leases=[term.lease.id])

    async def test_the_first_holder_ever_need_not_wait(self):
        term = await self.new_term("first", 60.0)
        await term.wait_out()
        self.assertTrue(term.waited_out)
        self.assertEqual(term.acquired_at, self.clock.now)

    async def test_a_successor_waits_for_as_long_as_its_predecessor_said(self):
        first = await self.new_term("first", 60.0)
        await first.wait_out()
        await self.lapse(first)
        second = await self.new_term("second", 100.0)
        await second.wait_out()
        self.assertTrue(second.waited_out)
        self.assertEqual(second.acquired_at + first.wait_out_s, self.clock.now)
        self.assertLess(60.0, first.wait_out_s)

    async def test_a_holder_that_gives_up_while_it_waits_changes_nothing(self):
        first = await self.new_term("first", 60.0)
        await first.wait_out()
        await self.lapse(first)
        second = await self.new_term("second", 2.0)
        await second.wait_out()
        self.assertFalse(second.waited_out)
        await second.resign()
        third = await self.new_term("third", 100.0)
        await third.wait_out()
        self.assertEqual(third.acquired_at + first.wait_out_s, self.clock.now)

    async def test_a_holder_that_was_replaced_while_it_waited_gives_up(self):
        first = await self.new_term("first", 60.0)
        await self.lapse(first)
        replaced = []

        async def renew_just_before_it_is_replaced():
            second = await self.new_term("second", 60.0)
            await second.wait_out()
            replaced.append(second.waited_out)
            return True

        first.renew = renew_just_before_it_is_replaced
        await first.wait_out()
        self.assertEqual(([True], False, True), (replaced, first.waited_out, first.lost))

    async def test_a_holder_that_reads_of_its_successor_gives_up(self):
        first = await self.new_term("first", 60.0)
        await self.lapse(first)
        await (await self.new_term("second", 60.0)).wait_out()

        async def believe():
            return True

        first.renew = believe
        await first.wait_out()
        self.assertEqual((False, True), (first.waited_out, first.lost))

    async def test_a_write_that_comes_between_ends_the_term(self):
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
