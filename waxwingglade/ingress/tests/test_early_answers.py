"""Answers without a length that a target sends and ends while it still receives the request."""

import asyncio
import socket
import unittest
from enum import Enum

from waxwingglade.base.tests.daemon_loop import OnDaemonLoop
from waxwingglade.ingress.tests.entry_builders import (
    HOST,
    ONCE,
    PLAIN,
    SEALED,
    TURNS,
    EntryUnderTest,
    FakeTarget,
)
from waxwingglade.transport import ConnectionBroken, HttpRequest
from waxwingglade.transport.http1 import open_connection
from waxwingglade.transport.tests.cut_builders import LINGER_NONE

UPLOAD = b"u" * 4_000_000
"""More than the buffers of a connection hold."""

RECEIVE_BUFFER_BYTES = 4096
PART = b"id: 1\ndata: one\n\n"


class End(Enum):
    """How a target ends its connection, and after how many seconds."""

    RESET = ("by a reset", 0.0)
    LATE_RESET = ("by a reset a little later", 0.05)
    UNREAD = ("in order, with unread bytes", 0.05)
    HALF = ("in order in its own direction", 0.0)


class EarlyTarget(FakeTarget):
    """Answers as soon as it has read the head of a request."""

    def __init__(self, status: str = "200 OK") -> None:
        super().__init__()
        self.status = status
        self.end = End.RESET

    async def start(self) -> None:
        """Start to accept connections with a small receive buffer."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listening.bind(("127.0.0.1", 0))
        # The buffer of the reader is small as well, so that it stops reading.
        self.server = await asyncio.start_server(self._serve, sock=listening, limit=1024)
        self.address = f"127.0.0.1:{listening.getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.arrived.append(head.partition(b"\r\n")[0])
        if not head.startswith(b"POST"):
            writer.close()
            return
        writer.write(f"HTTP/1.1 {self.status}\r\n{SEALED}\r\n".encode() + PART)
        await asyncio.sleep(self.end.value[1])
        if self.end is End.HALF:
            writer.write_eof()
            await self.proceed.wait()
        if self.end in (End.RESET, End.LATE_RESET):
            own_socket = writer.get_extra_info("socket")
            own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            writer.transport.abort()
        writer.close()


class EarlyAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, status: str) -> None:
        """Start an entry whose targets answer with a status."""
        self.targets = [EarlyTarget(status), EarlyTarget(status)]
        self.entry = EntryUnderTest(*self.targets)
        await self.entry.start()
        self.addAsyncCleanup(self.entry.stop)

    async def upload(self, path: str, end: End) -> tuple[int, bytes]:
        """Send a long request; return the status and the body of its answer."""
        for target in self.targets:
            target.end = end
            target.arrived.clear()
        request = f"{path} {end.name}"
        headers = [
            ("Host", HOST),
            ("X-Waxwingglade-Request-Id", request),
            ("X-Waxwingglade-Program-Id", request),
            ("X-Waxwingglade-Token-Budget", "100"),
            ("X-Waxwingglade-Token-Count", "10,10"),
        ]
        connection = await open_connection(self.entry.address, 5.0)
        self.addCleanup(connection.close)
        connection.send(HttpRequest("POST", path, headers, UPLOAD + request.encode()))
        async with asyncio.timeout(10.0):
            head = await connection.read_head(lambda _: True)
            return head.status, await connection.read_body(10_000)

    @property
    def sent(self) -> int:
        """Number of requests that arrived at targets."""
        return sum(len(target.arrived) for target in self.targets)

    async def test_a_part_of_an_answer_to_an_unfinished_upload_is_no_answer(self) -> None:
        # Guards against a part of an answer that is passed on as complete, because its target ended
        # the connection while the request was still being written.
        await self.start("200 OK")
        for end in End:
            for path, sendings in ((PLAIN, 2), (ONCE, 1)):
                with self.subTest(end=end, path=path):
                    status, body = await self.upload(path, end)
                    self.assertEqual(status, 502)
                    self.assertNotIn(PART, body)
                    self.assertEqual(self.sent, sendings)

    async def test_a_stream_that_ends_within_an_unfinished_upload_is_cut_and_not_stored(
        self,
    ) -> None:
        # Guards against a part of a turn that is stored, and passed on as complete, in that case.
        await self.start("200 OK")
        for end in End:
            with self.subTest(end=end), self.assertRaises(ConnectionBroken):
                await self.upload(TURNS, end)
        self.assertEqual([ended for ended in self.entry.ledger.ended if ended.kept], [])

    async def test_a_refusal_of_an_unfinished_upload_is_passed_on(self) -> None:
        await self.start("413 Too Large")
        for path in (PLAIN, ONCE):
            with self.subTest(path=path):
                self.assertEqual(await self.upload(path, End.HALF), (413, PART))


class EarlyAnswersOnDaemonLoopTest(OnDaemonLoop, EarlyAnswersTest):
    """The same tests on the event loop of the daemons."""


if __name__ == "__main__":
    unittest.main()
