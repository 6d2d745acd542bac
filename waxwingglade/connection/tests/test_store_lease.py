"""Tests of leases: until when their holder may rely on them."""

from waxwingglade.base import ErrorCode, Verdict
from waxwingglade.connection import Lease, StoreClient
from waxwingglade.connection.tests.store_builders import (
    ManualClock,
    StoreTestCase,
    ok,
    refusal,
    store_settings,
)
from waxwingglade.standins.store_state import StoreState


class LeaseTest(StoreTestCase):
    """Validity of a lease by the clocks of its holder and of the store."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.clock = ManualClock()
        self.client = StoreClient(store_settings(self.standin.url), self.clock)
        self.addAsyncCleanup(self.client.close)
        self.lease = await ok(self.client.grant_lease(10))

    def delay_answers(self, seconds: float) -> None:
        """Advance the holder's clock while the store runs a keepalive."""
        keep_alive = StoreState.keep_alive

        def delayed(lease: int) -> int:
            self.clock.now += seconds
            return keep_alive(self.standin.state, lease)

        self.standin.state.keep_alive = delayed

    async def test_validity_counts_from_the_request(self) -> None:
        self.assertEqual(self.lease.valid_until, self.clock.now + 10)
        sent_at = self.clock.now
        self.delay_answers(4.0)
        extended = await ok(self.client.keep_alive(self.lease))
        self.assertEqual(extended, Lease(self.lease.id, sent_at + 10))

    async def test_a_lease_is_lost_if_the_answer_arrives_after_its_local_end(self) -> None:
        self.clock.now += 5.0
        self.delay_answers(6.0)
        refused = await refusal(self.client.keep_alive(self.lease))
        self.assertEqual(refused, (Verdict.RAN, ErrorCode.FENCED))

    async def test_a_lease_past_its_local_end_is_not_kept_alive(self) -> None:
        self.clock.now = self.lease.valid_until
        refused = await refusal(self.client.keep_alive(self.lease))
        self.assertEqual(refused, (Verdict.NOT_RUN, ErrorCode.FENCED))
        self.assertNotEqual((await ok(self.client.grant_lease(10))).id, self.lease.id)

    async def test_an_expired_lease_stays_lost(self) -> None:
        await self.set_faults(lapse_leases=[self.lease.id])
        refused = await refusal(self.client.keep_alive(self.lease))
        self.assertEqual(refused, (Verdict.RAN, ErrorCode.FENCED))
        self.standin.state.grant(10, self.lease.id)
        again = (await self.client.keep_alive(self.lease)).unwrap_err()
        self.assertIs(again.code, ErrorCode.FENCED)

    async def test_a_write_under_an_expired_lease_does_not_run(self) -> None:
        await self.set_faults(lapse_leases=[self.lease.id])
        refused = await refusal(self.client.put_if("a", b"1", 0, self.lease.id))
        self.assertEqual(refused, (Verdict.NOT_RUN, ErrorCode.FENCED))

    async def test_keys_are_deleted_with_their_lease(self) -> None:
        await ok(self.client.put_if("a", b"1", 0, self.lease.id))
        await ok(self.client.revoke(self.lease))
        self.assertIsNone(await ok(self.client.get("a")))
        await ok(self.client.revoke(self.lease))
