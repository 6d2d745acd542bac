"""A request of a disconnected caller is cancelled within half a second, whatever its state.

Guards against an entry that continues requests whose callers closed their connections: targets
completed them, refused requests were sent to a second target seconds later, and turns that waited
for the ledger were still sent to engines.

This happens because the HTTP server reports a closed connection only while the request is being
received.  After that, only a failed write cancelled the task, and a request without events writes
only after its target has answered.
"""

import asyncio
import unittest
from typing import Any
from unittest import mock

from waxwingglade.base.tests.daemon_loop import OnDaemonLoop
from waxwingglade.ingress.tests.entry_builders import (
    ONCE,
    PLAIN,
    TURNS,
    Behaviour,
    EntryUnderTest,
    FakeTarget,
    until,
)
from waxwingglade.transport import pool

DISCONNECT_TIMEOUT_S = 0.5
"""Seconds after a disconnect by which all work for the caller must have ended."""

WAIT_LIMIT_S = 5.0


class DisconnectedCallerTest(unittest.IsolatedAsyncioTestCase):
    async def begin(self, *fakes: FakeTarget) -> EntryUnderTest:
        """Start an entry with some targets."""
        entry = EntryUnderTest(*fakes)
        self.addAsyncCleanup(entry.stop)
        await entry.start()
        return entry

    async def disconnect_when(self, entry: EntryUnderTest, path: str, condition: Any) -> None:
        """Send a request, and close its connection once a condition holds."""
        connection = await entry.send(path)
        self.assertTrue(await until(condition, WAIT_LIMIT_S), "the state was not reached")
        connection.close()

    async def expect_end(self, entry: EntryUnderTest, *fakes: FakeTarget) -> None:
        """Check that all work for the request ends within half a second."""
        ended = await until(lambda: not entry.ingress.running, DISCONNECT_TIMEOUT_S)
        self.assertTrue(ended, "the entry still serves the request")
        closed = await until(lambda: not any(fake.open for fake in fakes), DISCONNECT_TIMEOUT_S)
        self.assertTrue(closed, "a target still works on it")

    async def test_while_a_target_has_not_answered(self) -> None:
        for path in (PLAIN, ONCE, TURNS):
            with self.subTest(path):
                fake = FakeTarget(Behaviour.HOLD)
                entry = await self.begin(fake)
                await self.disconnect_when(entry, path, lambda fake=fake: fake.arrived)
                await self.expect_end(entry, fake)
                self.assertEqual(len(fake.arrived), 1)

    async def test_between_two_events(self) -> None:
        fake = FakeTarget(Behaviour.EVENT)
        entry = await self.begin(fake)
        connection = await entry.send(TURNS)
        await connection.read_head(lambda _: True)
        await connection.read_piece()
        connection.close()
        await self.expect_end(entry, fake)
        self.assertEqual([settled.used_tokens for settled in entry.ledger.settled], [1])

    async def test_while_the_turn_waits_to_begin(self) -> None:
        fake = FakeTarget(Behaviour.EVENT)
        entry = await self.begin(fake)
        entry.ledger.may_begin.clear()
        await self.disconnect_when(entry, TURNS, lambda: entry.ledger.begun)
        await self.expect_end(entry)
        entry.ledger.may_begin.set()
        await asyncio.sleep(0.05)
        self.assertEqual(fake.arrived, [])
        # The ledger may have reserved its tokens, which no other turn could use then.
        self.assertEqual([settled.used_tokens for settled in entry.ledger.settled], [0])

    async def test_while_the_turn_is_stored(self) -> None:
        fake = FakeTarget(Behaviour.EVENTS)
        entry = await self.begin(fake)
        entry.ledger.may_end.clear()
        await self.disconnect_when(entry, TURNS, lambda: entry.ledger.ended)
        await self.expect_end(entry)
        self.assertEqual([settled.used_tokens for settled in entry.ledger.settled], [1])

    async def test_while_a_connection_is_opened(self) -> None:
        fake = FakeTarget()
        entry = await self.begin(fake)
        opening: list[str] = []
        proceed = asyncio.Event()
        open_connection = pool.open_connection

        async def open_delayed(address: str, timeout_s: float) -> Any:
            opening.append(address)
            await proceed.wait()
            return await open_connection(address, timeout_s)

        with mock.patch.object(pool, "open_connection", open_delayed):
            await self.disconnect_when(entry, ONCE, lambda: opening)
            await self.expect_end(entry)
            proceed.set()
            await asyncio.sleep(0.05)
        self.assertEqual((fake.opened, fake.arrived), (0, []))

    async def test_between_two_targets(self) -> None:
        fakes = FakeTarget(Behaviour.REFUSE), FakeTarget(Behaviour.REFUSE)
        entry = await self.begin(*fakes)
        await self.disconnect_when(entry, ONCE, lambda: any(fake.arrived for fake in fakes))
        await self.expect_end(entry)
        for fake in fakes:
            fake.proceed.set()
        await asyncio.sleep(0.05)
        self.assertEqual(sum(len(fake.arrived) for fake in fakes), 1)

    async def test_before_the_request_was_read(self) -> None:
        """Guards against sending requests of disconnected callers to targets.

        This happens when an entry was stalled, or has much to read, and so reads a request together
        with the close of its connection.
        """
        fake = FakeTarget()
        entry = await self.begin(fake)
        await entry.call(PLAIN, "keeps a connection to the target")
        for path in (PLAIN, ONCE, TURNS):
            with self.subTest(path):
                caller = await entry.send_half(path)
                # The rest and the close arrive while the event loop of the entry is blocked.
                caller.sendall(b"dy")
                caller.close()
                await asyncio.sleep(0.1)
                self.assertEqual(len(fake.arrived), 1)
                self.assertEqual(entry.ledger.begun, [])
                await self.expect_end(entry)

    async def test_a_closed_connection_is_removed(self) -> None:
        entry = await self.begin(FakeTarget())
        await entry.call(PLAIN, "r1")
        removed = await until(lambda: not entry.ingress.open_exchanges, DISCONNECT_TIMEOUT_S)
        self.assertTrue(removed, "the connection is still registered")

    async def test_the_next_request_of_a_connection_is_served(self) -> None:
        fake = FakeTarget()
        entry = await self.begin(fake)
        connection = await entry.send(PLAIN)
        for number in range(2):
            with self.subTest(number):
                head = await connection.read_head(lambda _: True)
                self.assertEqual((head.status, await connection.read_body(100)), (200, b"ok"))
                if number == 0:
                    assert connection.request is not None
                    connection.send(connection.request)
        connection.close()


class DisconnectedCallerOnDaemonLoopTest(OnDaemonLoop, DisconnectedCallerTest):
    """The same tests on the event loop of the daemons."""


if __name__ == "__main__":
    unittest.main()
