"""When connections are suspected to be unresponsive, and which received bytes rule it out."""

import asyncio
import time
import unittest

import msgspec

from waxwingglade.base.tests.daemon_loop import OnDaemonLoop
from waxwingglade.transport import ConnectionPool, HttpRequest, Unresponsive, WaitLimits
from waxwingglade.transport.liveness import unresponsive_since

REQUEST = HttpRequest("GET", "/", [("Host", "h")])
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SHORT_S = 0.15


class ConnectionTimes(msgspec.Struct):
    """When a connection was opened and when bytes last arrived on it."""

    opened_at: float
    last_received_at: float


class UnresponsiveSinceTest(unittest.TestCase):
    """A request waits on a connection that was opened at 1 and last received bytes at 5."""

    def since(self, *others: ConnectionTimes) -> float:
        """Return since when the connections may be unresponsive."""
        waiting = ConnectionTimes(1.0, 5.0)
        return unresponsive_since(waiting, [waiting, *others])

    def test_the_last_received_bytes_count_if_no_other_connection_has_later_ones(self) -> None:
        self.assertEqual(self.since(), 5.0)
        self.assertEqual(self.since(ConnectionTimes(0.0, 4.0)), 5.0)

    def test_later_bytes_on_a_connection_that_was_open_rule_it_out_until_then(self) -> None:
        self.assertEqual(self.since(ConnectionTimes(0.0, 7.0)), 7.0)
        self.assertEqual(self.since(ConnectionTimes(4.0, 7.0)), 7.0, "though it was opened later")

    def test_bytes_on_a_connection_that_was_opened_later_do_not(self) -> None:
        self.assertEqual(self.since(ConnectionTimes(6.0, 9.0)), 5.0)

    def test_connections_that_overlap_rule_it_out_together(self) -> None:
        self.assertEqual(self.since(ConnectionTimes(4.0, 7.0), ConnectionTimes(6.0, 9.0)), 9.0)
        self.assertEqual(self.since(ConnectionTimes(4.0, 7.0), ConnectionTimes(8.0, 9.0)), 7.0)


class PoolLivenessTest(unittest.IsolatedAsyncioTestCase):
    """Connections of a pool to a server that answers when a test writes the answer."""

    async def asyncSetUp(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []
        self.server = await asyncio.start_server(
            lambda _, writer: self.writers.append(writer), "127.0.0.1", 0
        )
        self.addCleanup(self.server.close)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.pool = ConnectionPool(5.0)
        self.addCleanup(self.pool.close)
        self.one = await self.pool.acquire(self.address)
        self.two = await self.pool.acquire(self.address)
        while len(self.writers) < 2:
            await asyncio.sleep(0)
        for connection, writer in zip((self.one, self.two), self.writers, strict=True):
            connection.send(REQUEST)
            writer.write(ANSWER)
            await connection.read_head(lambda _: True)
            await connection.read_body(10)

    async def test_an_unresponsive_connection_ends_and_idle_ones_are_closed(self) -> None:
        self.pool.release(self.address, self.two)
        began_at = time.monotonic()
        self.one.send(REQUEST)
        self.pool.watch(self.one, WaitLimits(SHORT_S, 2 * SHORT_S))
        with self.assertRaises(Unresponsive):
            await self.one.read_head(lambda _: True)
        self.assertGreaterEqual(self.one.sent_at, began_at)
        self.assertGreaterEqual(time.monotonic() - self.one.sent_at, 2 * SHORT_S)
        self.assertFalse(self.two.usable)
        self.assertFalse(any(self.pool.idle.values()))

    async def test_a_new_connection_alone_is_not_suspected(self) -> None:
        self.pool.release(self.address, self.one)
        self.pool.release(self.address, self.two)
        for connection in (self.one, self.two):
            connection.close()
        new = await self.pool.acquire(self.address)
        new.send(REQUEST)
        self.pool.watch(new, WaitLimits(SHORT_S, SHORT_S))
        await asyncio.sleep(2 * SHORT_S)
        self.assertTrue(new.usable)
        self.pool.release(self.address, new)

    async def test_bytes_that_arrived_while_the_process_stalled_are_read_first(self) -> None:
        self.one.send(REQUEST)
        self.pool.watch(self.one, WaitLimits(SHORT_S, SHORT_S))
        reading = asyncio.create_task(self.one.read_head(lambda _: True))
        await asyncio.sleep(SHORT_S / 2)
        self.writers[0].write(ANSWER)
        time.sleep(2 * SHORT_S)
        self.assertEqual((await reading).status, 200)

    async def test_a_released_connection_is_not_watched(self) -> None:
        self.one.send(REQUEST)
        self.pool.watch(self.one, WaitLimits(SHORT_S, SHORT_S))
        self.writers[0].write(ANSWER)
        await self.one.read_head(lambda _: True)
        await self.one.read_body(10)
        self.pool.release(self.address, self.one)
        self.assertEqual(self.pool.watches, {})
        await asyncio.sleep(2 * SHORT_S)
        self.assertTrue(self.one.usable)


class PoolLivenessOnDaemonLoopTest(OnDaemonLoop, PoolLivenessTest):
    """The same tests on the event loop of the daemons."""


if __name__ == "__main__":
    unittest.main()
