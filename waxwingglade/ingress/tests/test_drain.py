"""Drain: once an entry accepts no more requests, no connection delivers another one."""

import asyncio
import unittest

import msgspec

from waxwingglade.base.tests.daemon_loop import OnDaemonLoop
from waxwingglade.ingress.tests.entry_builders import (
    HOST,
    ONCE,
    PLAIN,
    TURNS,
    Behaviour,
    EntryUnderTest,
    FakeTarget,
    until,
)
from waxwingglade.transport import ConnectionBroken, HttpRequest
from waxwingglade.transport.http1 import Http1Connection, open_connection

NOTICE_S = 0.05
"""Seconds after which requests that may outlast the entry are refused."""

WAIT_S = 0.2
"""Seconds for which the entry still accepts requests."""

TIMEOUT_S = 1.5
"""Seconds after which the entry ends."""

WAIT_LIMIT_S = 5.0
LATE_PATHS = (PLAIN, ONCE, TURNS)


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


class LateRequestTest(unittest.IsolatedAsyncioTestCase):
    """Requests that a stopping entry could not complete before it exits."""

    async def asyncSetUp(self) -> None:
        self.targets = [FakeTarget(), FakeTarget()]
        self.entry = EntryUnderTest(*self.targets, timeout_s=WAIT_LIMIT_S)
        self.addAsyncCleanup(self.entry.stop)
        self.entry.ingress.settings = msgspec.structs.replace(
            self.entry.ingress.settings,
            drain_notice_s=NOTICE_S,
            drain_wait_s=TIMEOUT_S / 2,
            drain_timeout_s=TIMEOUT_S,
        )
        await self.entry.start()

    def behave(self, behaviour: Behaviour) -> None:
        """Set the behaviour of all targets."""
        for target in self.targets:
            target.behaviour = behaviour

    @property
    def arrived(self) -> int:
        """Number of requests that targets have received."""
        return sum(len(target.arrived) for target in self.targets)

    async def drain(self, for_s: float = 2 * NOTICE_S) -> None:
        """Start to drain the entry, and wait."""
        draining = asyncio.create_task(self.entry.ingress.drain())
        self.addAsyncCleanup(asyncio.wait, {draining})
        await asyncio.sleep(for_s)

    async def check_refused(self, connection: Http1Connection) -> None:
        """Check that a request gets the answer that it was not run, and closes its connection."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            head = await connection.read_head(lambda _: True)
            body = await connection.read_body(1_000)
        self.assertEqual((head.status, body), (503, b"not run: the entry stops\n"))
        self.assertIsNotNone(head.header("Retry-After"))
        self.assertEqual(head.header("Connection"), "close")

    async def test_late_requests_that_may_outlast_the_entry_are_refused_as_not_run(self) -> None:
        # Guards against requests that are accepted late in the grace period and cut off at its end.
        kept = []
        for _ in LATE_PATHS:
            connection = await self.entry.send(PLAIN)
            self.addCleanup(connection.close)
            await connection.read_head(lambda _: True)
            await connection.read_body(1_000)
            kept.append(connection)
        before = self.arrived
        await self.drain()
        for path, connection in zip(LATE_PATHS, kept, strict=True):
            headers = [("Host", HOST), ("X-Waxwingglade-Request-Id", "late")]
            connection.send(HttpRequest("POST", path, headers, b"body"))
            await self.check_refused(connection)
        self.assertEqual(self.arrived, before, "a target received a refused request")

    async def test_late_requests_that_end_in_time_by_their_deadline_are_served(self) -> None:
        # Guards against a drain that refuses more requests than it has to.
        await self.drain()
        deadline = ("X-Waxwingglade-Deadline-Ms", "500")
        status, _ = await self.entry.call(PLAIN, "late", deadline)
        self.assertEqual(status, 200)

    async def test_a_turn_that_waited_for_the_ledger_is_not_sent_late(self) -> None:
        # Guards against turns that wait in a stopping entry, are sent late and cut off at its exit.
        self.entry.ledger.may_begin.clear()
        connection = await self.entry.send(TURNS)
        self.addCleanup(connection.close)
        self.assertTrue(await until(lambda: self.entry.ledger.begun, WAIT_LIMIT_S))
        await self.drain()
        self.entry.ledger.may_begin.set()
        await self.check_refused(connection)
        self.assertEqual(self.arrived, 0)

    async def test_a_refused_call_is_not_sent_to_another_target_late(self) -> None:
        # Guards against retries that a stopping entry begins late and cuts off at its exit.
        self.behave(Behaviour.REFUSE)
        connection = await self.entry.send(ONCE)
        self.addCleanup(connection.close)
        self.assertTrue(await until(lambda: self.arrived, WAIT_LIMIT_S))
        await self.drain()
        await self.check_refused(connection)
        self.assertEqual(self.arrived, 1)

    async def test_calls_in_progress_at_the_exit_get_an_answer(self) -> None:
        # Guards against connections that are closed without an answer at the exit of an entry.
        self.behave(Behaviour.HOLD)
        connections = [await self.entry.send(path, path) for path in LATE_PATHS]
        for connection in connections:
            self.addCleanup(connection.close)
        self.assertTrue(await until(lambda: self.arrived >= len(LATE_PATHS), WAIT_LIMIT_S))
        await self.drain(TIMEOUT_S)
        for connection in connections:
            async with asyncio.timeout(WAIT_LIMIT_S):
                head = await connection.read_head(lambda _: True)
                await connection.read_body(1_000)
            self.assertEqual(head.status, 502)


class DrainOnDaemonLoopTest(OnDaemonLoop, DrainTest):
    """The same tests on the event loop of the daemons."""


class LateRequestOnDaemonLoopTest(OnDaemonLoop, LateRequestTest):
    """The same tests on the event loop of the daemons."""


if __name__ == "__main__":
    unittest.main()
