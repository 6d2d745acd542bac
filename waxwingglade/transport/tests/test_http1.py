"""A client's connection when answers are late, duplicate, truncated or reset."""

import asyncio
import socket
import struct
import unittest

from waxwingglade.transport import (
    ConnectionBroken,
    ConnectionPool,
    HttpRequest,
    HttpResponse,
    NotConnected,
    open_connection,
)

REQUEST = HttpRequest("POST", "/a", [("Host", "h"), ("Id", "mine")], b"body")


def answer(body: bytes = b"hello", name: str = "mine", extra: str = "") -> bytes:
    """Return a complete answer with a length."""
    head = f"HTTP/1.1 200 OK\r\nId: {name}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    return head.encode() + body


def is_expected(head: HttpResponse) -> bool:
    """Return whether an answer belongs to the request."""
    return head.header("id") == "mine"


class HttpConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.accepted: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = (
            asyncio.Queue()
        )
        self.server = await asyncio.start_server(
            lambda reader, writer: self.accepted.put_nowait((reader, writer)), "127.0.0.1", 0
        )
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.connection = await open_connection(self.address, 5.0)
        self.reader, self.writer = await self.accepted.get()
        self.addCleanup(self.server.close)
        self.addCleanup(self.connection.close)

    async def exchange(self, data: bytes, end: bool = False) -> tuple[HttpResponse, bytes]:
        """Send the request, let the server write, and return the answer."""
        self.connection.send(REQUEST)
        self.writer.write(data)
        if end:
            # Closing with unread bytes would reset the connection.
            await self.reader.readuntil(REQUEST.body)
            self.writer.close()
        head = await self.connection.read_head(is_expected)
        return head, await self.connection.read_body(1000)

    async def test_an_answer_with_a_length_leaves_the_connection_usable(self) -> None:
        for _ in range(2):
            head, body = await self.exchange(answer())
            self.assertEqual((head.status, body), (200, b"hello"))
            self.assertTrue(self.connection.usable)

    async def test_a_late_answer_to_another_request_is_skipped(self) -> None:
        _, body = await self.exchange(answer(b"old", "other") + answer(b"new"))
        self.assertEqual(body, b"new")
        self.assertFalse(self.connection.usable)

    async def test_bytes_after_a_complete_answer_make_the_connection_unusable(self) -> None:
        _, body = await self.exchange(answer() + answer())
        self.assertEqual(body, b"hello")
        self.assertFalse(self.connection.usable)

    async def test_bytes_on_an_idle_connection_make_it_unusable(self) -> None:
        await self.exchange(answer())
        self.writer.write(answer(b"late"))
        while self.connection.usable:
            await asyncio.sleep(0.01)

    async def test_a_truncated_answer_is_an_error(self) -> None:
        with self.assertRaises(ConnectionBroken) as caught:
            await self.exchange(answer()[:-2], end=True)
        self.assertTrue(caught.exception.sent)

    async def test_an_answer_without_a_length_ends_with_its_connection(self) -> None:
        _, body = await self.exchange(b"HTTP/1.1 200 OK\r\nId: mine\r\n\r\nall of it", end=True)
        self.assertEqual(body, b"all of it")

    async def test_a_reset_answer_without_a_length_is_truncated(self) -> None:
        self.connection.send(REQUEST)
        self.writer.write(b"HTTP/1.1 200 OK\r\nId: mine\r\n\r\nhalf")
        await self.connection.read_head(is_expected)
        self.assertEqual(await self.connection.read_piece(), b"half")
        own = self.writer.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()
        with self.assertRaises(ConnectionBroken):
            await self.connection.read_piece()

    async def test_bytes_that_are_not_http_are_an_error(self) -> None:
        with self.assertRaises(ConnectionBroken):
            await self.exchange(b"\0\1\2 nonsense\r\n\r\n")

    async def test_an_announced_close_makes_the_connection_unusable(self) -> None:
        await self.exchange(answer(extra="Connection: close\r\n"))
        self.assertFalse(self.connection.usable)

    async def test_the_pool_reuses_connections_until_the_stated_timeout(self) -> None:
        pool = ConnectionPool(5.0)
        first = await pool.acquire(self.address)
        first.in_use = False
        first.idle_since = asyncio.get_running_loop().time()
        pool.release(self.address, first)
        self.assertIs(await pool.acquire(self.address), first)
        pool.record_idle_timeout(self.address, HttpResponse(200, [("Keep-Alive", "timeout=1")]))
        first.idle_since -= 0.6
        pool.release(self.address, first)
        second = await pool.acquire(self.address)
        self.assertIsNot(second, first)
        second.close()
        pool.close()

    async def test_a_refused_connection_sent_nothing(self) -> None:
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(NotConnected):
            await open_connection(self.address, 1.0)
