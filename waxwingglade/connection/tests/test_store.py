"""Tests of the store client without faults."""

from waxwingglade.base import ErrorCode, Verdict
from waxwingglade.connection import Purpose
from waxwingglade.connection.tests.store_builders import StoreTestCase, ok, refusal


class StoreClientTest(StoreTestCase):
    """Reads, writes and deletions."""

    async def test_write_and_read(self) -> None:
        first = await ok(self.client.put_if("a", b"1", 0))
        second = await ok(self.client.put_if("a", b"2", first))
        item = await ok(self.client.get("a"))
        self.assertEqual((item.key, item.value, item.mod_revision), ("a", b"2", second))
        self.assertEqual((item.create_revision, item.version), (first, 2))
        listing = await ok(self.client.list(""))
        self.assertEqual(listing.items, [item])
        self.assertEqual(listing.revision, second)

    async def test_a_stale_write_does_not_run(self) -> None:
        await ok(self.client.put_if("a", b"1", 0))
        refused = await refusal(self.client.put_if("a", b"2", 0))
        self.assertEqual(refused, (Verdict.NOT_RUN, ErrorCode.CONFLICT))
        self.assertEqual((await ok(self.client.get("a"))).value, b"1")

    async def test_delete(self) -> None:
        revision = await ok(self.client.put_if("a", b"1", 0))
        stale = await self.client.delete_if("a", revision - 1)
        self.assertIs(stale.unwrap_err().code, ErrorCode.CONFLICT)
        await ok(self.client.delete_if("a", revision))
        self.assertIsNone(await ok(self.client.get("a")))

    async def test_a_value_over_the_limit_does_not_run(self) -> None:
        refused = await refusal(self.client.put_if("a", bytes(1_000_001), 0))
        self.assertEqual(refused, (Verdict.NOT_RUN, ErrorCode.TOO_LARGE))
        await ok(self.client.put_if("a", bytes(1_000_000), 0))

    async def test_calls_are_counted_by_purpose(self) -> None:
        await ok(self.client.get("a", Purpose.CONFIG))
        await ok(self.client.put_if("a", b"1", 0, purpose=Purpose.CHECKPOINT))
        counts = self.client.calls_by_purpose
        self.assertEqual(counts[Purpose.CONFIG], 1)
        self.assertEqual(counts[Purpose.CHECKPOINT], 1)
        self.assertEqual(counts[Purpose.LEASE], 1, "the lease for the markers")
