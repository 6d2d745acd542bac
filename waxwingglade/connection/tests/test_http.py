"""Verdicts, retries, aborts and limits of the shared HTTP client."""

import asyncio
import socket
import tracemalloc
import unittest

import pycurl

from waxwingglade.base import ErrorCode, Failure, Verdict
from waxwingglade.connection.http import (
    Exchange,
    HttpClient,
    HttpClientSettings,
    HttpRequest,
    send,
)
from waxwingglade.connection.tests.target_builders import ScriptedServer, answer_bytes, with_timeout

SMALL_PIECES = 60_000
SMALL = answer_bytes("200 OK", b"{}")


def post(url: str, *, timeout_s: float = 5.0, repeatable: bool = False) -> HttpRequest:
    return HttpRequest("POST", url, body=b"{}", timeout_s=timeout_s, repeatable=repeatable)


class HangingListener:
    """A listening socket with a full backlog, on which connecting hangs until `accept` runs."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.listener.setblocking(False)
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}"
        self.received = b""
        self.reads: list[asyncio.Task] = []
        self.fillers = [socket.socket() for _ in range(2)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())

    async def accept(self) -> None:
        """Accept connections until cancelled, and record all bytes received on them."""
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self.listener)
            self.reads.append(asyncio.create_task(self._read(accepted)))

    async def _read(self, accepted: socket.socket) -> None:
        with accepted:
            self.received += await asyncio.get_running_loop().sock_recv(accepted, 4096)

    def close(self) -> None:
        """Close all sockets."""
        for each in (self.listener, *self.fillers):
            each.close()


async def ended(exchange: Exchange) -> None:
    """Wait for the end of an exchange, whatever its outcome."""
    await with_timeout(asyncio.wait([exchange.future]))


class HttpCase(unittest.IsolatedAsyncioTestCase):
    """Base class with a client that is closed at the end."""

    settings = HttpClientSettings(max_clients=10)

    async def asyncSetUp(self) -> None:
        self.client = HttpClient(self.settings)
        self.addAsyncCleanup(self.client.close)

    async def failure(self, request: HttpRequest) -> Failure:
        return (await with_timeout(send(self.client, request))).unwrap_err()


class VerdictTest(HttpCase):
    async def test_refused_connection_did_not_run(self) -> None:
        async with ScriptedServer() as server:
            pass
        failure = await self.failure(post(server.url))
        self.assertEqual((Verdict.NOT_RUN, ErrorCode.UNAVAILABLE), (failure.verdict, failure.code))

    async def test_timeout_of_connecting_did_not_run(self) -> None:
        hanging = HangingListener()
        self.addCleanup(hanging.close)
        failure = await self.failure(post(hanging.url, timeout_s=0.1))
        self.assertEqual((Verdict.NOT_RUN, ErrorCode.TIMEOUT), (failure.verdict, failure.code))

    async def test_close_before_the_first_byte_may_have_run(self) -> None:
        async with ScriptedServer(b"") as server:
            failure = await self.failure(post(server.url))
        self.assertEqual(Verdict.MAY_HAVE_RUN, failure.verdict)

    async def test_truncated_answer_may_have_run(self) -> None:
        async with ScriptedServer(SMALL[:-1]) as server:
            failure = await self.failure(post(server.url))
        self.assertEqual(Verdict.MAY_HAVE_RUN, failure.verdict)

    async def test_timeout_within_the_answer_may_have_run(self) -> None:
        async with ScriptedServer(SMALL[:10], close=False) as server:
            failure = await self.failure(post(server.url, timeout_s=0.1))
        expected = (Verdict.MAY_HAVE_RUN, ErrorCode.TIMEOUT)
        self.assertEqual(expected, (failure.verdict, failure.code))

    async def test_invalid_answer_may_have_run(self) -> None:
        async with ScriptedServer(b"\x00\xffgarbage\r\n\r\n") as server:
            failure = await self.failure(post(server.url))
        self.assertEqual(Verdict.MAY_HAVE_RUN, failure.verdict)

    async def test_request_that_cannot_be_built_did_not_run(self) -> None:
        request = HttpRequest("POST", "http://127.0.0.1:1", {"name": "a\r\nb: c"}, b"{}")
        self.assertEqual(Verdict.NOT_RUN, (await self.failure(request)).verdict)


class RepeatTest(HttpCase):
    async def _second_on_reused_connection(self, repeatable: bool) -> tuple[int, bool]:
        async with ScriptedServer(SMALL, b"", SMALL, close=False) as server:
            request = post(server.url, repeatable=repeatable)
            (await send(self.client, request)).unwrap()
            second = await send(self.client, request)
        return server.requests, second.is_ok()

    async def test_request_on_a_closed_reused_connection_is_not_retried(self) -> None:
        self.assertEqual((2, False), await self._second_on_reused_connection(repeatable=False))

    async def test_repeatable_request_is_retried(self) -> None:
        self.assertEqual((3, True), await self._second_on_reused_connection(repeatable=True))


class AbortTest(HttpCase):
    async def test_abort_closes_an_idle_connection(self) -> None:
        async with ScriptedServer(SMALL[:10], close=False) as server:
            exchange = Exchange(self.client, post(server.url, timeout_s=60))
            await with_timeout(server.request_received.wait())
            exchange.abort()
            await with_timeout(server.closed.wait())
            await ended(exchange)
            self.assertIsNotNone(exchange.failure())

    async def test_abort_while_connecting_sends_nothing(self) -> None:
        hanging = HangingListener()
        self.addCleanup(hanging.close)
        exchange = Exchange(self.client, post(hanging.url))
        await asyncio.sleep(0)
        exchange.abort()
        accepting = asyncio.create_task(hanging.accept())
        await ended(exchange)
        accepting.cancel()
        self.assertEqual(pycurl.E_ABORTED_BY_CALLBACK, exchange.future.exception().errno)
        self.assertEqual(b"", hanging.received)
        self.assertEqual(Verdict.NOT_RUN, exchange.verdict())

    async def test_cancelled_caller_closes_the_connection(self) -> None:
        async with ScriptedServer(SMALL[:10], close=False) as server:
            task = asyncio.create_task(send(self.client, post(server.url, timeout_s=60)))
            await with_timeout(server.request_received.wait())
            task.cancel()
            await with_timeout(server.closed.wait())

    async def test_abort_of_a_finished_exchange_does_not_affect_the_next_one(self) -> None:
        async with ScriptedServer(SMALL, SMALL[:10], SMALL, close=False) as server:
            first = Exchange(self.client, post(server.url))
            await ended(first)
            server.request_received.clear()
            second = Exchange(self.client, post(server.url, timeout_s=60))
            await with_timeout(server.request_received.wait())
            self.assertIs(first.curl, second.curl)
            first.abort()
            # When a third exchange has ended, a close of the second would have been detected.
            self.assertTrue((await send(self.client, post(server.url))).is_ok())
            self.assertFalse(second.future.done())


class LimitTest(HttpCase):
    settings = HttpClientSettings(max_clients=1, header_bytes=1000, answer_bytes=1000)

    async def test_full_client_rejects_immediately(self) -> None:
        async with ScriptedServer(SMALL[:10], SMALL, close=False) as server:
            hanging = Exchange(self.client, post(server.url, timeout_s=60))
            await with_timeout(server.request_received.wait())
            failure = await self.failure(post(server.url))
            expected = (Verdict.NOT_RUN, ErrorCode.OVERLOADED)
            self.assertEqual(expected, (failure.verdict, failure.code))
            hanging.abort()
            await ended(hanging)
            self.assertTrue((await send(self.client, post(server.url))).is_ok())

    async def test_long_answer_is_rejected(self) -> None:
        async with ScriptedServer(answer_bytes("200 OK", b"x" * 2000)) as server:
            failure = await self.failure(post(server.url))
        self.assertEqual(Verdict.MAY_HAVE_RUN, failure.verdict)

    async def test_small_pieces_take_no_more_memory_than_their_bytes(self) -> None:
        async with ScriptedServer(SMALL[:10], close=False) as server:
            exchange = Exchange(self.client, post(server.url, timeout_s=60))
            await with_timeout(server.request_received.wait())
            reading = asyncio.create_task(exchange.answer())
            tracemalloc.start()
            self.addCleanup(tracemalloc.stop)
            for number in range(SMALL_PIECES):
                exchange.pieces.put_nowait(number.to_bytes(2, "big"))
                if number % 100 == 0:
                    await asyncio.sleep(0)
            self.assertLess(tracemalloc.get_traced_memory()[0], 5 * 2 * SMALL_PIECES)
            exchange.abort()
            await with_timeout(reading)

    async def test_long_headers_are_rejected(self) -> None:
        head = answer_bytes("200 OK", b"{}", f"Long: {'x' * 2000}\r\n")
        async with ScriptedServer(head[:-2], close=False) as server:
            failure = await self.failure(post(server.url, timeout_s=60))
        self.assertEqual(Verdict.MAY_HAVE_RUN, failure.verdict)


if __name__ == "__main__":
    unittest.main()
