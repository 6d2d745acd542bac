"""A caller that reads slowly gets its complete answer before its connection is closed."""

import asyncio
import unittest
from unittest import mock

from tornado.iostream import IOStream

from waxwingglade.base.tests.daemon_loop import OnDaemonLoop
from waxwingglade.ingress.tests.entry_builders import (
    PLAIN,
    TURNS,
    Behaviour,
    EntryUnderTest,
    FakeTarget,
)

LAST_CHUNK = b"0\r\n\r\n"
BLOCKED_S = 0.1
"""Seconds for which the send buffer of the kernel is full."""

WAIT_LIMIT_S = 5.0


class FullBuffer:
    """A send buffer of the kernel that is full when it should take certain bytes.

    Parameters
    ----------
    before : bytes
        Last bytes of the write that finds the buffer full.
    """

    def __init__(self, before: bytes) -> None:
        self.before = before
        self.write = IOStream.write_to_fd
        self.waited = False
        self.free = asyncio.Event()

    def __call__(self, stream: IOStream, data: memoryview) -> int:
        """Write data, or raise `BlockingIOError` while the buffer is full."""
        if not self.waited and bytes(data).endswith(self.before):
            self.waited = True
            asyncio.get_running_loop().call_later(BLOCKED_S, self.free.set)
        if self.waited and not self.free.is_set():
            raise BlockingIOError
        return self.write(stream, data)


class SlowReaderTest(unittest.IsolatedAsyncioTestCase):
    async def expect_complete(self, behaviour: Behaviour, path: str, before: bytes) -> None:
        """Fill the buffer before some bytes, and check that the complete answer arrives."""
        full = FullBuffer(before)
        entry = EntryUnderTest(FakeTarget(behaviour), timeout_s=WAIT_LIMIT_S)
        self.addAsyncCleanup(entry.stop)
        await entry.start()
        entry.ingress.draining = True
        with mock.patch.object(IOStream, "write_to_fd", autospec=True, side_effect=full):
            async with asyncio.timeout(WAIT_LIMIT_S):
                connection = await entry.send(path)
                self.addCleanup(connection.close)
                head = await connection.read_head(lambda _: True)
                self.assertEqual((head.status, head.header("Connection")), (200, "close"))
                self.assertTrue(await connection.read_body(1_000))
        self.assertTrue(full.waited)

    async def test_the_end_of_a_stream(self) -> None:
        await self.expect_complete(Behaviour.EVENTS, TURNS, LAST_CHUNK)

    async def test_a_stream_from_its_head_on(self) -> None:
        await self.expect_complete(Behaviour.EVENTS, TURNS, b"\r\n\r\n")

    async def test_a_plain_answer(self) -> None:
        await self.expect_complete(Behaviour.ANSWER, PLAIN, b"ok")


class SlowReaderOnDaemonLoopTest(OnDaemonLoop, SlowReaderTest):
    """The same tests on the event loop of the daemons."""


if __name__ == "__main__":
    unittest.main()
