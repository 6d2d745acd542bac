"""A caller that has left gets no more work done, in whatever state its request is.

What was seen: an entry went on with plain requests whose callers had closed their connections.
Targets worked on them to the end, refused ones were sent to a second target seconds later, and
turns whose callers had left while the ledger was asked were sent to engines all the same.

Order of events: the entry reads the whole request and starts a task; the caller closes; the HTTP
server notices, but tells the object that stands for the request only while it is being received; so
the task was cancelled only by a failed write, which a request without events makes after its target
has answered.

The evidence: of the states below none was ended within half a second of the close.
"""

import asyncio
import unittest
from typing import Any
from unittest import mock

from waxwingglade.base.tests.loops import OnDaemonLoop
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
"""Seconds after which no work may be left for a caller that has closed its connection."""

WAIT_LIMIT_S = 5.0


class CallerGoneTest(unittest.IsolatedAsyncioTestCase):
    async def begin(self, *fakes: FakeTarget) -> EntryUnderTest:
        """Start an entry whose requests have five seconds."""
        entry = EntryUnderTest(*fakes)
        self.addAsyncCleanup(entry.stop)
        await entry.start()
        return entry

    async def leave_when(self, entry: EntryUnderTest, path: str, condition: Any) -> None:
        """Send a request, and close the connection once a condition holds."""
        connection = await entry.send(path)
        self.assertTrue(await until(condition, WAIT_LIMIT_S), "the state was not reached")
        connection.close()

    async def expect_end(self, entry: EntryUnderTest, *fakes: FakeTarget) -> None:
        """Check that within half a second nothing is left of the request."""
        ended = await until(lambda: not entry.ingress.running, DISCONNECT_TIMEOUT_S)
        self.assertTrue(ended, "the entry still serves the request")
        closed = await until(lambda: not any(fake.open for fake in fakes), DISCONNECT_TIMEOUT_S)
        self.assertTrue(closed, "a target still works on it")

    async def test_while_a_target_has_not_answered(self) -> None:
        for path in (PLAIN, ONCE, TURNS):
            with self.subTest(path):
                fake = FakeTarget(Behaviour.HOLD)
                entry = await self.begin(fake)
                await self.leave_when(entry, path, lambda fake=fake: fake.arrived)
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

    async def test_while_the_ledger_is_asked(self) -> None:
        fake = FakeTarget(Behaviour.EVENT)
        entry = await self.begin(fake)
        entry.ledger.may_begin.clear()
        await self.leave_when(entry, TURNS, lambda: entry.ledger.begun)
        await self.expect_end(entry)
        entry.ledger.may_begin.set()
        await asyncio.sleep(0.05)
        self.assertEqual(fake.arrived, [])
        # The ledger may have reserved its tokens, which no other turn could use any more.
        self.assertEqual([settled.used_tokens for settled in entry.ledger.settled], [0])

    async def test_while_the_turn_is_kept(self) -> None:
        fake = FakeTarget(Behaviour.EVENTS)
        entry = await self.begin(fake)
        entry.ledger.may_end.clear()
        await self.leave_when(entry, TURNS, lambda: entry.ledger.ended)
        await self.expect_end(entry)
        self.assertEqual([settled.used_tokens for settled in entry.ledger.settled], [1])

    async def test_while_a_connection_is_opened(self) -> None:
        fake = FakeTarget()
        entry = await self.begin(fake)
        opening: list[str] = []
        proceed = asyncio.Event()
        open_connection = pool.open_connection

        async def open_late(address: str, timeout_s: float) -> Any:
            opening.append(address)
            await proceed.wait()
            return await open_connection(address, timeout_s)

        with mock.patch.object(pool, "open_connection", open_late):
            await self.leave_when(entry, ONCE, lambda: opening)
            await self.expect_end(entry)
            proceed.set()
            await asyncio.sleep(0.05)
        self.assertEqual((fake.opened, fake.arrived), (0, []))

    async def test_between_two_targets(self) -> None:
        fakes = FakeTarget(Behaviour.REFUSE), FakeTarget(Behaviour.REFUSE)
        entry = await self.begin(*fakes)
        await self.leave_when(entry, ONCE, lambda: any(fake.arrived for fake in fakes))
        await self.expect_end(entry)
        for fake in fakes:
            fake.proceed.set()
        await asyncio.sleep(0.05)
        self.assertEqual(sum(len(fake.arrived) for fake in fakes), 1)

    async def test_before_the_request_was_read(self) -> None:
        """An entry that stood still, or has much to read, finds a request and its caller's close at
        once.

        Targets were sent such requests, long after their callers had gone, and then reset.
        """
        fake = FakeTarget()
        entry = await self.begin(fake)
        await entry.call(PLAIN, "keeps a connection to the target")
        for path in (PLAIN, ONCE, TURNS):
            with self.subTest(path):
                caller = await entry.send_half(path)
                # The rest and the close come while the entry's loop stands still.
                caller.sendall(b"dy")
                caller.close()
                await asyncio.sleep(0.1)
                self.assertEqual(len(fake.arrived), 1)
                self.assertEqual(entry.ledger.begun, [])
                await self.expect_end(entry)

    async def test_nothing_is_kept_of_a_connection_that_was_closed(self) -> None:
        entry = await self.begin(FakeTarget())
        await entry.call(PLAIN, "r1")
        forgotten = await until(lambda: not entry.ingress.open_exchanges, DISCONNECT_TIMEOUT_S)
        self.assertTrue(forgotten, "the entry still holds the connection")

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


class CallerGoneOnDaemonLoopTest(OnDaemonLoop, CallerGoneTest):
    """The same on the event loop of the daemons."""


if __name__ == "__main__":
    unittest.main()
