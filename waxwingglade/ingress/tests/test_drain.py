"""Drain: once an entry accepts no more requests, no connection delivers another one."""

import asyncio
import unittest

import msgspec

from waxwingglade.base.tests.daemon_loop import OnDaemonLoop
from waxwingglade.ingress.tests.entry_builders import (
    HOST,
    PLAIN,
    TURNS,
    Behaviour,
    EntryUnderTest,
    FakeTarget,
    until,
)
from waxwingglade.transport import ConnectionBroken, HttpRequest
from waxwingglade.transport.http1 import Http1Connection, open_connection

WAIT_S = 0.2
"""Seconds for which the entry still accepts requests."""

TIMEOUT_S = 1.5
"""Seconds after which the entry ends."""

WAIT_LIMIT_S = 5.0


class DrainTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.target = FakeTarget(Behaviour.EVENT_AND_END)
        self.entry = EntryUnderTest(self.target, timeout_s=WAIT_LIMIT_S)
        self.addAsyncCleanup(self.entry.stop)
        self.entry.ingress.settings = msgspec.structs.replace(
            self.entry.ingress.settings, drain_wait_s=WAIT_S, drain_timeout_s=TIMEOUT_S
        )
        await self.entry.start()

    async def begin_stream(self) -> Http1Connection:
        """Send a turn, and read the head and the first event of its answer."""
        connection = await self.entry.send(TURNS)
        self.addCleanup(connection.close)
        head = await connection.read_head(lambda _: True)
        self.assertIsNone(head.header("Connection"), "the entry is not draining yet")
        await connection.read_piece()
        return connection

    def drain(self) -> "asyncio.Task[None]":
        """Start to drain the entry."""
        return asyncio.create_task(self.entry.ingress.drain())

    async def ask_again(self, connection: Http1Connection) -> None:
        """Send another request on a connection, and check that it is closed without an answer."""
        headers = [("Host", HOST), ("X-Waxwingglade-Request-Id", "r2")]
        with self.assertRaises((ConnectionBroken, OSError)):
            connection.send(HttpRequest("POST", PLAIN, headers, b"body"))
            async with asyncio.timeout(WAIT_LIMIT_S):
                await connection.read_head(lambda _: True)

    async def test_a_stream_from_before_the_drain_completes_and_is_the_last(self) -> None:
        connection = await self.begin_stream()
        draining = self.drain()
        await asyncio.sleep(1.5 * WAIT_S)
        self.target.proceed.set()
        await connection.read_body(1_000)
        await self.ask_again(connection)
        self.assertEqual(len(self.target.arrived), 1, "a target received the second request")
        async with asyncio.timeout(TIMEOUT_S / 2):
            await draining

    async def test_a_connection_accepted_late_serves_no_request(self) -> None:
        self.target.behaviour = Behaviour.ANSWER
        self.entry.ingress.accepts_requests = False
        connection = await open_connection(self.entry.address, WAIT_LIMIT_S)
        self.addCleanup(connection.close)
        await self.ask_again(connection)
        self.assertEqual(self.target.arrived, [])

    async def test_while_requests_are_accepted_a_stream_leaves_its_connection_open(self) -> None:
        connection = await self.begin_stream()
        draining = self.drain()
        self.target.proceed.set()
        await connection.read_body(1_000)
        headers = [("Host", HOST), ("X-Waxwingglade-Request-Id", "r2")]
        connection.send(HttpRequest("POST", PLAIN, headers, b"body"))
        head = await connection.read_head(lambda _: True)
        self.assertEqual(head.header("Connection"), "close")
        await draining

    async def test_all_idle_connections_are_closed(self) -> None:
        idle = await open_connection(self.entry.address, WAIT_LIMIT_S)
        self.addCleanup(idle.close)
        self.assertTrue(await until(lambda: self.entry.ingress.open_exchanges, WAIT_LIMIT_S))
        await self.drain()
        self.assertTrue(await until(lambda: not self.entry.ingress.open_exchanges, WAIT_LIMIT_S))


class DrainOnDaemonLoopTest(OnDaemonLoop, DrainTest):
    """The same tests on the event loop of the daemons."""


if __name__ == "__main__":
    unittest.main()
