"""Tests of watches across outages, dropped connections and compaction."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from unittest import mock

from waxwingglade.connection import DeleteEvent, Purpose, ResyncEvent, WatchEvent, http, store_watch
from waxwingglade.connection.store_budget import MAX_WATCHES
from waxwingglade.connection.tests.store_builders import StoreTestCase, ok, write_directly
from waxwingglade.connection.tests.target_builders import (
    OK_STREAM,
    DrippingServer,
    longest_delay,
)
from waxwingglade.standins import Outage
from waxwingglade.standins.store_state import StoreState

LINE_PIECE_BYTES = 16_384
LINE_PIECES = 2_000
MAX_DELAY_S = 0.5
WAIT_LIMIT_S = 20.0
"""Seconds after which a test fails instead of waiting forever."""


class WatchTest(StoreTestCase):
    """Every change is reported, or a listing replaces the changes that were missed."""

    async def open_watch(self, key: str = "a") -> AsyncIterator[WatchEvent]:
        """Return a watch that has reported a first change, so its connection is open."""
        events = self.new_watch(key)
        self.assertIsInstance(await anext(events), ResyncEvent)
        write_directly(self.standin, key, b"0")
        self.assertEqual((await anext(events)).item.value, b"0")
        return events

    async def test_changes_are_reported_in_order(self) -> None:
        events = self.new_watch()
        self.assertEqual((await anext(events)).listing.items, [])
        first = await ok(self.client.put_if("a", b"1", 0))
        await ok(self.client.delete_if("a", first))
        self.assertEqual((await anext(events)).item.value, b"1")
        self.assertEqual(await anext(events), DeleteEvent("a", self.standin.state.revision))
        self.assertEqual(self.client.calls_by_purpose[Purpose.WATCH], 2)

    async def test_changes_since_a_listing_are_reported(self) -> None:
        listing = await ok(self.client.list(""))
        write_directly(self.standin, "a", b"1")
        event = await anext(self.new_watch(from_revision=listing.revision + 1))
        self.assertEqual(event.item.value, b"1")

    async def test_changes_during_an_outage_are_reported_once(self) -> None:
        events = await self.open_watch()
        await self.set_faults(outage=Outage.REFUSE)
        write_directly(self.standin, "a", b"2")
        write_directly(self.standin, "a", b"3")
        await self.set_faults()
        values = [(await anext(events)).item.value for _ in range(2)]
        self.assertEqual(values, [b"2", b"3"])

    async def test_a_dropped_connection_is_opened_again(self) -> None:
        events = await self.open_watch()
        await self.set_faults(drop_watches=True)
        write_directly(self.standin, "a", b"1")
        self.assertEqual((await anext(events)).item.value, b"1")

    async def test_an_unresponsive_connection_is_replaced(self) -> None:
        with mock.patch.object(store_watch, "IDLE_LIMIT_S", 0.05):
            events = await self.open_watch()
            # The server does not notify this watch, so only a new connection finds the change.
            with mock.patch.object(self.standin, "wake_watches"):
                write_directly(self.standin, "a", b"1")
            async with asyncio.timeout(WAIT_LIMIT_S):
                self.assertEqual((await anext(events)).item.value, b"1")

    async def test_a_line_without_end_does_not_hold_up_other_calls(self) -> None:
        stream = store_watch.WatchStream(self.client.transport, b"a", 1, Purpose.WATCH)
        async with (
            DrippingServer(OK_STREAM, b"", 60.0) as server,
            self.opened(stream, server.url) as exchange,
            longest_delay() as delay_s,
        ):
            for _ in range(LINE_PIECES):
                exchange.pieces.put_nowait(b"x" * LINE_PIECE_BYTES)
            exchange.pieces.put_nowait(b"\n")
            async with asyncio.timeout(WAIT_LIMIT_S):
                line = await stream.next_line(exchange)
        self.assertEqual(len(line), LINE_PIECES * LINE_PIECE_BYTES)
        self.assertLess(delay_s(), MAX_DELAY_S)

    async def test_responses_without_changes_and_without_end_end_a_connection(self) -> None:
        async with DrippingServer(OK_STREAM, b'{"result":{}}\n' * 10, 0.0) as server:
            client = self.new_client(server.url)
            waiting = asyncio.create_task(anext(client.watch("a", 1), None))
            async with asyncio.timeout(WAIT_LIMIT_S):
                while client.calls_by_purpose[Purpose.WATCH] < 2:
                    await asyncio.sleep(0.01)
            await client.close()
            await waiting

    @contextlib.asynccontextmanager
    async def opened(
        self, stream: store_watch.WatchStream, url: str
    ) -> AsyncIterator[http.Exchange]:
        """Begin the exchange of a watch, without a request to the stand-in."""
        exchange = self.client.transport.begin(url, b"{}", WAIT_LIMIT_S, False)
        assert exchange is not None
        stream.exchange = exchange
        try:
            yield exchange
        finally:
            stream.close()

    async def test_a_listing_replaces_compacted_changes(self) -> None:
        events = await self.open_watch()
        await self.set_faults(outage=Outage.REFUSE)
        write_directly(self.standin, "ab", b"2")
        await self.set_faults(outage=Outage.REFUSE, compact=True)
        await self.set_faults()
        async with asyncio.timeout(WAIT_LIMIT_S):
            event = await anext(events)
        self.assertIsInstance(event, ResyncEvent)
        self.assertEqual([item.value for item in event.listing.items], [b"0", b"2"])
        write_directly(self.standin, "ac", b"3")
        self.assertEqual((await anext(events)).item.value, b"3")

    async def test_a_store_that_lost_its_state_is_listed_again(self) -> None:
        events = await self.open_watch()
        self.standin.state = StoreState()
        await self.set_faults(drop_watches=True)
        async with asyncio.timeout(WAIT_LIMIT_S):
            self.assertEqual(await anext(events), ResyncEvent(await ok(self.client.list(""))))

    async def test_open_watches_do_not_block_calls(self) -> None:
        async with asyncio.timeout(WAIT_LIMIT_S):
            for number in range(MAX_WATCHES):
                await self.open_watch(f"watch-{number}/")
                self.assertIsNone(await ok(self.client.get("a")))

    async def test_closing_ends_the_iterator(self) -> None:
        events = await self.open_watch()
        waiting = asyncio.create_task(anext(events, None))
        await asyncio.sleep(0)
        await self.client.close()
        self.assertIsNone(await waiting)

    async def test_listings_replace_a_watch_without_a_free_slot(self) -> None:
        self.client = self.new_client(self.standin.url, calls_per_second=1.9)
        self.client.transport.budget.bucket.tokens = 100.0
        events = self.new_watch()
        async with asyncio.timeout(WAIT_LIMIT_S):
            self.assertIsInstance(await anext(events), ResyncEvent)
            self.assertIsInstance(await anext(events), ResyncEvent)
