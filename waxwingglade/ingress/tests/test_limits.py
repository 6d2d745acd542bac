"""An open connection follows the limits in force after a change of the configuration."""

import asyncio
import time
import unittest

import msgspec

from waxwingglade.base import ConfigVersion
from waxwingglade.follow.model import ClientLimits, View
from waxwingglade.ingress.tests.entry_builders import (
    HOST,
    PLAIN,
    EntryUnderTest,
    FakeTarget,
    until,
)
from waxwingglade.transport import HttpRequest
from waxwingglade.transport.http1 import Http1Connection, open_connection

SMALL, LARGE = 1_000, 100_000
"""Sizes of a request body in bytes."""

SHORT_S, LONG_S = 0.4, 10.0
"""Seconds for which a connection may be idle."""

WAIT_LIMIT_S = 5.0


class LimitsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fake = FakeTarget()
        self.entry = EntryUnderTest(self.fake, timeout_s=WAIT_LIMIT_S)
        self.addAsyncCleanup(self.entry.stop)
        await self.entry.start()
        # With a usable source the entry does not follow the store.
        self.entry.ingress.follower.source_current = True
        checking = asyncio.create_task(self.entry.ingress._check_forever())
        self.addCleanup(checking.cancel)

    def put(self, **limits: float) -> None:
        """Put a new version of the configuration with other limits into force."""
        cached_view = self.entry.ingress.cached_view
        before = cached_view.view.configuration
        assert before is not None
        configuration = msgspec.structs.replace(
            before, version=ConfigVersion(before.version + 1), limits=ClientLimits(**limits)
        )
        cached_view.merge(View(configuration=configuration), time.monotonic())

    async def connect(self) -> Http1Connection:
        """Open a connection."""
        connection = await open_connection(self.entry.address, WAIT_LIMIT_S)
        self.addCleanup(connection.close)
        return connection

    async def ask(self, connection: Http1Connection, body: int) -> int:
        """Send a request with a body of a given size; return the status of its answer."""
        headers = [("Host", HOST), ("X-Waxwingglade-Request-Id", f"r{body}")]
        connection.send(HttpRequest("POST", PLAIN, headers, b"x" * body))
        head = await connection.read_head(lambda _: True)
        await connection.read_body(1_000)
        return head.status

    async def test_an_open_connection_accepts_a_body_within_the_new_limit(self) -> None:
        self.put(max_body_bytes=SMALL)
        connection = await self.connect()
        self.assertEqual(await self.ask(connection, 10), 200)
        self.put(max_body_bytes=LARGE)
        self.assertEqual(await self.ask(connection, 2 * SMALL), 200)

    async def test_an_open_connection_refuses_a_body_over_the_new_limit(self) -> None:
        self.put(max_body_bytes=LARGE)
        connection = await self.connect()
        self.assertEqual(await self.ask(connection, 2 * SMALL), 200)
        self.put(max_body_bytes=SMALL)
        self.assertEqual(await self.ask(connection, 2 * SMALL), 400)

    async def test_a_caller_that_stops_within_a_body_is_closed(self) -> None:
        """Guards against connections that are held for as long as a caller likes."""
        self.put(idle_timeout_s=SHORT_S)
        caller = await self.entry.send_half(PLAIN)
        self.addCleanup(caller.close)
        open_exchanges = self.entry.ingress.open_exchanges
        self.assertEqual(len(open_exchanges), 1)
        closed = await until(lambda: not open_exchanges, SHORT_S + 1.0)
        self.assertTrue(closed, "it is still open")

    async def test_a_caller_that_is_slow_with_its_body_is_served(self) -> None:
        self.put(idle_timeout_s=SHORT_S)
        caller = await self.entry.send_half(PLAIN)
        self.addCleanup(caller.close)
        for piece in (b"d", b"y"):
            await asyncio.sleep(SHORT_S / 2)
            caller.sendall(piece)
        self.assertTrue(await until(lambda: self.fake.arrived, WAIT_LIMIT_S))

    async def test_an_open_connection_may_be_idle_within_the_new_limit(self) -> None:
        self.put(idle_timeout_s=SHORT_S)
        reused, idle = await self.connect(), await self.connect()
        self.assertEqual(await self.ask(reused, 10), 200)
        self.put(idle_timeout_s=LONG_S)
        await asyncio.sleep(2 * SHORT_S)
        for connection in (reused, idle):
            self.assertEqual(await self.ask(connection, 10), 200)

    async def test_a_connection_idle_for_longer_than_the_new_limit_is_closed(self) -> None:
        self.put(idle_timeout_s=LONG_S)
        reused, idle = await self.connect(), await self.connect()
        self.assertEqual(await self.ask(reused, 10), 200)
        self.put(idle_timeout_s=SHORT_S)
        self.assertTrue(await until(lambda: not self.entry.ingress.open_exchanges, WAIT_LIMIT_S))
        self.assertFalse(reused.usable)
        self.assertFalse(idle.usable)

    async def test_a_request_that_takes_longer_than_the_idle_limit_is_served(
        self,
    ) -> None:
        self.put(idle_timeout_s=SHORT_S)
        self.fake.delay_s = 3 * SHORT_S
        self.assertEqual(await self.ask(await self.connect(), 10), 200)


if __name__ == "__main__":
    unittest.main()
